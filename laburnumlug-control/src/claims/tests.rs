//! Tests of the claims.

use std::collections::HashSet;

use laburnumlug_mesh::RecordedResponse;
use quickcheck::{Arbitrary, Gen, quickcheck};

use super::*;

const LIMITS: ClaimLimits = ClaimLimits {
    claims: 4,
    answer_bytes: 20,
    retention_ms: 10,
};

fn id(key: u8) -> ClaimId {
    ClaimId {
        service: "billet".into(),
        caller: "anna".into(),
        key: key.to_string(),
    }
}

fn holder(incarnation: u8) -> ClaimHolder {
    ClaimHolder {
        target: "billet-1".into(),
        incarnation: u64::from(incarnation),
    }
}

fn fingerprint(body: u8) -> Fingerprint {
    Fingerprint::of(&laburnumlug_mesh::PlainRequest {
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: vec![body],
    })
}

fn answer(bytes: usize) -> ClaimResult {
    ClaimResult::Answered(RecordedResponse {
        status: 201,
        headers: Vec::new(),
        body: vec![0; bytes],
    })
}

fn acquire_attempt(key: u8, incarnation: u8, sequence: ClaimSequence) -> ClaimCommand {
    ClaimCommand::Acquire {
        id: id(key),
        fingerprint: fingerprint(0),
        holder: holder(incarnation),
        sequence,
    }
}

fn acquire(key: u8, incarnation: u8) -> ClaimCommand {
    acquire_attempt(key, incarnation, 0)
}

fn record_result(key: u8, incarnation: u8, bytes: usize) -> ClaimCommand {
    ClaimCommand::RecordResult {
        id: id(key),
        holder: holder(incarnation),
        sequence: 0,
        result: answer(bytes),
    }
}

fn release_attempt(key: u8, incarnation: u8, sequence: ClaimSequence) -> ClaimCommand {
    ClaimCommand::Release {
        id: id(key),
        holder: holder(incarnation),
        sequence,
    }
}

fn release(key: u8, incarnation: u8) -> ClaimCommand {
    release_attempt(key, incarnation, 0)
}

#[test]
fn acquire_second_holder() {
    let mut claims = Claims::with_limits(LIMITS);
    assert_eq!(claims.apply(0, acquire(1, 1)), ClaimOutcome::Granted);
    assert_eq!(
        claims.apply(1, acquire(1, 2)),
        ClaimOutcome::Held(holder(1))
    );
    assert_eq!(claims.apply(2, acquire(1, 1)), ClaimOutcome::Granted);
}

#[test]
fn acquire_other_fingerprint() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire(1, 1));
    let other = ClaimCommand::Acquire {
        id: id(1),
        fingerprint: fingerprint(9),
        holder: holder(1),
        sequence: 0,
    };
    assert_eq!(claims.apply(1, other), ClaimOutcome::KeyReused);
}

#[test]
fn acquire_at_count_limit() {
    let mut claims = Claims::with_limits(LIMITS);
    for key in 0..4 {
        assert_eq!(claims.apply(0, acquire(key, 1)), ClaimOutcome::Granted);
    }
    assert_eq!(claims.apply(0, acquire(4, 1)), ClaimOutcome::Full);
    assert_eq!(claims.apply(0, acquire(3, 1)), ClaimOutcome::Granted);
    assert_eq!(claims.apply(11, acquire(4, 1)), ClaimOutcome::Granted);
}

#[test]
fn acquire_at_end_of_retention() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(5, acquire(1, 1));
    assert_eq!(
        claims.apply(15, acquire(1, 2)),
        ClaimOutcome::Held(holder(1))
    );
    assert_eq!(claims.apply(16, acquire(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn query_changes_nothing() {
    let mut claims = Claims::with_limits(LIMITS);
    let query = ClaimCommand::Query {
        id: id(1),
        fingerprint: fingerprint(0),
    };
    assert_eq!(claims.apply(0, query.clone()), ClaimOutcome::Unclaimed);
    claims.apply(0, acquire(1, 1));
    assert_eq!(
        claims.apply(0, query.clone()),
        ClaimOutcome::Held(holder(1))
    );
    claims.apply(0, record_result(1, 1, 2));
    assert_eq!(claims.apply(0, query), ClaimOutcome::Completed(answer(2)));
}

#[test]
fn record_result_of_other_holder() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire(1, 1));
    claims.apply(0, record_result(1, 2, 1));
    assert_eq!(
        claims.apply(0, acquire(1, 2)),
        ClaimOutcome::Held(holder(1))
    );
}

#[test]
fn record_result_evicts_oldest_answer() {
    let mut claims = Claims::with_limits(LIMITS);
    for key in 1..=2 {
        claims.apply(0, acquire(key, 1));
        claims.apply(0, record_result(key, 1, 15));
    }
    let not_kept = ClaimResult::AnswerNotKept { status: 201 };
    assert_eq!(
        claims.apply(0, acquire(1, 2)),
        ClaimOutcome::Completed(not_kept)
    );
    assert_eq!(
        claims.apply(0, acquire(2, 2)),
        ClaimOutcome::Completed(answer(15))
    );
}

#[test]
fn release_allows_other_holder() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire(1, 1));
    claims.apply(0, release(1, 2));
    assert_eq!(
        claims.apply(0, acquire(1, 2)),
        ClaimOutcome::Held(holder(1))
    );
    claims.apply(0, release(1, 1));
    assert_eq!(claims.apply(0, acquire(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn release_delayed_duplicate() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire_attempt(1, 1, 1));
    claims.apply(0, release_attempt(1, 1, 1));
    assert_eq!(
        claims.apply(0, acquire_attempt(1, 1, 2)),
        ClaimOutcome::Granted
    );
    claims.apply(0, release_attempt(1, 1, 1));
    assert_eq!(
        claims.apply(0, acquire(1, 2)),
        ClaimOutcome::Held(holder(1))
    );
}

#[test]
fn acquire_delayed_duplicate() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire_attempt(1, 1, 2));
    assert_eq!(
        claims.apply(0, acquire_attempt(1, 1, 1)),
        ClaimOutcome::Held(holder(1))
    );
    claims.apply(0, release_attempt(1, 1, 2));
    assert_eq!(claims.apply(0, acquire(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn release_after_result() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, acquire(1, 1));
    claims.apply(0, record_result(1, 1, 3));
    claims.apply(0, release(1, 1));
    assert_eq!(
        claims.apply(0, acquire(1, 1)),
        ClaimOutcome::Completed(answer(3))
    );
}

/// A command and the log time that passes before it.
#[derive(Clone, Debug)]
struct Step {
    elapsed_ms: u64,
    command: ClaimCommand,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let key = u8::arbitrary(g) % 6;
        let incarnation = u8::arbitrary(g) % 3;
        let command = match u8::arbitrary(g) % 4 {
            0 | 1 => acquire(key, incarnation),
            2 => record_result(key, incarnation, usize::from(u8::arbitrary(g) % 12)),
            _ => release(key, incarnation),
        };
        Step {
            elapsed_ms: u64::from(u8::arbitrary(g) % 4),
            command,
        }
    }
}

