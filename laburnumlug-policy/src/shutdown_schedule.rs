//! When a process that was asked to stop accepts requests, gives up those without a response, and exits.

use std::time::{Duration, Instant};

/// Time after the request to stop was sent in which every request is accepted: a load balancer that probes readiness once
/// a second and acts on the second failed probe still sends callers here.
const NOTICE_TIME: Duration = Duration::from_millis(3000);

/// Time by which the process may notice the request to stop late, and by which a caller's request may be on its way.
const NOTICE_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end of the grace period at which the process exits even if responses are in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit at which callers without a response are told that there will be none; sending the errors takes
/// a few milliseconds.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(200);

/// Schedule of a graceful shutdown.
///
/// A request that arrives after the notice time is accepted only if it ends before the exit, which would cut it. Refused
/// as not run, it can be sent again to another process at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSchedule {
    accept_until: Instant,
    listen_until: Instant,
    give_up_at: Instant,
    exit_at: Instant,
}

impl ShutdownSchedule {
    /// Creates the schedule of a process that is asked to stop at `now` and is killed after `grace_period`.
    ///
    /// A grace period below twice the notice time shortens the latter to its half. Every request is accepted until a margin
    /// before the end of the notice time, as `now` is later than the request to stop.
    pub fn new(now: Instant, grace_period: Duration) -> ShutdownSchedule {
        let exit_after = grace_period.saturating_sub(EXIT_MARGIN);
        let give_up_after = exit_after.saturating_sub(GIVE_UP_MARGIN.min(grace_period / 4));
        let notice_time = NOTICE_TIME.min(grace_period / 2);
        let accept_for = (notice_time - NOTICE_MARGIN.min(notice_time / 4)).min(give_up_after);
        ShutdownSchedule {
            accept_until: now + accept_for,
            listen_until: now + notice_time.min(give_up_after),
            give_up_at: now + give_up_after,
            exit_at: now + exit_after,
        }
    }

    /// Sets that the process may have been asked to stop as early as `requested_at`, and noticed it at the time given to
    /// [`ShutdownSchedule::new`].
    ///
    /// Requests are refused and given up as much earlier, as the process may be killed as much earlier. Connections are accepted
    /// and answers in progress sent for as long as they would be otherwise: a load balancer learns of the stop only now, and
    /// ending them earlier gains nothing.
    pub fn requested_at(mut self, requested_at: Instant, noticed_at: Instant) -> ShutdownSchedule {
        let delay = noticed_at.saturating_duration_since(requested_at);
        let earlier = |at: Instant| at.checked_sub(delay).unwrap_or(noticed_at).max(noticed_at);
        self.accept_until = earlier(self.accept_until);
        self.give_up_at = earlier(self.give_up_at);
        self.listen_until = self.listen_until.min(self.give_up_at);
        self
    }

    /// Returns until when every request is accepted.
    pub fn accept_until(&self) -> Instant {
        self.accept_until
    }

    /// Returns until when new connections are accepted.
    pub fn listen_until(&self) -> Instant {
        self.listen_until
    }

    /// Returns when requests without a response are given up.
    pub fn give_up_at(&self) -> Instant {
        self.give_up_at
    }

    /// Returns when the process exits.
    pub fn exit_at(&self) -> Instant {
        self.exit_at
    }

    /// Returns whether a request that is complete at `now` and ends at `deadline` at the latest is accepted.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.accept_until || (now < self.give_up_at && deadline <= self.give_up_at)
    }
}

#[cfg(test)]
#[path = "shutdown_schedule_tests.rs"]
mod tests;
