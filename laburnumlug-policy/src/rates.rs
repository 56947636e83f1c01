//! Measures the prefill and decode rates of an engine.

use std::time::Duration;

/// Factor by which each new measurement reduces the weight of all previous ones in a fit.
const WEIGHT_DECAY: f64 = 0.98;

/// Number of running decodes at which the time per token of a typical engine is twice its base time.
const TYPICAL_BASE_DECODES: f64 = 16.0;

/// Minimum coefficient of variation of the x values for a slope to be fitted.
const MIN_VARIATION_COEFFICIENT: f64 = 0.1;

/// Minimum mean prompt length for the prefill rate to be estimated from the mean time alone.
const MIN_MEAN_PROMPT_TOKENS: f64 = 512.0;

/// Prefill and decode rates of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Prefill rate, which all prompts in prefill share.
    pub prefill_tokens_per_second: f64,
    /// Base time to decode one token, in seconds.
    pub token_seconds: f64,
    /// Time that each running decode adds to the time per token, in seconds.
    pub token_seconds_per_decode: f64,
}

impl Default for EngineRates {
    /// Returns the rates of an engine without measurements, which are fast so that it is sent work.
    fn default() -> EngineRates {
        EngineRates {
            prefill_tokens_per_second: 1e6,
            token_seconds: 1e-4,
            token_seconds_per_decode: 0.0,
        }
    }
}

impl EngineRates {
    /// Returns the time per token while `decodes` decodes are running.
    pub fn token_time(&self, decodes: usize) -> Duration {
        Duration::from_secs_f64(self.seconds_per_token(decodes))
    }

    /// Returns the rates that remain when the fraction `reserve` of the engine's time is set aside.
    ///
    /// At least a tenth of the engine's time remains, however large `reserve` is.
    pub fn with_reserve(&self, reserve: f64) -> EngineRates {
        let available_fraction = (1.0 - reserve).max(0.1);
        EngineRates {
            prefill_tokens_per_second: self.prefill_tokens_per_second * available_fraction,
            token_seconds: self.token_seconds / available_fraction,
            token_seconds_per_decode: self.token_seconds_per_decode / available_fraction,
        }
    }

    pub(crate) fn seconds_per_token(&self, decodes: usize) -> f64 {
        self.token_seconds + self.token_seconds_per_decode * decodes as f64
    }
}

/// Linear least-squares fit with exponentially decaying weights.
#[derive(Clone, Debug, Default)]
struct LineFit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl LineFit {
    fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * WEIGHT_DECAY + 1.0;
        self.sum_x = self.sum_x * WEIGHT_DECAY + x;
        self.sum_y = self.sum_y * WEIGHT_DECAY + y;
        self.sum_xx = self.sum_xx * WEIGHT_DECAY + x * x;
        self.sum_xy = self.sum_xy * WEIGHT_DECAY + x * y;
    }

    fn is_empty(&self) -> bool {
        self.weight == 0.0
    }

    fn means(&self) -> (f64, f64) {
        (self.sum_x / self.weight, self.sum_y / self.weight)
    }

    /// Returns the fitted slope, clamped to at least 0, or `None` if the x values vary too little for a fit.
    fn slope(&self) -> Option<f64> {
        let (mean_x, mean_y) = self.means();
        let variance = self.sum_xx / self.weight - mean_x * mean_x;
        let covariance = self.sum_xy / self.weight - mean_x * mean_y;
        let min_deviation = MIN_VARIATION_COEFFICIENT * mean_x;
        (variance > min_deviation * min_deviation && variance > 0.0)
            .then(|| (covariance / variance).max(0.0))
    }
}

/// Estimates the rates of one engine from the timing of its answers.
///
/// The prefill time is modelled as linear in the prompt tokens, with an intercept because each call has a fixed
/// overhead. The time per token is modelled as linear in the number of running decodes.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    /// Prefill time in seconds by prompt tokens.
    prefill_time_fit: LineFit,
    /// Seconds per token by running decodes.
    token_time_fit: LineFit,
}

impl RateMeter {
    /// Creates a meter without measurements.
    pub fn new() -> RateMeter {
        RateMeter::default()
    }

    /// Records a prefill of `tokens` prompt tokens that took `time` with no other prompt in prefill.
    pub fn record_prefill(&mut self, tokens: u64, time: Duration) {
        self.prefill_time_fit.add(tokens as f64, time.as_secs_f64());
    }

