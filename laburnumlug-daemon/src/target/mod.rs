//! The role `target`: the process beside one target, an engine or a plain service, that all requests to it go through.

mod admission;
mod at_most_once;
mod connection;
mod drain;
mod intent_client;
mod order_reporter;
mod orders;
mod output;
mod queue;
mod slot;
mod vm_watch;
mod weight_load_grant;
mod work;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::TargetState;
use laburnumlug_engine::EngineClient;
use laburnumlug_mesh::{LoadReport, RefusalReason, WorkPayload, WorkRequest};
use laburnumlug_service::ServiceClient;

use self::at_most_once::AtMostOnce;
use self::drain::Drain;
use self::queue::WorkQueue;
use self::slot::SlotLock;
use crate::control_client::ControlClient;
use crate::error::Error;
use crate::fleet_watch::{FleetView, FleetWatch};
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::settings::{BackendKind, SettingsFile, TargetSettings};
use crate::signal::Signals;
use crate::{logging, registration};

/// Time that a planned stop allows after the drain timeout for completions to migrate to other engines.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a planned stop checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the tasks of a target process.
pub(crate) struct TargetProcess {
    settings: TargetSettings,
    /// Address on which the target process accepts connections from entries.
    addr: SocketAddr,
    fleet: FleetWatch,
    backend: Backend,
    /// Calls that may run at most once, with their outcomes.
    at_most_once: AtMostOnce,
    metrics: Rc<Metrics>,
    queue: Rc<WorkQueue>,
    /// Capacity pieces reserved by each request in flight, keyed by a process-local ID.
    in_flight: RefCell<HashMap<u64, u64>>,
    next_in_flight_id: Cell<u64>,
    /// Whether a planned stop has begun.
    stopping: Cell<bool>,
    /// Whether the engine's setup differs, or may differ, from the target's intent.
    reconfiguring: Cell<bool>,
    /// Whether the platform's VM list has shown that this VM is leaving; never reset.
    vm_leaving: Cell<bool>,
    drain: Drain,
    control: Rc<ControlClient>,
    /// Held until the last task of the process ends.
    _slot: SlotLock,
}

