//! Bootstrap of a cluster, and detection of outdated data folders.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use laburnumlug_mesh::ReplicaId;

use super::core::Core;
use super::voter_status::PeerAnswers;
use super::{PeerReplica, Replica, backup};
use crate::entry::Entry;
use crate::entry::Payload;
use crate::peer::{HelloAnswer, PeerAnswer, PeerRequest};
use crate::storage::Meta;

/// Interval between requests to the other replicas until this replica is verified and has joined a cluster.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a replica that is not a voter announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the answer to [`PeerRequest::Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the answer to [`PeerRequest::Bootstrap`].
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Assessment of this replica's data folder by the other replicas' answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FolderStatus {
    /// It holds everything that the others observed of it.
    Complete,
    /// It lacks something that another replica observed of it, or a majority belongs to another cluster.
    Outdated,
    /// Too few replicas have answered.
    Undecided,
}

impl Replica {
    /// Verifies the data folder, bootstraps a cluster if no replica has data, and then announces this replica while it
    /// is not a voter.
    pub(super) async fn run_bootstrap(self: Rc<Self>) {
        while !self.core.borrow().verified {
            let answers = self.collect_peer_hellos().await;
            let status = self
                .core
                .borrow()
                .assess_folder(&answers, self.peers().len());
            match status {
                FolderStatus::Complete => {
                    log::info!(
                        "the data folder is verified: it holds everything that other replicas observed of it"
                    );
                    self.core.borrow_mut().verified = true;
                    self.notify();
                }
                FolderStatus::Outdated => {
                    if let Err(err) = self.reset_folder().await {
                        self.handle_storage_error(&err);
                        self.wait_until(|core| core.storage_error.is_none()).await;
                    }
                }
                FolderStatus::Undecided => compio::time::sleep(HELLO_INTERVAL).await,
            }
        }
        while self.core.borrow().meta.cluster.is_none() {
            if let Err(err) = self.bootstrap_if_first().await {
                self.handle_storage_error(&err);
                self.wait_until(|core| core.storage_error.is_none()).await;
            }
            compio::time::sleep(HELLO_INTERVAL).await;
        }
        self.announce_while_not_voter().await;
    }

