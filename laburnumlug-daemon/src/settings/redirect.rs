//! Settings of a control process on a VM without a disk.

use std::net::SocketAddr;
use std::path::Path;

use super::common::{LOG, LogSettings, MESH, METRICS, PROCESS, ProcessSettings};
use super::control::CONTROL;
use super::error::SettingsError;
use super::reader::{Reader, parse_addr, parse_addrs};

/// Settings of a control process that holds no replica.
#[derive(Clone, Debug)]
pub(crate) struct RedirectSettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    /// Address on which this process accepts connections from operators.
    pub(crate) operators: SocketAddr,
    /// Addresses on which other control processes accept connections from operators.
    pub(crate) others: Vec<SocketAddr>,
}

impl RedirectSettings {
    /// Reads and validates a settings file; returns `None` if it configures a replica by naming a data folder.
    pub(crate) fn read(path: &Path) -> Result<Option<RedirectSettings>, SettingsError> {
        let reader = Reader::open(path, &[PROCESS, LOG, MESH, METRICS, CONTROL])?;
        let allowed_others = "IP:PORT of other control processes, separated by commas";
        let data = reader.optional("control", "data", "the path of a folder", |text| {
            Some(!text.is_empty())
        })?;
        let others = reader.optional("control", "others", allowed_others, parse_addrs)?;
        match (data, others) {
            (Some(true), _) | (_, None) => Ok(None),
            (_, Some(others)) => Ok(Some(RedirectSettings {
                process: ProcessSettings::read(&reader)?,
                log: LogSettings::read(&reader)?,
                operators: reader.required("control", "operators", "IP:PORT", parse_addr)?,
                others,
            })),
        }
    }
}
