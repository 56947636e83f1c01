//! Record of the software versions that the targets of a service run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{ServiceName, SoftwareVersion};

/// Software versions of the listed targets of a service, as the control replicas have recorded them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareRecord {
    /// Name of the service.
    pub service: ServiceName,
    /// Versions; `None` is that of targets that state none.
    pub versions: BTreeSet<Option<SoftwareVersion>>,
    /// Time in milliseconds for which the versions have at least been the same.
    pub unchanged_ms: u64,
}
