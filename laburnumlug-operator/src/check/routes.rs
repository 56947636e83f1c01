//! Checks of routes: their services, their weights, and that no two routes have the same host and prefix.

use std::collections::{HashMap, HashSet};

use laburnumlug::{FleetDocument, Route};

use super::describe_allowed_names;
use crate::fault::Fault;

pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let services: HashSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let mut seen: HashMap<(&str, &str), usize> = HashMap::new();
    for (i, route) in document.routes.iter().enumerate() {
        let path = format!("routes[{i}]");
        match seen.get(&(route.host.as_str(), route.prefix.as_str())) {
            Some(first) => faults.push(Fault::new(
                path.clone(),
                format!("{} {}, which routes[{first}] has", route.host, route.prefix),
                "a host and prefix of its own",
            )),
            None => {
                seen.insert((&route.host, &route.prefix), i);
            }
        }
        check_host_and_prefix(&path, route, faults);
        for (j, share) in route.shares.iter().enumerate() {
            if !services.contains(share.service.as_str()) {
                let allowed = describe_allowed_names(document.services.iter().map(|s| &s.name));
                faults.push(Fault::new(
                    format!("{path}.shares[{j}].service"),
                    format!("{:?}", share.service),
                    allowed,
                ));
            }
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 || !total.is_finite() {
            faults.push(Fault::new(
                format!("{path}.shares"),
                format!("weights that add up to {total}"),
                "a sum above 0",
            ));
        }
    }
}

fn check_host_and_prefix(path: &str, route: &Route, faults: &mut Vec<Fault>) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(Fault::new(
            format!("{path}.prefix"),
            format!("{:?}", route.prefix),
            "a path that begins and ends with a slash",
        ));
    }
    if route.host.is_empty() {
        faults.push(Fault::new(
            format!("{path}.host"),
            "nothing".to_string(),
            "the name of a host",
        ));
    }
}
