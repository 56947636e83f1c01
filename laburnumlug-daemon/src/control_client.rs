//! Client that submits the commands of entry and target processes to the control replicas.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug::Verdict;
use laburnumlug_mesh::{ControlMessage, Message, NodeCommand, NodeOutcome, Pool};
use rand::Rng;

use crate::settings::MeshSettings;

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
    /// Addresses of all replicas, nearest first.
    replicas: Vec<SocketAddr>,
    /// Index in `replicas` of the replica that last answered with an outcome, initially 0.
    preferred_replica_index: Cell<usize>,
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
    /// Creates a client of the replicas in the settings.
    pub(crate) fn new(mesh: &MeshSettings) -> ControlClient {
        ControlClient {
            pool: Pool::new(mesh.key.clone(), CONNECT_TIMEOUT),
            replicas: mesh.control.clone(),
            preferred_replica_index: Cell::new(0),
        }
    }

    /// Submits a command to one replica after another until it is committed or `deadline` has passed.
    ///
    /// Dropping the returned future does not cancel a command that was already sent.
    ///
    /// # Errors
    ///
    /// Fails at the deadline, or at once if no replica is known. [`ControlError::verdict`] is the combined verdict of all
    /// attempts.
    pub(crate) async fn submit(
        &self,
        deadline: Instant,
        command: NodeCommand,
    ) -> Result<NodeOutcome, ControlError> {
        let mut last_error = ControlError::not_run("the deadline has already passed");
        let mut max_delay = INITIAL_BACKOFF;
        for attempt in 0.. {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() || self.replicas.is_empty() {
                break;
            }
            let replica_index =
                (self.preferred_replica_index.get() + attempt) % self.replicas.len();
            match self.attempt(replica_index, time_left, &command).await {
                Ok(outcome) => {
                    self.preferred_replica_index.set(replica_index);
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

    /// Submits a command once, to the replica at index `replica_index`, within `time_left` and [`ATTEMPT_TIMEOUT`].
    async fn attempt(
        &self,
        replica_index: usize,
        time_left: Duration,
        command: &NodeCommand,
    ) -> Result<NodeOutcome, ControlError> {
        let attempt = self.exchange(self.replicas[replica_index], command);
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
            other => Err(ControlError::may_have_run(format!(
                "the control replica sent an unexpected answer {other:?}"
            ))),
        }
    }
}
