//! Error type of service calls.

use std::fmt;

use laburnumlug::Verdict;

/// Error of a call to an application server.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    Http(laburnumlug_http::Error),
    Request(String),
    TimedOut,
}

impl Error {
    pub(crate) fn http(err: laburnumlug_http::Error) -> Error {
        Error {
            kind: ErrorKind::Http(err),
        }
    }

    pub(crate) fn request<E>(err: E) -> Error
    where
        E: fmt::Display,
    {
        Error {
            kind: ErrorKind::Request(err.to_string()),
        }
    }

    pub(crate) fn timed_out() -> Error {
        Error {
            kind: ErrorKind::TimedOut,
        }
    }

    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match &self.kind {
            ErrorKind::Http(err) if err.is_connect() => Verdict::NotRun,
            ErrorKind::Request(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Http(err) => err.fmt(f),
            ErrorKind::Request(err) => write!(f, "the call cannot be sent: {err}"),
            ErrorKind::TimedOut => f.write_str("the service did not answer in time"),
        }
    }
}

impl std::error::Error for Error {}
