//! Detection of crashed targets from broken connections, and refusal of the requests that crash targets.

use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{EngineEvent, TargetName, Verdict};
use laburnumlug_policy::{
    BlockedSuspect, ContentId, PartId, Progress, RunId, RunningRequest, Suspect, TargetCrash,
    TrialId, has_been_outlasted,
};

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

/// A suspect, and how far requests with it have got.
pub(crate) type SuspectProgress = (Suspect, Progress);

/// Maximum age of a reported crash to which a gateway adds its own requests.
const UNFINISHED_REPORT_TIME: Duration = Duration::from_millis(500);

/// Maximum time for which a retry, or an answer in doubt, waits for the check whether its target has crashed.
pub(crate) const MAX_CRASH_CHECK_TIME: Duration = Duration::from_millis(100);

/// Time for which a retry after a crash waits for the reports of other gateways, without which it is not known how many
/// requests may be the cause.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(30);

/// Tracks a request that a target runs; if it is dropped before the request has ended, the request may have crashed the
/// target.
pub(crate) struct RunGuard {
    target: Rc<TargetHandle>,
    run: RunId,
    has_ended: bool,
}

impl RunGuard {
    /// Starts to track a request that is sent to a target.
    pub(crate) fn start(target: &Rc<TargetHandle>, request: &CallerRequest) -> RunGuard {
        let running = RunningRequest::new(Instant::now(), request.suspects(), Duration::ZERO);
        RunGuard {
            target: target.clone(),
            run: target.running.borrow_mut().begin(running),
            has_ended: false,
        }
    }

    /// Records that the request has not been run.
    pub(crate) fn mark_not_run(&mut self) {
        self.has_ended = true;
    }

    /// Records that the request has run to its end.
    pub(crate) fn mark_complete(&mut self, now: Instant, forwarder: &Forwarder) {
        self.has_ended = true;
        let run = self.target.running.borrow_mut().end(self.run);
        if let Some(run) = run {
            forwarder.record_completion(now, run.suspects());
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let run = self.target.running.borrow_mut().end(self.run);
        if let Some(run) = run.filter(|_| !self.has_ended) {
            let mut unfinished = self.target.unfinished_requests.borrow_mut();
            unfinished.push(Instant::now(), run);
        }
    }
}

/// Ends the trial of a request's suspects when it is dropped.
pub(crate) struct TrialGuard {
    forwarder: Rc<Forwarder>,
    id: TrialId,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut crash_attribution = self.forwarder.crash_attribution.borrow_mut();
        crash_attribution.end_trial(Instant::now(), self.id);
    }
}

impl Forwarder {
    /// Starts a check whether a target has crashed, after the connection of a request broke that it was beginning to run.
    ///
    /// A crashed target refuses connections, unlike one that dropped a single connection or that is out of reach.
    pub(crate) fn check_for_crash(self: &Rc<Self>, target: &Rc<TargetHandle>) {
        if target.is_checked_for_crash.replace(true) {
            return;
        }
        let (forwarder, target) = (self.clone(), target.clone());
        compio::runtime::spawn(async move {
            let addr = target.listing.borrow().addr;
            let connected = forwarder.pool.connect_idle(Instant::now(), addr).await;
            let has_crashed = matches!(&connected, Err(err) if err.is_connection_refused());
            target.is_checked_for_crash.set(false);
            target.has_crashed.set(has_crashed);
            if has_crashed {
                let now = Instant::now();
                let reason = "its connections broke and it refuses new ones";
                forwarder.suspect(now, &target, reason);
                forwarder.report_crash(now, &target);
            }
            target.crash_checked.notify(usize::MAX);
        })
        .detach();
    }

    /// Waits until it is known whether a request whose connection broke may be sent to another target.
    pub(crate) async fn await_crash_check(&self, target: &TargetHandle) {
        if !target.is_checked_for_crash.get() {
            return;
        }
        let checked = target.crash_checked.listen();
        // A target that cannot be reached has not refused a connection either.
        let _ = laburnumlug_http::timeout(MAX_CRASH_CHECK_TIME, checked).await;
        if target.has_crashed.get() {
            compio::time::sleep(CRASH_REPORT_TIME).await;
        }
    }

