//! Tests of the parent module.

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

fn take_in(key: u8, by: u8, turn: ClaimSequence) -> ClaimCommand {
    ClaimCommand::Acquire {
        id: id(key),
        fingerprint: fingerprint(0),
        holder: holder(by),
        turn,
    }
}

fn take(key: u8, by: u8) -> ClaimCommand {
    take_in(key, by, 0)
}

fn settle(key: u8, by: u8, bytes: usize) -> ClaimCommand {
    ClaimCommand::RecordResult {
        id: id(key),
        holder: holder(by),
        turn: 0,
        result: answer(bytes),
    }
}

fn release_in(key: u8, by: u8, turn: ClaimSequence) -> ClaimCommand {
    ClaimCommand::Release {
        id: id(key),
        holder: holder(by),
        turn,
    }
}

fn release(key: u8, by: u8) -> ClaimCommand {
    release_in(key, by, 0)
}

#[test]
fn take_second_holder() {
    let mut claims = Claims::with_limits(LIMITS);
    assert_eq!(claims.apply(0, take(1, 1)), ClaimOutcome::Granted);
    assert_eq!(claims.apply(1, take(1, 2)), ClaimOutcome::Held(holder(1)));
    assert_eq!(claims.apply(2, take(1, 1)), ClaimOutcome::Granted);
}

#[test]
fn take_other_fingerprint() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take(1, 1));
    let other = ClaimCommand::Acquire {
        id: id(1),
        fingerprint: fingerprint(9),
        holder: holder(1),
        turn: 0,
    };
    assert_eq!(claims.apply(1, other), ClaimOutcome::KeyReused);
}

#[test]
fn take_at_count_limit() {
    let mut claims = Claims::with_limits(LIMITS);
    for key in 0..4 {
        assert_eq!(claims.apply(0, take(key, 1)), ClaimOutcome::Granted);
    }
    assert_eq!(claims.apply(0, take(4, 1)), ClaimOutcome::Full);
    assert_eq!(claims.apply(0, take(3, 1)), ClaimOutcome::Granted);
    assert_eq!(claims.apply(11, take(4, 1)), ClaimOutcome::Granted);
}

#[test]
fn take_retention_edge() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(5, take(1, 1));
    assert_eq!(claims.apply(15, take(1, 2)), ClaimOutcome::Held(holder(1)));
    assert_eq!(claims.apply(16, take(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn look_changes_nothing() {
    let mut claims = Claims::with_limits(LIMITS);
    let look = ClaimCommand::Query {
        id: id(1),
        fingerprint: fingerprint(0),
    };
    assert_eq!(claims.apply(0, look.clone()), ClaimOutcome::Unclaimed);
    claims.apply(0, take(1, 1));
    assert_eq!(claims.apply(0, look.clone()), ClaimOutcome::Held(holder(1)));
    claims.apply(0, settle(1, 1, 2));
    assert_eq!(claims.apply(0, look), ClaimOutcome::Completed(answer(2)));
}

#[test]
fn settle_by_other_holder() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take(1, 1));
    claims.apply(0, settle(1, 2, 1));
    assert_eq!(claims.apply(0, take(1, 2)), ClaimOutcome::Held(holder(1)));
}

#[test]
fn settle_drops_oldest_answer() {
    let mut claims = Claims::with_limits(LIMITS);
    for key in 1..=2 {
        claims.apply(0, take(key, 1));
        claims.apply(0, settle(key, 1, 15));
    }
    let not_kept = ClaimResult::AnswerNotKept { status: 201 };
    assert_eq!(
        claims.apply(0, take(1, 2)),
        ClaimOutcome::Completed(not_kept)
    );
    assert_eq!(
        claims.apply(0, take(2, 2)),
        ClaimOutcome::Completed(answer(15))
    );
}

#[test]
fn release_lets_others_take() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take(1, 1));
    claims.apply(0, release(1, 2));
    assert_eq!(claims.apply(0, take(1, 2)), ClaimOutcome::Held(holder(1)));
    claims.apply(0, release(1, 1));
    assert_eq!(claims.apply(0, take(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn release_late_copy() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take_in(1, 1, 1));
    claims.apply(0, release_in(1, 1, 1));
    assert_eq!(claims.apply(0, take_in(1, 1, 2)), ClaimOutcome::Granted);
    claims.apply(0, release_in(1, 1, 1));
    assert_eq!(claims.apply(0, take(1, 2)), ClaimOutcome::Held(holder(1)));
}

#[test]
fn take_late_copy() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take_in(1, 1, 2));
    assert_eq!(
        claims.apply(0, take_in(1, 1, 1)),
        ClaimOutcome::Held(holder(1))
    );
    claims.apply(0, release_in(1, 1, 2));
    assert_eq!(claims.apply(0, take(1, 2)), ClaimOutcome::Granted);
}

