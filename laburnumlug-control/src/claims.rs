//! Claims of calls that may run at most once.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use laburnumlug_mesh::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, ClaimSequence, Fingerprint,
};
use serde::{Deserialize, Serialize};

/// How long a claim is kept after it was taken, in milliseconds of the log's time.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Most claims that are kept.
///
/// No claim is dropped before its retention ends, so a full table refuses new ones.
const MAX_CLAIMS: usize = 100_000;

/// Most bytes of answers that are kept; the oldest answers go first.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A claim as the log's records built it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Claim {
    fingerprint: Fingerprint,
    holder: ClaimHolder,
    /// Newest of the holder's tries.
    turn: ClaimSequence,
    /// Number of the claim in the order in which claims were taken.
    number: u64,
    /// What came of the call, once it is known.
    result: Option<ClaimResult>,
}

impl Claim {
    /// Returns whether the holder may still state what came of its try.
    fn is_open_for(&self, holder: &ClaimHolder, turn: ClaimSequence) -> bool {
        self.holder == *holder && self.turn == turn && self.result.is_none()
    }
}

/// When a claim was taken, which settles when it expires.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Taken {
    /// Log time in milliseconds.
    time_ms: u64,
    id: ClaimId,
}

/// Bounds of the claims that are kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimLimits {
    claims: usize,
    answer_bytes: usize,
    retention_ms: u64,
}

/// All claims, computed from the log's records and nothing else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claims {
    limits: ClaimLimits,
    /// Claims by id, as a list so that any text format can hold it.
    #[serde(with = "claim_list")]
    claims: HashMap<ClaimId, Claim>,
    /// Each claim of `claims` by its number, so the oldest first.
    by_number: BTreeMap<u64, Taken>,
    /// Numbers of the claims with a recorded answer.
    answered: BTreeSet<u64>,
    /// Size of all recorded answers.
    answer_bytes: usize,
    next_number: u64,
    /// Latest time of any record; a new leader's clock may lag behind it.
    time_ms: u64,
}

impl Default for Claims {
    fn default() -> Claims {
        Claims::with_limits(ClaimLimits {
            claims: MAX_CLAIMS,
            answer_bytes: MAX_ANSWER_BYTES,
            retention_ms: CLAIM_RETENTION_MS,
        })
    }
}

impl Claims {
    fn with_limits(limits: ClaimLimits) -> Claims {
        Claims {
            limits,
            claims: HashMap::new(),
            by_number: BTreeMap::new(),
            answered: BTreeSet::new(),
            answer_bytes: 0,
            next_number: 0,
            time_ms: 0,
        }
    }

    /// Applies one command from a record of log time `time_ms`.
    pub(crate) fn apply(&mut self, time_ms: u64, command: ClaimCommand) -> ClaimOutcome {
        self.time_ms = self.time_ms.max(time_ms);
        self.expire();
        match command {
            ClaimCommand::Acquire {
                id,
                fingerprint,
                holder,
                turn,
            } => self.take(id, fingerprint, holder, turn),
            ClaimCommand::Query { id, fingerprint } => self.look(&id, fingerprint),
            ClaimCommand::RecordResult {
                id,
                holder,
                turn,
                result,
            } => self.settle(&id, &holder, turn, result),
            ClaimCommand::Release { id, holder, turn } => self.release(&id, &holder, turn),
        }
    }

    fn take(
        &mut self,
        id: ClaimId,
        fingerprint: Fingerprint,
        holder: ClaimHolder,
        turn: ClaimSequence,
    ) -> ClaimOutcome {
        let is_full = self.claims.len() >= self.limits.claims;
        match self.claims.get_mut(&id) {
            Some(claim) if claim.fingerprint != fingerprint => return ClaimOutcome::KeyReused,
            Some(Claim {
                result: Some(result),
                ..
            }) => return ClaimOutcome::Completed(result.clone()),
            Some(claim) if claim.holder == holder && claim.turn <= turn => {
                claim.turn = turn;
                return ClaimOutcome::Granted;
            }
            Some(claim) => return ClaimOutcome::Held(claim.holder.clone()),
            None if is_full => return ClaimOutcome::Full,
            None => {}
        }
        let number = self.next_number;
        self.next_number += 1;
        let taken = Taken {
            time_ms: self.time_ms,
            id: id.clone(),
        };
        self.by_number.insert(number, taken);
        let claim = Claim {
            fingerprint,
            holder,
            turn,
            number,
            result: None,
        };
        self.claims.insert(id, claim);
        ClaimOutcome::Granted
    }