    /// Records a crash and reports it to the other gateways.
    fn report_crash(&self, now: Instant, target: &TargetHandle) {
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
        target.running.borrow_mut().record_crash(now);
        let has_suspects = !suspects.is_empty();
        let described = describe(&suspects);
        let (mut suspects, elsewhere) = self.split_outlasted(now, suspects);
        let crash_attribution = self.crash_attribution.borrow();
        suspects.retain(|(suspect, _)| !crash_attribution.is_cleared(now, suspect));
        drop(crash_attribution);
        if has_suspects {
            log::warn!(
                target = target.instance.as_str(), suspects = described.as_str(),
                elsewhere = describe(&elsewhere).as_str(), remaining = describe(&suspects).as_str();
                "the target crashed: it was beginning to run requests of this gateway"
            );
        }
        let (target, age_ms) = (target.instance.clone(), 0);
        let progress = suspects.iter().map(|(_, progress)| *progress).collect();
        let suspects: Vec<Suspect> = suspects.into_iter().map(|(suspect, _)| suspect).collect();
        let (parts, contents) = split_suspects(&suspects);
        self.engine_requests.publish(EngineEvent::TargetCrashed {
            target: target.clone(),
            age_ms,
            parts,
            contents,
            progress,
        });
        let crash = TargetCrash {
            target,
            at: now,
            suspects,
        };
        self.record_crash(now, crash);
    }

