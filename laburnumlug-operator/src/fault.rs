//! Validation faults of a fleet document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length in characters of a value quoted in a validation fault or difference.
const MAX_QUOTED_CHARS: usize = 120;

/// Validation fault of a fleet document: a value at a path that the schema or another rule does not allow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Path in the document, such as `targets[2].service`.
    pub path: String,
    /// Value found at the path.
    pub found: String,
    /// Values allowed at the path.
    pub allowed: String,
}

impl Fault {
    /// Creates a validation fault.
    pub fn new<P, F, A>(path: P, found: F, allowed: A) -> Fault
    where
        P: Into<String>,
        F: Into<String>,
        A: Into<String>,
    {
        Fault {
            path: path.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

/// Truncates a quoted value to [`MAX_QUOTED_CHARS`] characters, and appends an ellipsis if any were cut off.
pub(crate) fn truncate_quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        None => text.to_string(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}
