//! Replicated record of the software versions that the targets of each service run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumlug::{FleetDocument, ServiceName, SoftwareRecord, SoftwareVersion, TargetList};
use serde::{Deserialize, Serialize};

/// Upper bound of the error of an age that is measured with the clocks of two replicas, which may differ or jump.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(5);

/// Change of the software versions that the listed targets of a service run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareChange {
    /// Name of the service.
    pub service: ServiceName,
    /// Versions from now on; `None` is that of targets that state none.
    pub versions: BTreeSet<Option<SoftwareVersion>>,
}

/// Versions of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LoggedSoftware {
    versions: BTreeSet<Option<SoftwareVersion>>,
    /// Unix time in milliseconds of the last change.
    changed_ms: u64,
}

/// Versions of the services that have run several at once.
///
/// A service that has always run one version has no entry, and then nothing is logged, as earlier versions of this program
/// cannot read it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct SoftwareLedger {
    services: BTreeMap<ServiceName, LoggedSoftware>,
}

impl SoftwareLedger {
    /// Records a change; returns `false` if the versions are the same as before.
    pub(crate) fn record(&mut self, time_ms: u64, change: SoftwareChange) -> bool {
        let logged = self.services.get(&change.service);
        if logged.is_some_and(|logged| logged.versions == change.versions) {
            return false;
        }
        let logged = LoggedSoftware {
            versions: change.versions,
            changed_ms: time_ms,
        };
        self.services.insert(change.service, logged);
        true
    }

    /// Removes the services that a document does not contain.
    pub(crate) fn apply_document(&mut self, document: &FleetDocument) {
        self.services.retain(|name, _| {
            let mut services = document.services.iter();
            services.any(|service| service.name == *name)
        });
    }

    /// Returns the changes to log for a list of targets.
    pub(crate) fn changes(&self, list: &TargetList) -> Vec<SoftwareChange> {
        let mut listed: BTreeMap<&ServiceName, BTreeSet<Option<SoftwareVersion>>> = BTreeMap::new();
        for target in &list.targets {
            let versions = listed.entry(&target.service).or_default();
            versions.insert(target.software.clone());
        }
        let is_change =
            |(service, versions): &(&ServiceName, BTreeSet<_>)| match self.services.get(*service) {
                Some(logged) => logged.versions != *versions,
                None => versions.len() > 1,
            };
        let changes = listed.into_iter().filter(is_change);
        changes
            .map(|(service, versions)| SoftwareChange {
                service: service.clone(),
                versions,
            })
            .collect()
    }

    /// Returns the versions of all services with an entry at a Unix time.
    pub(crate) fn records(&self, unix_ms: u64) -> Vec<SoftwareRecord> {
        let record = |(service, logged): (&ServiceName, &LoggedSoftware)| {
            let age_ms = unix_ms.saturating_sub(logged.changed_ms);
            SoftwareRecord {
                service: service.clone(),
                versions: logged.versions.clone(),
                unchanged_ms: age_ms.saturating_sub(MAX_CLOCK_ERROR.as_millis() as u64),
            }
        };
        self.services.iter().map(record).collect()
    }
}

#[cfg(test)]
#[path = "software_tests.rs"]
mod tests;
