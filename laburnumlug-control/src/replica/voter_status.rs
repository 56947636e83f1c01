//! Voters as this replica sees them, and warnings while there are too few or while this replica is none.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_mesh::ReplicaId;

use super::Replica;
use super::core::{Core, ReplicaRole};
use super::leadership::MAX_VOTERS;
use crate::entry::LogIndex;
use crate::peer::HelloAnswer;

/// Interval between checks whether a warning is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of addresses in one log field.
const MAX_LOGGED_ADDRS: usize = 16;

/// Voters of the newest membership, as a replica sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VoterStatus {
    /// Configured number of voters; `None` if the settings name none.
    pub wanted: Option<usize>,
    /// Number of voters.
    pub voters: usize,
    /// What the leader knows of the other replicas; `None` unless this replica leads.
    pub contacts: Option<VoterContacts>,
}

/// Other replicas as their leader sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VoterContacts {
    /// Number of voters that have answered recently, with the leader.
    pub responsive: usize,
    /// Names of the other voters.
    pub silent: Vec<String>,
    /// Names of the replicas that answer and are not voters.
    pub learners: Vec<String>,
}

impl VoterStatus {
    /// Returns whether this replica leads and fewer voters answer than are configured, or than there are.
    pub fn is_short(&self) -> bool {
        let wanted = self.wanted.unwrap_or(0).max(self.voters);
        let contacts = self.contacts.as_ref();
        contacts.is_some_and(|contacts| contacts.responsive < wanted)
    }
}

/// Time since which a state lasts, and when a warning of it was last due.
#[derive(Debug, Default)]
pub(super) struct StateWarning {
    began_at: Option<Instant>,
    warned_at: Option<Instant>,
}

impl StateWarning {
    /// Time after which the first warning is due, and the interval between warnings.
    const INTERVAL: Duration = Duration::from_secs(10);

    /// Records whether the state holds at `now`; returns how long it has lasted if a warning is due.
    pub(super) fn record(&mut self, now: Instant, holds: bool) -> Option<Duration> {
        if !holds {
            *self = StateWarning::default();
            return None;
        }
        let began_at = *self.began_at.get_or_insert(now);
        let last = self.warned_at.unwrap_or(began_at);
        if now.saturating_duration_since(last) < Self::INTERVAL {
            return None;
        }
        self.warned_at = Some(now);
        Some(now.saturating_duration_since(began_at))
    }

    /// Returns whether a warning was due since the state began.
    pub(super) fn is_reported(&self) -> bool {
        self.warned_at.is_some()
    }
}

/// Answers to the last requests for the identities of other replicas.
#[derive(Debug, Default)]
pub(super) struct PeerAnswers {
    /// Names of the replicas that answered.
    replicas: Vec<String>,
    /// Index of the newest membership that they named.
    membership: LogIndex,
}

impl PeerAnswers {
    pub(super) fn new(answers: &[HelloAnswer]) -> PeerAnswers {
        let replicas = answers.iter().map(|answer| answer.replica.name.clone());
        let memberships = answers.iter().map(|answer| answer.membership.index);
        PeerAnswers {
            replicas: replicas.collect(),
            membership: memberships.max().unwrap_or(0),
        }
    }
}

impl Core {
    /// Returns the voters as this replica sees them. `wanted` is the configured number.
    pub(super) fn voter_status(&self, now: Instant, wanted: Option<usize>) -> VoterStatus {
        VoterStatus {
            wanted: wanted.map(|wanted| wanted.min(MAX_VOTERS)),
            voters: self.log.membership().voters.len(),
            contacts: self.voter_contacts(now),
        }
    }

    fn voter_contacts(&self, now: Instant) -> Option<VoterContacts> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return None;
        };
        let membership = self.log.membership();
        let (responsive, silent): (Vec<&ReplicaId>, Vec<&ReplicaId>) = membership
            .voters
            .iter()
            .partition(|voter| self.has_recent_contact(now, leadership, voter));
        let learners = leadership.progress.values().filter(|progress| {
            let learner = &progress.replica;
            !membership.contains(learner) && self.has_recent_contact(now, leadership, learner)
        });
        Some(VoterContacts {
            responsive: responsive.len(),
            silent: silent.iter().map(|voter| voter.name.clone()).collect(),
            learners: learners.map(|p| p.replica.name.clone()).collect(),
        })
    }

    /// Returns whether this replica should be a voter and is none.
    ///
    /// A replica on standby, and one that the fleet document does not list, remain learners: no place is free for them.
    pub(super) fn lacks_vote(&self, now: Instant) -> bool {
        let (membership, replica) = (self.log.membership(), &self.meta.replica);
        let is_place_free = membership.voters.len() < self.max_voters
            && self.state.may_vote(&replica.name)
            || membership.contains(replica);
        !self.is_voter() && (is_place_free || !self.has_leader(now))
    }
}

impl Replica {
    /// Returns the voters as this replica sees them.
    pub fn voter_status(&self, now: Instant) -> VoterStatus {
        self.core.borrow().voter_status(now, self.cfg.voters)
    }

    /// Logs warnings while the membership is short or while this replica should be a voter and is none.
    pub(super) async fn run_voter_warnings(self: Rc<Self>) {
        let (mut shortage, mut missing_vote) = (StateWarning::default(), StateWarning::default());
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let status = self.voter_status(now);
            let was_reported = shortage.is_reported();
            match shortage.record(now, status.is_short()) {
                Some(lasting) => log_shortage(&status, lasting),
                None if was_reported && !status.is_short() && status.contacts.is_some() => {
                    log::info!(voters = status.voters; "all voters of the control log answer again");
                }
                None => {}
            }
            let lacks_vote = self.core.borrow().lacks_vote(now);
            if let Some(lasting) = missing_vote.record(now, lacks_vote) {
                self.log_missing_vote(now, lasting);
            }
        }
    }

    fn log_missing_vote(&self, now: Instant, lasting: Duration) {
        let core = self.core.borrow();
        let answers = self.peer_answers.borrow();
        let seeds: Vec<String> = match &self.directory {
            Some(directory) => {
                let seeds = directory.status(now).seeds;
                seeds.iter().map(ToString::to_string).collect()
            }
            None => self.cfg.peers.iter().map(|p| p.addr.to_string()).collect(),
        };
        let replicas = self.peers().into_iter().map(|peer| peer.name);
        log::warn!(
            seeds = joined(seeds).as_str(), replicas = joined(replicas).as_str(),
            answered = joined(answers.replicas.iter().cloned()).as_str(), membership = answers.membership,
            voters = core.log.membership().voters.len(), leader = core.leader.as_deref().unwrap_or(""),
            verified = core.verified;
            "this control replica has not been a voter for {} s", lasting.as_secs()
        );
    }
}

fn log_shortage(status: &VoterStatus, lasting: Duration) {
    let contacts = status.contacts.clone().unwrap_or_default();
    log::warn!(
        wanted = status.wanted, voters = status.voters, responsive = contacts.responsive,
        silent = joined(contacts.silent).as_str(), learners = joined(contacts.learners).as_str();
        "too few voters of the control log have answered for {} s", lasting.as_secs()
    );
}

/// Returns names separated by commas, at most [`MAX_LOGGED_ADDRS`] of them.
fn joined<N>(names: N) -> String
where
    N: IntoIterator<Item = String>,
{
    let names = names.into_iter().take(MAX_LOGGED_ADDRS);
    names.collect::<Vec<String>>().join(", ")
}

#[cfg(test)]
#[path = "voter_status_tests.rs"]
mod tests;
