//! Checks of names, versions, zones and addresses.

use std::collections::HashMap;
use std::net::SocketAddr;

use laburnumlug::FleetDocument;

use crate::fault::Fault;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Rule for names, as quoted in validation faults.
const NAME_RULE: &str = "1 to 128 bytes without control characters or blanks at the ends";

/// Rule for service names, which are part of request paths.
const SERVICE_NAME_RULE: &str = "ASCII letters, digits, '-', '_' and '.'";

pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    check_name("name", &document.name, faults);
    check_unique_names("models", document.models.iter().map(|m| &m.name), faults);
    check_unique_names(
        "adapters",
        document.adapters.iter().map(|a| &a.name),
        faults,
    );
    check_unique_names(
        "services",
        document.services.iter().map(|s| &s.name),
        faults,
    );
    check_unique_names("targets", document.targets.iter().map(|t| &t.name), faults);
    check_unique_names("control", document.control.iter().map(|c| &c.name), faults);
    let customers = document.customers.iter().flatten();
    check_unique_names("customers", customers.map(|c| &c.name), faults);
    check_service_names(document, faults);
    check_versions(document, faults);
    check_zones(document, faults);
    check_addresses(document, faults);
}

fn check_unique_names<'a, I>(list: &str, names: I, faults: &mut Vec<Fault>)
where
    I: Iterator<Item = &'a String>,
{
    let mut seen: HashMap<&str, usize> = HashMap::new();
    for (i, name) in names.enumerate() {
        let path = format!("{list}[{i}].name");
        check_name(&path, name, faults);
        match seen.get(name.as_str()) {
            Some(first) => faults.push(Fault::new(
                path,
                format!("{name:?}, which {list}[{first}] has"),
                "a name of its own",
            )),
            None => {
                seen.insert(name, i);
            }
        }
    }
}

fn check_name(path: &str, name: &str, faults: &mut Vec<Fault>) {
    let is_valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.trim() == name
        && !name.chars().any(char::is_control);
    if !is_valid {
        faults.push(Fault::new(path, format!("{name:?}"), NAME_RULE));
    }
}

fn check_service_names(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    for (i, service) in document.services.iter().enumerate() {
        if !service.name.chars().all(is_valid) {
            let path = format!("services[{i}].name");
            faults.push(Fault::new(
                path,
                format!("{:?}", service.name),
                SERVICE_NAME_RULE,
            ));
        }
    }
}

fn check_versions(document: &FleetDocument, faults: &mut Vec<Fault>) {
    for (i, model) in document.models.iter().enumerate() {
        for (j, version) in model.versions.iter().enumerate() {
            let path = format!("models[{i}].versions[{j}]");
            check_name(&path, version, faults);
            if model.versions[..j].contains(version) {
                faults.push(Fault::new(
                    path,
                    format!("{version:?} again"),
                    "each version once",
                ));
            }
        }
        if model.versions.is_empty() {
            let path = format!("models[{i}].versions");
            faults.push(Fault::new(path, "no version", "at least one version"));
        }
    }
}

fn check_zones(document: &FleetDocument, faults: &mut Vec<Fault>) {
    for (i, target) in document.targets.iter().enumerate() {
        check_name(&format!("targets[{i}].zone"), &target.zone, faults);
    }
    for (i, vm) in document.control.iter().enumerate() {
        check_name(&format!("control[{i}].zone"), &vm.zone, faults);
    }
}

fn check_addresses(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let targets = document.targets.iter().map(|target| &target.address);
    let control = document.control.iter().map(|vm| &vm.address);
    let targets = targets
        .enumerate()
        .map(|(i, a)| (format!("targets[{i}]"), a));
    let control = control
        .enumerate()
        .map(|(i, a)| (format!("control[{i}]"), a));
    let mut seen: HashMap<SocketAddr, String> = HashMap::new();
    for (owner, address) in targets.chain(control) {
        let path = format!("{owner}.address");
        match address.parse::<SocketAddr>() {
            Ok(addr) if addr.port() == 0 || addr.ip().is_unspecified() => {
                let allowed = "IP:PORT that others can connect to";
                faults.push(Fault::new(path, format!("{address:?}"), allowed));
            }
            Ok(addr) => match seen.get(&addr) {
                Some(first) => faults.push(Fault::new(
                    path,
                    format!("{addr}, which {first} has"),
                    "an address of its own",
                )),
                None => {
                    seen.insert(addr, owner);
                }
            },
            Err(_) => faults.push(Fault::new(path, format!("{address:?}"), "IP:PORT")),
        }
    }
}
