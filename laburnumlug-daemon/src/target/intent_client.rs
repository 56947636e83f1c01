//! Confirms with a majority of the control replicas what this target is meant to be.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use laburnumlug::{FencingToken, QuorumConfirmation, TargetName};
use laburnumlug_mesh::{Connection, ControlMessage, Intent, MeshKey, Message, VotingStatus};

use crate::settings::MeshSettings;

/// How long a replica may take for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Age beyond which a confirmation permits no order.
const CONFIRMATION_BOUND: Duration = Duration::from_secs(1);

/// An intent that a majority knew to be the newest.
#[derive(Clone, Debug)]
pub(super) struct Confirmed {
    pub(super) intent: Intent,
    /// When the question was asked.
    asked_at: Instant,
}

impl Confirmed {
    /// Returns whether the confirmation still permits an order at `now`.
    pub(super) fn permits_order(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.asked_at) <= CONFIRMATION_BOUND
    }
}

/// Asks the control replicas for one target's intent.
pub(super) struct IntentClient {
    target: TargetName,
    replicas: Vec<ReplicaClient>,
    view: IntentView,
}

/// Newest intent that any replica has shown.
#[derive(Default)]
struct IntentView {
    held: Option<Intent>,
    /// Newest change of the log that `held` takes into account.
    applied: u64,
}

impl IntentView {
    fn generation(&self) -> FencingToken {
        self.held.as_ref().map_or(0, |intent| intent.generation)
    }

    /// Takes an answer over, unless the replica lags behind what was shown before.
    fn note(&mut self, applied_change: u64, intent: Option<Intent>) {
        if applied_change < self.applied {
            return;
        }
        self.applied = applied_change;
        let held = self.generation();
        if let Some(newer) = intent.filter(|intent| intent.generation > held) {
            self.held = Some(newer);
        }
    }
}

impl IntentClient {
    pub(super) fn new(mesh: &MeshSettings, target: &str) -> IntentClient {
        let replicas = mesh.control.iter().map(|addr| ReplicaClient {
            addr: *addr,
            key: mesh.key.clone(),
            conn: None,
        });
        IntentClient {
            target: target.to_string(),
            replicas: replicas.collect(),
            view: IntentView::default(),
        }
    }

    /// Returns the newest intent, or `None` where no majority confirms that it is the newest.
    ///
    /// Each replica is asked afresh: a committed change is logged by a majority, so it shows in at least one answer
    /// of any majority, whatever a single replica believes of its own authority.
    pub(super) async fn confirm(&mut self) -> Option<Confirmed> {
        let asked_at = Instant::now();
        let known = self.view.generation();
        let target = &self.target;
        let mut confirmation = QuorumConfirmation::new(self.replicas.len());
        let mut asking: FuturesUnordered<_> = self
            .replicas
            .iter_mut()
            .enumerate()
            .map(|(i, replica)| async move { (i, replica.ask(target, known).await) })
            .collect();
        while let Some((i, answer)) = asking.next().await {
            let Some(answer) = answer else { continue };
            confirmation.record_answer(i, asked_at, answer.logged_change, answer.standing);
            self.view.note(answer.applied_change, answer.intent);
            if let Some(intent) = &self.view.held
                && confirmation.confirmed_at(self.view.applied).is_some()
            {
                let intent = intent.clone();
                return Some(Confirmed { intent, asked_at });
            }
        }
        None
    }
}

/// What a replica answered.
struct IntentAnswer {
    standing: VotingStatus,
    logged_change: u64,
    applied_change: u64,
    intent: Option<Intent>,
}

/// Connection to one replica.
struct ReplicaClient {
    addr: SocketAddr,
    key: MeshKey,
    /// Idle connection; taken out while a question is open, so that a late answer meets no later question.
    conn: Option<Connection>,
}

impl ReplicaClient {
    async fn ask(&mut self, target: &str, known: FencingToken) -> Option<IntentAnswer> {
        let asking = self.ask_unbounded(target, known);
        compio::time::timeout(ANSWER_TIMEOUT, asking).await.ok()?
    }

    async fn ask_unbounded(&mut self, target: &str, known: FencingToken) -> Option<IntentAnswer> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Connection::connect(self.addr, &self.key, ANSWER_TIMEOUT)
                .await
                .ok()?,
        };
        let question = ControlMessage::FetchIntent {
            target: target.to_string(),
            known,
        };
        conn.send("", &Message::Control(question)).await.ok()?;
        let Ok((_, Message::Control(answer))) = conn.recv().await else {
            return None;
        };
        let ControlMessage::Intent {
            standing,
            logged_change,
            applied_change,
            intent,
        } = answer
        else {
            return None;
        };
        self.conn = Some(conn);
        Some(IntentAnswer {
            standing,
            logged_change,
            applied_change,
            intent,
        })
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug::{Role, TargetState};
    use quickcheck::quickcheck;

    use super::*;

    fn intent(generation: FencingToken) -> Intent {
        Intent {
            generation,
            service: "skriver".into(),
            role: Role::Mixed,
            models: Vec::new(),
            adapters: Vec::new(),
            state: TargetState::Serving,
        }
    }

    #[test]
    fn permits_order_after_freeze() {
        let asked_at = Instant::now();
        let intent = intent(1);
        let confirmed = Confirmed { intent, asked_at };
        assert!(confirmed.permits_order(asked_at + CONFIRMATION_BOUND));
        let woken_at = asked_at + CONFIRMATION_BOUND + Duration::from_millis(1);
        assert!(!confirmed.permits_order(woken_at));
    }

    quickcheck! {
        /// Lagging replicas, in any order, never take a newer intent back.
        fn note_is_monotone(answers: Vec<(u8, bool)>) -> bool {
            let mut view = IntentView::default();
            for (applied, omitted) in answers {
                let before = (view.applied, view.generation());
                let applied = u64::from(applied);
                // Every third change concerns this target.
                view.note(applied, (!omitted).then(|| intent(applied / 3)));
                let after = (view.applied, view.generation());
                if after.0 < before.0 || after.1 < before.1 {
                    return false;
                }
            }
            true
        }
    }
}
