//! Predicts when the work of a target finishes by simulating its engine.

use std::time::Duration;

use crate::rates::EngineRates;
use crate::work::{EngineLimits, WorkItem, next_to_start};

/// Remaining tokens at or below which a phase counts as finished, to absorb rounding errors.
const EPSILON_TOKENS: f64 = 1e-6;

/// Length of the simulated period, in seconds. Work that does not finish within it is reported with this time.
const HORIZON_SECONDS: f64 = 24.0 * 3600.0;

/// Returns the predicted time from now until each work item finishes, in the order of `items`.
///
/// This simulates the engine phase by phase at the given rates: waiting items start in the order of [`next_to_start`],
/// prompts in prefill share the prefill rate, and each running decode slows the others.
pub fn finish_times(
    rates: &EngineRates,
    limits: &EngineLimits,
    items: &[WorkItem],
) -> Vec<Duration> {
    let mut unfinished: Vec<WorkItem> = items.to_vec();
    let mut item_indices: Vec<usize> = (0..items.len()).collect();
    let mut finish_times_by_item = vec![Duration::from_secs_f64(HORIZON_SECONDS); items.len()];
    let mut seconds = 0.0;
    while !unfinished.is_empty() && seconds < HORIZON_SECONDS {
        while let Some(i) = next_to_start(limits, unfinished.iter()) {
            unfinished[i].started = true;
        }
        let phase_rates = PhaseRates::for_batch(rates, &unfinished);
        let Some(step_seconds) = unfinished
            .iter()
            .filter_map(|item| phase_rates.seconds_to_phase_end(item))
            .min_by(f64::total_cmp)
        else {
            // The remaining items need more capacity than the engine has and never start.
            return finish_times_by_item;
        };
        seconds += step_seconds;
        for item in &mut unfinished {
            phase_rates.advance(item, step_seconds);
        }
        let mut i = 0;
        while i < unfinished.len() {
            if unfinished[i].started
                && !unfinished[i].is_prefilling()
                && unfinished[i].decode_tokens <= EPSILON_TOKENS
            {
                finish_times_by_item[item_indices[i]] =
                    Duration::from_secs_f64(seconds.min(HORIZON_SECONDS));
                unfinished.swap_remove(i);
                item_indices.swap_remove(i);
            } else {
                i += 1;
            }
        }
    }
    finish_times_by_item
}

/// Returns the predicted time until prefill would start for a new prompt with the latest deadline.
pub fn prefill_wait_time(
    rates: &EngineRates,
    limits: &EngineLimits,
    items: &[WorkItem],
) -> Duration {
    let waiting = items
        .iter()
        .filter(|item| !item.started || item.is_prefilling());
    let tokens: f64 = waiting.map(|item| item.prefill_tokens).sum();
    let prefill = Duration::from_secs_f64(tokens / rates.prefill_tokens_per_second);
    let held_pieces: u64 = items.iter().map(|item| item.pieces).sum();
    if held_pieces < limits.capacity_pieces {
        return prefill;
    }
    // The engine is full, so a new prompt waits at least until the first item finishes.
    let first_finish = finish_times(rates, limits, items).into_iter().min();
    prefill.max(first_finish.unwrap_or_default())
}

/// Rates at which each running item progresses until the next item ends a phase.
struct PhaseRates {
    prefill_rate: f64,
    decode_rate: f64,
}

impl PhaseRates {
    fn for_batch(rates: &EngineRates, items: &[WorkItem]) -> PhaseRates {
        let prefilling = items.iter().filter(|item| item.is_prefilling()).count();
        let started = items.iter().filter(|item| item.started).count();
        let decodes = started - prefilling;
        PhaseRates {
            prefill_rate: rates.prefill_tokens_per_second / prefilling.max(1) as f64,
            decode_rate: 1.0 / rates.seconds_per_token(decodes).max(EPSILON_TOKENS),
        }
    }

    /// Returns the seconds until the item's current phase ends, or `None` if the item has not started.
    fn seconds_to_phase_end(&self, item: &WorkItem) -> Option<f64> {
        match item.started {
            false => None,
            true if item.is_prefilling() => Some(item.prefill_tokens / self.prefill_rate),
            true => Some(item.decode_tokens.max(0.0) / self.decode_rate),
        }
    }

