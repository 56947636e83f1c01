//! Error type of engine requests.

use std::fmt;

use laburnumlug::Verdict;

/// Error of a request to an engine.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    Http(laburnumlug_http::Error),
    Refused { status: u16, message: String },
    Malformed(String),
    Truncated,
    TimedOut,
}

impl Error {
    pub(crate) fn http(err: laburnumlug_http::Error) -> Error {
        Error {
            kind: ErrorKind::Http(err),
        }
    }

    pub(crate) fn refused(status: u16, message: String) -> Error {
        Error {
            kind: ErrorKind::Refused { status, message },
        }
    }

    pub(crate) fn malformed<E>(err: E) -> Error
    where
        E: fmt::Display,
    {
        Error {
            kind: ErrorKind::Malformed(err.to_string()),
        }
    }

    pub(crate) fn truncated() -> Error {
        Error {
            kind: ErrorKind::Truncated,
        }
    }

    pub(crate) fn timed_out() -> Error {
        Error {
            kind: ErrorKind::TimedOut,
        }
    }

    /// Returns whether the request may have run.
    ///
    /// An engine rejects a request with a client error or, without capacity, with 503 before it runs it. It may have run
    /// a request that ended with another status, such as 500 from a failure midway, or 499, with which servers log that
    /// the client has hung up.
    pub fn verdict(&self) -> Verdict {
        match &self.kind {
            ErrorKind::Http(err) if err.is_connect() => Verdict::NotRun,
            ErrorKind::Refused {
                status: 400..=498 | 503,
                ..
            } => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Http(err) => err.fmt(f),
            ErrorKind::Refused { status, message } => {
                write!(f, "the engine refused with status {status}: {message}")
            }
            ErrorKind::Malformed(err) => write!(f, "the engine's answer is malformed: {err}"),
            ErrorKind::TimedOut => f.write_str("the engine did not answer in time"),
            ErrorKind::Truncated => f.write_str("the engine's answer ended early"),
        }
    }
}

impl std::error::Error for Error {}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
