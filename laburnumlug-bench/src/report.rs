//! Metrics of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::outcome::{Outcome, RequestResult};

/// 50th, 95th and 99th percentile, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Longest time that the histogram records; a longer time counts as this one.
const MAX_RECORDED_TIME: Duration = Duration::from_secs(3600);

impl Percentiles {
    /// Computes the percentiles of `times`; all zero if there are none.
    pub(crate) fn from_times<I>(times: I) -> Percentiles
    where
        I: Iterator<Item = Duration>,
    {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_RECORDED_TIME.as_micros() as u64, 3)
            .expect("bound and precision are valid");
        for time in times {
            histogram.saturating_record(time.as_micros() as u64);
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Percentiles {
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
        }
    }
}

/// Metrics of one run; times are simulated unless stated otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Seconds of simulated time per wall-clock second.
    pub compression: f64,
    /// Number of requests sent.
    pub offered: usize,
    /// Number of requests whose whole, correct completion arrived in time.
    pub in_time: usize,
    /// Number of requests whose whole, correct completion arrived late.
    pub late: usize,
    /// Number of requests whose last attempt was refused with the verdict that it did not run.
    pub refused: usize,
    /// Number of requests that failed and may have run.
    pub may_have_run: usize,
    /// Number of requests whose whole completion arrived with a wrong text.
    pub wrong: usize,
    /// Requests completed in time as a fraction of all requests.
    pub goodput: f64,
    /// Upper bound on the number of requests that any fleet could have completed in time.
    pub bound: f64,
    /// Requests completed in time as a fraction of the bound.
    pub goodput_of_bound: f64,
    /// Requests completed in time as a fraction of all requests, without those of the flooding caller.
    pub goodput_of_others: f64,
    /// Mean number of attempts per request.
    pub attempts: f64,
    /// Time to the first delta of the completion.
    pub first_token_ms: Percentiles,
    /// Time per token after the first delta.
    pub between_tokens_ms: Percentiles,
    /// Latency of a refusal, in wall-clock time.
    pub refusal_clock_ms: Percentiles,
    /// Latency that the system adds to the engine's own for a completion of one token on an idle fleet, in wall-clock
    /// time.
    pub added_clock_ms: Percentiles,
    /// Number of role changes of the engines.
    pub role_changes: u64,
    /// Mean number of prompt tokens found in prefix caches per request.
    pub prefix_hit_tokens: f64,
    /// Mean number of mesh messages per request.
    pub messages: f64,
    /// Mean number of mesh bytes per request.
    pub bytes: f64,
    /// Message of the first failure, if any.
    pub first_failure: Option<String>,
    /// Requests offered and completed in time over the run, for plots.
    #[serde(skip)]
    pub timeline: Vec<TimelinePoint>,
}

/// Requests of one interval of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimelinePoint {
    /// Number of requests sent in the interval.
    pub offered: usize,
    /// Number of requests sent in the interval that were completed in time.
    pub in_time: usize,
}

/// Length of a timeline interval.
const TIMELINE_INTERVAL: Duration = Duration::from_secs(5);

impl Report {
    /// Aggregates the results of a run.
    pub(crate) fn new(results: &[RequestResult], flood_caller: &str) -> Report {
        let count = |outcome| results.iter().filter(|r| r.outcome == outcome).count();
        let others = results.iter().filter(|r| r.caller != flood_caller);
        let others: Vec<&RequestResult> = others.collect();
        let others_in_time = others
            .iter()
            .filter(|r| r.outcome == Outcome::InTime)
            .count();
        let attempts: u64 = results.iter().map(|r| r.attempts).sum();
        let in_time = count(Outcome::InTime);
        Report {
            workload: String::new(),
            policy: String::new(),
            seed: 0,
            compression: 1.0,
            offered: results.len(),
            in_time,
            late: count(Outcome::Late),
            refused: count(Outcome::Refused),
            may_have_run: count(Outcome::MayHaveRun),
            wrong: count(Outcome::Wrong),
            goodput: ratio(in_time as f64, results.len() as f64),
            bound: 0.0,
            goodput_of_bound: 0.0,
            goodput_of_others: ratio(others_in_time as f64, others.len() as f64),
            attempts: ratio(attempts as f64, results.len() as f64),
            first_token_ms: Percentiles::from_times(
                results.iter().filter_map(|r| r.time_to_first_token),
            ),
            between_tokens_ms: Percentiles::from_times(
                results
                    .iter()
                    .flat_map(|r| r.inter_token_times.iter().copied()),
            ),
            refusal_clock_ms: Percentiles::from_times(
                results.iter().flat_map(|r| r.refusal_times.iter().copied()),
            ),
            added_clock_ms: Percentiles::default(),
            role_changes: 0,
            prefix_hit_tokens: 0.0,
            messages: 0.0,
            bytes: 0.0,
            first_failure: results.iter().find_map(|r| r.failure.clone()),
            timeline: timeline(results),
        }
    }

