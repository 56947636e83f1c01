//! Versions of the configuration that gateways obey and control processes return, which never go back.

use std::time::Duration;

use crate::Run;
use crate::callers::CallRecord;
use crate::injector::Interruption;
use crate::operator::Change;

/// Time after an acknowledgement within which a gateway may obey the version before, if the core is disturbed.
const DISTURBED_CONFIG_TIME: Duration = Duration::from_secs(7);

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
    for denied in probes(calls).filter(|(record, _)| record.status() == Some(404)) {
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
        let seen = probes(calls).find(|(before, newer)| {
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

/// Returns the requests for routes of a version, and the version.
fn probes(calls: &[CallRecord]) -> impl Iterator<Item = (&CallRecord, u64)> {
    let probes = calls.iter().filter(|record| record.route == "v");
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
