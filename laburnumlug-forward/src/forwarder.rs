//! First contact with a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Body;
use laburnumlug::{FleetDocument, FleetVersion, Repetition, ServiceName, TargetList, ZoneName};
use laburnumlug_http::{ConnectionPool, Handler, Request, Response, discard_body, read_body};
use laburnumlug_policy::{RetryBudget, rendezvous_rank};
use rand::Rng;

use crate::dialect::{CallFacts, Dialect};
use crate::directory::{Directory, TargetHandle};
use crate::engine::Ledger;
use crate::exchange::Call;
use crate::observer::ForwardObserver;
use crate::probe::Inspector;
use crate::refusal::{Cause, Refusal};
use crate::routes::{RouteRow, RouteTable};

/// How long a connection to a target may take; within a region it takes about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept whose target states no time.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Age of a confirmation up to which a missing route is denied; beyond it a route may have been added unseen.
const DENIAL_BOUND: Duration = Duration::from_millis(1500);

/// When a caller may try again while nothing is known yet; the control replicas elect a leader in about that time.
const START_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request waits for the first routes and targets; they are known within that time of most starts.
const START_WAIT: Duration = Duration::from_millis(400);

/// How often a waiting request looks for them.
const START_LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time that callers without a deadline of their own are given, where the route has a longer one.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Share of the slack of further sends that is handed out; processes that start again have forgotten what they sent.
const SLACK_SHARE: f64 = 0.5;

/// Most further sends that one process may make without requests that earn them.
const MAX_FREE_SENDS: f64 = 2.0;

/// Processes that share one limit, as long as it is not known how many they are.
const UNKNOWN_PROCESSES: usize = 32;

/// Path of the health check of services that state none.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Configuration of a [`Forwarder`].
#[derive(Clone, Debug)]
pub struct ForwardConfig {
    pub(crate) zone: ZoneName,
    retry_ratio: f64,
    retry_window: Duration,
    retry_slack: f64,
}

impl ForwardConfig {
    /// Creates the configuration of a process in an availability zone.
    pub fn new(zone: &str) -> ForwardConfig {
        ForwardConfig {
            zone: zone.to_string(),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 0.0,
        }
    }

    /// Sets the share of requests that may be sent once more, within a sliding window.
    pub fn retries(mut self, ratio: f64, window: Duration) -> ForwardConfig {
        self.retry_ratio = ratio;
        self.retry_window = window;
        self
    }

    /// Sets how many sends beyond that share all processes together may make within the window.
    pub fn retry_slack(mut self, sends: f64) -> ForwardConfig {
        self.retry_slack = sends;
        self
    }

    /// Returns how many of these sends one of several processes may make.
    fn free_sends(&self, processes: usize) -> f64 {
        (self.retry_slack * SLACK_SHARE / processes.max(1) as f64).min(MAX_FREE_SENDS)
    }
}

#[derive(Default)]
struct View {
    table: Option<Rc<RouteTable>>,
    /// When the routes were last known to be the newest.
    confirmed_at: Option<Instant>,
    directory: Directory,
}

/// Forwards requests of routes to live targets.
pub struct Forwarder {
    pub(crate) cfg: ForwardConfig,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) inspector: Rc<dyn Inspector>,
    pub(crate) pool: ConnectionPool,
    view: RefCell<View>,
    allowances: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Address of this process and of the others that forward; `None` as long as they are not known.
    members: RefCell<Option<(SocketAddr, Vec<SocketAddr>)>>,
    closing: Cell<bool>,
    observer: RefCell<Option<Rc<dyn ForwardObserver>>>,
    pub(crate) ledger: Ledger,
}

impl Forwarder {
    /// Creates a forwarder that knows no routes and no targets.
    pub fn new(
        cfg: ForwardConfig,
        dialect: Rc<dyn Dialect>,
        inspector: Rc<dyn Inspector>,
    ) -> Rc<Forwarder> {
        Rc::new(Forwarder {
            cfg,
            dialect,
            inspector,
            pool: ConnectionPool::new(CONNECT_TIMEOUT, IDLE_TIME),
            view: RefCell::default(),
            allowances: RefCell::default(),
            members: RefCell::default(),
            closing: Cell::new(false),
            observer: RefCell::default(),
            ledger: Ledger::default(),
        })
    }

