//! What the route of a request was taken from.

use std::time::Duration;

use laburnumlug::{BootTime, FleetVersion};
use laburnumlug_policy::{ControlContact, DocumentStatus};

use crate::forwarder::Forwarder;
use crate::routes::RouteTable;

/// Age of the last confirmation from which requests that are routed are logged.
const OUTDATED_AGE: Duration = Duration::from_millis(1500);

/// Version of the routes by which a request is handled, and the age of their last confirmation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteBasis {
    /// Version of the routes; 0 if none are known.
    pub(crate) version: FleetVersion,
    /// Time since a majority of the control replicas was asked to confirm the routes; `None` if they never were confirmed.
    pub(crate) confirmation_age: Option<Duration>,
    pub(crate) contact: ControlContact,
}

impl RouteBasis {
    pub(crate) fn new(table: &RouteTable, status: &DocumentStatus) -> RouteBasis {
        RouteBasis {
            version: table.version,
            confirmation_age: status.confirmation_age,
            contact: status.contact,
        }
    }

    pub(crate) fn confirmation_age_ms(&self) -> Option<u64> {
        self.confirmation_age.map(|age| age.as_millis() as u64)
    }

    /// Returns whether the routes may be older than those that control has acknowledged.
    pub(crate) fn may_be_outdated(&self) -> bool {
        self.confirmation_age.is_none_or(|age| age >= OUTDATED_AGE)
    }

    /// Logs that a request is handled by routes that were not confirmed recently.
    pub(crate) fn log_if_outdated(&self, request_id: &str) {
        if self.may_be_outdated() {
            log::info!(
                request_id = request_id, routes = self.version, routes_age_ms = self.confirmation_age_ms(),
                reaches_majority = self.contact.reaches_majority, can_confirm = self.contact.can_confirm,
                newer_logged = self.contact.newer_logged;
                "the request is handled by routes that were not confirmed recently"
            );
        }
    }
}

impl Forwarder {
    /// Returns the basis of a decision that is made now.
    pub(crate) fn route_basis(&self, now: BootTime) -> RouteBasis {
        match self.route_table() {
            Some(table) => RouteBasis::new(&table, &self.document_status(now, &table)),
            None => RouteBasis {
                version: 0,
                confirmation_age: None,
                contact: self.control_contact(),
            },
        }
    }
}
