//! Compares what servers received with what callers and the operator were told.

use std::collections::HashMap;
use std::time::Duration;

use serde_json::Value;

use crate::Run;
use crate::callers::Called;
use crate::client;
use crate::harness::wait_for;
use crate::site::Site;

/// Events of a whole stream.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// Time from a request's arrival before a planned stop in which its answer may be due.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Returns everything that must not have happened.
pub async fn check(site: &Site, run: &Run) -> Vec<String> {
    let mut violations = run.violations.borrow().clone();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for headers in site.servers.iter().flat_map(|server| server.received()) {
        let id = headers["x-request-id"].to_str().unwrap().to_string();
        *runs.entry(id).or_default() += 1;
    }
    let calls = run.calls.borrow().clone();
    for called in calls.iter() {
        let runs = runs.get(&called.id).copied().unwrap_or(0);
        if let Some(fault) = fault_of(called, runs) {
            violations.push(format!("{fault}: {runs} runs, {called:?}"));
        }
        if runs > 0 && called.body.is_none() && was_cut_by_plan(run, called) {
            violations.push(format!("cut by a planned stop: {called:?}"));
        }
    }
    check_changes(site, run, &mut violations).await;
    let whole = calls
        .iter()
        .filter(|called| called.status == Some(200))
        .count();
    let refused = calls
        .iter()
        .filter(|called| called.status == Some(503))
        .count();
    let stops = run.stops.borrow().len();
    let acknowledged = run
        .changes
        .borrow()
        .iter()
        .filter(|c| c.acknowledged)
        .count();
    println!(
        "{} calls, {whole} answered, {refused} refused, {stops} stops of gateways, {acknowledged} of {} changes",
        calls.len(),
        run.changes.borrow().len()
    );
    if whole == 0 || acknowledged == 0 {
        violations.push("nothing was served, so nothing was shown".to_string());
    }
    violations
}

fn fault_of(called: &Called, runs: usize) -> Option<&'static str> {
    let body = called.body.as_deref();
    match called.status {
        Some(503) if runs > 0 => Some("told not to have run, and did"),
        Some(200) if runs == 0 => Some("told to have run, and did not"),
        Some(404) => Some("a route of every configuration was denied"),
        _ if called.route == "once" && runs > 1 => Some("ran more than once"),
        Some(200) if called.route == "stream" && body.is_some_and(|body| body != EVENTS) => {
            Some("a stream that seems whole and is not")
        }
        Some(200)
            if called.route != "stream" && body.is_some_and(|b| !b.starts_with("answer of")) =>
        {
            Some("another answer than the server's")
        }
        _ => None,
    }
}

/// Returns whether a planned stop of the gateway, and no fault of it, came while the request was in progress.
fn was_cut_by_plan(run: &Run, called: &Called) -> bool {
    let stops = run.stops.borrow();
    let mut during = stops.iter().filter(|stop| {
        stop.gateway == called.gateway
            && called.sent_at <= stop.until
            && stop.from <= called.sent_at + TIMEOUT
    });
    let any = during.clone().next().is_some();
    any && during.all(|stop| stop.planned)
}

/// The highest acknowledged configuration, or a later one, is read at every replica.
async fn check_changes(site: &Site, run: &Run, violations: &mut Vec<String>) {
    let changes = run.changes.borrow().clone();
    let highest = changes
        .iter()
        .filter(|c| c.acknowledged)
        .map(|c| c.number)
        .max();
    let last = changes
        .iter()
        .map(|change| change.number)
        .max()
        .unwrap_or(1);
    for addr in site.operators() {
        let body = wait_for("confirmed configuration", || async {
            let (status, body) = client::get_status_and_body(addr, "/config/get").await?;
            (status == 200).then_some(body)
        })
        .await;
        let config: Value = serde_json::from_str(&body).unwrap();
        let number = config["version"].as_u64().unwrap_or(0);
        if !(highest.unwrap_or(1)..=last).contains(&number) {
            violations.push(format!(
                "{addr} reads {number}, acknowledged was {highest:?}"
            ));
        }
    }
}
