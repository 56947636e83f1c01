//! Reconciles the engine with this target's intent, one order at a time.
//!
//! An order carries the generation of its intent as fencing token, so the engine can refuse orders older than the
//! newest that it has seen.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::TargetState;
use laburnumlug_engine::{EngineClient, EngineModel, EngineSetup, EngineState, Order};
use laburnumlug_mesh::{Intent, OrderResult};

use super::intent_client::{ConfirmedIntent, IntentClient};
use super::order_reporter::OrderReporter;
use super::weight_load_grant::WeightLoadGrant;
use super::{Backend, TargetProcess};

/// How often the intent is confirmed by a majority of the control replicas and compared with the engine's state.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for reading the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the answer to an order; after it, the engine's state shows the outcome.
const ORDER_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Next step to bring the engine to its intent.
#[derive(Debug, Eq, PartialEq)]
enum Step {
    /// The engine has applied the intent.
    Converged,
    /// The engine is still carrying out an earlier order, so the outcome of that order is not known yet.
    Wait,
    /// The engine has seen an order newer than the newest intent, which happens only if the control log was lost.
    Superseded,
    /// Send an order once no completion is running.
    OrderWhenIdle(Order),
    /// Send an order now, because it changes nothing that a running completion needs.
    OrderNow(Order),
}

/// Returns the next step from `state` of the engine towards `intent`.
fn next_step(intent: &Intent, state: &EngineState) -> Step {
    let setup = intended_setup(intent);
    if state.running.is_some() {
        return Step::Wait;
    }
    if state.highest_seen > intent.generation {
        return Step::Superseded;
    }
    let has_setup = state.setup.as_ref() == Some(&setup);
    let order = Order {
        fencing: intent.generation,
        setup,
    };
    match has_setup {
        true if state.applied == intent.generation => Step::Converged,
        true => Step::OrderNow(order),
        false => Step::OrderWhenIdle(order),
    }
}

fn intended_setup(intent: &Intent) -> EngineSetup {
    let models = intent.models.iter().map(|loaded| EngineModel {
        model: loaded.model.clone(),
        version: loaded.version.clone(),
    });
    EngineSetup {
        role: intent.role,
        models: models.collect(),
        adapters: intent.adapters.clone(),
        serving: intent.state == TargetState::Serving,
    }
}

/// Returns whether `intent` needs models or adapters that the engine has not loaded.
fn needs_load(intent: &Intent, state: &EngineState) -> bool {
    let setup = intended_setup(intent);
    let has_model = |model: &EngineModel| {
        let loaded = state.setup.as_ref();
        loaded.is_some_and(|loaded| loaded.models.contains(model))
    };
    let has_adapter = |adapter: &String| {
        let loaded = state.setup.as_ref();
        loaded.is_some_and(|loaded| loaded.adapters.contains(adapter))
    };
    !setup.models.iter().all(has_model) || !setup.adapters.iter().all(has_adapter)
}

/// Reconciles the engine for as long as the process runs; does nothing for a plain service.
pub(super) async fn run(process: Rc<TargetProcess>) {
    let Backend::Engine(engine) = &process.backend else {
        return process.reconfiguring.set(false);
    };
    let name = &process.settings.name;
    let key = process.settings.mesh.key.clone();
    let mut intent_client = IntentClient::new(key, process.fleet.clone(), name);
    let reconciler = Reconciler {
        process: &process,
        engine,
        reporter: OrderReporter::new(process.control.clone(), name),
        weight_load_grant: WeightLoadGrant::new(process.control.clone(), name),
    };
    loop {
        if let Some(confirmed) = intent_client.fetch_confirmed().await {
            reconciler.reconcile(confirmed).await;
        }
        compio::time::sleep(RECONCILE_INTERVAL).await;
    }
}

/// Brings one engine to the intent that a majority of the control replicas confirmed as the newest.
struct Reconciler<'a> {
    process: &'a TargetProcess,
    engine: &'a EngineClient,
    reporter: OrderReporter,
    weight_load_grant: WeightLoadGrant,
}

