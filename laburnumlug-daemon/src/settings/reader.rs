//! Reader of INI files that rejects unknown sections and keys.
//!
//! A file that an operator writes is rejected as a whole for its first fault, before the process starts. Where that would leave
//! callers without a process, the faulty key alone is replaced: a limit that the platform filled in by its default, and any
//! key of a file that changes while the process runs by its previous value.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ini::Ini;

use super::error::SettingsError;

/// A known section and its known keys.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Section {
    pub(super) name: &'static str,
    pub(super) keys: &'static [&'static str],
}

/// Texts that were accepted as values, by their location in the file.
pub(super) type AcceptedTexts = BTreeMap<String, String>;

/// A settings file whose sections and keys are all known.
pub(crate) struct Reader {
    path: PathBuf,
    text: String,
    ini: Ini,
    /// Whether the platform filled in the file from a template.
    is_rendered: bool,
    /// Texts that were accepted before the file changed; `None` if the process starts.
    previous: Option<AcceptedTexts>,
    accepted: RefCell<AcceptedTexts>,
    /// Faults whose keys were replaced.
    replaced: RefCell<Vec<SettingsError>>,
}

impl Reader {
    /// Parses the file at `path` with the content `text`; `previous` are the texts that were accepted before it changed.
    ///
    /// # Errors
    ///
    /// Fails if the text is no INI file or, unless it changed, has an unknown section or key.
    pub(super) fn parse(
        path: &Path,
        text: String,
        sections: &[Section],
        previous: Option<AcceptedTexts>,
    ) -> Result<Reader, SettingsError> {
        let malformed = |line: usize, found: String| SettingsError {
            file: path.to_path_buf(),
            line: Some(line),
            location: None,
            found,
            allowed: "lines of the forms [section], key = value and ; comment".to_string(),
        };
        // Without this check, the INI parser would treat the following lines as part of the section name.
        let is_unclosed = |line: &str| line.trim().starts_with('[') && !line.contains(']');
        if let Some(i) = text.lines().position(is_unclosed) {
            return Err(malformed(
                i + 1,
                "a section header without a closing bracket".to_string(),
            ));
        }
        let ini = Ini::load_from_str(&text)
            .map_err(|err| malformed(err.line + 1, err.msg.to_string()))?;
        let mut reader = Reader {
            path: path.to_path_buf(),
            text,
            ini,
            is_rendered: false,
            previous,
            accepted: RefCell::default(),
            replaced: RefCell::default(),
        };
        if let Err(fault) = reader.check_known_names(sections) {
            reader.reject(fault)?;
        }
        let is_rendered = reader.optional("process", "rendered", "yes or no", parse_yes_or_no)?;
        reader.is_rendered = is_rendered.unwrap_or(false);
        Ok(reader)
    }

    /// Returns whether the platform filled in the file from a template.
    pub(super) fn is_rendered(&self) -> bool {
        self.is_rendered
    }

    /// Returns the accepted texts, and the faults whose keys were replaced.
    pub(super) fn finish(self) -> (AcceptedTexts, Vec<SettingsError>) {
        (self.accepted.into_inner(), self.replaced.into_inner())
    }

    /// Records a fault that a running process bears.
    ///
    /// # Errors
    ///
    /// Returns the fault if the process has yet to start.
    pub(super) fn reject(&self, fault: SettingsError) -> Result<(), SettingsError> {
        match self.previous {
            Some(_) => self.replaced.borrow_mut().push(fault),
            None => return Err(fault),
        }
        Ok(())
    }

    fn check_known_names(&self, sections: &[Section]) -> Result<(), SettingsError> {
        for (name, properties) in self.ini.iter() {
            let name = name.unwrap_or("");
            let known = sections.iter().find(|section| section.name == name);
            let mut keys = properties.iter().map(|(key, _)| key);
            match known {
                None if name.is_empty() => {
                    if let Some(key) = keys.next() {
                        let allowed = "keys below a [section]".to_string();
                        return Err(self.error_at(name, Some(key), key.to_string(), allowed));
                    }
                }
                None => {
                    let names: Vec<&str> = sections.iter().map(|section| section.name).collect();
                    let allowed = format!("sections {}", names.join(", "));
                    return Err(self.error_at(name, None, format!("section [{name}]"), allowed));
                }
                Some(section) => {
                    if let Some(key) = keys.find(|key| !section.keys.contains(key)) {
                        let allowed = format!("keys {}", section.keys.join(", "));
                        return Err(self.error_at(name, Some(key), format!("key {key}"), allowed));
                    }
                }
            }
        }
        self.check_duplicate_keys()
    }

    fn check_duplicate_keys(&self) -> Result<(), SettingsError> {
        for (name, properties) in self.ini.iter() {
            for (key, _) in properties.iter() {
                if properties.get_all(key).count() > 1 {
                    let allowed = "each key once".to_string();
                    return Err(self.error_at(
                        name.unwrap_or(""),
                        Some(key),
                        format!("key {key} twice"),
                        allowed,
                    ));
                }
            }
        }
        Ok(())
    }

    fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key)
    }

    /// Returns whether the file has a section of that name.
    pub(super) fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns whether the file has a key, whatever its value.
    pub(super) fn has_key(&self, section: &str, key: &str) -> bool {
        self.get(section, key).is_some()
    }

    /// Returns the value of a required key.
    pub(super) fn required<T, P>(
        &self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: P,
    ) -> Result<T, SettingsError>
    where
        P: Fn(&str) -> Option<T>,
    {
        if let Some(value) = self.optional(section, key, allowed, &parse)? {
            return Ok(value);
        }
        let fault = self.error_at(section, Some(key), "nothing".into(), allowed.into());
        match self.previous_value(section, key, parse) {
            Some(value) => self.reject(fault).map(|()| value),
            None => Err(fault),
        }
    }

    /// Returns the value of an optional key, or `None` if it is missing.
    pub(super) fn optional<T, P>(
        &self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: P,
    ) -> Result<Option<T>, SettingsError>
    where
        P: Fn(&str) -> Option<T>,
    {
        match self.get(section, key) {
            None => Ok(None),
            Some(text) => match parse(text) {
                Some(value) => {
                    self.accept(section, key, text);
                    Ok(Some(value))
                }
                None => {
                    let found = format!("{text:?}");
                    self.reject(self.error_at(section, Some(key), found, allowed.into()))?;
                    Ok(self.previous_value(section, key, parse))
                }
            },
        }
    }

    /// Returns the value of a key for which the platform's templates use one of its limits, or `None` if it is missing.
    ///
    /// In a file that the platform filled in, an empty text means that the deployment has no such limit, and `substitute`
    /// replaces a text that is not allowed: a process with a default serves callers better than none.
    pub(super) fn limit<T, P>(
        &self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: P,
        substitute: T,
    ) -> Result<Option<T>, SettingsError>
    where
        P: Fn(&str) -> Option<T>,
    {
        let text = self.get(section, key).unwrap_or_default();
        match parse(text) {
            None if self.is_rendered && text.is_empty() => Ok(None),
            None if self.is_rendered => {
                let found = format!("{text:?}");
                self.replace(self.error_at(section, Some(key), found, allowed.into()))?;
                let previous = self.previous_value(section, key, parse);
                Ok(Some(previous.unwrap_or(substitute)))
            }
            _ => self.optional(section, key, allowed, parse),
        }
    }

    /// Records a fault for which the caller has a substitute.
    ///
    /// # Errors
    ///
    /// Returns the fault if an operator wrote the file, and the process has yet to start.
    pub(super) fn replace(&self, fault: SettingsError) -> Result<(), SettingsError> {
        match self.is_rendered {
            true => self.replaced.borrow_mut().push(fault),
            false => self.reject(fault)?,
        }
        Ok(())
    }

    fn accept(&self, section: &str, key: &str, text: &str) {
        let mut accepted = self.accepted.borrow_mut();
        accepted.insert(location(section, Some(key)), text.to_string());
    }

    /// Returns the value that a key had before the file changed, which remains the accepted one.
    fn previous_value<T, P>(&self, section: &str, key: &str, parse: P) -> Option<T>
    where
        P: Fn(&str) -> Option<T>,
    {
        let text = self.previous.as_ref()?.get(&location(section, Some(key)))?;
        let value = parse(text)?;
        self.accept(section, key, text);
        Some(value)
    }

    /// Creates an error located at a key, or at a section if `key` is `None`.
    pub(super) fn error_at(
        &self,
        section: &str,
        key: Option<&str>,
        found: String,
        allowed: String,
    ) -> SettingsError {
        SettingsError {
            file: self.path.clone(),
            line: self.line_of(section, key),
            location: Some(location(section, key)),
            found,
            allowed,
        }
    }

    /// Returns the line of a key, or of its section if the key is missing.
    fn line_of(&self, section: &str, key: Option<&str>) -> Option<usize> {
        let mut current = "";
        let mut section_line = None;
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                current = name.trim();
                if current == section && section_line.is_none() {
                    section_line = Some(i + 1);
                }
            } else if current == section {
                let name = line.split(['=', ':']).next().map(str::trim);
                if key.is_some() && name == key {
                    return Some(i + 1);
                }
            }
        }
        section_line
    }
}

fn location(section: &str, key: Option<&str>) -> String {
    match key {
        Some(key) => format!("[{section}] {key}"),
        None => format!("[{section}]"),
    }
}

/// Parses any text that is not empty.
pub(super) fn parse_text(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

/// Parses an IP address with a port.
pub(super) fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses one or more IP addresses with ports, separated by commas.
pub(super) fn parse_addrs(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(|item| parse_addr(item.trim()))
        .collect()
}

/// Parses `yes` or `no`, or the words by which the platform's templates write them.
pub(super) fn parse_yes_or_no(text: &str) -> Option<bool> {
    match text {
        "yes" | "true" => Some(true),
        "no" | "false" => Some(false),
        _ => None,
    }
}

#[cfg(test)]
#[path = "reader_tests.rs"]
mod tests;
