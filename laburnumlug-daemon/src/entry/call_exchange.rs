//! Message exchange with one target process about a call that may run at most once.

use std::time::{Duration, Instant};

use laburnumlug::{Incarnation, Verdict};
use laburnumlug_caller::ApiError;
use laburnumlug_http::Response;
use laburnumlug_mesh::{
    ClaimHolder, ClaimResult, Connection, Message, RefusalReason, SessionId, WorkMessage,
};

use super::Entry;
use super::call::plain_response;
use super::dispatch::RequestContext;

/// Outcome of offering a call to one target process.
pub(super) enum OfferOutcome {
    /// The call ran and returned this answer.
    Answered(Result<Response, ApiError>),
    /// The target process refused the call and will not run it.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
    /// The target process could not be reached, so it has not accepted the call.
    Unreachable(String),
    /// The target process accepted the call, which then failed.
    Failed(Verdict, String),
    /// Another target process holds the claim of the call.
    Claimed(ClaimHolder),
    /// The control log contains the call's result.
    AlreadyCompleted(ClaimResult),
    /// The idempotency key was used for another call.
    KeyReused,
    /// The exchange failed or timed out after the call was sent, so the target process may have accepted it.
    Lost {
        /// The connection over which the call was sent.
        connection_id: ConnectionId,
        reason: String,
    },
    /// The deadline has passed.
    TimedOut,
}

/// Identifies a connection and the incarnation of the target process that it leads to.
pub(super) struct ConnectionId {
    pub(super) session: SessionId,
    pub(super) incarnation: Option<Incarnation>,
}

impl ConnectionId {
    /// Returns an identifier for a call that was not sent, which matches no connection.
    pub(super) fn unsent() -> ConnectionId {
        ConnectionId {
            session: SessionId::new(),
            incarnation: None,
        }
    }
}

/// Message exchange with one target process.
pub(super) struct CallExchange<'a> {
    pub(super) entry: &'a Entry,
    pub(super) context: &'a RequestContext,
    pub(super) target: &'a str,
    /// Timeout for the first reply, which tells whether the target process accepts the call.
    pub(super) first_reply_timeout: Duration,
}

impl CallExchange<'_> {
    /// Sends one message and receives the replies up to the outcome.
    ///
    /// The connection is returned for reuse if the exchange ended according to the protocol.
    pub(super) async fn run(
        &self,
        mut conn: Connection,
        message: WorkMessage,
    ) -> (OfferOutcome, Option<Connection>) {
        let connection_id = ConnectionId {
            session: conn.session_id().to_string(),
            incarnation: conn.peer_incarnation(),
        };
        match self.exchange(&mut conn, message).await {
            Ok(outcome) => (outcome, Some(conn)),
            Err(ExchangeError::TimedOut) => (OfferOutcome::TimedOut, None),
            Err(ExchangeError::Lost(reason)) => {
                self.entry.metrics.count_attempt(self.target, "lost");
                let reason = format!("target {}: {reason}", self.target);
                (
                    OfferOutcome::Lost {
                        connection_id,
                        reason,
                    },
                    None,
                )
            }
        }
    }

    async fn exchange(
        &self,
        conn: &mut Connection,
        message: WorkMessage,
    ) -> Result<OfferOutcome, ExchangeError> {
        let request_id = self.context.request_id.as_str();
        let submit = async {
            conn.send(request_id, &Message::Work(message)).await?;
            conn.recv().await
        };
        let timeout = self.time_left().min(self.first_reply_timeout);
        let first_reply = laburnumlug_http::timeout(timeout, submit).await;
        let mut message = self.validate(first_reply)?;
        if let WorkMessage::Accepted { load } = message {
            self.entry.record_attempt(self.target, load, "accepted");
            let next_reply = laburnumlug_http::timeout(self.time_left(), conn.recv()).await;
            message = self.validate(next_reply)?;
        }
        self.record_outcome(message)
    }

    /// Returns the received message if it is a work message about this call.
    fn validate<E>(&self, received: Result<Received, E>) -> Result<WorkMessage, ExchangeError> {
        match received {
            Ok(Ok((id, Message::Work(message)))) if id == self.context.request_id => Ok(message),
            Ok(Ok(_)) => Err(ExchangeError::lost("it sent an answer to another request")),
            Ok(Err(err)) => Err(ExchangeError::Lost(err.to_string())),
            Err(_) if self.time_left().is_zero() => Err(ExchangeError::TimedOut),
            Err(_) => Err(ExchangeError::lost("no answer in time")),
        }
    }

    /// Returns the outcome that `message` reports, and records the load and the attempt if it reports them.
    fn record_outcome(&self, message: WorkMessage) -> Result<OfferOutcome, ExchangeError> {
        match message {
            WorkMessage::PlainAnswer {
                status,
                headers,
                body,
            } => Ok(OfferOutcome::Answered(plain_response(
                status, headers, body,
            ))),
            WorkMessage::Failed { verdict, reason } => Ok(OfferOutcome::Failed(verdict, reason)),
            WorkMessage::Refused {
                reason,
                retry_after_ms,
                load,
            } => {
                self.entry.record_attempt(self.target, load, "refused");
                let retry_after = Duration::from_millis(retry_after_ms);
                Ok(OfferOutcome::Refused {
                    reason,
                    retry_after,
                })
            }
            WorkMessage::Claimed { holder, load } => {
                self.entry
                    .record_attempt(self.target, load, "claimed-elsewhere");
                Ok(OfferOutcome::Claimed(holder))
            }
            WorkMessage::AlreadyCompleted(result) => Ok(OfferOutcome::AlreadyCompleted(result)),
            WorkMessage::KeyReused => Ok(OfferOutcome::KeyReused),
            _ => Err(ExchangeError::lost("it sent a message out of turn")),
        }
    }

    /// Returns the time until the deadline.
    fn time_left(&self) -> Duration {
        self.context
            .deadline
            .saturating_duration_since(Instant::now())
    }
}

/// A received message with its request ID, or the error of the connection.
type Received = Result<(String, Message), laburnumlug_mesh::Error>;

/// An exchange that did not end according to the protocol.
enum ExchangeError {
    /// The connection failed, timed out, or delivered an unexpected message.
    Lost(String),
    /// The deadline has passed.
    TimedOut,
}

impl ExchangeError {
    fn lost(reason: &str) -> ExchangeError {
        ExchangeError::Lost(reason.to_string())
    }
}
