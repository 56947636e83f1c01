//! Stand-in of a model engine.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use laburnumlug::Role;
use laburnumlug_engine::{CompletionEvent, CompletionRequest};
use laburnumlug_http::{
    BodySender, Limits, Request, Response, Server, ShutdownHandle, channel_body, json_response,
    read_body, text_response,
};
use serde_json::json;

use crate::answer::{answer_tokens, prompt_tokens, token};
use crate::answer_fault::AnswerFault;
use crate::engine_admin::{self, Admin, OrderRecord};
use crate::timing::{Scheduler, TimingModel};

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// How long the engine takes for its work.
#[derive(Clone, Debug)]
pub struct EngineTiming {
    /// Prompt tokens a second; 0 for no delay.
    prefill_tokens_per_second: u64,
    /// Time for one token of one answer.
    token_time: Duration,
    /// Model that takes the place of the two values above.
    model: Option<TimingModel>,
}

impl EngineTiming {
    /// No delays at all.
    pub fn instant() -> EngineTiming {
        EngineTiming {
            prefill_tokens_per_second: 0,
            token_time: Duration::ZERO,
            model: None,
        }
    }

    /// The timing model of an engine that batches continuously.
    pub fn model(model: TimingModel) -> EngineTiming {
        EngineTiming {
            model: Some(model),
            ..EngineTiming::instant()
        }
    }

    /// Sets the prompt tokens that are read in a second; 0 for no delay.
    pub fn prefill_tokens_per_second(mut self, rate: u64) -> EngineTiming {
        self.prefill_tokens_per_second = rate;
        self
    }

    /// Sets the time for one token of one answer.
    pub fn token_time(mut self, time: Duration) -> EngineTiming {
        self.token_time = time;
        self
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        match self.prefill_tokens_per_second {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(tokens as f64 / rate as f64),
        }
    }
}

/// What an engine stand-in received, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineRecord {
    /// A completion began.
    Started {
        /// Id that the request bore.
        request_id: String,
        /// Number of tokens that the sender already had.
        resume_at: u64,
        /// When it began.
        at: Instant,
    },
    /// A completion was sent whole.
    Finished {
        /// Id that the request bore.
        request_id: String,
    },
    /// The other side hung up before the end.
    Cancelled {
        /// Id that the request bore.
        request_id: String,
    },
    /// An order that changed the engine's state, or a crash, ended the completion.
    Cut {
        /// Id that the request bore.
        request_id: String,
    },
}

/// State that the connections of one engine share.
struct State {
    timing: EngineTiming,
    /// Runs completions where the timing is a model.
    scheduler: Option<Rc<Scheduler>>,
    records: RefCell<Vec<EngineRecord>>,
    running: RefCell<u64>,
    admin: Rc<Admin>,
    answer_fault: Cell<AnswerFault>,
}

/// Stand-in of a model engine with the published HTTP interface.
pub struct EngineStandIn {
    addr: SocketAddr,
    state: Rc<State>,
    shutdown: ShutdownHandle,
}

