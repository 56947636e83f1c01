//! The role `gateway`: forwards requests by route to the live targets in the platform's list.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{
    BootTime, CallerLimits, DemandReport, ListedGateway, ReadTime, SoftwareRecord, TargetList,
};
use laburnumlug_forward::{ForwardConfig, ForwardHandler, Forwarder, PendingUsageReport};
use laburnumlug_http::{Limits, LimitsHandle, Request, Server, text_response};
use laburnumlug_platform::{
    InstanceListClient, PlatformHeaderCodec, PlatformInspector, TargetSource,
};
use laburnumlug_policy::{ChangeNumber, ControlContact, ShutdownSchedule};
use rand::Rng;

use crate::error::Error;
use crate::fleet_watch::{FleetObserver, FleetView, FleetWatch};
use crate::gateway_exchange::GatewayExchange;
use crate::gateway_metrics::GatewayMetrics;
use crate::listener::bind;
use crate::logging;
use crate::metrics::{self, Metrics};
use crate::settings::{GatewaySettings, SettingsFile};
use crate::settings_watch::SettingsWatch;
use crate::signal::Signals;

/// Time in which a gateway that stops reports the counts of its last requests: an interval between polls and an exchange.
const LAST_REPORT_TIME: Duration = Duration::from_millis(700);

/// Age of the list of live targets from which this process reads the platform's list itself.
const STALE_LIST_AGE: Duration = Duration::from_secs(3);

/// Maximum time between two checks of the list's age; each wait is random, and at least half of the maximum.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time between two checks while no list of live targets is known.
const MAX_INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two reads of the list because requests need a recent one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for reading the platform's list of live targets.
const LIST_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Smallest header buffer that the HTTP server supports, in bytes.
const MIN_HEADER_BYTES: u64 = 8192;

/// Applies changes of routes, targets and gateways to the forwarder, the HTTP server and the exchange of events.
struct ViewApplier {
    forwarder: Rc<Forwarder>,
    limits: LimitsHandle,
    max_connections: usize,
    exchange: Rc<GatewayExchange>,
}

impl FleetObserver for ViewApplier {
    fn view_changed(&self, view: &FleetView) {
        self.forwarder.set_routes(view.version, &view.document);
        let limits = view.document.caller_limits.clone().unwrap_or_default();
        self.limits
            .set(server_limits(&limits, self.max_connections));
    }

    fn view_confirmed(&self, at: BootTime) {
        self.forwarder.set_confirmed_at(at);
    }

    fn contact_changed(&self, contact: ControlContact) {
        self.forwarder.set_control_contact(contact);
    }

    fn targets_updated(&self, read_at: ReadTime, list: TargetList) {
        self.forwarder.set_targets(read_at, list);
    }

    fn targets_unchanged(&self, read_at: ReadTime) {
        self.forwarder.confirm_targets(read_at);
    }

    fn software_reported(&self, at: BootTime, records: &[SoftwareRecord]) {
        self.forwarder.set_software_records(at, records);
    }

    fn gateways_updated(&self, gateways: &[ListedGateway]) {
        self.exchange.set_gateways(Instant::now(), gateways);
        let own_addr = self.exchange.own_listing().addr;
        let addrs = gateways.iter().map(|gateway| gateway.addr);
        let others = addrs.filter(|addr| *addr != own_addr);
        self.forwarder.set_gateways(own_addr, others.collect());
    }

    fn own_listing(&self) -> Option<ListedGateway> {
        Some(self.exchange.own_listing())
    }

    fn demand_report(&self) -> Option<DemandReport> {
        Some(self.forwarder.demand_report(Instant::now()))
    }

    fn usage_window(&self) -> Option<Duration> {
        self.forwarder.usage_window()
    }

    fn usage_report(&self, known: ChangeNumber) -> Option<PendingUsageReport> {
        self.forwarder.usage_report(known)
    }

    fn usage_acknowledged(
        &self,
        replica: usize,
        report: &PendingUsageReport,
        unix_time: Duration,
        voters: usize,
    ) {
        self.forwarder
            .record_usage_answer(replica, report, unix_time, voters);
    }
}

