//! Settings of a control process on a VM without a disk.

use std::net::SocketAddr;

use super::common::{LogSettings, MeshSettings, ProcessSettings, read_metrics_addr};
use super::control::read_may_bootstrap;
use super::error::SettingsError;
use super::reader::{Reader, parse_addr};

/// Settings of a control process that holds no replica.
#[derive(Clone, Debug)]
pub(crate) struct RedirectSettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    pub(crate) metrics: Option<SocketAddr>,
    /// Key of the mesh, and the seeds: control processes of which some may hold no replica either.
    pub(crate) mesh: MeshSettings,
    /// Address on which this process accepts mesh connections.
    pub(crate) listen: SocketAddr,
    /// Address on which this process accepts connections from operators.
    pub(crate) operators: SocketAddr,
    /// Whether this process may agree to the bootstrap of a cluster.
    pub(crate) may_bootstrap: bool,
}

impl RedirectSettings {
    /// Reads and validates the settings; returns `None` if they configure a replica by naming a data folder.
    pub(super) fn read(reader: &Reader) -> Result<Option<RedirectSettings>, SettingsError> {
        let data = reader.optional("control", "data", "the path of a folder", |text| {
            Some(!text.is_empty())
        })?;
        let has_seeds = reader.optional("control", "peers", "mesh", |text| Some(text == "mesh"))?;
        // Settings of earlier versions list other control processes separately.
        let others = reader.optional("control", "others", "any text", |_| Some(()))?;
        if data == Some(true) || (has_seeds != Some(true) && others.is_none()) {
            return Ok(None);
        }
        Ok(Some(RedirectSettings {
            process: ProcessSettings::read(reader)?,
            log: LogSettings::read(reader)?,
            metrics: read_metrics_addr(reader)?,
            mesh: MeshSettings::read(reader)?,
            listen: reader.required("control", "listen", "IP:PORT", parse_addr)?,
            operators: reader.required("control", "operators", "IP:PORT", parse_addr)?,
            may_bootstrap: read_may_bootstrap(reader)?,
        }))
    }
}
