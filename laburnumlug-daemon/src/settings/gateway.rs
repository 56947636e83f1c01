//! Settings of a gateway.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, read_metrics_addr,
};
use super::error::SettingsError;
use super::reader::{Reader, Section, parse_addr, parse_count, parse_seconds, parse_whole_millis};

/// Default maximum number of open connections of callers.
const DEFAULT_MAX_CONNECTIONS: usize = 2048;

/// Default number of retries permitted per request.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Default window over which the retry ratio is measured.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Default number of retries permitted beyond the retry ratio: two for each of several processes.
const DEFAULT_RETRY_SLACK: f64 = 50.0;

/// Default time between the request to stop and the forced termination of the process.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Default time after its acknowledgement in which a change is in force at gateways that reach control.
const DEFAULT_MAX_ROUTE_AGE: Duration = Duration::from_secs(2);

const GATEWAY: Section = Section {
    name: "gateway",
    keys: &[
        "listen",
        "ready",
        "mesh_listen",
        "target_list",
        "max_connections",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
        "grace_s",
        "max_key_age_ms",
        "max_route_age_ms",
        "usage_window_s",
    ],
};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) mesh: MeshSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Address on which the gateway accepts connections from callers.
    pub(crate) listen: SocketAddr,
    /// Address of the readiness probe.
    pub(crate) ready: SocketAddr,
    /// Address on which the gateway accepts connections from other gateways.
    pub(crate) mesh_listen: SocketAddr,
    /// Address of the platform's list of live targets, which is read if no control replica sends a recent one.
    pub(crate) target_list: SocketAddr,
    /// Maximum number of open connections of callers.
    pub(crate) max_connections: usize,
    /// Number of retries permitted per request within the window.
    pub(crate) retry_ratio: f64,
    pub(crate) retry_window: Duration,
    /// Number of retries beyond that ratio that all gateways together may make within the window.
    pub(crate) retry_slack: f64,
    /// Time between the request to stop and the forced termination of the process.
    pub(crate) grace_period: Duration,
    /// Age of the last confirmation of the fleet document up to which API keys may be accepted; `None` for any age.
    pub(crate) max_key_age: Option<Duration>,
    /// Age of the last confirmation of the fleet document up to which its routes are obeyed while the control replicas can confirm it.
    pub(crate) max_route_age: Duration,
    /// Length of the windows in which the requests of customers are counted; `None` if they are not.
    pub(crate) usage_window: Option<Duration>,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    pub(crate) fn read(path: &Path) -> Result<GatewaySettings, SettingsError> {
        let reader = Reader::open(path, &[PROCESS, LOG, MESH, METRICS, GATEWAY])?;
        let allowed_count = "a whole number from 1";
        let connections =
            reader.optional("gateway", "max_connections", allowed_count, parse_count)?;
        let ratio = reader.optional(
            "gateway",
            "retry_ratio",
            "a number from 0",
            parse_non_negative,
        )?;
        let allowed_seconds = "a number of seconds above 0";
        let allowed_millis = "a number of seconds, in whole milliseconds and above 0";
        let window =
            reader.optional("gateway", "retry_window_s", allowed_seconds, parse_seconds)?;
        let slack = reader.optional(
            "gateway",
            "retry_slack",
            "a number from 0",
            parse_non_negative,
        )?;
        let grace_period = reader.optional("gateway", "grace_s", allowed_seconds, parse_seconds)?;
        let max_key_age = reader.optional(
            "gateway",
            "max_key_age_ms",
            "a number of milliseconds above 0, or nothing",
            parse_optional_millis,
        )?;
        let max_route_age = reader.optional(
            "gateway",
            "max_route_age_ms",
            "a number of milliseconds above 0, or nothing",
            parse_optional_millis,
        )?;
        Ok(GatewaySettings {
            process: ProcessSettings::read(&reader)?,
            log: LogSettings::read(&reader)?,
            mesh: MeshSettings::read(&reader)?,
            metrics: read_metrics_addr(&reader)?,
            listen: reader.required("gateway", "listen", "IP:PORT", parse_addr)?,
            ready: reader.required("gateway", "ready", "IP:PORT", parse_addr)?,
            mesh_listen: reader.required("gateway", "mesh_listen", "IP:PORT", parse_addr)?,
            target_list: reader.required("gateway", "target_list", "IP:PORT", parse_addr)?,
            max_connections: connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            retry_ratio: ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            retry_window: window.unwrap_or(DEFAULT_RETRY_WINDOW),
            retry_slack: slack.unwrap_or(DEFAULT_RETRY_SLACK),
            grace_period: grace_period.unwrap_or(DEFAULT_GRACE_PERIOD),
            max_key_age: max_key_age.flatten(),
            max_route_age: max_route_age.flatten().unwrap_or(DEFAULT_MAX_ROUTE_AGE),
            usage_window: reader.optional(
                "gateway",
                "usage_window_s",
                allowed_millis,
                parse_whole_millis,
            )?,
        })
    }
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Parses a number of milliseconds; an empty text, as a template without that bound leaves it, is no number.
fn parse_optional_millis(text: &str) -> Option<Option<Duration>> {
    match text {
        "" => Some(None),
        _ => {
            let millis: f64 = text.parse().ok()?;
            let duration = Duration::try_from_secs_f64(millis / 1000.0).ok()?;
            (!duration.is_zero()).then_some(Some(duration))
        }
    }
}

#[cfg(test)]
#[path = "gateway_tests.rs"]
mod tests;
