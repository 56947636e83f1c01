//! Errors that terminate a process.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::settings::SettingsError;

/// Error that terminates a process.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    Settings(SettingsError),
    Bind { addr: SocketAddr, err: io::Error },
    SlotHeld { addr: SocketAddr },
    Control(laburnumlug_control::Error),
    Other(String),
}

impl Error {
    pub(crate) fn bind(addr: SocketAddr, err: io::Error) -> Error {
        Error {
            kind: ErrorKind::Bind { addr, err },
        }
    }

    pub(crate) fn slot_held(addr: SocketAddr) -> Error {
        Error {
            kind: ErrorKind::SlotHeld { addr },
        }
    }

    pub(crate) fn other<E>(err: E) -> Error
    where
        E: fmt::Display,
    {
        Error {
            kind: ErrorKind::Other(err.to_string()),
        }
    }

    /// Returns whether another target process holds the slot.
    pub fn is_slot_held(&self) -> bool {
        matches!(self.kind, ErrorKind::SlotHeld { .. })
    }

    /// Returns whether the settings file is missing or invalid.
    pub fn is_settings(&self) -> bool {
        matches!(self.kind, ErrorKind::Settings(_))
    }
}

impl From<SettingsError> for Error {
    fn from(err: SettingsError) -> Error {
        Error {
            kind: ErrorKind::Settings(err),
        }
    }
}

impl From<laburnumlug_control::Error> for Error {
    fn from(err: laburnumlug_control::Error) -> Error {
        Error {
            kind: ErrorKind::Control(err),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Settings(err) => err.fmt(f),
            ErrorKind::Bind { addr, err } => write!(f, "cannot listen on {addr}: {err}"),
            ErrorKind::SlotHeld { addr } => {
                write!(f, "slot {addr} is held: another target process runs here")
            }
            ErrorKind::Control(err) => err.fmt(f),
            ErrorKind::Other(err) => f.write_str(err),
        }
    }
}

impl std::error::Error for Error {}
