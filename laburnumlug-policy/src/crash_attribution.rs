//! Attributes crashes of engines to prompt parts, and blocks the parts that crash engines.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use laburnumlug::TargetName;

use crate::kv_cache::{PartId, PromptParts};
use crate::recent_parts::RecentParts;

/// Number of crashes from which a part is blocked; a part of an unrelated request is seldom in two.
const MIN_CRASHES_TO_BLOCK: usize = 2;

/// Duration of the block after [`MIN_CRASHES_TO_BLOCK`] crashes. It doubles with each further crash.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(30);

/// Maximum duration of a block.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(1800);

/// Time within which reports about the same engine concern the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// Time between crashes within which they may have a common cause other than prompts, such as a power failure.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);

/// How long a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspected parts of one crash.
const MAX_SUSPECTED_PARTS: usize = 64;

/// A crash of an engine, and the prompt parts that may have caused it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCrash {
    /// The engine.
    pub engine: TargetName,
    /// When it crashed.
    pub at: Instant,
    /// Parts of the requests that the engine was beginning to decode; those of one prompt are in order.
    pub parts: Vec<PartId>,
}

/// A prompt part that requests may not have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockedPart {
    /// The part.
    pub part: PartId,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// When the block ends.
    pub until: Instant,
}

/// Finds the prompt parts that crash engines.
///
/// Such a part is in a prompt of each engine that crashes, but in none that completes. Parts that have recently
/// completed are therefore not suspected, and each crash is explained by as few parts as possible: requests that share
/// only their other parts with a harmful prompt are not affected.
#[derive(Clone, Debug, Default)]
pub struct CrashAttribution {
    /// Crashes, oldest first.
    crashes: VecDeque<EngineCrash>,
    completed: RecentParts,
    blocked: HashMap<PartId, BlockedPart>,
}

impl CrashAttribution {
    /// Records that a request has completed, so none of its parts crashes engines.
    pub fn record_completion(&mut self, now: Instant, prompt_parts: &PromptParts) {
        for part in prompt_parts.shareable() {
            self.completed.insert(now, part);
        }
        let is_sound = |part: &PartId| prompt_parts.shareable().any(|sound| sound == *part);
        let mut is_changed = false;
        for crash in &mut self.crashes {
            let before = crash.parts.len();
            crash.parts.retain(|part| !is_sound(part));
            is_changed |= crash.parts.len() < before;
        }
        if is_changed {
            self.update_blocked();
        }
    }

    /// Records a crash, or further parts of a crash that is already known, and returns the newly blocked parts.
    pub fn record_crash(&mut self, now: Instant, crash: EngineCrash) -> Vec<BlockedPart> {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= CRASH_RETENTION;
        if is_expired(crash.at) {
            return Vec::new();
        }
        self.crashes.retain(|known| !is_expired(known.at));
        let suspected = crash
            .parts
            .iter()
            .filter(|part| !self.completed.contains(now, **part));
        let suspected: Vec<PartId> = suspected.copied().collect();
        let is_same = |known: &&mut EngineCrash| {
            known.engine == crash.engine && time_between(known.at, crash.at) < SAME_CRASH_TIME
        };
        match self.crashes.iter_mut().find(is_same) {
            Some(known) => add_parts(&mut known.parts, suspected),
            None => {
                let mut parts = Vec::new();
                add_parts(&mut parts, suspected);
                let index = self.crashes.partition_point(|known| known.at <= crash.at);
                self.crashes.insert(index, EngineCrash { parts, ..crash });
                if self.crashes.len() > MAX_CRASHES {
                    self.crashes.pop_front();
                }
            }
        }
        let blocked_before = self.update_blocked();
        let is_new = |blocked: &&BlockedPart| {
            let before = blocked_before.get(&blocked.part);
            now < blocked.until && before.is_none_or(|before| before.until <= now)
        };
        self.blocked.values().filter(is_new).copied().collect()
    }

    /// Returns a blocked part of a prompt, or `None` if the prompt may be sent.
    pub fn blocked_part(&self, now: Instant, prompt_parts: &PromptParts) -> Option<BlockedPart> {
        if self.blocked.is_empty() {
            return None;
        }
        let blocked = prompt_parts
            .shareable()
            .filter_map(|part| self.blocked.get(&part));
        blocked
            .filter(|blocked| now < blocked.until)
            .max_by_key(|blocked| blocked.until)
            .copied()
    }

    /// Returns the crashes that are remembered, oldest first.
    pub fn crashes(&self) -> impl Iterator<Item = &EngineCrash> {
        self.crashes.iter()
    }

    /// Determines the blocked parts from the crashes, and returns those blocked before.
    ///
    /// The part that explains most crashes is taken first; others have to explain crashes that remain.
    fn update_blocked(&mut self) -> HashMap<PartId, BlockedPart> {
        let mut unexplained: Vec<&EngineCrash> = self.crashes.iter().collect();
        let mut blocked = HashMap::new();
        while let Some((part, crashes)) = most_frequent_part(&unexplained) {
            let is_explained = |crash: &EngineCrash| crash.parts.contains(&part);
            let latest = unexplained.iter().rfind(|crash| is_explained(crash));
            if let Some(latest) = latest {
                let until = latest.at + block_time(crashes);
                blocked.insert(
                    part,
                    BlockedPart {
                        part,
                        crashes,
                        until,
                    },
                );
            }
            unexplained.retain(|crash| !is_explained(crash));
        }
        std::mem::replace(&mut self.blocked, blocked)
    }
}

/// Returns the part that explains most crashes and their number, if they are enough to block it.
///
/// Of parts that explain as many, the one furthest from the start of the prompt is taken, as more prompts share the
/// parts before it.
fn most_frequent_part(crashes: &[&EngineCrash]) -> Option<(PartId, usize)> {
    let mut counts: HashMap<PartId, usize> = HashMap::new();
    for group in crashes.chunk_by(|a, b| time_between(a.at, b.at) < COMMON_CAUSE_TIME) {
        let mut in_group: HashMap<PartId, usize> = HashMap::new();
        for part in group.iter().flat_map(|crash| &crash.parts) {
            *in_group.entry(*part).or_default() += 1;
        }
        for (part, count) in in_group {
            // Crashes at the same time count as one unless the part is in most of them.
            let count = if 2 * count > group.len() { count } else { 1 };
            *counts.entry(part).or_default() += count;
        }
    }
    let max = *counts.values().max()?;
    if max < MIN_CRASHES_TO_BLOCK {
        return None;
    }
    let is_most_frequent = |part: &&PartId| counts.get(part) == Some(&max);
    let mut latest_first = crashes.iter().rev();
    let part = latest_first.find_map(|crash| crash.parts.iter().rfind(is_most_frequent))?;
    Some((*part, max))
}

fn block_time(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(MIN_CRASHES_TO_BLOCK).min(16);
    FIRST_BLOCK_TIME
        .saturating_mul(1 << doublings)
        .min(MAX_BLOCK_TIME)
}

fn add_parts(parts: &mut Vec<PartId>, added: Vec<PartId>) {
    for part in added {
        if !parts.contains(&part) && parts.len() < MAX_SUSPECTED_PARTS {
            parts.push(part);
        }
    }
}

fn time_between(a: Instant, b: Instant) -> Duration {
    a.max(b).saturating_duration_since(a.min(b))
}

#[cfg(test)]
#[path = "crash_attribution_tests.rs"]
mod tests;
