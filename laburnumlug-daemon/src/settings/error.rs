//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;

/// Error in a settings file: what was found, and what is allowed there.
#[derive(Debug)]
pub struct SettingsError {
    pub(crate) file: PathBuf,
    /// Line in the file, counted from 1, if known.
    pub(crate) line: Option<usize>,
    /// Section and key, if any.
    pub(crate) location: Option<String>,
    pub(crate) found: String,
    pub(crate) allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(location) = &self.location {
            write!(f, ": {location}")?;
        }
        write!(f, ": found {}, allowed: {}", self.found, self.allowed)
    }
}

impl std::error::Error for SettingsError {}
