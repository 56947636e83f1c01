//! What an entry knows of the targets' load.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use laburnumlug::TargetName;
use laburnumlug_mesh::LoadReport;
use laburnumlug_policy::{EngineRates, ReportedLoad};

/// What an entry knows of one target.
#[derive(Clone, Copy, Default)]
pub(crate) struct KnownLoad {
    report: Option<(Instant, LoadReport)>,
    /// Pieces that this entry has sent since the report.
    sent_since: u64,
    /// Prompt tokens that this entry has sent since the report.
    pub(crate) prompt_tokens_since: u64,
}

impl KnownLoad {
    /// Returns the pieces that the target's work needs, as far as is known.
    pub(crate) fn outstanding_pieces(&self) -> u64 {
        self.report.map_or(0, |(_, report)| report.pieces) + self.sent_since
    }

    /// Returns the report as routers see it.
    pub(crate) fn reported(&self) -> Option<ReportedLoad> {
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

/// Loads as reported with answers, together with what was sent since.
#[derive(Default)]
pub(crate) struct Loads {
    known: RefCell<HashMap<TargetName, KnownLoad>>,
}

impl Loads {
    /// Returns what is known of a target.
    pub(crate) fn known(&self, target: &str) -> KnownLoad {
        self.known.borrow().get(target).copied().unwrap_or_default()
    }

    /// Notes that a request was sent.
    pub(crate) fn note_sent(&self, target: &str, pieces: u64, prompt_tokens: u64) {
        let mut known = self.known.borrow_mut();
        let known = known.entry(target.to_string()).or_default();
        known.sent_since += pieces;
        known.prompt_tokens_since += prompt_tokens;
    }

    /// Notes a report, which covers all that was sent before it.
    pub(crate) fn note_report(&self, now: Instant, target: &str, report: LoadReport) {
        let known = KnownLoad {
            report: Some((now, report)),
            ..KnownLoad::default()
        };
        self.known.borrow_mut().insert(target.to_string(), known);
    }
}
