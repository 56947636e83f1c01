//! Whether a data folder may take part: founding of a cluster and detection of outdated folders.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use laburnumlug_mesh::ReplicaId;

use super::core::Core;
use super::{PeerReplica, Replica, open};
use crate::entry::Entry;
use crate::entry::{Membership, Payload};
use crate::peer::{HelloAnswer, PeerAnswer, PeerRequest};
use crate::storage::Meta;

/// How often the other replicas are asked until the matter is settled.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a replica that is no voter makes itself known.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a replica may take for its answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a replica may take to become a founder.
const FOUND_TIMEOUT: Duration = Duration::from_secs(2);

/// What the other replicas' answers prove of this replica's folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// It holds all that they saw of it.
    Complete,
    /// It lacks something that one of them saw, or belongs to another cluster than they.
    Outdated,
    /// Too few have answered.
    Open,
}

impl Replica {
    /// Settles whether this replica may take part, and founds the cluster where none has data.
    pub(super) async fn run_standing(self: Rc<Self>) {
        while !self.core.borrow().verified {
            let answers = self.ask_peers().await;
            let finding = self.core.borrow().judge(&answers, self.peers().len());
            match finding {
                Finding::Complete => {
                    log::info!("the data folder holds all that others saw of it");
                    self.core.borrow_mut().verified = true;
                    self.notify();
                }
                Finding::Outdated => {
                    if let Err(err) = self.begin_anew().await {
                        return self.fail(&err);
                    }
                }
                Finding::Open => compio::time::sleep(ASK_INTERVAL).await,
            }
        }
        while self.core.borrow().meta.cluster.is_none() {
            if let Err(err) = self.found_if_first().await {
                return self.fail(&err);
            }
            compio::time::sleep(ASK_INTERVAL).await;
        }
        self.introduce().await;
    }

    /// Makes this replica known to the others again and again while it is no voter.
    ///
    /// A leader that has never heard of it can only learn of it this way.
    async fn introduce(&self) {
        loop {
            let is_voter = self.core.borrow().is_voter();
            if !is_voter {
                self.ask_peers().await;
            }
            compio::time::sleep(INTRODUCE_INTERVAL).await;
        }
    }

    async fn ask_peers(&self) -> Vec<HelloAnswer> {
        self.ask(&self.peers()).await
    }

    async fn ask_founders(&self) -> Vec<HelloAnswer> {
        self.ask(&self.cfg.peers).await
    }

    async fn ask(&self, peers: &[PeerReplica]) -> Vec<HelloAnswer> {
        let from = self.core.borrow().meta.replica.clone();
        let hello = PeerRequest::Hello { from };
        let asking = peers
            .iter()
            .map(|peer| self.call(peer.addr, &hello, HELLO_TIMEOUT));
        let answers = join_all(asking).await.into_iter();
        answers
            .filter_map(|answer| match answer {
                Ok(PeerAnswer::Hello(answer)) => Some(answer),
                _ => None,
            })
            .collect()
    }

    pub(super) fn hello(&self, from: &ReplicaId) -> HelloAnswer {
        let core = self.core.borrow();
        HelloAnswer {
            replica: core.meta.replica.clone(),
            cluster: core.meta.cluster,
            seen: core.seen.get(from).copied(),
            membership: core.log.membership().clone(),
        }
    }

    /// Begins the folder anew: what it held stays aside, and its old vote is never used again.
    async fn begin_anew(&self) -> io::Result<()> {
        log::error!("the data folder is an older copy or of another cluster, it begins anew");
        open::set_aside(&self.cfg.folder)?;
        let file = self.meta.lock().await;
        let meta = Meta::new(&self.cfg.name);
        file.write(&meta).await?;
        let mut core = self.core.borrow_mut();
        core.clear(Instant::now(), meta);
        core.verified = true;
        drop(core);
        self.notify();
        Ok(())
    }

