//! Target list that this replica has read from the platform, published to other nodes.

use std::time::{Duration, Instant, SystemTime};

use laburnumlug::{DemandReport, ListedGateway, TargetList, ZoneName};
use laburnumlug_mesh::TargetsReport;
use sha2::{Digest, Sha256};

use super::{Replica, unix_millis};
use crate::software::SoftwareChange;

/// Age from which a list is no longer published; another replica then reads it from the platform.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// Time without a request after which reports no longer list a gateway.
const GATEWAY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Target list, its digest and the time of its request to the platform.
pub(super) struct PublishedTargets {
    requested_at: Instant,
    digest: u64,
    list: TargetList,
}

/// Latest request of a gateway for the target list.
pub(super) struct GatewayContact {
    at: Instant,
    zone: Option<ZoneName>,
    demand: Option<DemandReport>,
}

impl Replica {
    /// Publishes the list of live targets that was requested from the platform at `requested_at`.
    pub fn publish_targets(&self, requested_at: Instant, list: TargetList) {
        let digest = digest(&list);
        *self.targets.borrow_mut() = Some(PublishedTargets {
            requested_at,
            digest,
            list,
        });
    }

    /// Returns the changes of software versions that a list of live targets shows and that are not logged.
    pub fn software_changes(&self, list: &TargetList) -> Vec<SoftwareChange> {
        self.with_state(|state| state.software().changes(list))
    }

    /// Returns the latest demand that each gateway has reported to this replica.
    pub fn demand_reports(&self) -> Vec<DemandReport> {
        let gateways = self.gateways.borrow();
        let reports = gateways
            .values()
            .filter_map(|contact| contact.demand.clone());
        reports.collect()
    }

    /// Returns a report for a node that has the list with digest `known`; a list with the same digest is omitted.
    ///
    /// Returns `None` if no list younger than [`MAX_LIST_AGE`] is published. If the node is a gateway, `gateway` is
    /// that gateway and the demand that it reports; reports list it until [`GATEWAY_IDLE_TIMEOUT`] has passed without a
    /// request.
    pub(crate) fn targets_report(
        &self,
        now: Instant,
        unix_now: SystemTime,
        known: u64,
        gateway: Option<(ListedGateway, Option<DemandReport>)>,
    ) -> Option<TargetsReport> {
        let mut gateways = self.gateways.borrow_mut();
        let contact = |(ListedGateway { addr, zone }, demand)| {
            let at = now;
            (addr, GatewayContact { at, zone, demand })
        };
        gateways.extend(gateway.map(contact));
        gateways
            .retain(|_, contact| now.saturating_duration_since(contact.at) < GATEWAY_IDLE_TIMEOUT);
        let targets = self.targets.borrow();
        let published = targets.as_ref()?;
        let age = now.saturating_duration_since(published.requested_at);
        (age < MAX_LIST_AGE).then(|| TargetsReport {
            age_ms: age.as_millis() as u64,
            digest: published.digest,
            gateways: gateways.keys().copied().collect(),
            gateway_zones: gateways
                .values()
                .map(|contact| contact.zone.clone())
                .collect(),
            list: (published.digest != known).then(|| published.list.clone()),
            // After a restart, the state may lack versions that were recorded before.
            software: self
                .is_caught_up()
                .then(|| self.with_state(|state| state.software().records(unix_millis(unix_now)))),
        })
    }
}

fn digest(list: &TargetList) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(list, &mut bytes).expect("serializing to a Vec should not fail");
    let hash = Sha256::digest(&bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
