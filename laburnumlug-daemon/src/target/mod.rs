//! The role `target`: stands beside one target and is the only path to it.

mod admission;
mod at_most_once;
mod connection;
mod drain;
mod intent_client;
mod load_grant;
mod order_reporter;
mod orders;
mod output;
mod queue;
mod slot;
mod vm_watch;
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

use self::at_most_once::Once;
use self::drain::Drain;
use self::queue::WorkQueue;
use self::slot::Slot;
use crate::control_client::ControlClient;
use crate::error::Error;
use crate::fleet_watch::{FleetView, FleetWatch};
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::settings::{PeerKind, TargetSettings};
use crate::{logging, registration, signal};

/// How long a planned stop waits beyond the drain's bound for completions to move.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a planned stop looks whether work is left.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// State that the tasks of a target process share.
pub(crate) struct TargetProcess {
    settings: TargetSettings,
    /// Address for entries.
    addr: SocketAddr,
    fleet: FleetWatch,
    peer: Peer,
    /// Calls that may run at most once.
    once: Once,
    metrics: Rc<Metrics>,
    queue: Rc<WorkQueue>,
    /// Pieces held by each request in flight, by a number of this process's own.
    in_flight: RefCell<HashMap<u64, u64>>,
    next_slot: Cell<u64>,
    /// Whether a planned stop has begun.
    stopping: Cell<bool>,
    /// Whether the engine does not have, or is not known to have, what it is meant to have.
    changing: Cell<bool>,
    /// Whether the platform's VM list showed that this VM is leaving; never goes back.
    vm_leaving: Cell<bool>,
    drain: Drain,
    control: Rc<ControlClient>,
    /// Kept for as long as anything of the process runs.
    _slot: Slot,
}

/// What stands behind a target process.
enum Peer {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// Runs a target process until it is asked to stop.
pub(crate) async fn run(settings: TargetSettings) -> Result<(), Error> {
    logging::start("target", &settings.process, &settings.log)?;
    let metrics = Rc::new(Metrics::new()?);
    metrics::serve(settings.metrics, metrics.clone()).await?;
    let process = start(settings, metrics).await?;
    signal::stop_requested().await;
    process.stop().await;
    Ok(())
}

/// Starts a target process's listener and its tasks.
pub(crate) async fn start(
    settings: TargetSettings,
    metrics: Rc<Metrics>,
) -> Result<Rc<TargetProcess>, Error> {
    let slot = Slot::take(settings.slot)?;
    let addr = settings.listen;
    let listener = bind(addr).await?;
    let addr = listener
        .local_addr()
        .map_err(|err| Error::bind(addr, err))?;
    let peer = match settings.kind {
        PeerKind::Engine => Peer::Engine(EngineClient::new(settings.peer)),
        PeerKind::Service => Peer::Service(ServiceClient::new(settings.peer)),
    };
    let control = Rc::new(ControlClient::new(&settings.mesh));
    let process = Rc::new(TargetProcess {
        fleet: FleetWatch::start(&settings.mesh),
        peer,
        once: Once::new(control.clone()),
        metrics,
        queue: WorkQueue::new(),
        in_flight: RefCell::default(),
        next_slot: Cell::new(0),
        stopping: Cell::new(false),
        changing: Cell::new(true),
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
    compio::runtime::spawn(drain::watch(process.clone())).detach();
    if let Some(platform) = process.settings.platform.clone() {
        compio::runtime::spawn(vm_watch::watch(process.clone(), platform)).detach();
    }
    log::info!("target process {} listens on {addr}", process.settings.name);
    Ok(process)
}

impl TargetProcess {
    /// Takes no new work and waits for the work in flight.
    ///
    /// Completions that outlast the drain's bound move to other engines.
    pub(crate) async fn stop(&self) {
        self.stopping.set(true);
        let drained = async {
            while !self.is_idle() {
                compio::time::sleep(DRAIN_POLL).await;
            }
        };
        let bound = self.settings.drain + MOVE_TIMEOUT;
        match compio::time::timeout(bound, drained).await {
            Ok(()) => log::info!("stopped after the last answer"),
            Err(_) => log::error!("stopped with {} answers cut", self.in_flight.borrow().len()),
        }
    }

    /// Returns the address for entries.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the process can take work.
    pub(crate) fn is_ready(&self) -> bool {
        let now = Instant::now();
        self.fleet.current(now).is_some() && self.closed_reason(now).is_none()
    }

    /// Returns whether no work is in flight.
    fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty()
    }

    /// Returns why a planned change keeps the target from taking new work.
    ///
    /// A configuration that is not confirmed is no such change: the work in flight goes on.
    fn closed_reason(&self, now: Instant) -> Option<RefusalReason> {
        let serves = |fleet: &FleetView| {
            let target = fleet.target(&self.settings.name);
            target.is_some_and(|target| target.state == TargetState::Serving)
        };
        match self.fleet.current(now) {
            _ if self.stopping.get() || self.vm_leaving.get() => Some(RefusalReason::Leaving),
            Some(fleet) if !serves(&fleet) => Some(RefusalReason::Leaving),
            _ if self.changing.get() => Some(RefusalReason::Changing),
            _ => None,
        }
    }

    /// Returns the exact load.
    fn load(&self, now: Instant) -> LoadReport {
        let queue = self.queue.load(now);
        let in_flight = self.in_flight.borrow();
        LoadReport {
            requests: in_flight.len() as u32,
            pieces: in_flight.values().sum(),
            capacity_pieces: self.capacity_pieces(now),
            waiting_us: queue.waiting.as_micros() as u64,
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

    /// Decides whether to take a request that needs `pieces`.
    fn admit(&self, now: Instant, req: &WorkRequest, pieces: u64) -> Result<(), RefusalReason> {
        let Some(fleet) = self.fleet.current(now) else {
            return Err(RefusalReason::Unconfirmed);
        };
        if let Some(reason) = self.closed_reason(now) {
            return Err(reason);
        }
        let Some(target) = fleet.target(&self.settings.name) else {
            return Err(RefusalReason::Leaving);
        };
        if target.service != req.service || !self.fits(&req.payload) {
            return Err(RefusalReason::WrongTarget);
        }
        if req.deadline_ms == 0 {
            return Err(RefusalReason::TooLate);
        }
        // The queue decides on the capacity that completions need.
        let held: u64 = match &self.peer {
            Peer::Engine(_) => return Ok(()),
            Peer::Service(_) => self.in_flight.borrow().values().sum(),
        };
        if held + pieces > u64::from(target.capacity_pieces.get()) {
            return Err(RefusalReason::Full);
        }
        Ok(())
    }

    fn fits(&self, payload: &WorkPayload) -> bool {
        matches!(
            (&self.peer, payload),
            (Peer::Engine(_), WorkPayload::Completion { .. })
                | (Peer::Service(_), WorkPayload::Plain(_))
        )
    }

    /// Counts a request as in flight until the returned guard is dropped.
    fn hold(self: &Rc<Self>, pieces: u64) -> InFlight {
        let slot = self.next_slot.get();
        self.next_slot.set(slot + 1);
        self.in_flight.borrow_mut().insert(slot, pieces);
        InFlight {
            process: self.clone(),
            slot,
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight {
    process: Rc<TargetProcess>,
    slot: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.process.in_flight.borrow_mut().remove(&self.slot);
    }
}
