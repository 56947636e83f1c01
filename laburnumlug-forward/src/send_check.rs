//! Check, at the moment of sending, that a target still accepts the request that was placed at it.
//!
//! Between the choice of a target and the send, a request may wait: for another engine to prefill its prompt, for the rate
//! limit of the target, for the check of a crash or for a connection. What the choice rested on may change meanwhile.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{RequestId, Role};

use crate::forwarder::Forwarder;
use crate::header_codec::AttemptStage;
use crate::registry::TargetHandle;

/// Reason why a request is not sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Obstacle {
    /// Name used in logs.
    name: &'static str,
    /// Age of the statement or of the list that shows the obstacle.
    age: Duration,
}

impl Forwarder {
    /// Returns whether a target accepts a request for this stage, by its own statements and by the newest list of targets, and
    /// logs the reason if it does not.
    pub(crate) fn check_sendable(
        &self,
        now: Instant,
        request_id: &RequestId,
        service: &str,
        target: &Rc<TargetHandle>,
        stage: &AttemptStage,
    ) -> bool {
        let obstacle = self.obstacle(now, service, target, stage);
        if let Some(Obstacle { name, age }) = obstacle {
            log::info!(
                request_id = request_id.as_str(), target = target.instance.as_str(), reason = name,
                age_ms = age.as_millis() as u64;
                "the request is not sent: the target no longer accepts it"
            );
        }
        obstacle.is_none()
    }

    /// Returns the same as [`Forwarder::check_sendable`], without a line in the log.
    pub(crate) fn is_sendable(
        &self,
        now: Instant,
        service: &str,
        target: &Rc<TargetHandle>,
        stage: &AttemptStage,
    ) -> bool {
        self.obstacle(now, service, target, stage).is_none()
    }

    /// Returns why a target does not accept a request for this stage: it is leaving, wants no requests, is no longer listed, or
    /// is listed for another service or in a role that does not suit the stage.
    fn obstacle(
        &self,
        now: Instant,
        service: &str,
        target: &Rc<TargetHandle>,
        stage: &AttemptStage,
    ) -> Option<Obstacle> {
        let declined = target.status.borrow().decline(now);
        if let Some((decline, age)) = declined {
            let name = decline.as_str();
            return Some(Obstacle { name, age });
        }
        let listed = self.live_target(&target.instance);
        let is_listed = listed.is_some_and(|listed| Rc::ptr_eq(&listed, target));
        let listing = target.listing.borrow();
        let wrong_role = match stage {
            AttemptStage::Prefill => Role::Decode,
            AttemptStage::Full | AttemptStage::DecodeFrom { .. } => Role::Prefill,
        };
        let name = match () {
            () if !is_listed => "unlisted",
            () if listing.leaving => "listed-as-leaving",
            () if listing.changing => "role-changing",
            () if listing.role == Some(wrong_role) => "role-changed",
            () if listing.service != service => "service-changed",
            () => return None,
        };
        let read_at = self.targets_read_at();
        let age = read_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Some(Obstacle { name, age })
    }
}
