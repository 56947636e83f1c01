//! Admin interface of the engine stand-in: applies orders and records them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::FencingToken;
use laburnumlug_engine::{EngineSetup, EngineState, Order};
use laburnumlug_http::{Request, Response, json_response, read_body, text_response};

/// Maximum size of the body of `POST /admin/orders`; a larger one is answered with status 400.
const MAX_ORDER_BYTES: usize = 1024 * 1024;

/// An order that the engine received, and its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRecord {
    /// Fencing token of the order.
    pub fencing: FencingToken,
    /// Requested configuration.
    pub setup: EngineSetup,
    /// Fencing token of the order that was being applied when this one arrived.
    pub running_order: Option<FencingToken>,
    /// Highest fencing token that the engine had seen before this order.
    pub highest_seen: FencingToken,
    /// Number of completions that the order aborted.
    pub aborted_completions: u64,
    /// When the order arrived.
    pub received_at: Instant,
    /// When the order was applied or failed.
    pub ended_at: Option<Instant>,
    /// Outcome of the order; `Running` until it ends.
    pub outcome: OrderOutcome,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order is being applied.
    Running,
    /// The order was refused because of its fencing token.
    Refused,
    /// The order was applied.
    Applied,
    /// The engine crashed while it applied the order.
    Crashed,
}

/// Configuration of the engine, orders received so far, and faults to inject.
#[derive(Default)]
pub(crate) struct Admin {
    pub(crate) order_duration: Cell<Duration>,
    pub(crate) checks_fencing: Cell<bool>,
    /// If set, the engine crashes during the next order and stays down for this long.
    pub(crate) next_order_crash: Cell<Option<Duration>>,
    /// Incremented to abort all running completions, which compare it with its value at their start.
    pub(crate) epoch: Cell<u64>,
    down_until: Cell<Option<Instant>>,
    state: RefCell<EngineState>,
    records: RefCell<Vec<OrderRecord>>,
}

impl Admin {
    pub(crate) fn state(&self) -> EngineState {
        self.state.borrow().clone()
    }

    pub(crate) fn records(&self) -> Vec<OrderRecord> {
        self.records.borrow().clone()
    }

    /// Returns whether the engine is down after a crash.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.down_until.get().is_some_and(|until| now < until)
    }

    /// Records an order, accepts or refuses it, and returns the index of its record.
    fn record_order(&self, order: &Order, running_completions: u64) -> usize {
        let mut state = self.state.borrow_mut();
        let refused = self.checks_fencing.get() && order.fencing < state.highest_seen;
        let changes_setup = state.setup.as_ref() != Some(&order.setup);
        let aborted_completions = if changes_setup && !refused {
            running_completions
        } else {
            0
        };
        let mut records = self.records.borrow_mut();
        records.push(OrderRecord {
            fencing: order.fencing,
            setup: order.setup.clone(),
            running_order: state.running,
            highest_seen: state.highest_seen,
            aborted_completions,
            received_at: Instant::now(),
            ended_at: None,
            outcome: match refused {
                true => OrderOutcome::Refused,
                false => OrderOutcome::Running,
            },
        });
        if !refused {
            state.highest_seen = state.highest_seen.max(order.fencing);
            state.running = Some(order.fencing);
        }
        if aborted_completions > 0 {
            self.epoch.set(self.epoch.get() + 1);
        }
        records.len() - 1
    }

    fn record_outcome(&self, record_index: usize, outcome: OrderOutcome) {
        let mut records = self.records.borrow_mut();
        records[record_index].outcome = outcome;
        records[record_index].ended_at = Some(Instant::now());
    }

    /// Aborts all completions and loses all state; the engine is up again after `downtime`.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.epoch.set(self.epoch.get() + 1);
        *self.state.borrow_mut() = EngineState::default();
        self.down_until.set(Some(Instant::now() + downtime));
    }

    fn complete_order(&self, record_index: usize, order: &Order) {
        self.record_outcome(record_index, OrderOutcome::Applied);
        let mut state = self.state.borrow_mut();
        state.running = None;
        state.applied = order.fencing;
        state.setup = Some(order.setup.clone());
    }
}

/// Handles `POST /admin/orders`.
pub(crate) async fn handle_order(
    admin: Rc<Admin>,
    running_completions: u64,
    req: Request,
) -> Response {
    let body = match read_body(req.into_body(), MAX_ORDER_BYTES).await {
        Ok(body) => body,
        Err(err) => return text_response(400, &err.to_string()),
    };
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(err) => return text_response(400, &err.to_string()),
    };
    let record_index = admin.record_order(&order, running_completions);
    if admin.records()[record_index].outcome == OrderOutcome::Refused {
        return text_response(409, "the order's number is older than one already seen");
    }
    // As in a real engine, the order is applied even if the client disconnects. Keeping the task's handle here would
    // cancel it together with this one, so the task is detached.
    let (tx, rx) = futures_channel::oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = tx.send(apply_order(admin, order, record_index).await);
    })
    .detach();
    match rx.await {
        Ok(Some(state)) => json_response(200, &state),
        _ => text_response(503, "starting"),
    }
}

/// Applies an order; returns `None` if the engine crashed.
async fn apply_order(admin: Rc<Admin>, order: Order, record_index: usize) -> Option<EngineState> {
    let duration = admin.order_duration.get();
    if let Some(downtime) = admin.next_order_crash.take() {
        compio::time::sleep(duration / 2).await;
        admin.record_outcome(record_index, OrderOutcome::Crashed);
        admin.crash(downtime);
        return None;
    }
    compio::time::sleep(duration).await;
    admin.complete_order(record_index, &order);
    Some(admin.state())
}