impl Reconciler<'_> {
    /// Takes the next step from the engine's state towards a confirmed intent.
    async fn reconcile(&self, confirmed: ConfirmedIntent) {
        let state = match self.engine.state(STATE_TIMEOUT).await {
            Ok(state) => state,
            Err(err) => return log::warn!("failed to read the engine's state, retrying: {err}"),
        };
        let generation = confirmed.intent.generation;
        if state.applied == 0 && state.running.is_none() {
            self.reporter.report_loss();
        }
        let must_load = needs_load(&confirmed.intent, &state);
        match next_step(&confirmed.intent, &state) {
            Step::Converged => {
                reopen_admission(self.process, generation);
                self.reporter.report(generation, OrderResult::CarriedOut);
                self.weight_load_grant.release().await;
            }
            Step::Wait => {
                self.process.reconfiguring.set(true);
                if must_load {
                    self.weight_load_grant
                        .acquire_or_renew(state.setup.is_none())
                        .await;
                }
            }
            Step::Superseded => log::error!(
                "the engine has seen order {}, which is newer than the newest intent {generation}; no order is sent to it",
                state.highest_seen
            ),
            Step::OrderNow(order) => send_order(self.process, self.engine, &confirmed, order).await,
            // Until the load is granted, the engine continues to serve its current setup, if it has one.
            Step::OrderWhenIdle(_)
                if must_load
                    && !self
                        .weight_load_grant
                        .acquire_or_renew(state.setup.is_none())
                        .await =>
            {
                self.process.reconfiguring.set(state.setup.is_none());
            }
            Step::OrderWhenIdle(_) if !self.process.is_idle() => {
                self.process.reconfiguring.set(true)
            }
            Step::OrderWhenIdle(order) => {
                self.process.reconfiguring.set(true);
                send_order(self.process, self.engine, &confirmed, order).await;
            }
        }
    }
}

/// Reopens admission once the engine has applied the intent.
fn reopen_admission(process: &TargetProcess, generation: u64) {
    if process.reconfiguring.replace(false) {
        log::info!("the engine has applied intent {generation}; reconfiguration is complete");
    }
}

/// Sends an order, unless the majority's confirmation of the intent is too old by now.
async fn send_order(
    process: &TargetProcess,
    engine: &EngineClient,
    confirmed: &ConfirmedIntent,
    order: Order,
) {
    // The clock is read here, after the last await, because the process may have been suspended at any await.
    if !confirmed.permits_order(Instant::now()) {
        return log::info!(
            "sending no order to the engine: the confirmation of intent {} by a majority of the control replicas is too old",
            order.fencing
        );
    }
    let fencing_token = order.fencing;
    log::info!("sending order {fencing_token} to the engine");
    match engine.send_order(&order, ORDER_ANSWER_TIMEOUT).await {
        Ok(_) => {
            log::info!("the engine carried out order {fencing_token}");
            process.metrics.count_order("carried-out");
        }
        Err(err) => {
            // The next round reads the outcome from the engine's state.
            log::warn!(
                "the outcome of order {fencing_token} is unknown until the engine's state is read: {err}"
            );
            process.metrics.count_order("unknown");
        }
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug::Role;

    use super::*;

    fn intent(generation: u64, state: TargetState) -> Intent {
        Intent {
            generation,
            service: "skriver".into(),
            role: Role::Mixed,
            models: Vec::new(),
            adapters: Vec::new(),
            state,
        }
    }

    fn engine(applied: u64, setup: Option<EngineSetup>) -> EngineState {
        EngineState {
            applied,
            highest_seen: applied,
            running: None,
            setup,
        }
    }

    #[test]
    fn next_step_converged() {
        let intent = intent(3, TargetState::Serving);
        let state = engine(3, Some(intended_setup(&intent)));
        assert_eq!(next_step(&intent, &state), Step::Converged);
    }

    #[test]
    fn next_step_running_order() {
        let intent = intent(3, TargetState::Serving);
        let mut state = engine(2, None);
        state.running = Some(2);
        assert_eq!(next_step(&intent, &state), Step::Wait);
    }

    #[test]
    fn next_step_engine_without_setup() {
        let intent = intent(3, TargetState::Serving);
        let order = Order {
            fencing: 3,
            setup: intended_setup(&intent),
        };
        let step = next_step(&intent, &EngineState::default());
        assert_eq!(step, Step::OrderWhenIdle(order));
    }

    #[test]
    fn next_step_same_setup_newer_token() {
        let intent = intent(4, TargetState::Serving);
        let setup = intended_setup(&intent);
        let state = engine(3, Some(setup.clone()));
        let order = Order { fencing: 4, setup };
        assert_eq!(next_step(&intent, &state), Step::OrderNow(order));
    }

    #[test]
    fn next_step_engine_saw_newer() {
        let state = engine(5, None);
        let step = next_step(&intent(4, TargetState::Serving), &state);
        assert_eq!(step, Step::Superseded);
    }

    #[test]
    fn needs_load_by_models() {
        let version = |version: &str| laburnumlug_mesh::ModelVersion {
            model: "digest".into(),
            version: version.into(),
        };
        let mut first = intent(1, TargetState::Serving);
        first.models = vec![version("1")];
        let state = engine(1, Some(intended_setup(&first)));
        assert!(needs_load(&first, &EngineState::default()));
        assert!(!needs_load(&first, &state));
        let mut second = first.clone();
        second.models.push(version("2"));
        assert!(needs_load(&second, &state));
        second.models.clear();
        assert!(!needs_load(&second, &state));
    }

    #[test]
    fn next_step_leaving() {
        let setup = intended_setup(&intent(1, TargetState::Serving));
        let step = next_step(&intent(2, TargetState::Leaving), &engine(1, Some(setup)));
        assert!(matches!(step, Step::OrderWhenIdle(order) if !order.setup.serving));
    }
}
