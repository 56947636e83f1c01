//! The role `dev`: control, entry and target roles in one process on loopback, with stand-ins for engines and services.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use laburnumlug_control::{Command, FleetChange, OperatorToken, OperatorTokens};
use laburnumlug_mesh::MeshKey;
use laburnumlug_standin::{BookingStandIn, BookingTiming, EngineStandIn, EngineTiming};
use serde_json::{Value, json};

use crate::args::DevArgs;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::settings::{
    BackendKind, ControlSettings, EntrySettings, LogOutput, LogSettings, MeshSettings,
    ProcessSettings, TargetSettings, default_memory_budget,
};
use crate::signal::Signals;
use crate::{control, entry, logging, target};

/// Number of stand-in engines.
const ENGINE_COUNT: usize = 3;

/// Number of target processes in front of the booking service.
const BOOKING_TARGET_COUNT: usize = 2;

/// Rate at which a stand-in engine simulates the prefill of a prompt.
const PREFILL_TOKENS_PER_SECOND: u64 = 8000;

/// Time that a stand-in engine takes to generate one answer token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// How often startup checks whether all roles are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Availability zone of the process and its targets.
const ZONE: &str = "dev-a";

/// Runs all roles until the process is asked to stop.
pub(crate) async fn run(args: DevArgs, mut signals: Signals) -> Result<(), Error> {
    let process = ProcessSettings {
        vm: "dev".into(),
        zone: ZONE.into(),
        memory_budget: default_memory_budget(),
    };
    let log = LogSettings {
        level: log::LevelFilter::Warn,
        file: None,
        output: LogOutput::default(),
    };
    logging::start("dev", &process, &log)?;
    laburnumlug_http::set_memory_budget(process.memory_budget);
    let data = DataFolder::create()?;
    let result = run_roles(&args, process, log, &data.path, &mut signals).await;
    drop(data);
    result
}

/// Starts all roles with `data` as the data folder, and runs them until the process is asked to stop.
async fn run_roles(
    args: &DevArgs,
    process: ProcessSettings,
    log: LogSettings,
    data: &Path,
    signals: &mut Signals,
) -> Result<(), Error> {
    let metrics = Rc::new(Metrics::new()?);
    let key = MeshKey::new(&format!("{:032x}", rand::random::<u128>()));
    let control = control::start(
        ControlSettings {
            process: process.clone(),
            log: log.clone(),
            mesh: MeshSettings {
                key: key.clone(),
                control: Vec::new(),
            },
            metrics: None,
            name: "control-1".into(),
            listen: any_loopback_addr(),
            operators: args.operator,
            data: data.to_path_buf(),
            tokens: OperatorTokens::new(vec![OperatorToken::from_token("dev", "dev")]),
            replicas: Vec::new(),
            has_seeds: false,
            group_commit: true,
            snapshot_entries: None,
            disk_bytes: None,
            may_bootstrap: true,
            tolerated_losses: None,
            target_list: None,
            platform_operator: false,
            handover_time: Duration::from_secs(3),
            usage: None,
            scaling: false,
            unknown_duties: Vec::new(),
        },
        metrics.clone(),
    )
    .await?;
    let mesh = MeshSettings {
        key,
        control: vec![control.mesh_addr()],
    };
    let stand_ins = StandIns::start().await?;
    let mut target_processes = Vec::new();
    let mut targets = Vec::new();
    for backend in stand_ins.backends() {
        let settings = TargetSettings::with_defaults(
            process.clone(),
            log.clone(),
            mesh.clone(),
            &backend.name,
            backend.kind,
            (any_loopback_addr(), backend.addr),
        );
        let started = target::start(settings, metrics.clone()).await?;
        targets.push(target_json(&backend, started.addr()));
        target_processes.push(started);
    }
    let change = FleetChange::new("dev", 0, &fleet_document(targets).to_string());
    control
        .replica()
        .submit(SystemTime::now(), Command::Fleet(change))
        .await?;
    let settings = EntrySettings::with_defaults(process, log, mesh, args.caller);
    let entry = entry::start(settings, metrics).await?;
    while !entry.is_ready() || !target_processes.iter().all(|process| process.is_ready()) {
        compio::time::sleep(READY_POLL_INTERVAL).await;
    }
    println!(
        "ready: callers on http://{}, operators on http://{}",
        args.caller, args.operator
    );
    signals.stop_requested().await;
    entry.stop().await;
    for process in target_processes {
        process.stop().await;
    }
    control.stop().await;
    Ok(())
}

/// Stand-in behind one target process.
struct DevBackend {
    name: String,
    service: &'static str,
    kind: BackendKind,
    addr: SocketAddr,
}

/// Stand-ins for engines and services.
struct StandIns {
    engines: Vec<EngineStandIn>,
    booking: BookingStandIn,
}

impl StandIns {
    async fn start() -> Result<StandIns, Error> {
        let timing = EngineTiming::instant()
            .prefill_tokens_per_second(PREFILL_TOKENS_PER_SECOND)
            .token_time(TOKEN_TIME);
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            let engine = EngineStandIn::start(any_loopback_addr(), timing.clone()).await;
            engines.push(engine.map_err(Error::other)?);
        }
        let booking = BookingStandIn::start(any_loopback_addr(), BookingTiming::default()).await;
        Ok(StandIns {
            engines,
            booking: booking.map_err(Error::other)?,
        })
    }

    fn backends(&self) -> Vec<DevBackend> {
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(i, engine)| DevBackend {
                name: format!("skriver-{}", i + 1),
                service: "skriver",
                kind: BackendKind::Engine,
                addr: engine.addr(),
            });
        let bookings = (1..=BOOKING_TARGET_COUNT).map(|i| DevBackend {
            name: format!("billet-{i}"),
            service: "billet",
            kind: BackendKind::Service,
            addr: self.booking.addr(),
        });
        engines.chain(bookings).collect()
    }
}

fn target_json(backend: &DevBackend, addr: SocketAddr) -> Value {
    let models = match backend.kind {
        BackendKind::Engine => json!([{ "model": "digest", "version": "1" }]),
        BackendKind::Service => json!([]),
    };
    json!({
        "name": backend.name, "service": backend.service, "zone": ZONE,
        "address": addr.to_string(), "state": "serving", "models": models,
    })
}

fn fleet_document(targets: Vec<Value>) -> Value {
    json!({
        "name": "dev",
        "models": [{ "name": "digest", "versions": ["1"] }],
        "services": [
            { "name": "skriver", "kind": "engine", "models": ["digest"] },
            { "name": "billet", "kind": "plain" },
        ],
        "targets": targets,
    })
}

/// Temporary data folder, removed when dropped.
struct DataFolder {
    path: PathBuf,
}

impl DataFolder {
    fn create() -> Result<DataFolder, Error> {
        let name = format!("laburnumlug-dev-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(Error::other)?;
        Ok(DataFolder { path })
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn any_loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
