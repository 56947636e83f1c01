//! Compares what the stand-ins received with what callers and operators were told.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use laburnumlug_standin::{EngineRecord, OrderOutcome};
use serde_json::{Value, json};

use crate::client::{get_audit, get_document, post};
use crate::harness::{Fleet, wait_for};
use crate::leaving::closed_times;
use crate::ledger::{Booking, Change, Ledger, Told};

/// Returns everything that must not have happened.
pub async fn check(fleet: &Fleet, ledger: &Ledger) -> Vec<String> {
    serves_again(fleet).await;
    let mut violations = ledger.violations.borrow().clone();
    check_bookings(fleet, &ledger.bookings.borrow(), &mut violations);
    check_refused_completions(fleet, ledger, &mut violations);
    let changes = ledger.changes.borrow().clone();
    check_changes(fleet, &changes, &mut violations).await;
    check_leaving(fleet, ledger, &mut violations);
    check_orders(fleet, &mut violations);
    let counts = ledger.counts.borrow().clone();
    println!(
        "{counts:?}, {} bookings, {} changes, {} of unknown outcome",
        ledger.bookings.borrow().len(),
        ledger.changes.borrow().len(),
        ledger.unknown_changes.borrow()
    );
    if counts.whole == 0 || ledger.changes.borrow().is_empty() {
        violations.push("nothing was served, so nothing was shown".to_string());
    }
    violations
}

/// Waits until every entry serves once all faults have ended.
async fn serves_again(fleet: &Fleet) {
    for addr in &fleet.entry_addrs {
        let body = json!({ "model": "digest", "prompt": "again", "max_tokens": 1 }).to_string();
        wait_for("service after the faults", || async {
            let call = post(*addr, "/v1/completions", &[], &body);
            let answer = compio::time::timeout(Duration::from_secs(5), call)
                .await
                .ok()??;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

fn check_bookings(fleet: &Fleet, bookings: &[Booking], violations: &mut Vec<String>) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for content in fleet.bookings.iter().flat_map(|service| service.bookings()) {
        let id = content["booking"].as_str().unwrap_or_default().to_string();
        *runs.entry(id).or_default() += 1;
    }
    for booking in bookings {
        let runs = runs.get(&booking.id).copied().unwrap_or(0);
        let ran = booking.told.contains(&Told::Ran);
        let none_ran = booking.told.iter().all(|told| *told == Told::NotRun);
        let fault = match runs {
            2.. => "ran more than once",
            0 if ran => "was told to have run and did not",
            1 if none_ran => "was told not to have run and did",
            _ => continue,
        };
        violations.push(format!(
            "booking {} {fault}: {runs} runs, told {:?}",
            booking.id, booking.told
        ));
    }
}

fn check_refused_completions(fleet: &Fleet, ledger: &Ledger, violations: &mut Vec<String>) {
    let mut started = HashSet::new();
    for record in fleet.engines.iter().flat_map(|engine| engine.records()) {
        if let EngineRecord::Started { request_id, .. } = record {
            started.insert(request_id);
        }
    }
    for refused in ledger.refused_completions.borrow().iter() {
        if started.contains(&refused.request_id) {
            let id = &refused.request_id;
            violations.push(format!("completion {id} was told not to have run and did"));
        }
    }
}

async fn check_changes(fleet: &Fleet, changes: &[Change], violations: &mut Vec<String>) {
    let newest = changes
        .iter()
        .map(|change| change.version)
        .max()
        .unwrap_or(0);
    for addr in &fleet.operator_addrs {
        let (version, _) = wait_for("a replica that has caught up", || async {
            let reading = compio::time::timeout(Duration::from_secs(2), get_document(*addr)).await;
            reading.ok()?.filter(|(version, _)| *version >= newest)
        })
        .await;
        if version < newest {
            violations.push(format!(
                "replica {addr} is at version {version}, behind {newest}"
            ));
        }
    }
    let mut seen: HashMap<u64, &Change> = HashMap::new();
    for change in changes {
        if let Some(other) = seen.insert(change.version, change) {
            let version = change.version;
            violations.push(format!(
                "version {version} was acknowledged to {} and to {}",
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

fn check_leaving(fleet: &Fleet, ledger: &Ledger, violations: &mut Vec<String>) {
    let closed = closed_times(&ledger.changes.borrow(), *ledger.unknown_changes.borrow());
    for (i, engine) in fleet.engines.iter().enumerate() {
        let target = format!("skriver-{}", i + 1);
        for record in engine.records() {
            let EngineRecord::Started { request_id, at, .. } = record else {
                continue;
            };
            let forbidden = closed
                .iter()
                .find(|closed| closed.target == target && closed.forbids(at));
            if let Some(closed) = forbidden {
                let late = (at - closed.from).as_secs_f64();
                violations.push(format!(
                    "leaving target {target} began request {request_id} {late:.1} s too late"
                ));
            }
        }
    }
}

fn check_orders(fleet: &Fleet, violations: &mut Vec<String>) {
    for (i, engine) in fleet.engines.iter().enumerate() {
        for order in engine.orders() {
            let taken = order.outcome != OrderOutcome::Refused;
            let number = order.fencing;
            let fault = match order.running_order {
                Some(other) if taken => format!("while order {other} ran"),
                None if taken && number < order.highest_seen => {
                    format!("after order {}", order.highest_seen)
                }
                None if order.aborted_completions > 0 => {
                    format!("which cut {} completions", order.aborted_completions)
                }
                _ => continue,
            };
            violations.push(format!("engine {} got order {number} {fault}", i + 1));
        }
    }
}
