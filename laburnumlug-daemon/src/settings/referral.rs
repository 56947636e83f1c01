//! Settings of a control process on a VM without a disk.

use std::net::SocketAddr;
use std::path::Path;

use super::common::{LOG, LogSettings, MESH, METRICS, PROCESS, ProcessSettings};
use super::control::CONTROL;
use super::error::SettingsError;
use super::reader::{Reader, addr, addrs};

/// Settings of a control process that holds no replica.
#[derive(Clone, Debug)]
pub(crate) struct ReferralSettings {
    pub(crate) process: ProcessSettings,
    pub(crate) log: LogSettings,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Operators' addresses of other control processes.
    pub(crate) others: Vec<SocketAddr>,
}

impl ReferralSettings {
    /// Reads and checks a file; `None` where it names a data folder, and so a replica.
    pub(crate) fn read(path: &Path) -> Result<Option<ReferralSettings>, SettingsError> {
        let reader = Reader::open(path, &[PROCESS, LOG, MESH, METRICS, CONTROL])?;
        let others = "IP:PORT of other control processes, separated by commas";
        let data = reader.optional("control", "data", "the path of a folder", |text| {
            Some(!text.is_empty())
        })?;
        let others = reader.optional("control", "others", others, addrs)?;
        match (data, others) {
            (Some(true), _) | (_, None) => Ok(None),
            (_, Some(others)) => Ok(Some(ReferralSettings {
                process: ProcessSettings::read(&reader)?,
                log: LogSettings::read(&reader)?,
                operators: reader.required("control", "operators", "IP:PORT", addr)?,
                others,
            })),
        }
    }
}
