//! Admission control of a target process.

use std::fmt;
use std::time::{Duration, Instant};

use laburnumlug::{AdmissionPolicy, Policy};

use crate::fairness::is_above_fair_share;
use crate::forecast::finish_times;
use crate::rates::EngineRates;
use crate::work::{EngineLimits, WorkItem};

/// Minimum retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Queue state of a target process as an input of [`Admission::decide`].
#[derive(Clone, Copy, Debug)]
pub struct QueueView<'a> {
    /// Measured rates of the engine.
    pub rates: EngineRates,
    /// Limits on what the engine runs concurrently.
    pub limits: EngineLimits,
    /// All work that was admitted and has not finished.
    pub items: &'a [WorkItem],
    /// Number of callers that sent a request recently, including the caller of this request.
    pub active_callers: usize,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// There is not enough free capacity.
    Full,
    /// The answer would miss its deadline.
    TooLate,
    /// Admitting it would make a previously admitted request miss its deadline.
    Displacing,
    /// Even an idle engine could not meet the deadline.
    Impossible,
}

/// Refusal of a request, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// Estimated time after which the same request would be admitted if no others arrived, or `None` if it never would
    /// be.
    pub retry_after: Option<Duration>,
    /// Predicted time until the answer is complete; zero from [`CapacityAdmission`], which makes no prediction.
    pub predicted_finish: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Number of admitted requests that have not finished.
    pub admitted_requests: usize,
    /// Whether the request would put its caller above its fair share; [`CapacityAdmission`] does not check this.
    pub above_fair_share: bool,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: predicted finish {} ms, deadline {} ms, {} requests admitted, above fair share: {}, retry after: {}",
            self.cause,
            self.predicted_finish.as_millis(),
            self.time_left.as_millis(),
            self.admitted_requests,
            self.above_fair_share,
            match self.retry_after {
                Some(retry_after) => format!("{} ms", retry_after.as_millis()),
                None => "never".to_string(),
            }
        )
    }
}

/// Decides whether a target process admits a request.
pub trait Admission {
    /// Decides whether to admit `item`, which has not started.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused and when it may be retried.
    fn decide(&self, now: Instant, item: &WorkItem, queue: &QueueView<'_>) -> Result<(), Refusal>;
}

/// Returns the admission control that a service's policy selects.
pub fn admission(policy: &Policy) -> Box<dyn Admission> {
    match policy.admission {
        AdmissionPolicy::Capacity => Box::new(CapacityAdmission),
        AdmissionPolicy::Deadline => Box::new(DeadlineAdmission {
            margin: policy.deadline_margin,
            flood_reserve: policy.flood_reserve,
        }),
    }
}

/// Admits requests that fit into the free capacity, whatever their deadline.
#[derive(Clone, Copy, Debug)]
pub struct CapacityAdmission;

/// Retry delay of a request that was refused for lack of free capacity.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Admission for CapacityAdmission {
    fn decide(&self, now: Instant, item: &WorkItem, queue: &QueueView<'_>) -> Result<(), Refusal> {
        let held_pieces: u64 = queue.items.iter().map(|item| item.pieces).sum();
        if held_pieces + item.pieces <= queue.limits.capacity_pieces {
            return Ok(());
        }
        Err(Refusal {
            cause: RefusalCause::Full,
            retry_after: Some(FULL_RETRY_AFTER),
            predicted_finish: Duration::ZERO,
            time_left: item.deadline.saturating_duration_since(now),
            admitted_requests: queue.items.len(),
            above_fair_share: false,
        })
    }
}

/// Admits requests that can meet their deadline without making an admitted request miss its own.
///
/// Admitted requests that are predicted to miss their deadline anyway do not count.
#[derive(Clone, Copy, Debug)]
pub struct DeadlineAdmission {
    /// Fraction of the time until the deadline that must remain as a margin after the predicted finish.
    pub margin: f64,
    /// Fraction of the engine's rates that is withheld from callers above their fair share.
    pub flood_reserve: f64,
}

