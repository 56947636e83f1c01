//! The grant to load weights from the weight store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::TargetName;
use laburnumlug_mesh::{NodeCommand, NodeOutcome, WeightLoadRequest};

use crate::control_client::ControlClient;

/// How often a grant is renewed; far below the time after which the log lets it lapse.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// How often a grant is asked for while another target has it.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// How long one question to the log may take.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// What is known of the grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// Nothing is asked for.
    None,
    /// Another target had it at this time.
    Waiting(Instant),
    /// It was granted or renewed at this time.
    Granted(Instant),
}

impl Standing {
    /// Returns whether the log need not be asked at `now`, and if so whether the grant is held.
    fn known(self, now: Instant) -> Option<bool> {
        let age = |since: Instant| now.saturating_duration_since(since);
        match self {
            Standing::Granted(since) if age(since) < RENEW_INTERVAL => Some(true),
            Standing::Waiting(since) if age(since) < ASK_INTERVAL => Some(false),
            _ => None,
        }
    }
}

/// This target's grant to load weights.
///
/// The control log gives it to one target at a time, so the loads of the fleet never exceed the store's rate together.
pub(super) struct LoadGrant {
    control: Rc<ControlClient>,
    target: TargetName,
    standing: Cell<Standing>,
}

impl LoadGrant {
    pub(super) fn new(control: Rc<ControlClient>, target: &str) -> LoadGrant {
        LoadGrant {
            control,
            target: target.to_string(),
            standing: Cell::new(Standing::None),
        }
    }

    /// Asks for the grant or renews it; returns whether the target holds it.
    ///
    /// An `urgent` load, without which the target cannot serve, goes before those of rollouts.
    pub(super) async fn hold(&self, urgent: bool) -> bool {
        // A renewal counts from when it was asked for, which is before the log's clock has it.
        let now = Instant::now();
        if let Some(held) = self.standing.get().known(now) {
            return held;
        }
        let command = NodeCommand::RequestWeightLoad(WeightLoadRequest {
            target: self.target.clone(),
            urgent,
        });
        let outcome = self.control.submit(now + SUBMIT_TIMEOUT, command).await;
        let granted = matches!(outcome, Ok(NodeOutcome::WeightLoad { granted: true }));
        self.standing.set(match granted {
            true => Standing::Granted(now),
            false => Standing::Waiting(now),
        });
        granted
    }

    /// Gives the grant, or the place in the queue for it, back.
    pub(super) async fn release(&self) {
        if self.standing.get() == Standing::None {
            return;
        }
        let command = NodeCommand::FinishWeightLoad {
            target: self.target.clone(),
        };
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        match self.control.submit(deadline, command).await {
            Ok(_) => self.standing.set(Standing::None),
            // The next round tries again; at worst the log lets the grant lapse.
            Err(err) => log::warn!("the load grant is not given back yet: {err}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn known_after_freeze() {
        let since = Instant::now();
        let granted = Standing::Granted(since);
        assert_eq!(granted.known(since), Some(true));
        assert_eq!(granted.known(since + RENEW_INTERVAL), None);
    }

    #[test]
    fn known_waiting() {
        let since = Instant::now();
        assert_eq!(Standing::Waiting(since).known(since), Some(false));
        assert_eq!(Standing::Waiting(since).known(since + ASK_INTERVAL), None);
    }
}