    pub(crate) fn with_bound(mut self, bound: f64) -> Report {
        self.bound = bound;
        self.goodput_of_bound = ratio(self.in_time as f64, bound);
        self
    }
}

/// Returns `part / whole`, or 0 if `whole` is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn timeline(results: &[RequestResult]) -> Vec<TimelinePoint> {
    let index =
        |r: &RequestResult| (r.sent_at.as_secs_f64() / TIMELINE_INTERVAL.as_secs_f64()) as usize;
    let points = results.iter().map(index).max().map_or(0, |last| last + 1);
    let mut timeline = vec![TimelinePoint::default(); points];
    for result in results {
        let point = &mut timeline[index(result)];
        point.offered += 1;
        point.in_time += usize::from(result.outcome == Outcome::InTime);
    }
    timeline
}

/// Returns the header line of a table of runs.
pub fn table_header() -> String {
    format!(
        "{:<15} {:<15} {:>4} {:>7} {:>7} {:>5} {:>7} {:>5} {:>5} {:>7} {:>7} {:>7} {:>5} {:>17} {:>14} {:>7} {:>5} {:>5} {:>6} {:>6} {:>7}",
        "workload",
        "policy",
        "seed",
        "offered",
        "in-time",
        "late",
        "not-run",
        "maybe",
        "wrong",
        "goodput",
        "/bound",
        "others",
        "tries",
        "first 50/95/99 ms",
        "token 50/95/99",
        "refusal",
        "added",
        "roles",
        "prefix",
        "msgs",
        "bytes",
    )
}

/// Returns the table line of a run.
pub fn table_row(r: &Report) -> String {
    let first = &r.first_token_ms;
    let token = &r.between_tokens_ms;
    format!(
        "{:<15} {:<15} {:>4} {:>7} {:>7} {:>5} {:>7} {:>5} {:>5} {:>7.3} {:>7.3} {:>7.3} {:>5.2} {:>5.0}/{:>5.0}/{:>5.0} {:>4.0}/{:>4.0}/{:>4.0} {:>7.2} {:>5.2} {:>5} {:>6.0} {:>6.1} {:>7.0}",
        r.workload,
        r.policy,
        r.seed,
        r.offered,
        r.in_time,
        r.late,
        r.refused,
        r.may_have_run,
        r.wrong,
        r.goodput,
        r.goodput_of_bound,
        r.goodput_of_others,
        r.attempts,
        first.p50,
        first.p95,
        first.p99,
        token.p50,
        token.p95,
        token.p99,
        r.refusal_clock_ms.p99,
        r.added_clock_ms.p50,
        r.role_changes,
        r.prefix_hit_tokens,
        r.messages,
        r.bytes,
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn result(outcome: Outcome, sent_at: u64, caller: &str) -> RequestResult {
        RequestResult {
            outcome,
            sent_at: Duration::from_secs(sent_at),
            caller: caller.into(),
            time_to_first_token: None,
            inter_token_times: Vec::new(),
            refusal_times: Vec::new(),
            attempts: 1,
            failure: None,
        }
    }

    #[test]
    fn report_shares() {
        let results = [
            result(Outcome::InTime, 0, "a"),
            result(Outcome::Late, 1, "a"),
            result(Outcome::Refused, 6, "flood"),
            result(Outcome::Wrong, 7, "flood"),
        ];
        let report = Report::new(&results, "flood").with_bound(2.0);
        assert_eq!((report.in_time, report.late, report.wrong), (1, 1, 1));
        assert_eq!((report.goodput, report.goodput_of_bound), (0.25, 0.5));
        assert_eq!(report.goodput_of_others, 0.5);
        assert_eq!(report.timeline.len(), 2);
    }

    #[test]
    fn report_no_results() {
        let report = Report::new(&[], "flood").with_bound(0.0);
        assert_eq!((report.goodput, report.goodput_of_bound), (0.0, 0.0));
    }

    #[test]
    fn percentiles_order() {
        let times = (1..=100).map(Duration::from_millis);
        let percentiles = Percentiles::from_times(times);
        assert!((percentiles.p50 - 50.0).abs() < 1.0 && (percentiles.p99 - 99.0).abs() < 1.0);
    }
}
