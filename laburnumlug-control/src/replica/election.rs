//! Elections.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::core::{Core, Role};
use super::{Replica, unix_millis};
use crate::entry::Term;
use crate::peer::{PeerAnswer, PeerRequest, VoteAnswer, VoteRequest};
use crate::position::Position;

/// How often the need for an election, or to step down, is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a replica may take for its vote.
const VOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// How an election ended.
enum Ending {
    Won,
    Lost,
    /// Another replica is in a newer term.
    Outdated(Term),
}

impl Replica {
    /// Stands for election whenever no leader is heard, and steps down whenever no majority is.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            let leads = matches!(self.core.borrow().role, Role::Leader(_));
            if leads && (!self.is_leader(now) || self.core.borrow().is_retired()) {
                self.step_down(now);
            }
            if self.core.borrow().is_election_due(now) {
                self.stand().await;
            }
            compio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Stands for election: asks first if it would win, so that a replica that was cut off does not depose a
    /// leader that works.
    async fn stand(self: &Rc<Self>) {
        self.core.borrow_mut().postpone_election(Instant::now());
        let Some(trial) = self.core.borrow().vote_request(true) else {
            return;
        };
        match self.ask_votes(trial).await {
            Ending::Won => {}
            Ending::Lost => return,
            Ending::Outdated(term) => return self.observe_term(term).await,
        }
        let Some(req) = self.become_candidate(Instant::now()).await else {
            return;
        };
        let term = req.term;
        match self.ask_votes(req).await {
            Ending::Won => self.become_leader(Instant::now(), term),
            Ending::Lost => self.core.borrow_mut().postpone_election(Instant::now()),
            Ending::Outdated(term) => self.observe_term(term).await,
        }
    }

    /// Begins a new term with a vote for itself, unless a leader was heard meanwhile.
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
        core.role = Role::Candidate;
        core.leader = None;
        core.vote_request(false)
    }

    fn become_leader(&self, now: Instant, term: Term) {
        let mut core = self.core.borrow_mut();
        let is_candidate = matches!(core.role, Role::Candidate);
        if !is_candidate || core.meta.term != term || core.failed.is_some() {
            return;
        }
        core.lead(now, unix_millis(SystemTime::now()));
        drop(core);
        self.notify();
    }

    /// Asks all voters and returns as soon as a majority has granted its vote.
    async fn ask_votes(&self, req: VoteRequest) -> Ending {
        let (voters, majority) = {
            let core = self.core.borrow();
            let membership = core.log.membership();
            (membership.voters.clone(), membership.majority())
        };
        let mut votes = 1;
        let question = PeerRequest::Vote(req.clone());
        let peers = self.peers();
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .map(|peer| async {
                (
                    peer.addr,
                    self.call(peer.addr, &question, VOTE_TIMEOUT).await,
                )
            })
            .collect();
        while votes < majority {
            let Some((addr, answer)) = asked.next().await else {
                return Ending::Lost;
            };
            let Ok(PeerAnswer::Vote(answer)) = answer else {
                continue;
            };
            self.note_voter(&answer);
            match answer {
                VoteAnswer { cluster: None, .. } => {
                    if let Some(founding) = self.founding() {
                        let _ = self.call(addr, &founding, VOTE_TIMEOUT).await;
                    }
                }
                VoteAnswer {
                    granted: true,
                    replica,
                    ..
                } if voters.contains(&replica) => votes += 1,
                VoteAnswer { term, .. } if term > req.term => return Ending::Outdated(term),
                _ => {}
            }
        }
        Ending::Won
    }

    /// Remembers the term that a voter has synced, so that an older copy of its folder does not vote again in it.
    fn note_voter(&self, answer: &VoteAnswer) {
        let position = Position {
            term: answer.term,
            ..Position::default()
        };
        self.core.borrow_mut().note_seen(&answer.replica, position);
    }

    /// Answers a candidate; `None` where this replica must not answer.
    pub(super) async fn vote(&self, req: VoteRequest) -> Option<VoteAnswer> {
        let file = self.meta.lock().await;
        let now = Instant::now();
        let granted = self.core.borrow().grants(now, &req);
        if granted {
            // The candidate gets time to win before this replica stands itself.
            self.core.borrow_mut().postpone_election(now);
        }
        if granted && !req.is_trial {
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
    fn vote_request(&self, is_trial: bool) -> Option<VoteRequest> {
        Some(VoteRequest {
            cluster: self.meta.cluster?,
            term: self.meta.term + u64::from(is_trial),
            candidate: self.meta.replica.clone(),
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
            is_trial,
        })
    }

    /// Returns whether the candidate gets, or would get, the vote.
    fn grants(&self, now: Instant, req: &VoteRequest) -> bool {
        let is_free = match &self.meta.voted_for {
            _ if req.term > self.meta.term => true,
            _ if req.term < self.meta.term => false,
            None => true,
            Some(holder) => *holder == req.candidate,
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
            is_trial: false,
        }
    }

    quickcheck! {
        fn grants_only_longer_logs(own: u8, last_term: u8, last_index: u8) -> bool {
            let now = Instant::now();
            let core = voter(now, 3, u64::from(own), None);
            let own = if own == 0 { (0, 0) } else { (3, u64::from(own)) };
            let asked = (u64::from(last_term % 6), u64::from(last_index));
            core.grants(now, &request(4, asked.0, asked.1)) == (asked >= own)
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
    fn grants_former_life_of_a_voter() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        core.meta.replica.incarnation = 2;
        assert!(!core.grants(now, &request(4, 3, 1)));
    }

    #[test]
    fn grants_while_leader_is_heard() {
        let now = Instant::now();
        let mut core = voter(now, 3, 1, None);
        core.heard_at = Some(now);
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
