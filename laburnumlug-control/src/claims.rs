//! At-most-once execution of calls: the claims that target processes hold on calls, and the recorded results.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use laburnumlug_mesh::{
    ClaimCommand, ClaimHolder, ClaimId, ClaimOutcome, ClaimResult, ClaimSequence, Fingerprint,
};
use serde::{Deserialize, Serialize};

/// Retention of a claim after its first grant, in milliseconds of log time.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum number of claims in the table.
///
/// A claim is never evicted before its retention ends, so new claims are refused while the table is full.
const MAX_CLAIMS: usize = 100_000;

/// Maximum total size of the recorded answers; the oldest are evicted first.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Claim on one call, with its result once that is known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Claim {
    fingerprint: Fingerprint,
    holder: ClaimHolder,
    /// Sequence number of the holder's latest attempt.
    #[serde(rename = "turn")]
    sequence: ClaimSequence,
    /// Number of the claim, in the order of first grants.
    number: u64,
    /// Result of the call, or `None` while the claim is pending.
    result: Option<ClaimResult>,
}

impl Claim {
    /// Returns whether `holder` has the claim in its attempt `sequence` and may still report a result or release it.
    fn is_pending_for(&self, holder: &ClaimHolder, sequence: ClaimSequence) -> bool {
        self.holder == *holder && self.sequence == sequence && self.result.is_none()
    }
}

/// First grant of a claim, from which its retention is counted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FirstGrant {
    /// Log time in milliseconds.
    time_ms: u64,
    id: ClaimId,
}

/// Limits on the stored claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimLimits {
    claims: usize,
    answer_bytes: usize,
    retention_ms: u64,
}

/// All claims; a deterministic function of the log's records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claims {
    limits: ClaimLimits,
    /// Claims by id; serialized as a list, because formats such as JSON allow only strings as map keys.
    #[serde(with = "claim_list")]
    claims: HashMap<ClaimId, Claim>,
    /// First grant of each entry of `claims` by the claim's number, so in the order of expiry.
    by_number: BTreeMap<u64, FirstGrant>,
    /// Numbers of the claims with a recorded answer, in the order of eviction.
    answered: BTreeSet<u64>,
    /// Total size of the recorded answers in bytes.
    answer_bytes: usize,
    next_number: u64,
    /// Latest time of any record; kept monotonic, because the clock of a new leader may be behind.
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

    /// Applies a command from a record with log time `time_ms`.
    pub(crate) fn apply(&mut self, time_ms: u64, command: ClaimCommand) -> ClaimOutcome {
        self.time_ms = self.time_ms.max(time_ms);
        self.evict_expired();
        match command {
            ClaimCommand::Acquire {
                id,
                fingerprint,
                holder,
                sequence,
            } => self.acquire(id, fingerprint, holder, sequence),
            ClaimCommand::Query { id, fingerprint } => self.query(&id, fingerprint),
            ClaimCommand::RecordResult {
                id,
                holder,
                sequence,
                result,
            } => self.record_result(&id, &holder, sequence, result),
            ClaimCommand::Release {
                id,
                holder,
                sequence,
            } => self.release(&id, &holder, sequence),
        }
    }

    fn acquire(
        &mut self,
        id: ClaimId,
        fingerprint: Fingerprint,
        holder: ClaimHolder,
        sequence: ClaimSequence,
    ) -> ClaimOutcome {
        let is_full = self.claims.len() >= self.limits.claims;
        match self.claims.get_mut(&id) {
            Some(claim) if claim.fingerprint != fingerprint => return ClaimOutcome::KeyReused,
            Some(Claim {
                result: Some(result),
                ..
            }) => return ClaimOutcome::Completed(result.clone()),
            Some(claim) if claim.holder == holder && claim.sequence <= sequence => {
                claim.sequence = sequence;
                return ClaimOutcome::Granted;
            }
            Some(claim) => return ClaimOutcome::Held(claim.holder.clone()),
            None if is_full => return ClaimOutcome::Full,
            None => {}
        }
        let number = self.next_number;
        self.next_number += 1;
        let first_grant = FirstGrant {
            time_ms: self.time_ms,
            id: id.clone(),
        };
        self.by_number.insert(number, first_grant);
        let claim = Claim {
            fingerprint,
            holder,
            sequence,
            number,
            result: None,
        };
        self.claims.insert(id, claim);
        ClaimOutcome::Granted
    }

    fn query(&self, id: &ClaimId, fingerprint: Fingerprint) -> ClaimOutcome {
        match self.claims.get(id) {
            None => ClaimOutcome::Unclaimed,
            Some(claim) if claim.fingerprint != fingerprint => ClaimOutcome::KeyReused,
            Some(claim) => match &claim.result {
                Some(result) => ClaimOutcome::Completed(result.clone()),
                None => ClaimOutcome::Held(claim.holder.clone()),
            },
        }
    }

    fn record_result(
        &mut self,
        id: &ClaimId,
        holder: &ClaimHolder,
        sequence: ClaimSequence,
        result: ClaimResult,
    ) -> ClaimOutcome {
        let Some(claim) = self.claims.get_mut(id) else {
            return ClaimOutcome::Recorded;
        };
        // The first result is final, so a duplicate report changes nothing.
        if !claim.is_pending_for(holder, sequence) {
            return ClaimOutcome::Recorded;
        }
        if let ClaimResult::Answered(answer) = &result {
            self.answer_bytes += answer.size();
            self.answered.insert(claim.number);
        }
        claim.result = Some(result);
        while self.answer_bytes > self.limits.answer_bytes {
            self.evict_oldest_answer();
        }
        ClaimOutcome::Recorded
    }

    fn release(
        &mut self,
        id: &ClaimId,
        holder: &ClaimHolder,
        sequence: ClaimSequence,
    ) -> ClaimOutcome {
        let is_releasable = |claim: &&Claim| claim.is_pending_for(holder, sequence);
        if let Some(number) = self.claims.get(id).filter(is_releasable).map(|c| c.number) {
            self.claims.remove(id);
            self.by_number.remove(&number);
        }
        ClaimOutcome::Recorded
    }

    fn evict_oldest_answer(&mut self) {
        let oldest = self.answered.pop_first();
        let first_grant = oldest.and_then(|number| self.by_number.get(&number));
        let Some(claim) = first_grant.and_then(|grant| self.claims.get_mut(&grant.id)) else {
            return;
        };
        if let Some(ClaimResult::Answered(answer)) = &claim.result {
            let status = answer.status;
            self.answer_bytes -= answer.size();
            claim.result = Some(ClaimResult::AnswerNotKept { status });
        }
    }

    /// Evicts the claims whose retention has ended.
    fn evict_expired(&mut self) {
        let cutoff_ms = self.time_ms.saturating_sub(self.limits.retention_ms);
        while let Some(oldest) = self.by_number.first_entry() {
            if oldest.get().time_ms >= cutoff_ms {
                return;
            }
            let (number, first_grant) = oldest.remove_entry();
            self.answered.remove(&number);
            let claim = self.claims.remove(&first_grant.id);
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

/// Serializes the map as a list of pairs, sorted so that equal states have equal snapshots.
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
