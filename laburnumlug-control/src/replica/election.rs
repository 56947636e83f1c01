//! Leader election with pre-vote.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::core::{Core, ReplicaRole};
use super::{Replica, unix_millis};
use crate::entry::Term;
use crate::peer::{PeerAnswer, PeerRequest, VoteAnswer, VoteRequest};
use crate::position::Position;

/// Interval between checks whether to start an election or to step down.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for the answer to a vote or pre-vote request.
const VOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a vote or pre-vote.
enum VoteResult {
    Won,
    Lost,
    /// Another replica is in a newer term.
    Outdated(Term),
}

impl Replica {
    /// Starts an election when there is no contact with a leader, and steps down when there is none with a majority.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            let has_leader_role = matches!(self.core.borrow().role, ReplicaRole::Leader(_));
            if has_leader_role && (!self.is_leader(now) || self.core.borrow().is_removed_voter()) {
                self.step_down(now);
            }
            if self.core.borrow().is_election_due(now) {
                self.campaign().await;
            }
            compio::time::sleep(ELECTION_CHECK_INTERVAL).await;
        }
    }

    /// Runs a pre-vote and, if it is won, an election. The pre-vote keeps a replica that returns from a network
    /// partition from deposing a working leader.
    async fn campaign(self: &Rc<Self>) {
        self.core.borrow_mut().postpone_election(Instant::now());
        let Some(pre_vote) = self.core.borrow().vote_request(true) else {
            return;
        };
        match self.request_votes(pre_vote).await {
            VoteResult::Won => {}
            VoteResult::Lost => return,
            VoteResult::Outdated(term) => return self.observe_term(term).await,
        }
        let Some(req) = self.become_candidate(Instant::now()).await else {
            return;
        };
        let term = req.term;
        match self.request_votes(req).await {
            VoteResult::Won => self.become_leader(Instant::now(), term),
            VoteResult::Lost => self.core.borrow_mut().postpone_election(Instant::now()),
            VoteResult::Outdated(term) => self.observe_term(term).await,
        }
    }

    /// Starts a new term with a vote for itself.
    ///
    /// Returns `None` if a leader has made contact in the meantime, if this replica is no longer a voter, or if the
    /// vote cannot be written.
    async fn become_candidate(&self, now: Instant) -> Option<VoteRequest> {
        let file = self.meta.lock().await;
        if self.core.borrow().has_leader(now) || !self.core.borrow().is_voter() {
            return None;
        }
        let mut meta = self.core.borrow().meta.clone();
        meta.term += 1;
        meta.voted_for = Some(meta.replica.clone());
        self.change_meta(&file, meta).await.ok()?;
        let mut core = self.core.borrow_mut();
        core.role = ReplicaRole::Candidate;
        core.leader = None;
        core.vote_request(false)
    }

    fn become_leader(&self, now: Instant, term: Term) {
        let mut core = self.core.borrow_mut();
        let is_candidate = matches!(core.role, ReplicaRole::Candidate);
        if !is_candidate || core.meta.term != term || core.storage_error.is_some() {
            return;
        }
        core.start_leading(now, unix_millis(SystemTime::now()));
        drop(core);
        self.notify();
    }

    /// Requests votes from all known replicas and returns the result as soon as it is certain.
    ///
    /// The vote is won once a majority of the voters has granted it, and ends early if a replica is in a newer term. A
    /// replica that has not joined a cluster yet is sent the bootstrap request.
    async fn request_votes(&self, req: VoteRequest) -> VoteResult {
        let (voters, majority) = {
            let core = self.core.borrow();
            let membership = core.log.membership();
            (membership.voters.clone(), membership.majority())
        };
        let mut votes = 1;
        let request = PeerRequest::Vote(req.clone());
        let peers = self.peers();
        let mut pending: FuturesUnordered<_> = peers
            .iter()
            .map(|peer| async {
                (
                    peer.addr,
                    self.call_peer(peer.addr, &request, VOTE_TIMEOUT).await,
                )
            })
            .collect();
        while votes < majority {
            let Some((addr, answer)) = pending.next().await else {
                return VoteResult::Lost;
            };
            let Ok(PeerAnswer::Vote(answer)) = answer else {
                continue;
            };
            self.observe_voter_term(&answer);
            match answer {
                VoteAnswer { cluster: None, .. } => {
                    if let Some(bootstrap) = self.bootstrap_request() {
                        let _ = self.call_peer(addr, &bootstrap, VOTE_TIMEOUT).await;
                    }
                }
                VoteAnswer {
                    granted: true,
                    replica,
                    ..
                } if voters.contains(&replica) => votes += 1,
                VoteAnswer { term, .. } if term > req.term => return VoteResult::Outdated(term),
                _ => {}
            }
        }
        VoteResult::Won
    }

    /// Records the term that a voter has synced, so that an older copy of its data folder cannot vote in it again.
    fn observe_voter_term(&self, answer: &VoteAnswer) {
        let position = Position {
            term: answer.term,
            ..Position::default()
        };
        self.core
            .borrow_mut()
            .observe_position(&answer.replica, position);
    }

    /// Handles a vote request; returns `None` if it must not be answered.
    pub(super) async fn handle_vote(&self, req: VoteRequest) -> Option<VoteAnswer> {
        let file = self.meta.lock().await;
        let now = Instant::now();
        let granted = self.core.borrow().grants(now, &req);
        if granted {
            // The candidate gets time to win before this replica starts an election itself.
            self.core.borrow_mut().postpone_election(now);
        }
        if granted && !req.is_pre_vote {
            let mut meta = self.core.borrow().meta.clone();
            meta.term = req.term;
            meta.voted_for = Some(req.candidate.clone());
            self.change_meta(&file, meta).await.ok()?;
            let mut core = self.core.borrow_mut();
            core.step_down(now);
            core.leader = None;
            core.postpone_election(Instant::now());
        }
        let core = self.core.borrow();
        Some(VoteAnswer {
            replica: core.meta.replica.clone(),
            cluster: core.meta.cluster,
            term: core.meta.term,
            granted,
        })
    }
}