/// Client of the engine or plain service behind a target process.
enum Backend {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// Runs a target process until it is asked to stop.
pub(crate) async fn run(
    file: SettingsFile<TargetSettings>,
    mut signals: Signals,
) -> Result<(), Error> {
    let settings = file.settings().clone();
    logging::start("target", &settings.process, &settings.log)?;
    file.log_replaced();
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let metrics = Rc::new(Metrics::new()?);
    metrics::serve(settings.metrics, metrics.clone()).await?;
    let process = start(settings, metrics).await?;
    signals.stop_requested().await;
    process.stop().await;
    Ok(())
}

/// Starts the listener and the background tasks of a target process.
pub(crate) async fn start(
    settings: TargetSettings,
    metrics: Rc<Metrics>,
) -> Result<Rc<TargetProcess>, Error> {
    let slot = SlotLock::acquire(settings.slot)?;
    let addr = settings.listen;
    let listener = bind(addr).await?;
    let addr = listener
        .local_addr()
        .map_err(|err| Error::bind(addr, err))?;
    let backend = match settings.kind {
        BackendKind::Engine => Backend::Engine(EngineClient::new(settings.backend_addr)),
        BackendKind::Service => Backend::Service(ServiceClient::new(settings.backend_addr)),
    };
    let fleet = FleetWatch::start(&settings.mesh);
    let control = ControlClient::new(settings.mesh.key.clone(), fleet.clone());
    let control = Rc::new(control);
    let process = Rc::new(TargetProcess {
        fleet,
        backend,
        at_most_once: AtMostOnce::new(control.clone()),
        metrics,
        queue: WorkQueue::new(),
        in_flight: RefCell::default(),
        next_in_flight_id: Cell::new(0),
        stopping: Cell::new(false),
        reconfiguring: Cell::new(true),
        vm_leaving: Cell::new(false),
        drain: Drain::default(),
        control,
        _slot: slot,
        settings,
        addr,
    });
    registration::start(
        &process.settings.name,
        process.control.clone(),
        process.fleet.clone(),
    );
    compio::runtime::spawn(connection::serve(listener, process.clone())).detach();
    compio::runtime::spawn(orders::run(process.clone())).detach();
    compio::runtime::spawn(drain::run(process.clone())).detach();
    if let Some(platform) = process.settings.platform.clone() {
        compio::runtime::spawn(vm_watch::run(process.clone(), platform)).detach();
    }
    log::info!(
        "target process {} accepts connections from entries on {addr}",
        process.settings.name
    );
    Ok(process)
}

impl TargetProcess {
    /// Stops admitting requests and waits for those in flight, but no longer than the drain timeout and
    /// [`MIGRATION_TIMEOUT`] together.
    ///
    /// Completions that are still running after the drain timeout migrate to other engines.
    pub(crate) async fn stop(&self) {
        self.stopping.set(true);
        let drained = async {
            while !self.is_idle() {
                compio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let max_wait = self.settings.drain_timeout + MIGRATION_TIMEOUT;
        match compio::time::timeout(max_wait, drained).await {
            Ok(()) => log::info!("the target process stopped after the last answer"),
            Err(_) => log::error!(
                "the target process stopped with {} answers cut, because they outlasted the drain and migration timeouts",
                self.in_flight.borrow().len()
            ),
        }
    }

    /// Returns the address on which the target process accepts connections from entries.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the process admits requests.
    pub(crate) fn is_ready(&self) -> bool {
        let now = Instant::now();
        self.fleet.current(now).is_some() && self.admission_closed_reason(now).is_none()
    }

    fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty()
    }

    /// Returns why a planned change closes admission, or `None` while it is open.
    ///
    /// A fleet document that no majority of the control replicas has recently confirmed is not a planned change: it
    /// starts no drain, so the requests in flight continue.
    fn admission_closed_reason(&self, now: Instant) -> Option<RefusalReason> {
        let is_serving = |fleet: &FleetView| {
            let target = fleet.target(&self.settings.name);
            target.is_some_and(|target| target.state == TargetState::Serving)
        };
        match self.fleet.current(now) {
            _ if self.stopping.get() || self.vm_leaving.get() => Some(RefusalReason::Leaving),
            Some(fleet) if !is_serving(&fleet) => Some(RefusalReason::Leaving),
            _ if self.reconfiguring.get() => Some(RefusalReason::Changing),
            _ => None,
        }
    }

    /// Returns the current load for the reports to entries.
    fn load(&self, now: Instant) -> LoadReport {
        let queue = self.queue.load(now);
        let in_flight = self.in_flight.borrow();
        LoadReport {
            requests: in_flight.len() as u32,
            pieces: in_flight.values().sum(),
            capacity_pieces: self.capacity_pieces(now),
            waiting_us: queue.prefill_wait.as_micros() as u64,
            prefill_tokens_per_second: queue.rates.prefill_tokens_per_second as u64,
            token_ns: (queue.rates.token_seconds * 1e9) as u64,
            token_ns_per_decode: (queue.rates.token_seconds_per_decode * 1e9) as u64,
        }
    }

    fn capacity_pieces(&self, now: Instant) -> u64 {
        let fleet = self.fleet.current(now);
        let target = fleet
            .as_ref()
            .and_then(|fleet| fleet.target(&self.settings.name));
        target.map_or(0, |target| u64::from(target.capacity_pieces.get()))
    }

    /// Checks whether a request that needs `pieces` of capacity can be admitted; for a completion, the queue checks the
    /// capacity later.
    fn admit(&self, now: Instant, req: &WorkRequest, pieces: u64) -> Result<(), RefusalReason> {
        let Some(fleet) = self.fleet.current(now) else {
            return Err(RefusalReason::Unconfirmed);
        };
        if let Some(reason) = self.admission_closed_reason(now) {
            return Err(reason);
        }
        let Some(target) = fleet.target(&self.settings.name) else {
            return Err(RefusalReason::Leaving);
        };
        if target.service != req.service || !self.supports(&req.payload) {
            return Err(RefusalReason::WrongTarget);
        }
        if req.deadline_ms == 0 {
            return Err(RefusalReason::TooLate);
        }
        let reserved: u64 = match &self.backend {
            Backend::Engine(_) => return Ok(()),
            Backend::Service(_) => self.in_flight.borrow().values().sum(),
        };
        if reserved + pieces > u64::from(target.capacity_pieces.get()) {
            return Err(RefusalReason::Full);
        }
        Ok(())
    }

    fn supports(&self, payload: &WorkPayload) -> bool {
        matches!(
            (&self.backend, payload),
            (Backend::Engine(_), WorkPayload::Completion { .. })
                | (Backend::Service(_), WorkPayload::Plain(_))
        )
    }

    /// Counts a request with its `pieces` as in flight until the returned guard is dropped.
    fn track_in_flight(self: &Rc<Self>, pieces: u64) -> InFlightGuard {
        let id = self.next_in_flight_id.get();
        self.next_in_flight_id.set(id + 1);
        self.in_flight.borrow_mut().insert(id, pieces);
        InFlightGuard {
            process: self.clone(),
            id,
        }
    }
}

/// Guard of a request in flight, which removes the request when dropped.
struct InFlightGuard {
    process: Rc<TargetProcess>,
    id: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.process.in_flight.borrow_mut().remove(&self.id);
    }
}