    /// Announces this replica to the others periodically while it is not a voter.
    ///
    /// Only this way can a leader learn of a replica that it does not know yet.
    async fn announce_while_not_voter(self: &Rc<Self>) {
        loop {
            let is_voter = self.core.borrow().is_voter();
            if !is_voter {
                self.collect_peer_hellos().await;
            }
            compio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn collect_peer_hellos(self: &Rc<Self>) -> Vec<HelloAnswer> {
        self.collect_hellos(&self.peers()).await
    }

    /// Asks other replicas for their identities. The voters that they name become known, so that they are asked next.
    async fn collect_hellos(self: &Rc<Self>, peers: &[PeerReplica]) -> Vec<HelloAnswer> {
        let from = self.core.borrow().meta.replica.clone();
        let hello = PeerRequest::Hello { from };
        let calls = peers
            .iter()
            .map(|peer| self.call_peer(peer.addr, &hello, HELLO_TIMEOUT));
        let answers = join_all(calls).await.into_iter();
        let answers: Vec<HelloAnswer> = answers
            .filter_map(|answer| match answer {
                Ok(PeerAnswer::Hello(answer)) => Some(answer),
                _ => None,
            })
            .collect();
        *self.peer_answers.borrow_mut() = PeerAnswers::new(&answers);
        let own_membership = self.core.borrow().log.membership().index;
        let memberships = answers.iter().map(|answer| &answer.membership);
        for membership in memberships.filter(|m| m.index >= own_membership) {
            for voter in membership.voters.iter() {
                self.add_peer(&voter.name);
            }
        }
        answers
    }

    pub(super) fn hello_answer(&self, from: &ReplicaId) -> HelloAnswer {
        let core = self.core.borrow();
        HelloAnswer {
            replica: core.meta.replica.clone(),
            cluster: core.meta.cluster,
            observed_position: core.observed_positions.get(from).copied(),
            membership: core.log.membership().clone(),
            commit_index: core.commit_index,
        }
    }

    /// Resets the data folder under a new incarnation, so that its old vote is never used again, and keeps a backup.
    async fn reset_folder(&self) -> io::Result<()> {
        log::error!(
            "the data folder is an older copy or of another cluster; backing up its files and rejoining with an empty \
             log under a new incarnation"
        );
        backup::back_up_files(&self.cfg.folder, self.cfg.size_limits().backup)?;
        let file = self.meta.lock().await;
        let meta = Meta::new(&self.cfg.name);
        file.write(&meta).await?;
        let mut core = self.core.borrow_mut();
        core.reset(Instant::now(), meta);
        core.verified = true;
        drop(core);
        self.notify();
        Ok(())
    }

    /// Bootstraps a cluster if this replica is the one to do it and no replica has data.
    async fn bootstrap_if_first(self: &Rc<Self>) -> io::Result<()> {
        self.update_peers();
        // The requests also announce this replica to the others.
        let answers = self.collect_peer_hellos().await;
        if !self.cfg.may_bootstrap || !self.all_known_are_empty(&answers) {
            return Ok(());
        }
        let Some(initial_voters) = self.initial_voters(answers).await else {
            return Ok(());
        };
        self.accept_bootstrap(rand::random(), Rc::new(initial_voters))
            .await?;
        let Some(request) = self.bootstrap_request() else {
            return Ok(());
        };
        let peers = self.seeds_with_replica();
        join_all(
            peers
                .iter()
                .map(|peer| self.call_peer(peer.addr, &request, BOOTSTRAP_TIMEOUT)),
        )
        .await;
        self.core.borrow_mut().election_at = Instant::now();
        Ok(())
    }

    /// Returns whether no cluster is known and all replicas that are known have answered that they belong to none.
    fn all_known_are_empty(&self, answers: &[HelloAnswer]) -> bool {
        let known = match &self.directory {
            Some(directory) if directory.knows_cluster() => return false,
            Some(directory) => directory.replicas(),
            None => Vec::new(),
        };
        let has_answered = |addr: &SocketAddr| {
            let name = addr.to_string();
            answers.iter().any(|answer| answer.replica.name == name)
        };
        answers.iter().all(|answer| answer.cluster.is_none()) && known.iter().all(has_answered)
    }

    /// Returns the initial voters if this replica is to bootstrap the cluster.
    ///
    /// All other seeds must have answered, with an empty replica or that they hold none: one that does not answer might hold
    /// data that an existing cluster acknowledged. The initial voters are the seeds that hold a replica, and the first of them
    /// by name bootstraps the cluster; replicas that are discovered later join as learners. If no seed holds a replica, another
    /// replica bootstraps the cluster alone, with the agreement of each seed.
    async fn initial_voters(self: &Rc<Self>, answers: Vec<HelloAnswer>) -> Option<Vec<ReplicaId>> {
        let seeds = self.seeds_with_replica();
        let is_first = seeds.iter().all(|seed| self.cfg.name < seed.name);
        let seed_answers: Vec<HelloAnswer> = answers
            .into_iter()
            .filter(|answer| seeds.iter().any(|seed| seed.name == answer.replica.name))
            .collect();
        let may_bootstrap = match self.cfg.is_seed {
            true => is_first && seed_answers.len() == seeds.len(),
            false => seeds.is_empty() && self.request_agreement().await,
        };
        let own = self.core.borrow().meta.replica.clone();
        let others = seed_answers.into_iter().map(|answer| answer.replica);
        may_bootstrap.then(|| [own].into_iter().chain(others).collect())
    }

    /// Returns the other seeds, without those that have stated to hold no replica.
    fn seeds_with_replica(&self) -> Vec<PeerReplica> {
        let holds_no_replica = |seed: &PeerReplica| {
            let directory = self.directory.as_ref();
            directory.is_some_and(|directory| directory.holds_no_replica(seed.addr))
        };
        let seeds = self.cfg.peers.iter();
        seeds
            .filter(|seed| !holds_no_replica(seed))
            .cloned()
            .collect()
    }

    /// Asks all seeds in the order of their addresses to agree that this replica bootstraps the cluster.
    ///
    /// A candidate that the first seed has refused asks no other one, so no two of them wait for each other.
    async fn request_agreement(&self) -> bool {
        let Some(directory) = &self.directory else {
            return false;
        };
        let mut seeds: Vec<SocketAddr> = self.cfg.peers.iter().map(|peer| peer.addr).collect();
        seeds.sort_unstable();
        for seed in &seeds {
            if !directory.request_bootstrap(*seed).await {
                return false;
            }
        }
        !seeds.is_empty()
    }

    /// Makes this replica an initial voter of a new cluster, unless it already belongs to a cluster.
    pub(super) async fn accept_bootstrap(
        &self,
        cluster: u64,
        initial_voters: Rc<Vec<ReplicaId>>,
    ) -> io::Result<()> {
        let file = self.meta.lock().await;
        let entry = Rc::new(Entry {
            index: 1,
            term: 0,
            time_ms: 0,
            payload: Payload::Members(initial_voters.clone()),
        });
        let written = {
            let mut core = self.core.borrow_mut();
            let is_initial_voter = initial_voters.contains(&core.meta.replica);
            if core.meta.cluster.is_some() || !core.verified || !is_initial_voter {
                return Ok(());
            }
            core.truncate(1);
            core.append(entry);
            core.queued_write_count
        };
        self.notify();
        self.wait_until(|core| core.synced_write_count >= written || core.storage_error.is_some())
            .await;
        let meta = Meta {
            cluster: Some(cluster),
            ..self.core.borrow().meta.clone()
        };
        log::info!(
            "joining the new cluster {cluster:016x} as one of {} initial voters",
            initial_voters.len()
        );
        self.change_meta(&file, meta).await?;
        self.core.borrow_mut().postpone_election(Instant::now());
        Ok(())
    }

    /// Returns the request that makes an empty replica an initial voter, while the log still has its first entry.
    pub(super) fn bootstrap_request(&self) -> Option<PeerRequest> {
        let core = self.core.borrow();
        let first = core.log.get(1)?;
        match &first.payload {
            Payload::Members(initial_voters) => Some(PeerRequest::Bootstrap {
                cluster: core.meta.cluster?,
                initial_voters: initial_voters.clone(),
            }),
            _ => None,
        }
    }
}

impl Core {
    /// Assesses the data folder by the answers of the other replicas, of which `peer_count` are known.
    fn assess_folder(&self, answers: &[HelloAnswer], peer_count: usize) -> FolderStatus {
        let own = self.position();
        let shows_outdated = |answer: &HelloAnswer| {
            answer
                .observed_position
                .is_some_and(|observed| own.is_behind(observed))
        };
        if answers.iter().any(shows_outdated) || self.majority_is_foreign(answers, peer_count) {
            return FolderStatus::Outdated;
        }
        let is_same_cluster = |answer: &&HelloAnswer| {
            answer.cluster == self.meta.cluster || self.meta.cluster.is_none()
        };
        let answers: Vec<&HelloAnswer> = answers.iter().filter(is_same_cluster).collect();
        // The voters in this folder may all have been replaced since it was written.
        let memberships = answers
            .iter()
            .map(|answer| (&answer.membership, answer.commit_index));
        let newest = memberships
            .chain([(self.log.membership(), self.commit_index)])
            .max_by_key(|(membership, committed)| {
                // Of memberships that two leaders have logged at one index, at most one is committed.
                (membership.index, *committed >= membership.index)
            });
        let (newest, committed) = newest.expect("the own membership is always there");
        let is_voter = newest.contains(&self.meta.replica);
        // A learner catches up with the log that it has; a former voter would not announce itself.
        let was_voter = self.log.membership().contains(&self.meta.replica);
        if was_voter && !is_voter && committed >= newest.index {
            return FolderStatus::Outdated;
        }
        let needed = match is_voter {
            true => newest.majority() - 1,
            false if newest.voters.is_empty() => peer_count.div_ceil(2),
            false => newest.majority(),
        };
        let counts = |name: &&String| {
            let mut voters = newest.voters.iter();
            newest.voters.is_empty() || voters.any(|voter| voter.name == **name)
        };
        let names = answers.iter().map(|answer| &answer.replica.name);
        let answered: BTreeSet<&String> = names.filter(counts).collect();
        match answered.len() >= needed {
            true => FolderStatus::Complete,
            false => FolderStatus::Undecided,
        }
    }

    /// Returns whether a majority of all replicas belongs to one cluster other than this replica's.
    fn majority_is_foreign(&self, answers: &[HelloAnswer], peer_count: usize) -> bool {
        let Some(own) = self.meta.cluster else {
            return false;
        };
        let mut counts: HashMap<u64, usize> = HashMap::new();
        for cluster in answers.iter().filter_map(|answer| answer.cluster) {
            *counts.entry(cluster).or_default() += 1;
        }
        let majority = peer_count.div_ceil(2) + 1;
        counts
            .iter()
            .any(|(cluster, count)| *cluster != own && *count >= majority)
    }
}

#[cfg(test)]
#[path = "bootstrap_tests.rs"]
mod tests;
