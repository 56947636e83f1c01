//! History of a run: the responses that callers and operators got.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::harness::Fleet;

/// Addresses of the fleet's entries and control replicas, which stay the same during a run.
pub struct Addresses {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the control replicas for operators.
    pub replicas: Vec<SocketAddr>,
}

impl Addresses {
    pub fn of(fleet: &Fleet) -> Addresses {
        Addresses {
            entries: fleet.entry_addrs.clone(),
            replicas: fleet.operator_addrs.clone(),
        }
    }
}

/// Verdict on one submission, as its caller knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// The request may have run, or its caller got no complete response.
    Unknown,
}

impl Verdict {
    /// Parses the verdict header of a response.
    pub fn from_header(value: &str) -> Verdict {
        match value {
            "ran" => Verdict::Ran,
            "not-run" => Verdict::NotRun,
            _ => Verdict::Unknown,
        }
    }
}

/// Booking with the verdicts on all its submissions.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Id in the booking's content, by which the stand-ins' records are matched.
    pub id: String,
    pub verdicts: Vec<Verdict>,
}

/// Completion that was refused with the verdict `not-run`.
#[derive(Clone, Debug)]
pub struct RefusedCompletion {
    pub request_id: String,
}

/// Acknowledged change of the fleet document.
#[derive(Clone, Debug)]
pub struct Change {
    /// Idempotency key.
    pub key: String,
    pub version: u64,
    /// Target whose state was changed.
    pub target: String,
    /// Whether the target is leaving after the change, rather than serving.
    pub is_leaving: bool,
    /// When the change was first sent.
    pub sent_at: Instant,
    /// When the change was acknowledged.
    pub acknowledged_at: Instant,
}

/// Counts of responses and faults, which reveal a run that did nothing.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests whose completion arrived complete and correct.
    pub complete: usize,
    /// Requests for completions that got a status other than 200.
    pub refused: usize,
    /// Requests that got only a part of their completion, or no response.
    pub incomplete: usize,
    /// Changes that were refused because their base version was outdated.
    pub conflicts: usize,
    pub injected_faults: usize,
}

/// Responses that callers and operators got, and the violations found during the run.
pub struct History {
    pub started_at: Instant,
    pub bookings: RefCell<Vec<Booking>>,
    pub refused_completions: RefCell<Vec<RefusedCompletion>>,
    pub changes: RefCell<Vec<Change>>,
    /// Number of changes whose outcome the operator never learned.
    pub unknown_changes: RefCell<usize>,
    pub violations: RefCell<Vec<String>>,
    pub counts: RefCell<Counts>,
}

impl History {
    pub fn new(started_at: Instant) -> History {
        History {
            started_at,
            bookings: RefCell::default(),
            refused_completions: RefCell::default(),
            changes: RefCell::default(),
            unknown_changes: RefCell::default(),
            violations: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    /// Records a violation with the time since the start of the run.
    pub fn record_violation(&self, text: String) {
        let elapsed: Duration = self.started_at.elapsed();
        self.violations
            .borrow_mut()
            .push(format!("at {:.1} s: {text}", elapsed.as_secs_f64()));
    }
}
