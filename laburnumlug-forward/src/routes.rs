//! Route table built from one version of the fleet document.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug::{
    CallerLimits, EngineTraits, FleetDocument, FleetVersion, Repetition, Route, ServiceName,
};

use crate::customers::CustomerTable;

/// Latency objective of routes that do not configure one.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// Shortest gap between two events after which callers abandon a stream.
const MIN_ABANDONED_GAP: Duration = Duration::from_secs(2);

/// Multiple of the latency objective that callers wait for the next event of a stream.
const GAP_OBJECTIVE_MULTIPLE: u32 = 4;

/// Multiple of the longest on-time pause that callers wait for the next event of a stream.
const GAP_PAUSE_MULTIPLE: u32 = 8;

/// A route, prepared for request matching.
#[derive(Debug)]
pub(crate) struct RouteEntry {
    pub(crate) name: String,
    prefix: String,
    pub(crate) repetition: Repetition,
    pub(crate) resumable: bool,
    pub(crate) timeout: Duration,
    pub(crate) latency_objective: Duration,
    /// Gap between two events after which callers abandon a stream.
    pub(crate) abandoned_gap: Duration,
    pub(crate) rank: u32,
    pub(crate) max_attempts: u32,
    /// Whether requests without an API key are served.
    pub(crate) is_anonymous: bool,
    /// Services and their positive weights.
    shares: Vec<(ServiceName, f64)>,
}

impl RouteEntry {
    fn new(route: &Route) -> RouteEntry {
        let latency_objective = route.aim_ms.map_or(DEFAULT_LATENCY_OBJECTIVE, |ms| {
            Duration::from_millis(ms.get())
        });
        let pause = route.pause_ms.map_or(0, |ms| ms.get());
        RouteEntry {
            name: route.name.clone(),
            prefix: route.prefix.clone(),
            repetition: route.repetition,
            resumable: route.resumable,
            timeout: Duration::from_millis(route.timeout_ms.get()),
            latency_objective,
            abandoned_gap: MIN_ABANDONED_GAP
                .max(latency_objective.saturating_mul(GAP_OBJECTIVE_MULTIPLE))
                .max(Duration::from_millis(pause).saturating_mul(GAP_PAUSE_MULTIPLE)),
            rank: route.rank,
            max_attempts: route.attempts.get(),
            is_anonymous: route.anonymous.unwrap_or(false),
            shares: route
                .shares
                .iter()
                .filter(|share| share.weight > 0.0)
                .map(|share| (share.service.clone(), share.weight))
                .collect(),
        }
    }

    /// Picks the service for a request by weight, or `None` if no weight is positive; `sample` is uniform in [0, 1).
    pub(crate) fn pick_service(&self, sample: f64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.1).sum();
        let mut left = sample * total;
        for (service, weight) in &self.shares {
            left -= weight;
            if left < 0.0 {
                return Some(service);
            }
        }
        self.shares.last().map(|share| &share.0)
    }

    /// Returns whether a request may be executed more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.repetition {
            Repetition::Safe => true,
            Repetition::Stream => self.resumable,
            Repetition::Unsafe => false,
        }
    }
}

/// Routes and service settings of one version of the fleet document.
#[derive(Debug)]
pub(crate) struct RouteTable {
    pub(crate) version: FleetVersion,
    pub(crate) limits: CallerLimits,
    /// Customers, or `None` if requests need no API keys.
    pub(crate) customers: Option<CustomerTable>,
    /// Routes by lower-case host, longest prefix first.
    hosts: HashMap<String, Vec<Rc<RouteEntry>>>,
    engines: HashMap<ServiceName, EngineTraits>,
    health_paths: HashMap<ServiceName, String>,
}

impl RouteTable {
    pub(crate) fn new(version: FleetVersion, document: &FleetDocument) -> RouteTable {
        let mut hosts: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for route in &document.routes {
            let entries = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            entries.push(Rc::new(RouteEntry::new(route)));
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
        let engines = document.services.iter().filter_map(|service| {
            let engine = service.forwarding.as_ref()?.engine.clone()?;
            Some((service.name.clone(), engine))
        });
        let health_paths = document.services.iter().filter_map(|service| {
            let path = service.forwarding.as_ref()?.health_path.clone()?;
            Some((service.name.clone(), path))
        });
        RouteTable {
            version,
            customers: document.customers.as_deref().map(CustomerTable::new),
            limits: document.caller_limits.clone().unwrap_or_default(),
            engines: engines.collect(),
            health_paths: health_paths.collect(),
            hosts,
        }
    }

    /// Returns the route with the longest matching prefix; a host with a port also matches routes without one.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        let host = host.to_ascii_lowercase();
        let entries = match (self.hosts.get(&host), host.rsplit_once(':')) {
            (Some(entries), _) => entries,
            (None, Some((name, _))) => self.hosts.get(name)?,
            (None, None) => return None,
        };
        entries
            .iter()
            .find(|entry| path.starts_with(&entry.prefix))
            .cloned()
    }

    /// Returns the health check path configured for a service.
    pub(crate) fn health_path(&self, service: &str) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// Returns the engine settings of a service, or `None` for a plain service.
    pub(crate) fn engine_traits(&self, service: &str) -> Option<&EngineTraits> {
        self.engines.get(service)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table() -> RouteTable {
        let document = serde_json::json!({
            "name": "g", "models": [], "targets": [],
            "services": [{ "name": "a", "kind": "plain" }, { "name": "b", "kind": "plain" }],
            "routes": [
                { "name": "wide", "host": "h.example", "prefix": "/x/", "repetition": "safe",
                  "timeout_ms": 100, "shares": [{ "service": "a", "weight": 9 }, { "service": "b", "weight": 1 }] },
                { "name": "narrow", "host": "h.example", "prefix": "/x/y/", "repetition": "unsafe",
                  "timeout_ms": 100, "shares": [{ "service": "b", "weight": 1 }, { "service": "a", "weight": 0 }] }
            ]
        });
        RouteTable::new(1, &serde_json::from_value(document).unwrap())
    }

    #[test]
    fn find_longest_prefix() {
        let table = table();
        let name = |host, path| table.find(host, path).map(|entry| entry.name.clone());
        assert_eq!(name("h.example", "/x/y/z").as_deref(), Some("narrow"));
        assert_eq!(name("H.example:8080", "/x/yz").as_deref(), Some("wide"));
        assert_eq!(name("h.example", "/x"), None);
        assert_eq!(name("other.example", "/x/"), None);
    }

    #[test]
    fn pick_service_by_weight() {
        let table = table();
        let wide = table.find("h.example", "/x/").unwrap();
        assert_eq!(wide.pick_service(0.0).unwrap(), "a");
        assert_eq!(wide.pick_service(0.89).unwrap(), "a");
        assert_eq!(wide.pick_service(0.91).unwrap(), "b");
        let narrow = table.find("h.example", "/x/y/").unwrap();
        assert_eq!(narrow.pick_service(0.999).unwrap(), "b");
    }
}
