//! Reasons for which a command fails, each with its exit code.

use std::fmt;

use laburnumlug_operator::Fault;

/// Reason for which a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request was refused or could not be sent; nothing was changed.
    Refused(String),
    /// The command line is invalid or names something that does not exist.
    Usage(String),
    /// The document failed validation.
    InvalidDocument(Vec<Fault>),
    /// Another change was accepted since the version on which this one is based.
    Conflict(String),
    /// It is unknown whether the change was made or the request ran.
    UnknownOutcome(String),
}

impl Failure {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            Failure::Refused(_) => 1,
            Failure::Usage(_) | Failure::InvalidDocument(_) => 2,
            Failure::Conflict(_) => 3,
            Failure::UnknownOutcome(_) => 4,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(message)
            | Failure::Usage(message)
            | Failure::Conflict(message)
            | Failure::UnknownOutcome(message) => f.write_str(message),
            Failure::InvalidDocument(faults) => {
                write!(f, "faults in the document: {}", faults.len())?;
                for fault in faults {
                    write!(f, "\n  {fault}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for Failure {}
