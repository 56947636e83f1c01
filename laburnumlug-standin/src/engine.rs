//! Stand-in for a model engine.

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

use crate::completion::{completion_tokens, prompt_tokens, token_text};
use crate::engine_admin::{self, Admin, OrderRecord};
use crate::stream_fault::StreamFault;
use crate::timing::{Scheduler, TimingModel};

/// Maximum size of the body of `POST /v1/completions`; a larger one is answered with status 400.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Speed of the engine: fixed rates or a timing model.
#[derive(Clone, Debug)]
pub struct EngineTiming {
    /// Prefill rate in prompt tokens per second; 0 for no delay.
    prefill_tokens_per_second: u64,
    /// Time per generated token of each completion.
    token_time: Duration,
    /// Timing model, which replaces the two fixed values.
    model: Option<TimingModel>,
}

impl EngineTiming {
    /// Returns a timing without delays.
    pub fn instant() -> EngineTiming {
        EngineTiming {
            prefill_tokens_per_second: 0,
            token_time: Duration::ZERO,
            model: None,
        }
    }

    /// Returns the timing of an engine with continuous batching.
    pub fn model(model: TimingModel) -> EngineTiming {
        EngineTiming {
            model: Some(model),
            ..EngineTiming::instant()
        }
    }

    /// Sets the prefill rate in prompt tokens per second, which a timing model replaces; 0 for no delay.
    pub fn prefill_tokens_per_second(mut self, tokens_per_second: u64) -> EngineTiming {
        self.prefill_tokens_per_second = tokens_per_second;
        self
    }

    /// Sets the time per generated token of each completion, which a timing model replaces.
    pub fn token_time(mut self, time: Duration) -> EngineTiming {
        self.token_time = time;
        self
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        match self.prefill_tokens_per_second {
            0 => Duration::ZERO,
            tokens_per_second => Duration::from_secs_f64(tokens as f64 / tokens_per_second as f64),
        }
    }
}

/// Event in the life of a completion at an engine stand-in.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineRecord {
    /// A completion was started.
    Started {
        /// Id of the request.
        request_id: String,
        /// Number of tokens that the client already had.
        resume_at: u64,
        /// When the completion was started.
        at: Instant,
    },
    /// A completion was sent to its end.
    Finished {
        /// Id of the request.
        request_id: String,
    },
    /// The client disconnected before the end.
    Cancelled {
        /// Id of the request.
        request_id: String,
    },
    /// A configuration change or a crash of the engine aborted the completion.
    Aborted {
        /// Id of the request.
        request_id: String,
    },
}

/// State shared by the connections of one engine.
struct State {
    timing: EngineTiming,
    /// Runs the completions if the engine has a timing model.
    scheduler: Option<Rc<Scheduler>>,
    records: RefCell<Vec<EngineRecord>>,
    running_completions: RefCell<u64>,
    admin: Rc<Admin>,
    stream_fault: Cell<StreamFault>,
}

/// Stand-in for a model engine that serves its public HTTP interface.
pub struct EngineStandIn {
    addr: SocketAddr,
    state: Rc<State>,
    shutdown: ShutdownHandle,
}

impl EngineStandIn {
    /// Starts an engine on `addr` in the current runtime.
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
            running_completions: RefCell::new(0),
            admin: Rc::default(),
            stream_fault: Cell::default(),
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

    /// Returns the events of all completions so far, in order.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.state.records.borrow().clone()
    }

    /// Returns the records of all orders so far.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.state.admin.records()
    }

    /// Returns the number of running completions, including those that wait in a modelled engine's queue.
    pub fn running_completions(&self) -> u64 {
        *self.state.running_completions.borrow()
    }

    /// Sets how long the engine takes to apply an order.
    pub fn set_order_duration(&self, duration: Duration) {
        self.state.admin.order_duration.set(duration);
    }

    /// Sets whether orders are refused if their fencing token is below the highest seen; by default they are not.
    pub fn set_checks_fencing(&self, enabled: bool) {
        self.state.admin.checks_fencing.set(enabled);
    }

    /// Makes the engine crash halfway through the next order and restart without state after `downtime`.
    pub fn crash_during_next_order(&self, downtime: Duration) {
        self.state.admin.next_order_crash.set(Some(downtime));
    }

    /// Crashes the engine, which restarts without state after `downtime`; a modelled engine's completions continue.
    pub fn crash(&self, downtime: Duration) {
        self.state.admin.crash(downtime);
    }

    /// Sets the fault of completions that start from now on; a modelled engine ignores it.
    pub fn set_stream_fault(&self, fault: StreamFault) {
        self.state.stream_fault.set(fault);
    }

    /// Sets the role of a modelled engine immediately, without the duration of a role change; others have no role.
    pub fn set_role(&self, now: Instant, role: Role) {
        if let Some(scheduler) = &self.state.scheduler {
            scheduler.set_role(now, role);
        }
    }

    /// Starts a role change of a modelled engine and returns how long it takes; zero for other engines.
    pub fn change_role(&self, now: Instant, role: Role) -> Duration {
        let scheduler = self.state.scheduler.as_ref();
        scheduler.map_or(Duration::ZERO, |scheduler| scheduler.change_role(now, role))
    }

    /// Returns the role of a modelled engine, which stays the old one during a role change; `None` for other engines.
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

    /// Returns the number of prompt tokens served from a modelled engine's prefix cache.
    pub fn prefix_hit_tokens(&self) -> u64 {
        let scheduler = self.state.scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.hit_tokens())
    }

    /// Stops accepting connections and requests.
    pub fn shut_down(&self) {
        self.shutdown.shut_down();
    }
}

