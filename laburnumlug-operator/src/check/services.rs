//! Checks of services: their models, their role floors, and that not all of their targets are leaving.

use std::collections::HashMap;

use laburnumlug::{FleetDocument, Role, Service, ServiceKind, Target, TargetState};

use super::describe_allowed_names;
use crate::fault::Fault;

pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    check_adapters(document, faults);
    check_offered_models(document, faults);
    for (i, service) in document.services.iter().enumerate() {
        let path = format!("services[{i}]");
        let targets: Vec<&Target> = document
            .targets
            .iter()
            .filter(|target| target.service == service.name)
            .collect();
        match service.kind {
            ServiceKind::Engine => check_role_floors(&path, service, &targets, faults),
            ServiceKind::Plain => check_plain_service(&path, service, faults),
        }
        check_not_all_leaving(&path, &targets, faults);
        check_scaling(&path, service, faults);
    }
}

fn check_adapters(document: &FleetDocument, faults: &mut Vec<Fault>) {
    for (i, adapter) in document.adapters.iter().enumerate() {
        if !document.models.iter().any(|m| m.name == adapter.model) {
            let path = format!("adapters[{i}].model");
            let allowed = describe_allowed_names(document.models.iter().map(|m| &m.name));
            faults.push(Fault::new(path, format!("{:?}", adapter.model), allowed));
        }
    }
}

/// Checks that each model is offered by at most one service, as a request names only the model.
fn check_offered_models(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let mut offered: HashMap<&str, usize> = HashMap::new();
    for (i, service) in document.services.iter().enumerate() {
        for (j, model) in service.models.iter().enumerate() {
            let path = format!("services[{i}].models[{j}]");
            if !document.models.iter().any(|m| m.name == *model) {
                let allowed = describe_allowed_names(document.models.iter().map(|m| &m.name));
                faults.push(Fault::new(path.clone(), format!("{model:?}"), allowed));
            }
            match offered.get(model.as_str()) {
                Some(first) => faults.push(Fault::new(
                    path,
                    format!("{model:?}, which services[{first}] offers"),
                    "each model once, by one service",
                )),
                None => {
                    offered.insert(model, i);
                }
            }
        }
        if service.kind == ServiceKind::Engine && service.models.is_empty() {
            let path = format!("services[{i}].models");
            faults.push(Fault::new(
                path,
                "no model",
                "at least one model for engines",
            ));
        }
    }
}

fn check_role_floors(path: &str, service: &Service, targets: &[&Target], faults: &mut Vec<Fault>) {
    let remaining = targets.iter().filter(|t| t.state != TargetState::Leaving);
    let engines = remaining.count() as u64;
    let floors = service.floors.clone().unwrap_or_default();
    let sum = u64::from(floors.prefill) + u64::from(floors.decode);
    if sum > engines {
        faults.push(Fault::new(
            format!("{path}.floors"),
            format!("{} prefill and {} decode", floors.prefill, floors.decode),
            format!("at most {engines} in all, the engines that are not leaving"),
        ));
    }
    for (role, name, floor) in [
        (Role::Prefill, "prefill", floors.prefill),
        (Role::Decode, "decode", floors.decode),
    ] {
        let used = targets.iter().any(|target| target.role == Some(role));
        if used && floor == 0 {
            faults.push(Fault::new(
                format!("{path}.floors.{name}"),
                format!("no floor, though targets have the role {name}"),
                "a whole number from 1",
            ));
        }
    }
}

fn check_plain_service(path: &str, service: &Service, faults: &mut Vec<Fault>) {
    if !service.models.is_empty() {
        let found = format!("{} models", service.models.len());
        faults.push(Fault::new(
            format!("{path}.models"),
            found,
            "none for a plain service",
        ));
    }
    if service.floors.is_some() {
        faults.push(Fault::new(
            format!("{path}.floors"),
            "floors",
            "none for a plain service",
        ));
    }
}

fn check_not_all_leaving(path: &str, targets: &[&Target], faults: &mut Vec<Fault>) {
    let all_leave = targets.iter().all(|t| t.state == TargetState::Leaving);
    if !targets.is_empty() && all_leave {
        faults.push(Fault::new(
            path,
            format!("all {} targets leaving", targets.len()),
            "at least one target that stays, or no target",
        ));
    }
}

fn check_scaling(path: &str, service: &Service, faults: &mut Vec<Fault>) {
    if let Some(scaling) = &service.scaling
        && scaling.min > scaling.max
    {
        faults.push(Fault::new(
            format!("{path}.scaling"),
            format!("from {} to {} targets", scaling.min, scaling.max),
            "a min of at most the max",
        ));
    }
}
