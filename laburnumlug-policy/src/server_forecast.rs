//! Forecasts how many engines a service needs once a target that is ordered now has started.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::engine_demand::{Demand, PhaseDemand};
use crate::role_plan::{MAX_DECODE_USE, MAX_STATIONARY_USE, SAMPLES_PER_BURST};

/// Interval at which the forecast is recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time over which growth is measured; a shorter one takes the next burst for growth.
const MIN_TREND_TIME: Duration = Duration::from_secs(10);

/// Maximum growth that is expected within a start time, as a share of the present work.
const MAX_GROWTH: f64 = 1.0;

/// Minimum number of engines that a service needs, one for each phase. Without any, all requests are refused, and no work is
/// measured from which further engines could be ordered.
const MIN_NEEDED: u32 = 2;

/// Work of a service at one time, and what it was expected to become.
#[derive(Clone, Copy, Debug)]
struct Record {
    at: Instant,
    /// Engines that are kept busy, without a burst in one of [`SAMPLES_PER_BURST`] samples.
    busy: PhaseDemand,
    /// Engines that were expected to be needed one start time later.
    needed: u32,
    /// Number of gateways that reported the work.
    reporters: usize,
}

/// Work of the engines of a service over the time for which orders are kept, and its forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkForecast {
    records: VecDeque<Record>,
}

impl WorkForecast {
    /// Records the demand for a service, of which records of the last `kept` are kept. Without samples, all are discarded:
    /// what was needed meanwhile is not known.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        start_time: Duration,
        kept: Duration,
        demand: &Demand,
        reporters: usize,
    ) {
        let busy = match demand {
            Demand::Unknown => return self.records.clear(),
            Demand::Idle => PhaseDemand::default(),
            Demand::Sampled(samples) => PhaseDemand {
                prefill: level(samples, |sample| sample.prefill),
                decode: level(samples, |sample| sample.decode),
            },
        };
        let newest = self.records.back();
        if newest.is_some_and(|newest| age(now, newest) < RECORD_INTERVAL) {
            return;
        }
        let prefill = self.forecast(now, start_time, busy.prefill, |busy| busy.prefill);
        let decode = self.forecast(now, start_time, busy.decode, |busy| busy.decode);
        // An engine has one role at a time, so that each phase needs whole engines.
        let engines = (prefill / MAX_STATIONARY_USE).ceil() + (decode / MAX_DECODE_USE).ceil();
        self.records.push_back(Record {
            at: now,
            busy,
            needed: (engines as u32).max(MIN_NEEDED),
            reporters,
        });
        let kept = kept.max(trend_time(start_time));
        // One record that is older than `kept` shows that the others cover that time.
        while self.records.len() > 1 && age(now, &self.records[1]) >= kept {
            self.records.pop_front();
        }
    }

    /// Returns the work of one phase after the start time. Growth is expected to go on if it was as large in the first half
    /// of the trend time as in the second: a single step does not continue.
    fn forecast<F>(&self, now: Instant, start_time: Duration, busy: f64, phase: F) -> f64
    where
        F: Fn(&PhaseDemand) -> f64,
    {
        let trend_time = trend_time(start_time);
        let before = |time: Duration| {
            let mut older = self.records.iter().rev();
            older.find(|record| age(now, record) >= time)
        };
        let growth = match (before(trend_time), before(trend_time / 2)) {
            (Some(first), Some(middle)) => {
                let middle = phase(&middle.busy);
                let halves = (middle - phase(&first.busy)).min(busy - middle);
                2.0 * halves * start_time.as_secs_f64() / trend_time.as_secs_f64()
            }
            _ => 0.0,
        };
        busy + growth.clamp(0.0, busy * MAX_GROWTH)
    }

    /// Returns the number of engines that are kept busy now, and of those that are expected to be needed after the start time.
    pub(crate) fn newest(&self) -> Option<(f64, u32)> {
        let newest = self.records.back()?;
        Some((newest.busy.prefill + newest.busy.decode, newest.needed))
    }

    /// Returns the highest number that was expected to be needed within `time`, or `None` if that time is not covered, or if
    /// fewer gateways report now: the work that others forward is not known then.
    pub(crate) fn max_needed(&self, now: Instant, time: Duration) -> Option<u32> {
        let (oldest, newest) = (self.records.front()?, self.records.back()?);
        if age(now, oldest) < time {
            return None;
        }
        let recent = self.records.iter().filter(|r| age(now, r) <= time);
        let are_all_reporting = recent.clone().all(|r| r.reporters <= newest.reporters);
        let needed = recent.map(|record| record.needed).max();
        needed.filter(|_| are_all_reporting)
    }
}

fn age(now: Instant, record: &Record) -> Duration {
    now.saturating_duration_since(record.at)
}

fn trend_time(start_time: Duration) -> Duration {
    start_time.max(MIN_TREND_TIME)
}

/// Returns the highest value over the samples, without a burst in one of [`SAMPLES_PER_BURST`].
fn level<F>(samples: &[PhaseDemand], phase: F) -> f64
where
    F: Fn(&PhaseDemand) -> f64,
{
    let mut values: Vec<f64> = samples.iter().map(phase).collect();
    values.sort_by(|a, b| b.total_cmp(a));
    let level = values.get(values.len() / SAMPLES_PER_BURST);
    level.copied().filter(|v| v.is_finite()).unwrap_or(0.0)
}
