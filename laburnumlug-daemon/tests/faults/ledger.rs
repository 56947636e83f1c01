//! What callers and operators were told.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::harness::Fleet;

/// Addresses that stay the same through the whole run.
pub struct Addresses {
    pub callers: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
}

impl Addresses {
    pub fn of(fleet: &Fleet) -> Addresses {
        Addresses {
            callers: fleet.entry_addrs.clone(),
            operators: fleet.operator_addrs.clone(),
        }
    }
}

/// What a caller was told of one submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// The request may have run, or no whole answer came.
    Unknown,
}

impl Told {
    /// Reads the verdict of an answer.
    pub fn from_verdict(verdict: &str) -> Told {
        match verdict {
            "ran" => Told::Ran,
            "not-run" => Told::NotRun,
            _ => Told::Unknown,
        }
    }
}

/// All submissions of one booking.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Content by which the stand-ins' records are matched.
    pub id: String,
    pub told: Vec<Told>,
}

/// One completion that was refused as not run.
#[derive(Clone, Debug)]
pub struct RefusedCompletion {
    pub request_id: String,
}

/// An acknowledged change of the fleet document.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: String,
    pub version: u64,
    /// Target whose state was changed, and whether it now leaves.
    pub target: String,
    pub leaves: bool,
    /// When the change was first sent.
    pub sent: Instant,
    /// When it was acknowledged.
    pub acknowledged: Instant,
}

/// Counts of what was delivered, so that a run that did nothing shows.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub whole: usize,
    pub refused: usize,
    pub unfinished: usize,
    pub conflicts: usize,
    pub faults: usize,
}

/// What callers and operators were told.
pub struct Ledger {
    pub start: Instant,
    pub bookings: RefCell<Vec<Booking>>,
    pub refused_completions: RefCell<Vec<RefusedCompletion>>,
    pub changes: RefCell<Vec<Change>>,
    /// Changes of which the operator never learned what came of them.
    pub unknown_changes: RefCell<usize>,
    pub violations: RefCell<Vec<String>>,
    pub counts: RefCell<Counts>,
}

impl Ledger {
    pub fn new(start: Instant) -> Ledger {
        Ledger {
            start,
            bookings: RefCell::default(),
            refused_completions: RefCell::default(),
            changes: RefCell::default(),
            unknown_changes: RefCell::default(),
            violations: RefCell::default(),
            counts: RefCell::default(),
        }
    }

    /// Notes what must not happen.
    pub fn violation(&self, text: String) {
        let at: Duration = self.start.elapsed();
        self.violations
            .borrow_mut()
            .push(format!("at {:.1} s: {text}", at.as_secs_f64()));
    }
}