    /// Records that an answer grew by `tokens` tokens within `time` while `decodes` decodes were running.
    pub fn record_tokens(&mut self, decodes: usize, tokens: u64, time: Duration) {
        if tokens > 0 {
            self.token_time_fit
                .add(decodes as f64, time.as_secs_f64() / tokens as f64);
        }
    }

    /// Returns the estimated rates, or the default ones where there are no measurements.
    ///
    /// The prefill rate is at most the default one.
    pub fn rates(&self) -> EngineRates {
        let (token_seconds, token_seconds_per_decode) = self.token_seconds();
        EngineRates {
            prefill_tokens_per_second: self.prefill_rate(),
            token_seconds,
            token_seconds_per_decode,
        }
    }

    fn prefill_rate(&self) -> f64 {
        let default_rate = EngineRates::default().prefill_tokens_per_second;
        if self.prefill_time_fit.is_empty() {
            return default_rate;
        }
        let (tokens, seconds) = self.prefill_time_fit.means();
        let slope = match self.prefill_time_fit.slope() {
            Some(slope) => slope,
            // The time of short prompts is mostly call overhead and does not indicate the rate.
            None if tokens < MIN_MEAN_PROMPT_TOKENS => 0.0,
            None => seconds / tokens,
        };
        1.0 / slope.max(1.0 / default_rate)
    }

    fn token_seconds(&self) -> (f64, f64) {
        let default = EngineRates::default();
        if self.token_time_fit.is_empty() {
            return (default.token_seconds, default.token_seconds_per_decode);
        }
        let (decodes, seconds) = self.token_time_fit.means();
        // If the number of decodes varies too little, the slope of a typical engine is used.
        let typical_slope = seconds / (decodes + TYPICAL_BASE_DECODES);
        // A steeper line through the mean would give a negative time at zero decodes.
        let max_slope = seconds / decodes.max(1.0);
        let slope = self
            .token_time_fit
            .slope()
            .unwrap_or(typical_slope)
            .min(max_slope);
        ((seconds - slope * decodes).max(0.0), slope)
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn rates_nothing_measured() {
        assert_eq!(RateMeter::new().rates(), EngineRates::default());
    }

    #[test]
    fn rates_line_recovered() {
        let mut meter = RateMeter::new();
        for decodes in (1..=20).cycle().take(400) {
            let time = Duration::from_secs_f64(0.010 + 0.002 * decodes as f64);
            meter.record_tokens(decodes, 1, time);
        }
        let rates = meter.rates();
        assert!((rates.token_seconds - 0.010).abs() < 1e-6, "{rates:?}");
        assert!(
            (rates.token_seconds_per_decode - 0.002).abs() < 1e-6,
            "{rates:?}"
        );
    }

    #[test]
    fn rates_change_is_followed() {
        let mut meter = RateMeter::new();
        for _ in 0..100 {
            meter.record_prefill(1000, Duration::from_secs(1));
        }
        for _ in 0..1000 {
            meter.record_prefill(4000, Duration::from_secs(1));
        }
        assert!((meter.rates().prefill_tokens_per_second - 4000.0).abs() < 1.0);
    }

    #[test]
    fn rates_short_prompts_give_no_prefill_rate() {
        let mut meter = RateMeter::new();
        for _ in 0..50 {
            meter.record_prefill(3, Duration::from_millis(5));
        }
        let default = EngineRates::default().prefill_tokens_per_second;
        assert_eq!(meter.rates().prefill_tokens_per_second, default);
    }

    #[test]
    fn rates_prefill_without_call_overhead() {
        let mut meter = RateMeter::new();
        for tokens in [100, 500, 2000, 8000].into_iter().cycle().take(40) {
            let time = Duration::from_millis(20) + Duration::from_micros(100) * tokens as u32;
            meter.record_prefill(tokens, time);
        }
        let rate = meter.rates().prefill_tokens_per_second;
        assert!((rate - 10_000.0).abs() < 1.0, "{rate}");
    }

    quickcheck! {
        fn rates_never_negative(samples: Vec<(u8, u8, u16)>) -> bool {
            let mut meter = RateMeter::new();
            for (decodes, tokens, millis) in samples {
                let time = Duration::from_millis(u64::from(millis));
                meter.record_tokens(usize::from(decodes), u64::from(tokens), time);
            }
            let rates = meter.rates();
            rates.token_seconds >= 0.0 && rates.token_seconds_per_decode >= 0.0
        }
    }
}
