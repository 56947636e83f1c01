//! Settings file of a target process: its backend, addresses and drain timeout.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumlug::TargetName;

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, read_metrics_addr,
};
use super::error::SettingsError;
use super::file::RoleSettings;
use super::numbers::parse_millis;
use super::reader::{Reader, Section, parse_addr, parse_text};

/// Default time that a planned stop or change waits for work in flight.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(120);

const TARGET: Section = Section {
    name: "target",
    keys: &["name", "slot", "listen", "kind", "peer", "drain_ms"],
};

const PLATFORM: Section = Section {
    name: "platform",
    keys: &["vm_list", "instance"],
};

/// Location of the platform's VM list and of this VM's row in it.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSettings {
    pub(crate) vm_list: SocketAddr,
    /// Instance of this VM, which distinguishes it from earlier VMs of the same name.
    pub(crate) instance: String,
}

/// Kind of server that a target process passes requests to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain application server.
    Service,
}

/// Settings of a target process.
#[derive(Clone, Debug)]
pub(crate) struct TargetSettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) mesh: MeshSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Name of the target in the fleet document.
    pub(crate) name: TargetName,
    /// Local address that only one target process of this VM can hold.
    pub(crate) slot: SocketAddr,
    /// Address on which the target process accepts connections from entries.
    pub(crate) listen: SocketAddr,
    pub(crate) kind: BackendKind,
    /// Address of the engine or plain service that the target process serves.
    pub(crate) backend_addr: SocketAddr,
    /// The platform's VM list, if there is one.
    pub(crate) platform: Option<PlatformSettings>,
    /// Time that a planned stop or change waits for work in flight.
    pub(crate) drain_timeout: Duration,
}

impl RoleSettings for TargetSettings {
    const RELOADED: &'static [&'static str] = &[];

    fn sections() -> Vec<Section> {
        vec![PROCESS, LOG, MESH, METRICS, TARGET, PLATFORM]
    }

    fn read(reader: &Reader) -> Result<TargetSettings, SettingsError> {
        let allowed_name = "the target's name in the fleet document";
        let allowed_drain_ms = "a number of milliseconds above 0";
        Ok(TargetSettings {
            process: ProcessSettings::read(reader)?,
            log: LogSettings::read(reader)?,
            mesh: MeshSettings::read(reader)?,
            metrics: read_metrics_addr(reader)?,
            name: reader.required("target", "name", allowed_name, parse_text)?,
            slot: reader.required("target", "slot", "IP:PORT", parse_addr)?,
            listen: reader.required("target", "listen", "IP:PORT", parse_addr)?,
            kind: reader.required("target", "kind", "engine or service", parse_backend_kind)?,
            backend_addr: reader.required("target", "peer", "IP:PORT", parse_addr)?,
            drain_timeout: reader
                .optional("target", "drain_ms", allowed_drain_ms, parse_millis)?
                .unwrap_or(DEFAULT_DRAIN_TIMEOUT),
            platform: read_platform(reader)?,
        })
    }
}

impl TargetSettings {
    /// Returns settings with the default limits.
    pub(crate) fn with_defaults(
        process: ProcessSettings,
        log: LogSettings,
        mesh: MeshSettings,
        name: &str,
        kind: BackendKind,
        addresses: (SocketAddr, SocketAddr),
    ) -> TargetSettings {
        let (listen, backend_addr) = addresses;
        TargetSettings {
            process,
            log,
            mesh,
            metrics: None,
            name: name.to_string(),
            slot: SocketAddr::from(([127, 0, 0, 1], 0)),
            listen,
            kind,
            backend_addr,
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
            platform: None,
        }
    }
}

fn read_platform(reader: &Reader) -> Result<Option<PlatformSettings>, SettingsError> {
    if !reader.has_section("platform") {
        return Ok(None);
    }
    let allowed_instance = "this VM's instance as the VM list shows it";
    Ok(Some(PlatformSettings {
        vm_list: reader.required("platform", "vm_list", "IP:PORT", parse_addr)?,
        instance: reader.required("platform", "instance", allowed_instance, parse_text)?,
    }))
}

fn parse_backend_kind(text: &str) -> Option<BackendKind> {
    match text {
        "engine" => Some(BackendKind::Engine),
        "service" => Some(BackendKind::Service),
        _ => None,
    }
}