impl Admission for DeadlineAdmission {
    fn decide(&self, now: Instant, item: &WorkItem, queue: &QueueView<'_>) -> Result<(), Refusal> {
        let time_left = item.deadline.saturating_duration_since(now);
        let time_budget = time_left.mul_f64(1.0 - self.margin);
        let is_above_share =
            is_above_fair_share(&item.caller, item, queue.items, queue.active_callers);
        let rates = match is_above_share {
            true => queue.rates.with_reserve(self.flood_reserve),
            false => queue.rates,
        };
        let refusal = |cause, retry_after, predicted_finish| Refusal {
            cause,
            retry_after,
            predicted_finish,
            time_left,
            admitted_requests: queue.items.len(),
            above_fair_share: is_above_share,
        };
        let mut items = queue.items.to_vec();
        items.push(item.clone());
        let finish_after = finish_times(&rates, &queue.limits, &items);
        let predicted_finish = finish_after[items.len() - 1];
        if predicted_finish > time_budget {
            let idle_time = idle_engine_time(&rates, &queue.limits, item);
            if idle_time > time_budget {
                return Err(refusal(RefusalCause::Impossible, None, predicted_finish));
            }
            let retry_after = (predicted_finish - time_budget).max(MIN_RETRY_AFTER);
            return Err(refusal(
                RefusalCause::TooLate,
                Some(retry_after),
                predicted_finish,
            ));
        }
        let finish_before = finish_times(&rates, &queue.limits, queue.items);
        let displaced_lateness = queue.items.iter().enumerate().filter_map(|(i, other)| {
            let other_time_left = other.deadline.saturating_duration_since(now);
            let was_on_time = finish_before[i] <= other_time_left;
            (was_on_time && finish_after[i] > other_time_left)
                .then(|| finish_after[i] - other_time_left)
        });
        match displaced_lateness.max() {
            None => Ok(()),
            Some(lateness) => {
                let retry_after = lateness.max(MIN_RETRY_AFTER);
                Err(refusal(
                    RefusalCause::Displacing,
                    Some(retry_after),
                    predicted_finish,
                ))
            }
        }
    }
}