    fn advance(&self, item: &mut WorkItem, seconds: f64) {
        if !item.started {
            return;
        }
        if item.is_prefilling() {
            item.prefill_tokens -= self.prefill_rate * seconds;
            if item.prefill_tokens <= EPSILON_TOKENS {
                item.prefill_tokens = 0.0;
            }
        } else {
            item.decode_tokens -= self.decode_rate * seconds;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use quickcheck::quickcheck;

    use super::*;

    const RATES: EngineRates = EngineRates {
        prefill_tokens_per_second: 1000.0,
        token_seconds: 0.01,
        token_seconds_per_decode: 0.0,
    };

    const LIMITS: EngineLimits = EngineLimits {
        capacity_pieces: 4,
        prompts_at_once: 1,
    };

    fn item(deadline: Instant, prefill_tokens: f64, decode_tokens: f64, pieces: u64) -> WorkItem {
        WorkItem {
            caller: "a".into(),
            deadline,
            pieces,
            prefill_tokens,
            decode_tokens,
            started: false,
        }
    }

    fn seconds(times: Vec<Duration>) -> Vec<f64> {
        times
            .iter()
            .map(|time| (time.as_secs_f64() * 1000.0).round() / 1000.0)
            .collect()
    }

    #[test]
    fn finish_times_empty() {
        assert!(finish_times(&RATES, &LIMITS, &[]).is_empty());
    }

    #[test]
    fn finish_times_prompts_in_turn() {
        let now = Instant::now();
        let later = now + Duration::from_secs(1);
        let items = [item(later, 1000.0, 100.0, 1), item(now, 1000.0, 100.0, 1)];
        assert_eq!(seconds(finish_times(&RATES, &LIMITS, &items)), [3.0, 2.0]);
    }

    #[test]
    fn finish_times_waits_for_capacity() {
        let now = Instant::now();
        let later = now + Duration::from_secs(1);
        let items = [item(now, 1000.0, 100.0, 4), item(later, 1000.0, 100.0, 1)];
        assert_eq!(seconds(finish_times(&RATES, &LIMITS, &items)), [2.0, 4.0]);
    }

    #[test]
    fn finish_times_above_all_capacity() {
        let items = [item(Instant::now(), 1000.0, 100.0, 5)];
        assert_eq!(
            finish_times(&RATES, &LIMITS, &items)[0].as_secs_f64(),
            HORIZON_SECONDS
        );
    }

    #[test]
    fn finish_times_batch_slows() {
        let now = Instant::now();
        let rates = EngineRates {
            token_seconds: 0.0,
            token_seconds_per_decode: 0.01,
            ..RATES
        };
        let mut items = vec![item(now, 0.0, 100.0, 1); 2];
        for item in &mut items {
            item.started = true;
        }
        assert_eq!(seconds(finish_times(&rates, &LIMITS, &items)), [2.0, 2.0]);
    }

    #[test]
    fn prefill_wait_time_uncached_prompts() {
        let items = [
            item(Instant::now(), 500.0, 100.0, 1),
            item(Instant::now(), 1500.0, 9.0, 1),
        ];
        assert_eq!(
            seconds(vec![prefill_wait_time(&RATES, &LIMITS, &items)]),
            [2.0]
        );
    }

    quickcheck! {
        fn finish_times_never_before_own_work(specs: Vec<(u8, u8, u8)>) -> bool {
            let now = Instant::now();
            let items: Vec<WorkItem> = specs
                .iter()
                .map(|(prefill, decode, deadline)| {
                    let deadline = now + Duration::from_secs(u64::from(*deadline));
                    item(deadline, f64::from(*prefill), f64::from(*decode), 1)
                })
                .collect();
            let times = finish_times(&RATES, &LIMITS, &items);
            items.iter().zip(times).all(|(item, time)| {
                let own = item.prefill_tokens / RATES.prefill_tokens_per_second
                    + item.decode_tokens * RATES.token_seconds;
                time.as_secs_f64() >= own - 1e-6 && time.as_secs_f64() < HORIZON_SECONDS
            })
        }
    }
}
