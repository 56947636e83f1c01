//! Load estimates of targets, from their reports and the requests sent since.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use laburnumlug::TargetName;
use laburnumlug_mesh::LoadReport;
use laburnumlug_policy::{EngineRates, ReportedLoad};

/// Estimate of one target's load.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadEstimate {
    report: Option<(Instant, LoadReport)>,
    /// Capacity pieces of the requests that this entry has sent since the report.
    pieces_since_report: u64,
    /// Prompt tokens of the requests that this entry has sent since the report.
    pub(crate) prompt_tokens_since_report: u64,
}

impl LoadEstimate {
    /// Returns the estimated capacity pieces of the requests at the target.
    pub(crate) fn outstanding_pieces(&self) -> u64 {
        self.report.map_or(0, |(_, report)| report.pieces) + self.pieces_since_report
    }

    /// Returns the last report as input to routing, with default rates if it contains no prefill rate.
    pub(crate) fn reported_load(&self) -> Option<ReportedLoad> {
        let (received_at, report) = self.report?;
        let rates = match report.prefill_tokens_per_second {
            0 => EngineRates::default(),
            rate => EngineRates {
                prefill_tokens_per_second: rate as f64,
                token_seconds: report.token_ns as f64 / 1e9,
                token_seconds_per_decode: report.token_ns_per_decode as f64 / 1e9,
            },
        };
        Some(ReportedLoad {
            received_at,
            prefill_wait: Duration::from_micros(report.waiting_us),
            requests: report.requests as usize,
            rates,
        })
    }
}

/// Load estimates of all targets; reports arrive with the answers of target processes.
#[derive(Default)]
pub(crate) struct TargetLoads {
    estimates: RefCell<HashMap<TargetName, LoadEstimate>>,
}

impl TargetLoads {
    /// Returns the estimate for a target, or an empty one if nothing is known of it.
    pub(crate) fn estimate(&self, target: &str) -> LoadEstimate {
        self.estimates
            .borrow()
            .get(target)
            .copied()
            .unwrap_or_default()
    }

    /// Adds a request that was sent to a target to the target's estimate.
    pub(crate) fn record_sent(&self, target: &str, pieces: u64, prompt_tokens: u64) {
        let mut estimates = self.estimates.borrow_mut();
        let estimate = estimates.entry(target.to_string()).or_default();
        estimate.pieces_since_report += pieces;
        estimate.prompt_tokens_since_report += prompt_tokens;
    }

    /// Replaces the estimate by a report, which is taken to cover all requests sent before it arrived.
    pub(crate) fn record_report(&self, now: Instant, target: &str, report: LoadReport) {
        let estimate = LoadEstimate {
            report: Some((now, report)),
            ..LoadEstimate::default()
        };
        self.estimates
            .borrow_mut()
            .insert(target.to_string(), estimate);
    }
}
