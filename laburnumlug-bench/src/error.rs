//! Benchmark errors.

use std::fmt;

/// Error that prevented a benchmark run.
#[derive(Debug)]
pub struct Error {
    message: String,
}

impl Error {
    pub(crate) fn new<E>(context: &str, err: E) -> Error
    where
        E: fmt::Display,
    {
        Error {
            message: format!("{context}: {err}"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