/// Runs a gateway until it is asked to stop.
pub(crate) async fn run(
    file: SettingsFile<GatewaySettings>,
    mut signals: Signals,
) -> Result<(), Error> {
    let settings = file.settings().clone();
    logging::start("gateway", &settings.process, &settings.log)?;
    file.log_replaced();
    log_limits(&settings, settings.usage_window);
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let metrics = Rc::new(Metrics::new()?);
    let forwarder = Forwarder::new(
        forward_config(&settings),
        Rc::new(PlatformHeaderCodec),
        Rc::new(PlatformInspector),
    );
    if let Some(window) = settings.usage_window {
        forwarder.enable_usage(window);
    }
    let gateway_metrics = Rc::new(GatewayMetrics::new(&metrics));
    forwarder.set_observer(gateway_metrics.clone());
    let observed = forwarder.clone();
    metrics::serve_with_refresh(settings.metrics, metrics, move || {
        gateway_metrics.refresh(&observed, Instant::now());
    })
    .await?;
    let listener = bind(settings.listen).await?;
    let limits = server_limits(&CallerLimits::default(), settings.max_connections);
    let server = Server::new(listener, limits);
    let shutdown = server.shutdown_handle();
    let exchange = GatewayExchange::start(
        forwarder.clone(),
        settings.mesh.key.clone(),
        &settings.process.zone,
        settings.mesh_listen,
        bind(settings.mesh_listen).await?,
    );
    forwarder.set_event_sink(exchange.clone());
    let view_applier = ViewApplier {
        exchange: exchange.clone(),
        forwarder: forwarder.clone(),
        limits: server.limits_handle(),
        max_connections: settings.max_connections,
    };
    let watch = FleetWatch::start_with_observer(&settings.mesh, Rc::new(view_applier));
    exchange.set_control(Rc::new(watch.clone()));
    let stopping = Rc::new(Cell::new(false));
    serve_readiness(settings.ready, forwarder.clone(), stopping.clone()).await?;
    compio::runtime::spawn(poll_stale_targets(settings.target_list, forwarder.clone())).detach();
    let grace_period = Rc::new(Cell::new(settings.grace_period));
    let (reloaded, reloaded_grace) = (forwarder.clone(), grace_period.clone());
    let settings_watch = SettingsWatch::start(file, move |settings| {
        watch.set_seeds(&settings.mesh.control);
        reloaded.set_limits(&forward_config(settings));
        reloaded_grace.set(settings.grace_period);
        log_limits(settings, reloaded.usage_window());
    });
    let handler = Rc::new(ForwardHandler::new(forwarder.clone()));
    let server_task = compio::runtime::spawn(server.run(handler));
    log::info!("the gateway serves callers on {}", settings.listen);
    let request = signals.stop_requested().await;
    // The grace period may have changed together with the request.
    settings_watch.check().await;
    let schedule = ShutdownSchedule::new(request.noticed_at, grace_period.get())
        .requested_at(request.requested_at, request.noticed_at);
    let now = Instant::now();
    let ms_until = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
    let ms_since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    log::info!(
        requested_ms = ms_since(request.requested_at), noticed_ms = ms_since(request.noticed_at),
        accepts_for_ms = ms_until(schedule.accept_until()), listens_for_ms = ms_until(schedule.listen_until()),
        gives_up_after_ms = ms_until(schedule.give_up_at()),
        exits_after_ms = ms_until(schedule.exit_at());
        "the gateway is stopping"
    );
    stopping.set(true);
    forwarder.begin_shutdown(schedule);
    compio::time::sleep_until(schedule.listen_until()).await;
    shutdown.shut_down();
    let time_left = |until: Instant| until.saturating_duration_since(Instant::now());
    let mut server_task = pin!(server_task);
    let exit_at = schedule.exit_at();
    if laburnumlug_http::timeout(time_left(schedule.give_up_at()), &mut server_task)
        .await
        .is_err()
    {
        forwarder.give_up_requests();
        if laburnumlug_http::timeout(time_left(exit_at), server_task)
            .await
            .is_err()
        {
            log::warn!(
                "the gateway stopped with answers in progress, because its grace period is ending"
            );
            return Ok(());
        }
    }
    if settings.usage_window.is_some() {
        compio::time::sleep(LAST_REPORT_TIME.min(time_left(exit_at))).await;
    }
    log::info!("the gateway stopped after the last answer");
    Ok(())
}

