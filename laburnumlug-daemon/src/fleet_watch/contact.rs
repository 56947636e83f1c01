//! Contact with the control replicas, as far as answers and failures show it.

use std::net::SocketAddr;

use laburnumlug_policy::ControlContact;

use super::{FleetWatch, WatchState};

impl WatchState {
    /// Determines the contact from what is recorded of the replicas, and notifies the observer if it has changed.
    pub(super) fn update_contact(&mut self) {
        let newest_logged = self.confirmation.newest_logged_change();
        let contact = ControlContact {
            reaches_majority: self.addrs.reaches_majority(),
            can_confirm: self.confirmation.can_confirm(|i| self.addrs.has_failed(i)),
            newer_logged: newest_logged.is_some_and(|newest| newest > self.applied_change),
        };
        if contact == self.contact {
            return;
        }
        self.contact = contact;
        log::info!(
            routes = self.view_version(), reaches_majority = contact.reaches_majority,
            can_confirm = contact.can_confirm, newer_logged = contact.newer_logged;
            "contact with the control replicas has changed"
        );
        if let Some(observer) = &self.observer {
            observer.contact_changed(contact);
        }
    }
}

impl FleetWatch {
    /// Records whether the latest attempt to connect to the process at `addr`, or the latest exchange, has succeeded.
    pub(super) fn record_contact(&self, addr: SocketAddr, is_reached: bool) {
        let mut state = self.state.borrow_mut();
        state.addrs.record_contact(addr, is_reached);
        state.update_contact();
    }
}