impl EngineStandIn {
    /// Starts an engine on `addr` in the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, timing: EngineTiming) -> io::Result<EngineStandIn> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let model = timing.model.clone();
        let state = Rc::new(State {
            scheduler: model.map(|model| Scheduler::start(model, Instant::now())),
            timing,
            records: RefCell::default(),
            running: RefCell::new(0),
            admin: Rc::default(),
            answer_fault: Cell::default(),
        });
        let server = Server::new(listener, Limits::default());
        let shutdown = server.shutdown_handle();
        let shared = state.clone();
        let handler = Rc::new(move |req| handle(shared.clone(), req));
        compio::runtime::spawn(server.run(handler)).detach();
        Ok(EngineStandIn {
            addr,
            state,
            shutdown,
        })
    }

    /// Returns the address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what the engine received so far.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.state.records.borrow().clone()
    }

    /// Returns what became of each order so far.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state.admin.records()
    }

    /// Returns the number of completions that are running.
    pub fn running(&self) -> u64 {
        *self.state.running.borrow()
    }

    /// Sets how long each order takes from now on.
    pub fn set_order_time(&self, time: Duration) {
        self.state.admin.order_time.set(time);
    }

    /// Sets whether orders with an older number than one already seen are refused; they are not at the start.
    pub fn set_checks_fencing(&self, checks: bool) {
        self.state.admin.checks_fencing.set(checks);
    }

    /// Crashes halfway through the next order and comes back, having lost everything, after `down`.
    pub fn crash_in_next_order(&self, down: Duration) {
        self.state.admin.crash.set(Some(down));
    }

    /// Crashes now and comes back, having lost everything, after `down`.
    pub fn crash(&self, down: Duration) {
        self.state.admin.lose_all(down);
    }

    /// Sets what goes wrong with the answers that begin from now on.
    pub fn set_answer_fault(&self, fault: AnswerFault) {
        self.state.answer_fault.set(fault);
    }

    /// Sets the role of a modelled engine without the time that a change takes.
    pub fn set_role(&self, now: Instant, role: Role) {
        if let Some(scheduler) = &self.state.scheduler {
            scheduler.set_role(now, role);
        }
    }

    /// Starts a role change of a modelled engine and returns how long it takes.
    pub fn change_role(&self, now: Instant, role: Role) -> Duration {
        let scheduler = self.state.scheduler.as_ref();
        scheduler.map_or(Duration::ZERO, |scheduler| scheduler.change_role(now, role))
    }

    /// Returns the role of a modelled engine.
    pub fn role(&self) -> Option<Role> {
        self.state
            .scheduler
            .as_ref()
            .map(|scheduler| scheduler.role())
    }

    /// Returns the number of role changes of a modelled engine.
    pub fn role_changes(&self) -> u64 {
        let scheduler = self.state.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.role_changes())
    }

    /// Returns the prompt tokens that a modelled engine's prefix cache saved.
    pub fn prefix_hit_tokens(&self) -> u64 {
        let scheduler = self.state.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.hit_tokens())
    }

    /// Stops new connections.
    pub fn shut_down(&self) {
        self.shutdown.shut_down();
    }
}

async fn handle(state: Rc<State>, req: Request) -> Response {
    if state.admin.is_down(Instant::now()) {
        return text_response(503, "starting");
    }
    match (req.method().as_str(), req.uri().path()) {
        ("POST", "/v1/completions") => complete(state, req).await,
        ("POST", "/admin/orders") => {
            let running = *state.running.borrow();
            engine_admin::order(state.admin.clone(), running, req).await
        }
        ("GET", "/admin/state") => json_response(200, &state.admin.state()),
        ("GET", "/load") => json_response(200, &load(&state, Instant::now())),
        ("GET", "/cache/events") => cache_events(&state, Instant::now(), req.uri().query()),
        _ => text_response(404, "not found"),
    }
}

fn load(state: &State, now: Instant) -> serde_json::Value {
    match &state.scheduler {
        Some(scheduler) => {
            let (running, waiting) = scheduler.reported_load(now);
            json!({ "running": running, "waiting": waiting })
        }
        None => json!({ "running": *state.running.borrow() }),
    }
}

/// Answers `GET /cache/events?after=SEQUENCE`.
fn cache_events(state: &State, now: Instant, query: Option<&str>) -> Response {
    let after = query.and_then(|query| query.strip_prefix("after="));
    match (after.unwrap_or("0").parse(), &state.scheduler) {
        (Err(_), _) => text_response(400, "after must be a whole number"),
        (Ok(after), Some(scheduler)) => {
            json_response(200, &json!(scheduler.cache_events(now, after)))
        }
        (Ok(_), None) => json_response(200, &json!([])),
    }
}

async fn complete(state: Rc<State>, req: Request) -> Response {
    let body = match read_body(req.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return text_response(400, &err.to_string()),
    };
    let req: CompletionRequest = match serde_json::from_slice(&body) {
        Ok(req) => req,
        Err(err) => return text_response(400, &err.to_string()),
    };
    if req.resume_at > req.max_tokens {
        return text_response(400, "resume_at lies beyond max_tokens");
    }
    let (tx, body) = channel_body();
    compio::runtime::spawn(run_completion(state, req, tx)).detach();
    let mut resp = hyper::Response::new(body);
    resp.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    resp
}

