//! Admin interface of the engine stand-in.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::FencingToken;
use laburnumlug_engine::{EngineSetup, EngineState, Order};
use laburnumlug_http::{Request, Response, json_response, read_body, text_response};

/// Longest order in bytes.
const MAX_ORDER_BYTES: usize = 1024 * 1024;

/// One order as the engine received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRecord {
    /// Number of the order.
    pub fencing: FencingToken,
    /// The state that it asked for.
    pub setup: EngineSetup,
    /// Number of the order that was running when this one came.
    pub during: Option<FencingToken>,
    /// Highest number that the engine had seen before.
    pub highest_seen: FencingToken,
    /// Number of completions that the order cut.
    pub cut: u64,
    /// When it came.
    pub began_at: Instant,
    /// When it ended, in whatever way.
    pub ended_at: Option<Instant>,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Running,
    /// It was refused for its number.
    Refused,
    /// It was carried out.
    Applied,
    /// The engine crashed halfway.
    Crashed,
}

/// State of the admin interface.
#[derive(Default)]
pub(crate) struct Admin {
    pub(crate) order_time: Cell<Duration>,
    pub(crate) checks_fencing: Cell<bool>,
    /// How long the engine stays down after a crash in the next order.
    pub(crate) crash: Cell<Option<Duration>>,
    /// Grows when running completions are cut.
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

    /// Notes an order and returns its place among the records.
    fn receive(&self, order: &Order, streams: u64) -> usize {
        let mut state = self.state.borrow_mut();
        let refused = self.checks_fencing.get() && order.fencing < state.highest_seen;
        let changes = state.setup.as_ref() != Some(&order.setup);
        let cut = if changes && !refused { streams } else { 0 };
        let mut records = self.records.borrow_mut();
        records.push(OrderRecord {
            fencing: order.fencing,
            setup: order.setup.clone(),
            during: state.running,
            highest_seen: state.highest_seen,
            cut,
            began_at: Instant::now(),
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
        if cut > 0 {
            self.epoch.set(self.epoch.get() + 1);
        }
        records.len() - 1
    }

    fn note(&self, record: usize, outcome: OrderOutcome) {
        let mut records = self.records.borrow_mut();
        records[record].outcome = outcome;
        records[record].ended_at = Some(Instant::now());
    }

    /// Ends all completions and loses everything; the engine comes back after `down`.
    pub(crate) fn lose_all(&self, down: Duration) {
        self.epoch.set(self.epoch.get() + 1);
        *self.state.borrow_mut() = EngineState::default();
        self.down_until.set(Some(Instant::now() + down));
    }

    fn finish(&self, record: usize, order: &Order) {
        self.note(record, OrderOutcome::Applied);
        let mut state = self.state.borrow_mut();
        state.running = None;
        state.applied = order.fencing;
        state.setup = Some(order.setup.clone());
    }
}

/// Answers `POST /admin/orders`; `streams` is the number of completions that are running.
pub(crate) async fn order(admin: Rc<Admin>, streams: u64, req: Request) -> Response {
    let body = match read_body(req.into_body(), MAX_ORDER_BYTES).await {
        Ok(body) => body,
        Err(err) => return text_response(400, &err.to_string()),
    };
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(err) => return text_response(400, &err.to_string()),
    };
    let record = admin.receive(&order, streams);
    if admin.records()[record].outcome == OrderOutcome::Refused {
        return text_response(409, "the order's number is older than one already seen");
    }
    // The engine goes on when the other side hangs up, as a real one does: a task whose handle is kept would end
    // with this one.
    let (tx, rx) = futures_channel::oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = tx.send(carry_out(admin, order, record).await);
    })
    .detach();
    match rx.await {
        Ok(Some(state)) => json_response(200, &state),
        _ => text_response(503, "starting"),
    }
}

/// Carries out an order; `None` where the engine crashed.
async fn carry_out(admin: Rc<Admin>, order: Order, record: usize) -> Option<EngineState> {
    let time = admin.order_time.get();
    if let Some(down) = admin.crash.take() {
        compio::time::sleep(time / 2).await;
        admin.note(record, OrderOutcome::Crashed);
        admin.lose_all(down);
        return None;
    }
    compio::time::sleep(time).await;
    admin.finish(record, &order);
    Some(admin.state())
}