#[test]
fn release_after_settle() {
    let mut claims = Claims::with_limits(LIMITS);
    claims.apply(0, take(1, 1));
    claims.apply(0, settle(1, 1, 3));
    claims.apply(0, release(1, 1));
    assert_eq!(
        claims.apply(0, take(1, 1)),
        ClaimOutcome::Completed(answer(3))
    );
}

/// A command and the time by which the log's time moves on before it.
#[derive(Clone, Debug)]
struct Step {
    later_ms: u64,
    command: ClaimCommand,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let key = u8::arbitrary(g) % 6;
        let by = u8::arbitrary(g) % 3;
        let command = match u8::arbitrary(g) % 4 {
            0 | 1 => take(key, by),
            2 => settle(key, by, usize::from(u8::arbitrary(g) % 12)),
            _ => release(key, by),
        };
        Step {
            later_ms: u64::from(u8::arbitrary(g) % 4),
            command,
        }
    }
}

/// What a holder does with one key, or which of its former commands arrives once more.
#[derive(Clone, Debug)]
enum Act {
    Take {
        by: u8,
    },
    /// Ends the holder's try: with a run, or with proof that it did not run.
    End {
        by: u8,
        ran: bool,
    },
    LateCopy {
        index: usize,
    },
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        let by = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 4 {
            0 | 1 => Act::Take { by },
            2 => Act::End {
                by,
                ran: bool::arbitrary(g),
            },
            _ => Act::LateCopy {
                index: usize::arbitrary(g),
            },
        }
    }
}

quickcheck! {
    fn apply_late_copies_run_once(acts: Vec<Act>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        let mut sent: Vec<ClaimCommand> = Vec::new();
        // Holders whose claim was granted in the try of this number and that may run now.
        let mut trying: HashMap<u8, ClaimSequence> = HashMap::new();
        let mut runs = 0;
        for (turn, act) in (1..).zip(acts) {
            let command = match act {
                Act::Take { by } if !trying.contains_key(&by) => take_in(1, by, turn),
                Act::End { by, ran: true } if trying.contains_key(&by) => {
                    runs += 1;
                    ClaimCommand::RecordResult {
                        id: id(1),
                        holder: holder(by),
                        turn: trying[&by],
                        result: answer(1),
                    }
                }
                Act::End { by, ran: false } if trying.contains_key(&by) => {
                    release_in(1, by, trying[&by])
                }
                Act::LateCopy { index } if !sent.is_empty() => {
                    let copy = sent[index % sent.len()].clone();
                    claims.apply(0, copy);
                    continue;
                }
                _ => continue,
            };
            sent.push(command.clone());
            let granted = claims.apply(0, command) == ClaimOutcome::Granted;
            match act {
                Act::Take { by } if granted => drop(trying.insert(by, turn)),
                Act::End { by, .. } => drop(trying.remove(&by)),
                _ => {}
            }
            if trying.len() > 1 {
                return false;
            }
        }
        runs <= 1
    }

    fn apply_keeps_bounds(steps: Vec<Step>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        let mut time_ms = 0;
        steps.into_iter().all(|step| {
            time_ms += step.later_ms;
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
            time_ms += step.later_ms;
            claims.apply(time_ms, step.command);
        }
        let text = serde_json::to_string(&claims).unwrap();
        let mut restored: Claims = serde_json::from_str(&text).unwrap();
        after.into_iter().all(|step| {
            time_ms += step.later_ms;
            let outcome = claims.apply(time_ms, step.command.clone());
            outcome == restored.apply(time_ms, step.command)
        }) && claims == restored
    }

    fn settle_first_result_stands(sizes: Vec<u8>) -> bool {
        let mut claims = Claims::with_limits(LIMITS);
        claims.apply(0, take(1, 1));
        let mut results = HashSet::new();
        for size in sizes {
            claims.apply(0, settle(1, 1, usize::from(size % 20)));
            if let ClaimOutcome::Completed(result) = claims.apply(0, take(1, 2)) {
                results.insert(format!("{result:?}"));
            }
        }
        results.len() <= 1
    }
}
