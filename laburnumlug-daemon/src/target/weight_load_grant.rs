//! Grant to load weights from the weight store, which the control log gives to one target at a time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::TargetName;
use laburnumlug_mesh::{NodeCommand, NodeOutcome, WeightLoadRequest};

use crate::control_client::ControlClient;

/// How often a grant is renewed, well within its expiry time in the control log.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// How often a grant is requested while another target holds it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one submission to the control log.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Last known status of this target's grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GrantStatus {
    /// The target has not requested the grant, or has released it.
    None,
    /// A request at this time did not get the grant.
    Waiting(Instant),
    /// A request at this time got or renewed the grant.
    Granted(Instant),
}

impl GrantStatus {
    /// Returns whether the grant is held, or `None` if a request is due at `now`.
    fn is_held(self, now: Instant) -> Option<bool> {
        let age = |since: Instant| now.saturating_duration_since(since);
        match self {
            GrantStatus::Granted(since) if age(since) < RENEW_INTERVAL => Some(true),
            GrantStatus::Waiting(since) if age(since) < REQUEST_INTERVAL => Some(false),
            _ => None,
        }
    }
}

/// This target's grant to load weights.
///
/// One target at a time holds it, so that the fleet's concurrent loads never exceed the throughput of the weight store.
pub(super) struct WeightLoadGrant {
    control: Rc<ControlClient>,
    target: TargetName,
    status: Cell<GrantStatus>,
}

impl WeightLoadGrant {
    pub(super) fn new(control: Rc<ControlClient>, target: &str) -> WeightLoadGrant {
        WeightLoadGrant {
            control,
            target: target.to_string(),
            status: Cell::new(GrantStatus::None),
        }
    }

    /// Requests or renews the grant if that is due; returns whether the target is known to hold it.
    ///
    /// An `urgent` load, without which the target cannot serve, has priority over the loads of rollouts.
    pub(super) async fn acquire_or_renew(&self, urgent: bool) -> bool {
        // A renewal counts from the time of the request, which is earlier than the log's time for it.
        let now = Instant::now();
        if let Some(held) = self.status.get().is_held(now) {
            return held;
        }
        let command = NodeCommand::RequestWeightLoad(WeightLoadRequest {
            target: self.target.clone(),
            urgent,
        });
        let outcome = self.control.submit(now + SUBMIT_TIMEOUT, command).await;
        let granted = matches!(outcome, Ok(NodeOutcome::WeightLoad { granted: true }));
        self.status.set(match granted {
            true => GrantStatus::Granted(now),
            false => GrantStatus::Waiting(now),
        });
        granted
    }

    /// Releases the grant, or the place in the queue for it.
    pub(super) async fn release(&self) {
        if self.status.get() == GrantStatus::None {
            return;
        }
        let command = NodeCommand::FinishWeightLoad {
            target: self.target.clone(),
        };
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        match self.control.submit(deadline, command).await {
            Ok(_) => self.status.set(GrantStatus::None),
            // The next round retries; if that fails too, the grant expires in the log.
            Err(err) => log::warn!(
                "failed to release the weight load grant in the control log, retrying: {err}"
            ),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_held_after_freeze() {
        let since = Instant::now();
        let granted = GrantStatus::Granted(since);
        assert_eq!(granted.is_held(since), Some(true));
        assert_eq!(granted.is_held(since + RENEW_INTERVAL), None);
    }

    #[test]
    fn is_held_waiting() {
        let since = Instant::now();
        assert_eq!(GrantStatus::Waiting(since).is_held(since), Some(false));
        assert_eq!(
            GrantStatus::Waiting(since).is_held(since + REQUEST_INTERVAL),
            None
        );
    }
}
