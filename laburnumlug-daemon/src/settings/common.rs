//! Settings that all roles share.

use std::net::SocketAddr;
use std::path::PathBuf;

use laburnumlug::{VmName, ZoneName};
use laburnumlug_mesh::MeshKey;

use super::error::SettingsError;
use super::reader::{Reader, Section, addr, addrs, text};

/// Sections that every role's file may have.
pub(super) const PROCESS: Section = Section {
    name: "process",
    keys: &["vm", "zone"],
};
pub(super) const LOG: Section = Section {
    name: "log",
    keys: &["level", "file", "output"],
};
pub(super) const METRICS: Section = Section {
    name: "metrics",
    keys: &["listen"],
};
pub(super) const MESH: Section = Section {
    name: "mesh",
    keys: &["key", "control", "port"],
};

/// Which process this is.
#[derive(Clone, Debug)]
pub(crate) struct ProcessSettings {
    pub(crate) vm: VmName,
    pub(crate) zone: ZoneName,
}

/// How the process logs.
#[derive(Clone, Debug)]
pub(crate) struct LogSettings {
    pub(crate) level: log::LevelFilter,
    /// File for the log, where there is one.
    pub(crate) file: Option<PathBuf>,
    /// Where the log goes without a file.
    pub(crate) output: LogOutput,
}

/// Stream of the process that takes the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LogOutput {
    #[default]
    StandardError,
    StandardOutput,
}

/// How the process reaches the control replicas.
#[derive(Clone, Debug)]
pub(crate) struct MeshSettings {
    pub(crate) key: MeshKey,
    /// Addresses of all control replicas.
    pub(crate) control: Vec<SocketAddr>,
}

impl ProcessSettings {
    pub(super) fn read(reader: &Reader) -> Result<ProcessSettings, SettingsError> {
        Ok(ProcessSettings {
            vm: reader.required("process", "vm", "the VM's name", text)?,
            zone: reader.required("process", "zone", "the availability zone's name", text)?,
        })
    }
}

impl LogSettings {
    pub(super) fn read(reader: &Reader) -> Result<LogSettings, SettingsError> {
        let allowed = "off, error, warn, info, debug or trace";
        let level = reader.optional("log", "level", allowed, |text| text.parse().ok())?;
        let file = reader.optional("log", "file", "a path", text)?;
        Ok(LogSettings {
            level: level.unwrap_or(log::LevelFilter::Info),
            file: file.map(PathBuf::from),
            output: reader
                .optional("log", "output", "stdout or stderr", log_output)?
                .unwrap_or_default(),
        })
    }
}

impl MeshSettings {
    pub(super) fn read(reader: &Reader) -> Result<MeshSettings, SettingsError> {
        let key = reader.required("mesh", "key", "the key that all processes share", text)?;
        let allowed = "IP:PORT of each control replica, separated by commas";
        let mut control: Vec<SocketAddr> = reader.required("mesh", "control", allowed, addrs)?;
        let port = "the port of all control replicas, where the list gives another";
        if let Some(port) = reader.optional("mesh", "port", port, |text| text.parse().ok())? {
            control.iter_mut().for_each(|addr| addr.set_port(port));
        }
        Ok(MeshSettings {
            key: MeshKey::new(&key),
            control,
        })
    }
}

fn log_output(text: &str) -> Option<LogOutput> {
    match text {
        "stderr" => Some(LogOutput::StandardError),
        "stdout" => Some(LogOutput::StandardOutput),
        _ => None,
    }
}

pub(super) fn metrics_listen(reader: &Reader) -> Result<Option<SocketAddr>, SettingsError> {
    reader.optional("metrics", "listen", "IP:PORT", addr)
}
