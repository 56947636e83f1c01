//! Confirmation of a held view against a majority of the control replicas.

use std::time::Instant;

use crate::standing::{ReplicaId, ReplicaStanding};

/// Last answer of one replica.
#[derive(Clone, Debug)]
struct Answer {
    /// When the question was asked.
    asked_at: Instant,
    /// Newest log entry, committed or not, that may change what was asked for.
    logged_change: u64,
    standing: ReplicaStanding,
}

/// Last answers of all replicas to one question.
///
/// Whatever was accepted is synced at a majority of the voters, so it shows in at least one answer of any
/// majority. The leader is not needed: elections do not disturb confirmation.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use laburnumlug::{Confirmation, ReplicaId, ReplicaStanding};
///
/// let voters: Vec<ReplicaId> = ["a", "b", "c"]
///     .map(|name| ReplicaId { name: name.to_string(), incarnation: 1 })
///     .to_vec();
/// let standing = |i: usize| ReplicaStanding {
///     replica: voters[i].clone(),
///     verified: true,
///     membership: 1,
///     voters: voters.clone(),
/// };
/// let mut confirmation = Confirmation::new(3);
/// let asked_at = Instant::now();
/// confirmation.note(0, asked_at, 7, standing(0));
/// assert_eq!(confirmation.confirmed_at(7), None);
///
/// // Two of three have logged nothing newer than entry 7, so a view of it is the newest.
/// confirmation.note(1, asked_at, 7, standing(1));
/// assert_eq!(confirmation.confirmed_at(7), Some(asked_at));
/// ```
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// In the order of the settings.
    answers: Vec<Option<Answer>>,
}

impl Confirmation {
    /// Creates a confirmation without answers from `replicas` replicas.
    pub fn new(replicas: usize) -> Confirmation {
        Confirmation {
            answers: vec![None; replicas],
        }
    }

    /// Notes the answer of the replica at position `replica` to a question that was asked at `asked_at`.
    ///
    /// A position beyond the number given to [`Confirmation::new`] adds replicas.
    pub fn note(
        &mut self,
        replica: usize,
        asked_at: Instant,
        logged_change: u64,
        standing: ReplicaStanding,
    ) {
        if replica >= self.answers.len() {
            self.answers.resize(replica + 1, None);
        }
        self.answers[replica] = Some(Answer {
            asked_at,
            logged_change,
            standing,
        });
    }

    /// Returns when a view that takes all changes up to `applied` into account was last known to be the newest.
    ///
    /// A caller acts on the view only while this is recent, by a bound of its own choice.
    pub fn confirmed_at(&self, applied: u64) -> Option<Instant> {
        let voters = self.voters()?;
        let mut asked: Vec<Instant> = voters
            .iter()
            .filter_map(|voter| self.latest_of(voter))
            .filter(|answer| answer.standing.verified && answer.logged_change <= applied)
            .map(|answer| answer.asked_at)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(voters.len() / 2).copied()
    }

    /// Returns the voters of the newest membership among the answers.
    ///
    /// Successive memberships have a majority in common, so a majority of an outdated one contains a replica that
    /// has logged its successor.
    fn voters(&self) -> Option<&[ReplicaId]> {
        let newest = self
            .answers
            .iter()
            .flatten()
            .max_by_key(|answer| answer.standing.membership)?;
        Some(&newest.standing.voters)
    }

    fn latest_of(&self, voter: &ReplicaId) -> Option<&Answer> {
        let answers = self.answers.iter().flatten();
        answers
            .filter(|answer| answer.standing.replica == *voter)
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

    fn standing(number: u64, membership: u64, voters: &[u64]) -> ReplicaStanding {
        ReplicaStanding {
            replica: replica(number),
            verified: true,
            membership,
            voters: voters.iter().copied().map(replica).collect(),
        }
    }

    /// Notes answers of the replicas 1, 2 and so on.
    fn answered(answers: &[(Instant, u64)]) -> Confirmation {
        let mut confirmation = Confirmation::new(3);
        for (i, (asked_at, logged_change)) in answers.iter().enumerate() {
            let standing = standing(i as u64 + 1, 1, &[1, 2, 3]);
            confirmation.note(i, *asked_at, *logged_change, standing);
        }
        confirmation
    }

    #[test]
    fn confirmed_at_needs_majority() {
        let now = Instant::now();
        assert_eq!(answered(&[(now, 2)]).confirmed_at(2), None);
        assert_eq!(answered(&[(now, 2), (now, 2)]).confirmed_at(2), Some(now));
    }

    #[test]
    fn confirmed_at_newer_change_logged() {
        let now = Instant::now();
        assert_eq!(answered(&[(now, 2), (now, 3)]).confirmed_at(2), None);
    }

    #[test]
    fn confirmed_at_oldest_of_majority() {
        let now = Instant::now();
        let earlier = now - Duration::from_secs(1);
        let confirmation = answered(&[(earlier, 2), (now, 1)]);
        assert_eq!(confirmation.confirmed_at(2), Some(earlier));
    }

    #[test]
    fn confirmed_at_unverified_replica() {
        let now = Instant::now();
        let mut confirmation = answered(&[(now, 2)]);
        let mut outdated = standing(2, 1, &[1, 2, 3]);
        outdated.verified = false;
        confirmation.note(1, now, 0, outdated);
        assert_eq!(confirmation.confirmed_at(2), None);
    }

    #[test]
    fn confirmed_at_replaced_voter() {
        let now = Instant::now();
        let mut confirmation = Confirmation::new(3);
        // Replica 3 was replaced by 4, which only replica 1 has logged.
        confirmation.note(0, now, 2, standing(1, 9, &[1, 2, 4]));
        confirmation.note(1, now, 5, standing(2, 1, &[1, 2, 3]));
        confirmation.note(2, now, 2, standing(3, 1, &[1, 2, 3]));
        assert_eq!(confirmation.confirmed_at(2), None);
    }

    #[test]
    fn confirmed_at_grown_membership() {
        let now = Instant::now();
        let mut confirmation = answered(&[(now, 2), (now, 2)]);
        confirmation.note(2, now, 2, standing(3, 9, &[1, 2, 3, 4, 5]));
        assert_eq!(confirmation.confirmed_at(2), Some(now));
        confirmation.note(2, now, 3, standing(3, 9, &[1, 2, 3, 4, 5]));
        assert_eq!(confirmation.confirmed_at(2), None);
    }
}
