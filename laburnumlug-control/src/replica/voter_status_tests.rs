use std::rc::Rc;

use super::*;
use crate::entry::Membership;
use crate::entry_log::Log;
use crate::replica::leadership::ReplicationProgress;
use crate::storage::Meta;

fn replica(name: &str) -> ReplicaId {
    ReplicaId {
        name: name.to_string(),
        incarnation: 1,
    }
}

/// Returns the replica `a`, with the voters `names` in its log.
fn follower(now: Instant, names: &[&str]) -> Core {
    let meta = Meta {
        replica: replica("a"),
        cluster: Some(1),
        term: 2,
        voted_for: None,
    };
    let voters = Rc::new(names.iter().map(|name| replica(name)).collect());
    let log = Log::new(0, 0, Membership { index: 0, voters });
    let mut core = Core::new(now, meta, log, 100);
    core.verified = true;
    core
}

/// Returns the leader `a`, which the replicas `responsive` have answered at `now`.
fn leader(now: Instant, names: &[&str], responsive: &[&str]) -> Core {
    let mut core = follower(now, names);
    core.start_leading(now - Duration::from_secs(60), 0);
    let ReplicaRole::Leader(leadership) = &mut core.role else {
        panic!("not a leader");
    };
    for name in responsive {
        let progress = ReplicationProgress {
            replica: replica(name),
            next_index: 1,
            match_index: 0,
            last_contact: now,
            acknowledged_commit: 0,
            identified_at: now,
            sent_bytes: 0,
        };
        leadership.progress.insert(name.to_string(), progress);
    }
    core
}

#[test]
fn voter_status_silent_voter_and_learner() {
    let now = Instant::now();
    let core = leader(now, &["a", "b", "c"], &["b", "d"]);
    let status = core.voter_status(now, None);
    let expected = VoterContacts {
        responsive: 2,
        silent: vec!["c".to_string()],
        learners: vec!["d".to_string()],
    };
    assert_eq!(status.contacts, Some(expected));
    assert!(status.is_short());
}

/// Guards against warnings without end where fewer replicas vote than could, and the settings name no number.
#[test]
fn voter_status_number_not_configured() {
    let now = Instant::now();
    let core = leader(now, &["a", "b", "c"], &["b", "c"]);
    assert!(!core.voter_status(now, None).is_short());
    assert!(!core.voter_status(now, Some(3)).is_short());
    assert!(core.voter_status(now, Some(5)).is_short());
    let status = core.voter_status(now, Some(2 * MAX_VOTERS));
    assert_eq!(status.wanted, Some(MAX_VOTERS));
}

#[test]
fn voter_status_follower() {
    let now = Instant::now();
    let status = follower(now, &["a", "b", "c"]).voter_status(now, Some(5));
    assert_eq!((status.voters, &status.contacts), (3, &None));
    assert!(!status.is_short());
}

#[test]
fn state_warning_grace_and_interval() {
    let start = Instant::now();
    let mut warning = StateWarning::default();
    let mut warned = Vec::new();
    for second in 0..35 {
        let now = start + Duration::from_secs(second);
        if let Some(lasting) = warning.record(now, true) {
            warned.push((second, lasting.as_secs()));
        }
    }
    assert_eq!(warned, [(10, 10), (20, 20), (30, 30)]);
    assert!(warning.is_reported());
}

#[test]
fn state_warning_interrupted() {
    let start = Instant::now();
    let mut warning = StateWarning::default();
    for second in 0..35 {
        let now = start + Duration::from_secs(second);
        assert_eq!(warning.record(now, second % 9 > 0), None);
    }
    assert!(!warning.is_reported());
}

/// Guards against warnings of replicas on standby.
#[test]
fn lacks_vote_on_standby() {
    let now = Instant::now();
    let mut core = follower(now, &["b", "c", "d"]);
    core.max_voters = 3;
    assert!(core.lacks_vote(now), "no leader");
    core.last_leader_contact = Some(now);
    assert!(!core.lacks_vote(now));
    core.max_voters = 5;
    assert!(core.lacks_vote(now), "a place is free");
}

#[test]
fn lacks_vote_voter() {
    let now = Instant::now();
    let mut core = follower(now, &["a", "b", "c"]);
    assert!(!core.lacks_vote(now));
    core.verified = false;
    assert!(core.lacks_vote(now));
}
