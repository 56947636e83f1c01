//! How much a leader sends to replicas that start again with what they had.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug_mesh::ReplicaId;
use quickcheck::quickcheck;

use crate::entry::{Entry, LogIndex, Membership, Payload, Term};
use crate::entry_log::Log;
use crate::peer::{AppendRequest, AppendResult};
use crate::replica::core::Core;
use crate::replica::leader::Step;
use crate::storage::Meta;

fn replica(name: &str) -> ReplicaId {
    ReplicaId {
        name: name.to_string(),
        incarnation: 1,
    }
}

/// Returns a replica that has just started with entries of these terms and knows of none that it is committed.
fn started(name: &str, term: Term, terms: &[Term]) -> Core {
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

/// Has the leader send to the follower until it holds all; returns how many messages and entries that took.
fn replicate(leader: &mut Core, follower: &mut Core) -> (usize, usize) {
    leader.note_identity("b", replica("b"), Instant::now());
    let (mut messages, mut entries) = (0, 0);
    while leader.has_work_for("b") {
        let Some(Step::Append(req)) = leader.step_for("b") else {
            panic!("nothing to append");
        };
        (messages, entries) = (messages + 1, entries + req.entries.len());
        assert!(messages < 100, "the leader does not come to an end");
        take(leader, follower, &req);
    }
    (messages, entries)
}

fn take(leader: &mut Core, follower: &mut Core, req: &AppendRequest) {
    let crate::replica::core::Role::Leader(leadership) = &mut leader.role else {
        panic!("not a leader");
    };
    let progress = leadership.progress.get_mut("b").unwrap();
    match follower.take_entries(req) {
        Some(AppendResult::Matched(matched)) => progress.next = matched + 1,
        Some(AppendResult::BeginAt(next)) => progress.next = next,
        other => panic!("{other:?}"),
    }
}

fn terms(core: &Core) -> Vec<Term> {
    core.log.from(1).map(|entry| entry.term).collect()
}

/// All replicas lost power; the new leader's first entry is all that the others lack.
#[test]
fn replicate_after_restart_of_all() {
    let terms_held = [1; 20];
    let mut leader = started("a", 2, &terms_held);
    leader.lead(Instant::now(), 0);
    let mut follower = started("b", 2, &terms_held);
    assert_eq!(replicate(&mut leader, &mut follower), (1, 1));
    assert_eq!(follower.log.last_index(), 21);
}

/// A replica that was away for some entries gets these alone, behind one message that tells how far it has come.
#[test]
fn replicate_to_lagging_replica() {
    let mut leader = started("a", 2, &[1; 20]);
    leader.lead(Instant::now(), 0);
    let mut follower = started("b", 2, &[1; 15]);
    assert_eq!(replicate(&mut leader, &mut follower), (2, 7));
}

quickcheck! {
    /// Whatever was left uncommitted in either log, the follower ends with the leader's.
    fn replicate_any_logs(common: u8, leaders: Vec<bool>, followers: Vec<bool>) -> bool {
        let rest = |base: Term, steps: &[bool]| {
            steps.iter().scan(base, |term, step| {
                *term += 2 * Term::from(*step);
                Some(*term)
            }).collect::<Vec<Term>>()
        };
        let common = vec![1; usize::from(common % 8)];
        // Terms of one leader are even and of the other odd, so equal terms mean equal entries.
        let of_leader = [common.clone(), rest(2, &leaders[..leaders.len().min(20)])].concat();
        let of_follower = [common, rest(3, &followers[..followers.len().min(20)])].concat();
        let mut leader = started("a", 100, &of_leader);
        leader.lead(Instant::now(), 0);
        let mut follower = started("b", 100, &of_follower);
        replicate(&mut leader, &mut follower);
        terms(&follower) == terms(&leader)
    }
}
