//! Observation of the signs of life of engines, and probes of those that have stopped responding.

use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug_policy::{InProgress, ObservationWindow};

use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Interval at which the signs of life of all engines are checked.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Number of gateways that probe a doubted engine at once, by rendezvous hashing. If all did, an engine that pauses would
/// receive dozens of probes.
const FIRST_PROBERS: usize = 3;

/// Delay after which the other gateways with requests at a doubted engine probe it, unless they have learned its state.
const FALLBACK_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Time without a sign of life after which requests no longer wait for a suspected engine. Another gateway may have lost
/// its own connections; it found so by a probe of 400 ms, within which a working engine has sent something to someone.
const MIN_LOSS_SILENCE: Duration = Duration::from_millis(400);

/// Counts a stream as one whose next event is awaited. A stream that waits for its caller shows nothing of its engine.
pub(crate) struct EventWait {
    target: Rc<TargetHandle>,
}

impl EventWait {
    pub(crate) fn new(target: Rc<TargetHandle>) -> EventWait {
        target.streams.set(target.streams.get() + 1);
        EventWait { target }
    }
}

impl Drop for EventWait {
    fn drop(&mut self) {
        self.target.streams.set(self.target.streams.get() - 1);
    }
}

impl Forwarder {
    /// Starts to observe the engines, unless this process already does.
    pub(crate) fn watch_engines(self: &Rc<Self>) {
        if self.watches_engines.replace(true) {
            return;
        }
        let forwarder = Rc::downgrade(self);
        compio::runtime::spawn(observe_regularly(forwarder)).detach();
    }

    /// Records that an engine has sent something to this process or to another gateway.
    pub(crate) fn record_sign_of_life(&self, now: Instant, target: &TargetHandle) {
        target.activity.borrow_mut().record_sign(now);
        target.is_doubted.set(false);
    }

    /// Records that an engine has sent something on a connection of this process, which ends a suspicion.
    ///
    /// An engine that is only slow, or was silent for some seconds, is thus used again before its next probe.
    pub(crate) fn record_event(&self, now: Instant, target: &TargetHandle) {
        self.record_sign_of_life(now, target);
        let is_back = target.health.borrow().is_cleared_by_sign(now);
        if is_back {
            self.end_suspicion(target, "it has sent an event of an answer");
        }
    }

    /// Waits for an attempt, but abandons it if its engine is lost and `may_abandon` returns true then.
    ///
    /// The engine may run the request or have run it, and may only be silent for a while. An engine that was suspected
    /// before, and is used because there is no other, is not abandoned.
    pub(crate) async fn unless_lost<T, F, A>(
        &self,
        engine: &TargetHandle,
        attempt: F,
        may_abandon: A,
    ) -> Result<T, AttemptFailure>
    where
        F: Future<Output = Result<T, AttemptFailure>>,
        A: Fn(Instant) -> bool,
    {
        if engine.health.borrow().is_suspected(Instant::now()) {
            return attempt.await;
        }
        match select(pin!(attempt), pin!(self.await_loss(engine))).await {
            Either::Left((result, _)) => result,
            Either::Right((_, attempt)) if !may_abandon(Instant::now()) => attempt.await,
            Either::Right(_) => {
                let failure = AttemptFailure::engine_lost();
                self.observe(|observer| observer.attempt_finished(failure.cause.as_str()));
                Err(failure)
            }
        }
    }

    /// Waits until a target is suspected and has sent nothing for the time of a loss.
    async fn await_loss(&self, target: &TargetHandle) {
        loop {
            let suspected = target.suspected.listen();
            let now = Instant::now();
            let silence = target.activity.borrow().silence(now);
            if !target.health.borrow().is_suspected(now) {
                suspected.await;
            } else if silence < MIN_LOSS_SILENCE {
                compio::time::sleep(MIN_LOSS_SILENCE - silence).await;
            } else {
                return;
            }
        }
    }

    /// Doubts the engines that have been silent for too long, and starts their probes.
    fn observe_engines(self: &Rc<Self>, now: Instant, observed_since: Instant) {
        for target in self.engines() {
            let is_doubted = !target.health.borrow().is_suspected(now)
                && is_doubted(now, observed_since, &target);
            let was_doubted = target.is_doubted.replace(is_doubted);
            if is_doubted && !was_doubted {
                let silence = target.activity.borrow().silence(now);
                log::info!(
                    target = target.instance.as_str(), silent_ms = silence.as_millis() as u64,
                    in_progress = target.in_flight.get(), streams = target.streams.get();
                    "the engine is silent: new prompts go elsewhere while it is probed"
                );
            }
            if is_doubted && !target.is_probed.replace(true) {
                compio::runtime::spawn(self.clone().probe_doubted(target)).detach();
            }
        }
    }

    /// Probes a doubted engine and suspends it if it does not respond, unless a sign of life arrives before.
    async fn probe_doubted(self: Rc<Self>, target: Rc<TargetHandle>) {
        let rank = self.rendezvous_rank(&target.instance);
        let is_first = rank.is_none_or(|rank| rank < FIRST_PROBERS);
        if !is_first {
            compio::time::sleep(FALLBACK_PROBE_DELAY).await;
        }
        let may_probe = is_first || target.own_requests.get() > 0;
        if may_probe && target.is_doubted.get() {
            let is_healthy = self.is_healthy(&target).await;
            let now = Instant::now();
            match is_healthy {
                true => {
                    target.activity.borrow_mut().record_passed_probe(now);
                    target.is_doubted.set(false);
                    self.publish_health_change(&target, true);
                }
                false if target.is_doubted.get() => {
                    let reason = "it neither makes progress nor answers a health probe";
                    self.suspect_silent(now, &target, reason);
                }
                false => {}
            }
        }
        target.is_probed.set(false);
    }
}

async fn observe_regularly(forwarder: Weak<Forwarder>) {
    let mut window = ObservationWindow::new(Instant::now());
    loop {
        compio::time::sleep(OBSERVATION_INTERVAL).await;
        let Some(forwarder) = forwarder.upgrade() else {
            return;
        };
        let now = Instant::now();
        forwarder.observe_engines(now, window.observe(now));
    }
}

fn is_doubted(now: Instant, observed_since: Instant, target: &TargetHandle) -> bool {
    let prefill_queue = target.prefill_queue.borrow();
    let work = InProgress {
        requests: target.in_flight.get(),
        streams: target.streams.get(),
        oldest_prompt_sent_at: prefill_queue.oldest_sent_at(),
        longest_prefill: prefill_queue.longest_prefill(),
    };
    let activity = target.activity.borrow();
    activity.is_doubted(now, observed_since, &work)
}
