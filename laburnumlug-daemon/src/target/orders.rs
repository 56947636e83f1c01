//! Carries out the intent of this target at its engine, one order at a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::TargetState;
use laburnumlug_engine::{EngineClient, EngineModel, EngineSetup, EngineState, Order};
use laburnumlug_mesh::{Intent, OrderResult};

use super::intent_client::{Confirmed, IntentClient};
use super::load_grant::LoadGrant;
use super::order_reporter::OrderReporter;
use super::{Peer, TargetProcess};

/// How often the intent is confirmed and the engine is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How long the engine may take to tell its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the answer to an order is waited for; after that the engine's state tells the outcome.
const ORDER_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What to do next at the engine.
#[derive(Debug, Eq, PartialEq)]
enum Step {
    /// The engine has what is intended.
    Settled,
    /// An earlier order is still running, so its outcome is not known yet.
    Wait,
    /// The engine has seen a newer order than the newest intent, which only a lost control log explains.
    Superseded,
    /// Give an order once no completion is running.
    OrderWhenIdle(Order),
    /// Give an order that changes nothing that a running completion needs.
    OrderNow(Order),
}

/// Decides what to do about `intent` at an engine that is in `state`.
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
        true if state.applied == intent.generation => Step::Settled,
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

/// Returns whether an order for `intent` makes the engine load weights that it does not have.
fn needs_load(intent: &Intent, state: &EngineState) -> bool {
    let setup = intended_setup(intent);
    let has = |model: &EngineModel| {
        let held = state.setup.as_ref();
        held.is_some_and(|held| held.models.contains(model))
    };
    let has_adapter = |adapter: &String| {
        let held = state.setup.as_ref();
        held.is_some_and(|held| held.adapters.contains(adapter))
    };
    !setup.models.iter().all(has) || !setup.adapters.iter().all(has_adapter)
}

/// Carries out the intent for as long as the process runs; does nothing beside a plain service.
pub(super) async fn run(process: Rc<TargetProcess>) {
    let Peer::Engine(engine) = &process.peer else {
        return process.changing.set(false);
    };
    let name = &process.settings.name;
    let mut intents = IntentClient::new(&process.settings.mesh, name);
    let executor = Executor {
        process: &process,
        engine,
        reporter: OrderReporter::new(process.control.clone(), name),
        loads: LoadGrant::new(process.control.clone(), name),
    };
    loop {
        if let Some(confirmed) = intents.confirm().await {
            executor.advance(confirmed).await;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Carries out intents at one engine.
struct Executor<'a> {
    process: &'a TargetProcess,
    engine: &'a EngineClient,
    reporter: OrderReporter,
    loads: LoadGrant,
}

impl Executor<'_> {
    /// Goes one step towards a confirmed intent.
    async fn advance(&self, confirmed: Confirmed) {
        let state = match self.engine.state(STATE_TIMEOUT).await {
            Ok(state) => state,
            Err(err) => return log::warn!("the engine's state is not known: {err}"),
        };
        let generation = confirmed.intent.generation;
        if state.applied == 0 && state.running.is_none() {
            self.reporter.report_loss();
        }
        let loads = needs_load(&confirmed.intent, &state);
        match next_step(&confirmed.intent, &state) {
            Step::Settled => {
                settle(self.process, generation);
                self.reporter.report(generation, OrderResult::CarriedOut);
                self.loads.release().await;
            }
            Step::Wait => {
                self.process.changing.set(true);
                if loads {
                    self.loads.hold(state.setup.is_none()).await;
                }
            }
            Step::Superseded => log::error!(
                "the engine has seen order {}, but the newest intent is {generation}",
                state.highest_seen
            ),
            Step::OrderNow(order) => give(self.process, self.engine, &confirmed, order).await,
            // The engine serves what it has until its turn to load comes.
            Step::OrderWhenIdle(_) if loads && !self.loads.hold(state.setup.is_none()).await => {
                self.process.changing.set(state.setup.is_none());
            }
            Step::OrderWhenIdle(_) if !self.process.is_idle() => self.process.changing.set(true),
            Step::OrderWhenIdle(order) => {
                self.process.changing.set(true);
                give(self.process, self.engine, &confirmed, order).await;
            }
        }
    }
}

/// Opens admission again.
fn settle(process: &TargetProcess, generation: u64) {
    if process.changing.replace(false) {
        log::info!("the engine has intent {generation}");
    }
}

/// Gives an order, unless the confirmation has grown too old since.
async fn give(process: &TargetProcess, engine: &EngineClient, confirmed: &Confirmed, order: Order) {
    // The time is read here and not before: the process may have been frozen at any await.
    if !confirmed.permits_order(Instant::now()) {
        return log::info!("the confirmation of intent {} is made again", order.fencing);
    }
    let number = order.fencing;
    log::info!("order {number} begins");
    match engine.send_order(&order, ORDER_ANSWER_TIMEOUT).await {
        Ok(_) => {
            log::info!("order {number} is carried out");
            process.metrics.count_order("carried-out");
        }
        Err(err) => {
            // The next round asks the engine what became of it.
            log::warn!("the outcome of order {number} is not known: {err}");
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
    fn next_step_has_intent() {
        let intent = intent(3, TargetState::Serving);
        let state = engine(3, Some(intended_setup(&intent)));
        assert_eq!(next_step(&intent, &state), Step::Settled);
    }

    #[test]
    fn next_step_running_order() {
        let intent = intent(3, TargetState::Serving);
        let mut state = engine(2, None);
        state.running = Some(2);
        assert_eq!(next_step(&intent, &state), Step::Wait);
    }

    #[test]
    fn next_step_engine_lost_all() {
        let intent = intent(3, TargetState::Serving);
        let order = Order {
            fencing: 3,
            setup: intended_setup(&intent),
        };
        let step = next_step(&intent, &EngineState::default());
        assert_eq!(step, Step::OrderWhenIdle(order));
    }

    #[test]
    fn next_step_same_setup_newer_number() {
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
