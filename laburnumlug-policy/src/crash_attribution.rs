//! Attributes crashes of targets to what their requests held, and blocks what crashes targets.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use laburnumlug::TargetName;

use crate::crash_blame::{Blocks, blocked_contents, blocked_parts};
use crate::kv_cache::PartId;
use crate::recent_map::RecentMap;

/// Time within which reports about the same target concern the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// How long a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of completed suspects of one generation.
const MAX_COMPLETED: usize = 8192;

/// Hash of all that a request asks for; repeats of a request have the same, although their ids differ.
pub type ContentId = u64;

/// Something that requests have in common and that may crash the targets that run them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Suspect {
    /// A prompt part that other requests may share.
    Part(PartId),
    /// Everything that a request asks for.
    Content(ContentId),
}

/// A crash of a target, and what may have caused it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCrash {
    /// The target.
    pub target: TargetName,
    /// When it crashed.
    pub at: Instant,
    /// Suspects of the requests that the target was beginning to run; the parts of one prompt are in order.
    pub suspects: Vec<Suspect>,
}

/// A suspect that requests may not have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// When the block ends.
    pub until: Instant,
}

/// Finds the prompt parts and the repeated requests that crash targets.
///
/// What crashes targets is in a request of each target that crashes, but in none that completes. Suspects that have
/// recently completed are therefore cleared, and each crash is explained by as few others as possible: requests that share
/// only their other parts with a harmful prompt are not affected.
#[derive(Clone, Debug)]
pub struct CrashAttribution {
    /// Crashes, oldest first.
    crashes: VecDeque<TargetCrash>,
    /// Suspects of all crashes.
    suspected: HashSet<Suspect>,
    completed: RecentMap<Suspect, ()>,
    blocked: Blocks,
}

impl Default for CrashAttribution {
    fn default() -> CrashAttribution {
        CrashAttribution {
            crashes: VecDeque::new(),
            suspected: HashSet::new(),
            completed: RecentMap::new(MAX_COMPLETED),
            blocked: Blocks::new(),
        }
    }
}

impl CrashAttribution {
    /// Records that a request has completed, which clears its suspects, and returns the suspects that are newly blocked
    /// since fewer are left.
    pub fn record_completion(&mut self, now: Instant, cleared: &[Suspect]) -> Vec<BlockedSuspect> {
        for suspect in cleared {
            self.completed.insert(now, *suspect, ());
        }
        if !cleared
            .iter()
            .any(|suspect| self.suspected.contains(suspect))
        {
            return Vec::new();
        }
        for crash in &mut self.crashes {
            crash.suspects.retain(|suspect| !cleared.contains(suspect));
        }
        self.update_blocked(now)
    }

    /// Records a crash, or further suspects of a crash that is already known, and returns the newly blocked suspects.
    pub fn record_crash(&mut self, now: Instant, crash: TargetCrash) -> Vec<BlockedSuspect> {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= CRASH_RETENTION;
        if is_expired(crash.at) {
            return Vec::new();
        }
        self.crashes.retain(|known| !is_expired(known.at));
        let mut suspects = crash.suspects;
        suspects.retain(|suspect| self.completed.get(now, suspect).is_none());
        let is_same = |known: &&mut TargetCrash| {
            known.target == crash.target && time_between(known.at, crash.at) < SAME_CRASH_TIME
        };
        match self.crashes.iter_mut().find(is_same) {
            Some(known) => {
                let before = known.suspects.len();
                add_suspects(&mut known.suspects, suspects);
                if known.suspects.len() == before {
                    return Vec::new();
                }
            }
            None => {
                let mut added = TargetCrash {
                    suspects: Vec::new(),
                    ..crash
                };
                add_suspects(&mut added.suspects, suspects);
                let index = self.crashes.partition_point(|known| known.at <= added.at);
                self.crashes.insert(index, added);
                self.evict_crash();
            }
        }
        self.update_blocked(now)
    }

    /// Returns the blocked one of a request's suspects whose block lasts longest, or `None` if the request may be sent.
    pub fn blocked(&self, now: Instant, suspects: &[Suspect]) -> Option<BlockedSuspect> {
        let blocked = suspects
            .iter()
            .filter_map(|suspect| self.blocked.get(suspect));
        blocked
            .filter(|blocked| now < blocked.until)
            .max_by_key(|blocked| blocked.until)
            .copied()
    }

    /// Returns whether any suspect has been blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocked.is_empty()
    }

    /// Returns the crashes that are remembered, oldest first.
    pub fn crashes(&self) -> impl Iterator<Item = &TargetCrash> {
        self.crashes.iter()
    }

    /// Removes a crash if there are too many: the oldest one that no blocked suspect explains, or else the oldest.
    fn evict_crash(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let is_unexplained = |crash: &TargetCrash| {
            let mut suspects = crash.suspects.iter();
            !suspects.any(|suspect| self.blocked.contains_key(suspect))
        };
        let unexplained = self.crashes.iter().position(is_unexplained);
        self.crashes.remove(unexplained.unwrap_or(0));
    }

    /// Determines the blocked suspects from the crashes, and returns the newly blocked ones.
    fn update_blocked(&mut self, now: Instant) -> Vec<BlockedSuspect> {
        let suspects = self.crashes.iter().flat_map(|crash| &crash.suspects);
        self.suspected = suspects.copied().collect();
        let crashes: Vec<&TargetCrash> = self.crashes.iter().collect();
        let mut blocked = blocked_parts(&crashes);
        blocked.extend(blocked_contents(&crashes, &blocked));
        let before = std::mem::replace(&mut self.blocked, blocked);
        let is_new = |blocked: &&BlockedSuspect| {
            let before = before.get(&blocked.suspect);
            now < blocked.until && before.is_none_or(|before| before.until <= now)
        };
        self.blocked.values().filter(is_new).copied().collect()
    }
}

fn add_suspects(suspects: &mut Vec<Suspect>, added: Vec<Suspect>) {
    for suspect in added {
        if !suspects.contains(&suspect) && suspects.len() < MAX_SUSPECTS {
            suspects.push(suspect);
        }
    }
}

/// Returns the time between two instants, whichever is first.
pub(crate) fn time_between(a: Instant, b: Instant) -> Duration {
    a.max(b).saturating_duration_since(a.min(b))
}

#[cfg(test)]
#[path = "crash_attribution_tests.rs"]
mod tests;
