//! Meter of the requests of customers: which requests count, and in which window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use laburnumlug::{CustomerName, Incarnation, UsageReport};

use crate::clock_offset::ClockOffset;
use crate::usage_counts::{ChangeNumber, UsageCounts};

/// Maximum number of counts in one report, which is then about 30 KB. A gateway that reports twice a second can report
/// more changes than it can serve requests.
const MAX_COUNTS_PER_REPORT: usize = 1000;

/// Maximum number of requests kept until true time is known, which takes less than a second after a start.
const MAX_UNTIMED: usize = 10_000;

/// Id of a request that the meter follows.
pub type MeteredId = u64;

/// Request that counts from the time at which it was sent, unless it turns out that no target has run it.
#[derive(Clone, Debug)]
struct OpenRequest {
    customer: CustomerName,
    /// Latest send before the last one that may have run.
    earlier_send: Option<Duration>,
    /// Last send, unless the target stated that it did not run the request.
    last_send: Option<Duration>,
}

impl OpenRequest {
    /// Returns the earliest time from which the request may count.
    fn earliest(&self) -> Option<Duration> {
        self.earlier_send.or(self.last_send)
    }
}

/// Counts the requests of customers by the window of true time in which they began to run.
///
/// All times are local times that include the time for which the machine is suspended. The addressed load is that of all
/// requests of a gateway: counting one costs a few map operations, and reports have a limited size.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    sender: Incarnation,
    window: Duration,
    counts: UsageCounts,
    clock: ClockOffset<usize>,
    /// Number of control replicas of which a time must be known: a majority of the voters.
    required_clocks: usize,
    open: BTreeMap<MeteredId, OpenRequest>,
    last_id: MeteredId,
    /// Requests that began before true time was known, with the time at which they began.
    untimed: VecDeque<(Duration, CustomerName)>,
    dropped: u64,
}

impl UsageMeter {
    /// Creates the meter of a process with the incarnation `sender`.
    pub fn new(sender: Incarnation, window: Duration) -> UsageMeter {
        UsageMeter {
            sender,
            window,
            counts: UsageCounts::new(window),
            clock: ClockOffset::default(),
            required_clocks: 1,
            open: BTreeMap::new(),
            last_id: 0,
            untimed: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Records the Unix time that a control replica stated in an answer, and the number of voters.
    pub fn record_clock(
        &mut self,
        replica: usize,
        sent_at: Duration,
        received_at: Duration,
        unix_time: Duration,
        voters: usize,
    ) {
        self.clock.record(replica, sent_at, received_at, unix_time);
        self.required_clocks = voters / 2 + 1;
    }

    /// Counts a request that began to run at `began_at`.
    pub fn count(&mut self, now: Duration, began_at: Duration, customer: &str) {
        self.untimed.push_back((began_at, customer.to_string()));
        self.count_untimed(now);
    }

    /// Starts to follow a request that has not been sent yet.
    pub fn open(&mut self, customer: &str) -> MeteredId {
        self.last_id += 1;
        let request = OpenRequest {
            customer: customer.to_string(),
            earlier_send: None,
            last_send: None,
        };
        self.open.insert(self.last_id, request);
        self.last_id
    }

    /// Records that a request is sent to a target, which may run it.
    pub fn record_send(&mut self, now: Duration, id: MeteredId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.earlier_send = request.last_send.or(request.earlier_send);
            request.last_send = Some(now);
        }
    }

    /// Records that the target has not run what was last sent to it.
    pub fn record_not_run(&mut self, id: MeteredId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.last_send = None;
        }
    }

    /// Counts a request that has ended, with or without an answer, by its last send that may have run.
    pub fn close(&mut self, now: Duration, id: MeteredId) {
        let Some(request) = self.open.remove(&id) else {
            return;
        };
        if let Some(sent_at) = request.last_send.or(request.earlier_send) {
            self.count(now, sent_at, &request.customer);
        }
    }

    /// Returns a report of what has changed after change `known`, and the number of the newest change in it.
    ///
    /// Requests without an answer for half a window are counted as having run, as few targets state after such a time that
    /// they have not: control fixes a window soon after its end and would otherwise miss them.
    pub fn report(&mut self, now: Duration, known: ChangeNumber) -> (UsageReport, ChangeNumber) {
        self.count_overdue(now);
        self.count_untimed(now);
        let unix_time = |at| self.clock.unix_time(at, self.required_clocks);
        let oldest_open = self.open.values().filter_map(OpenRequest::earliest).min();
        let counted_until = oldest_open.unwrap_or(now).min(now);
        let changed = self.counts.changes_since(known, MAX_COUNTS_PER_REPORT);
        let mut report = UsageReport {
            sender: self.sender,
            time_ms: unix_time(now).map(millis),
            counted_until_ms: unix_time(counted_until)
                .map(millis)
                .filter(|_| changed.is_complete),
            counts: changed.counts,
            ..UsageReport::default()
        };
        report.set_window(self.window);
        (report, changed.last_change)
    }

    /// Returns the number of requests that could not be counted so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the length of the windows.
    pub fn window(&self) -> Duration {
        self.window
    }

    fn count_overdue(&mut self, now: Duration) {
        let limit = self.window / 2;
        let is_overdue = |request: &OpenRequest| {
            let earliest = request.earliest();
            earliest.is_some_and(|sent_at| now.saturating_sub(sent_at) > limit)
        };
        let overdue = self.open.iter().filter(|(_, request)| is_overdue(request));
        let overdue: Vec<MeteredId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.close(now, id);
        }
    }

    /// Counts the requests that wait for true time to be known, if it is.
    fn count_untimed(&mut self, now: Duration) {
        while let Some((began_at, customer)) = self.untimed.pop_front() {
            let unix_time = |at| self.clock.unix_time(at, self.required_clocks);
            match (unix_time(now), unix_time(began_at)) {
                (Some(now), Some(began_at)) => {
                    let counted = self.counts.count(now, began_at, &customer);
                    self.dropped += u64::from(!counted);
                }
                _ if self.untimed.len() >= MAX_UNTIMED => self.dropped += 1,
                _ => return self.untimed.push_front((began_at, customer)),
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
#[path = "usage_meter_tests.rs"]
mod tests;
