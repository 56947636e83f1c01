//! Settings of an entry.

use std::net::SocketAddr;

use super::common::{
    LOG, LogSettings, MESH, METRICS, MeshSettings, PROCESS, ProcessSettings, read_metrics_addr,
};
use super::error::SettingsError;
use super::file::RoleSettings;
use super::numbers::parse_count;
use super::reader::{Reader, Section, parse_addr};

/// Default maximum number of open connections of callers.
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// Default maximum size of a request body in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

const ENTRY: Section = Section {
    name: "entry",
    keys: &["listen", "max_connections", "max_body_bytes"],
};

/// Settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) mesh: MeshSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Address on which the entry accepts connections from callers.
    pub(crate) listen: SocketAddr,
    /// Maximum number of open connections of callers.
    pub(crate) max_connections: usize,
    /// Maximum size of a request body in bytes.
    pub(crate) max_body_bytes: usize,
}

impl RoleSettings for EntrySettings {
    const RELOADED: &'static [&'static str] = &[];

    fn sections() -> Vec<Section> {
        vec![PROCESS, LOG, MESH, METRICS, ENTRY]
    }

    fn read(reader: &Reader) -> Result<EntrySettings, SettingsError> {
        let allowed_count = "a whole number from 1";
        let connections =
            reader.optional("entry", "max_connections", allowed_count, parse_count)?;
        let body_bytes = reader.optional("entry", "max_body_bytes", allowed_count, parse_count)?;
        Ok(EntrySettings {
            process: ProcessSettings::read(reader)?,
            log: LogSettings::read(reader)?,
            mesh: MeshSettings::read(reader)?,
            metrics: read_metrics_addr(reader)?,
            listen: reader.required("entry", "listen", "IP:PORT", parse_addr)?,
            max_connections: connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            max_body_bytes: body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
        })
    }
}

impl EntrySettings {
    /// Returns settings with the default limits.
    pub(crate) fn with_defaults(
        process: ProcessSettings,
        log: LogSettings,
        mesh: MeshSettings,
        listen: SocketAddr,
    ) -> EntrySettings {
        EntrySettings {
            process,
            log,
            mesh,
            metrics: None,
            listen,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        }
    }
}
