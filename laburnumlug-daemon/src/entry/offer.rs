//! One conversation with a target process about a call that may run at most once.

use std::time::{Duration, Instant};

use laburnumlug::{Incarnation, Verdict};
use laburnumlug_caller::ApiError;
use laburnumlug_http::Response;
use laburnumlug_mesh::{
    ClaimHolder, ClaimResult, Connection, Message, RefusalReason, SessionId, WorkMessage,
};

use super::Entry;
use super::call::plain_response;
use super::dispatch::Job;

/// What one offer to a target process came to.
pub(super) enum Offer {
    /// The call ran and this is its answer.
    Answered(Result<Response, ApiError>),
    /// The target process did not take the call and never will.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
    /// The target process was not reached, so it has not taken the call.
    Unreachable(String),
    /// The target process took the call and it failed.
    Failed(Verdict, String),
    /// Another target process has the claim of the call.
    Claimed(ClaimHolder),
    /// The control log holds the call's result.
    Settled(ClaimResult),
    /// The key was used for another call.
    KeyReused,
    /// The connection broke or fell silent, so the target process may have taken the call.
    Lost {
        /// The connection over which the call was sent.
        link: Link,
        reason: String,
    },
    /// The deadline has passed.
    TimedOut,
}

/// Which connection to which life of a target process.
pub(super) struct Link {
    pub(super) session: SessionId,
    pub(super) incarnation: Option<Incarnation>,
}

impl Link {
    /// Returns the link of a call that was not sent.
    pub(super) fn none() -> Link {
        Link {
            session: SessionId::new(),
            incarnation: None,
        }
    }
}

/// One conversation with a target process.
pub(super) struct Conversation<'a> {
    pub(super) entry: &'a Entry,
    pub(super) job: &'a Job,
    pub(super) target: &'a str,
    /// How long the target process may take to say whether it takes the call.
    pub(super) first_timeout: Duration,
}

impl Conversation<'_> {
    /// Sends one message and receives what it comes to.
    ///
    /// The connection is given back where the conversation ended in the agreed way.
    pub(super) async fn run(
        &self,
        mut conn: Connection,
        message: WorkMessage,
    ) -> (Offer, Option<Connection>) {
        let link = Link {
            session: conn.session_id().to_string(),
            incarnation: conn.peer_incarnation(),
        };
        match self.exchange(&mut conn, message).await {
            Ok(offer) => (offer, Some(conn)),
            Err(Broken::TimedOut) => (Offer::TimedOut, None),
            Err(Broken::Lost(reason)) => {
                self.entry.metrics.count_attempt(self.target, "lost");
                let reason = format!("target {}: {reason}", self.target);
                (Offer::Lost { link, reason }, None)
            }
        }
    }

    async fn exchange(&self, conn: &mut Connection, message: WorkMessage) -> Result<Offer, Broken> {
        let request_id = self.job.request_id.as_str();
        let submit = async {
            conn.send(request_id, &Message::Work(message)).await?;
            conn.recv().await
        };
        let time = self.time_left().min(self.first_timeout);
        let first = compio::time::timeout(time, submit).await;
        let mut message = self.check(first)?;
        if let WorkMessage::Accepted { load } = message {
            self.entry.note_load(self.target, load, "accepted");
            let next = compio::time::timeout(self.time_left(), conn.recv()).await;
            message = self.check(next)?;
        }
        self.offer(message)
    }

    /// Takes the message out of what was received, if it belongs to the call.
    fn check<E>(&self, received: Result<Received, E>) -> Result<WorkMessage, Broken> {
        match received {
            Ok(Ok((id, Message::Work(message)))) if id == self.job.request_id => Ok(message),
            Ok(Ok(_)) => Err(Broken::lost("it sent an answer to another request")),
            Ok(Err(err)) => Err(Broken::Lost(err.to_string())),
            Err(_) if self.time_left().is_zero() => Err(Broken::TimedOut),
            Err(_) => Err(Broken::lost("no answer in time")),
        }
    }

    fn offer(&self, message: WorkMessage) -> Result<Offer, Broken> {
        match message {
            WorkMessage::PlainAnswer {
                status,
                headers,
                body,
            } => Ok(Offer::Answered(plain_response(status, headers, body))),
            WorkMessage::Failed { verdict, reason } => Ok(Offer::Failed(verdict, reason)),
            WorkMessage::Refused {
                reason,
                retry_after_ms,
                load,
            } => {
                self.entry.note_load(self.target, load, "refused");
                let retry_after = Duration::from_millis(retry_after_ms);
                Ok(Offer::Refused {
                    reason,
                    retry_after,
                })
            }
            WorkMessage::Claimed { holder, load } => {
                self.entry.note_load(self.target, load, "claimed-elsewhere");
                Ok(Offer::Claimed(holder))
            }
            WorkMessage::AlreadyCompleted(result) => Ok(Offer::Settled(result)),
            WorkMessage::KeyReused => Ok(Offer::KeyReused),
            _ => Err(Broken::lost("it sent a message out of turn")),
        }
    }

    fn time_left(&self) -> Duration {
        self.job.deadline.saturating_duration_since(Instant::now())
    }
}

/// What a connection received.
type Received = Result<(String, Message), laburnumlug_mesh::Error>;

/// A conversation without the agreed end.
enum Broken {
    /// The connection broke, fell silent, or carried something that does not belong there.
    Lost(String),
    /// The deadline has passed.
    TimedOut,
}

impl Broken {
    fn lost(reason: &str) -> Broken {
        Broken::Lost(reason.to_string())
    }
}
