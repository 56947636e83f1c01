//! Totals of the engine time that the requests of this process use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumlug::{DemandReport, EngineTime, ServiceName};

/// Minimum weight of the newest request in the moving average of the time that requests hold an engine.
const MIN_NEWEST_HOLD_WEIGHT: f64 = 0.05;

/// Engine time that the requests of this process have used, by service.
pub(crate) struct DemandTotals {
    sender: u64,
    services: RefCell<BTreeMap<ServiceName, ServiceTotals>>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceTotals {
    prefill: Duration,
    /// Engine time of decoding up to `updated_at`.
    decode: Duration,
    updated_at: Instant,
    /// Sum of the engine shares that decoding requests hold now.
    held: f64,
    /// Number of decoding requests so far, refused ones included.
    requests: u32,
    /// Moving average of the time that a decoding request holds an engine.
    hold_time: Duration,
}

impl ServiceTotals {
    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.decode += elapsed.mul_f64(self.held.max(0.0));
        self.updated_at = now;
    }
}

impl DemandTotals {
    /// Creates empty totals of the process with this id.
    pub(crate) fn new(sender: u64) -> DemandTotals {
        DemandTotals {
            sender,
            services: RefCell::default(),
        }
    }

    /// Adds the time that a prefill engine needs for a prompt.
    pub(crate) fn add_prefill(&self, now: Instant, service: &str, time: Duration) {
        self.with_service(now, service, |totals| totals.prefill += time);
    }

    /// Counts `share` of an engine as held by a decoding request from now on.
    pub(crate) fn hold(&self, now: Instant, service: &str, share: f64) {
        self.with_service(now, service, |totals| {
            totals.held += share;
            totals.requests += 1;
        });
    }

    /// Ends what [`DemandTotals::hold`] began `held_for` ago.
    pub(crate) fn release(&self, now: Instant, service: &str, share: f64, held_for: Duration) {
        self.with_service(now, service, |totals| {
            totals.held -= share;
            if share > 0.0 {
                let weight = MIN_NEWEST_HOLD_WEIGHT.max(1.0 / f64::from(totals.requests));
                totals.hold_time =
                    totals.hold_time.mul_f64(1.0 - weight) + held_for.mul_f64(weight);
            }
        });
    }

    /// Returns the mean time that a request of a service holds an engine; zero until the first ended.
    pub(crate) fn hold_time(&self, service: &str) -> Duration {
        let services = self.services.borrow();
        services
            .get(service)
            .map_or(Duration::ZERO, |totals| totals.hold_time)
    }

    /// Adds a request that no engine had room for, as if it had held an engine for the mean time.
    pub(crate) fn add_refused(&self, now: Instant, service: &str) {
        self.with_service(now, service, |totals| {
            totals.decode += totals.decode / totals.requests.max(1);
            totals.requests += 1;
        });
    }

    /// Returns the totals since the process started.
    pub(crate) fn report(&self, now: Instant) -> DemandReport {
        let mut services = self.services.borrow_mut();
        let times = services.iter_mut().map(|(service, totals)| {
            totals.update(now);
            let time = EngineTime {
                prefill_us: totals.prefill.as_micros() as u64,
                decode_us: totals.decode.as_micros() as u64,
            };
            (service.clone(), time)
        });
        DemandReport {
            sender: self.sender,
            services: times.collect(),
        }
    }

    fn with_service<F>(&self, now: Instant, service: &str, f: F)
    where
        F: FnOnce(&mut ServiceTotals),
    {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            let totals = ServiceTotals {
                prefill: Duration::ZERO,
                decode: Duration::ZERO,
                updated_at: now,
                held: 0.0,
                requests: 0,
                hold_time: Duration::ZERO,
            };
            services.insert(service.to_string(), totals);
        }
        if let Some(totals) = services.get_mut(service) {
            totals.update(now);
            f(totals);
        }
    }
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
