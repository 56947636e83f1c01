//! Live targets that this replica has read from the platform, for all who ask.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug::TargetList;
use laburnumlug_mesh::TargetsReport;
use sha2::{Digest, Sha256};

use super::Replica;

/// Age from which a list is not told any more; another replica reads then.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Time without a question after which a gateway is taken to be gone.
const GATEWAY_AGE: Duration = Duration::from_secs(5);

/// A list and when it was asked for.
pub(super) struct PublishedTargets {
    read_at: Instant,
    digest: u64,
    list: TargetList,
}

impl Replica {
    /// Sets the list of live targets that others are told, asked for at `read_at`.
    pub fn publish_targets(&self, read_at: Instant, list: TargetList) {
        let digest = digest(&list);
        *self.targets.borrow_mut() = Some(PublishedTargets {
            read_at,
            digest,
            list,
        });
    }

    /// Returns the list for a node that holds the one with digest `known`.
    ///
    /// The gateway at `own` is told to others from then on.
    pub(crate) fn targets_report(
        &self,
        now: Instant,
        known: u64,
        own: Option<SocketAddr>,
    ) -> Option<TargetsReport> {
        let mut gateways = self.gateways.borrow_mut();
        gateways.extend(own.map(|own| (own, now)));
        gateways.retain(|_, asked_at| now.saturating_duration_since(*asked_at) < GATEWAY_AGE);
        let targets = self.targets.borrow();
        let published = targets.as_ref()?;
        let age = now.saturating_duration_since(published.read_at);
        (age < MAX_AGE).then(|| TargetsReport {
            age_ms: age.as_millis() as u64,
            digest: published.digest,
            gateways: gateways.keys().copied().collect(),
            list: (published.digest != known).then(|| published.list.clone()),
        })
    }
}

fn digest(list: &TargetList) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(list, &mut bytes).expect("writing to memory does not fail");
    let hash = Sha256::digest(&bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