    /// Sets who is told how requests end.
    pub fn set_observer(&self, observer: Rc<dyn ForwardObserver>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    pub(crate) fn observe<F>(&self, tell: F)
    where
        F: FnOnce(&dyn ForwardObserver),
    {
        if let Some(observer) = &*self.observer.borrow() {
            tell(&**observer);
        }
    }

    /// Sets the routes; an older version changes nothing.
    pub fn set_routes(&self, version: FleetVersion, document: &FleetDocument) {
        let held = self.view.borrow().table.as_ref().map(|table| table.version);
        if held.is_none_or(|held| held < version) {
            let table = Rc::new(RouteTable::new(version, document));
            self.view.borrow_mut().table = Some(table);
        }
    }

    /// Notes when the routes were last known to be the newest.
    pub fn set_confirmed_at(&self, confirmed_at: Instant) {
        let mut view = self.view.borrow_mut();
        view.confirmed_at = view.confirmed_at.max(Some(confirmed_at));
    }

    /// Sets the targets from a list that was read at `read_at`.
    pub fn set_targets(self: &Rc<Self>, read_at: Instant, list: TargetList) {
        let found = self.view.borrow_mut().directory.update(read_at, list);
        for target in found
            .into_iter()
            .filter(|target| target.row.borrow().role.is_some())
        {
            self.inspect(target);
        }
        let view = self.view.borrow();
        self.pool
            .retain(Instant::now(), |addr| view.directory.has_addr(addr));
    }

    /// Notes that the targets were unchanged in a list that was read at `read_at`.
    pub fn confirm_targets(&self, read_at: Instant) {
        self.view.borrow_mut().directory.confirm(read_at);
    }

    /// Returns when the newest list of targets was read.
    pub fn targets_read_at(&self) -> Option<Instant> {
        self.view.borrow().directory.read_at()
    }

    /// Returns whether routes and targets are known.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        view.table.is_some() && view.directory.read_at().is_some()
    }

    /// Sets which processes forward: this one, and the others.
    pub fn set_members(&self, own: SocketAddr, others: Vec<SocketAddr>) {
        *self.members.borrow_mut() = Some((own, others));
        let free = self.free_sends();
        for allowance in self.allowances.borrow_mut().values_mut() {
            allowance.set_slack(free);
        }
    }

    /// Returns how many of the other processes come before this one for a duty; `None` as long as they are not known.
    pub(crate) fn duty_rank(&self, item: &str) -> Option<usize> {
        let members = self.members.borrow();
        let (own, others) = members.as_ref()?;
        Some(rendezvous_rank(item, own, others))
    }

    /// Returns how many sends this process may make that no request has earned.
    fn free_sends(&self) -> f64 {
        let members = self.members.borrow();
        let processes = members
            .as_ref()
            .map_or(UNKNOWN_PROCESSES, |(_, others)| others.len() + 1);
        self.cfg.free_sends(processes)
    }

    /// Asks callers from now on to close their connections after each answer.
    pub fn close_connections(&self) {
        self.closing.set(true);
    }

    /// Returns the path of a service's health check.
    pub(crate) fn health_path(&self, service: &str) -> String {
        let view = self.view.borrow();
        let path = view
            .table
            .as_ref()
            .and_then(|table| table.health_path(service));
        path.unwrap_or(DEFAULT_HEALTH_PATH).to_string()
    }

    /// Returns the live target of an instance.
    pub(crate) fn target(&self, instance: &str) -> Option<Rc<TargetHandle>> {
        self.view.borrow().directory.target(instance)
    }

