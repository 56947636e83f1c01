//! Samples how many engines each phase of inference keeps busy, from the totals that gateways report.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use laburnumlug::{DemandReport, EngineTime, ServiceName};

/// Time that the samples of a service cover. The mix of prompts may swing faster than engines change roles, so roles
/// are planned for all mixes within the window.
const WINDOW: Duration = Duration::from_secs(12);

/// Minimum time that one sample covers, so that a single long prompt does not look like a burst.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the first request that is not sampled: the caches of the engines are empty, so all shared parts of prompts
/// are prefilled.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// Minimum age of the oldest sample before roles are planned by the samples.
const MIN_WINDOW: Duration = Duration::from_secs(10);

/// Minimum time without demand after which a service counts as idle.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);

/// Maximum time between two updates; after a longer one, all samples are discarded.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(3);

/// Number of busy engines below which a service counts as idle; operators and probes send a few requests to it.
const IDLE_ENGINES: f64 = 0.1;

/// Number of engines of a service that each phase keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PhaseDemand {
    /// Engines that prefill keeps busy.
    pub prefill: f64,
    /// Engines whose slots or memory are held by requests in the decode phase.
    pub decode: f64,
}

/// What is known about the demand for the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Demand {
    /// There are too few samples.
    Unknown,
    /// The service has had no requests.
    Idle,
    /// Samples of the last seconds, oldest first.
    Sampled(Vec<PhaseDemand>),
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Demand::Unknown => f.write_str("unknown demand"),
            Demand::Idle => f.write_str("no demand"),
            Demand::Sampled(samples) => {
                let mean = |phase: fn(&PhaseDemand) -> f64| {
                    samples.iter().map(phase).sum::<f64>() / samples.len().max(1) as f64
                };
                write!(
                    f,
                    "{:.1} engines busy with prefill and {:.1} with decoding, on average over {} samples",
                    mean(|sample| sample.prefill),
                    mean(|sample| sample.decode),
                    samples.len()
                )
            }
        }
    }
}

/// Samples of the demand for the engines of one service.
#[derive(Clone, Debug)]
struct ServiceSamples {
    first_request_at: Instant,
    /// Samples from the end of the warm-up on, oldest first, each with the time of its end.
    samples: VecDeque<(Instant, PhaseDemand)>,
}

impl ServiceSamples {
    fn new(first_request_at: Instant) -> ServiceSamples {
        ServiceSamples {
            first_request_at,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample, unless the caches of the engines are still filling, and removes those that the window has passed.
    fn add(&mut self, now: Instant, sample: PhaseDemand) {
        if now.saturating_duration_since(self.first_request_at) < WARM_UP_TIME {
            return;
        }
        self.samples.push_back((now, sample));
        self.samples
            .retain(|(at, _)| now.saturating_duration_since(*at) <= WINDOW);
    }

    /// Returns the age of the oldest sample, or zero if there is none.
    fn window(&self, now: Instant) -> Duration {
        let oldest = self.samples.front();
        oldest.map_or(Duration::ZERO, |(at, _)| now.saturating_duration_since(*at))
    }
}

/// Samples the demand for the engines of each service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    /// Latest totals of each sender.
    totals: HashMap<u64, HashMap<ServiceName, EngineTime>>,
    updated_at: Option<Instant>,
    /// Time of the first update for which previous totals were known.
    first_update_at: Option<Instant>,
    /// Time of the latest samples, and the engine seconds that were used since then.
    unsampled: Option<(Instant, HashMap<ServiceName, PhaseDemand>)>,
    services: HashMap<ServiceName, ServiceSamples>,
}

impl DemandMeter {
    /// Samples what gateways have used since their previous reports, which must be about as old as the previous update.
    ///
    /// The first report of a sender only sets its baseline, as its totals cover an unknown time.
    pub fn update<'a, I>(&mut self, now: Instant, reports: I)
    where
        I: IntoIterator<Item = &'a DemandReport>,
    {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at));
        if elapsed.is_none_or(|elapsed| elapsed > MAX_UPDATE_INTERVAL) {
            *self = DemandMeter::default();
        }
        let (sampled_at, mut used) = self.unsampled.take().unwrap_or((now, HashMap::new()));
        let mut totals = HashMap::new();
        for report in reports {
            if let Some(previous) = self.totals.get(&report.sender) {
                for (service, time) in &report.services {
                    let previous = previous.get(service).copied().unwrap_or_default();
                    let used = used.entry(service.clone()).or_default();
                    used.prefill += seconds_since(time.prefill_us, previous.prefill_us);
                    used.decode += seconds_since(time.decode_us, previous.decode_us);
                }
            }
            let services = report.services.iter();
            totals.insert(
                report.sender,
                services.map(|(name, time)| (name.clone(), *time)).collect(),
            );
        }
        if !self.totals.is_empty() {
            self.first_update_at = self.first_update_at.or(Some(now));
        }
        let covered = now.saturating_duration_since(sampled_at);
        self.unsampled = match covered >= SAMPLE_INTERVAL {
            true => {
                self.add_samples(now, covered, &used);
                Some((now, HashMap::new()))
            }
            false => Some((sampled_at, used)),
        };
        self.totals = totals;
        self.updated_at = Some(now);
    }

    /// Adds one sample for each service, from the engine seconds that were used within `covered`.
    fn add_samples(
        &mut self,
        now: Instant,
        covered: Duration,
        used: &HashMap<ServiceName, PhaseDemand>,
    ) {
        let seconds = covered.as_secs_f64();
        for (service, used) in used {
            let busy = PhaseDemand {
                prefill: used.prefill / seconds,
                decode: used.decode / seconds,
            };
            let is_idle = busy.prefill + busy.decode < IDLE_ENGINES;
            // Totals that stop growing add no samples: the next requests are likely like the last ones.
            if !is_idle {
                let samples = self.services.entry(service.clone());
                samples
                    .or_insert_with(|| ServiceSamples::new(now))
                    .add(now, busy);
            }
        }
    }

    /// Returns the demand for the engines of a service.
    pub fn demand(&self, now: Instant, service: &str) -> Demand {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        match (self.first_update_at, self.services.get(service)) {
            (_, Some(service)) if service.window(now) >= MIN_WINDOW => {
                Demand::Sampled(service.samples.iter().map(|sample| sample.1).collect())
            }
            (Some(since), None) if elapsed(since) >= MIN_IDLE_TIME => Demand::Idle,
            _ => Demand::Unknown,
        }
    }

    /// Returns the demand for the engines of a service, without samples that are older than the window.
    ///
    /// A service whose requests have stopped counts as idle, unless no gateway reports.
    pub fn recent_demand(&self, now: Instant, service: &str) -> Demand {
        let newest = self.services.get(service).and_then(|s| s.samples.back());
        let is_recent = newest.is_none_or(|(at, _)| now.saturating_duration_since(*at) <= WINDOW);
        match self.totals.is_empty() {
            true => Demand::Unknown,
            false if is_recent => self.demand(now, service),
            false => Demand::Idle,
        }
    }

    /// Returns the number of gateways in the latest update.
    pub fn reporters(&self) -> usize {
        self.totals.len()
    }
}

fn seconds_since(total_us: u64, previous_us: u64) -> f64 {
    total_us.saturating_sub(previous_us) as f64 / 1_000_000.0
}

#[cfg(test)]
#[path = "engine_demand_tests.rs"]
mod tests;
