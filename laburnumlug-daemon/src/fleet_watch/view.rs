//! The fleet document as one process knows it.

use std::rc::Rc;

use laburnumlug::{FleetDocument, FleetVersion, Service, Target};

/// One version of the fleet document.
#[derive(Clone)]
pub(crate) struct FleetView {
    pub(crate) version: FleetVersion,
    pub(crate) document: Rc<FleetDocument>,
}

impl FleetView {
    /// Returns the service named `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.document
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns the engine service that serves a model.
    pub(crate) fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.document
            .services
            .iter()
            .find(|service| service.models.iter().any(|m| m == model))
    }

    /// Returns the target named `name`.
    pub(crate) fn target(&self, name: &str) -> Option<&Target> {
        self.document
            .targets
            .iter()
            .find(|target| target.name == name)
    }
}
