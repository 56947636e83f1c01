//! Decisions of a leader: commit index, lease and membership changes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::ReplicaId;

use super::core::{Core, ReplicaRole};
use crate::entry::{LogIndex, Payload, Term};

/// Time without answers of a majority of the voters after which a leader steps down.
const LEADER_LEASE: Duration = Duration::from_millis(1200);

/// Maximum number of voters.
pub(super) const MAX_VOTERS: usize = 7;

/// Time without an answer after which a learner replaces a voter; longer than a restart takes.
const VOTER_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after an election in which voters can answer the new leader before their silence under earlier ones counts.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(250);

/// Time without an answer from which followers are told that a voter is silent.
const STATED_SILENCE: Duration = Duration::from_millis(500);

/// State of a leader.
pub(super) struct Leadership {
    /// Index of the first entry of the leader's term; earlier entries are committed only together with it.
    pub(super) first_index: LogIndex,
    pub(super) elected_at: Instant,
    /// Replication progress of each other replica, by name.
    pub(super) progress: BTreeMap<String, ReplicationProgress>,
}

/// Replication progress of another replica.
pub(super) struct ReplicationProgress {
    pub(super) replica: ReplicaId,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// Index of the last entry that the replica has reported as synced.
    pub(super) match_index: LogIndex,
    /// Send time of the last message that the replica has answered.
    pub(super) last_contact: Instant,
    /// Commit index in the last append whose entries the replica has synced.
    pub(super) acknowledged_commit: LogIndex,
    /// When the identity was requested from which the other fields follow.
    pub(super) identified_at: Instant,
    /// Total size of the entries and snapshot chunks sent to the replica since then.
    pub(super) sent_bytes: u64,
}

