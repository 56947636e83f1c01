//! What a leader decides: commitment, step-down and membership.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumlug_mesh::ReplicaId;

use super::core::{Core, Role};
use crate::entry::{LogIndex, Payload, Term};

/// Time without a majority after which a leader steps down.
const LEADER_LEASE: Duration = Duration::from_millis(1200);

/// Most voters.
pub(super) const MAX_VOTERS: usize = 7;

/// Time without an answer after which a replica that stands by takes a voter's place; longer than a restart takes.
const SILENT_VOTER: Duration = Duration::from_secs(3);

/// State of a leader.
pub(super) struct Leadership {
    /// Index of the first entry of the leader's term; what stands before counts as committed only with it.
    pub(super) first: LogIndex,
    pub(super) since: Instant,
    /// State of each other replica, by name.
    pub(super) progress: BTreeMap<String, Progress>,
}

/// How far another replica has come, as its leader knows.
pub(super) struct Progress {
    pub(super) replica: ReplicaId,
    /// First entry that it has not been sent.
    pub(super) next: LogIndex,
    /// Last entry that it has synced.
    pub(super) matched: LogIndex,
    /// When the last message that it answered was sent.
    pub(super) heard_at: Instant,
    /// Commit index that it has been told.
    pub(super) told_commit: LogIndex,
}

impl Core {
    /// Returns whether this replica leads and a majority has answered it recently.
    pub(super) fn is_leader(&self, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let membership = self.log.membership();
        let voters = membership.voters.iter();
        let heard = voters.filter(|voter| self.hears(now, leadership, voter));
        heard.count() >= membership.majority()
    }

    /// Returns whether this replica leads in `term` and a majority has answered what it sent after `asked_at`.
    pub(super) fn is_leader_since(&self, term: Term, asked_at: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let membership = self.log.membership();
        let has_answered = |voter: &&ReplicaId| match leadership.progress.get(&voter.name) {
            _ if **voter == self.meta.replica => true,
            Some(progress) => progress.replica == **voter && progress.heard_at >= asked_at,
            None => false,
        };
        let answered = membership.voters.iter().filter(has_answered).count();
        self.meta.term == term && answered >= membership.majority()
    }

