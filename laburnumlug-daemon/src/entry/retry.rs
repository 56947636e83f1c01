//! Retry budget and retry backoff.

use std::cell::Cell;
use std::time::Duration;

use rand::Rng;

/// Credits that one success earns; one retry costs [`CREDITS_PER_RETRY`].
const CREDITS_PER_SUCCESS: u64 = 1;

/// Credits that one retry costs, so that retries stay below a tenth of the successes.
const CREDITS_PER_RETRY: u64 = 10;

/// Maximum number of saved retries, and the number that an entry starts with.
///
/// They allow all answers of a few failed engines to resume on other engines at once.
const MAX_SAVED_RETRIES: u64 = 500;

/// Upper bound of the random delay before the first retry; doubles with each retry, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum upper bound of the random delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Token bucket that limits retries to a share of the successes.
///
/// While every request fails, retries would only add load, so they end once the budget is exhausted.
pub(crate) struct RetryBudget {
    credits: Cell<u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            credits: Cell::new(MAX_SAVED_RETRIES * CREDITS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Records a request that was answered.
    pub(crate) fn record_success(&self) {
        let credits = self.credits.get() + CREDITS_PER_SUCCESS;
        self.credits
            .set(credits.min(MAX_SAVED_RETRIES * CREDITS_PER_RETRY));
    }

    /// Spends one retry, or returns `false` if the budget is exhausted.
    pub(crate) fn try_acquire(&self) -> bool {
        match self.credits.get().checked_sub(CREDITS_PER_RETRY) {
            Some(remaining) => {
                self.credits.set(remaining);
                true
            }
            None => false,
        }
    }
}

/// Exponential backoff with full jitter: each delay is random between zero and a bound that doubles.
pub(crate) struct Backoff {
    max_delay: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            max_delay: INITIAL_BACKOFF,
        }
    }
}

impl Backoff {
    /// Returns the random delay before the next retry, and doubles its upper bound up to [`MAX_BACKOFF`].
    pub(crate) fn next_delay<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let delay = rng.random_range(Duration::ZERO..=self.max_delay);
        self.max_delay = (self.max_delay * 2).min(MAX_BACKOFF);
        delay
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::*;

    #[test]
    fn try_acquire_exhausted() {
        let budget = RetryBudget::default();
        for _ in 0..MAX_SAVED_RETRIES {
            assert!(budget.try_acquire());
        }
        assert!(!budget.try_acquire());
        for _ in 0..CREDITS_PER_RETRY / CREDITS_PER_SUCCESS {
            assert!(!budget.try_acquire());
            budget.record_success();
        }
        assert!(budget.try_acquire());
    }

    quickcheck! {
        fn try_acquire_share_of_successes(successes: Vec<bool>) -> bool {
            let budget = RetryBudget::default();
            let mut answered = 0;
            let mut retries = 0;
            successes.into_iter().cycle().take(20_000).all(|success| {
                match success {
                    true => {
                        answered += 1;
                        budget.record_success();
                    }
                    false => retries += u64::from(budget.try_acquire()),
                }
                retries <= MAX_SAVED_RETRIES + answered * CREDITS_PER_SUCCESS / CREDITS_PER_RETRY
            })
        }

        fn next_delay_stays_below_doubling_bound(seed: u64) -> bool {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut backoff = Backoff::default();
            let mut max_delay = INITIAL_BACKOFF;
            (0..20).all(|_| {
                let delay = backoff.next_delay(&mut rng);
                let fits = delay <= max_delay.min(MAX_BACKOFF);
                max_delay *= 2;
                fits
            })
        }
    }
}
