//! Settings file of a process.

use std::path::{Path, PathBuf};

use super::error::SettingsError;
use super::reader::{Reader, Section};

/// Settings of a role.
pub(crate) trait RoleSettings: Sized {
    /// Returns the sections that the file may have.
    fn sections() -> Vec<Section>;

    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Fails at the first value that is not allowed and has no substitute.
    fn read(reader: &Reader) -> Result<Self, SettingsError>;
}

/// Settings file of a process, and the settings in it.
pub(crate) struct SettingsFile<T> {
    path: PathBuf,
    settings: T,
    replaced: Vec<SettingsError>,
}

impl<T> SettingsFile<T>
where
    T: RoleSettings,
{
    /// Reads the file of a process that starts.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is malformed or has a value that is not allowed and has no substitute.
    pub(crate) fn open(path: &Path) -> Result<SettingsFile<T>, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| SettingsError {
            file: path.to_path_buf(),
            line: None,
            location: None,
            found: err.to_string(),
            allowed: "a readable UTF-8 file".to_string(),
        })?;
        let reader = Reader::parse(path, text, &T::sections())?;
        let settings = T::read(&reader)?;
        Ok(SettingsFile {
            path: path.to_path_buf(),
            settings,
            replaced: reader.into_replaced(),
        })
    }

    /// Returns the path of the file.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &T {
        &self.settings
    }

    /// Logs the values that were replaced at the start, as soon as the log is open.
    pub(crate) fn log_replaced(&self) {
        for fault in &self.replaced {
            log::error!("a setting is not allowed, using its default: {fault}");
        }
    }
}

#[cfg(test)]
#[path = "file_tests.rs"]
mod tests;
