//! The role `entry`: accepts requests from callers over HTTP, routes them to targets and relays the answers.

mod at_most_once;
mod call;
mod call_exchange;
mod dispatch;
mod generate;
mod handler;
mod in_flight;
mod ranking;
mod relay;
mod retry;
mod routing_hints;
mod stream_assembler;
mod target_loads;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{Limits, Server, ShutdownHandle};
use laburnumlug_mesh::Pool;

use self::handler::EntryHandler;
use self::in_flight::InFlightLimiter;
use self::retry::RetryBudget;
use self::routing_hints::RoutingHints;
use self::target_loads::TargetLoads;
use crate::control_client::ControlClient;
use crate::error::Error;
use crate::fleet_watch::FleetWatch;
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::settings::{EntrySettings, SettingsFile};
use crate::signal::Signals;
use crate::{logging, registration};

/// Timeout for opening a connection to a target process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by the tasks of an entry process.
pub(crate) struct Entry {
    settings: EntrySettings,
    fleet: FleetWatch,
    control: Rc<ControlClient>,
    pool: Pool,
    loads: TargetLoads,
    hints: RoutingHints,
    retry_budget: RetryBudget,
    in_flight_limiter: Rc<InFlightLimiter>,
    metrics: Rc<Metrics>,
    /// Whether a graceful shutdown has begun.
    stopping: Cell<bool>,
}

impl Entry {
    /// Spends one retry, or returns `false` if the retry budget is exhausted.
    fn try_acquire_retry(&self) -> bool {
        let is_allowed = self.retry_budget.try_acquire();
        self.metrics.count_retry(match is_allowed {
            true => "made",
            false => "over-budget",
        });
        is_allowed
    }
}

/// Runs an entry until it is asked to stop.
pub(crate) async fn run(
    file: SettingsFile<EntrySettings>,
    mut signals: Signals,
) -> Result<(), Error> {
    let settings = file.settings().clone();
    logging::start("entry", &settings.process, &settings.log)?;
    file.log_replaced();
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let metrics = Rc::new(Metrics::new()?);
    metrics::serve(settings.metrics, metrics.clone()).await?;
    let server = start(settings, metrics).await?;
    signals.stop_requested().await;
    server.stop().await;
    Ok(())
}

/// A running entry.
pub(crate) struct EntryServer {
    entry: Rc<Entry>,
    shutdown: ShutdownHandle,
    server_task: compio::runtime::JoinHandle<()>,
}

impl EntryServer {
    /// Stops accepting requests and waits for the answers in progress.
    pub(crate) async fn stop(self) {
        self.entry.stopping.set(true);
        self.shutdown.shut_down();
        let _ = self.server_task.await;
        log::info!("the entry stopped after the last answer");
    }

    /// Returns whether the entry can accept requests: a majority of the control replicas must recently have confirmed
    /// that its fleet document is the newest.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry
            .fleet
            .current(std::time::Instant::now())
            .is_some()
    }
}

/// Starts the HTTP listener and the background tasks of an entry.
pub(crate) async fn start(
    settings: EntrySettings,
    metrics: Rc<Metrics>,
) -> Result<EntryServer, Error> {
    let addr = settings.listen;
    let listener = bind(addr).await?;
    let limits = Limits::default().connections(settings.max_connections);
    let fleet = FleetWatch::start(&settings.mesh);
    let control = ControlClient::new(settings.mesh.key.clone(), fleet.clone());
    let control = Rc::new(control);
    let entry = Rc::new(Entry {
        fleet,
        control: control.clone(),
        pool: Pool::new(settings.mesh.key.clone(), CONNECT_TIMEOUT),
        loads: TargetLoads::default(),
        hints: RoutingHints::default(),
        retry_budget: RetryBudget::default(),
        in_flight_limiter: Rc::default(),
        metrics,
        stopping: Cell::new(false),
        settings,
    });
    registration::start(&entry.settings.process.vm, control, entry.fleet.clone());
    let server = Server::new(listener, limits);
    let shutdown = server.shutdown_handle();
    let handler = Rc::new(EntryHandler::new(entry.clone()));
    let server_task = compio::runtime::spawn(server.run(handler));
    log::info!("the entry serves callers on {addr}");
    Ok(EntryServer {
        entry,
        shutdown,
        server_task,
    })
}
