use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::*;
use crate::entry::{LogIndex, Membership};
use crate::entry_log::Log;
use crate::position::Position;

const OWN: u8 = 0;
const CLUSTER: u64 = 7;

fn replica(number: u8) -> ReplicaId {
    ReplicaId {
        name: format!("10.0.0.{number}:8443"),
        incarnation: 1,
    }
}

fn membership(index: LogIndex, voters: &[u8]) -> Membership {
    let voters = voters.iter().map(|number| replica(*number)).collect();
    Membership {
        index,
        voters: Rc::new(voters),
    }
}

/// Returns the replica of a folder with this membership, which has just been read.
fn folder(index: LogIndex, voters: &[u8]) -> Core {
    let meta = Meta {
        replica: replica(OWN),
        cluster: Some(CLUSTER),
        term: 3,
        voted_for: None,
    };
    let log = Log::new(index, 3, membership(index, voters));
    Core::new(Instant::now(), meta, log, 100)
}

/// Returns the answer of a replica whose log has this membership, committed or not.
fn answer(number: u8, index: LogIndex, voters: &[u8], is_committed: bool) -> HelloAnswer {
    HelloAnswer {
        replica: replica(number),
        cluster: Some(CLUSTER),
        observed_position: None,
        membership: membership(index, voters),
        commit_index: index - u64::from(!is_committed),
    }
}

#[test]
fn assess_folder_majority_of_own_membership() {
    let core = folder(5, &[0, 1, 2, 3, 4]);
    let answers: Vec<HelloAnswer> = (1..3)
        .map(|i| answer(i, 5, &[0, 1, 2, 3, 4], true))
        .collect();
    assert_eq!(
        core.assess_folder(&answers[..1], 4),
        FolderStatus::Undecided
    );
    assert_eq!(core.assess_folder(&answers, 4), FolderStatus::Complete);
}

/// Guards against a majority that consists of two answers of one voter.
#[test]
fn assess_folder_repeated_answer() {
    let core = folder(5, &[0, 1, 2, 3, 4]);
    let answers = [1, 1].map(|i| answer(i, 5, &[0, 1, 2, 3, 4], true));
    assert_eq!(core.assess_folder(&answers, 4), FolderStatus::Undecided);
}

#[test]
fn assess_folder_behind_observed_position() {
    let core = folder(5, &[0, 1, 2]);
    let mut remembering = answer(1, 5, &[0, 1, 2], true);
    remembering.observed_position = Some(Position {
        term: 3,
        last_term: 3,
        last_index: 6,
    });
    assert_eq!(
        core.assess_folder(&[remembering], 2),
        FolderStatus::Outdated
    );
}

#[test]
fn assess_folder_other_cluster() {
    let core = folder(5, &[0, 1, 2]);
    let mut answers = [1, 2].map(|i| answer(i, 9, &[1, 2, 3], true));
    answers[0].cluster = Some(8);
    answers[1].cluster = None;
    assert_eq!(core.assess_folder(&answers, 2), FolderStatus::Undecided);
    answers[1].cluster = Some(8);
    assert_eq!(core.assess_folder(&answers, 2), FolderStatus::Outdated);
}

#[test]
fn assess_folder_removed_voter() {
    let core = folder(5, &[0, 1, 2]);
    let removed = answer(3, 9, &[3, 4, 5], true);
    assert_eq!(core.assess_folder(&[removed], 6), FolderStatus::Outdated);
}

/// Guards against the loss of a voter's data because of a membership that was logged, but may never be committed.
#[test]
fn assess_folder_uncommitted_removal() {
    let core = folder(5, &[0, 1, 2]);
    let uncommitted = answer(1, 9, &[1, 2], false);
    let older = answer(2, 5, &[0, 1, 2], true);
    assert_eq!(
        core.assess_folder(std::slice::from_ref(&uncommitted), 2),
        FolderStatus::Undecided
    );
    assert_eq!(
        core.assess_folder(&[uncommitted, older], 2),
        FolderStatus::Complete
    );
}

/// Guards against the loss of a voter's data if the removal has the index of the committed membership that names the voter.
#[test]
fn assess_folder_uncommitted_removal_at_committed_index() {
    let core = folder(5, &[0, 1, 2]);
    for numbers in [[1, 2], [2, 1]] {
        let answers = numbers.map(|i| match i {
            1 => answer(1, 9, &[0, 1, 3], true),
            _ => answer(2, 9, &[1, 2], false),
        });
        assert_ne!(core.assess_folder(&answers, 3), FolderStatus::Outdated);
    }
}

