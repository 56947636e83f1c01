//! Reads that are confirmed by a majority at the time of the read.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnumlug::QuorumConfirmation;

use super::{Replica, listen_for};
use crate::command::Command;
use crate::error::{Error, ErrorKind};
use crate::peer::{FleetStanding, PeerAnswer, PeerRequest};
use crate::state::{FleetSnapshot, State};

/// How long another replica may take to tell what it has logged.
const STANDING_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the commitment of what others have logged, before they are asked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Replica {
    /// Returns the fleet document, proved to be the newest at a moment after the call began.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms it within `timeout`.
    pub async fn read_fleet(&self, timeout: Duration) -> Result<FleetSnapshot, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(fleet) = self.confirmed_fleet().await {
                return Ok(fleet);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Error::new(ErrorKind::NoLeader));
            }
            listen_for(self.changed.listen(), RECHECK_INTERVAL.min(left)).await;
        }
    }

    /// Asks all replicas once.
    async fn confirmed_fleet(&self) -> Option<FleetSnapshot> {
        let peers = self.peers();
        let mut confirmation = QuorumConfirmation::new(peers.len() + 1);
        let asked_at = Instant::now();
        let own = self.fleet_standing();
        confirmation.record_answer(peers.len(), asked_at, own.logged_change, own.standing);
        let question = PeerRequest::Standing;
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .enumerate()
            .map(|(i, peer)| {
                let question = &question;
                async move { (i, self.call(peer.addr, question, STANDING_TIMEOUT).await) }
            })
            .collect();
        loop {
            let applied = self.with_state(State::fleet_index);
            if self.is_caught_up() && confirmation.confirmed_at(applied).is_some() {
                return Some(self.fleet());
            }
            match asked.next().await? {
                (i, Ok(PeerAnswer::Standing(answer))) => {
                    confirmation.record_answer(i, asked_at, answer.logged_change, answer.standing);
                }
                (i, _) => log::debug!("control replica {} confirmed nothing", peers[i].name),
            }
        }
    }

    pub(super) fn fleet_standing(&self) -> FleetStanding {
        let applied = self.with_state(State::fleet_index);
        FleetStanding {
            standing: self.standing(),
            logged_change: self.logged_change(applied, Command::concerns_fleet),
        }
    }
}