impl Core {
    /// Returns whether this replica is the leader and a majority of the voters has answered it recently.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return false;
        };
        let membership = self.log.membership();
        let voters = membership.voters.iter();
        let responsive = voters.filter(|voter| self.has_recent_contact(now, leadership, voter));
        responsive.count() >= membership.majority()
    }

    /// Returns whether this replica leads in `term` and a majority has answered messages sent since `since`.
    ///
    /// Only voters count, and this replica counts as having answered if it is one.
    pub(super) fn is_leader_since(&self, term: Term, since: Instant) -> bool {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return false;
        };
        let membership = self.log.membership();
        let has_answered = |voter: &&ReplicaId| match leadership.progress.get(&voter.name) {
            _ if **voter == self.meta.replica => true,
            Some(progress) => progress.replica == **voter && progress.last_contact >= since,
            None => false,
        };
        let answered = membership.voters.iter().filter(has_answered).count();
        self.meta.term == term && answered >= membership.majority()
    }

    /// Returns whether a voter has answered a message sent within the last [`LEADER_LEASE`].
    ///
    /// This replica itself always counts. A voter whose incarnation the leader does not know yet counts for the
    /// same time after the election.
    pub(super) fn has_recent_contact(
        &self,
        now: Instant,
        leadership: &Leadership,
        voter: &ReplicaId,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LEADER_LEASE;
        match leadership.progress.get(&voter.name) {
            _ if *voter == self.meta.replica => true,
            Some(progress) => progress.replica == *voter && is_recent(progress.last_contact),
            None => is_recent(leadership.elected_at),
        }
    }

    /// Returns whether a committed membership has removed this replica from the voters.
    pub(super) fn is_removed_voter(&self) -> bool {
        let membership = self.log.membership();
        self.commit_index >= membership.index && !membership.contains(&self.meta.replica)
    }

    /// Becomes the leader of the current term.
    pub(super) fn start_leading(&mut self, now: Instant, time_ms: u64) {
        log::info!("leading in term {}", self.meta.term);
        self.role = ReplicaRole::Leader(Leadership {
            first_index: self.log.last_index() + 1,
            elected_at: now,
            progress: BTreeMap::new(),
        });
        self.leader = Some(self.meta.replica.name.clone());
        self.append_as_leader(time_ms, Payload::Noop);
    }

    /// As the leader, commits the entries that a majority has synced, once they include one of the leader's term.
    ///
    /// From then on this replica counts as caught up.
    pub(super) fn commit_by_majority(&mut self) {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut match_indexes: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| match leadership.progress.get(&voter.name) {
                _ if *voter == self.meta.replica => self.durable_index,
                Some(progress) if progress.replica == *voter => progress.match_index,
                _ => 0,
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes
            .get(membership.majority() - 1)
            .copied()
            .unwrap_or(0);
        if index >= leadership.first_index {
            self.commit_to(index);
            self.caught_up = true;
        }
    }

    /// Appends the next membership change, if one is due.
    pub(super) fn advance_membership(&mut self, now: Instant, time_ms: u64) {
        if let Some(voters) = self.next_membership(now) {
            self.log_membership_change(now, &voters);
            self.append_as_leader(time_ms, Payload::Members(Rc::new(voters)));
        }
    }

    /// Logs the next voters; for a replica that becomes one, also how long it took to catch up and the bytes sent.
    fn log_membership_change(&self, now: Instant, voters: &[ReplicaId]) {
        let names: Vec<&str> = voters.iter().map(|voter| voter.name.as_str()).collect();
        let names = names.join(", ");
        let ReplicaRole::Leader(leadership) = &self.role else {
            return;
        };
        let is_new = |voter: &&ReplicaId| !self.log.membership().contains(voter);
        let progress = |voter: &ReplicaId| leadership.progress.get(&voter.name);
        match voters.iter().find(is_new).and_then(progress) {
            Some(learner) => log::info!(
                replica = learner.replica.name.as_str(),
                catch_up_ms = now.saturating_duration_since(learner.identified_at).as_millis() as u64,
                sent_bytes = learner.sent_bytes;
                "changing the voters of the control log to {names}, a replica has caught up"
            ),
            None => log::info!("changing the voters of the control log to {names}"),
        }
    }

    /// Returns the voters after the next membership change, if one is due.
    ///
    /// Each change removes or adds one voter, so that any majority of a membership shares a voter with any majority
    /// of the next. A replacement takes two changes: the first removes the old incarnation, the second adds the new
    /// one.
    pub(super) fn next_membership(&self, now: Instant) -> Option<Vec<ReplicaId>> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return None;
        };
        let membership = self.log.membership();
        if self.commit_index < leadership.first_index || self.commit_index < membership.index {
            return None;
        }
        self.membership_without_unlisted(now, leadership)
            .or_else(|| self.membership_with_learner(now, leadership))
    }

    /// Returns the voters without one that the fleet document no longer lists; this replica is removed last.
    ///
    /// Returns `None` if the remaining voters could not commit or include none that the document lists.
    fn membership_without_unlisted(
        &self,
        now: Instant,
        leadership: &Leadership,
    ) -> Option<Vec<ReplicaId>> {
        let voters = &self.log.membership().voters;
        let is_unlisted = |voter: &&ReplicaId| !self.state.may_vote(&voter.name);
        let others = voters.iter().filter(|voter| **voter != self.meta.replica);
        let leaving = others.chain([&self.meta.replica]).find(is_unlisted)?;
        let remaining: Vec<ReplicaId> = voters.iter().filter(|v| *v != leaving).cloned().collect();
        let responsive = remaining
            .iter()
            .filter(|voter| self.has_recent_contact(now, leadership, voter));
        // Without a responsive majority nothing could be committed, which would block all changes to the fleet.
        let can_commit = responsive.count() > remaining.len() / 2;
        let is_any_listed = remaining
            .iter()
            .any(|voter| self.state.may_vote(&voter.name));
        (can_commit && is_any_listed && remaining.len() < voters.len()).then_some(remaining)
    }

    /// Returns the voters after the next change towards adding a learner that has caught up.
    fn membership_with_learner(
        &self,
        now: Instant,
        leadership: &Leadership,
    ) -> Option<Vec<ReplicaId>> {
        let membership = self.log.membership();
        let is_caught_up_learner = |progress: &&ReplicationProgress| {
            !membership.contains(&progress.replica)
                && self.state.may_vote(&progress.replica.name)
                && progress.match_index >= self.commit_index
                && now.saturating_duration_since(progress.last_contact) < LEADER_LEASE
        };
        let learners = || leadership.progress.values().filter(is_caught_up_learner);
        let mut voters = membership.voters.to_vec();
        let former_incarnation = |learner: &ReplicationProgress| {
            voters.iter().position(|v| v.name == learner.replica.name)
        };
        if let Some(index) = learners().find_map(former_incarnation) {
            voters.remove(index);
            return Some(voters);
        }
        let learner = &learners().next()?.replica;
        match self.unresponsive_voter(now, leadership) {
            _ if voters.len() < self.max_voters => voters.push(learner.clone()),
            Some(unresponsive) => voters.retain(|voter| *voter != unresponsive),
            None => return None,
        }
        Some(voters)
    }

    /// Returns a voter that has not answered for [`VOTER_SILENCE_TIMEOUT`], if the other voters can commit without it.
    fn unresponsive_voter(&self, now: Instant, leadership: &Leadership) -> Option<ReplicaId> {
        if now.saturating_duration_since(leadership.elected_at) < FIRST_CONTACT_TIME {
            return None;
        }
        let voters = &self.log.membership().voters;
        let is_unresponsive = |voter: &&ReplicaId| {
            let last_contact = self.last_voter_contact(leadership, voter);
            **voter != self.meta.replica
                && now.saturating_duration_since(last_contact) >= VOTER_SILENCE_TIMEOUT
        };
        let unresponsive = voters.iter().find(is_unresponsive)?;
        let remaining = voters.iter().filter(|voter| *voter != unresponsive);
        let responsive = remaining.filter(|voter| self.has_recent_contact(now, leadership, voter));
        (responsive.count() > (voters.len() - 1) / 2).then(|| unresponsive.clone())
    }

    /// Returns when a voter last answered this leader, or an earlier one, or else when this one was elected.
    fn last_voter_contact(&self, leadership: &Leadership, voter: &ReplicaId) -> Instant {
        match leadership.progress.get(&voter.name) {
            Some(progress) if progress.replica == *voter => progress.last_contact,
            _ => {
                let earlier = self.voter_contacts.get(voter).copied();
                earlier.map_or(leadership.elected_at, |at| at.min(leadership.elected_at))
            }
        }
    }

    /// Returns the voters that have not answered for [`STATED_SILENCE`], with that time in milliseconds, as the leader.
    pub(super) fn silent_voters(&self, now: Instant) -> Vec<(ReplicaId, u64)> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let silence = |voter: &ReplicaId| {
            let last_contact = self.last_voter_contact(leadership, voter);
            let silence = now.saturating_duration_since(last_contact);
            let is_stated = *voter != self.meta.replica && silence >= STATED_SILENCE;
            is_stated.then(|| (voter.clone(), silence.as_millis() as u64))
        };
        let membership = self.log.membership();
        membership.voters.iter().filter_map(silence).collect()
    }
}

#[cfg(test)]
#[path = "leadership_tests.rs"]
mod tests;
