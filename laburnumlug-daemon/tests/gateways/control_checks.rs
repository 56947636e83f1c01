//! Checks what the operator got from control processes: redirects, and failures in calm.

use std::time::{Duration, Instant};

use crate::Run;
use crate::control_record::{ControlRecord, Outage};
use crate::settle::RECOVERY_TIMEOUT;

/// Time after the begin of an outage within which others may still redirect to the process.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Adds each redirect to a process that could not answer, and each call that failed although no fault was near.
pub fn find_control_violations(run: &Run, violations: &mut Vec<String>) {
    let control = &run.control;
    for attempt in control.attempts.borrow().iter() {
        let member = attempt.member;
        for redirect in &attempt.redirects {
            let (to, sent_at) = (redirect.to, redirect.sent_at);
            if let Some(fault) = redirect_violation(control, to, sent_at) {
                violations.push(format!(
                    "REDIRECT: a call that began at control process {member} was redirected to {to}, {fault}"
                ));
            }
        }
        match &attempt.error {
            Some(error) if is_calm(control, attempt.sent_at, attempt.ended_at) => {
                violations.push(format!(
                    "CALM: a call that began at control process {member} failed without a fault: {error}"
                ));
            }
            _ => {}
        }
    }
}

/// Returns why a request that was sent at `sent_at` must not have been redirected to an address.
fn redirect_violation(
    control: &ControlRecord,
    to: std::net::SocketAddr,
    sent_at: Instant,
) -> Option<String> {
    let listed = control.listed.borrow();
    let outages = control.outages.borrow();
    let Some(target) = listed.iter().position(|listed| listed.addr == to) else {
        return Some("where no control process ever was".to_string());
    };
    if !listed[target].has_disk {
        return Some(format!("process {target} without a replica"));
    }
    let is_out_since = |outage: &Outage, from: Instant| {
        outage.from < from && outage.until.is_none_or(|until| sent_at < until)
    };
    let mut dead_since = outages
        .iter()
        .filter(|outage| outage.member == target && is_out_since(outage, sent_at - DETECTION_TIME));
    let outage = dead_since.next()?;
    let lives = |member: usize| {
        let mut own = outages.iter().filter(|outage| outage.member == member);
        !own.any(|outage| is_out_since(outage, sent_at))
    };
    let others_live = (0..listed.len()).any(|i| listed[i].has_disk && lives(i));
    let dead_for = sent_at - outage.from;
    others_live.then(|| format!("process {target}, dead for {dead_for:?} then"))
}

/// Returns whether no control process had a fault between the recovery time before `from` and `until`.
fn is_calm(control: &ControlRecord, from: Instant, until: Instant) -> bool {
    let outages = control.outages.borrow();
    let listed = control.listed.borrow();
    outages.iter().all(|outage| match outage.until {
        Some(end) => end + RECOVERY_TIMEOUT < from || outage.from > until,
        // One that was removed, and whose successor has an outage that ends.
        None => listed[outage.member].is_removed() && outage.from + RECOVERY_TIMEOUT < from,
    })
}
