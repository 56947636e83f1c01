//! Reports of crashed targets between gateways, and what of their requests may have caused the crashes.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use laburnumlug::{EngineEvent, TargetName};
use laburnumlug_policy::{ContentId, PartId, Progress, Suspect, TargetCrash, has_been_outlasted};

use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// A suspect, and how far requests with it have got.
pub(crate) type SuspectProgress = (Suspect, Progress);

/// Time after a crash for which a request that got as far elsewhere may yet crash its target, too.
const OUTLASTED_TIME: Duration = Duration::from_secs(2);

/// Maximum number of crashes whose suspects are kept that got as far elsewhere.
const MAX_OUTLASTED: usize = 64;

/// Suspects of a crash that were dropped because requests with them had got as far at other targets.
pub(crate) struct OutlastedSuspects {
    target: TargetName,
    at: Instant,
    suspects: Vec<SuspectProgress>,
    /// Whether this process reported the crash.
    is_own: bool,
}

/// Maximum age of a reported crash to which a gateway adds its own requests.
const UNFINISHED_REPORT_TIME: Duration = Duration::from_millis(500);

impl Forwarder {
    /// Records a crash and reports it to the other gateways.
    pub(crate) fn report_crash(&self, now: Instant, target: &TargetHandle) {
        let suspects = target.unfinished_requests.borrow_mut().take(now);
        self.publish_crash(now, target, suspects);
    }

    /// Reports the requests of this process that a target was beginning to run when it crashed, as another gateway
    /// reported `age` ago.
    ///
    /// The requests may have ended otherwise, for instance because their callers had left, so that this process does
    /// not check the target itself.
    pub(crate) fn report_unfinished_requests(
        &self,
        now: Instant,
        target: &TargetHandle,
        age: Duration,
    ) {
        if age >= UNFINISHED_REPORT_TIME {
            return;
        }
        let suspects = target.unfinished_requests.borrow_mut().take(now);
        if !suspects.is_empty() {
            self.publish_crash(now, target, suspects);
        }
    }

    fn publish_crash(&self, now: Instant, target: &TargetHandle, suspects: Vec<SuspectProgress>) {
        let suspects = with_remote_progress(now, target, suspects);
        if target.running.borrow_mut().record_crash(now) {
            self.restore_outlasted(now);
        }
        let described = describe(&suspects);
        let (remaining, outlasted) = self.split_outlasted(now, suspects);
        if !described.is_empty() {
            log::warn!(
                target = target.instance.as_str(), suspects = described.as_str(),
                elsewhere = describe(&self.furthest_elsewhere(now, &outlasted)).as_str(),
                remaining = describe(&remaining).as_str();
                "the target crashed: it was beginning to run requests of this gateway"
            );
        }
        self.keep_outlasted(OutlastedSuspects {
            target: target.instance.clone(),
            at: now,
            suspects: outlasted,
            is_own: true,
        });
        self.publish_suspects(now, now, &target.instance, remaining);
    }

    /// Reports a crash with those of its remaining suspects that no request has completed with, and records it.
    fn publish_suspects(
        &self,
        now: Instant,
        at: Instant,
        target: &TargetName,
        mut suspects: Vec<SuspectProgress>,
    ) {
        let crash_attribution = self.crash_attribution.borrow();
        suspects.retain(|(suspect, _)| !crash_attribution.is_cleared(now, suspect));
        drop(crash_attribution);
        let progress = suspects.iter().map(|(_, progress)| *progress).collect();
        let suspects: Vec<Suspect> = suspects.into_iter().map(|(suspect, _)| suspect).collect();
        let (parts, contents) = split_suspects(&suspects);
        self.engine_requests.publish(EngineEvent::TargetCrashed {
            target: target.clone(),
            age_ms: now.saturating_duration_since(at).as_millis() as u64,
            parts,
            contents,
            progress,
        });
        let crash = TargetCrash {
            target: target.clone(),
            at,
            suspects,
        };
        self.record_crash(now, crash);
    }

