//! Errors of the control log.

use std::fmt;
use std::io;

use laburnumlug::Verdict;

/// Error of a submitted change, of a read that a majority must confirm, or of opening a data folder.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
pub(crate) enum ErrorKind {
    Io(io::Error),
    /// Stored files are corrupt, and no peer is configured to copy them from.
    Corrupt,
    /// The data folder belongs to another replica, and no peer is configured to copy from.
    Foreign,
    /// Another process uses the data folder.
    Locked,
    /// No leader is known or reachable.
    NoLeader,
    /// Too many log entries are uncommitted.
    Busy,
    /// So few replicas vote that the tolerated losses could take a committed command.
    TooFewVoters {
        voters: usize,
    },
    /// The command exceeds the size limit.
    TooLarge {
        bytes: u64,
        limit: u64,
    },
    /// The replica has stopped writing after a disk error.
    Storage(String),
    /// The command may have been appended, but this replica has not seen it committed.
    NotCommitted,
    /// Refusal by another replica to which the command was forwarded.
    Remote {
        verdict: Verdict,
        reason: String,
    },
}

impl Error {
    pub(crate) fn new(kind: ErrorKind) -> Error {
        Error { kind }
    }

    pub(crate) fn io(err: io::Error) -> Error {
        Error::new(ErrorKind::Io(err))
    }

    /// Returns whether the submitted command may still take effect.
    ///
    /// This depends on whether the command may have been logged. For a command that was forwarded to another replica,
    /// it is the verdict of that replica's refusal.
    pub fn verdict(&self) -> Verdict {
        match &self.kind {
            ErrorKind::NotCommitted => Verdict::MayHaveRun,
            ErrorKind::Remote { verdict, .. } => *verdict,
            _ => Verdict::NotRun,
        }
    }

    /// Returns whether the submitted command is larger than the control log accepts; it was not logged.
    pub fn is_too_large(&self) -> bool {
        matches!(self.kind, ErrorKind::TooLarge { .. })
    }

    /// Returns whether the submission can be retried: the command was not logged, and the cause may pass.
    pub(crate) fn is_transient(&self) -> bool {
        match &self.kind {
            ErrorKind::NoLeader | ErrorKind::Busy | ErrorKind::TooFewVoters { .. } => true,
            ErrorKind::Remote { verdict, .. } => *verdict == Verdict::NotRun,
            _ => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::Io(err) => write!(f, "control log I/O failed: {err}"),
            ErrorKind::Corrupt => f.write_str(
                "control log: stored files are corrupt and no other replica is configured to copy them from",
            ),
            ErrorKind::Foreign => f.write_str(
                "control log: the data folder belongs to a replica of another name; correct the name or the folder",
            ),
            ErrorKind::Locked => f.write_str("control log: another process uses the data folder"),
            ErrorKind::NoLeader => f.write_str("no majority of the control replicas has a leader"),
            ErrorKind::Busy => f.write_str("too many changes wait to be committed"),
            ErrorKind::TooFewVoters { voters } => write!(
                f,
                "only {voters} replicas vote; changes are accepted once more do"
            ),
            ErrorKind::TooLarge { bytes, limit } => write!(
                f,
                "the change has {bytes} bytes, and the control log accepts at most {limit}"
            ),
            ErrorKind::Storage(reason) => {
                write!(f, "the control replica cannot write its data folder: {reason}")
            }
            ErrorKind::NotCommitted => {
                f.write_str("the change was not seen to be committed; it may yet take effect")
            }
            ErrorKind::Remote { reason, .. } => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}
