//! Checks of the control replicas.

use laburnumlug::FleetDocument;

use crate::fault::Fault;

/// Maximum number of replicas of the control log.
const MAX_CONTROL_REPLICAS: usize = 7;

/// Checks the number of replicas; a document without any leaves the current replicas unchanged.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let count = document.control.len();
    if count > MAX_CONTROL_REPLICAS {
        faults.push(Fault::new(
            "control",
            format!("{count} replicas"),
            format!("1 to {MAX_CONTROL_REPLICAS} replicas"),
        ));
    }
}
