//! Reader of INI files that rejects unknown sections and keys.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ini::Ini;

use super::error::SettingsError;

/// A known section and its known keys.
pub(super) struct Section {
    pub(super) name: &'static str,
    pub(super) keys: &'static [&'static str],
}

/// A settings file whose sections and keys are all known.
pub(super) struct Reader {
    path: PathBuf,
    text: String,
    ini: Ini,
}

impl Reader {
    /// Reads a file and rejects any section or key that is not in `sections`.
    pub(super) fn open(path: &Path, sections: &[Section]) -> Result<Reader, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| SettingsError {
            file: path.to_path_buf(),
            line: None,
            location: None,
            found: err.to_string(),
            allowed: "a readable UTF-8 file".to_string(),
        })?;
        Reader::parse(path, text, sections)
    }

    pub(super) fn parse(
        path: &Path,
        text: String,
        sections: &[Section],
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
        let reader = Reader {
            path: path.to_path_buf(),
            text,
            ini,
        };
        reader.check_known_names(sections)?;
        Ok(reader)
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
        match self.optional(section, key, allowed, parse)? {
            Some(value) => Ok(value),
            None => Err(self.error_at(section, Some(key), "nothing".into(), allowed.into())),
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
                Some(value) => Ok(Some(value)),
                None => Err(self.error_at(section, Some(key), format!("{text:?}"), allowed.into())),
            },
        }
    }

    /// Creates an error located at a key, or at a section if `key` is `None`.
    pub(super) fn error_at(
        &self,
        section: &str,
        key: Option<&str>,
        found: String,
        allowed: String,
    ) -> SettingsError {
        let location = match key {
            Some(key) => format!("[{section}] {key}"),
            None => format!("[{section}]"),
        };
        SettingsError {
            file: self.path.clone(),
            line: self.line_of(section, key),
            location: Some(location),
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

/// Parses a whole number of milliseconds, at least 1.
pub(super) fn parse_millis(text: &str) -> Option<Duration> {
    match text.parse() {
        Ok(ms) if ms > 0 => Some(Duration::from_millis(ms)),
        _ => None,
    }
}

/// Parses a number of seconds above 0.
pub(super) fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let duration = Duration::try_from_secs_f64(seconds).ok()?;
    (!duration.is_zero()).then_some(duration)
}

/// Parses a number of seconds above 0 that is a whole number of milliseconds.
pub(super) fn parse_whole_millis(text: &str) -> Option<Duration> {
    let duration = parse_seconds(text)?;
    (duration.as_nanos() % 1_000_000 == 0).then_some(duration)
}

/// Parses a whole number, at least 1.
pub(super) fn parse_count(text: &str) -> Option<usize> {
    text.parse().ok().filter(|count| *count > 0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECTIONS: &[Section] = &[Section {
        name: "entry",
        keys: &["listen", "limit"],
    }];

    fn read(text: &str) -> Result<Reader, SettingsError> {
        Reader::parse(Path::new("entry.ini"), text.to_string(), SECTIONS)
    }

    fn error_text<T>(result: Result<T, SettingsError>) -> String {
        result.err().map(|err| err.to_string()).unwrap_or_default()
    }

    #[test]
    fn parse_unknown_key() {
        let text = "[entry]\nlisten = 127.0.0.1:1\nlisten_on = x\n";
        assert!(error_text(read(text)).starts_with("entry.ini:3: [entry] listen_on: found key"));
    }

    #[test]
    fn parse_unknown_section() {
        assert!(
            error_text(read("[entry]\n[exit]\na = 1\n")).starts_with("entry.ini:2: [exit]: found")
        );
    }

    #[test]
    fn parse_key_outside_section() {
        assert!(error_text(read("listen = 1\n")).contains("keys below a [section]"));
    }

    #[test]
    fn parse_key_twice() {
        assert!(error_text(read("[entry]\nlisten = a\nlisten = b\n")).contains("key listen twice"));
    }

    #[test]
    fn required_missing() {
        let reader = read("\n[entry]\nlimit = 1\n").unwrap();
        let result = reader.required("entry", "listen", "IP:PORT", parse_addr);
        assert_eq!(
            error_text(result),
            "entry.ini:2: [entry] listen: found nothing, allowed: IP:PORT"
        );
    }

    #[test]
    fn required_wrong_type() {
        let reader = read("[entry]\nlisten = localhost\n").unwrap();
        let result = reader.required("entry", "listen", "IP:PORT", parse_addr);
        assert_eq!(
            error_text(result),
            "entry.ini:2: [entry] listen: found \"localhost\", allowed: IP:PORT"
        );
    }
}