    /// Returns whether a voter has answered recently, or has not had the time to.
    fn hears(&self, now: Instant, leadership: &Leadership, voter: &ReplicaId) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LEADER_LEASE;
        match leadership.progress.get(&voter.name) {
            _ if *voter == self.meta.replica => true,
            Some(progress) => progress.replica == *voter && is_recent(progress.heard_at),
            None => is_recent(leadership.since),
        }
    }

    /// Returns whether the committed membership no longer has this replica as a voter.
    pub(super) fn is_retired(&self) -> bool {
        let membership = self.log.membership();
        self.commit >= membership.index && !membership.contains(&self.meta.replica)
    }

    /// Begins to lead in the present term.
    pub(super) fn lead(&mut self, now: Instant, time_ms: u64) {
        log::info!("leading in term {}", self.meta.term);
        self.role = Role::Leader(Leadership {
            first: self.log.last_index() + 1,
            since: now,
            progress: BTreeMap::new(),
        });
        self.leader = Some(self.meta.replica.name.clone());
        self.append_own(time_ms, Payload::Noop);
    }

    /// Commits what a majority has synced, as the leader.
    pub(super) fn commit_by_majority(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut matched: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| match leadership.progress.get(&voter.name) {
                _ if *voter == self.meta.replica => self.durable,
                Some(progress) if progress.replica == *voter => progress.matched,
                _ => 0,
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched.get(membership.majority() - 1).copied().unwrap_or(0);
        if index >= leadership.first {
            self.commit_to(index);
            self.caught_up = true;
        }
    }

    /// Returns the voters with which the next change of the membership begins, if one is due.
    ///
    /// Each step removes or adds one voter, so any two majorities of successive memberships have a replica in
    /// common. In a replacement, the old life of a folder leaves first and the new one enters with the next step.
    pub(super) fn next_membership(&self, now: Instant) -> Option<Vec<ReplicaId>> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let membership = self.log.membership();
        if self.commit < leadership.first || self.commit < membership.index {
            return None;
        }
        self.without_unlisted(now, leadership)
            .or_else(|| self.with_learner(now, leadership))
    }

    /// Returns the voters without one that the fleet document no longer lists, this replica as the last.
    fn without_unlisted(&self, now: Instant, leadership: &Leadership) -> Option<Vec<ReplicaId>> {
        let voters = &self.log.membership().voters;
        let is_unlisted = |voter: &&ReplicaId| !self.state.lets_vote(&voter.name);
        let others = voters.iter().filter(|voter| **voter != self.meta.replica);
        let leaving = others.chain([&self.meta.replica]).find(is_unlisted)?;
        let staying: Vec<ReplicaId> = voters.iter().filter(|v| *v != leaving).cloned().collect();
        let heard = staying
            .iter()
            .filter(|voter| self.hears(now, leadership, voter));
        // A membership that could commit nothing would stop the fleet.
        let can_commit = heard.count() > staying.len() / 2;
        let is_any_listed = staying
            .iter()
            .any(|voter| self.state.lets_vote(&voter.name));
        (can_commit && is_any_listed && staying.len() < voters.len()).then_some(staying)
    }

    /// Returns the next step towards voters with a learner that has caught up.
    fn with_learner(&self, now: Instant, leadership: &Leadership) -> Option<Vec<ReplicaId>> {
        let membership = self.log.membership();
        let joins = |progress: &&Progress| {
            !membership.contains(&progress.replica)
                && self.state.lets_vote(&progress.replica.name)
                && progress.matched >= self.commit
                && now.saturating_duration_since(progress.heard_at) < LEADER_LEASE
        };
        let learners = || leadership.progress.values().filter(joins);
        let mut voters = membership.voters.to_vec();
        let former =
            |learner: &Progress| voters.iter().position(|v| v.name == learner.replica.name);
        if let Some(old) = learners().find_map(former) {
            voters.remove(old);
            return Some(voters);
        }
        let learner = &learners().next()?.replica;
        match self.silent_voter(now, leadership) {
            _ if voters.len() < self.max_voters => voters.push(learner.clone()),
            Some(silent) => voters.retain(|voter| *voter != silent),
            None => return None,
        }
        Some(voters)
    }

    /// Returns a voter that has answered nothing for long, where the others can commit without it.
    fn silent_voter(&self, now: Instant, leadership: &Leadership) -> Option<ReplicaId> {
        let voters = &self.log.membership().voters;
        let is_silent = |voter: &&ReplicaId| {
            let heard_at = match leadership.progress.get(&voter.name) {
                Some(progress) if progress.replica == **voter => progress.heard_at,
                _ => leadership.since,
            };
            **voter != self.meta.replica
                && now.saturating_duration_since(heard_at.max(leadership.since)) >= SILENT_VOTER
        };
        let silent = voters.iter().find(is_silent)?;
        let staying = voters.iter().filter(|voter| *voter != silent);
        let heard = staying.filter(|voter| self.hears(now, leadership, voter));
        (heard.count() > (voters.len() - 1) / 2).then(|| silent.clone())
    }
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use quickcheck::quickcheck;

    use super::*;
    use crate::command::{Command, FleetChange, Outcome};
    use crate::entry::Membership;
    use crate::entry_log::Log;
    use crate::state::Record;
    use crate::storage::Meta;

    fn replica(name: &str, incarnation: u64) -> ReplicaId {
        ReplicaId {
            name: name.to_string(),
            incarnation,
        }
    }

    /// Returns the leader `a` of `voters` with its first entry in the log.
    fn leader(now: Instant, voters: &[ReplicaId]) -> Core {
        let meta = Meta {
            replica: replica("a", 1),
            cluster: Some(1),
            term: 2,
            voted_for: None,
        };
        let voters = Rc::new(voters.to_vec());
        let log = Log::new(0, 0, Membership { index: 0, voters });
        let mut core = Core::new(now, meta, log, 100);
        core.verified = true;
        core.lead(now, 0);
        core
    }

    fn follow(core: &mut Core, now: Instant, replica: &ReplicaId, matched: LogIndex) {
        let Role::Leader(leadership) = &mut core.role else {
            panic!("not a leader");
        };
        let progress = Progress {
            replica: replica.clone(),
            next: matched + 1,
            matched,
            heard_at: now,
            told_commit: 0,
        };
        leadership.progress.insert(replica.name.clone(), progress);
    }

    fn voters() -> [ReplicaId; 3] {
        [replica("a", 1), replica("b", 1), replica("c", 1)]
    }

    #[test]
    fn is_leader_without_majority() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        follow(&mut core, now, &replica("b", 1), 0);
        assert!(core.is_leader(now));
        assert!(!core.is_leader(now + 2 * LEADER_LEASE));
        follow(&mut core, now + 2 * LEADER_LEASE, &replica("b", 1), 0);
        assert!(core.is_leader(now + 2 * LEADER_LEASE));
    }

    #[test]
    fn commit_by_majority_own_term_only() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        let Role::Leader(leadership) = &mut core.role else {
            panic!("not a leader");
        };
        // The entry at 1 is of an earlier term; a majority alone does not commit it.
        leadership.first = 2;
        core.durable = 1;
        follow(&mut core, now, &replica("b", 1), 1);
        core.commit_by_majority();
        assert_eq!(core.commit, 0);
    }

    #[test]
    fn commit_by_majority_not_synced() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        follow(&mut core, now, &replica("b", 1), 1);
        core.commit_by_majority();
        assert_eq!(core.commit, 0);
        core.note_synced(1, Some(1));
        core.commit_by_majority();
        assert_eq!(core.commit, 1);
    }

    #[test]
    fn commit_by_majority_other_life_of_a_voter() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        core.durable = 1;
        follow(&mut core, now, &replica("b", 2), 1);
        core.commit_by_majority();
        assert_eq!(core.commit, 0);
        follow(&mut core, now, &replica("b", 1), 1);
        core.commit_by_majority();
        assert_eq!(core.commit, 1);
    }

    #[test]
    fn note_synced_then_truncated() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        core.append_own(0, Payload::Noop);
        core.truncate(2);
        core.note_synced(2, Some(2));
        assert_eq!(core.durable, 1);
    }

    #[test]
    fn next_membership_replaces_in_two_steps() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        let (old, new) = (replica("c", 1), replica("c", 2));
        core.durable = 1;
        follow(&mut core, now, &replica("b", 1), 1);
        follow(&mut core, now, &new, 0);
        core.commit_by_majority();
        // A learner that lags does not count yet.
        assert_eq!(core.next_membership(now), None);
        follow(&mut core, now, &new, 1);
        let without = core.next_membership(now).unwrap();
        assert!(!without.contains(&old) && !without.contains(&new));
        core.append_own(0, Payload::Members(Rc::new(without)));
        // The next step waits until this one is committed.
        assert_eq!(core.next_membership(now), None);
        core.durable = 2;
        follow(&mut core, now, &replica("b", 1), 2);
        follow(&mut core, now, &new, 2);
        core.commit_by_majority();
        assert!(core.next_membership(now).unwrap().contains(&new));
    }

    /// Puts a document whose list `control` has these names into the state.
    fn list(core: &mut Core, names: &[&str]) {
        let rows: Vec<String> = names
            .iter()
            .enumerate()
            .map(|(i, name)| {
                format!(
                    r#"{{"name":"{name}","zone":"z","address":"127.0.0.1:{}"}}"#,
                    i + 1
                )
            })
            .collect();
        let document = format!(
            r#"{{"name":"g","models":[],"services":[],"targets":[],"control":[{}]}}"#,
            rows.join(",")
        );
        let base = core.state.fleet().version;
        let command = Command::Fleet(FleetChange::new("anna", base, &document));
        let time_ms = 0;
        let outcome = core.state.apply_at(base + 1, Record { time_ms, command });
        assert!(matches!(outcome, Outcome::Fleet(Ok(_))), "{outcome:?}");
    }

    #[test]
    fn next_membership_follows_list() {
        let now = Instant::now();
        let mut core = leader(now, &voters());
        core.durable = 1;
        for voter in &voters()[1..] {
            follow(&mut core, now, voter, 1);
        }
        core.commit_by_majority();
        let learner = replica("d", 1);
        follow(&mut core, now, &learner, 1);
        list(&mut core, &["a", "b", "c"]);
        assert_eq!(core.next_membership(now), None);
        list(&mut core, &["a", "b", "c", "d"]);
        assert!(core.next_membership(now).unwrap().contains(&learner));
        list(&mut core, &["b"]);
        assert_eq!(core.next_membership(now).unwrap(), voters()[..2]);
        list(&mut core, &["x"]);
        assert_eq!(core.next_membership(now), None);
        // Without an answer of the voter that would stay, nothing could be committed any more.
        list(&mut core, &["b", "c"]);
        follow(&mut core, now - 2 * LEADER_LEASE, &voters()[1], 1);
        assert_eq!(core.next_membership(now), None);
    }

    quickcheck! {
        /// Any majority of a membership shares a voter with any majority of the next one.
        fn next_membership_majorities_meet(voters: u8, learner: u8) -> bool {
            let now = Instant::now();
            let voters: Vec<ReplicaId> =
                (0..voters % 7 + 1).map(|i| replica(&char::from(b'a' + i).to_string(), 1)).collect();
            let mut core = leader(now, &voters);
            core.durable = 1;
            let learner = replica(&char::from(b'b' + learner % 8).to_string(), 2);
            for voter in &voters[1..] {
                follow(&mut core, now, voter, 1);
            }
            core.commit_by_majority();
            follow(&mut core, now, &learner, 1);
            let Some(next) = core.next_membership(now) else {
                return voters.len() == MAX_VOTERS;
            };
            let shared = voters.iter().filter(|voter| next.contains(voter)).count();
            let majorities = voters.len() / 2 + 1 + next.len() / 2 + 1;
            let all = voters.len() + next.len() - shared;
            majorities > all && next.len() <= MAX_VOTERS && !next.is_empty()
        }
    }
}
