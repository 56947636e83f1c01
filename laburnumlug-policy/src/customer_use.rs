//! Engine time that the requests of one customer use.

use std::time::{Duration, Instant};

/// Time constant of the decay of a customer's work; after it, about a third still counts.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Maximum prefill time of one request that is counted; reports of other gateways may state any amount of work.
const MAX_PREFILL: Duration = Duration::from_secs(60);

/// Maximum number of engines that count as held by one customer.
const MAX_HELD: f64 = 1e6;

/// Engine time below which the recorded work of a customer without requests is forgotten.
const IDLE_SECONDS: f64 = 1e-3;

/// Requests of the same work that may be admitted in a row for what the customer was refused before.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

/// Engine work of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Time that an engine needs to prefill the prompt.
    pub prefill: Duration,
    /// Share of an engine's slots or memory that the request holds until it ends.
    pub decode_share: f64,
    /// Time for which it is predicted to hold them.
    pub hold_time: Duration,
}

impl EngineWork {
    /// Returns the predicted engine time in seconds.
    fn seconds(&self) -> f64 {
        self.prefill_seconds() + self.held_share() * self.hold_time.min(MAX_PREFILL).as_secs_f64()
    }

    fn prefill_seconds(&self) -> f64 {
        self.prefill.min(MAX_PREFILL).as_secs_f64()
    }

    /// Returns the share of an engine, or zero if it is not a number.
    fn held_share(&self) -> f64 {
        match self.decode_share.is_nan() {
            true => 0.0,
            false => self.decode_share.clamp(0.0, 1.0),
        }
    }
}

/// Engine time that the requests of one customer use, over all gateways, and what this process refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerUse {
    /// Prefill time of the requests sent recently, in seconds.
    prefill: f64,
    /// Sum of the engine shares that requests hold now.
    held: f64,
    /// Number of unfinished requests.
    unfinished: u32,
    /// Engine time of the requests refused recently, in seconds.
    refused: f64,
    /// Engine time of refused requests that is to be served all the same, in seconds.
    credit: f64,
    /// Credit spent for the request that is being placed, in seconds.
    spent: f64,
    /// When the customer's turn comes after those that were told when to return.
    turn_at: Option<Instant>,
}

impl CustomerUse {
    /// Returns the number of engines in use.
    pub(crate) fn in_use(&self) -> f64 {
        self.prefill / WORK_TIME_CONSTANT.as_secs_f64() + self.held
    }

    /// Returns the number of engines that would be in use if nothing had been refused.
    pub(crate) fn demand(&self) -> f64 {
        self.in_use() + self.refused / WORK_TIME_CONSTANT.as_secs_f64()
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, work: EngineWork) {
        self.spent = 0.0;
        self.prefill += work.prefill_seconds();
        self.held = (self.held + work.held_share()).min(MAX_HELD);
        self.unfinished = self.unfinished.saturating_add(1);
    }

    /// Records that a request has ended.
    pub(crate) fn end(&mut self, work: EngineWork) {
        self.unfinished = self.unfinished.saturating_sub(1);
        self.held = match self.unfinished {
            // Rounding errors do not accumulate.
            0 => 0.0,
            _ => (self.held - work.held_share()).max(0.0),
        };
    }

    /// Records that a request is refused, counts it once for each of `gateways`, and returns the credit spent for it.
    pub(crate) fn refuse(&mut self, work: EngineWork, gateways: f64) {
        self.refused += work.seconds() * gateways;
        self.credit += std::mem::take(&mut self.spent);
    }

    /// Earns credit for `min_part` of a request, and returns whether the credit pays for all of it.
    ///
    /// While there is no room for a request in time, twice the credit is needed, as it delays the others.
    pub(crate) fn try_spend_credit(
        &mut self,
        work: EngineWork,
        min_part: f64,
        is_in_time: bool,
    ) -> bool {
        let seconds = work.seconds();
        self.credit = (self.credit + min_part * seconds).min(MAX_CREDIT_REQUESTS * seconds);
        let min_credit = match is_in_time {
            true => seconds,
            false => seconds * MAX_CREDIT_REQUESTS,
        };
        let is_enough = self.credit >= min_credit;
        if is_enough {
            self.credit -= seconds;
            self.spent = seconds;
        }
        is_enough
    }

    /// Returns the time after which a refused request should return: at least `earliest`, and after the requests refused
    /// before it have been served at `rate` engines.
    pub(crate) fn next_turn(
        &mut self,
        now: Instant,
        earliest: Duration,
        work: EngineWork,
        rate: f64,
    ) -> Duration {
        let earliest = now + earliest;
        let turn_at = self.turn_at.map_or(earliest, |at| at.max(earliest));
        let interval =
            (work.seconds() / rate.max(f64::MIN_POSITIVE)).min(MAX_PREFILL.as_secs_f64());
        // Callers that give up leave their turns unused, so turns are not assigned without bound.
        let next = (turn_at + Duration::from_secs_f64(interval)).min(earliest + MAX_PREFILL);
        self.turn_at = Some(next);
        turn_at.saturating_duration_since(now)
    }

    /// Lets the recorded work decay for `elapsed`, that of sent requests by at most `max_rate` seconds for each second.
    ///
    /// With that bound, the mean rate of a customer that sends prompts of several seconds' work, and each as soon as the
    /// previous one has decayed, does not exceed the bound.
    pub(crate) fn decay(&mut self, elapsed: Duration, max_rate: f64) {
        let rest = (-elapsed.div_duration_f64(WORK_TIME_CONSTANT)).exp();
        let decayed = self.prefill * (1.0 - rest);
        self.prefill -= decayed.min(elapsed.as_secs_f64() * max_rate);
        self.refused *= rest;
    }

    /// Returns whether the customer has neither sent nor been refused anything of weight recently.
    pub(crate) fn is_idle(&self) -> bool {
        self.unfinished == 0 && self.prefill + self.refused < IDLE_SECONDS
    }
}
