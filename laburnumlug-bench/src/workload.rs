//! Named workloads, which generate traces from a seed.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::class::{CERTIFICATE, DIARY, DIGEST, DONOR_QUESTION, NOTICE, QUESTION, RequestClass};
use crate::trace::{EngineFault, Request, Trace};

/// Time step for which arrivals are drawn.
const ARRIVAL_STEP: Duration = Duration::from_millis(100);

/// Period in which the mix changes from short to long prompts and back.
const SWING_PERIOD: Duration = Duration::from_secs(120);

/// Time between the starts of two arrival peaks.
const PEAK_PERIOD: Duration = Duration::from_secs(60);

/// Length of an arrival peak.
const PEAK_LENGTH: Duration = Duration::from_secs(8);

/// Ratio of the arrival rate in a peak to that outside it.
const PEAK_FACTOR: f64 = 4.0;

/// Caller that floods the fleet in the flood workload.
pub(crate) const FLOOD_CALLER: &str = "flood";

/// Arrival pattern or fault of a workload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    /// Constant rate and mix.
    Calm,
    /// The mix swings between short and long prompts, as in all scenarios but `Calm` and `Flood`.
    Swing,
    /// The arrival rate has periodic peaks.
    Peak,
    /// One caller floods the fleet in the middle half of the run.
    Flood,
    /// The target process of an engine is killed.
    Lost,
    /// The target of an engine is marked as leaving.
    Leaving,
}

/// Named mix of request classes with an arrival pattern and possibly a fault, from which traces are generated.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    name: &'static str,
    engines: usize,
    scenario: Scenario,
    /// Request classes, each with its share of the engines' time in the first and second half of a swing.
    mix: &'static [(RequestClass, f64, f64)],
    /// Offered load as a fraction of the capacity of engines in the mixed role.
    utilisation: f64,
}

const GULVDANS_MIX: &[(RequestClass, f64, f64)] = &[
    (QUESTION, 0.35, 0.15),
    (DIGEST, 0.60, 0.15),
    (NOTICE, 0.05, 0.70),
];

const TIER_MIX: &[(RequestClass, f64, f64)] = &[
    (DONOR_QUESTION, 0.30, 0.10),
    (CERTIFICATE, 0.60, 0.20),
    (DIARY, 0.10, 0.70),
];

const DIARY_MIX: &[(RequestClass, f64, f64)] = &[
    (DONOR_QUESTION, 0.15, 0.15),
    (CERTIFICATE, 0.15, 0.15),
    (DIARY, 0.70, 0.70),
];

const WORKLOADS: [Workload; 8] = [
    Workload {
        name: "gulvdans-swing",
        engines: 9,
        scenario: Scenario::Swing,
        mix: GULVDANS_MIX,
        utilisation: 1.3,
    },
    Workload {
        name: "gulvdans-peak",
        engines: 9,
        scenario: Scenario::Peak,
        mix: GULVDANS_MIX,
        utilisation: 1.0,
    },
    Workload {
        name: "gulvdans-calm",
        engines: 9,
        scenario: Scenario::Calm,
        mix: GULVDANS_MIX,
        utilisation: 0.6,
    },
    Workload {
        name: "gulvdans-flood",
        engines: 9,
        scenario: Scenario::Flood,
        mix: GULVDANS_MIX,
        utilisation: 0.8,
    },
    Workload {
        name: "gulvdans-lost",
        engines: 9,
        scenario: Scenario::Lost,
        mix: GULVDANS_MIX,
        utilisation: 1.15,
    },
    Workload {
        name: "tier-swing",
        engines: 18,
        scenario: Scenario::Swing,
        mix: TIER_MIX,
        utilisation: 1.3,
    },
    Workload {
        name: "tier-diaries",
        engines: 18,
        scenario: Scenario::Calm,
        mix: DIARY_MIX,
        utilisation: 1.25,
    },
    Workload {
        name: "tier-leaving",
        engines: 18,
        scenario: Scenario::Leaving,
        mix: TIER_MIX,
        utilisation: 1.15,
    },
];

impl Workload {
    /// Returns the workload called `name`.
    pub fn by_name(name: &str) -> Option<Workload> {
        WORKLOADS.into_iter().find(|workload| workload.name == name)
    }

