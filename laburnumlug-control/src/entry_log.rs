//! In-memory part of the replicated log.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::encoded_len::encoded_len;
use crate::entry::{Entry, LogIndex, Membership, Payload, Term};

/// Entry with its position in the sequence of all encoded entries.
struct LoggedEntry {
    entry: Rc<Entry>,
    /// Total encoded length of the entries up to and including this one.
    end_offset: u64,
}

/// Log entries after a base entry; the snapshot covers the base and all entries before it.
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    /// Entries with consecutive indexes from `base_index + 1`.
    entries: VecDeque<LoggedEntry>,
    /// Total encoded length of all entries up to the base entry that were ever in this log.
    base_offset: u64,
    /// Memberships in ascending order of index, never empty; the last one is in force.
    memberships: Vec<Membership>,
}

impl Log {
    /// Creates a log that has no entries after its base.
    pub(crate) fn new(base_index: LogIndex, base_term: Term, membership: Membership) -> Log {
        Log {
            base_index,
            base_term,
            entries: VecDeque::new(),
            base_offset: 0,
            memberships: vec![membership],
        }
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn base_term(&self) -> Term {
        self.base_term
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |logged| logged.entry.term)
    }

    /// Returns the term of the base entry or of an entry after it; `None` for any other.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        match index {
            _ if index == self.base_index => Some(self.base_term),
            _ => self.get(index).map(|entry| entry.term),
        }
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Rc<Entry>> {
        let position = index.checked_sub(self.base_index + 1)?;
        Some(&self.entries.get(position as usize)?.entry)
    }

    /// Returns the entries with index `from` and above.
    pub(crate) fn entries_from(&self, from: LogIndex) -> impl Iterator<Item = &Rc<Entry>> {
        let skipped = from.saturating_sub(self.base_index + 1);
        let logged = self.entries.iter().skip(skipped as usize);
        logged.map(|logged| &logged.entry)
    }

    /// Returns the total encoded length of the entries with indexes above `after` and up to `last`.
    pub(crate) fn bytes_between(&self, after: LogIndex, last: LogIndex) -> u64 {
        let end = self.end_offset(last);
        end.saturating_sub(self.end_offset(after))
    }

    /// Returns the offset of the end of an entry; that of the nearest known one if the log does not hold it.
    fn end_offset(&self, index: LogIndex) -> u64 {
        let position = index.checked_sub(self.base_index + 1);
        let logged = position.and_then(|at| self.entries.get(at as usize).or(self.entries.back()));
        logged.map_or(self.base_offset, |logged| logged.end_offset)
    }

    /// Appends the next entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry's index is not the last index plus one.
    pub(crate) fn push(&mut self, entry: Rc<Entry>) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entry index does not follow the last index of the log"
        );
        if let Payload::Members(voters) = &entry.payload
            && entry.index > self.membership().index
        {
            self.memberships.push(Membership {
                index: entry.index,
                voters: voters.clone(),
            });
        }
        let end_offset = self.end_offset(self.last_index()) + encoded_len(&*entry) as u64;
        self.entries.push_back(LoggedEntry { entry, end_offset });
    }

    /// Removes the entries with index `from` and above.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
        while self.memberships.len() > 1 && self.membership().index >= from {
            self.memberships.pop();
        }
    }

    /// Removes the entries up to `index`, which a snapshot covers.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        while self.base_index < index
            && let Some(logged) = self.entries.pop_front()
        {
            self.base_index = logged.entry.index;
            self.base_term = logged.entry.term;
            self.base_offset = logged.end_offset;
        }
    }

    /// Returns the membership in force.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1]
    }

    /// Returns the membership that was in force at `index`, or the oldest known one if all are newer.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let at = self.memberships.iter().rev().find(|m| m.index <= index);
        at.unwrap_or(&self.memberships[0])
    }
}
