//! The role `control`: a replica of the control log, with its mesh listener and its HTTP interface for operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use laburnumlug_control::{OperatorInterface, Replica, serve_mesh};
use laburnumlug_http::Server;
use laburnumlug_platform::{
    InstanceListClient, PlatformDutyClient, PlatformOperatorHandler, PlatformRoleAssigner,
};

use crate::control_metrics::ControlMetrics;
use crate::duties::{ScalingDuty, UsageDuty};
use crate::error::Error;
use crate::fleet_store::ControlLogStore;
use crate::leadership::HandoverTime;
use crate::listener::bind;
use crate::metrics::{self, Metrics};
use crate::ready_router::ReadyRouter;
use crate::role_planner::RolePlanner;
use crate::settings::{ControlRoleSettings, ControlSettings, SettingsFile};
use crate::settings_watch::SettingsWatch;
use crate::signal::Signals;
use crate::software_recorder::SoftwareRecorder;
use crate::{logging, target_reader};

/// Time after the request to stop by which all requests that arrived whole are answered: a change takes 5 s at most, and may
/// arrive in the first second. It fits a grace period of 8 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);

/// Runs a control replica until it is asked to stop.
pub(crate) async fn run(
    settings: ControlSettings,
    file: SettingsFile<ControlRoleSettings>,
    mut signals: Signals,
) -> Result<(), Error> {
    logging::start("control", &settings.process, &settings.log)?;
    file.log_replaced();
    laburnumlug_http::set_memory_budget(settings.process.memory_budget);
    let server = start(settings, Rc::new(Metrics::new()?)).await?;
    let (replica, handover) = (server.replica.clone(), server.handover.clone());
    SettingsWatch::start(file, move |settings| match settings {
        ControlRoleSettings::Replica(settings) => {
            handover.raise(settings.handover_time);
            log::info!(order_turn_ms = handover.get().as_secs_f64() * 1e3; "limits in force");
            set_seeds(&replica, &settings.mesh.control);
            for peer in &settings.replicas {
                replica.add_peer(&peer.name);
            }
        }
        ControlRoleSettings::Redirect(settings) => set_seeds(&replica, &settings.mesh.control),
    });
    signals.stop_requested().await;
    server.stop().await;
    Ok(())
}

fn set_seeds(replica: &Replica, seeds: &[SocketAddr]) {
    if let Some(directory) = replica.directory() {
        directory.set_seeds(seeds.to_vec());
    }
}

/// A running control replica.
pub(crate) struct ControlServer {
    replica: Rc<Replica>,
    handover: Rc<HandoverTime>,
    mesh_addr: SocketAddr,
    shutdown: laburnumlug_http::ShutdownHandle,
    server_task: JoinHandle<()>,
}

impl ControlServer {
    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the address on which the replica accepts mesh connections.
    pub(crate) fn mesh_addr(&self) -> SocketAddr {
        self.mesh_addr
    }

    /// Stops accepting requests and waits for the answers in progress.
    pub(crate) async fn stop(self) {
        self.shutdown.shut_down();
        finish(self.server_task).await;
    }
}

/// Waits until a server that was shut down has answered the requests that it has, for at most [`STOP_TIMEOUT`].
pub(crate) async fn finish(server_task: JoinHandle<()>) {
    match compio::time::timeout(STOP_TIMEOUT, server_task).await {
        Ok(_) => log::info!("the control process stopped after the last answer"),
        Err(_) => log::warn!(
            "the control process stopped although clients have not sent the rest of their requests, or not read their answers"
        ),
    }
}

/// Opens the replica and starts its listeners.
pub(crate) async fn start(
    settings: ControlSettings,
    metrics: Rc<Metrics>,
) -> Result<ControlServer, Error> {
    log_limits(&settings);
    let replica = Replica::open(settings.replica_config()).await?;
    let mesh_listener = bind(settings.listen).await?;
    let operator_listener = bind(settings.operators).await?;
    let mesh_addr = mesh_listener
        .local_addr()
        .map_err(|err| Error::bind(settings.listen, err))?;
    let operator_addr = operator_listener
        .local_addr()
        .map_err(|err| Error::bind(settings.operators, err))?;
    compio::runtime::spawn(serve_mesh(
        mesh_listener,
        settings.mesh.key,
        replica.clone(),
    ))
    .detach();
    let gauges = Rc::new(ControlMetrics::new(&metrics, replica.clone()));
    let refreshed_gauges = gauges.clone();
    metrics::serve_with_refresh(settings.metrics, metrics.clone(), move || {
        refreshed_gauges.refresh(Instant::now());
    })
    .await?;
    let server = Server::new(operator_listener, OperatorInterface::limits());
    let shutdown = server.shutdown_handle();
    let handler = OperatorInterface::new(replica.clone(), settings.tokens).metrics(move || {
        gauges.refresh(Instant::now());
        metrics.prometheus_text()
    });
    for name in &settings.unknown_duties {
        log::warn!("ignored the duty {name:?} in the settings, which this version does not know");
    }
    let handover = Rc::new(HandoverTime::new(settings.handover_time));
    if let Some(addr) = settings.target_list {
        let source = Rc::new(InstanceListClient::new(addr));
        let planner = Rc::new(RolePlanner::new(
            replica.clone(),
            Rc::new(PlatformRoleAssigner),
            &settings.process.vm,
            handover.clone(),
        ));
        let client = Rc::new(PlatformDutyClient::new(addr));
        let scaling = settings.scaling.then(|| {
            ScalingDuty::start(
                replica.clone(),
                client.clone(),
                &settings.process.vm,
                handover.clone(),
            )
        });
        let software = SoftwareRecorder::new(replica.clone());
        let reader = target_reader::run(replica.clone(), source, planner, software, scaling);
        compio::runtime::spawn(reader).detach();
        if settings.usage.is_some() {
            UsageDuty::start(
                replica.clone(),
                client,
                &settings.process.vm,
                handover.clone(),
            );
        }
    }
    let server_task = match settings.platform_operator {
        true => {
            let store = Rc::new(ControlLogStore::new(replica.clone()));
            let handler = PlatformOperatorHandler::new(store, Rc::new(handler));
            let handler = ReadyRouter::new(replica.clone(), handler);
            compio::runtime::spawn(server.run(Rc::new(handler)))
        }
        false => compio::runtime::spawn(server.run(Rc::new(handler))),
    };
    log::info!(
        "control replica {} serves operators on {operator_addr}",
        settings.name
    );
    Ok(ControlServer {
        replica,
        handover,
        mesh_addr,
        shutdown,
        server_task,
    })
}

/// Logs the limits that the replica starts with.
fn log_limits(settings: &ControlSettings) {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let usage = settings.usage;
    log::info!(
        order_turn_ms = ms(settings.handover_time),
        usage_window_ms = usage.map(|usage| ms(usage.window)),
        usage_late_ms = usage.map(|usage| ms(usage.late)),
        disk_bytes = settings.disk_bytes, losses = settings.tolerated_losses,
        may_found = settings.may_bootstrap;
        "limits in force"
    );
}