    /// Founds the cluster if this replica's name is the first and no replica has data.
    ///
    /// All must answer: while one of them is silent, it might hold what another cluster acknowledged.
    async fn found_if_first(&self) -> io::Result<()> {
        let peers = &self.cfg.peers;
        let is_first = peers.iter().all(|peer| self.cfg.name < peer.name);
        if !self.cfg.may_found || !is_first {
            // A replica that stands by is made known to the others all the same.
            self.ask_peers().await;
            return Ok(());
        }
        // Only the replicas of the settings found a cluster; what else became known stands by.
        let answers = self.ask_founders().await;
        let all_empty = answers.iter().all(|answer| answer.cluster.is_none());
        if answers.len() < peers.len() || !all_empty {
            return Ok(());
        }
        let own = self.core.borrow().meta.replica.clone();
        let others = answers.into_iter().map(|answer| answer.replica);
        let founders: Vec<ReplicaId> = [own].into_iter().chain(others).collect();
        self.accept_founding(rand::random(), Rc::new(founders))
            .await?;
        let Some(founding) = self.founding() else {
            return Ok(());
        };
        join_all(
            peers
                .iter()
                .map(|peer| self.call(peer.addr, &founding, FOUND_TIMEOUT)),
        )
        .await;
        self.core.borrow_mut().election_at = Instant::now();
        Ok(())
    }

    /// Makes this replica one of the founders of a cluster, unless it belongs to one.
    pub(super) async fn accept_founding(
        &self,
        cluster: u64,
        founders: Rc<Vec<ReplicaId>>,
    ) -> io::Result<()> {
        let file = self.meta.lock().await;
        let entry = Rc::new(Entry {
            index: 1,
            term: 0,
            time_ms: 0,
            payload: Payload::Members(founders.clone()),
        });
        let written = {
            let mut core = self.core.borrow_mut();
            let is_founder = founders.contains(&core.meta.replica);
            if core.meta.cluster.is_some() || !core.verified || !is_founder {
                return Ok(());
            }
            core.truncate(1);
            core.append(entry);
            core.queued_writes
        };
        self.notify();
        self.wait_until(|core| core.synced_writes >= written || core.failed.is_some())
            .await;
        let meta = Meta {
            cluster: Some(cluster),
            ..self.core.borrow().meta.clone()
        };
        log::info!(
            "founding cluster {cluster:016x} of {} replicas",
            founders.len()
        );
        self.change_meta(&file, meta).await?;
        self.core.borrow_mut().postpone_election(Instant::now());
        Ok(())
    }

    /// Returns the question that makes a founder without data a member, while the log begins with the founding.
    pub(super) fn founding(&self) -> Option<PeerRequest> {
        let core = self.core.borrow();
        let first = core.log.get(1)?;
        match &first.payload {
            Payload::Members(founders) => Some(PeerRequest::Found {
                cluster: core.meta.cluster?,
                founders: founders.clone(),
            }),
            _ => None,
        }
    }
}

impl Core {
    /// Judges the folder by what `peers` other replicas answered.
    fn judge(&self, answers: &[HelloAnswer], peers: usize) -> Finding {
        let own = self.position();
        let lacks = |answer: &HelloAnswer| answer.seen.is_some_and(|seen| own.lacks(seen));
        if answers.iter().any(lacks) || self.is_foreign(answers, peers) {
            return Finding::Outdated;
        }
        let membership = self.log.membership();
        let needed = match membership.contains(&self.meta.replica) {
            true => membership.majority() - 1,
            false if membership.voters.is_empty() => peers.div_ceil(2),
            false => membership.majority(),
        };
        let counted = answers
            .iter()
            .filter(|answer| self.is_counted(membership, answer));
        match counted.count() >= needed {
            true => Finding::Complete,
            false => Finding::Open,
        }
    }

    fn is_counted(&self, membership: &Membership, answer: &HelloAnswer) -> bool {
        let is_voter = |voter: &ReplicaId| voter.name == answer.replica.name;
        let is_same = answer.cluster == self.meta.cluster || self.meta.cluster.is_none();
        is_same && (membership.voters.is_empty() || membership.voters.iter().any(is_voter))
    }

    /// Returns whether a majority of all replicas belongs to one other cluster.
    fn is_foreign(&self, answers: &[HelloAnswer], peers: usize) -> bool {
        let Some(own) = self.meta.cluster else {
            return false;
        };
        let mut counts: HashMap<u64, usize> = HashMap::new();
        for cluster in answers.iter().filter_map(|answer| answer.cluster) {
            *counts.entry(cluster).or_default() += 1;
        }
        let majority = peers.div_ceil(2) + 1;
        counts
            .iter()
            .any(|(cluster, count)| *cluster != own && *count >= majority)
    }
}
