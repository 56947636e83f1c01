//! Client that submits the commands of entry and target processes to the control replicas.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug::Verdict;
use laburnumlug_mesh::{ControlMessage, MeshKey, Message, NodeCommand, NodeOutcome, Pool};
use rand::Rng;

use crate::fleet_watch::FleetWatch;

/// Timeout for opening a connection to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of one attempt, after which the next replica is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the random delay after the first attempt; doubles with each attempt, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Maximum upper bound of the random delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Client of the control replicas; its first attempt goes to the replica that answered last, initially to the nearest.
pub(crate) struct ControlClient {
    pool: Pool,
    /// Finds the replicas.
    fleet: FleetWatch,
    /// Replica that last answered with an outcome.
    preferred_replica: Cell<Option<SocketAddr>>,
}

/// Error of a command that is not known to be committed in the control log.
#[derive(Clone, Debug)]
pub(crate) struct ControlError {
    verdict: Verdict,
    reason: String,
}

impl ControlError {
    /// Returns whether the command may still take effect.
    pub(crate) fn verdict(&self) -> Verdict {
        self.verdict
    }

    fn not_run<R>(reason: R) -> ControlError
    where
        R: fmt::Display,
    {
        ControlError {
            verdict: Verdict::NotRun,
            reason: reason.to_string(),
        }
    }

    fn may_have_run<R>(reason: R) -> ControlError
    where
        R: fmt::Display,
    {
        ControlError {
            verdict: Verdict::MayHaveRun,
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the command is not known to be committed in the control log: {}",
            self.reason
        )
    }
}

impl std::error::Error for ControlError {}

impl ControlClient {
    /// Creates a client of the replicas that `fleet` finds.
    pub(crate) fn new(key: MeshKey, fleet: FleetWatch) -> ControlClient {
        ControlClient {
            pool: Pool::new(key, CONNECT_TIMEOUT),
            fleet,
            preferred_replica: Cell::default(),
        }
    }

    /// Submits a command to one replica after another until it is committed or `deadline` has passed.
    ///
    /// Dropping the returned future does not cancel a command that was already sent.
    ///
    /// # Errors
    ///
    /// Fails at the deadline. [`ControlError::verdict`] is the combined verdict of all attempts.
    pub(crate) async fn submit(
        &self,
        deadline: Instant,
        command: NodeCommand,
    ) -> Result<NodeOutcome, ControlError> {
        let mut last_error = ControlError::not_run("the deadline has already passed");
        let mut max_delay = INITIAL_BACKOFF;
        let mut tried = Vec::new();
        loop {
            let now = Instant::now();
            let time_left = deadline.saturating_duration_since(now);
            if time_left.is_zero() {
                break;
            }
            let replicas = self.fleet.replicas(now, self.preferred_replica.get());
            let result = match next_replica(&replicas, &mut tried) {
                Some(addr) => self.attempt(addr, time_left, &command).await,
                None => Err(ControlError::not_run("no control replica has been found")),
            };
            match result {
                Ok(outcome) => {
                    self.preferred_replica.set(tried.last().copied());
                    return Ok(outcome);
                }
                Err(err) => {
                    last_error = ControlError {
                        verdict: last_error.verdict.combine(err.verdict),
                        reason: err.reason,
                    }
                }
            }
            let delay = rand::rng().random_range(Duration::ZERO..=max_delay);
            let time_left = deadline.saturating_duration_since(Instant::now());
            compio::time::sleep(delay.min(time_left)).await;
            max_delay = (max_delay * 2).min(MAX_BACKOFF);
        }
        Err(last_error)
    }

    /// Submits a command once, to the replica at `addr`, within `time_left` and [`ATTEMPT_TIMEOUT`].
    async fn attempt(
        &self,
        addr: SocketAddr,
        time_left: Duration,
        command: &NodeCommand,
    ) -> Result<NodeOutcome, ControlError> {
        let attempt = self.exchange(addr, command);
        match laburnumlug_http::timeout(time_left.min(ATTEMPT_TIMEOUT), attempt).await {
            Ok(result) => result,
            Err(_) => Err(ControlError::may_have_run(
                "the control replica did not answer in time",
            )),
        }
    }

    /// Sends a command to a replica and receives its answer.
    async fn exchange(
        &self,
        addr: SocketAddr,
        command: &NodeCommand,
    ) -> Result<NodeOutcome, ControlError> {
        let mut conn = self.pool.get(addr).await.map_err(ControlError::not_run)?;
        let command = command.clone();
        let request = Message::Control(ControlMessage::Submit { command });
        conn.send("", &request)
            .await
            .map_err(ControlError::may_have_run)?;
        let reply = conn.recv().await.map_err(ControlError::may_have_run)?.1;
        match reply {
            Message::Control(ControlMessage::Outcome(outcome)) => {
                self.pool.put(addr, conn);
                Ok(outcome)
            }
            Message::Control(ControlMessage::NotLogged { verdict, reason }) => {
                self.pool.put(addr, conn);
                Err(ControlError { verdict, reason })
            }
            Message::Control(ControlMessage::Referral { replicas }) => {
                self.pool.put(addr, conn);
                self.fleet.record_referral(addr, &replicas);
                Err(ControlError::not_run(
                    "the control process holds no replica",
                ))
            }
            other => Err(ControlError::may_have_run(format!(
                "the control replica sent an unexpected answer {other:?}"
            ))),
        }
    }
}

/// Returns the first of `replicas` that was not tried in this round, and adds it to `tried`; once all were, another round begins
/// with one that was not tried last, if there is one.
fn next_replica(replicas: &[SocketAddr], tried: &mut Vec<SocketAddr>) -> Option<SocketAddr> {
    let untried = replicas.iter().find(|addr| !tried.contains(addr));
    let next = match untried {
        Some(addr) => *addr,
        None => {
            let last = tried.last().copied();
            tried.clear();
            let other = replicas.iter().find(|addr| Some(**addr) != last);
            *other.or(replicas.first())?
        }
    };
    tried.push(next);
    Some(next)
}

#[cfg(test)]
#[path = "control_client_tests.rs"]
mod tests;
