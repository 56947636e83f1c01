//! Routes, targets and retry budgets that requests are forwarded by.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use laburnumlug::{
    BootTime, FleetDocument, FleetVersion, ReadTime, ServiceName, TargetList, TargetName,
};
use laburnumlug_http::ConnectionPool;
use laburnumlug_policy::{
    ControlContact, CrashAttribution, NoRoom, RetryBudget, RetrySchedule, SoftwareHistory,
    StreamOrigins, rendezvous_rank,
};

use rand::Rng;

use crate::cache_reports::CacheReportQueue;
use crate::config::{ForwardConfig, ForwardLimits};
use crate::crash_reports::OutlastedSuspects;
use crate::engine_requests::EngineRequests;
use crate::header_codec::HeaderCodec;
use crate::observer::ForwardObserver;
use crate::probe::Inspector;
use crate::registry::{TargetHandle, TargetRegistry};
use crate::routes::RouteTable;
use crate::shutdown::Shutdown;
use crate::usage::UsageRecorder;

/// Timeout for connecting to a target; connecting takes about a millisecond within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept if its target announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Assumed number of gateways that share the retry slack, until the actual number is known.
const ASSUMED_GATEWAYS: usize = 32;

/// Health check path of services that do not configure one.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Maximum time after a crash until this gateway may test what all block; the others learn within milliseconds which of them
/// is first.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(1);