impl Core {
    fn vote_request(&self, is_pre_vote: bool) -> Option<VoteRequest> {
        Some(VoteRequest {
            cluster: self.meta.cluster?,
            term: self.meta.term + u64::from(is_pre_vote),
            candidate: self.meta.replica.clone(),
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
            is_pre_vote,
        })
    }

    /// Returns whether this replica grants a vote or pre-vote.
    ///
    /// A voter without contact to a leader votes for one candidate in each term, whose log must be at least as recent
    /// as its own.
    fn grants(&self, now: Instant, req: &VoteRequest) -> bool {
        let is_free = match &self.meta.voted_for {
            _ if req.term > self.meta.term => true,
            _ if req.term < self.meta.term => false,
            None => true,
            Some(voted_for) => *voted_for == req.candidate,
        };
        self.is_voter()
            && self.meta.cluster == Some(req.cluster)
            && !self.has_leader(now)
            && is_free
            && (req.last_term, req.last_index) >= (self.log.last_term(), self.log.last_index())
    }
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use laburnumlug_mesh::ReplicaId;
    use quickcheck::quickcheck;

    use super::*;
    use crate::entry::{Entry, Membership, Payload};
    use crate::entry_log::Log;
    use crate::storage::Meta;

    fn replica(name: &str) -> ReplicaId {
        ReplicaId {
            name: name.to_string(),
            incarnation: 1,
        }
    }

    /// Returns a verified voter at `term` with `entries` entries of that term and a vote for `voted_for`.
    fn voter(now: Instant, term: Term, entries: u64, voted_for: Option<&str>) -> Core {
        let meta = Meta {
            replica: replica("b"),
            cluster: Some(7),
            term,
            voted_for: voted_for.map(replica),
        };
        let voters = Rc::new(vec![replica("a"), replica("b"), replica("c")]);
        let mut log = Log::new(0, 0, Membership { index: 0, voters });
        for index in 1..=entries {
            let payload = Payload::Noop;
            let time_ms = 0;
            log.push(Rc::new(Entry {
                index,
                term,
                time_ms,
                payload,
            }));
        }
        let mut core = Core::new(now, meta, log, 100);
        core.verified = true;
        core
    }

    fn request(term: Term, last_term: Term, last_index: u64) -> VoteRequest {
        VoteRequest {
            cluster: 7,
            term,
            candidate: replica("a"),
            last_term,
            last_index,
            is_pre_vote: false,
        }
    }

    quickcheck! {
        fn grants_vote_only_if_log_is_up_to_date(own: u8, last_term: u8, last_index: u8) -> bool {
            let now = Instant::now();
            let core = voter(now, 3, u64::from(own), None);
            let own = if own == 0 { (0, 0) } else { (3, u64::from(own)) };
            let candidate_log = (u64::from(last_term % 6), u64::from(last_index));
            core.grants(now, &request(4, candidate_log.0, candidate_log.1)) == (candidate_log >= own)
        }

        fn grants_once_in_a_term(term: u8, own_term: u8) -> bool {
            let now = Instant::now();
            let core = voter(now, u64::from(own_term), 0, Some("c"));
            core.grants(now, &request(u64::from(term), 9, 9)) == (term > own_term)
        }
    }

    #[test]
    fn grants_unverified_folder() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        assert!(core.grants(now, &request(4, 3, 1)));
        core.verified = false;
        assert!(!core.grants(now, &request(4, 3, 1)));
    }

    #[test]
    fn grants_former_incarnation_of_voter() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        core.meta.replica.incarnation = 2;
        assert!(!core.grants(now, &request(4, 3, 1)));
    }

    #[test]
    fn grants_while_leader_is_heard() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        core.last_leader_contact = Some(now);
        assert!(!core.grants(now, &request(4, 3, 1)));
        assert!(core.grants(now + Duration::from_secs(2), &request(4, 3, 1)));
    }

    #[test]
    fn grants_other_cluster() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        core.meta.cluster = Some(8);
        assert!(!core.grants(now, &request(4, 3, 1)));
    }
}
