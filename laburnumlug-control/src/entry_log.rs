//! In-memory part of the replicated log.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::entry::{Entry, LogIndex, Membership, Payload, Term};

/// Log entries after a base entry; the snapshot covers the base and all entries before it.
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    /// Entries with consecutive indexes from `base_index + 1`.
    entries: VecDeque<Rc<Entry>>,
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
            .map_or(self.base_term, |entry| entry.term)
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
        self.entries.get(position as usize)
    }

    /// Returns the entries with index `from` and above.
    pub(crate) fn entries_from(&self, from: LogIndex) -> impl Iterator<Item = &Rc<Entry>> {
        let skipped = from.saturating_sub(self.base_index + 1);
        self.entries.iter().skip(skipped as usize)
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
        self.entries.push_back(entry);
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
            && let Some(entry) = self.entries.pop_front()
        {
            self.base_index = entry.index;
            self.base_term = entry.term;
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