fn random_trial_delay() -> Duration {
    MAX_TRIAL_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Routes and targets as last reported to this process.
#[derive(Default)]
struct RoutingView {
    table: Option<Rc<RouteTable>>,
    /// When the routes were last confirmed to be the newest.
    confirmed_at: Option<BootTime>,
    /// Contact with the control replicas that can confirm the routes.
    contact: ControlContact,
    registry: TargetRegistry,
}

/// Routes requests to services and forwards them to live targets.
pub struct Forwarder {
    pub(crate) cfg: ForwardConfig,
    /// Limits in force; those in `cfg` are the first ones.
    pub(crate) limits: Cell<ForwardLimits>,
    pub(crate) header_codec: Rc<dyn HeaderCodec>,
    pub(crate) inspector: Rc<dyn Inspector>,
    pub(crate) pool: ConnectionPool,
    view: RefCell<RoutingView>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    retry_schedules: RefCell<HashMap<ServiceName, RetrySchedule>>,
    /// Addresses of this gateway and of the others, or `None` until they are known.
    gateways: RefCell<Option<(SocketAddr, Vec<SocketAddr>)>>,
    observer: RefCell<Option<Rc<dyn ForwardObserver>>>,
    pub(crate) engine_requests: EngineRequests,
    pub(crate) crash_attribution: RefCell<CrashAttribution>,
    /// Suspects of recent crashes that got as far at other targets.
    pub(crate) outlasted_suspects: RefCell<Vec<OutlastedSuspects>>,
    pub(crate) stream_origins: RefCell<StreamOrigins>,
    pub(crate) software_histories: RefCell<HashMap<ServiceName, SoftwareHistory>>,
    /// Whether the control replicas have reported which software versions they have recorded, since this process last was
    /// without a list of targets.
    pub(crate) knows_software_records: Cell<bool>,
    /// Notified when a request needs a more recent list of targets.
    pub(crate) recent_list_needed: Event,
    /// Whether the signs of life of engines are observed.
    pub(crate) watches_engines: Cell<bool>,
    pub(crate) usage: UsageRecorder,
    pub(crate) cache_reports: CacheReportQueue,
    /// Notified whenever a prompt part or the content of a request is blocked.
    pub(crate) request_blocked: Event,
    pub(crate) shutdown: Shutdown,
}

impl Forwarder {
    /// Creates a forwarder without routes and targets.
    pub fn new(
        cfg: ForwardConfig,
        header_codec: Rc<dyn HeaderCodec>,
        inspector: Rc<dyn Inspector>,
    ) -> Rc<Forwarder> {
        Rc::new(Forwarder {
            limits: Cell::new(cfg.limits),
            cfg,
            header_codec,
            inspector,
            pool: ConnectionPool::new(CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT),
            view: RefCell::default(),
            retry_budgets: RefCell::default(),
            retry_schedules: RefCell::default(),
            gateways: RefCell::default(),
            observer: RefCell::default(),
            engine_requests: EngineRequests::new(),
            crash_attribution: RefCell::new(CrashAttribution::new(random_trial_delay())),
            outlasted_suspects: RefCell::default(),
            stream_origins: RefCell::default(),
            software_histories: RefCell::default(),
            knows_software_records: Cell::default(),
            recent_list_needed: Event::new(),
            watches_engines: Cell::new(false),
            usage: UsageRecorder::default(),
            cache_reports: CacheReportQueue::default(),
            request_blocked: Event::new(),
            shutdown: Shutdown::default(),
        })
    }

    /// Sets the observer of request outcomes, which are not reported to anyone before.
    pub fn set_observer(&self, observer: Rc<dyn ForwardObserver>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    pub(crate) fn observe<F>(&self, notify: F)
    where
        F: FnOnce(&dyn ForwardObserver),
    {
        if let Some(observer) = &*self.observer.borrow() {
            notify(&**observer);
        }
    }

    /// Sets the routes, unless the same or a newer version is already in place.
    pub fn set_routes(&self, version: FleetVersion, document: &FleetDocument) {
        let current = self.view.borrow().table.as_ref().map(|table| table.version);
        if current.is_none_or(|current| current < version) {
            let table = Rc::new(RouteTable::new(version, document));
            self.view.borrow_mut().table = Some(table);
        }
    }

    /// Records when the routes were confirmed to be the newest, unless a later confirmation is already recorded.
    pub fn set_confirmed_at(&self, confirmed_at: BootTime) {
        let mut view = self.view.borrow_mut();
        view.confirmed_at = view.confirmed_at.max(Some(confirmed_at));
    }

    /// Sets what is known of the control replicas that can confirm the routes.
    pub fn set_control_contact(&self, contact: ControlContact) {
        self.view.borrow_mut().contact = contact;
    }

    /// Sets the targets from a list that was read at `read_at`, unless a newer list is already in place.
    ///
    /// Also fetches the cached prompts of newly listed engines, and closes idle connections to addresses that no target
    /// has any more.
    pub fn set_targets(self: &Rc<Self>, read_at: ReadTime, list: TargetList) {
        let discovered = {
            let registry = &mut self.view.borrow_mut().registry;
            registry.update(read_at.monotonic, list)
        };
        self.update_software(read_at.boot);
        self.watch_engines();
        for target in discovered
            .into_iter()
            .filter(|target| target.listing.borrow().role.is_some())
        {
            self.fetch_cached_parts(target);
        }
        let view = self.view.borrow();
        self.pool
            .retain(Instant::now(), |addr| view.registry.has_addr(addr));
    }

    /// Records that a list read at `read_at` contained the same targets.
    pub fn confirm_targets(&self, read_at: ReadTime) {
        let registry = &mut self.view.borrow_mut().registry;
        registry.confirm_unchanged(read_at.monotonic);
        self.confirm_software(read_at.boot);
    }

    /// Returns when the newest list of targets was read.
    pub fn targets_read_at(&self) -> Option<Instant> {
        self.view.borrow().registry.read_at()
    }

    /// Returns whether targets are known, and routes by which requests may be served at `now`.
    pub fn is_ready(&self, now: BootTime) -> bool {
        let table = self.route_table();
        let permits_routes =
            |table: Rc<RouteTable>| self.document_status(now, &table).permits_routes();
        self.targets_read_at().is_some() && table.is_some_and(permits_routes)
    }

    /// Returns whether routes, recent or not, and targets are known.
    pub(crate) fn has_view(&self) -> bool {
        let view = self.view.borrow();
        view.table.is_some() && view.registry.read_at().is_some()
    }

    /// Sets the addresses of this gateway and of all others.
    pub fn set_gateways(&self, own: SocketAddr, others: Vec<SocketAddr>) {
        *self.gateways.borrow_mut() = Some((own, others));
        let slack = self.local_retry_slack();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_slack(slack);
        }
    }

    /// Applies the limits in `cfg` from now on; requests and retries that were counted before still count.
    pub fn set_limits(&self, cfg: &ForwardConfig) {
        let limits = cfg.limits;
        self.limits.set(limits);
        let slack = self.local_retry_slack();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_limit(limits.retry_ratio, limits.retry_window, slack);
        }
    }

    /// Returns the rendezvous rank of this gateway for an item, or `None` until the gateways are known.
    pub(crate) fn rendezvous_rank(&self, item: &str) -> Option<usize> {
        let gateways = self.gateways.borrow();
        let (own, others) = gateways.as_ref()?;
        Some(rendezvous_rank(item, own, others))
    }

    /// Returns the part of the retry slack that this gateway may use.
    fn local_retry_slack(&self) -> f64 {
        let gateways = self.gateway_count();
        self.limits.get().retry_slack_per_gateway(gateways)
    }

    /// Returns the number of gateways, or an assumed number until it is known.
    pub(crate) fn gateway_count(&self) -> usize {
        let gateways = self.gateways.borrow();
        gateways
            .as_ref()
            .map_or(ASSUMED_GATEWAYS, |(_, others)| others.len() + 1)
    }

    /// Returns the newest routes, or `None` until they are known.
    pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.view.borrow().table.clone()
    }

    /// Returns when the routes were last confirmed to be the newest, or `None` if never.
    pub(crate) fn confirmed_at(&self) -> Option<BootTime> {
        self.view.borrow().confirmed_at
    }

    /// Returns the contact with the control replicas that can confirm the routes.
    pub(crate) fn control_contact(&self) -> ControlContact {
        self.view.borrow().contact
    }

    /// Returns the health check path of a service, or [`DEFAULT_HEALTH_PATH`] if none is configured.
    pub(crate) fn health_path(&self, service: &str) -> String {
        let view = self.view.borrow();
        let path = view
            .table
            .as_ref()
            .and_then(|table| table.health_path(service));
        path.unwrap_or(DEFAULT_HEALTH_PATH).to_string()
    }

    /// Returns a target if the newest target list contains it.
    pub(crate) fn live_target(&self, instance: &str) -> Option<Rc<TargetHandle>> {
        self.view.borrow().registry.find(instance)
    }

    /// Remembers that a target is leaving, also while it is not listed.
    pub(crate) fn record_departed(&self, now: Instant, instance: &TargetName) {
        let registry = &mut self.view.borrow_mut().registry;
        let target = registry.find(instance);
        let addr = target.map(|target| target.listing.borrow().addr);
        registry.departed.record(now, instance, addr);
    }

    /// Returns the names of the targets that are leaving or have left.
    pub(crate) fn departed_targets(&self) -> Vec<TargetName> {
        let view = self.view.borrow();
        view.registry.departed.names().cloned().collect()
    }

    /// Returns all targets of the newest target list.
    pub(crate) fn live_targets(&self) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().registry.all()
    }

    /// Returns the live targets that have a role, as only engines do.
    pub(crate) fn engines(&self) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().registry.engines()
    }

    pub(crate) fn available_targets(&self, now: Instant, service: &str) -> Vec<Rc<TargetHandle>> {
        let mut targets = self.staying_targets(service);
        targets.retain(|target| target.status.borrow().decline(now).is_none());
        targets
    }

    /// Returns the targets of a service that accept new requests by the newest target list.
    pub(crate) fn staying_targets(&self, service: &str) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().registry.available_targets(service)
    }

    /// Returns the targets that are listed, or were recently.
    pub(crate) fn recent_targets(&self) -> Vec<Rc<TargetHandle>> {
        self.view.borrow().registry.recent()
    }

    /// Counts a request towards the retry budget of its service.
    pub(crate) fn record_request(&self, now: Instant, service: &str) {
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Spends one retry of a service's budget, or returns `false` if the budget is exhausted.
    pub(crate) fn try_acquire_retry(&self, now: Instant, service: &str) -> bool {
        let allowed = self.with_retry_budget(service, |budget| budget.try_acquire(now));
        self.observe(|observer| observer.retry_requested(allowed));
        allowed
    }

    /// Returns the retry delay of a request for which no engine has room, or `None` if it cannot be predicted.
    ///
    /// The other gateways are assumed to refuse as many requests as this one.
    pub(crate) fn schedule_retry(
        &self,
        now: Instant,
        service: &str,
        no_room: NoRoom,
    ) -> Option<Duration> {
        if no_room.room_after.is_zero() {
            return None;
        }
        let interval = no_room.completion_interval * self.gateway_count() as u32;
        let mut schedules = self.retry_schedules.borrow_mut();
        let schedule = schedules.entry(service.to_string()).or_default();
        Some(schedule.next_delay(now, no_room.room_after, interval))
    }

    fn with_retry_budget<T, F>(&self, service: &str, f: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let new = || {
            let limits = self.limits.get();
            let slack = self.local_retry_slack();
            RetryBudget::new(limits.retry_ratio, limits.retry_window, slack)
        };
        f(retry_budgets.entry(service.to_string()).or_insert_with(new))
    }
}