    fn keep_outlasted(&self, outlasted: OutlastedSuspects) {
        let mut kept = self.outlasted_suspects.borrow_mut();
        if !outlasted.suspects.is_empty() && kept.len() < MAX_OUTLASTED {
            kept.push(outlasted);
        }
    }

    /// Adds suspects of recent crashes again that were dropped because of requests at a target which has crashed since.
    fn restore_outlasted(&self, now: Instant) {
        let kept = self.outlasted_suspects.take();
        let is_recent =
            |crash: &OutlastedSuspects| now.saturating_duration_since(crash.at) < OUTLASTED_TIME;
        for mut crash in kept.into_iter().filter(is_recent) {
            let suspects = std::mem::take(&mut crash.suspects);
            let (remaining, outlasted) = self.split_outlasted(now, suspects);
            match remaining.is_empty() {
                true => {}
                false if crash.is_own => {
                    self.publish_suspects(now, crash.at, &crash.target, remaining);
                }
                false => self.record_crash(now, without_progress(&crash, remaining)),
            }
            crash.suspects = outlasted;
            self.keep_outlasted(crash);
        }
    }

    /// Splits the suspects of a crash into those that may have caused it, parts first, and those that have got as far at
    /// other targets.
    fn split_outlasted(
        &self,
        now: Instant,
        suspects: Vec<SuspectProgress>,
    ) -> (Vec<SuspectProgress>, Vec<SuspectProgress>) {
        let progress_of = self.running_progress(now, &suspects);
        let is_outlasted = |(suspect, progress): &SuspectProgress| {
            has_been_outlasted(*progress, &progress_of[suspect])
        };
        let (outlasted, mut remaining): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(is_outlasted);
        remaining.sort_by_key(|(suspect, _)| matches!(suspect, Suspect::Content(_)));
        (remaining, outlasted)
    }

    /// Returns suspects with the furthest progress at targets that run.
    fn furthest_elsewhere(
        &self,
        now: Instant,
        suspects: &[SuspectProgress],
    ) -> Vec<SuspectProgress> {
        let progress_of = self.running_progress(now, suspects);
        let furthest = |suspect: &Suspect| progress_of[suspect].iter().max().copied();
        let suspects = suspects.iter();
        let furthest = suspects.filter_map(|(suspect, _)| Some((*suspect, furthest(suspect)?)));
        furthest.collect()
    }

    /// Returns how far each target that runs requests with each of these suspects has got, without those that are known to have
    /// crashed or to be out of reach.
    fn running_progress(
        &self,
        now: Instant,
        suspects: &[SuspectProgress],
    ) -> HashMap<Suspect, Vec<Progress>> {
        let suspects: HashSet<Suspect> = suspects.iter().map(|(suspect, _)| *suspect).collect();
        let mut progress_of: HashMap<Suspect, Vec<Progress>> = suspects
            .iter()
            .map(|suspect| (*suspect, Vec::new()))
            .collect();
        for target in self.recent_targets() {
            let is_suspected = target.health.borrow().is_suspected(now);
            if is_suspected || target.is_doubted.get() {
                continue;
            }
            for (suspect, furthest) in target.running.borrow().furthest(now, &suspects) {
                progress_of.entry(suspect).or_default().push(furthest);
            }
        }
        progress_of
    }

    /// Records a crash that another gateway reported `age` ago, and reports those of its suspects that have completed.
    pub(crate) fn record_remote_crash(
        &self,
        now: Instant,
        target: &TargetName,
        age: Duration,
        suspects: Vec<SuspectProgress>,
    ) {
        let at = now.checked_sub(age).unwrap_or(now);
        let live_target = self.live_target(target);
        if live_target.is_some_and(|target| target.running.borrow_mut().record_crash(at)) {
            self.restore_outlasted(now);
        }
        let (remaining, outlasted) = self.split_outlasted(now, suspects);
        let outlasted = OutlastedSuspects {
            target: target.clone(),
            at,
            suspects: outlasted,
            is_own: false,
        };
        let crash = without_progress(&outlasted, remaining);
        self.keep_outlasted(outlasted);
        // The other gateway may have started since they completed.
        let crash_attribution = self.crash_attribution.borrow();
        let cleared = crash.suspects.iter().copied();
        let cleared = cleared.filter(|suspect| crash_attribution.is_cleared(now, suspect));
        let cleared: Vec<Suspect> = cleared.collect();
        drop(crash_attribution);
        self.publish_cleared(&cleared);
        self.record_crash(now, crash);
    }

