//! Detection of crashed targets from broken connections, and refusal of the requests that crash targets.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::Verdict;
use laburnumlug_policy::{BlockedSuspect, RunId, RunningRequest, Suspect, TargetCrash};

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::crash_reports::describe;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

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

    pub(crate) fn record_crash(&self, now: Instant, crash: TargetCrash) {
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
