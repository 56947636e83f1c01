//! Detects engines that have stopped responding, from their signs of life and from what is in progress there.

use std::time::{Duration, Instant};

/// Time without a sign of life after which an engine is doubted. Engines send an event of each answer at least every 500 ms,
/// and what other gateways receive is known here within 100 ms.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Minimum number of requests in progress at a doubted engine. A single silent request says little about its engine, and is
/// probed by its own time limit.
const MIN_REQUESTS: u32 = 2;

/// Maximum number of doublings of the tolerated silence after probes that succeed without a sign of life.
const MAX_DOUBLINGS: u32 = 4;

/// Interval between two observations beyond which this process was delayed, and not the engines.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(300);

/// What is in progress at an engine, as an input of [`EngineActivity::is_doubted`].
#[derive(Clone, Copy, Debug, Default)]
pub struct InProgress {
    /// Number of requests in progress, of all gateways.
    pub requests: u32,
    /// Number of requests of this process whose answers the engine generates.
    pub streams: u32,
    /// When the oldest prompt whose prefill is not known to have completed was sent, if there is one.
    pub oldest_prompt_sent_at: Option<Instant>,
    /// Predicted prefill time of the longest such prompt.
    pub longest_prefill: Duration,
}

/// Signs of life of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineActivity {
    last_sign_at: Instant,
    /// Number of probes that succeeded since the last sign of life.
    passed_probes: u32,
}

impl EngineActivity {
    /// Creates the activity of an engine that is discovered now.
    pub fn new(now: Instant) -> EngineActivity {
        EngineActivity {
            last_sign_at: now,
            passed_probes: 0,
        }
    }

    /// Records that the engine has sent something to this process or to another gateway.
    pub fn record_sign(&mut self, now: Instant) {
        self.last_sign_at = self.last_sign_at.max(now);
        self.passed_probes = 0;
    }

    /// Records that the engine has passed a health check. If it does not make progress, it is doubted later and later, as
    /// probes have a cost.
    pub fn record_passed_probe(&mut self, now: Instant) {
        self.last_sign_at = self.last_sign_at.max(now);
        self.passed_probes = (self.passed_probes + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the time since the last sign of life.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_sign_at)
    }

    /// Returns whether the engine has been silent for longer than it should be with what it has in progress.
    ///
    /// Answers that it generates for this process have a bounded time between their events. Of prompts, which it prefills
    /// one after another, one must be done within the time of the longest. `observed_since` is when this process began to
    /// observe the engines without an interruption.
    pub fn is_doubted(&self, now: Instant, observed_since: Instant, work: &InProgress) -> bool {
        if work.requests < MIN_REQUESTS {
            return false;
        }
        let tolerated = MAX_SILENCE * 2_u32.pow(self.passed_probes);
        let silent_since = self.last_sign_at.max(observed_since);
        let exceeds = |since: Instant, limit| now.saturating_duration_since(since) > limit;
        let is_stalled = work.oldest_prompt_sent_at.is_some_and(|sent_at| {
            exceeds(silent_since.max(sent_at), tolerated + work.longest_prefill)
        });
        is_stalled || work.streams > 0 && exceeds(silent_since, tolerated)
    }
}

/// Notices when this process was itself too delayed to observe others.
#[derive(Clone, Copy, Debug)]
pub struct ObservationWindow {
    since: Instant,
    last_at: Instant,
}

impl ObservationWindow {
    /// Creates a window that begins now.
    pub fn new(now: Instant) -> ObservationWindow {
        ObservationWindow {
            since: now,
            last_at: now,
        }
    }

    /// Records an observation and returns since when observations have been regular.
    pub fn observe(&mut self, now: Instant) -> Instant {
        if now.saturating_duration_since(self.last_at) > MAX_OBSERVATION_GAP {
            self.since = now;
        }
        self.last_at = now;
        self.since
    }
}

#[cfg(test)]
#[path = "engine_activity_tests.rs"]
mod tests;
