//! Customers of one version of the fleet document, and the authorization of requests by their API keys.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use laburnumlug::{BootTime, Customer, CustomerId, CustomerName};
use laburnumlug_policy::{Authorization, Credentials, DocumentStatus, KeyHash, authorize};

use crate::forwarder::Forwarder;
use crate::refusal::{FailureCause, Refusal};
use crate::request_content::customer_id;
use crate::routes::{RouteEntry, RouteTable};

/// `retry-after` while the document is not confirmed; the control replicas elect a leader in about that time.
pub(crate) const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A customer whose requests are served.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct CustomerEntry {
    pub(crate) name: CustomerName,
    /// Hash of the name, by which gateways tell each other whose prompts they send.
    pub(crate) id: CustomerId,
    /// Urgency of the customer's requests in place of the rank of their route.
    pub(crate) rank: Option<u32>,
}

/// Customers by the hashes of their keys.
#[derive(Debug)]
pub(crate) struct CustomerTable {
    by_key: HashMap<KeyHash, Rc<CustomerEntry>>,
}

impl CustomerTable {
    pub(crate) fn new(customers: &[Customer]) -> CustomerTable {
        let mut by_key = HashMap::with_capacity(customers.len());
        for customer in customers {
            let entry = Rc::new(CustomerEntry {
                name: customer.name.clone(),
                id: customer_id(&customer.name),
                rank: customer.rank,
            });
            let keys = customer.keys.iter();
            let hashes = keys.filter_map(|key| KeyHash::from_hex(key));
            by_key.extend(hashes.map(|hash| (hash, entry.clone())));
        }
        CustomerTable { by_key }
    }

    fn find(&self, credentials: &Credentials) -> Option<Rc<CustomerEntry>> {
        match credentials {
            Credentials::Key(hash) => self.by_key.get(hash).cloned(),
            Credentials::None | Credentials::Malformed => None,
        }
    }
}

impl Forwarder {
    /// Returns the customer that a request is served for, if any, or the refusal of the request.
    pub(crate) fn authorize(
        &self,
        now: BootTime,
        table: &RouteTable,
        route: &RouteEntry,
        headers: &HeaderMap,
    ) -> Result<Option<Rc<CustomerEntry>>, Refusal> {
        let Some(customers) = &table.customers else {
            return Ok(None);
        };
        let credentials = self.header_codec.parse_credentials(headers);
        let customer = customers.find(&credentials);
        let document = self.document_status(now, table);
        let customer_name = customer.as_ref().map(|customer| customer.name.as_str());
        match authorize(
            &document,
            &credentials,
            route.is_anonymous,
            customer.is_some(),
        ) {
            Authorization::Serve => Ok(customer),
            Authorization::Unauthorized => Err(Refusal::new(
                FailureCause::Unauthorized,
                "the request has no valid API key",
            )),
            Authorization::Outdated => Err(Refusal::new(
                FailureCause::OutdatedKeys,
                "the API keys are not confirmed",
            )
            .retry_after(UNCONFIRMED_RETRY_AFTER)
            .customer(customer_name)),
        }
    }

    /// Returns the state of the document that `table` was built from.
    pub(crate) fn document_status(&self, now: BootTime, table: &RouteTable) -> DocumentStatus {
        let limits = self.limits.get();
        DocumentStatus {
            lists_customers: table.customers.is_some(),
            confirmation_age: self
                .confirmed_at()
                .map(|at| now.saturating_duration_since(at)),
            max_key_age: limits.max_key_age,
            max_route_age: limits.max_route_age,
            contact: self.control_contact(),
        }
    }
}
