//! Graceful shutdown: which requests are still accepted, and what callers without a response are told.

use std::cell::Cell;
use std::time::{Duration, Instant};

use event_listener::Event;
use laburnumlug_policy::ShutdownSchedule;

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::refusal::{FailureCause, Refusal};

/// State of the shutdown of a [`Forwarder`].
#[derive(Default)]
pub(crate) struct Shutdown {
    schedule: Cell<Option<ShutdownSchedule>>,
    /// Whether requests without a response are given up, as the process is about to exit.
    is_exiting: Cell<bool>,
    exit_began: Event,
}

impl Forwarder {
    /// Begins a graceful shutdown: every response closes its connection from now on, and requests that `schedule` does
    /// not accept are refused as not run.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shutdown.schedule.set(Some(schedule));
    }

    /// Gives up all requests that have no response yet; their callers are told at once.
    pub fn give_up_requests(&self) {
        self.shutdown.is_exiting.set(true);
        self.shutdown.exit_began.notify(usize::MAX);
    }

    /// Returns whether responses close their connections.
    pub(crate) fn closes_connections(&self) -> bool {
        self.shutdown.schedule.get().is_some()
    }

    /// Waits until [`Forwarder::give_up_requests`] is called, and returns the refusal of a request without a response.
    pub(crate) async fn exiting(&self, may_have_run: &Cell<bool>) -> Refusal {
        while !self.shutdown.is_exiting.get() {
            self.shutdown.exit_began.listen().await;
        }
        match may_have_run.get() {
            true => Refusal::new(
                FailureCause::AnswerLost,
                "the gateway is stopping, and the answer was not complete in time",
            ),
            false => stopping("the gateway is stopping, and no target has got the request"),
        }
    }

    /// Checks that a request which ends at `deadline` at the latest ends before this process exits.
    pub(crate) fn check_not_stopping(
        &self,
        now: Instant,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        match self.shutdown.schedule.get() {
            Some(schedule) if !schedule.accepts(now, deadline) => {
                Err(stopping("the gateway is stopping and accepts no requests"))
            }
            _ => Ok(()),
        }
    }

    /// Checks, whenever a request is about to be sent, that it ends before this process exits, or that a target may have
    /// run it already.
    ///
    /// A request may wait after it was accepted: for a rate limit, a prefill or the refusal of another target. As long as
    /// nothing has run it, a refusal costs its caller less than an answer that the exit cuts.
    pub(crate) fn check_not_stopping_unsent(
        &self,
        now: Instant,
        request: &CallerRequest,
    ) -> Result<(), AttemptFailure> {
        if request.may_have_run.get() {
            return Ok(());
        }
        self.check_not_stopping(now, request.deadline)
            .map_err(|refusal| AttemptFailure {
                retry_after: refusal.retry_after,
                ..AttemptFailure::unsent(refusal.cause, refusal.detail)
            })
    }
}

/// Returns the refusal of a request that another gateway accepts at once.
fn stopping(detail: &str) -> Refusal {
    Refusal::new(FailureCause::Stopping, detail).retry_after(Duration::ZERO)
}
