//! Freshness check of a local copy of replicated state against a majority of the control replicas.

use std::time::Instant;

use crate::voting_status::{ReplicaId, VotingStatus};

/// Latest answer of one replica.
#[derive(Clone, Debug)]
struct ReplicaAnswer<T> {
    /// Time at which the query was sent.
    asked_at: T,
    /// Index of the newest log entry, committed or not, that may change the queried state.
    logged_change: u64,
    voting_status: VotingStatus,
}

/// Latest answers of all control replicas to one query; `T` is a time of the clock that the user measures ages with.
///
/// A committed change is synced to disk on a majority of the voters, so at least one answer of any majority
/// reports it. Confirmation does not need the leader, so elections do not interrupt it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use laburnumlug::{QuorumConfirmation, ReplicaId, VotingStatus};
///
/// let voters: Vec<ReplicaId> = ["a", "b", "c"]
///     .map(|name| ReplicaId { name: name.to_string(), incarnation: 1 })
///     .to_vec();
/// let voting_status = |i: usize| VotingStatus {
///     replica: voters[i].clone(),
///     verified: true,
///     membership: 1,
///     voters: voters.clone(),
/// };
/// let mut confirmation = QuorumConfirmation::new(3);
/// let asked_at = Instant::now();
/// confirmation.record_answer(0, asked_at, 7, voting_status(0));
/// assert_eq!(confirmation.confirmed_at(7), None);
///
/// // Two of three replicas have logged nothing newer than entry 7, so a copy that includes it is up to date.
/// confirmation.record_answer(1, asked_at, 7, voting_status(1));
/// assert_eq!(confirmation.confirmed_at(7), Some(asked_at));
/// ```
#[derive(Clone, Debug)]
pub struct QuorumConfirmation<T = Instant> {
    /// One slot per replica, in the order of the settings.
    answers: Vec<Option<ReplicaAnswer<T>>>,
}

