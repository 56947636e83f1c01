//! Usage of customers: counts that gateways report, and the windows whose counts are fixed in the control log.

mod collector;
mod ledger;
mod replica;
mod status;

pub(crate) use self::collector::UsageCollector;
pub(crate) use self::ledger::UsageLedger;
pub use self::ledger::{UsageFix, UsageFixOutcome};
pub(crate) use self::replica::Usage;
pub use self::status::{DutyHolder, UsageTotals};

use std::time::Duration;

/// Windows whose usage is reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub late: Duration,
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod model_tests;
