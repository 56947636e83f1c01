//! Error type of HTTP exchanges.

use std::fmt;
use std::io;

use crate::held_bytes::OverBudget;

/// Error of an HTTP exchange.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    Connect(io::Error),
    Exchange(hyper::Error),
    TimedOut,
    BodyTooLarge { limit: usize },
    UnsupportedCoding,
    InvalidStatus { status: u16 },
    OverBudget(OverBudget),
}

impl Error {
    pub(crate) fn connect(err: io::Error) -> Error {
        Error {
            kind: ErrorKind::Connect(err),
        }
    }

    pub(crate) fn exchange(err: hyper::Error) -> Error {
        Error {
            kind: ErrorKind::Exchange(err),
        }
    }

    pub(crate) fn timed_out() -> Error {
        Error {
            kind: ErrorKind::TimedOut,
        }
    }

    pub(crate) fn body_too_large(limit: usize) -> Error {
        Error {
            kind: ErrorKind::BodyTooLarge { limit },
        }
    }

    pub(crate) fn unsupported_coding() -> Error {
        Error {
            kind: ErrorKind::UnsupportedCoding,
        }
    }

    pub(crate) fn invalid_status(status: u16) -> Error {
        Error {
            kind: ErrorKind::InvalidStatus { status },
        }
    }

    pub(crate) fn over_budget(over: OverBudget) -> Error {
        Error {
            kind: ErrorKind::OverBudget(over),
        }
    }

    /// Returns the state of the memory budget if the exchange was ended because of it.
    pub fn as_over_budget(&self) -> Option<OverBudget> {
        match self.kind {
            ErrorKind::OverBudget(over) => Some(over),
            _ => None,
        }
    }

    /// Returns whether the connection could not be established, so the peer has seen nothing of the request.
    pub fn is_connect(&self) -> bool {
        matches!(self.kind, ErrorKind::Connect(_))
    }

    /// Returns whether the peer refused the connection, as a host does on which no process listens.
    pub fn is_connection_refused(&self) -> bool {
        match &self.kind {
            ErrorKind::Connect(err) => err.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Returns whether the answer has a head, interim responses, chunk extensions or trailers beyond their limits, or invalid
    /// chunks. It shows a fault of the peer, as a connection that fails has none of these effects.
    pub fn is_invalid_answer(&self) -> bool {
        let ErrorKind::Exchange(err) = &self.kind else {
            return false;
        };
        let source = std::error::Error::source(err);
        let io_err = source.and_then(|source| source.downcast_ref::<io::Error>());
        err.is_parse_too_large()
            || io_err.is_some_and(|err| err.kind() == io::ErrorKind::InvalidData)
    }

    /// Returns whether a body exceeded its size limit.
    pub fn is_body_too_large(&self) -> bool {
        matches!(self.kind, ErrorKind::BodyTooLarge { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Connect(err) => write!(f, "no connection: {err}"),
            ErrorKind::Exchange(err) => write!(f, "HTTP exchange failed: {err}"),
            ErrorKind::TimedOut => f.write_str("no complete response in time"),
            ErrorKind::BodyTooLarge { limit } => {
                write!(f, "the body is longer than {limit} bytes")
            }
            ErrorKind::UnsupportedCoding => {
                f.write_str("the body has a transfer coding that is not supported")
            }
            ErrorKind::InvalidStatus { status } => {
                write!(f, "the status {status} is not that of a final response")
            }
            ErrorKind::OverBudget(over) => {
                write!(f, "ended by the memory budget: {over}")
            }
        }
    }
}

impl std::error::Error for Error {}
