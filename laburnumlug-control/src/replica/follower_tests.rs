//! Number of messages and entries that a leader sends to replicas that restart with an existing log.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug_mesh::ReplicaId;
use quickcheck::quickcheck;

use crate::command::{Command, FleetChange};
use crate::entry::{Entry, LogIndex, Membership, Payload, Term};
use crate::entry_log::Log;
use crate::peer::{AppendRequest, AppendResult};
use crate::replica::core::Core;
use crate::replica::replication::ReplicationStep;
use crate::state::State;
use crate::storage::{Meta, Snapshot};

fn replica(name: &str) -> ReplicaId {
    ReplicaId {
        name: name.to_string(),
        incarnation: 1,
    }
}

/// Returns a replica that has just restarted with entries of these terms, none of them known to be committed.
fn restarted(name: &str, term: Term, terms: &[Term]) -> Core {
    let meta = Meta {
        replica: replica(name),
        cluster: Some(7),
        term,
        voted_for: None,
    };
    let voters = Rc::new(vec![replica("a"), replica("b"), replica("c")]);
    let mut log = Log::new(0, 0, Membership { index: 0, voters });
    for (i, term) in terms.iter().enumerate() {
        log.push(Rc::new(Entry {
            index: i as LogIndex + 1,
            term: *term,
            time_ms: 0,
            payload: Payload::Noop,
        }));
    }
    let mut core = Core::new(Instant::now(), meta, log, 100);
    core.verified = true;
    core
}

/// Replicates until the follower has all entries; returns the number of messages and of entries sent.
fn replicate(leader: &mut Core, follower: &mut Core) -> (usize, usize) {
    leader.record_identity("b", replica("b"), Instant::now());
    let (mut messages, mut entries) = (0, 0);
    while leader.has_work_for("b") {
        let Some(ReplicationStep::Append(req)) = leader.next_step_for("b") else {
            panic!("nothing to append");
        };
        (messages, entries) = (messages + 1, entries + req.entries.len());
        assert!(
            messages < 100,
            "replication did not finish within 100 messages"
        );
        deliver(leader, follower, &req);
    }
    (messages, entries)
}

fn deliver(leader: &mut Core, follower: &mut Core, req: &AppendRequest) {
    let crate::replica::core::ReplicaRole::Leader(leadership) = &mut leader.role else {
        panic!("not a leader");
    };
    let progress = leadership.progress.get_mut("b").unwrap();
    match follower.append_entries(req) {
        Some(AppendResult::Matched(match_index)) => progress.next_index = match_index + 1,
        Some(AppendResult::NextIndex(next)) => progress.next_index = next,
        other => panic!("unexpected append result: {other:?}"),
    }
}

fn terms(core: &Core) -> Vec<Term> {
    core.log.entries_from(1).map(|entry| entry.term).collect()
}

/// After all replicas restart with equal logs, a follower lacks only the new leader's first entry.
#[test]
fn replicate_after_restart_of_all() {
    let initial_terms = [1; 20];
    let mut leader = restarted("a", 2, &initial_terms);
    leader.start_leading(Instant::now(), 0);
    let mut follower = restarted("b", 2, &initial_terms);
    assert_eq!(replicate(&mut leader, &mut follower), (1, 1));
    assert_eq!(follower.log.last_index(), 21);
}

/// A lagging replica gets only the entries that it lacks, after one message that finds the end of its log.
#[test]
fn replicate_to_lagging_replica() {
    let mut leader = restarted("a", 2, &[1; 20]);
    leader.start_leading(Instant::now(), 0);
    let mut follower = restarted("b", 2, &[1; 15]);
    assert_eq!(replicate(&mut leader, &mut follower), (2, 7));
}

/// Returns a leader that has applied `changes` changes of 300 kB each, and that lacks the answer of a new replica `b`.
fn leader_with_large_changes(changes: u64) -> Core {
    let mut leader = restarted("a", 1, &[]);
    leader.start_leading(Instant::now(), 0);
    for _ in 0..changes {
        let change = FleetChange::new("anna", 0, &"x".repeat(300_000));
        leader.append_as_leader(0, Payload::Command(Command::Fleet(change)));
    }
    leader.commit_to(leader.log.last_index());
    leader.record_identity("b", replica("b"), Instant::now());
    leader
}

/// Guards against a replica with an empty disk that is sent every change since the last snapshot, each with the whole
/// document, and becomes a voter only after the next disk is lost.
#[test]
fn next_step_for_empty_replica() {
    let leader = leader_with_large_changes(10);
    let step = leader.next_step_for("b");
    assert!(matches!(step, Some(ReplicationStep::Install(_))));
    // Few entries are sent as they are.
    let leader = leader_with_large_changes(2);
    let step = leader.next_step_for("b");
    assert!(matches!(step, Some(ReplicationStep::Append(_))));
}

/// Guards against entries that are lost with a snapshot of an earlier index, though they may count towards a majority.
#[test]
fn install_snapshot_before_end_of_log() {
    for (term, last_index) in [(1, 5), (2, 3)] {
        let mut follower = restarted("b", 1, &[1; 5]);
        let membership = follower.log.membership().clone();
        let state = State::new();
        let snapshot = Snapshot {
            index: 3,
            term,
            membership,
            state,
        };
        follower.install_snapshot(snapshot, Vec::new());
        assert_eq!(follower.log.last_index(), last_index);
        assert_eq!(follower.commit_index, 3);
    }
}

quickcheck! {
    /// The follower's log becomes equal to the leader's, whatever uncommitted entries either has.
    fn replicate_any_logs(common: u8, leaders: Vec<bool>, followers: Vec<bool>) -> bool {
        let diverging_terms = |base: Term, steps: &[bool]| {
            steps.iter().scan(base, |term, step| {
                *term += 2 * Term::from(*step);
                Some(*term)
            }).collect::<Vec<Term>>()
        };
        let common = vec![1; usize::from(common % 8)];
        // The logs diverge with even and odd terms, so equal terms mean equal entries.
        let leader_terms = [common.clone(), diverging_terms(2, &leaders[..leaders.len().min(20)])].concat();
        let follower_terms = [common, diverging_terms(3, &followers[..followers.len().min(20)])].concat();
        let mut leader = restarted("a", 100, &leader_terms);
        leader.start_leading(Instant::now(), 0);
        let mut follower = restarted("b", 100, &follower_terms);
        replicate(&mut leader, &mut follower);
        terms(&follower) == terms(&leader)
    }
}

/// Guards against a restarted replica that counts as caught up, and answers by its old state, because a new leader does not know yet
/// what is committed.
#[test]
fn follow_commit_of_new_leader() {
    let mut follower = restarted("b", 2, &[1, 1]);
    follower.follow_commit(2, 0, 2);
    follower.follow_commit(2, 1, 2);
    assert!(!follower.caught_up);
    follower.log.push(Rc::new(Entry {
        index: 3,
        term: 2,
        time_ms: 0,
        payload: Payload::Noop,
    }));
    follower.follow_commit(2, 3, 3);
    assert!(follower.caught_up);
    assert_eq!(follower.applied_index, 3);
}
