//! Position of a replica's data folder: its term and the end of its log.

use serde::{Deserialize, Serialize};

use crate::entry::{LogIndex, Term};

/// Term and last log entry of a replica's data folder.
///
/// The term never decreases, and neither does the pair of last term and last index. A folder that is behind a
/// position that others observed of it is therefore an older copy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Position {
    /// Term of the replica.
    pub(crate) term: Term,
    /// Term of its last log entry.
    pub(crate) last_term: Term,
    /// Index of its last log entry.
    pub(crate) last_index: LogIndex,
}

impl Position {
    /// Returns the term and index of the last entry, in the order in which logs are compared: the term counts first.
    pub(crate) fn log_end(self) -> (Term, LogIndex) {
        (self.last_term, self.last_index)
    }

    /// Returns whether a folder at this position is older than one at `observed`.
    pub(crate) fn is_behind(self, observed: Position) -> bool {
        self.term < observed.term || self.log_end() < observed.log_end()
    }

    /// Returns the later term together with the later end of the log of both positions.
    pub(crate) fn max(self, other: Position) -> Position {
        let (last_term, last_index) = self.log_end().max(other.log_end());
        Position {
            term: self.term.max(other.term),
            last_term,
            last_index,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn position(term: Term, last_term: Term, last_index: LogIndex) -> Position {
        Position {
            term,
            last_term,
            last_index,
        }
    }

    #[test]
    fn is_behind_older_copy() {
        let observed = position(3, 2, 10);
        assert!(position(3, 2, 9).is_behind(observed));
        assert!(position(2, 2, 10).is_behind(observed));
        assert!(position(3, 1, 12).is_behind(observed));
        assert!(!observed.is_behind(observed));
    }

    #[test]
    fn is_behind_not_after_replaced_tail() {
        // A new leader replaced three unacknowledged entries by one of its own.
        assert!(!position(4, 4, 8).is_behind(position(3, 2, 10)));
    }
}