/// Action of a holder with one key, or the delivery of a duplicate of an earlier command.
#[derive(Clone, Debug)]
enum HolderAction {
    Acquire {
        incarnation: u8,
    },
    /// Ends the holder's attempt with a result, or with a release if the call did not run.
    End {
        incarnation: u8,
        has_run: bool,
    },
    Duplicate {
        index: usize,
    },
}

impl Arbitrary for HolderAction {
    fn arbitrary(g: &mut Gen) -> HolderAction {
        let incarnation = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 4 {
            0 | 1 => HolderAction::Acquire { incarnation },
            2 => HolderAction::End {
                incarnation,
                has_run: bool::arbitrary(g),
            },
            _ => HolderAction::Duplicate {
                index: usize::arbitrary(g),
            },
        }
    }
}

quickcheck! {
    fn apply_delayed_duplicates_run_once(actions: Vec<HolderAction>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        let mut sent: Vec<ClaimCommand> = Vec::new();
        // Holders that were granted the claim and may run the call now, with the number of their attempt.
        let mut active: HashMap<u8, ClaimSequence> = HashMap::new();
        let mut runs = 0;
        for (sequence, action) in (1..).zip(actions) {
            let command = match action {
                HolderAction::Acquire { incarnation } if !active.contains_key(&incarnation) => {
                    acquire_attempt(1, incarnation, sequence)
                }
                HolderAction::End { incarnation, has_run: true } if active.contains_key(&incarnation) => {
                    runs += 1;
                    ClaimCommand::RecordResult {
                        id: id(1),
                        holder: holder(incarnation),
                        sequence: active[&incarnation],
                        result: answer(1),
                    }
                }
                HolderAction::End { incarnation, has_run: false } if active.contains_key(&incarnation) => {
                    release_attempt(1, incarnation, active[&incarnation])
                }
                HolderAction::Duplicate { index } if !sent.is_empty() => {
                    let duplicate = sent[index % sent.len()].clone();
                    claims.apply(0, duplicate);
                    continue;
                }
                _ => continue,
            };
            sent.push(command.clone());
            let granted = claims.apply(0, command) == ClaimOutcome::Granted;
            match action {
                HolderAction::Acquire { incarnation } if granted => drop(active.insert(incarnation, sequence)),
                HolderAction::End { incarnation, .. } => drop(active.remove(&incarnation)),
                _ => {}
            }
            if active.len() > 1 {
                return false;
            }
        }
        runs <= 1
    }

    fn apply_keeps_limits(steps: Vec<Step>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        let mut time_ms = 0;
        steps.into_iter().all(|step| {
            time_ms += step.elapsed_ms;
            claims.apply(time_ms, step.command);
            let sizes = claims.claims.values().filter_map(|c| c.result.as_ref());
            let bytes: usize = sizes.map(answer_size).sum();
            bytes == claims.answer_bytes
                && bytes <= LIMITS.answer_bytes
                && claims.claims.len() <= LIMITS.claims
                && claims.claims.len() == claims.by_number.len()
        })
    }

    fn apply_same_after_snapshot(before: Vec<Step>, after: Vec<Step>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        let mut time_ms = 0;
        for step in before {
            time_ms += step.elapsed_ms;
            claims.apply(time_ms, step.command);
        }
        let text = serde_json::to_string(&claims).unwrap();
        let mut restored: Claims = serde_json::from_str(&text).unwrap();
        after.into_iter().all(|step| {
            time_ms += step.elapsed_ms;
            let outcome = claims.apply(time_ms, step.command.clone());
            outcome == restored.apply(time_ms, step.command)
        }) && claims == restored
    }

    fn record_result_keeps_first(sizes: Vec<u8>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        claims.apply(0, acquire(1, 1));
        let mut results = HashSet::new();
        for size in sizes {
            claims.apply(0, record_result(1, 1, usize::from(size % 20)));
            if let ClaimOutcome::Completed(result) = claims.apply(0, acquire(1, 2)) {
                results.insert(format!("{result:?}"));
            }
        }
        results.len() <= 1
    }
}
