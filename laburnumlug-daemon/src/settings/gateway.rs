//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, read_metrics_addr,
};
use super::error::SettingsError;
use super::file::RoleSettings;
use super::numbers::{parse_count, parse_millis, parse_non_negative, parse_seconds, parse_window};
use super::reader::{Reader, Section, parse_addr};

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

/// Age of the last confirmation up to which API keys are accepted if the platform's limit is not allowed: revoked keys must be
/// refused at some time.
const SUBSTITUTE_MAX_KEY_AGE: Duration = Duration::from_secs(2);

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

impl RoleSettings for GatewaySettings {
    const RELOADED: &'static [&'static str] = &[
        "[mesh] control",
        "[gateway] retry_ratio",
        "[gateway] retry_window_s",
        "[gateway] retry_slack",
        "[gateway] grace_s",
        "[gateway] max_key_age_ms",
        "[gateway] max_route_age_ms",
    ];

    fn sections() -> Vec<Section> {
        vec![PROCESS, LOG, MESH, METRICS, GATEWAY]
    }

    fn read(reader: &Reader) -> Result<GatewaySettings, SettingsError> {
        let non_negative = |key, default| {
            let limit = reader.limit(
                "gateway",
                key,
                "a number from 0",
                parse_non_negative,
                default,
            )?;
            Ok(limit.unwrap_or(default))
        };
        let seconds = |key, default| {
            let allowed = "a number of seconds above 0";
            let limit = reader.limit("gateway", key, allowed, parse_seconds, default)?;
            Ok(limit.unwrap_or(default))
        };
        let age = |key, substitute| {
            let allowed = "a number of milliseconds above 0, or nothing";
            reader.limit(
                "gateway",
                key,
                allowed,
                parse_optional_millis,
                Some(substitute),
            )
        };
        let allowed_count = "a whole number from 1";
        let connections =
            reader.optional("gateway", "max_connections", allowed_count, parse_count)?;
        let max_key_age = age("max_key_age_ms", SUBSTITUTE_MAX_KEY_AGE)?;
        let max_route_age = age("max_route_age_ms", DEFAULT_MAX_ROUTE_AGE)?;
        let allowed_window = "a number of seconds from 0.001";
        let usage_window = reader.limit(
            "gateway",
            "usage_window_s",
            allowed_window,
            |text| parse_window(text).map(Some),
            None,
        )?;
        Ok(GatewaySettings {
            process: ProcessSettings::read(reader)?,
            log: LogSettings::read(reader)?,
            mesh: MeshSettings::read(reader)?,
            metrics: read_metrics_addr(reader)?,
            listen: reader.required("gateway", "listen", "IP:PORT", parse_addr)?,
            ready: reader.required("gateway", "ready", "IP:PORT", parse_addr)?,
            mesh_listen: reader.required("gateway", "mesh_listen", "IP:PORT", parse_addr)?,
            target_list: reader.required("gateway", "target_list", "IP:PORT", parse_addr)?,
            max_connections: connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            retry_ratio: non_negative("retry_ratio", DEFAULT_RETRY_RATIO)?,
            retry_window: seconds("retry_window_s", DEFAULT_RETRY_WINDOW)?,
            retry_slack: non_negative("retry_slack", DEFAULT_RETRY_SLACK)?,
            grace_period: seconds("grace_s", DEFAULT_GRACE_PERIOD)?,
            max_key_age: max_key_age.flatten(),
            max_route_age: max_route_age.flatten().unwrap_or(DEFAULT_MAX_ROUTE_AGE),
            usage_window: usage_window.flatten(),
        })
    }
}

/// Parses a number of milliseconds; an empty text, as a template without that bound leaves it, is no number.
fn parse_optional_millis(text: &str) -> Option<Option<Duration>> {
    match text {
        "" => Some(None),
        _ => parse_millis(text).map(Some),
    }
}

#[cfg(test)]
#[path = "gateway_tests.rs"]
mod tests;
