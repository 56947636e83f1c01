//! Settings of a gateway.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, metrics_listen,
};
use super::error::SettingsError;
use super::reader::{Reader, Section, addr, count};

/// Open connections of callers where the settings name no limit.
const DEFAULT_CONNECTIONS: usize = 2048;

/// Further sends for each request where the settings name no ratio.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Window of the retry ratio where the settings name none.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Sends beyond the share where the settings name none: two for each of some processes.
const DEFAULT_RETRY_SLACK: f64 = 50.0;

/// Time for a planned stop where the settings name none.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);

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
    ],
};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) mesh: MeshSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Address for callers.
    pub(crate) listen: SocketAddr,
    /// Address on which readiness is told.
    pub(crate) ready: SocketAddr,
    /// Address for other gateways.
    pub(crate) mesh_listen: SocketAddr,
    /// The platform's list of live targets, read where no control replica tells of them.
    pub(crate) target_list: SocketAddr,
    /// Most open connections of callers.
    pub(crate) max_connections: usize,
    /// Further sends for each request within the window.
    pub(crate) retry_ratio: f64,
    pub(crate) retry_window: Duration,
    /// Sends beyond that share that all gateways together may make within the window.
    pub(crate) retry_slack: f64,
    /// Time from the request to stop until the process is killed.
    pub(crate) grace: Duration,
}

impl GatewaySettings {
    /// Reads and checks a file.
    pub(crate) fn read(path: &Path) -> Result<GatewaySettings, SettingsError> {
        let reader = Reader::open(path, &[PROCESS, LOG, MESH, METRICS, GATEWAY])?;
        let whole = "a whole number from 1";
        let connections = reader.optional("gateway", "max_connections", whole, count)?;
        let ratio = reader.optional("gateway", "retry_ratio", "a number from 0", non_negative)?;
        let time = "a number of seconds above 0";
        let window = reader.optional("gateway", "retry_window_s", time, seconds)?;
        let slack = reader.optional("gateway", "retry_slack", "a number from 0", non_negative)?;
        let grace = reader.optional("gateway", "grace_s", time, seconds)?;
        Ok(GatewaySettings {
            process: ProcessSettings::read(&reader)?,
            log: LogSettings::read(&reader)?,
            mesh: MeshSettings::read(&reader)?,
            metrics: metrics_listen(&reader)?,
            listen: reader.required("gateway", "listen", "IP:PORT", addr)?,
            ready: reader.required("gateway", "ready", "IP:PORT", addr)?,
            mesh_listen: reader.required("gateway", "mesh_listen", "IP:PORT", addr)?,
            target_list: reader.required("gateway", "target_list", "IP:PORT", addr)?,
            max_connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
            retry_ratio: ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            retry_window: window.unwrap_or(DEFAULT_RETRY_WINDOW),
            retry_slack: slack.unwrap_or(DEFAULT_RETRY_SLACK),
            grace: grace.unwrap_or(DEFAULT_GRACE),
        })
    }
}

fn non_negative(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let duration = Duration::try_from_secs_f64(seconds).ok()?;
    (!duration.is_zero()).then_some(duration)
}