fn forward_config(settings: &GatewaySettings) -> ForwardConfig {
    ForwardConfig::new(&settings.process.zone)
        .retry_budget(settings.retry_ratio, settings.retry_window)
        .retry_slack(settings.retry_slack)
        .max_key_age(settings.max_key_age)
        .max_route_age(Some(settings.max_route_age))
}

/// Logs the limits that are in force from now on; `usage_window` is that of the start.
fn log_limits(settings: &GatewaySettings, usage_window: Option<Duration>) {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    log::info!(
        grace_ms = ms(settings.grace_period), retry_ratio = settings.retry_ratio,
        retry_window_ms = ms(settings.retry_window), retry_slack = settings.retry_slack,
        max_route_age_ms = ms(settings.max_route_age), max_key_age_ms = settings.max_key_age.map(ms),
        usage_window_ms = usage_window.map(ms);
        "limits in force"
    );
}

/// Serves the readiness probe: 200 while the gateway accepts new callers, else 503.
async fn serve_readiness(
    addr: SocketAddr,
    forwarder: Rc<Forwarder>,
    stopping: Rc<Cell<bool>>,
) -> Result<(), Error> {
    let listener = bind(addr).await?;
    let handler = Rc::new(move |_req: Request| {
        let resp = match (stopping.get(), forwarder.is_ready(BootTime::now())) {
            (true, _) => text_response(503, "stopping"),
            (false, true) => text_response(200, "ready"),
            (false, false) => text_response(
                503,
                "routes are not known or not confirmed, or targets are not known yet",
            ),
        };
        async move { resp }
    });
    compio::runtime::spawn(Server::new(listener, Limits::for_probes()).run(handler)).detach();
    Ok(())
}

/// Reads the platform's list of live targets whenever none younger than [`STALE_LIST_AGE`] is known, or a request needs a
/// recent one.
async fn poll_stale_targets(addr: SocketAddr, forwarder: Rc<Forwarder>) {
    let source = InstanceListClient::new(addr);
    let mut last_read: Option<Instant> = None;
    loop {
        let max_interval = match forwarder.targets_read_at() {
            Some(_) => MAX_CHECK_INTERVAL,
            None => MAX_INITIAL_CHECK_INTERVAL,
        };
        let interval = rand::rng().random_range(max_interval / 2..max_interval);
        let waiting = laburnumlug_http::timeout(interval, forwarder.recent_list_needed());
        let is_needed = waiting.await.is_ok();
        let read_at = ReadTime::now();
        let is_younger = |at: Instant, age| read_at.monotonic.saturating_duration_since(at) < age;
        // Requests share the list that one of them needs, as calls to the platform are limited.
        let is_enough = match is_needed {
            true => last_read.is_some_and(|at| is_younger(at, MIN_READ_INTERVAL)),
            false => forwarder
                .targets_read_at()
                .is_some_and(|at| is_younger(at, STALE_LIST_AGE)),
        };
        if is_enough {
            continue;
        }
        last_read = Some(read_at.monotonic);
        match source.fetch(LIST_READ_TIMEOUT).await {
            Ok(list) => forwarder.set_targets(read_at, list),
            Err(err) => {
                log::warn!("failed to read the list of live targets from the platform: {err}")
            }
        }
    }
}

fn server_limits(limits: &CallerLimits, max_connections: usize) -> Limits {
    let header_bytes = limits.header_bytes.get().max(MIN_HEADER_BYTES);
    // The server has one timer for idle connections and for request headers, so the longer limit applies to both.
    let idle_ms = limits.idle_ms.max(limits.header_ms).get();
    Limits::default()
        .connections(max_connections)
        .header_bytes(usize::try_from(header_bytes).unwrap_or(usize::MAX))
        .header_timeout(Duration::from_millis(idle_ms))
}