/// Returns the predicted time for an idle engine to finish the item.
fn idle_engine_time(rates: &EngineRates, limits: &EngineLimits, item: &WorkItem) -> Duration {
    finish_times(rates, limits, std::slice::from_ref(item))[0]
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    const RATES: EngineRates = EngineRates {
        prefill_tokens_per_second: 1000.0,
        token_seconds: 0.01,
        token_seconds_per_decode: 0.0,
    };

    const DEADLINE: DeadlineAdmission = DeadlineAdmission {
        margin: 0.0,
        flood_reserve: 0.5,
    };

    fn item(caller: &str, deadline: Instant, prefill_tokens: f64, pieces: u64) -> WorkItem {
        WorkItem {
            caller: caller.into(),
            deadline,
            pieces,
            prefill_tokens,
            decode_tokens: 100.0,
            started: false,
        }
    }

    fn queue(items: &[WorkItem]) -> QueueView<'_> {
        QueueView {
            rates: RATES,
            limits: EngineLimits {
                capacity_pieces: 4,
                prompts_at_once: 1,
            },
            items,
            active_callers: 1,
        }
    }

    fn cause(result: Result<(), Refusal>) -> Option<RefusalCause> {
        result.err().map(|refusal| refusal.cause)
    }

    #[test]
    fn capacity_exact_and_above() {
        let now = Instant::now();
        let admitted_requests = [item("a", now, 1.0, 3)];
        assert!(
            CapacityAdmission
                .decide(now, &item("a", now, 1.0, 1), &queue(&admitted_requests))
                .is_ok()
        );
        let refused =
            CapacityAdmission.decide(now, &item("a", now, 1.0, 2), &queue(&admitted_requests));
        assert_eq!(cause(refused), Some(RefusalCause::Full));
    }

    #[test]
    fn deadline_exactly_met() {
        let now = Instant::now();
        // One second of prefill and one of decode.
        let met = item("a", now + Duration::from_secs(2), 1000.0, 1);
        assert_eq!(DEADLINE.decide(now, &met, &queue(&[])), Ok(()));
        let missed = item("a", now + Duration::from_millis(1999), 1000.0, 1);
        let refused = DEADLINE.decide(now, &missed, &queue(&[]));
        assert_eq!(cause(refused), Some(RefusalCause::Impossible));
    }

    #[test]
    fn deadline_past() {
        let now = Instant::now();
        let refused = DEADLINE
            .decide(now, &item("a", now, 1000.0, 1), &queue(&[]))
            .unwrap_err();
        assert_eq!(
            (refused.cause, refused.retry_after),
            (RefusalCause::Impossible, None)
        );
    }

    #[test]
    fn deadline_margin_kept() {
        let now = Instant::now();
        let admission = DeadlineAdmission {
            margin: 0.5,
            ..DEADLINE
        };
        let met = item("a", now + Duration::from_secs(4), 1000.0, 1);
        assert!(admission.decide(now, &met, &queue(&[])).is_ok());
        let missed = item("a", now + Duration::from_millis(3999), 1000.0, 1);
        assert!(admission.decide(now, &missed, &queue(&[])).is_err());
    }

    #[test]
    fn deadline_retry_after_is_sufficient() {
        let now = Instant::now();
        let admitted_requests = [item("a", now + Duration::from_secs(2), 1000.0, 1)];
        let late = item("a", now + Duration::from_millis(2500), 1000.0, 1);
        let refused = DEADLINE
            .decide(now, &late, &queue(&admitted_requests))
            .unwrap_err();
        assert_eq!(refused.cause, RefusalCause::TooLate);
        let retry_after = refused.retry_after.unwrap();
        assert!(retry_after.abs_diff(Duration::from_millis(500)) < Duration::from_millis(1));
        // After the retry delay and with the same time until its deadline, the request is admitted.
        let mut rest = admitted_requests[0].clone();
        rest.started = true;
        rest.prefill_tokens -= retry_after.as_secs_f64() * 1000.0 + 1.0;
        let again = item("a", late.deadline + retry_after, 1000.0, 1);
        assert_eq!(
            DEADLINE.decide(now + retry_after, &again, &queue(&[rest])),
            Ok(())
        );
    }

    #[test]
    fn deadline_admitted_request_is_not_displaced() {
        let now = Instant::now();
        let admitted_requests = [item("a", now + Duration::from_millis(2100), 1000.0, 1)];
        let urgent = item("b", now + Duration::from_millis(2000), 1000.0, 1);
        let refused = DEADLINE
            .decide(now, &urgent, &queue(&admitted_requests))
            .unwrap_err();
        assert_eq!(refused.cause, RefusalCause::Displacing);
        assert!(refused.retry_after.is_some());
    }

    #[test]
    fn deadline_late_admitted_request_does_not_block() {
        let now = Instant::now();
        let late = [item("a", now + Duration::from_millis(100), 1000.0, 1)];
        let next = item("b", now + Duration::from_secs(30), 1000.0, 1);
        assert_eq!(DEADLINE.decide(now, &next, &queue(&late)), Ok(()));
    }

    #[test]
    fn deadline_above_all_capacity() {
        let now = Instant::now();
        let wide = item("a", now + Duration::from_secs(60), 1000.0, 5);
        let refused = DEADLINE.decide(now, &wide, &queue(&[])).unwrap_err();
        assert_eq!(
            (refused.cause, refused.retry_after),
            (RefusalCause::Impossible, None)
        );
    }

    #[test]
    fn deadline_flood_leaves_reserve() {
        let now = Instant::now();
        let admitted_requests: Vec<WorkItem> = (0..3)
            .map(|_| item("flood", now + Duration::from_secs(9), 1000.0, 1))
            .collect();
        let view = QueueView {
            active_callers: 5,
            ..queue(&admitted_requests)
        };
        let due = now + Duration::from_secs(6);
        let flood = DEADLINE
            .decide(now, &item("flood", due, 1000.0, 1), &view)
            .unwrap_err();
        assert!(flood.above_fair_share);
        assert_eq!(
            DEADLINE.decide(now, &item("b", due, 1000.0, 1), &view),
            Ok(())
        );
    }

    quickcheck! {
        fn urgent_feasible_request_is_admitted(items: Vec<(u8, u8)>) -> bool {
            // However much work with distant deadlines is waiting, an urgent request is admitted if it
            // overtakes all of it and fits into its slack.
            let now = Instant::now();
            let admitted_requests: Vec<WorkItem> = items
                .iter()
                .map(|(prefill, _)| {
                    item("a", now + Duration::from_secs(3600), f64::from(*prefill), 1)
                })
                .collect();
            let urgent = item("b", now + Duration::from_millis(1200), 100.0, 1);
            DEADLINE.decide(now, &urgent, &queue(&admitted_requests)).is_ok()
        }

        fn admitted_work_is_predicted_in_time(offers: Vec<(u8, u8)>) -> bool {
            let now = Instant::now();
            let mut admitted_requests: Vec<WorkItem> = Vec::new();
            for (prefill, seconds) in offers {
                let due = now + Duration::from_secs(u64::from(seconds));
                let offer = item("a", due, f64::from(prefill) * 10.0, 1);
                if DEADLINE.decide(now, &offer, &queue(&admitted_requests)).is_ok() {
                    admitted_requests.push(offer);
                }
            }
            let view = queue(&admitted_requests);
            let times = finish_times(&view.rates, &view.limits, &admitted_requests);
            admitted_requests.iter().zip(times).all(|(item, time)| now + time <= item.deadline)
        }
    }
}