/// Guards against a standby that copies everything again after each change of the voters that it missed.
#[test]
fn assess_folder_of_learner() {
    let core = folder(5, &[1, 2, 3]);
    let answers = [1, 2].map(|i| answer(i, 9, &[1, 2, 4], true));
    assert_eq!(
        core.assess_folder(&answers[..1], 3),
        FolderStatus::Undecided
    );
    assert_eq!(core.assess_folder(&answers, 3), FolderStatus::Complete);
}

/// Guards against a replica without entries, not yet in a cluster, that is taken for an older copy.
#[test]
fn assess_folder_without_cluster() {
    let mut core = folder(0, &[]);
    core.meta.cluster = None;
    let answers = [1, 2].map(|i| answer(i, 9, &[1, 2, 4], true));
    assert_eq!(
        core.assess_folder(&answers[..1], 3),
        FolderStatus::Undecided
    );
    assert_eq!(core.assess_folder(&answers, 3), FolderStatus::Complete);
}

/// Answer of one of few replicas with a membership of few voters, so that cases are often related.
#[derive(Clone, Debug)]
struct ArbitraryAnswer(HelloAnswer);

impl Arbitrary for ArbitraryAnswer {
    fn arbitrary(g: &mut Gen) -> ArbitraryAnswer {
        let number = 1 + u8::arbitrary(g) % 5;
        let index = 4 + u64::arbitrary(g) % 4;
        let voters = arbitrary_voters(u8::arbitrary(g));
        let mut answer = answer(number, index, &voters, bool::arbitrary(g));
        answer.cluster = match u8::arbitrary(g) % 8 {
            0 => None,
            1 => Some(CLUSTER + 1),
            _ => Some(CLUSTER),
        };
        ArbitraryAnswer(answer)
    }
}

/// Returns the voters with the numbers of the bits, at least one.
fn arbitrary_voters(bits: u8) -> Vec<u8> {
    let voters: Vec<u8> = (0..6).filter(|i| bits & (1 << i) != 0).collect();
    match voters.is_empty() {
        true => vec![1],
        false => voters,
    }
}

/// A folder is complete only with a majority of the newest membership, of one cluster and with each voter counted once.
#[test]
fn assess_folder_complete_only_with_majority() {
    fn check(own_voters: u8, answers: Vec<ArbitraryAnswer>) -> bool {
        let core = folder(5, &arbitrary_voters(own_voters));
        let answers: Vec<HelloAnswer> = answers.into_iter().take(6).map(|a| a.0).collect();
        if core.assess_folder(&answers, 5) != FolderStatus::Complete {
            return true;
        }
        let same = answers.iter().filter(|a| a.cluster == Some(CLUSTER));
        let same: Vec<&HelloAnswer> = same.collect();
        let memberships = same.iter().map(|a| &a.membership);
        let memberships: Vec<&Membership> = memberships.chain([core.log.membership()]).collect();
        let newest = memberships.iter().map(|m| m.index).max().unwrap();
        let mut newest = memberships.iter().filter(|m| m.index == newest);
        newest.any(|membership| {
            let names = same.iter().map(|a| &a.replica.name);
            let names: BTreeSet<&String> = names.collect();
            let voters = membership.voters.iter();
            let answered = voters.filter(|voter| names.contains(&voter.name)).count();
            let own = usize::from(membership.contains(&replica(OWN)));
            answered + own > membership.voters.len() / 2
        })
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(check as fn(u8, Vec<ArbitraryAnswer>) -> bool);
}

/// Without a remembered position or a foreign majority, only a committed and newer membership of the same cluster resets a voter.
#[test]
fn assess_folder_reset_only_if_removed() {
    fn check(own_voters: u8, answers: Vec<ArbitraryAnswer>) -> bool {
        let core = folder(5, &arbitrary_voters(own_voters));
        let answers: Vec<HelloAnswer> = answers.into_iter().take(6).map(|a| a.0).collect();
        let is_foreign = core.majority_is_foreign(&answers, 5);
        if is_foreign || core.assess_folder(&answers, 5) != FolderStatus::Outdated {
            return true;
        }
        let was_voter = core.log.membership().contains(&replica(OWN));
        was_voter
            && answers.iter().any(|answer| {
                answer.cluster == Some(CLUSTER)
                    && answer.membership.index >= 5
                    && answer.commit_index >= answer.membership.index
                    && !answer.membership.contains(&replica(OWN))
            })
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(check as fn(u8, Vec<ArbitraryAnswer>) -> bool);
}
