//! Compares what the stand-ins received with the responses that callers and operators got.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use laburnumlug_standin::{EngineRecord, OrderOutcome};
use serde_json::{Value, json};

use crate::client::{get_audit, get_document, post, put_document};
use crate::harness::{Fleet, wait_for};
use crate::history::{Booking, Change, History, Verdict};
use crate::leaving::leaving_intervals;

/// Waits until the fleet has recovered, and returns the violations of the guarantees to callers, operators and engines.
pub async fn find_violations(fleet: &Fleet, history: &History) -> Vec<String> {
    wait_for_recovery(fleet).await;
    let mut violations = history.violations.borrow().clone();
    check_bookings(fleet, &history.bookings.borrow(), &mut violations);
    check_refused_completions(fleet, history, &mut violations);
    let changes = history.changes.borrow().clone();
    check_acknowledged_changes(fleet, &changes, &mut violations).await;
    check_leaving_targets(fleet, history, &mut violations);
    check_orders(fleet, &mut violations);
    wait_for_changes(fleet).await;
    let counts = history.counts.borrow().clone();
    println!(
        "{counts:?}, {} bookings, {} acknowledged changes, {} changes of unknown outcome",
        history.bookings.borrow().len(),
        history.changes.borrow().len(),
        history.unknown_changes.borrow()
    );
    if counts.complete == 0 || history.changes.borrow().is_empty() {
        violations.push(
            "no completion arrived whole or no change was acknowledged, so nothing was tested"
                .to_string(),
        );
    }
    violations
}

/// Waits until every entry completes a request again after all faults have ended.
async fn wait_for_recovery(fleet: &Fleet) {
    for addr in &fleet.entry_addrs {
        let body = json!({ "model": "digest", "prompt": "again", "max_tokens": 1 }).to_string();
        wait_for("recovery after the faults", || async {
            let response = post(*addr, "/v1/completions", &[], &body);
            let response = compio::time::timeout(Duration::from_secs(5), response)
                .await
                .ok()??;
            (response.status == 200).then_some(())
        })
        .await;
    }
}

/// Waits until every control replica acknowledges a change again.
async fn wait_for_changes(fleet: &Fleet) {
    for addr in &fleet.operator_addrs {
        wait_for("a change after the faults", || async {
            let (version, document) = get_document(*addr).await?;
            let key = format!("after the faults at {addr} on {version}");
            let document = document.to_string();
            let put = put_document(*addr, version, &key, &document);
            let (status, _) = compio::time::timeout(Duration::from_secs(5), put)
                .await
                .ok()??;
            (status == 200).then_some(())
        })
        .await;
    }
}

fn check_bookings(fleet: &Fleet, bookings: &[Booking], violations: &mut Vec<String>) {
    let mut runs_by_id: HashMap<String, usize> = HashMap::new();
    for content in fleet
        .booking_servers
        .iter()
        .flat_map(|server| server.bookings())
    {
        let id = content["booking"].as_str().unwrap_or_default().to_string();
        *runs_by_id.entry(id).or_default() += 1;
    }
    for booking in bookings {
        let runs = runs_by_id.get(&booking.id).copied().unwrap_or(0);
        let reported_ran = booking.verdicts.contains(&Verdict::Ran);
        let all_reported_not_run = booking
            .verdicts
            .iter()
            .all(|verdict| *verdict == Verdict::NotRun);
        let violation = match runs {
            2.. => "ran more than once",
            0 if reported_ran => "had a verdict `ran` but did not run",
            1 if all_reported_not_run => "had only verdicts `not-run` but ran",
            _ => continue,
        };
        violations.push(format!(
            "booking {} {violation}: {runs} runs, verdicts {:?}",
            booking.id, booking.verdicts
        ));
    }
}

fn check_refused_completions(fleet: &Fleet, history: &History, violations: &mut Vec<String>) {
    let mut started = HashSet::new();
    for record in fleet.engines.iter().flat_map(|engine| engine.records()) {
        if let EngineRecord::Started { request_id, .. } = record {
            started.insert(request_id);
        }
    }
    for refused in history.refused_completions.borrow().iter() {
        if started.contains(&refused.request_id) {
            let id = &refused.request_id;
            violations.push(format!(
                "completion {id} had the verdict `not-run` but was started"
            ));
        }
    }
}

async fn check_acknowledged_changes(
    fleet: &Fleet,
    changes: &[Change],
    violations: &mut Vec<String>,
) {
    let newest_acknowledged = changes
        .iter()
        .map(|change| change.version)
        .max()
        .unwrap_or(0);
    for addr in &fleet.operator_addrs {
        let (version, _) = wait_for("a replica that has caught up", || async {
            let document = compio::time::timeout(Duration::from_secs(2), get_document(*addr)).await;
            document
                .ok()?
                .filter(|(version, _)| *version >= newest_acknowledged)
        })
        .await;
        if version < newest_acknowledged {
            violations.push(format!(
                "replica {addr} is at version {version}, behind the acknowledged {newest_acknowledged}"
            ));
        }
    }
    let mut by_version: HashMap<u64, &Change> = HashMap::new();
    for change in changes {
        if let Some(other) = by_version.insert(change.version, change) {
            let version = change.version;
            violations.push(format!(
                "version {version} was acknowledged for both change {} and change {}",
                other.key, change.key
            ));
        }
    }
    let audit = get_audit(fleet.operator_addrs[0]).await.unwrap_or_default();
    for change in changes {
        let recorded = audit.iter().any(|record| is_record_of(record, change));
        if !recorded {
            violations.push(format!(
                "acknowledged change {} is not in the audit trail",
                change.key
            ));
        }
    }
}

fn is_record_of(record: &Value, change: &Change) -> bool {
    record["key"] == change.key && record.to_string().contains(&change.version.to_string())
}

fn check_leaving_targets(fleet: &Fleet, history: &History, violations: &mut Vec<String>) {
    let leaving = leaving_intervals(&history.changes.borrow(), *history.unknown_changes.borrow());
    for (i, engine) in fleet.engines.iter().enumerate() {
        let target = format!("skriver-{}", i + 1);
        for record in engine.records() {
            let EngineRecord::Started { request_id, at, .. } = record else {
                continue;
            };
            let forbidden = leaving
                .iter()
                .find(|interval| interval.target == target && interval.contains(at));
            if let Some(interval) = forbidden {
                let late = (at - interval.from).as_secs_f64();
                violations.push(format!(
                    "leaving target {target} started request {request_id} {late:.1} s after the latest allowed time"
                ));
            }
        }
    }
}

fn check_orders(fleet: &Fleet, violations: &mut Vec<String>) {
    for (i, engine) in fleet.engines.iter().enumerate() {
        for order in engine.orders() {
            let accepted = order.outcome != OrderOutcome::Refused;
            let number = order.fencing;
            let violation = match order.running_order {
                Some(other) if accepted => format!("while it was applying order {other}"),
                None if accepted && number < order.highest_seen => {
                    format!("after it had seen order {}", order.highest_seen)
                }
                None if order.aborted_completions > 0 => {
                    format!(
                        "which aborted running completions: {}",
                        order.aborted_completions
                    )
                }
                _ => continue,
            };
            violations.push(format!(
                "engine {} received order {number} {violation}",
                i + 1
            ));
        }
    }
}
