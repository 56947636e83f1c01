//! Which target may load weights, so that the weight store's rate is never exceeded.

use std::time::Duration;

use laburnumlug::TargetName;
use laburnumlug_mesh::WeightLoadRequest;
use serde::{Deserialize, Serialize};

/// How long a grant or a place in the queue lasts without renewal.
const LOAD_LEASE: Duration = Duration::from_secs(60);

/// Which target may load weights, and who waits.
///
/// One target loads at a time, so its load alone decides how much the weight store sends. A load that serving waits
/// for goes before all others; within each kind the order is that of the first requests. All time is that of the
/// log's records, so every replica decides alike.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct LoadPlan {
    holder: Option<Claim>,
    /// In the order of their first requests.
    waiting: Vec<Claim>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Claim {
    target: TargetName,
    urgent: bool,
    /// Unix time in milliseconds of the last request.
    renewed_ms: u64,
}

impl Claim {
    fn is_live(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.renewed_ms)) <= LOAD_LEASE.as_millis()
    }
}

impl LoadPlan {
    /// Asks for or renews a grant; returns whether the target holds it.
    pub(crate) fn request(&mut self, now_ms: u64, req: &WeightLoadRequest) -> bool {
        self.holder = self.holder.take().filter(|claim| claim.is_live(now_ms));
        self.waiting.retain(|claim| claim.is_live(now_ms));
        if let Some(holder) = self.holder.as_mut().filter(|h| h.target == req.target) {
            holder.renewed_ms = holder.renewed_ms.max(now_ms);
            return true;
        }
        let claim = Claim {
            target: req.target.clone(),
            urgent: req.urgent,
            renewed_ms: now_ms,
        };
        match self.waiting.iter_mut().find(|c| c.target == req.target) {
            Some(held) => *held = claim,
            None => self.waiting.push(claim),
        }
        if self.holder.is_none() {
            self.grant_next();
        }
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.target == req.target)
    }

    /// Ends a target's grant or its wait.
    pub(crate) fn finish(&mut self, target: &str) {
        self.waiting.retain(|claim| claim.target != target);
        if self.holder.as_ref().is_some_and(|h| h.target == target) {
            self.holder = None;
            self.grant_next();
        }
    }

    fn grant_next(&mut self) {
        let urgent = self.waiting.iter().position(|claim| claim.urgent);
        if !self.waiting.is_empty() {
            self.holder = Some(self.waiting.remove(urgent.unwrap_or(0)));
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
        let mut plan = LoadPlan::default();
        assert!(plan.request(0, &request("a", false)));
        assert!(!plan.request(1, &request("b", false)));
        assert!(!plan.request(2, &request("c", true)));
        plan.finish("a");
        assert!(!plan.request(3, &request("b", false)));
        assert!(plan.request(4, &request("c", true)));
    }

    #[test]
    fn request_holder_silent() {
        let mut plan = LoadPlan::default();
        let lease = LOAD_LEASE.as_millis() as u64;
        assert!(plan.request(0, &request("a", false)));
        assert!(!plan.request(lease, &request("b", false)));
        assert!(plan.request(lease + 1, &request("b", false)));
        assert!(!plan.request(lease + 2, &request("a", false)));
    }

    #[test]
    fn request_holder_renews() {
        let mut plan = LoadPlan::default();
        let lease = LOAD_LEASE.as_millis() as u64;
        assert!(plan.request(0, &request("a", false)));
        assert!(plan.request(lease, &request("a", false)));
        assert!(!plan.request(lease + 1, &request("b", true)));
    }

    quickcheck! {
        /// No request is granted while another target holds an unexpired grant that it has not finished.
        fn request_one_holder(steps: Vec<(u8, u8, bool, bool)>) -> bool {
            let mut plan = LoadPlan::default();
            let mut now_ms = 0;
            // The target that was granted last, and until when.
            let mut held: Option<(u8, u64)> = None;
            for (target, wait_s, urgent, finishes) in steps {
                now_ms += u64::from(wait_s) * 500;
                let name = (target % 4).to_string();
                let target = target % 4;
                if finishes {
                    plan.finish(&name);
                    held = held.filter(|(holder, _)| *holder != target);
                } else if plan.request(now_ms, &request(&name, urgent)) {
                    if held.is_some_and(|(holder, until)| holder != target && now_ms <= until) {
                        return false;
                    }
                    held = Some((target, now_ms + LOAD_LEASE.as_millis() as u64));
                }
            }
            true
        }
    }
}
