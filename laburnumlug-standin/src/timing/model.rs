//! Parameters of the timing model.

use std::time::Duration;

use laburnumlug::Role;

/// Fraction of its full rate at which a prefill or decode engine runs the other phase.
const OFF_ROLE_RATE_FRACTION: f64 = 0.3;

/// Fraction of its full rates at which a mixed engine runs either phase.
const MIXED_ROLE_RATE_FRACTION: f64 = 0.7;

/// Fraction of its decode rate that a mixed engine keeps while it runs a prefill.
const DECODE_RATE_FRACTION_DURING_PREFILL: f64 = 0.5;

/// Rates, capacities and reporting lags of one engine.
///
/// All values are in model time, which runs faster than wall time by the factor `time_compression`: at a factor of 10,
/// ten seconds of model time pass in each second.
#[derive(Clone, Debug)]
pub struct TimingModel {
    pub(super) prefill_tokens_per_second: f64,
    pub(super) token_time: Duration,
    pub(super) token_time_per_decode: Duration,
    pub(super) kv_pieces: u64,
    pub(super) prefix_cache_tokens: u64,
    pub(super) role_change_time: Duration,
    pub(super) report_lag: Duration,
    pub(super) cache_event_lag: Duration,
    pub(super) cache_event_drop_interval: u64,
    pub(super) time_compression: f64,
}

impl Default for TimingModel {
    fn default() -> TimingModel {
        TimingModel {
            prefill_tokens_per_second: 8000.0,
            token_time: Duration::from_millis(15),
            token_time_per_decode: Duration::from_millis(1),
            kv_pieces: 64,
            prefix_cache_tokens: 64 * 1024,
            role_change_time: Duration::from_secs(8),
            report_lag: Duration::from_secs(2),
            cache_event_lag: Duration::from_secs(1),
            cache_event_drop_interval: 0,
            time_compression: 1.0,
        }
    }
}

impl TimingModel {
    /// Sets the prefill rate in tokens per second, which concurrent prefills share.
    pub fn prefill_tokens_per_second(mut self, rate: f64) -> TimingModel {
        self.prefill_tokens_per_second = rate;
        self
    }

    /// Sets the time of one decode step, and how much each decoding request adds to it.
    pub fn token_time(mut self, time: Duration, per_decode: Duration) -> TimingModel {
        self.token_time = time;
        self.token_time_per_decode = per_decode;
        self
    }

    /// Sets the KV cache capacity in pieces of 1,024 tokens; requests that exceed it wait in the engine's queue, except
    /// that an idle engine admits any.
    pub fn kv_pieces(mut self, pieces: u64) -> TimingModel {
        self.kv_pieces = pieces;
        self
    }

    /// Sets the capacity of the prefix cache in tokens.
    pub fn prefix_cache_tokens(mut self, tokens: u64) -> TimingModel {
        self.prefix_cache_tokens = tokens;
        self
    }

    /// Sets how long a role change makes the engine unavailable.
    pub fn role_change_time(mut self, time: Duration) -> TimingModel {
        self.role_change_time = time;
        self
    }

    /// Sets the age of the data in load reports.
    pub fn report_lag(mut self, lag: Duration) -> TimingModel {
        self.report_lag = lag;
        self
    }

    /// Sets the delay of published cache events, and that every `drop_interval`-th event is dropped; 0 drops none.
    pub fn cache_events(mut self, lag: Duration, drop_interval: u64) -> TimingModel {
        self.cache_event_lag = lag;
        self.cache_event_drop_interval = drop_interval;
        self
    }

    /// Sets how many seconds of model time pass per second of wall time.
    pub fn time_compression(mut self, factor: f64) -> TimingModel {
        self.time_compression = factor;
        self
    }

    /// Returns the prefill rate of an engine in `role`, in tokens per second.
    pub fn prefill_rate(&self, role: Role) -> f64 {
        let fraction = match role {
            Role::Prefill => 1.0,
            Role::Mixed => MIXED_ROLE_RATE_FRACTION,
            Role::Decode => OFF_ROLE_RATE_FRACTION,
        };
        self.prefill_tokens_per_second * fraction
    }

    /// Returns the decode rate of an engine in `role`, in tokens per second and request, while it decodes
    /// `decoding_jobs` requests and possibly runs a prefill.
    pub fn decode_rate(&self, role: Role, decoding_jobs: usize, is_prefilling: bool) -> f64 {
        let fraction = match (role, is_prefilling) {
            (Role::Decode, _) => 1.0,
            (Role::Mixed, false) => MIXED_ROLE_RATE_FRACTION,
            (Role::Mixed, true) => MIXED_ROLE_RATE_FRACTION * DECODE_RATE_FRACTION_DURING_PREFILL,
            (Role::Prefill, _) => OFF_ROLE_RATE_FRACTION,
        };
        let token_time = self.token_time + self.token_time_per_decode * decoding_jobs as u32;
        fraction / token_time.as_secs_f64()
    }

    /// Converts a duration in model time to wall time.
    pub(super) fn to_wall_time(&self, time: Duration) -> Duration {
        time.div_f64(self.time_compression)
    }
}
