//! Detection of crashed engines from broken connections, and refusal of the prompts that crash engines.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{EngineEvent, TargetName, Verdict};
use laburnumlug_policy::{EngineCrash, PartId, PromptParts};

use crate::attempt::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

/// Time after its first event within which a stream still counts as beginning to be decoded.
const DECODE_START_TIME: Duration = Duration::from_millis(200);

/// Maximum age of a reported crash to which a gateway adds its own prompts.
const UNFINISHED_REPORT_TIME: Duration = Duration::from_millis(500);

/// Returns whether a request that breaks now may have crashed its engine, by beginning to be decoded.
pub(crate) fn is_decode_start(now: Instant, first_event_at: Option<Instant>) -> bool {
    first_event_at.is_none_or(|at| now.saturating_duration_since(at) < DECODE_START_TIME)
}

impl Forwarder {
    /// Checks whether an engine has crashed, after the connection of a request broke that it was beginning to decode.
    ///
    /// A crashed engine refuses connections, unlike one that dropped a single connection or that is out of reach.
    pub(crate) fn check_for_crash(self: &Rc<Self>, target: &Rc<TargetHandle>) {
        if target.is_checked_for_crash.replace(true) {
            return;
        }
        let (forwarder, target) = (self.clone(), target.clone());
        compio::runtime::spawn(async move {
            let addr = target.listing.borrow().addr;
            let connected = forwarder.pool.connect_idle(Instant::now(), addr).await;
            target.is_checked_for_crash.set(false);
            match connected {
                Err(err) if err.is_connection_refused() => {
                    let now = Instant::now();
                    let reason = "its connections broke and it refuses new ones";
                    forwarder.suspect(now, &target, reason);
                    forwarder.report_crash(now, &target);
                }
                _ => {}
            }
        })
        .detach();
    }

    /// Records a crash and reports it to the other gateways.
    fn report_crash(&self, now: Instant, target: &TargetHandle) {
        let parts = target.unfinished_prompts.borrow_mut().take(now);
        self.publish_crash(now, target, parts);
    }

    /// Reports the prompts of this process that an engine was beginning to decode when it crashed, as another gateway
    /// reported `age` ago.
    ///
    /// Their requests may have ended otherwise, for instance because their callers had left, so that this process does
    /// not check the engine itself.
    pub(crate) fn report_unfinished_prompts(
        &self,
        now: Instant,
        target: &TargetHandle,
        age: Duration,
    ) {
        if age >= UNFINISHED_REPORT_TIME {
            return;
        }
        let parts = target.unfinished_prompts.borrow_mut().take(now);
        if !parts.is_empty() {
            self.publish_crash(now, target, parts);
        }
    }

    fn publish_crash(&self, now: Instant, target: &TargetHandle, parts: Vec<PartId>) {
        let engine = target.instance.clone();
        self.engine_requests.publish(EngineEvent::EngineCrashed {
            engine: engine.clone(),
            age_ms: 0,
            parts: parts.clone(),
        });
        self.record_crash(now, engine, Duration::ZERO, parts);
    }

    /// Records a crash `age` ago, and logs the prompt parts that are blocked because of it.
    pub(crate) fn record_crash(
        &self,
        now: Instant,
        engine: TargetName,
        age: Duration,
        parts: Vec<PartId>,
    ) {
        let at = now.checked_sub(age).unwrap_or(now);
        let crash = EngineCrash { engine, at, parts };
        let blocked = self.crash_attribution.borrow_mut().record_crash(now, crash);
        if !blocked.is_empty() {
            self.part_blocked.notify(usize::MAX);
        }
        for blocked in blocked {
            let time = blocked.until.saturating_duration_since(now);
            log::warn!(
                prompt_part = format!("{:x}", blocked.part).as_str(), crashes = blocked.crashes,
                blocked_ms = time.as_millis() as u64;
                "blocked a prompt part: engines crashed that began to decode it"
            );
        }
    }

    /// Waits for an attempt, but cancels it once a part of its prompt is blocked; `verdict` states whether a cancelled
    /// attempt may have been executed.
    ///
    /// A prompt that waits at an engine when its part is blocked would crash that engine as well.
    pub(crate) async fn unless_blocked<T, F>(
        &self,
        verdict: Verdict,
        prompt_parts: &PromptParts,
        attempt: F,
    ) -> Result<T, AttemptFailure>
    where
        F: Future<Output = Result<T, AttemptFailure>>,
    {
        let blocked = async {
            loop {
                let part_blocked = self.part_blocked.listen();
                if let Err(failure) = self.check_prompt(Instant::now(), prompt_parts) {
                    return failure;
                }
                part_blocked.await;
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
        let event = |crash: &EngineCrash| EngineEvent::EngineCrashed {
            engine: crash.engine.clone(),
            age_ms: now.saturating_duration_since(crash.at).as_millis() as u64,
            parts: crash.parts.clone(),
        };
        crash_attribution.crashes().map(event).collect()
    }

    /// Checks that no part of a prompt is blocked.
    pub(crate) fn check_prompt(
        &self,
        now: Instant,
        prompt_parts: &PromptParts,
    ) -> Result<(), AttemptFailure> {
        let crash_attribution = self.crash_attribution.borrow();
        let Some(blocked) = crash_attribution.blocked_part(now, prompt_parts) else {
            return Ok(());
        };
        let detail = format!("part {:x} of the prompt has crashed engines", blocked.part);
        Err(AttemptFailure {
            retry_after: Some(blocked.until.saturating_duration_since(now)),
            ..AttemptFailure::unsent(FailureCause::PromptBlocked, detail)
        })
    }
}
