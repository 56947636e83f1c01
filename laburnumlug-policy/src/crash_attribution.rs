//! Attributes crashes of targets to what their requests held, and blocks what crashes targets.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use laburnumlug::TargetName;

use crate::crash_blame::{Blocks, blocked_contents, blocked_parts};
use crate::kv_cache::PartId;
use crate::recent_map::RecentMap;
use crate::suspect_trial::{SuspectTrials, TrialId};

/// Time within which reports about the same target concern the same crash.
pub(crate) const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

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
    /// When the latest of them happened.
    pub latest_at: Instant,
    /// When the block ends.
    pub until: Instant,
}

/// Finds the prompt parts and the repeated requests that crash targets.
///
/// What crashes targets is in a request of each target that crashes, but in none that completes. Suspects that have
/// recently completed are therefore cleared, and each crash is explained by as few others as possible: requests that share
/// only their other parts with a harmful prompt are not affected.
///
/// A suspect is cleared, suspected, blocked or tested. A crash makes it suspected, unless a request with it has recently
/// completed or [has got as far elsewhere](crate::has_been_outlasted). Further crashes block it. The block ends by time, or when a
/// request with the suspect completes: one that ran meanwhile, or one that tests it, if most requests have it.
#[derive(Clone, Debug)]
pub struct CrashAttribution {
    /// Crashes, oldest first.
    crashes: VecDeque<TargetCrash>,
    /// Suspects of all crashes.
    suspected: HashSet<Suspect>,
    completed: RecentMap<Suspect, ()>,
    blocked: Blocks,
    trials: SuspectTrials,
}

impl CrashAttribution {
    /// Creates an attribution without crashes. Trials begin at the earliest `trial_delay` after a crash; it should differ between
    /// gateways, so that one of them goes first and the others learn of its trial.
    pub fn new(trial_delay: Duration) -> CrashAttribution {
        CrashAttribution {
            crashes: VecDeque::new(),
            suspected: HashSet::new(),
            completed: RecentMap::new(MAX_COMPLETED),
            blocked: Blocks::new(),
            trials: SuspectTrials::new(trial_delay),
        }
    }

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
        suspects.retain(|suspect| !self.is_cleared(now, suspect));
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

    /// Records that a request for a service has arrived, before it is known whether it may be sent.
    pub fn record_request(&mut self, service: &str, suspects: &[Suspect]) {
        self.trials.record_request(service, suspects);
    }

    /// Returns the blocked one of a request's suspects whose block lasts longest, or `None` if the request may be sent, for
    /// instance for the trial of a suspect.
    pub fn blocked(
        &self,
        now: Instant,
        suspects: &[Suspect],
        trial: Option<TrialId>,
    ) -> Option<BlockedSuspect> {
        let blocked = self.all_blocked(now, suspects).into_iter();
        blocked
            .filter(|blocked| !self.trials.is_tested_by(&blocked.suspect, trial))
            .max_by_key(|blocked| blocked.until)
    }

    /// Begins a trial of a request's blocked suspects, if there are any and most requests for its service have them. The
    /// request may be sent then.
    pub fn begin_trial(
        &mut self,
        now: Instant,
        service: &str,
        suspects: &[Suspect],
    ) -> Option<(TrialId, Vec<Suspect>)> {
        let blocked: Vec<BlockedSuspect> = suspects
            .iter()
            .filter(|suspect| self.is_blocked(now, suspect))
            .filter_map(|suspect| self.blocked.get(suspect).copied())
            .collect();
        let id = self.trials.begin(now, service, &blocked)?;
        Some((id, blocked.iter().map(|blocked| blocked.suspect).collect()))
    }

    /// Records that another gateway has begun a trial of suspects.
    pub fn record_remote_trial(&mut self, now: Instant, suspects: &[Suspect]) {
        for suspect in suspects {
            if let Some(blocked) = self.blocked.get(suspect) {
                self.trials.record_remote(now, *suspect, blocked.crashes);
            }
        }
    }

    /// Records that the request of a trial has ended.
    pub fn end_trial(&mut self, now: Instant, id: TrialId) {
        self.trials.end(now, id);
    }

    /// Returns whether a request with a suspect has recently completed.
    pub fn is_cleared(&self, now: Instant, suspect: &Suspect) -> bool {
        self.completed.get(now, suspect).is_some()
    }

    /// Returns whether a crashed target was beginning to run requests with a suspect that has not been cleared.
    pub fn is_suspected(&self, suspect: &Suspect) -> bool {
        self.suspected.contains(suspect)
    }

    /// Returns whether any suspect has been blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocked.is_empty()
    }

    /// Returns the crashes that are remembered, oldest first.
    pub fn crashes(&self) -> impl Iterator<Item = &TargetCrash> {
        self.crashes.iter()
    }

    /// Returns the blocked ones of some suspects, with the end of their blocks as it is known now.
    fn all_blocked(&self, now: Instant, suspects: &[Suspect]) -> Vec<BlockedSuspect> {
        let blocked = suspects
            .iter()
            .filter_map(|suspect| self.blocked.get(suspect));
        let blocked = blocked.filter_map(|blocked| {
            let left = self.trials.time_blocked(now, blocked)?;
            Some(BlockedSuspect {
                until: now + left,
                ..*blocked
            })
        });
        blocked.collect()
    }

    fn is_blocked(&self, now: Instant, suspect: &Suspect) -> bool {
        let blocked = self.blocked.get(suspect);
        blocked.is_some_and(|blocked| self.trials.time_blocked(now, blocked).is_some())
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
        let blocked = &self.blocked;
        self.trials.retain(|suspect| blocked.contains_key(suspect));
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
