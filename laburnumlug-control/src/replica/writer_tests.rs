//! Queue of writes, with a leader whose disk answers nothing while the other voters go on.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug_mesh::ReplicaId;

use crate::command::{Command, FleetChange};
use crate::encoded_len::encoded_len;
use crate::entry::{Membership, Payload};
use crate::entry_log::Log;
use crate::replica::core::{Core, QueuedWrite, ReplicaRole};
use crate::replica::size_limits::SizeLimits;
use crate::storage::Meta;

/// Size of the disk of the leader, in bytes.
const DISK_BYTES: u64 = 4_000_000;

/// Encoded size of a change, about.
const CHANGE_BYTES: usize = 40_000;

fn replica(name: &str) -> ReplicaId {
    ReplicaId {
        name: name.to_string(),
        incarnation: 1,
    }
}

/// Returns the leader `a` of three voters, of which the other two have answered.
fn leader(now: Instant) -> Core {
    let meta = Meta {
        replica: replica("a"),
        cluster: Some(1),
        term: 2,
        voted_for: None,
    };
    let voters = Rc::new(vec![replica("a"), replica("b"), replica("c")]);
    let log = Log::new(0, 0, Membership { index: 0, voters });
    let mut core = Core::new(now, meta, log, 4096);
    core.verified = true;
    core.limits = SizeLimits::for_disk(Some(DISK_BYTES));
    core.start_leading(now, 0);
    for name in ["b", "c"] {
        core.record_identity(name, replica(name), now);
    }
    core
}

/// Commits all entries by the other two voters.
fn commit_by_others(core: &mut Core) {
    let last = core.log.last_index();
    let ReplicaRole::Leader(leadership) = &mut core.role else {
        panic!("not a leader");
    };
    for progress in leadership.progress.values_mut() {
        progress.match_index = last;
    }
    core.commit_by_majority();
    assert_eq!(core.commit_index, last);
}

fn submit_changes(core: &mut Core, count: usize) {
    for _ in 0..count {
        let change = FleetChange::new("anna", 0, &"x".repeat(CHANGE_BYTES));
        core.append_as_leader(0, Payload::Command(Command::Fleet(change)));
        commit_by_others(core);
    }
}

fn queued_bytes(core: &Core) -> u64 {
    let writes = core.pending_writes.iter();
    let bytes = writes.map(|write| match write {
        QueuedWrite::Record(record) => encoded_len(record),
        QueuedWrite::Replace { snapshot, records } => {
            snapshot.as_ref().map_or(0, Vec::len) + encoded_len(records)
        }
    });
    bytes.sum::<usize>() as u64
}

/// Guards against a leader whose memory grows with each change while its own disk hangs.
#[test]
fn queue_bounded_while_disk_hangs() {
    let mut core = leader(Instant::now());
    for _ in 0..200 {
        submit_changes(&mut core, 1);
        let queued = queued_bytes(&core);
        assert!(queued < DISK_BYTES / 4, "{queued} bytes wait to be written");
        let kept = core.log.bytes_between(0, core.log.last_index());
        assert!(kept < DISK_BYTES / 4, "the log in memory has {kept} bytes");
    }
}

/// Guards against a sync that is not reported for writes which a later replacement of the folder has covered.
#[test]
fn next_batch_covers_replaced_writes() {
    let mut core = leader(Instant::now());
    let (_, through) = core.next_batch(true);
    assert_eq!(through, 1, "the leader's first entry is being written");
    submit_changes(&mut core, 200);
    let mut covered = through;
    while !core.pending_writes.is_empty() {
        let (batch, through) = core.next_batch(true);
        assert!(through > covered, "a batch covers no further write");
        covered = through;
        core.record_synced(through, batch.last_index());
    }
    assert_eq!(core.synced_write_count, core.queued_write_count);
    assert_eq!(core.durable_index, core.log.last_index());
}