    pub(crate) fn publish_cleared(&self, suspects: &[Suspect]) {
        if !suspects.is_empty() {
            let (parts, contents) = split_suspects(suspects);
            let event = EngineEvent::SuspectsCleared { parts, contents };
            self.engine_requests.publish(event);
        }
    }

    /// Returns the events that describe the known crashes.
    pub(crate) fn crash_events(&self, now: Instant) -> Vec<EngineEvent> {
        let crash_attribution = self.crash_attribution.borrow();
        let crashes = crash_attribution.crashes();
        crashes.map(|crash| crash_event(now, crash)).collect()
    }
}

/// Returns suspects as `part` or `content` with a hexadecimal id and the progress of their requests, separated by spaces.
pub(crate) fn describe(suspects: &[SuspectProgress]) -> String {
    let describe = |(suspect, progress): &SuspectProgress| match suspect {
        Suspect::Part(part) => format!("part:{part:x}@{progress}"),
        Suspect::Content(content) => format!("content:{content:x}@{progress}"),
    };
    let described: Vec<String> = suspects.iter().map(describe).collect();
    described.join(" ")
}

/// Returns suspects with the furthest progress at a target that has just crashed, where requests of other gateways may have got
/// further.
fn with_remote_progress(
    now: Instant,
    target: &TargetHandle,
    suspects: Vec<SuspectProgress>,
) -> Vec<SuspectProgress> {
    let ids = suspects.iter().map(|(suspect, _)| *suspect).collect();
    let remote = target.running.borrow().furthest(now, &ids);
    let furthest = |(suspect, progress): SuspectProgress| {
        let remote = remote.get(&suspect).copied().unwrap_or_default();
        (suspect, progress.max(remote))
    };
    suspects.into_iter().map(furthest).collect()
}

/// Returns a crash with those of its suspects that remain.
fn without_progress(crash: &OutlastedSuspects, remaining: Vec<SuspectProgress>) -> TargetCrash {
    TargetCrash {
        target: crash.target.clone(),
        at: crash.at,
        suspects: remaining.into_iter().map(|(suspect, _)| suspect).collect(),
    }
}

/// Returns an event that describes a known crash.
fn crash_event(now: Instant, crash: &TargetCrash) -> EngineEvent {
    let (parts, contents) = split_suspects(&crash.suspects);
    EngineEvent::TargetCrashed {
        target: crash.target.clone(),
        age_ms: now.saturating_duration_since(crash.at).as_millis() as u64,
        parts,
        contents,
        progress: Vec::new(),
    }
}

/// Returns the parts and the contents among suspects.
pub(crate) fn split_suspects(suspects: &[Suspect]) -> (Vec<PartId>, Vec<ContentId>) {
    let parts = suspects.iter().filter_map(|suspect| match suspect {
        Suspect::Part(part) => Some(*part),
        Suspect::Content(_) => None,
    });
    let contents = suspects.iter().filter_map(|suspect| match suspect {
        Suspect::Part(_) => None,
        Suspect::Content(content) => Some(*content),
    });
    (parts.collect(), contents.collect())
}

/// Returns parts and then contents as suspects.
pub(crate) fn join_suspects(parts: Vec<PartId>, contents: Vec<ContentId>) -> Vec<Suspect> {
    let parts = parts.into_iter().map(Suspect::Part);
    parts
        .chain(contents.into_iter().map(Suspect::Content))
        .collect()
}

/// Returns the suspects of a reported crash with their progress, which earlier versions do not report.
pub(crate) fn reported_suspects(
    parts: Vec<PartId>,
    contents: Vec<ContentId>,
    progress: Vec<Progress>,
) -> Vec<SuspectProgress> {
    let unknown = std::iter::repeat(Progress::MAX);
    let suspects = join_suspects(parts, contents).into_iter();
    suspects.zip(progress.into_iter().chain(unknown)).collect()
}
