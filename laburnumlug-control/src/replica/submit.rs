//! Submission of commands: the leader logs them, other replicas forward them to the leader.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_channel::oneshot;

use super::call::CallError;
use super::core::ReplicaRole;
use super::{Replica, unix_millis, wait_for_event};
use crate::command::{Command, Outcome};
use crate::encoded_len::encoded_len;
use crate::entry::Payload;
use crate::error::{Error, ErrorKind};
use crate::peer::{PeerAnswer, PeerRequest};

/// Timeout of a submission whose caller sets none.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait before a command that was not logged is submitted again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Replica {
    /// Logs a command with the time `now` and returns its outcome once it is committed.
    ///
    /// Any replica accepts commands and forwards them to the leader.
    ///
    /// # Errors
    ///
    /// Fails if the command is too large, if this replica cannot write its data folder, or if the command is not
    /// committed in time. [`Error::verdict`] tells whether it may still take effect.
    pub async fn submit(&self, now: SystemTime, command: Command) -> Result<Outcome, Error> {
        self.submit_within(now, command, SUBMIT_TIMEOUT).await
    }

    /// Logs a command like [`Replica::submit`], with the given timeout.
    ///
    /// # Errors
    ///
    /// As [`Replica::submit`].
    pub async fn submit_within(
        &self,
        now: SystemTime,
        command: Command,
        timeout: Duration,
    ) -> Result<Outcome, Error> {
        self.check_command_size(&command)?;
        let deadline = Instant::now() + timeout;
        let time_ms = unix_millis(now);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.submit_once(time_ms, command.clone(), remaining).await {
                // Retries only commands that are known not to be logged: not every command may be logged twice.
                Err(err) if err.is_transient() && !remaining.is_zero() => {
                    wait_for_event(self.changed.listen(), RETRY_INTERVAL.min(remaining)).await;
                }
                result => return result,
            }
        }
    }

    async fn submit_once(
        &self,
        time_ms: u64,
        command: Command,
        remaining: Duration,
    ) -> Result<Outcome, Error> {
        let has_leader_role = matches!(self.core.borrow().role, ReplicaRole::Leader(_));
        if has_leader_role {
            return self.propose(time_ms, command, remaining).await;
        }
        let leader = self.core.borrow().leader.clone();
        let peers = self.peers();
        let peer = peers
            .iter()
            .find(|peer| Some(&peer.name) == leader.as_ref());
        let Some(peer) = peer else {
            return Err(Error::new(
                self.storage_refusal().unwrap_or(ErrorKind::NoLeader),
            ));
        };
        let req = PeerRequest::Submit { time_ms, command };
        match self.call_peer(peer.addr, &req, remaining).await {
            Ok(PeerAnswer::Submitted(outcome)) => Ok(outcome),
            Ok(PeerAnswer::NotSubmitted { verdict, reason }) => {
                Err(Error::new(ErrorKind::Remote { verdict, reason }))
            }
            Err(CallError::NotSent) => Err(Error::new(ErrorKind::NoLeader)),
            Ok(_) | Err(CallError::NoAnswer) => Err(Error::new(ErrorKind::NotCommitted)),
        }
    }

    /// Appends a command as the leader and waits until it is committed.
    async fn propose(
        &self,
        time_ms: u64,
        command: Command,
        remaining: Duration,
    ) -> Result<Outcome, Error> {
        let bytes = self.check_command_size(&command)?;
        let rx = {
            let mut core = self.core.borrow_mut();
            if let Some(reason) = &core.storage_error {
                return Err(Error::new(ErrorKind::Storage(reason.clone())));
            }
            let membership = core.log.membership();
            if membership.majority() < core.min_copies {
                let voters = membership.voters.len();
                return Err(Error::new(ErrorKind::TooFewVoters { voters }));
            }
            if !core.can_append_command(bytes) {
                return Err(Error::new(ErrorKind::Busy));
            }
            let (tx, rx) = oneshot::channel();
            let term = core.meta.term;
            let index = core.append_as_leader(time_ms, Payload::Command(command));
            core.commit_waiters.insert(index, (term, tx));
            rx
        };
        self.notify();
        match laburnumlug_http::timeout(remaining, rx).await {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(Error::new(ErrorKind::NotCommitted)),
        }
    }

    /// Returns the encoded size of a command, or an error if it is too large to be logged.
    fn check_command_size(&self, command: &Command) -> Result<u64, Error> {
        let limit = self.core.borrow().limits.command;
        match encoded_len(command) as u64 {
            bytes if bytes > limit => Err(Error::new(ErrorKind::TooLarge { bytes, limit })),
            bytes => Ok(bytes),
        }
    }

    fn storage_refusal(&self) -> Option<ErrorKind> {
        self.core
            .borrow()
            .storage_error
            .clone()
            .map(ErrorKind::Storage)
    }

    /// Submits a command that another replica forwarded, if this replica is the leader.
    pub(super) async fn submit_for_peer(
        self: &Rc<Self>,
        time_ms: u64,
        command: Command,
    ) -> PeerAnswer {
        let has_leader_role = matches!(self.core.borrow().role, ReplicaRole::Leader(_));
        let result = match has_leader_role {
            true => self.propose(time_ms, command, SUBMIT_TIMEOUT).await,
            false => Err(Error::new(ErrorKind::NoLeader)),
        };
        match result {
            Ok(outcome) => PeerAnswer::Submitted(outcome),
            Err(err) => PeerAnswer::NotSubmitted {
                verdict: err.verdict(),
                reason: err.to_string(),
            },
        }
    }
}
