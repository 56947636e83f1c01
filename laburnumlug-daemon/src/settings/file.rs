//! Settings file of a running process.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use super::error::SettingsError;
use super::reader::{AcceptedTexts, Reader, Section};

/// Settings of a role.
pub(crate) trait RoleSettings: Sized {
    /// Keys whose changed values a running process applies, as `[section] key`; others take effect at its next start.
    const RELOADED: &'static [&'static str];

    /// Returns the sections that the file may have.
    fn sections() -> Vec<Section>;

    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Fails at the first value that is not allowed and has no substitute.
    fn read(reader: &Reader) -> Result<Self, SettingsError>;
}

/// Settings file of a process and the settings in it that are in force.
pub(crate) struct SettingsFile<T> {
    path: PathBuf,
    text: String,
    settings: T,
    accepted: AcceptedTexts,
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
        let reader = Reader::parse(path, text.clone(), &T::sections(), None)?;
        let settings = T::read(&reader)?;
        let (accepted, replaced) = reader.finish();
        Ok(SettingsFile {
            path: path.to_path_buf(),
            text,
            settings,
            accepted,
            replaced,
        })
    }

    /// Returns the path of the file.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the content that was read last.
    pub(crate) fn text(&self) -> &str {
        &self.text
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

    /// Reads the changed content `text` while the process runs; returns whether it has settings to apply.
    ///
    /// A value that is not allowed keeps the previous one; all others take effect.
    pub(crate) fn reload(&mut self, text: String) -> bool {
        self.text = text.clone();
        let previous = Some(self.accepted.clone());
        let result = Reader::parse(&self.path, text, &T::sections(), previous)
            .and_then(|reader| Ok((T::read(&reader)?, reader.finish())));
        match result {
            Ok((settings, (accepted, replaced))) => {
                for fault in &replaced {
                    log::error!(
                        "a changed setting is not allowed, keeping its previous value: {fault}"
                    );
                }
                log_changes(&self.accepted, &accepted, T::RELOADED);
                (self.settings, self.accepted) = (settings, accepted);
                true
            }
            Err(err) => {
                log::error!(
                    "the changed settings file is invalid, keeping the previous settings: {err}"
                );
                false
            }
        }
    }
}

/// Logs which keys have changed, and which of them wait for the next start of the process.
fn log_changes(before: &AcceptedTexts, after: &AcceptedTexts, reloaded: &[&str]) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = keys
        .into_iter()
        .filter(|key| before.get(*key) != after.get(*key));
    let (applied, waiting): (Vec<&String>, Vec<&String>) =
        changed.partition(|key| reloaded.contains(&key.as_str()));
    let join = |keys: Vec<&String>| {
        let keys: Vec<&str> = keys.into_iter().map(String::as_str).collect();
        keys.join(", ")
    };
    log::info!(
        applied = join(applied).as_str(), after_restart = join(waiting).as_str();
        "the settings file has changed"
    );
}

#[cfg(test)]
#[path = "file_tests.rs"]
mod tests;
