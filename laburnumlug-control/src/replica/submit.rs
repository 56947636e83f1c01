//! Submission of commands, at the leader or through it.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_channel::oneshot;

use super::core::Role;
use super::{CallError, Replica, listen_for, unix_millis};
use crate::command::{Command, Outcome};
use crate::entry::Payload;
use crate::error::{Error, ErrorKind};
use crate::peer::{PeerAnswer, PeerRequest};

/// How long a submission may take where its caller names no time.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait before another try.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Largest command in bytes.
const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;

impl Replica {
    /// Logs a command at Unix time `now` and returns what came of it once it is committed.
    ///
    /// Any replica takes commands and passes them to the leader.
    ///
    /// # Errors
    ///
    /// Fails when no majority takes the command in time; [`Error::verdict`] tells whether it may take effect all
    /// the same.
    pub async fn submit(&self, now: SystemTime, command: Command) -> Result<Outcome, Error> {
        self.submit_within(now, command, SUBMIT_TIMEOUT).await
    }

    /// Logs a command like [`Replica::submit`], within another time.
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
        let deadline = Instant::now() + timeout;
        let time_ms = unix_millis(now);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.submit_once(time_ms, command.clone(), left).await {
                // Only what surely was not logged is tried again: not every command may be logged twice.
                Err(err) if err.is_transient() && !left.is_zero() => {
                    listen_for(self.changed.listen(), RETRY_INTERVAL.min(left)).await;
                }
                result => return result,
            }
        }
    }

    async fn submit_once(
        &self,
        time_ms: u64,
        command: Command,
        left: Duration,
    ) -> Result<Outcome, Error> {
        let leads = matches!(self.core.borrow().role, Role::Leader(_));
        if leads {
            return self.propose(time_ms, command, left).await;
        }
        let leader = self.core.borrow().leader.clone();
        let peers = self.peers();
        let peer = peers
            .iter()
            .find(|peer| Some(&peer.name) == leader.as_ref());
        let Some(peer) = peer else {
            return Err(Error::new(self.refusal().unwrap_or(ErrorKind::NoLeader)));
        };
        let req = PeerRequest::Submit { time_ms, command };
        match self.call(peer.addr, &req, left).await {
            Ok(PeerAnswer::Submitted(outcome)) => Ok(outcome),
            Ok(PeerAnswer::NotSubmitted { verdict, reason }) => {
                Err(Error::new(ErrorKind::Remote { verdict, reason }))
            }
            Err(CallError::NotSent) => Err(Error::new(ErrorKind::NoLeader)),
            Ok(_) | Err(CallError::NoAnswer) => Err(Error::new(ErrorKind::NotCommitted)),
        }
    }

    /// Appends a command as the leader and waits for its commitment.
    async fn propose(
        &self,
        time_ms: u64,
        command: Command,
        left: Duration,
    ) -> Result<Outcome, Error> {
        check_size(&command)?;
        let rx = {
            let mut core = self.core.borrow_mut();
            if let Some(reason) = &core.failed {
                return Err(Error::new(ErrorKind::Storage(reason.clone())));
            }
            if !core.has_room() {
                return Err(Error::new(ErrorKind::Busy));
            }
            let (tx, rx) = oneshot::channel();
            let term = core.meta.term;
            let index = core.append_own(time_ms, Payload::Command(command));
            core.waiters.insert(index, (term, tx));
            rx
        };
        self.notify();
        match compio::time::timeout(left, rx).await {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(Error::new(ErrorKind::NotCommitted)),
        }
    }

    fn refusal(&self) -> Option<ErrorKind> {
        self.core.borrow().failed.clone().map(ErrorKind::Storage)
    }

    /// Submits a command for another replica, if this one leads.
    pub(super) async fn submit_for_peer(
        self: &Rc<Self>,
        time_ms: u64,
        command: Command,
    ) -> PeerAnswer {
        let leads = matches!(self.core.borrow().role, Role::Leader(_));
        let result = match leads {
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

fn check_size(command: &Command) -> Result<(), Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(command, &mut bytes).expect("writing to memory does not fail");
    match bytes.len() <= MAX_COMMAND_BYTES {
        true => Ok(()),
        false => Err(Error::new(ErrorKind::TooLarge)),
    }
}
