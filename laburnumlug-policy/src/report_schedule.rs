//! Order and times of calls that report the usage of windows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumlug::WindowNumber;

/// Delay after the first failed call; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Delay after which a report is sent again that the receiver has rejected; it can only be accepted if the receiver is
/// changed.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(15);

/// Minimum time between the beginnings of two calls. The receiver limits the calls of all senders, and one that catches up
/// after an outage must leave most of that to the other duties.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportResult {
    /// The receiver has accepted the report.
    Accepted,
    /// The receiver has rejected the report for good.
    Rejected,
    /// The receiver has not answered, or has asked to send the report later.
    Unknown,
}

/// Chooses which window is reported next, and when: the oldest first, one at a time.
///
/// A receiver that is slow or overloaded gets fewer calls. A rejected report does not hold up the others.
#[derive(Clone, Debug, Default)]
pub struct ReportSchedule {
    next_call_at: Option<Instant>,
    retry_delay: Option<Duration>,
    rejected: BTreeMap<WindowNumber, Instant>,
}

impl ReportSchedule {
    /// Returns the window to report now, out of those that are not accepted yet in ascending order.
    pub fn next<W>(&mut self, now: Instant, mut pending: W) -> Option<WindowNumber>
    where
        W: Iterator<Item = WindowNumber>,
    {
        self.rejected.retain(|_, retry_at| *retry_at > now);
        match self.next_call_at {
            Some(at) if now < at => None,
            _ => pending.find(|window| !self.rejected.contains_key(window)),
        }
    }

    /// Records the result of a call about `window` that began at `started_at` and ended at `now`.
    pub fn record(
        &mut self,
        started_at: Instant,
        now: Instant,
        window: WindowNumber,
        result: ReportResult,
    ) {
        let at = match result {
            ReportResult::Unknown => {
                let delay = self
                    .retry_delay
                    .map_or(FIRST_RETRY_DELAY, |delay| delay * 2);
                let delay = delay.min(MAX_RETRY_DELAY);
                self.retry_delay = Some(delay);
                now + delay
            }
            ReportResult::Accepted | ReportResult::Rejected => {
                self.retry_delay = None;
                started_at + MIN_CALL_INTERVAL
            }
        };
        if result == ReportResult::Rejected {
            self.rejected.insert(window, now + REJECTED_RETRY_DELAY);
        }
        self.next_call_at = Some(at);
    }
}

#[cfg(test)]
#[path = "report_schedule_tests.rs"]
mod tests;
