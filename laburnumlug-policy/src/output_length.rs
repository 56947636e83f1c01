//! Predicts the length of answers in tokens.

use std::collections::HashMap;

use laburnumlug::CallerName;

/// Weight of the newest answer in the moving averages.
const NEWEST_ANSWER_WEIGHT: f64 = 0.1;

/// Maximum number of callers with statistics of their own.
const MAX_CALLERS: usize = 1024;

/// Minimum number of answers before the statistics of a caller or service are used.
const MIN_ANSWERS: u64 = 3;

/// Moving statistics of answer lengths, each as a fraction of the requested maximum tokens.
#[derive(Clone, Copy, Debug, Default)]
struct LengthStats {
    answers: u64,
    mean: f64,
    /// Mean absolute deviation.
    deviation: f64,
}

impl LengthStats {
    fn record(&mut self, fraction: f64) {
        self.answers += 1;
        // The first answers have equal weight, so that the very first does not dominate the mean for long.
        let weight = NEWEST_ANSWER_WEIGHT.max(1.0 / self.answers as f64);
        self.deviation += weight * ((fraction - self.mean).abs() - self.deviation);
        self.mean += weight * (fraction - self.mean);
        if self.answers == 1 {
            self.deviation = 0.0;
        }
    }
}

/// Predicts the length of a service's answers from the previous answers to the same caller.
#[derive(Clone, Debug, Default)]
pub struct OutputPredictor {
    callers: HashMap<CallerName, LengthStats>,
    service: LengthStats,
}

impl OutputPredictor {
    /// Records an answer of `tokens` tokens to a request for at most `max_tokens`.
    ///
    /// Once 1,024 callers have statistics, answers to others count only for the service. Ignores a `max_tokens` of 0.
    pub fn record(&mut self, caller: &str, max_tokens: u64, tokens: u64) {
        if max_tokens == 0 {
            return;
        }
        let fraction = (tokens as f64 / max_tokens as f64).min(1.0);
        self.service.record(fraction);
        if self.callers.len() < MAX_CALLERS || self.callers.contains_key(caller) {
            self.callers
                .entry(caller.to_string())
                .or_default()
                .record(fraction);
        }
    }

    /// Returns the predicted number of tokens of an answer: the mean plus `spread` mean absolute deviations.
    ///
    /// Falls back from the caller's statistics to the service's, and to `max_tokens` if there are too few answers. A
    /// prediction from statistics is at most `max_tokens`, and at least 1.
    pub fn predict(&self, caller: &str, max_tokens: u64, spread: f64) -> f64 {
        let own = self.callers.get(caller).copied().unwrap_or_default();
        let stats = match (
            own.answers >= MIN_ANSWERS,
            self.service.answers >= MIN_ANSWERS,
        ) {
            (true, _) => own,
            (false, true) => self.service,
            (false, false) => return max_tokens as f64,
        };
        let fraction = (stats.mean + spread * stats.deviation).min(1.0);
        (max_tokens as f64 * fraction).max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    #[test]
    fn predict_unknown_service() {
        assert_eq!(OutputPredictor::default().predict("a", 100, 1.0), 100.0);
    }

    #[test]
    fn predict_unknown_caller_as_service() {
        let mut predictor = OutputPredictor::default();
        for _ in 0..10 {
            predictor.record("a", 100, 20);
        }
        assert!((predictor.predict("b", 200, 1.0) - 40.0).abs() < 1e-6);
    }

    #[test]
    fn predict_caller_with_spread() {
        let mut predictor = OutputPredictor::default();
        for i in 0..200 {
            predictor.record("a", 100, if i % 2 == 0 { 20 } else { 40 });
            predictor.record("b", 100, 90);
        }
        assert!((predictor.predict("a", 100, 0.0) - 30.0).abs() < 2.0);
        assert!((predictor.predict("a", 100, 1.0) - 40.0).abs() < 4.0);
    }

    quickcheck! {
        fn predict_within_what_was_asked(answers: Vec<(u16, u16)>, max_tokens: u16) -> bool {
            let mut predictor = OutputPredictor::default();
            for (asked, tokens) in answers {
                predictor.record("a", u64::from(asked), u64::from(tokens));
            }
            let max_tokens = u64::from(max_tokens).max(1);
            let predicted = predictor.predict("a", max_tokens, 1.0);
            (1.0..=max_tokens as f64).contains(&predicted)
        }
    }
}
