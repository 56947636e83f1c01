//! Admission of streams by the shares of customers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::Role;
use laburnumlug_policy::{
    EngineWork, LATE_PRIORITY, ShareExceeded, ShareRequest, Standing, prefill_work,
};

use super::StreamRequest;
use crate::attempt_failure::AttemptFailure;
use crate::customer_shares::customer_of;
use crate::engine_selection::{EngineSelection, decode_share};
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

/// Priority at engines of customers above their shares: after all prompts that are expected to be on time.
const ABOVE_SHARE_PRIORITY: u8 = LATE_PRIORITY - 1;

impl Forwarder {
    /// Checks that the customer of a stream may use more engine time now.
    ///
    /// A request that was sent to an engine before is always admitted, as its customer has paid for it.
    pub(super) fn check_share(
        &self,
        now: Instant,
        stream: &StreamRequest,
    ) -> Result<Standing, AttemptFailure> {
        let customer = match customer_of(&stream.request) {
            Some(customer) if stream.tried.is_empty() => customer,
            _ => return Ok(Standing::WithinShare),
        };
        let shares = &self.engine_requests.shares;
        let excess = shares.with_service(now, &stream.service, |shares| {
            shares.set_gateways(self.gateway_count());
            shares.excess(now, customer)
        });
        if excess.is_none() {
            return Ok(Standing::WithinShare);
        }
        let targets = self.untried_targets(now, &stream.service, &[], stream.software.as_ref());
        let request = ShareRequest {
            work: self.predicted_work(stream, &targets),
            ttft_objective: stream.request.route.latency_objective,
        };
        let waits = self.engine_waits(now, &stream.service, &targets);
        let nth_wait = |engines: usize| {
            let index = engines.min(waits.len()).saturating_sub(1);
            waits.get(index).copied().unwrap_or_default()
        };
        shares
            .with_service(now, &stream.service, |shares| {
                shares.admit(now, customer, &request, nth_wait)
            })
            .map_err(share_failure)
    }

    /// Records that no engine has room for a stream.
    pub(super) fn record_unplaced(&self, now: Instant, stream: &StreamRequest) {
        let Some(customer) = customer_of(&stream.request) else {
            return;
        };
        let targets = self.untried_targets(now, &stream.service, &[], stream.software.as_ref());
        let work = self.predicted_work(stream, &targets);
        let shares = &self.engine_requests.shares;
        shares.with_service(now, &stream.service, |shares| {
            shares.record_refused(now, customer, work);
        });
    }

    /// Predicts the engine work of a stream, at the engine that prefills its prompt soonest.
    fn predicted_work(&self, stream: &StreamRequest, targets: &[Rc<TargetHandle>]) -> EngineWork {
        let prompt_parts = &stream.request.prompt_parts;
        let tokens = prompt_parts.tokens();
        let prefill = |target: &Rc<TargetHandle>| {
            let cached = target.kv_cache.borrow().matched_tokens(prompt_parts);
            let work = prefill_work(tokens.saturating_sub(cached), tokens);
            target.prefill_queue.borrow().prefill_time(work)
        };
        let traits = stream.table.engine_traits(&stream.service);
        EngineWork {
            prefill: targets.iter().map(prefill).min().unwrap_or_default(),
            decode_share: traits.map_or(0.0, |traits| decode_share(traits, tokens)),
            hold_time: self.engine_requests.demand.hold_time(&stream.service),
        }
    }

    /// Predicts how long a prompt waits at each engine behind all others, shortest time first.
    ///
    /// A prompt that is prefilled by an engine with the role prefill waits for a slot at another one as well.
    fn engine_waits(
        &self,
        now: Instant,
        service: &str,
        targets: &[Rc<TargetHandle>],
    ) -> Vec<Duration> {
        let slot_time = self.engine_requests.demand.hold_time(service);
        let slot_wait = |target: &Rc<TargetHandle>| {
            let slots = target.listing.borrow().slots.max(1);
            slot_time * (target.in_flight.get() + 1).saturating_sub(slots) / slots
        };
        let is_prefill =
            |target: &Rc<TargetHandle>| target.listing.borrow().role == Some(Role::Prefill);
        let decoding = targets.iter().filter(|target| !is_prefill(target));
        let min_slot_wait = decoding.map(slot_wait).min().unwrap_or_default();
        let waits = targets.iter().map(|target| {
            let queue_wait = target
                .prefill_queue
                .borrow()
                .waiting_time(now, LATE_PRIORITY);
            queue_wait.max(match is_prefill(target) {
                true => min_slot_wait,
                false => slot_wait(target),
            })
        });
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable();
        waits
    }
}

/// Lets the prompts of other customers go first if the customer of a selection is above its share.
pub(super) fn apply_standing(standing: Standing, selection: &mut EngineSelection) {
    if standing == Standing::AboveShare {
        selection.priority = selection.priority.max(ABOVE_SHARE_PRIORITY);
    }
}

fn share_failure(exceeded: ShareExceeded) -> AttemptFailure {
    AttemptFailure {
        retry_after: Some(exceeded.retry_after),
        ..AttemptFailure::unsent(
            FailureCause::AboveShare,
            format!(
                "the customer uses {:.1} times its share of the engines, which are busy",
                exceeded.excess
            ),
        )
    }
}
