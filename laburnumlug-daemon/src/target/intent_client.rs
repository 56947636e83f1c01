//! Quorum reads of this target's intent from the control replicas.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnumlug::{FencingToken, QuorumConfirmation, TargetName};
use laburnumlug_mesh::{Connection, ControlMessage, Intent, MeshKey, Message, VotingStatus};

use crate::fleet_watch::FleetWatch;

/// Timeout for the answer of one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum age of a majority's confirmation of an intent for sending an order.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// An intent that a majority of the replicas confirmed as the newest.
#[derive(Clone, Debug)]
pub(super) struct ConfirmedIntent {
    pub(super) intent: Intent,
    /// When the requests to the replicas were sent.
    requested_at: Instant,
}

impl ConfirmedIntent {
    /// Returns whether the majority's confirmation is recent enough at `now` to send an order.
    pub(super) fn permits_order(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested_at) <= MAX_CONFIRMATION_AGE
    }
}

/// Reads one target's intent from the control replicas.
pub(super) struct IntentClient {
    target: TargetName,
    key: MeshKey,
    /// Finds the replicas.
    fleet: FleetWatch,
    replicas: Vec<ReplicaClient>,
    view: IntentView,
}

/// Newest intent that any replica has returned.
#[derive(Default)]
struct IntentView {
    newest: Option<Intent>,
    /// Index of the latest control log change that `newest` includes.
    applied_change: u64,
}

impl IntentView {
    fn generation(&self) -> FencingToken {
        self.newest.as_ref().map_or(0, |intent| intent.generation)
    }

    /// Merges an answer, unless the replica lags behind an earlier answer.
    fn merge(&mut self, applied_change: u64, intent: Option<Intent>) {
        if applied_change < self.applied_change {
            return;
        }
        self.applied_change = applied_change;
        let generation = self.generation();
        if let Some(newer) = intent.filter(|intent| intent.generation > generation) {
            self.newest = Some(newer);
        }
    }
}

impl IntentClient {
    pub(super) fn new(key: MeshKey, fleet: FleetWatch, target: &str) -> IntentClient {
        IntentClient {
            target: target.to_string(),
            key,
            fleet,
            replicas: Vec::new(),
            view: IntentView::default(),
        }
    }

    /// Adopts the replicas that were found; the connections to those that are still among them are kept.
    fn update_replicas(&mut self, found: &[SocketAddr]) {
        self.replicas
            .retain(|replica| found.contains(&replica.addr));
        for addr in found {
            if self.replicas.iter().all(|replica| replica.addr != *addr) {
                self.replicas.push(ReplicaClient {
                    addr: *addr,
                    key: self.key.clone(),
                    conn: None,
                });
            }
        }
    }

    /// Returns the newest intent, or `None` if no majority confirms that it is the newest.
    ///
    /// Every call queries all replicas: a committed change is in the logs of a majority, so at least one answer of any
    /// majority includes it, whether or not a replica believes itself to be the leader.
    pub(super) async fn fetch_confirmed(&mut self) -> Option<ConfirmedIntent> {
        let requested_at = Instant::now();
        let found = self.fleet.replicas(requested_at, None);
        self.update_replicas(&found);
        let known = self.view.generation();
        let target = &self.target;
        let mut confirmation = QuorumConfirmation::new(self.replicas.len());
        let mut requests: FuturesUnordered<_> = self
            .replicas
            .iter_mut()
            .enumerate()
            .map(|(i, replica)| async move { (i, replica.fetch(target, known).await) })
            .collect();
        while let Some((i, answer)) = requests.next().await {
            let Some(answer) = answer else { continue };
            confirmation.record_answer(i, requested_at, answer.logged_change, answer.voting_status);
            self.view.merge(answer.applied_change, answer.intent);
            if let Some(intent) = &self.view.newest
                && confirmation
                    .confirmed_at(self.view.applied_change)
                    .is_some()
            {
                let intent = intent.clone();
                return Some(ConfirmedIntent {
                    intent,
                    requested_at,
                });
            }
        }
        None
    }
}

/// Answer of one replica to a request for the target's intent.
struct IntentAnswer {
    voting_status: VotingStatus,
    logged_change: u64,
    applied_change: u64,
    intent: Option<Intent>,
}

/// Client of one replica, with a connection that is reused.
struct ReplicaClient {
    addr: SocketAddr,
    key: MeshKey,
    /// Idle connection; removed while a request is pending, so that a late answer is not matched to a later request.
    conn: Option<Connection>,
}

impl ReplicaClient {
    /// Fetches the replica's intent for `target`; returns `None` on a failure or timeout.
    async fn fetch(&mut self, target: &str, known: FencingToken) -> Option<IntentAnswer> {
        let fetching = self.fetch_without_timeout(target, known);
        compio::time::timeout(ANSWER_TIMEOUT, fetching).await.ok()?
    }

    async fn fetch_without_timeout(
        &mut self,
        target: &str,
        known: FencingToken,
    ) -> Option<IntentAnswer> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Connection::connect(self.addr, &self.key, ANSWER_TIMEOUT)
                .await
                .ok()?,
        };
        let request = ControlMessage::FetchIntent {
            target: target.to_string(),
            known,
        };
        conn.send("", &Message::Control(request)).await.ok()?;
        let Ok((_, Message::Control(answer))) = conn.recv().await else {
            return None;
        };
        let ControlMessage::Intent {
            voting_status,
            logged_change,
            applied_change,
            intent,
        } = answer
        else {
            return None;
        };
        self.conn = Some(conn);
        Some(IntentAnswer {
            voting_status,
            logged_change,
            applied_change,
            intent,
        })
    }
}

#[cfg(test)]
#[path = "intent_client_tests.rs"]
mod tests;