    /// Returns the names of all workloads.
    pub fn names() -> Vec<&'static str> {
        WORKLOADS.iter().map(|workload| workload.name).collect()
    }

    /// Returns the name by which [`Workload::by_name`] finds the workload.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Sets the number of engines; the arrival rate scales with it.
    pub fn engines(mut self, engines: usize) -> Workload {
        self.engines = engines;
        self
    }

    /// Generates the trace of a run of `length`; the same seed gives the same trace.
    pub fn trace(&self, seed: u64, length: Duration) -> Trace {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            self.add_arrivals(&mut rng, at, length, &mut requests);
            at += ARRIVAL_STEP;
        }
        requests.sort_by_key(|req| req.arrival);
        let faults = self.draw_faults(&mut rng, length);
        Trace {
            engines: self.engines,
            requests,
            faults,
        }
    }

    /// Adds the requests that arrive in the [`ARRIVAL_STEP`] from `at`.
    fn add_arrivals(
        &self,
        rng: &mut StdRng,
        at: Duration,
        length: Duration,
        requests: &mut Vec<Request>,
    ) {
        let load = self.engines as f64 * self.utilisation * self.arrival_rate_factor(at);
        let mix_position = self.mix_position(at);
        for (class, first, second) in self.mix {
            let share = first + (second - first) * mix_position;
            let rate = load * share / class.mean_engine_seconds();
            let count = poisson(rng, rate * ARRIVAL_STEP.as_secs_f64());
            for _ in 0..count {
                let offset = ARRIVAL_STEP.mul_f64(rng.random::<f64>());
                requests.push(class.request(rng, at + offset));
            }
        }
        if self.scenario == Scenario::Flood && at >= length / 4 && at < length * 3 / 4 {
            self.add_flood(rng, at, requests);
        }
    }

    /// Adds the flooding caller's requests that arrive in the [`ARRIVAL_STEP`] from `at`; they alone use the full
    /// capacity of all engines.
    fn add_flood(&self, rng: &mut StdRng, at: Duration, requests: &mut Vec<Request>) {
        let rate = self.engines as f64 / DIGEST.mean_engine_seconds();
        for _ in 0..poisson(rng, rate * ARRIVAL_STEP.as_secs_f64()) {
            let offset = ARRIVAL_STEP.mul_f64(rng.random::<f64>());
            let mut req = DIGEST.request(rng, at + offset);
            req.caller = FLOOD_CALLER.to_string();
            requests.push(req);
        }
    }

    /// Returns the ratio of the arrival rate at `at` to the mean rate.
    fn arrival_rate_factor(&self, at: Duration) -> f64 {
        let in_period = at.as_secs_f64() % PEAK_PERIOD.as_secs_f64();
        let length = PEAK_LENGTH.as_secs_f64();
        // Keeps the mean over a period at 1.
        let off_peak =
            PEAK_PERIOD.as_secs_f64() / (PEAK_PERIOD.as_secs_f64() + (PEAK_FACTOR - 1.0) * length);
        let peak_start = PEAK_PERIOD.as_secs_f64() - length;
        match self.scenario {
            Scenario::Peak if in_period >= peak_start => PEAK_FACTOR * off_peak,
            Scenario::Peak => off_peak,
            _ => 1.0,
        }
    }

    /// Returns the position of the mix between its first half (0) and its second half (1).
    fn mix_position(&self, at: Duration) -> f64 {
        match self.scenario {
            Scenario::Calm | Scenario::Flood => 0.3,
            _ => {
                let angle = TAU * at.as_secs_f64() / SWING_PERIOD.as_secs_f64();
                // Steep wave: the mix stays near either end and changes over within seconds.
                0.5 - 0.5 * (3.0 * angle.cos()).tanh()
            }
        }
    }

    fn draw_faults(&self, rng: &mut StdRng, length: Duration) -> Vec<EngineFault> {
        let engine = rng.random_range(0..self.engines);
        let at = length.mul_f64(rng.random_range(0.35..0.5));
        match self.scenario {
            Scenario::Lost => vec![EngineFault::Killed { engine, at }],
            Scenario::Leaving => vec![EngineFault::Leaving { engine, at }],
            _ => Vec::new(),
        }
    }
}

/// Draws from a Poisson distribution; the mean must be small, as `exp(-mean)` is rounded to 0 for a large one.
fn poisson(rng: &mut StdRng, mean: f64) -> u64 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

#[cfg(test)]
mod tests {
    use super::*;

    const LENGTH: Duration = Duration::from_secs(60);

    #[test]
    fn trace_same_seed() {
        for name in Workload::names() {
            let workload = Workload::by_name(name).unwrap();
            let trace = workload.trace(3, LENGTH);
            assert_eq!(trace, workload.trace(3, LENGTH), "{name}");
            assert_ne!(trace, workload.trace(4, LENGTH), "{name}");
        }
    }

    #[test]
    fn trace_peak_arrivals() {
        let workload = Workload::by_name("gulvdans-peak").unwrap();
        let trace = workload.trace(1, LENGTH);
        let in_peak = trace
            .requests
            .iter()
            .filter(|req| req.arrival >= LENGTH - PEAK_LENGTH);
        // The arrival rate is 4 times as high in the last 8 of 60 seconds: 38% of all arrivals.
        let share = in_peak.count() as f64 / trace.requests.len() as f64;
        assert!((0.25..0.5).contains(&share), "{share}");
    }

    #[test]
    fn trace_flood_has_one_caller() {
        let trace = Workload::by_name("gulvdans-flood")
            .unwrap()
            .trace(1, LENGTH);
        let flooding: Vec<_> = trace
            .requests
            .iter()
            .filter(|req| req.caller == FLOOD_CALLER)
            .collect();
        assert!(
            flooding
                .iter()
                .all(|req| req.arrival >= LENGTH / 4 && req.arrival <= LENGTH * 3 / 4)
        );
        assert!(flooding.len() > trace.requests.len() / 10);
    }
}
