//! The role `entry`: takes requests from callers and relays the answers of targets.

mod assembly;
mod call;
mod dispatch;
mod generate;
mod handler;
mod hints;
mod intake;
mod loads;
mod offer;
mod once;
mod ranking;
mod relay;
mod retry;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{Limits, Server, ShutdownHandle};
use laburnumlug_mesh::Pool;

use self::handler::EntryHandler;
use self::hints::Hints;
use self::intake::Intake;
use self::loads::Loads;
use self::retry::RetryBudget;
use crate::control_client::ControlClient;
use crate::error::Error;
use crate::fleet_watch::FleetWatch;
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::settings::EntrySettings;
use crate::{logging, registration, signal};

/// How long a connection to a target process may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State that the tasks of an entry share.
pub(crate) struct Entry {
    settings: EntrySettings,
    fleet: FleetWatch,
    control: Rc<ControlClient>,
    pool: Pool,
    loads: Loads,
    hints: Hints,
    retries: RetryBudget,
    intake: Rc<Intake>,
    metrics: Rc<Metrics>,
    /// Whether a planned stop has begun.
    stopping: Cell<bool>,
}

impl Entry {
    /// Takes one retry out of the budget; returns `false` where it is spent.
    fn take_retry(&self) -> bool {
        let allowed = self.retries.try_take();
        self.metrics.count_retry(match allowed {
            true => "made",
            false => "over-budget",
        });
        allowed
    }
}

/// Runs an entry until it is asked to stop.
pub(crate) async fn run(settings: EntrySettings) -> Result<(), Error> {
    logging::start("entry", &settings.process, &settings.log)?;
    let metrics = Rc::new(Metrics::new()?);
    metrics::serve(settings.metrics, metrics.clone()).await?;
    let server = start(settings, metrics).await?;
    signal::stop_requested().await;
    server.stop().await;
    Ok(())
}

/// A running entry.
pub(crate) struct EntryServer {
    entry: Rc<Entry>,
    shutdown: ShutdownHandle,
    callers: compio::runtime::JoinHandle<()>,
}

impl EntryServer {
    /// Takes no new work and finishes the answers in progress.
    pub(crate) async fn stop(self) {
        self.entry.stopping.set(true);
        self.shutdown.shut_down();
        let _ = self.callers.await;
        log::info!("stopped after the last answer");
    }

    /// Returns whether the entry can take work.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry
            .fleet
            .current(std::time::Instant::now())
            .is_some()
    }
}

/// Starts an entry's listener and its tasks.
pub(crate) async fn start(
    settings: EntrySettings,
    metrics: Rc<Metrics>,
) -> Result<EntryServer, Error> {
    let addr = settings.listen;
    let listener = bind(addr).await?;
    let limits = Limits::default().connections(settings.max_connections);
    let control = Rc::new(ControlClient::new(&settings.mesh));
    let entry = Rc::new(Entry {
        fleet: FleetWatch::start(&settings.mesh),
        control: control.clone(),
        pool: Pool::new(settings.mesh.key.clone(), CONNECT_TIMEOUT),
        loads: Loads::default(),
        hints: Hints::default(),
        retries: RetryBudget::default(),
        intake: Rc::default(),
        metrics,
        stopping: Cell::new(false),
        settings,
    });
    registration::start(&entry.settings.process.vm, control, entry.fleet.clone());
    let server = Server::new(listener, limits);
    let shutdown = server.shutdown_handle();
    let handler = Rc::new(EntryHandler::new(entry.clone()));
    let callers = compio::runtime::spawn(server.run(handler));
    log::info!("entry serves callers on {addr}");
    Ok(EntryServer {
        entry,
        shutdown,
        callers,
    })
}
