//! Use of engines by the customers of this gateway and of the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use laburnumlug::{CustomerId, ServiceName};
use laburnumlug_policy::{CustomerShares, EngineWork, PromptParts};

use crate::attempt::CallerRequest;
use crate::engine_selection::decode_share;
use crate::forwarder::Forwarder;
use crate::registry::TargetHandle;

/// Returns the customer whose request it is, or `None` if the fleet document lists no customers.
pub(crate) fn customer_of(request: &CallerRequest) -> Option<CustomerId> {
    request.customer.as_ref().map(|customer| customer.id)
}

/// A customer's work at an engine, which is recorded as ended when the request is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentWork {
    customer: CustomerId,
    work: EngineWork,
}

/// Shares of customers in the engines of each service.
#[derive(Default)]
pub(crate) struct ServiceShares {
    services: RefCell<HashMap<ServiceName, CustomerShares>>,
}

impl ServiceShares {
    /// Calls `f` with the shares in the engines of a service.
    pub(crate) fn with_service<T, F>(&self, now: Instant, service: &str, f: F) -> T
    where
        F: FnOnce(&mut CustomerShares) -> T,
    {
        let mut services = self.services.borrow_mut();
        if let Some(shares) = services.get_mut(service) {
            return f(shares);
        }
        let shares = services.entry(service.to_string());
        f(shares.or_insert_with(|| CustomerShares::new(now)))
    }

    /// Records that a gateway sends a customer's request to an engine, which prefills `work` and, unless `decode_share` is
    /// `None`, decodes.
    pub(crate) fn record_sent(
        &self,
        now: Instant,
        target: &TargetHandle,
        customer: CustomerId,
        work: u64,
        decode_share: Option<f64>,
    ) -> SentWork {
        let work = EngineWork {
            prefill: target.prefill_queue.borrow().prefill_time(work),
            decode_share: decode_share.unwrap_or_default(),
            ..EngineWork::default()
        };
        let service = &target.listing.borrow().service;
        self.with_service(now, service, |shares| {
            shares.record_sent(now, customer, work)
        });
        SentWork { customer, work }
    }

    /// Records that the request has ended.
    pub(crate) fn record_ended(&self, now: Instant, target: &TargetHandle, sent: SentWork) {
        let service = &target.listing.borrow().service;
        self.with_service(now, service, |shares| {
            shares.record_ended(sent.customer, sent.work);
        });
    }
}

impl Forwarder {
    /// Returns the number of customers that are above their shares in the engines of any service.
    pub fn customers_above_share(&self, now: Instant) -> usize {
        let mut services = self.engine_requests.shares.services.borrow_mut();
        let above = services
            .values_mut()
            .map(|shares| shares.customers_above_share(now));
        above.sum()
    }

    /// Returns the share of an engine that a prompt which another gateway sent there holds while it decodes.
    pub(crate) fn remote_decode_share(
        &self,
        target: &TargetHandle,
        prompt_parts: &PromptParts,
    ) -> Option<f64> {
        let listing = target.listing.borrow();
        let table = self.route_table()?;
        let traits = table.engine_traits(&listing.service)?;
        (listing.role != Some(laburnumlug::Role::Prefill))
            .then(|| decode_share(traits, prompt_parts.tokens()))
    }
}
