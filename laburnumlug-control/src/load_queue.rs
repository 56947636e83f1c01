//! Queue for loading weights: one target at a time, so that the weight store's rate limit is never exceeded.

use std::time::Duration;

use laburnumlug::TargetName;
use laburnumlug_mesh::WeightLoadRequest;
use serde::{Deserialize, Serialize};

/// Time without a request after which a target loses its grant or its place in the queue.
const LOAD_LEASE: Duration = Duration::from_secs(60);

/// Target that may load weights, and the queue of those that wait.
///
/// Only one target loads at a time, so a single load determines the traffic of the weight store. Urgent loads, which
/// serving waits for, precede all others; loads of equal urgency are granted in the order of their first requests.
/// Leases use the time of the log's records, so every replica reaches the same decision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct LoadQueue {
    holder: Option<LoadLease>,
    /// Waiting targets, in the order of their first requests.
    waiting: Vec<LoadLease>,
}

/// Lease on the grant or on a place in the queue.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LoadLease {
    target: TargetName,
    urgent: bool,
    /// Unix time of the last request in milliseconds.
    renewed_ms: u64,
}

impl LoadLease {
    fn is_live(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.renewed_ms)) <= LOAD_LEASE.as_millis()
    }
}

impl LoadQueue {
    /// Requests or renews the grant for a target, and returns whether the target holds it.
    pub(crate) fn request(&mut self, now_ms: u64, req: &WeightLoadRequest) -> bool {
        self.holder = self.holder.take().filter(|lease| lease.is_live(now_ms));
        self.waiting.retain(|lease| lease.is_live(now_ms));
        if let Some(holder) = self
            .holder
            .as_mut()
            .filter(|holder| holder.target == req.target)
        {
            holder.renewed_ms = holder.renewed_ms.max(now_ms);
            return true;
        }
        let lease = LoadLease {
            target: req.target.clone(),
            urgent: req.urgent,
            renewed_ms: now_ms,
        };
        match self
            .waiting
            .iter_mut()
            .find(|lease| lease.target == req.target)
        {
            Some(waiting) => *waiting = lease,
            None => self.waiting.push(lease),
        }
        if self.holder.is_none() {
            self.grant_next();
        }
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.target == req.target)
    }

    /// Removes a target from the queue; if it holds the grant, the next waiting target gets it.
    pub(crate) fn release(&mut self, target: &str) {
        self.waiting.retain(|lease| lease.target != target);
        if self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.target == target)
        {
            self.holder = None;
            self.grant_next();
        }
    }

    fn grant_next(&mut self) {
        let first_urgent = self.waiting.iter().position(|lease| lease.urgent);
        if !self.waiting.is_empty() {
            self.holder = Some(self.waiting.remove(first_urgent.unwrap_or(0)));
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn request(target: &str, urgent: bool) -> WeightLoadRequest {
        WeightLoadRequest {
            target: target.to_string(),
            urgent,
        }
    }

    #[test]
    fn request_urgent_goes_first() {
        let mut queue = LoadQueue::default();
        assert!(queue.request(0, &request("a", false)));
        assert!(!queue.request(1, &request("b", false)));
        assert!(!queue.request(2, &request("c", true)));
        queue.release("a");
        assert!(!queue.request(3, &request("b", false)));
        assert!(queue.request(4, &request("c", true)));
    }

    #[test]
    fn request_after_holder_expired() {
        let mut queue = LoadQueue::default();
        let lease_ms = LOAD_LEASE.as_millis() as u64;
        assert!(queue.request(0, &request("a", false)));
        assert!(!queue.request(lease_ms, &request("b", false)));
        assert!(queue.request(lease_ms + 1, &request("b", false)));
        assert!(!queue.request(lease_ms + 2, &request("a", false)));
    }

    #[test]
    fn request_holder_renews() {
        let mut queue = LoadQueue::default();
        let lease_ms = LOAD_LEASE.as_millis() as u64;
        assert!(queue.request(0, &request("a", false)));
        assert!(queue.request(lease_ms, &request("a", false)));
        assert!(!queue.request(lease_ms + 1, &request("b", true)));
    }

    quickcheck! {
        /// No request is granted while another target holds an unexpired grant that it has not released.
        fn request_single_holder(steps: Vec<(u8, u8, bool, bool)>) -> bool {
            let mut queue = LoadQueue::default();
            let mut now_ms = 0;
            // Target that was granted last, and when its lease expires.
            let mut granted: Option<(u8, u64)> = None;
            for (target, half_seconds, urgent, releases) in steps {
                now_ms += u64::from(half_seconds) * 500;
                let name = (target % 4).to_string();
                let target = target % 4;
                if releases {
                    queue.release(&name);
                    granted = granted.filter(|(holder, _)| *holder != target);
                } else if queue.request(now_ms, &request(&name, urgent)) {
                    if granted.is_some_and(|(holder, expires_ms)| holder != target && now_ms <= expires_ms) {
                        return false;
                    }
                    granted = Some((target, now_ms + LOAD_LEASE.as_millis() as u64));
                }
            }
            true
        }
    }
}