    /// Splits the suspects of a crash into those that may have caused it, parts first, and those that have got as far at
    /// other targets, with the furthest progress there.
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
        let furthest = |(suspect, _): SuspectProgress| {
            let furthest = progress_of[&suspect].iter().max().copied();
            (suspect, furthest.unwrap_or_default())
        };
        (remaining, outlasted.into_iter().map(furthest).collect())
    }

    /// Returns how far the running requests with each of these suspects have got, at targets that are not known to have
    /// crashed or to be out of reach.
    fn running_progress(
        &self,
        now: Instant,
        suspects: &[SuspectProgress],
    ) -> HashMap<Suspect, Vec<Progress>> {
        let suspects = suspects.iter().map(|(suspect, _)| *suspect);
        let mut progress_of: HashMap<Suspect, Vec<Progress>> =
            suspects.map(|suspect| (suspect, Vec::new())).collect();
        for target in self.recent_targets() {
            let is_suspected = target.health.borrow().is_suspected(now);
            if !is_suspected && !target.is_doubted.get() {
                let running = target.running.borrow();
                running.collect_progress(now, &mut progress_of);
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
        if let Some(target) = self.live_target(target) {
            target.running.borrow_mut().record_crash(at);
        }
        let (suspects, _) = self.split_outlasted(now, suspects);
        let suspects: Vec<Suspect> = suspects.into_iter().map(|(suspect, _)| suspect).collect();
        // The other gateway may have started since they completed.
        let crash_attribution = self.crash_attribution.borrow();
        let cleared = suspects.iter().copied();
        let cleared = cleared.filter(|suspect| crash_attribution.is_cleared(now, suspect));
        let cleared: Vec<Suspect> = cleared.collect();
        drop(crash_attribution);
        self.publish_cleared(&cleared);
        let crash = TargetCrash {
            target: target.clone(),
            at,
            suspects,
        };
        self.record_crash(now, crash);
    }

    fn record_crash(&self, now: Instant, crash: TargetCrash) {
        let blocked = self.crash_attribution.borrow_mut().record_crash(now, crash);
        self.apply_blocks(now, blocked);
    }

    /// Records that a request of this gateway with these suspects has completed, or runs on for so long that it does not
    /// crash its target, and reports it to the other gateways if they were suspected.
    pub(crate) fn record_completion(&self, now: Instant, suspects: &[Suspect]) {
        let crash_attribution = self.crash_attribution.borrow();
        let suspected = suspects.iter().copied();
        let suspected = suspected.filter(|suspect| crash_attribution.is_suspected(suspect));
        let suspected: Vec<Suspect> = suspected.collect();
        drop(crash_attribution);
        self.publish_cleared(&suspected);
        self.record_remote_completion(now, suspects);
    }

    /// Records that a request with these suspects has completed, as another gateway reports.
    pub(crate) fn record_remote_completion(&self, now: Instant, suspects: &[Suspect]) {
        let mut crash_attribution = self.crash_attribution.borrow_mut();
        let unblocked = match crash_attribution.has_blocks() {
            true => crash_attribution.blocked(now, suspects, None),
            false => None,
        };
        let blocked = crash_attribution.record_completion(now, suspects);
        drop(crash_attribution);
        if let Some(unblocked) = unblocked {
            log::info!(
                suspect = describe(&[(unblocked.suspect, 0)]).as_str(), crashes = unblocked.crashes;
                "ended a block: a request with what was blocked has completed"
            );
        }
        self.apply_blocks(now, blocked);
    }

    fn publish_cleared(&self, suspects: &[Suspect]) {
        if !suspects.is_empty() {
            let (parts, contents) = split_suspects(suspects);
            let event = EngineEvent::SuspectsCleared { parts, contents };
            self.engine_requests.publish(event);
        }
    }

    /// Records that a request for a service has arrived. If it is blocked, it may become the trial of its suspects, until the
    /// returned guard is dropped.
    pub(crate) fn begin_trial(
        self: &Rc<Self>,
        now: Instant,
        service: &str,
        request: &CallerRequest,
    ) -> Option<TrialGuard> {
        let suspects = request.suspects();
        let mut crash_attribution = self.crash_attribution.borrow_mut();
        crash_attribution.record_request(service, &suspects);
        let (id, tested) = crash_attribution.begin_trial(now, service, &suspects)?;
        drop(crash_attribution);
        request.trial.set(Some(id));
        let (parts, contents) = split_suspects(&tested);
        log::warn!(
            request_id = request.metadata.id.as_str(), parts = hex(&parts).as_str(),
            contents = hex(&contents).as_str();
            "a request tests whether what is blocked crashes targets, as most requests have it"
        );
        let event = EngineEvent::SuspectsTested { parts, contents };
        self.engine_requests.publish(event);
        Some(TrialGuard {
            forwarder: self.clone(),
            id,
        })
    }

    /// Logs new blocks, and wakes the attempts that have to be cancelled because of them.
    fn apply_blocks(&self, now: Instant, blocked: Vec<BlockedSuspect>) {
        if !blocked.is_empty() {
            self.request_blocked.notify(usize::MAX);
        }
        for blocked in blocked {
            let time = blocked.until.saturating_duration_since(now);
            let blocked_ms = time.as_millis() as u64;
            match blocked.suspect {
                Suspect::Part(part) => log::warn!(
                    prompt_part = format!("{part:x}").as_str(), crashes = blocked.crashes, blocked_ms = blocked_ms;
                    "blocked a prompt part: engines crashed that began to decode it"
                ),
                Suspect::Content(content) => log::warn!(
                    content = format!("{content:x}").as_str(), crashes = blocked.crashes, blocked_ms = blocked_ms;
                    "blocked a request and its repeats: targets crashed that began to run it"
                ),
            }
        }
    }

    /// Waits for an attempt, but cancels it once its request is blocked; `verdict` states whether a cancelled attempt may
    /// have been executed.
    ///
    /// A request that waits at a target when it is blocked would crash that target as well.
    pub(crate) async fn unless_blocked<T, F>(
        &self,
        verdict: Verdict,
        request: &CallerRequest,
        attempt: F,
    ) -> Result<T, AttemptFailure>
    where
        F: Future<Output = Result<T, AttemptFailure>>,
    {
        let blocked = async {
            loop {
                let request_blocked = self.request_blocked.listen();
                if let Err(failure) = self.check_not_blocked(Instant::now(), request) {
                    return failure;
                }
                request_blocked.await;
            }
        };
        match select(pin!(attempt), pin!(blocked)).await {
            Either::Left((result, _)) => result,
            Either::Right((failure, _)) => Err(AttemptFailure {
                verdict,
                reached_target: true,
                ..failure
            }),
        }
    }

    /// Returns the events that describe the known crashes.
    pub(crate) fn crash_events(&self, now: Instant) -> Vec<EngineEvent> {
        let crash_attribution = self.crash_attribution.borrow();
        let crashes = crash_attribution.crashes();
        crashes.map(|crash| crash_event(now, crash)).collect()
    }

    /// Checks that neither a request nor a part of its prompt is blocked.
    pub(crate) fn check_not_blocked(
        &self,
        now: Instant,
        request: &CallerRequest,
    ) -> Result<(), AttemptFailure> {
        let crash_attribution = self.crash_attribution.borrow();
        if !crash_attribution.has_blocks() {
            return Ok(());
        }
        let Some(blocked) =
            crash_attribution.blocked(now, &request.suspects(), request.trial.get())
        else {
            return Ok(());
        };
        let (cause, detail) = match blocked.suspect {
            Suspect::Part(part) => (
                FailureCause::PromptBlocked,
                format!("part {part:x} of the prompt has crashed engines"),
            ),
            Suspect::Content(_) => (
                FailureCause::RequestBlocked,
                "targets have crashed that ran the same request".to_string(),
            ),
        };
        Err(AttemptFailure {
            retry_after: Some(blocked.until.saturating_duration_since(now)),
            ..AttemptFailure::unsent(cause, detail)
        })
    }
}

/// Returns suspects as `part` or `content` with a hexadecimal id and the progress of their requests, separated by spaces.
fn describe(suspects: &[SuspectProgress]) -> String {
    let describe = |(suspect, progress): &SuspectProgress| match suspect {
        Suspect::Part(part) => format!("part:{part:x}@{progress}"),
        Suspect::Content(content) => format!("content:{content:x}@{progress}"),
    };
    let described: Vec<String> = suspects.iter().map(describe).collect();
    described.join(" ")
}

/// Returns ids as hexadecimal numbers, separated by spaces.
fn hex(ids: &[u64]) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(" ")
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
fn split_suspects(suspects: &[Suspect]) -> (Vec<PartId>, Vec<ContentId>) {
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