    /// Returns all live targets that are engines.
    pub(crate) fn engines(&self) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().directory.engines()
    }

    pub(crate) fn serving(&self, service: &str) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().directory.serving(service)
    }

    /// Counts a request that is sent for the first time.
    pub(crate) fn note_request(&self, now: Instant, service: &str) {
        self.with_allowance(service, |allowance| allowance.record_request(now));
    }

    /// Takes one further send; returns `false` where the limit is reached.
    pub(crate) fn take_retry(&self, now: Instant, service: &str) -> bool {
        let allowed = self.with_allowance(service, |allowance| allowance.try_acquire(now));
        self.observe(|observer| observer.further_send(allowed));
        allowed
    }

    fn with_allowance<T, F>(&self, service: &str, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut allowances = self.allowances.borrow_mut();
        let new = || {
            let (ratio, window) = (self.cfg.retry_ratio, self.cfg.retry_window);
            RetryBudget::new(ratio, window, self.free_sends())
        };
        act(allowances.entry(service.to_string()).or_insert_with(new))
    }

    async fn answer(self: Rc<Self>, req: Request) -> Response {
        let arrived = Instant::now();
        let (parts, mut body) = req.into_parts();
        let facts = self.dialect.call(&parts.headers);
        let id = facts
            .as_ref()
            .map_or(String::new(), |facts| facts.id.clone());
        let time_left = facts.as_ref().ok().and_then(|facts| facts.time_left);
        let result = match facts {
            Ok(facts) => self.clone().forward(arrived, facts, parts, &mut body).await,
            Err(reason) => Err(Refusal::new(Cause::BadRequest, reason)),
        };
        let mut resp = match result {
            Ok(resp) => resp,
            Err(refusal) => {
                let waited = arrived.elapsed();
                log::info!(
                    request_id = id.as_str(), cause = refusal.cause.as_str(),
                    waited_ms = waited.as_millis() as u64;
                    "answered with {}: {}", refusal.cause.status(), refusal.detail
                );
                self.observe(|observer| {
                    observer.refused(refusal.cause.status(), refusal.cause.as_str());
                });
                let left = time_left.unwrap_or(DEFAULT_TIME).saturating_sub(waited);
                if !body.is_end_stream() {
                    discard_body(body);
                }
                let mut resp = refusal.response(left);
                self.dialect.identify(resp.headers_mut(), &id);
                resp
            }
        };
        if self.closing.get() {
            let close = hyper::header::HeaderValue::from_static("close");
            resp.headers_mut().insert(hyper::header::CONNECTION, close);
        }
        resp
    }

    async fn forward(
        self: Rc<Self>,
        arrived: Instant,
        facts: CallFacts,
        parts: hyper::http::request::Parts,
        body: &mut hyper::body::Incoming,
    ) -> Result<Response, Refusal> {
        while !self.is_ready() && arrived.elapsed() < START_WAIT {
            compio::time::sleep(START_LOOK_INTERVAL).await;
        }
        let table = self.view.borrow().table.clone().ok_or_else(|| {
            Refusal::new(Cause::NoConfiguration, "no configuration is known yet")
                .retry_after(START_RETRY_AFTER)
        })?;
        let route = self.route(arrived, &table, &parts)?;
        let limit = usize::try_from(table.limits.body_bytes).unwrap_or(usize::MAX);
        let reading = read_body(body, limit);
        let body = match compio::time::timeout(BODY_TIMEOUT, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) if err.is_body_too_large() => {
                return Err(Refusal::new(Cause::TooLarge, err.to_string()));
            }
            Ok(Err(err)) => return Err(Refusal::new(Cause::BadRequest, err.to_string())),
            Err(_) => return Err(Refusal::new(Cause::SlowBody, "the body came too slowly")),
        };
        let time = facts.time_left.unwrap_or(DEFAULT_TIME).min(route.timeout);
        let path = parts.uri.path_and_query().cloned();
        let call = Call {
            headers: self.dialect.forwarded(&parts.headers),
            facts,
            method: parts.method,
            path: path.map_or(parts.uri, hyper::Uri::from),
            body,
            arrived,
            deadline: arrived + time,
            route: route.clone(),
        };
        let draw = rand::rng().random_range(0.0..1.0);
        let Some(service) = route.service(draw) else {
            return Err(Refusal::new(Cause::NoTarget, "the route has no service"));
        };
        let resp = match route.repetition {
            Repetition::Stream => self.clone().answer_stream(call, service, table).await?,
            Repetition::Safe | Repetition::Unsafe => self.answer_plain(&call, service).await?,
        };
        let time = arrived.elapsed();
        self.observe(|o| o.answered(route.repetition, resp.status().as_u16(), time));
        Ok(resp)
    }

    fn route(
        &self,
        now: Instant,
        table: &RouteTable,
        parts: &hyper::http::request::Parts,
    ) -> Result<Rc<RouteRow>, Refusal> {
        let host = parts.headers.get(hyper::header::HOST);
        let host = host.and_then(|value| value.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or("");
        if let Some(route) = table.find(host, parts.uri.path()) {
            return Ok(route);
        }
        let confirmed_at = self.view.borrow().confirmed_at;
        let is_confirmed =
            confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < DENIAL_BOUND);
        Err(match is_confirmed {
            true => Refusal::new(Cause::NoRoute, "no route leads there"),
            false => Refusal::new(Cause::NoConfiguration, "the routes are not confirmed")
                .retry_after(START_RETRY_AFTER),
        })
    }
}

/// Handler of an HTTP server that forwards.
impl Handler for ForwardHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        Box::pin(self.forwarder.clone().answer(req))
    }
}

/// Answers requests through a [`Forwarder`].
pub struct ForwardHandler {
    forwarder: Rc<Forwarder>,
}

impl ForwardHandler {
    /// Creates a handler.
    pub fn new(forwarder: Rc<Forwarder>) -> ForwardHandler {
        ForwardHandler { forwarder }
    }
}
