//! Stops, kills, suspends, replaces and restarts gateways and control processes, as the platform runs them, and compares what
//! the servers did with the responses that callers and the operator got.
//!
//! ```text
//! cargo test -p laburnumlug-daemon --test gateways -- --seed 7 --seconds 60 --gateways 70 --control 20
//! ```
//!
//! The seed determines the faults and the choices of callers and operator; how the processes interleave is not
//! reproducible. Seeds that have failed are kept in [`REGRESSION_SEEDS`] and run whenever no seed is given.

#[path = "../it/client.rs"]
mod client;
#[path = "../it/control_fleet.rs"]
mod control_fleet;
#[path = "../it/harness.rs"]
mod harness;
#[path = "../faults/options.rs"]
mod options;
#[path = "../it/platform_fleet.rs"]
mod platform_fleet;

mod answers;
mod callers;
mod checker;
mod control_checks;
mod control_faults;
mod control_record;
mod deployment;
mod injector;
mod operator;
mod orders;
mod servers;
mod settle;
mod stops;
mod versions;
mod wire;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::{Deployment, REPLICAS, Size};
use crate::harness::block_on;
use crate::options::{DEFAULT_SEEDS, Options, number_after};

/// Seeds that have failed.
///
/// - 6: a stopping gateway passed on streams whose chunked bodies ended after its notice time and cut them at its exit, and
///   relayed the text of an error between events.
/// - 130: SIGTERM terminated a gateway that had just been restarted, before it had installed its signal handler.
const REGRESSION_SEEDS: [u64; 2] = [6, 130];

/// Number of callers; most of them wait for long answers.
const CALLERS: usize = 40;

/// Number of operators that change the configuration at the same time.
const OPERATORS: u64 = 2;

/// Numbers of processes, unless options name others.
const DEFAULT_SIZE: Size = Size {
    gateways: 3,
    control: REPLICAS + 4,
};

/// State that callers share with the tasks of a run.
#[derive(Default)]
struct Load {
    /// Whether the injector has ended all faults, so that the load must end.
    faults_ended: AtomicBool,
    /// Newest version of the configuration that the operator has sent.
    newest_sent: AtomicU64,
    calls: Mutex<Vec<callers::CallRecord>>,
}

/// State that the tasks of one run share.
#[derive(Default)]
struct Run {
    load: Arc<Load>,
    interruptions: RefCell<Vec<injector::Interruption>>,
    changes: RefCell<Vec<operator::Change>>,
    reads: RefCell<Vec<operator::Read>>,
    violations: RefCell<Vec<String>>,
    control: control_record::ControlRecord,
    /// When all faults had ended.
    ended_at: Cell<Option<Instant>>,
    /// Time from the end of the faults until everything served.
    recovered_after: Cell<Duration>,
}

impl Run {
    /// Returns the newest version of the configuration that was acknowledged to the operator.
    fn newest_acknowledged(&self) -> u64 {
        let changes = self.changes.borrow();
        let acknowledged = changes.iter().filter(|c| c.acknowledged_at.is_some());
        acknowledged.map(|change| change.version).max().unwrap_or(1)
    }
}

fn main() {
    let options = Options::from_args();
    let args: Vec<String> = std::env::args().collect();
    let count = |name, default| number_after(&args, name).map_or(default, |n| n as usize);
    let size = Size {
        gateways: count("--gateways", DEFAULT_SIZE.gateways),
        control: count("--control", DEFAULT_SIZE.control).max(REPLICAS),
    };
    let mut failed = 0;
    let mut seeds = options.seeds;
    if seeds == DEFAULT_SEEDS {
        seeds.extend(REGRESSION_SEEDS);
    }
    for seed in &seeds {
        let violations = block_on(run_seed(*seed, options.duration, size));
        println!("seed {seed}: {} violations", violations.len());
        for violation in &violations {
            println!("  {violation}");
        }
        failed += usize::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    std::process::exit(i32::from(failed > 0));
}

async fn run_seed(seed: u64, duration: Duration, size: Size) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut deployment = Deployment::start(size, &mut rng).await;
    let run = Rc::new(Run::default());
    run.load.newest_sent.store(1, Ordering::Relaxed);
    run.control.list_all(&deployment.control, Instant::now());
    let gateways = deployment.gateway_addrs();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
            let name = format!("{seed}-{i}");
            let (load, gateways) = (run.load.clone(), gateways.clone());
            std::thread::spawn(move || callers::run_caller(load, gateways, name, rng))
        })
        .collect();
    let prober = {
        let rng = StdRng::seed_from_u64(seed * 1000 + 99);
        let (load, gateways, name) = (run.load.clone(), gateways.clone(), format!("{seed}-p"));
        std::thread::spawn(move || callers::run_prober(load, gateways, name, rng))
    };
    let operators: Vec<_> = (0..OPERATORS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + 100 + i);
            compio::runtime::spawn(operator::run_operator(run.clone(), rng))
        })
        .collect();
    let end = Instant::now() + duration;
    injector::inject_faults(&mut deployment, &run, end, seed, rng).await;
    let ended_at = Instant::now();
    run.ended_at.set(Some(ended_at));
    run.load.faults_ended.store(true, Ordering::Relaxed);
    let recovery = settle::check_recovery(&deployment, &run, ended_at);
    futures_util::join!(recovery, join_all(operators));
    run.recovered_after.set(ended_at.elapsed());
    // The list of the servers is served by this thread, so callers are awaited elsewhere.
    let joined = compio::runtime::spawn_blocking(|| {
        callers
            .into_iter()
            .chain([prober])
            .for_each(|caller| caller.join().unwrap());
    });
    joined.await.unwrap();
    let violations = checker::find_violations(&deployment, &run);
    if !violations.is_empty() {
        run.control
            .describe_outages()
            .iter()
            .for_each(|outage| println!("{outage}"));
    }
    violations
}
