//! Compares what the targets received with the responses that callers and the operator got.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::Value;

use crate::Run;
use crate::callers::CallRecord;
use crate::client;
use crate::deployment::Deployment;
use crate::harness::wait_for;

/// Body of a complete stream.
const COMPLETE_STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Timeout of the routes in `soak-config.json`; a request sent longer ago is no longer in progress.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the violations of the guarantees to callers and to the operator.
pub async fn find_violations(deployment: &Deployment, run: &Run) -> Vec<String> {
    let mut violations = run.violations.borrow().clone();
    let mut runs_by_id: HashMap<String, usize> = HashMap::new();
    for headers in deployment
        .targets
        .iter()
        .flat_map(|target| target.received())
    {
        let id = headers["x-request-id"].to_str().unwrap().to_string();
        *runs_by_id.entry(id).or_default() += 1;
    }
    let calls = run.calls.borrow().clone();
    for record in calls.iter() {
        let runs = runs_by_id.get(&record.id).copied().unwrap_or(0);
        if let Some(violation) = violation_of(record, runs) {
            violations.push(format!("{violation}: {runs} runs, {record:?}"));
        }
        if runs > 0 && record.body.is_none() && was_cut_by_planned_stop(run, record) {
            violations.push(format!(
                "response cut off by a planned stop of the gateway: {record:?}"
            ));
        }
    }
    check_acknowledged_changes(deployment, run, &mut violations).await;
    let answered = calls
        .iter()
        .filter(|record| record.status == Some(200))
        .count();
    let refused = calls
        .iter()
        .filter(|record| record.status == Some(503))
        .count();
    let interruptions = run.interruptions.borrow().len();
    let acknowledged = run
        .changes
        .borrow()
        .iter()
        .filter(|c| c.acknowledged)
        .count();
    println!(
        "{} calls, {answered} answered, {refused} refused, {interruptions} gateway interruptions, \
         {acknowledged} of {} changes acknowledged",
        calls.len(),
        run.changes.borrow().len()
    );
    if answered == 0 || acknowledged == 0 {
        violations.push(
            "no request was answered or no change acknowledged, so nothing was tested".to_string(),
        );
    }
    violations
}

fn violation_of(record: &CallRecord, runs: usize) -> Option<&'static str> {
    let body = record.body.as_deref();
    match record.status {
        Some(503) if runs > 0 => Some("answered with status 503 but ran"),
        Some(200) if runs == 0 => Some("answered with status 200 but did not run"),
        Some(404) => Some("no route found, although every configuration has the route"),
        _ if record.route == "once" && runs > 1 => Some("ran more than once"),
        Some(200)
            if record.route == "stream" && body.is_some_and(|body| body != COMPLETE_STREAM) =>
        {
            Some("stream ended without an error, but with wrong events")
        }
        Some(200)
            if record.route != "stream" && body.is_some_and(|b| !b.starts_with("answer of")) =>
        {
            Some("answered with a body that no target sent")
        }
        _ => None,
    }
}

/// Returns whether, while the request was in progress, its gateway had a planned stop and no fault.
fn was_cut_by_planned_stop(run: &Run, record: &CallRecord) -> bool {
    let interruptions = run.interruptions.borrow();
    let mut overlapping = interruptions.iter().filter(|interruption| {
        interruption.gateway == record.gateway
            && record.sent_at <= interruption.until
            && interruption.from <= record.sent_at + ROUTE_TIMEOUT
    });
    let is_interrupted = overlapping.clone().next().is_some();
    is_interrupted && overlapping.all(|interruption| interruption.is_planned)
}

/// Checks that the version that each replica returns lies between the newest acknowledged and the newest sent one.
async fn check_acknowledged_changes(
    deployment: &Deployment,
    run: &Run,
    violations: &mut Vec<String>,
) {
    let changes = run.changes.borrow().clone();
    let newest_acknowledged = changes
        .iter()
        .filter(|c| c.acknowledged)
        .map(|c| c.version)
        .max();
    let newest_sent = changes
        .iter()
        .map(|change| change.version)
        .max()
        .unwrap_or(1);
    for addr in deployment.operator_addrs() {
        let body = wait_for("confirmed configuration", || async {
            let (status, body) = client::get_status_and_body(addr, "/config/get").await?;
            (status == 200).then_some(body)
        })
        .await;
        let config: Value = serde_json::from_str(&body).unwrap();
        let version = config["version"].as_u64().unwrap_or(0);
        if !(newest_acknowledged.unwrap_or(1)..=newest_sent).contains(&version) {
            violations.push(format!(
                "replica {addr} returned version {version}; {newest_acknowledged:?} was the newest acknowledged and {newest_sent} the newest sent"
            ));
        }
    }
}
