//! Settings that all roles share.

use std::net::SocketAddr;
use std::path::PathBuf;

use laburnumlug::{VmName, ZoneName};
use laburnumlug_mesh::MeshKey;

use super::error::SettingsError;
use super::numbers::parse_count;
use super::reader::{Reader, Section, parse_addr, parse_addrs, parse_text};

/// Share of the machine's memory that may be held of what arrives from outside. Buffers that grow by doubling may take
/// twice as much, and the rest is for the process itself and for its sockets.
const MEMORY_SHARE: usize = 4;

/// Memory budget of a machine that does not state its memory, in bytes.
const DEFAULT_MEMORY_BUDGET: usize = 64 * 1024 * 1024;

// Sections that the settings file of any role may have.
pub(super) const PROCESS: Section = Section {
    name: "process",
    keys: &["vm", "zone", "memory_budget_mb", "rendered"],
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

/// Where the process runs.
#[derive(Clone, Debug)]
pub(crate) struct ProcessSettings {
    pub(crate) vm: VmName,
    pub(crate) zone: ZoneName,
    /// Number of bytes that may be held of what arrives from outside.
    pub(crate) memory_budget: usize,
}

/// Settings of the log.
#[derive(Clone, Debug)]
pub(crate) struct LogSettings {
    pub(crate) level: log::LevelFilter,
    /// File that the log is written to, if any.
    pub(crate) file: Option<PathBuf>,
    /// Stream that the log is written to if there is no file.
    pub(crate) output: LogOutput,
}

/// Standard stream that the log is written to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LogOutput {
    #[default]
    StandardError,
    StandardOutput,
}

/// Settings of the mesh connections to the control replicas.
#[derive(Clone, Debug)]
pub(crate) struct MeshSettings {
    pub(crate) key: MeshKey,
    /// Addresses of control processes, from which the replicas are found.
    pub(crate) control: Vec<SocketAddr>,
}

impl ProcessSettings {
    pub(super) fn read(reader: &Reader) -> Result<ProcessSettings, SettingsError> {
        let allowed_count = "a whole number from 1";
        let megabytes =
            reader.optional("process", "memory_budget_mb", allowed_count, parse_count)?;
        Ok(ProcessSettings {
            memory_budget: megabytes.map_or_else(default_memory_budget, |megabytes| {
                megabytes.saturating_mul(1024 * 1024)
            }),
            vm: reader.required("process", "vm", "the VM's name", parse_text)?,
            zone: reader.required(
                "process",
                "zone",
                "the availability zone's name",
                parse_text,
            )?,
        })
    }
}

impl LogSettings {
    pub(super) fn read(reader: &Reader) -> Result<LogSettings, SettingsError> {
        let allowed_levels = "off, error, warn, info, debug or trace";
        let level = reader.optional("log", "level", allowed_levels, |text| text.parse().ok())?;
        let file = reader.optional("log", "file", "a path", parse_text)?;
        Ok(LogSettings {
            level: level.unwrap_or(log::LevelFilter::Info),
            file: file.map(PathBuf::from),
            output: reader
                .optional("log", "output", "stdout or stderr", parse_log_output)?
                .unwrap_or_default(),
        })
    }
}

impl MeshSettings {
    pub(super) fn read(reader: &Reader) -> Result<MeshSettings, SettingsError> {
        let key = reader.required(
            "mesh",
            "key",
            "the key that all processes share",
            parse_text,
        )?;
        let allowed_addrs = "IP:PORT of each control replica, separated by commas";
        let mut control: Vec<SocketAddr> =
            reader.required("mesh", "control", allowed_addrs, parse_addrs)?;
        let allowed_port = "the port of all control replicas, where the list gives another";
        if let Some(port) =
            reader.optional("mesh", "port", allowed_port, |text| text.parse().ok())?
        {
            control.iter_mut().for_each(|addr| addr.set_port(port));
        }
        Ok(MeshSettings {
            key: MeshKey::new(&key),
            control,
        })
    }
}

/// Returns the memory budget of a process that has its machine to itself.
pub(crate) fn default_memory_budget() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    parse_total_memory(&text).map_or(DEFAULT_MEMORY_BUDGET, |bytes| bytes / MEMORY_SHARE)
}

/// Returns the memory that `/proc/meminfo` states, in bytes.
fn parse_total_memory(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}

fn parse_log_output(text: &str) -> Option<LogOutput> {
    match text {
        "stderr" => Some(LogOutput::StandardError),
        "stdout" => Some(LogOutput::StandardOutput),
        _ => None,
    }
}

pub(super) fn read_metrics_addr(reader: &Reader) -> Result<Option<SocketAddr>, SettingsError> {
    reader.optional("metrics", "listen", "IP:PORT", parse_addr)
}

#[cfg(test)]
#[path = "common_tests.rs"]
mod tests;