    fn look(&self, id: &ClaimId, fingerprint: Fingerprint) -> ClaimOutcome {
        match self.claims.get(id) {
            None => ClaimOutcome::Unclaimed,
            Some(claim) if claim.fingerprint != fingerprint => ClaimOutcome::KeyReused,
            Some(claim) => match &claim.result {
                Some(result) => ClaimOutcome::Completed(result.clone()),
                None => ClaimOutcome::Held(claim.holder.clone()),
            },
        }
    }

    fn settle(
        &mut self,
        id: &ClaimId,
        holder: &ClaimHolder,
        turn: ClaimSequence,
        result: ClaimResult,
    ) -> ClaimOutcome {
        let Some(claim) = self.claims.get_mut(id) else {
            return ClaimOutcome::Recorded;
        };
        // The first result stands: a repeated statement changes nothing.
        if !claim.is_open_for(holder, turn) {
            return ClaimOutcome::Recorded;
        }
        if let ClaimResult::Answered(answer) = &result {
            self.answer_bytes += answer.size();
            self.answered.insert(claim.number);
        }
        claim.result = Some(result);
        while self.answer_bytes > self.limits.answer_bytes {
            self.drop_oldest_answer();
        }
        ClaimOutcome::Recorded
    }

    fn release(&mut self, id: &ClaimId, holder: &ClaimHolder, turn: ClaimSequence) -> ClaimOutcome {
        let releasable = |claim: &&Claim| claim.is_open_for(holder, turn);
        if let Some(number) = self.claims.get(id).filter(releasable).map(|c| c.number) {
            self.claims.remove(id);
            self.by_number.remove(&number);
        }
        ClaimOutcome::Recorded
    }

    fn drop_oldest_answer(&mut self) {
        let oldest = self.answered.pop_first();
        let taken = oldest.and_then(|number| self.by_number.get(&number));
        let Some(claim) = taken.and_then(|taken| self.claims.get_mut(&taken.id)) else {
            return;
        };
        if let Some(ClaimResult::Answered(answer)) = &claim.result {
            let status = answer.status;
            self.answer_bytes -= answer.size();
            claim.result = Some(ClaimResult::AnswerNotKept { status });
        }
    }

    /// Drops the claims whose retention has ended.
    fn expire(&mut self) {
        let horizon = self.time_ms.saturating_sub(self.limits.retention_ms);
        while let Some(oldest) = self.by_number.first_entry() {
            if oldest.get().time_ms >= horizon {
                return;
            }
            let (number, taken) = oldest.remove_entry();
            self.answered.remove(&number);
            let claim = self.claims.remove(&taken.id);
            self.answer_bytes -= claim.and_then(|c| c.result).map_or(0, |r| answer_size(&r));
        }
    }
}

fn answer_size(result: &ClaimResult) -> usize {
    match result {
        ClaimResult::Answered(answer) => answer.size(),
        _ => 0,
    }
}

/// Keeps the map as a list of pairs, sorted so that equal states have equal snapshots.
mod claim_list {
    use serde::{Deserializer, Serializer};

    use super::*;

    pub(super) fn serialize<S>(map: &HashMap<ClaimId, Claim>, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut list: Vec<(&ClaimId, &Claim)> = map.iter().collect();
        list.sort_unstable_by_key(|(id, _)| *id);
        list.serialize(s)
    }

    pub(super) fn deserialize<'de, D>(d: D) -> Result<HashMap<ClaimId, Claim>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let list = Vec::<(ClaimId, Claim)>::deserialize(d)?;
        Ok(list.into_iter().collect())
    }
}

#[cfg(test)]
mod tests;
