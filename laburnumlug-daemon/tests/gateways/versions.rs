//! Versions of the configuration that gateways obey and control processes return, which never go back.

use std::time::Duration;

use crate::Run;
use crate::callers::CallRecord;
use crate::checker::{STABLE_TIME, is_near};
use crate::control_record::ControlRecord;
use crate::deployment::TOLERATED_LOSSES;
use crate::injector::Interruption;
use crate::operator::Change;

/// Time after an acknowledgement within which a gateway may obey the version before, if the core is disturbed.
const DISTURBED_CONFIG_TIME: Duration = Duration::from_secs(7);

/// Time after an acknowledgement within which a gateway may obey the version before, if nothing is disturbed.
const CONFIG_TIME: Duration = Duration::from_secs(2);

/// Time after the effect of a version was seen within which the gateway may obey the version before.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Adds each configuration that is older than an acknowledged one, or than one that was read or obeyed before.
pub fn find_version_violations(run: &Run, calls: &[CallRecord], violations: &mut Vec<String>) {
    let changes = run.changes.borrow();
    let reads = run.reads.borrow();
    for read in reads.iter() {
        let is_before =
            |change: &&Change| change.acknowledged_at.is_some_and(|at| at < read.sent_at);
        let acknowledged = changes
            .iter()
            .filter(is_before)
            .map(|change| change.version)
            .max();
        let before = reads
            .iter()
            .filter(|before| before.answered_at < read.sent_at);
        let newest_read = before.map(|before| before.version).max();
        let is_unknown = read.version > 1 && changes.iter().all(|c| c.version < read.version);
        if acknowledged.max(newest_read) > Some(read.version) || is_unknown {
            violations.push(format!(
                "CONFIG: a call that began at control process {} returned version {}; {acknowledged:?} had been acknowledged, {newest_read:?} read",
                read.member, read.version
            ));
        }
    }
    let interruptions = run.interruptions.borrow();
    let withdrawn = find_withdrawn_routes(&run.control, &changes, &interruptions, calls);
    violations.extend(withdrawn);
    for denied in probes(calls, "v").filter(|(record, _)| record.status() == Some(404)) {
        let (record, version) = denied;
        let acknowledged = changes.iter().any(|change| {
            let at = change.acknowledged_at;
            change.version >= version
                && at.is_some_and(|at| at + DISTURBED_CONFIG_TIME < record.began_at)
        });
        if acknowledged {
            violations.push(format!(
                "CONFIG: gateway {} has no route of the acknowledged version {version}: {}",
                record.gateway, record.id
            ));
        }
        let seen = probes(calls, "v").find(|(before, newer)| {
            *newer >= version
                && before.gateway == record.gateway
                && before.status() == Some(200)
                && before.ended_at + ROLLBACK_SLACK < record.began_at
                && interruptions.iter().all(|i| !separates(i, before, record))
        });
        if let Some((before, newer)) = seen {
            violations.push(format!(
                "CONFIG: gateway {} has no route of version {version} ({}), after it had one of version {newer} ({})",
                record.gateway, record.id, before.id
            ));
        }
    }
}

/// Returns each request that was served by the route of a single version although a newer one had been acknowledged, while the
/// gateway and most of the control processes had run for the stable time.
fn find_withdrawn_routes(
    control: &ControlRecord,
    changes: &[Change],
    interruptions: &[Interruption],
    calls: &[CallRecord],
) -> Vec<String> {
    let served = probes(calls, "only").filter(|(record, _)| record.status() == Some(200));
    let outdated = served.filter_map(|(record, version)| {
        let newer = changes.iter().find(|change| {
            let at = change.acknowledged_at;
            change.version > version && at.is_some_and(|at| at + CONFIG_TIME < record.began_at)
        })?;
        let mut own = interruptions.iter().filter(|i| i.gateway == record.gateway);
        let is_bound = control.was_stable(record.began_at, STABLE_TIME, TOLERATED_LOSSES)
            && !own.any(|interruption| is_near(interruption, record));
        is_bound.then(|| {
            format!(
                "CONFIG: gateway {} served a route that only version {version} has, after version {} was acknowledged: {}",
                record.gateway, newer.version, record.id
            )
        })
    });
    outdated.collect()
}

/// Returns the requests for routes of a version by the kind of route, and the version.
fn probes<'a>(
    calls: &'a [CallRecord],
    kind: &'a str,
) -> impl Iterator<Item = (&'a CallRecord, u64)> {
    let probes = calls.iter().filter(move |record| record.route == kind);
    probes.filter_map(|record| {
        let version = record.path.split('/').nth(2)?.parse().ok()?;
        Some((record, version))
    })
}

/// Returns whether an interruption of the gateway of two requests lies between them.
fn separates(interruption: &Interruption, before: &CallRecord, after: &CallRecord) -> bool {
    interruption.gateway == before.gateway
        && before.ended_at <= interruption.until
        && interruption.from <= after.ended_at
}
