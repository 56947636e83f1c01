//! The role `dev`: all roles and stand-ins in one process, on loopback.

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
    ControlSettings, EntrySettings, LogOutput, LogSettings, MeshSettings, PeerKind,
    ProcessSettings, TargetSettings,
};
use crate::{control, entry, logging, signal, target};

/// Number of engines.
const ENGINES: usize = 3;

/// Number of target processes before the booking service.
const BOOKING_TARGETS: usize = 2;

/// Prompt tokens that an engine reads in a second.
const PREFILL_TOKENS_PER_SECOND: u64 = 8000;

/// Time for one token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// How often the start looks whether everything is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Availability zone of everything here.
const ZONE: &str = "dev-a";

/// Runs everything until it is asked to stop.
pub(crate) async fn run(args: DevArgs) -> Result<(), Error> {
    let process = ProcessSettings {
        vm: "dev".into(),
        zone: ZONE.into(),
    };
    let log = LogSettings {
        level: log::LevelFilter::Warn,
        file: None,
        output: LogOutput::default(),
    };
    logging::start("dev", &process, &log)?;
    let data = DataFolder::create()?;
    let result = run_in(&args, process, log, &data.path).await;
    drop(data);
    result
}

async fn run_in(
    args: &DevArgs,
    process: ProcessSettings,
    log: LogSettings,
    data: &Path,
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
            listen: any_address(),
            operators: args.operator,
            data: data.to_path_buf(),
            tokens: OperatorTokens::new(vec![OperatorToken::from_token("dev", "dev")]),
            replicas: Vec::new(),
            group_commit: true,
            snapshot_entries: None,
            may_found: true,
            losses: None,
            target_list: None,
            platform_operator: false,
            order_turn: Duration::from_secs(3),
        },
        metrics.clone(),
    )
    .await?;
    let mesh = MeshSettings {
        key,
        control: vec![control.mesh_addr()],
    };
    let peers = Peers::start().await?;
    let mut processes = Vec::new();
    let mut rows = Vec::new();
    for peer in peers.list() {
        let settings = TargetSettings::with_defaults(
            process.clone(),
            log.clone(),
            mesh.clone(),
            &peer.name,
            peer.kind,
            (any_address(), peer.addr),
        );
        let started = target::start(settings, metrics.clone()).await?;
        rows.push(target_row(&peer, started.addr()));
        processes.push(started);
    }
    let change = FleetChange::new("dev", 0, &document(rows).to_string());
    control
        .replica()
        .submit(SystemTime::now(), Command::Fleet(change))
        .await?;
    let settings = EntrySettings::with_defaults(process, log, mesh, args.caller);
    let entry = entry::start(settings, metrics).await?;
    while !entry.is_ready() || !processes.iter().all(|process| process.is_ready()) {
        compio::time::sleep(READY_POLL).await;
    }
    println!(
        "ready: callers on http://{}, operators on http://{}",
        args.caller, args.operator
    );
    signal::stop_requested().await;
    entry.stop().await;
    for process in processes {
        process.stop().await;
    }
    control.stop().await;
    Ok(())
}

/// What stands behind one target process.
struct DevPeer {
    name: String,
    service: &'static str,
    kind: PeerKind,
    addr: SocketAddr,
}

/// Stand-ins of engines and services.
struct Peers {
    engines: Vec<EngineStandIn>,
    booking: BookingStandIn,
}

impl Peers {
    async fn start() -> Result<Peers, Error> {
        let timing = EngineTiming::instant()
            .prefill_tokens_per_second(PREFILL_TOKENS_PER_SECOND)
            .token_time(TOKEN_TIME);
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            let engine = EngineStandIn::start(any_address(), timing.clone()).await;
            engines.push(engine.map_err(Error::other)?);
        }
        let booking = BookingStandIn::start(any_address(), BookingTiming::default()).await;
        Ok(Peers {
            engines,
            booking: booking.map_err(Error::other)?,
        })
    }

    fn list(&self) -> Vec<DevPeer> {
        let engines = self.engines.iter().enumerate().map(|(i, engine)| DevPeer {
            name: format!("skriver-{}", i + 1),
            service: "skriver",
            kind: PeerKind::Engine,
            addr: engine.addr(),
        });
        let bookings = (1..=BOOKING_TARGETS).map(|i| DevPeer {
            name: format!("billet-{i}"),
            service: "billet",
            kind: PeerKind::Service,
            addr: self.booking.addr(),
        });
        engines.chain(bookings).collect()
    }
}

fn target_row(peer: &DevPeer, addr: SocketAddr) -> Value {
    let models = match peer.kind {
        PeerKind::Engine => json!([{ "model": "digest", "version": "1" }]),
        PeerKind::Service => json!([]),
    };
    json!({
        "name": peer.name, "service": peer.service, "zone": ZONE,
        "address": addr.to_string(), "state": "serving", "models": models,
    })
}

fn document(targets: Vec<Value>) -> Value {
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

/// Folder that is removed when the process ends.
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

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
