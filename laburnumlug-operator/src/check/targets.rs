//! Checks of targets: their references, their models and their adapters.

use laburnumlug::{FleetDocument, Service, ServiceKind, Target};

use super::describe_allowed_names;
use crate::fault::Fault;

pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    for (i, target) in document.targets.iter().enumerate() {
        let path = format!("targets[{i}]");
        let service = document.services.iter().find(|s| s.name == target.service);
        check_models(&path, document, target, faults);
        check_adapters(&path, document, target, faults);
        match service {
            None => {
                let allowed = describe_allowed_names(document.services.iter().map(|s| &s.name));
                let found = format!("{:?}", target.service);
                faults.push(Fault::new(format!("{path}.service"), found, allowed));
            }
            Some(service) if service.kind == ServiceKind::Plain => {
                check_plain_target(&path, target, faults);
            }
            Some(service) => check_has_offered_model(&path, service, target, faults),
        }
    }
}

fn check_models(path: &str, document: &FleetDocument, target: &Target, faults: &mut Vec<Fault>) {
    for (j, loaded) in target.models.iter().enumerate() {
        let model = document.models.iter().find(|m| m.name == loaded.model);
        match model {
            None => faults.push(Fault::new(
                format!("{path}.models[{j}].model"),
                format!("{:?}", loaded.model),
                describe_allowed_names(document.models.iter().map(|m| &m.name)),
            )),
            Some(model) if !model.versions.contains(&loaded.version) => faults.push(Fault::new(
                format!("{path}.models[{j}].version"),
                format!("{:?}", loaded.version),
                describe_allowed_names(&model.versions),
            )),
            Some(_) => {}
        }
        if target.models[..j].contains(loaded) {
            faults.push(Fault::new(
                format!("{path}.models[{j}]"),
                format!("{:?} {:?} again", loaded.model, loaded.version),
                "each version of a model once",
            ));
        }
    }
}

fn check_adapters(path: &str, document: &FleetDocument, target: &Target, faults: &mut Vec<Fault>) {
    for (j, name) in target.adapters.iter().enumerate() {
        let path = format!("{path}.adapters[{j}]");
        match document.adapters.iter().find(|a| a.name == *name) {
            None => {
                let allowed = describe_allowed_names(document.adapters.iter().map(|a| &a.name));
                faults.push(Fault::new(path, format!("{name:?}"), allowed));
            }
            Some(adapter) if !target.models.iter().any(|m| m.model == adapter.model) => {
                faults.push(Fault::new(
                    path,
                    format!("{name:?} without its model {:?}", adapter.model),
                    "adapters of the models that the target has",
                ));
            }
            Some(_) if target.adapters[..j].contains(name) => {
                faults.push(Fault::new(
                    path,
                    format!("{name:?} again"),
                    "each adapter once",
                ));
            }
            Some(_) => {}
        }
    }
}

/// Checks that a plain application server has no settings that only engines have.
fn check_plain_target(path: &str, target: &Target, faults: &mut Vec<Fault>) {
    if target.role.is_some() {
        let allowed = "none for a plain service";
        faults.push(Fault::new(format!("{path}.role"), "a role", allowed));
    }
    for (key, count) in [
        ("models", target.models.len()),
        ("adapters", target.adapters.len()),
    ] {
        if count > 0 {
            let allowed = "none for a plain service";
            faults.push(Fault::new(
                format!("{path}.{key}"),
                format!("{count}"),
                allowed,
            ));
        }
    }
}

/// Checks that an engine has at least one model that its service offers.
fn check_has_offered_model(
    path: &str,
    service: &Service,
    target: &Target,
    faults: &mut Vec<Fault>,
) {
    let is_offered = |model: &String| service.models.contains(model);
    if !target.models.iter().any(|loaded| is_offered(&loaded.model)) {
        faults.push(Fault::new(
            format!("{path}.models"),
            format!("no model of service {:?}", service.name),
            format!("at least {}", describe_allowed_names(&service.models)),
        ));
    }
}
