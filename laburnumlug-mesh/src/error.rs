//! Errors of mesh connections.

use std::fmt;
use std::io;

/// Error of a mesh connection.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

/// Kind of failure.
#[derive(Debug)]
enum ErrorKind {
    Connect(io::Error),
    WebSocket(Box<tokio_tungstenite::tungstenite::Error>),
    Closed,
    Codec(String),
    Version { received: u16 },
    Handshake,
    HandshakeTimedOut,
    Idle,
}

impl Error {
    pub(crate) fn connect(err: io::Error) -> Error {
        Error {
            kind: ErrorKind::Connect(err),
        }
    }

    pub(crate) fn web_socket(err: tokio_tungstenite::tungstenite::Error) -> Error {
        Error {
            kind: ErrorKind::WebSocket(Box::new(err)),
        }
    }

    pub(crate) fn closed() -> Error {
        Error {
            kind: ErrorKind::Closed,
        }
    }

    pub(crate) fn codec<E>(err: E) -> Error
    where
        E: fmt::Display,
    {
        Error {
            kind: ErrorKind::Codec(err.to_string()),
        }
    }

    pub(crate) fn version(received: u16) -> Error {
        Error {
            kind: ErrorKind::Version { received },
        }
    }

    pub(crate) fn handshake() -> Error {
        Error {
            kind: ErrorKind::Handshake,
        }
    }

    pub(crate) fn handshake_timed_out() -> Error {
        Error {
            kind: ErrorKind::HandshakeTimedOut,
        }
    }

    pub(crate) fn idle() -> Error {
        Error {
            kind: ErrorKind::Idle,
        }
    }

    /// Returns whether no connection was established, so that the peer has received no message.
    pub fn is_connect(&self) -> bool {
        matches!(self.kind, ErrorKind::Connect(_) | ErrorKind::Handshake)
    }

    /// Returns whether the peer closed the connection.
    pub fn is_closed(&self) -> bool {
        matches!(self.kind, ErrorKind::Closed)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Connect(err) => write!(f, "no connection: {err}"),
            ErrorKind::WebSocket(err) => write!(f, "connection failed: {err}"),
            ErrorKind::Closed => f.write_str("the peer closed the connection"),
            ErrorKind::Codec(err) => write!(f, "message not understood: {err}"),
            ErrorKind::Version { received } => write!(f, "unknown protocol version {received}"),
            ErrorKind::Handshake => f.write_str("the peer does not hold the same mesh key"),
            ErrorKind::HandshakeTimedOut => {
                f.write_str("the peer did not complete the handshake in time")
            }
            ErrorKind::Idle => f.write_str("the peer sent nothing in time"),
        }
    }
}

impl std::error::Error for Error {}
