//! Linearizable reads of the fleet document, confirmed by a majority of the voters at the time of the read.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnumlug::QuorumConfirmation;

use super::{Replica, wait_for_event};
use crate::command::Command;
use crate::error::{Error, ErrorKind};
use crate::peer::{FleetLogState, PeerAnswer, PeerRequest};
use crate::state::{FleetSnapshot, State};

/// Timeout for the fleet log state of another replica.
const FLEET_LOG_STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for logged changes to be committed, before the other replicas are asked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Replica {
    /// Returns the fleet document; a majority of the voters has confirmed after the call began that it is the newest.
    ///
    /// # Errors
    ///
    /// Fails if no majority of the voters confirms it within `timeout`.
    pub async fn read_fleet(&self, timeout: Duration) -> Result<FleetSnapshot, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            // One attempt lasts until the last replica has answered or timed out.
            let attempt = compio::time::timeout(remaining, self.majority_confirmed_fleet());
            if let Ok(Some(fleet)) = attempt.await {
                return Ok(fleet);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(Error::new(ErrorKind::NoLeader));
            }
            wait_for_event(self.changed.listen(), RECHECK_INTERVAL.min(remaining)).await;
        }
    }

    /// Asks all replicas once and returns the document if a majority of the voters has logged no newer change.
    async fn majority_confirmed_fleet(&self) -> Option<FleetSnapshot> {
        let peers = self.peers();
        let mut confirmation = QuorumConfirmation::new(peers.len() + 1);
        let asked_at = Instant::now();
        let own = self.fleet_log_state();
        confirmation.record_answer(peers.len(), asked_at, own.logged_change, own.voting_status);
        let req = PeerRequest::FleetLogState;
        let mut pending: FuturesUnordered<_> = peers
            .iter()
            .enumerate()
            .map(|(i, peer)| {
                let req = &req;
                async move {
                    (
                        i,
                        self.call_peer(peer.addr, req, FLEET_LOG_STATE_TIMEOUT)
                            .await,
                    )
                }
            })
            .collect();
        loop {
            let applied = self.with_state(State::fleet_index);
            if self.is_caught_up() && confirmation.confirmed_at(applied).is_some() {
                return Some(self.fleet());
            }
            match pending.next().await? {
                (i, Ok(PeerAnswer::FleetLogState(answer))) => {
                    confirmation.record_answer(
                        i,
                        asked_at,
                        answer.logged_change,
                        answer.voting_status,
                    );
                }
                (i, _) => log::debug!(
                    "control replica {} did not report its newest fleet change and does not count towards the majority",
                    peers[i].name
                ),
            }
        }
    }

    pub(super) fn fleet_log_state(&self) -> FleetLogState {
        let applied = self.with_state(State::fleet_index);
        FleetLogState {
            voting_status: self.voting_status(),
            logged_change: self.logged_change(applied, Command::may_change_fleet),
        }
    }
}
