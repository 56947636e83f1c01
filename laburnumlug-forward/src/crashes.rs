//! Detection of crashed targets from broken connections, and refusal of the requests that crash targets.

use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{EngineEvent, TargetName, Verdict};
use laburnumlug_policy::{
    BlockedSuspect, ContentId, PartId, Progress, RunId, RunningRequest, Suspect, TargetCrash,
};

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

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

    fn publish_crash(
        &self,
        now: Instant,
        target: &TargetHandle,
        suspects: Vec<(Suspect, Progress)>,
    ) {
        target.running.borrow_mut().record_crash(now);
        let progress_of = self.running_progress(now, &suspects);
        let furthest = |suspect: &Suspect| progress_of[suspect].iter().max().copied();
        let elsewhere = suspects.iter();
        let elsewhere = elsewhere.filter_map(|(suspect, _)| Some((*suspect, furthest(suspect)?)));
        let elsewhere: Vec<(Suspect, Progress)> = elsewhere.collect();
        if !suspects.is_empty() {
            log::warn!(
                target = target.instance.as_str(), suspects = describe(&suspects).as_str(),
                elsewhere = describe(&elsewhere).as_str();
                "the target crashed: it was beginning to run requests of this gateway"
            );
        }
        let crash = TargetCrash {
            target: target.instance.clone(),
            at: now,
            suspects: suspects.into_iter().map(|(suspect, _)| suspect).collect(),
        };
        self.engine_requests.publish(crash_event(now, &crash));
        self.record_crash(now, crash);
    }

    /// Returns how far the running requests with each of these suspects have got, at targets that are not known to have
    /// crashed or to be out of reach.
    fn running_progress(
        &self,
        now: Instant,
        suspects: &[(Suspect, Progress)],
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

    /// Records a crash that another gateway reported `age` ago.
    pub(crate) fn record_remote_crash(
        &self,
        now: Instant,
        target: TargetName,
        age: Duration,
        parts: Vec<PartId>,
        contents: Vec<ContentId>,
    ) {
        let parts = parts.into_iter().map(Suspect::Part);
        let contents = contents.into_iter().map(Suspect::Content);
        let crash = TargetCrash {
            target,
            at: now.checked_sub(age).unwrap_or(now),
            suspects: parts.chain(contents).collect(),
        };
        self.record_crash(now, crash);
    }

    fn record_crash(&self, now: Instant, crash: TargetCrash) {
        let blocked = self.crash_attribution.borrow_mut().record_crash(now, crash);
        self.apply_blocks(now, blocked);
    }

    /// Records that a request with these suspects has completed.
    pub(crate) fn record_completion(&self, now: Instant, suspects: &[Suspect]) {
        let mut crash_attribution = self.crash_attribution.borrow_mut();
        let blocked = crash_attribution.record_completion(now, suspects);
        drop(crash_attribution);
        self.apply_blocks(now, blocked);
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
        let Some(blocked) = crash_attribution.blocked(now, &request.suspects()) else {
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
fn describe(suspects: &[(Suspect, Progress)]) -> String {
    let describe = |(suspect, progress): &(Suspect, Progress)| match suspect {
        Suspect::Part(part) => format!("part:{part:x}@{progress}"),
        Suspect::Content(content) => format!("content:{content:x}@{progress}"),
    };
    let described: Vec<String> = suspects.iter().map(describe).collect();
    described.join(" ")
}

fn crash_event(now: Instant, crash: &TargetCrash) -> EngineEvent {
    let suspects = crash.suspects.iter();
    let parts = suspects.clone().filter_map(|suspect| match suspect {
        Suspect::Part(part) => Some(*part),
        Suspect::Content(_) => None,
    });
    let contents = suspects.clone().filter_map(|suspect| match suspect {
        Suspect::Part(_) => None,
        Suspect::Content(content) => Some(*content),
    });
    EngineEvent::TargetCrashed {
        target: crash.target.clone(),
        age_ms: now.saturating_duration_since(crash.at).as_millis() as u64,
        parts: parts.collect(),
        contents: contents.collect(),
    }
}