async fn run_completion(state: Rc<State>, req: CompletionRequest, mut tx: BodySender) {
    let request_id = req.request_id.clone();
    let started = EngineRecord::Started {
        at: Instant::now(),
        request_id: request_id.clone(),
        resume_at: req.resume_at,
    };
    state.records.borrow_mut().push(started);
    *state.running.borrow_mut() += 1;
    let generated = match &state.scheduler {
        Some(scheduler) => generate_modelled(scheduler, &req, &mut tx).await,
        None => generate(&state, &req, &mut tx).await,
    };
    let outcome = match generated {
        Ok(()) => EngineRecord::Finished { request_id },
        Err(Ended::HungUp) => EngineRecord::Cancelled { request_id },
        Err(Ended::Cut) => EngineRecord::Cut { request_id },
    };
    *state.running.borrow_mut() -= 1;
    state.records.borrow_mut().push(outcome);
}

/// Why a completion ended early.
enum Ended {
    /// The reader hung up.
    HungUp,
    /// The engine changed or crashed.
    Cut,
}

async fn generate(
    state: &State,
    req: &CompletionRequest,
    tx: &mut BodySender,
) -> Result<(), Ended> {
    let epoch = state.admin.epoch.get();
    let fault = state.answer_fault.get();
    let prompt_tokens = prompt_tokens(&req.prompt);
    pause(state.timing.prefill_time(prompt_tokens), tx).await?;
    for offset in req.resume_at..req.max_tokens {
        pause(state.timing.token_time, tx).await?;
        if state.admin.epoch.get() != epoch {
            return Err(Ended::Cut);
        }
        let event = CompletionEvent::Delta {
            request_id: req.request_id.clone(),
            offset,
            text: token(&req.prompt, offset),
            tokens: 1,
        };
        if let AnswerFault::Stalled { at } = fault
            && at == offset
        {
            tx.closed().await;
            return Err(Ended::HungUp);
        }
        for event in fault.pieces(event) {
            let sent = tx.send(event.to_wire().into()).await;
            sent.map_err(|_| Ended::HungUp)?;
        }
    }
    let event = CompletionEvent::Finish {
        request_id: req.request_id.clone(),
        reason: "length".to_string(),
        prompt_tokens,
        completion_tokens: req.max_tokens,
    };
    let end = format!("{}data: [DONE]\n\n", event.to_wire());
    tx.send(end.into()).await.map_err(|_| Ended::HungUp)
}

/// Generates as the timing model says, several tokens a piece where they come fast.
async fn generate_modelled(
    scheduler: &Rc<Scheduler>,
    req: &CompletionRequest,
    tx: &mut BodySender,
) -> Result<(), Ended> {
    let tokens = answer_tokens(&req.prompt, req.max_tokens);
    let mut generation = scheduler.submit(Instant::now(), req, tokens);
    let mut offset = req.resume_at;
    loop {
        let next = {
            let next = std::pin::pin!(generation.next());
            let closed = std::pin::pin!(tx.closed());
            match futures_util::future::select(next, closed).await {
                futures_util::future::Either::Left((next, _)) => next,
                futures_util::future::Either::Right(_) => return Err(Ended::HungUp),
            }
        };
        let Some(count) = next else { break };
        let event = CompletionEvent::Delta {
            request_id: req.request_id.clone(),
            offset,
            text: (offset..offset + count)
                .map(|index| token(&req.prompt, index))
                .collect(),
            tokens: count,
        };
        offset += count;
        tx.send(event.to_wire().into())
            .await
            .map_err(|_| Ended::HungUp)?;
    }
    let reason = if tokens < req.max_tokens {
        "stop"
    } else {
        "length"
    };
    let event = CompletionEvent::Finish {
        request_id: req.request_id.clone(),
        reason: reason.to_string(),
        prompt_tokens: prompt_tokens(&req.prompt),
        completion_tokens: tokens,
    };
    let end = format!("{}data: [DONE]\n\n", event.to_wire());
    tx.send(end.into()).await.map_err(|_| Ended::HungUp)
}

/// Waits for `time`, or until the reader hangs up.
async fn pause(time: Duration, tx: &mut BodySender) -> Result<(), Ended> {
    if time.is_zero() {
        return Ok(());
    }
    match compio::time::timeout(time, tx.closed()).await {
        Ok(()) => Err(Ended::HungUp),
        Err(_) => Ok(()),
    }
}