impl<T> QuorumConfirmation<T>
where
    T: Copy + Ord,
{
    /// Creates a confirmation by `replicas` replicas, none of which has answered yet.
    pub fn new(replicas: usize) -> QuorumConfirmation<T> {
        QuorumConfirmation {
            answers: (0..replicas).map(|_| None).collect(),
        }
    }

    /// Records the answer of the replica at index `replica` to a query that was sent at `asked_at`.
    ///
    /// An index beyond the number given to [`QuorumConfirmation::new`] adds replicas.
    pub fn record_answer(
        &mut self,
        replica: usize,
        asked_at: T,
        logged_change: u64,
        voting_status: VotingStatus,
    ) {
        if replica >= self.answers.len() {
            self.answers.resize_with(replica + 1, || None);
        }
        self.answers[replica] = Some(ReplicaAnswer {
            asked_at,
            logged_change,
            voting_status,
        });
    }

    /// Removes the answer of the replica at index `replica`, which is no longer queried.
    pub fn remove_answer(&mut self, replica: usize) {
        if let Some(answer) = self.answers.get_mut(replica) {
            *answer = None;
        }
    }

    /// Returns the latest time at which a majority of the voters had logged no change after `applied_index`.
    ///
    /// A local copy with all changes up to that index was then up to date. Users of the copy compare this time with
    /// their own staleness bound before they act on the copy.
    pub fn confirmed_at(&self, applied_index: u64) -> Option<T> {
        let voters = self.voters()?;
        let mut asked_times: Vec<T> = voters
            .iter()
            .filter_map(|voter| self.latest_answer_of(voter))
            .filter(|answer| answer.voting_status.verified && answer.logged_change <= applied_index)
            .map(|answer| answer.asked_at)
            .collect();
        asked_times.sort_unstable_by(|a, b| b.cmp(a));
        asked_times.get(voters.len() / 2).copied()
    }

    /// Returns the index of the newest change, committed or not, that a replica has logged by its latest answer.
    pub fn newest_logged_change(&self) -> Option<u64> {
        let answers = self.answers.iter().flatten();
        answers.map(|answer| answer.logged_change).max()
    }

    /// Returns whether a majority of the voters has answered, leaving out the answers of replicas whose indexes `is_left_out` names.
    ///
    /// A replica that has lost its data answers under a new incarnation and is no voter. A majority that has answered either
    /// confirms a copy, or has logged a change that the copy lacks, or will confirm it once the replicas know of each other.
    pub fn can_confirm<F>(&self, is_left_out: F) -> bool
    where
        F: Fn(usize) -> bool,
    {
        let Some(voters) = self.voters() else {
            return false;
        };
        let answers = self.answers.iter().enumerate();
        let replicas: Vec<&ReplicaId> = answers
            .filter(|(i, _)| !is_left_out(*i))
            .filter_map(|(_, answer)| Some(&answer.as_ref()?.voting_status.replica))
            .collect();
        let answered = voters.iter().filter(|voter| replicas.contains(voter));
        answered.count() > voters.len() / 2
    }

    /// Returns the voters of the newest membership among the answers.
    ///
    /// Majorities of successive memberships intersect, so any majority of an outdated membership includes a replica
    /// that has logged its successor.
    fn voters(&self) -> Option<&[ReplicaId]> {
        let newest = self
            .answers
            .iter()
            .flatten()
            .max_by_key(|answer| answer.voting_status.membership)?;
        Some(&newest.voting_status.voters)
    }

    fn latest_answer_of(&self, voter: &ReplicaId) -> Option<&ReplicaAnswer<T>> {
        let answers = self.answers.iter().flatten();
        answers
            .filter(|answer| answer.voting_status.replica == *voter)
            .max_by_key(|answer| answer.asked_at)
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn replica(number: u64) -> ReplicaId {
        ReplicaId {
            name: format!("control-{number}"),
            incarnation: number,
        }
    }

    fn voting_status(number: u64, membership: u64, voters: &[u64]) -> VotingStatus {
        VotingStatus {
            replica: replica(number),
            verified: true,
            membership,
            voters: voters.iter().copied().map(replica).collect(),
        }
    }

    /// Returns a confirmation with the given answers from replicas 1, 2 and so on.
    fn confirmation_from(answers: &[(Instant, u64)]) -> QuorumConfirmation {
        let mut confirmation = QuorumConfirmation::new(3);
        for (i, (asked_at, logged_change)) in answers.iter().enumerate() {
            let voting_status = voting_status(i as u64 + 1, 1, &[1, 2, 3]);
            confirmation.record_answer(i, *asked_at, *logged_change, voting_status);
        }
        confirmation
    }

    #[test]
    fn confirmed_at_needs_majority() {
        let now = Instant::now();
        assert_eq!(confirmation_from(&[(now, 2)]).confirmed_at(2), None);
        assert_eq!(
            confirmation_from(&[(now, 2), (now, 2)]).confirmed_at(2),
            Some(now)
        );
    }

    #[test]
    fn confirmed_at_newer_change_logged() {
        let now = Instant::now();
        assert_eq!(
            confirmation_from(&[(now, 2), (now, 3)]).confirmed_at(2),
            None
        );
    }

    #[test]
    fn confirmed_at_oldest_of_majority() {
        let now = Instant::now();
        let earlier = now - Duration::from_secs(1);
        let confirmation = confirmation_from(&[(earlier, 2), (now, 1)]);
        assert_eq!(confirmation.confirmed_at(2), Some(earlier));
    }

    #[test]
    fn confirmed_at_unverified_replica() {
        let now = Instant::now();
        let mut confirmation = confirmation_from(&[(now, 2)]);
        let mut outdated = voting_status(2, 1, &[1, 2, 3]);
        outdated.verified = false;
        confirmation.record_answer(1, now, 0, outdated);
        assert_eq!(confirmation.confirmed_at(2), None);
    }

    #[test]
    fn confirmed_at_replaced_voter() {
        let now = Instant::now();
        let mut confirmation = QuorumConfirmation::new(3);
        // Replica 3 was replaced by 4, which only replica 1 has logged.
        confirmation.record_answer(0, now, 2, voting_status(1, 9, &[1, 2, 4]));
        confirmation.record_answer(1, now, 5, voting_status(2, 1, &[1, 2, 3]));
        confirmation.record_answer(2, now, 2, voting_status(3, 1, &[1, 2, 3]));
        assert_eq!(confirmation.confirmed_at(2), None);
    }

    #[test]
    fn confirmed_at_grown_membership() {
        let now = Instant::now();
        let mut confirmation = confirmation_from(&[(now, 2), (now, 2)]);
        confirmation.record_answer(2, now, 2, voting_status(3, 9, &[1, 2, 3, 4, 5]));
        assert_eq!(confirmation.confirmed_at(2), Some(now));
        confirmation.record_answer(2, now, 3, voting_status(3, 9, &[1, 2, 3, 4, 5]));
        assert_eq!(confirmation.confirmed_at(2), None);
    }
}