async fn handle(state: Rc<State>, req: Request) -> Response {
    if state.admin.is_down(Instant::now()) {
        return text_response(503, "starting");
    }
    match (req.method().as_str(), req.uri().path()) {
        ("POST", "/v1/completions") => handle_completion(state, req).await,
        ("POST", "/admin/orders") => {
            let running_completions = *state.running_completions.borrow();
            engine_admin::handle_order(state.admin.clone(), running_completions, req).await
        }
        ("GET", "/admin/state") => json_response(200, &state.admin.state()),
        ("GET", "/load") => json_response(200, &load_report(&state, Instant::now())),
        ("GET", "/cache/events") => cache_events(&state, Instant::now(), req.uri().query()),
        _ => text_response(404, "not found"),
    }
}

fn load_report(state: &State, now: Instant) -> serde_json::Value {
    match &state.scheduler {
        Some(scheduler) => {
            let (running_completions, waiting) = scheduler.reported_load(now);
            json!({ "running": running_completions, "waiting": waiting })
        }
        None => json!({ "running": *state.running_completions.borrow() }),
    }
}

/// Handles `GET /cache/events?after=SEQUENCE`.
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

async fn handle_completion(state: Rc<State>, req: Request) -> Response {
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
    *state.running_completions.borrow_mut() += 1;
    let generated = match &state.scheduler {
        Some(scheduler) => generate_modelled(scheduler, &req, &mut tx).await,
        None => generate(&state, &req, &mut tx).await,
    };
    let outcome = match generated {
        Ok(()) => EngineRecord::Finished { request_id },
        Err(StopCause::Disconnected) => EngineRecord::Cancelled { request_id },
        Err(StopCause::Aborted) => EngineRecord::Aborted { request_id },
    };
    *state.running_completions.borrow_mut() -= 1;
    state.records.borrow_mut().push(outcome);
}

/// Why a completion stopped early.
enum StopCause {
    /// The client disconnected.
    Disconnected,
    /// The engine's configuration changed, or it crashed.
    Aborted,
}

async fn generate(
    state: &State,
    req: &CompletionRequest,
    tx: &mut BodySender,
) -> Result<(), StopCause> {
    let epoch = state.admin.epoch.get();
    let fault = state.stream_fault.get();
    let prompt_tokens = prompt_tokens(&req.prompt);
    pause(state.timing.prefill_time(prompt_tokens), tx).await?;
    for offset in req.resume_at..req.max_tokens {
        pause(state.timing.token_time, tx).await?;
        if state.admin.epoch.get() != epoch {
            return Err(StopCause::Aborted);
        }
        let event = CompletionEvent::Delta {
            request_id: req.request_id.clone(),
            offset,
            text: token_text(&req.prompt, offset),
            tokens: 1,
        };
        if let StreamFault::Stalled { at } = fault
            && at == offset
        {
            tx.closed().await;
            return Err(StopCause::Disconnected);
        }
        for event in fault.apply(event) {
            let sent = tx.send(event.to_wire().into()).await;
            sent.map_err(|_| StopCause::Disconnected)?;
        }
    }
    let event = CompletionEvent::Finish {
        request_id: req.request_id.clone(),
        reason: "length".to_string(),
        prompt_tokens,
        completion_tokens: req.max_tokens,
    };
    let final_events = format!("{}data: [DONE]\n\n", event.to_wire());
    tx.send(final_events.into())
        .await
        .map_err(|_| StopCause::Disconnected)
}

/// Generates a completion at the pace of the timing model; one event may carry several tokens.
async fn generate_modelled(
    scheduler: &Rc<Scheduler>,
    req: &CompletionRequest,
    tx: &mut BodySender,
) -> Result<(), StopCause> {
    let tokens = completion_tokens(&req.prompt, req.max_tokens);
    let mut generation = scheduler.submit(Instant::now(), req, tokens);
    let mut offset = req.resume_at;
    loop {
        let next = {
            let next = std::pin::pin!(generation.next());
            let closed = std::pin::pin!(tx.closed());
            match futures_util::future::select(next, closed).await {
                futures_util::future::Either::Left((next, _)) => next,
                futures_util::future::Either::Right(_) => return Err(StopCause::Disconnected),
            }
        };
        let Some(count) = next else { break };
        let event = CompletionEvent::Delta {
            request_id: req.request_id.clone(),
            offset,
            text: (offset..offset + count)
                .map(|index| token_text(&req.prompt, index))
                .collect(),
            tokens: count,
        };
        offset += count;
        tx.send(event.to_wire().into())
            .await
            .map_err(|_| StopCause::Disconnected)?;
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
    let final_events = format!("{}data: [DONE]\n\n", event.to_wire());
    tx.send(final_events.into())
        .await
        .map_err(|_| StopCause::Disconnected)
}

/// Sleeps for `time`; fails early if the client disconnects.
async fn pause(time: Duration, tx: &mut BodySender) -> Result<(), StopCause> {
    if time.is_zero() {
        return Ok(());
    }
    match compio::time::timeout(time, tx.closed()).await {
        Ok(()) => Err(StopCause::Disconnected),
        Err(_) => Ok(()),
    }
}
