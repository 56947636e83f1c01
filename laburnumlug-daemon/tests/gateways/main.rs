//! Stops, kills, suspends and restarts gateways and control replicas, as the platform runs them, and compares what the
//! servers did with the responses that callers and the operator got.
//!
//! ```text
//! cargo test -p laburnumlug-daemon --test gateways -- --seed 7 --seconds 30
//! ```
//!
//! The seed determines the faults and the choices of callers and operator; how the processes interleave is not
//! reproducible. Seeds that have failed are kept in [`REGRESSION_SEEDS`] and run whenever no seed is given.

#[path = "../it/client.rs"]
mod client;
#[path = "../it/harness.rs"]
mod harness;
#[path = "../faults/options.rs"]
mod options;
#[path = "../it/platform_fleet.rs"]
mod platform_fleet;

mod answers;
mod callers;
mod checker;
mod deployment;
mod injector;
mod operator;
mod orders;
mod replica_faults;
mod servers;
mod stops;
mod versions;
mod wire;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::Deployment;
use crate::harness::block_on;
use crate::options::{DEFAULT_SEEDS, Options};

/// Seeds that have failed.
///
/// - 6: a stopping gateway passed on streams whose chunked bodies ended after its notice time and cut them at its exit, and
///   relayed the text of an error between events.
/// - 130: SIGTERM terminated a gateway that had just been restarted, before it had installed its signal handler.
const REGRESSION_SEEDS: [u64; 2] = [6, 130];

/// Number of callers; most of them wait for long answers.
const CALLERS: usize = 40;

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
}

fn main() {
    let options = Options::from_args();
    let mut failed = 0;
    let mut seeds = options.seeds;
    if seeds == DEFAULT_SEEDS {
        seeds.extend(REGRESSION_SEEDS);
    }
    for seed in &seeds {
        let violations = block_on(run_seed(*seed, options.duration));
        println!("seed {seed}: {} violations", violations.len());
        for violation in &violations {
            println!("  {violation}");
        }
        failed += usize::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    std::process::exit(i32::from(failed > 0));
}

async fn run_seed(seed: u64, duration: Duration) -> Vec<String> {
    let mut deployment = Deployment::start().await;
    let run = Rc::new(Run::default());
    let gateways = deployment.gateway_addrs();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
            let name = format!("{seed}-{i}");
            let (load, gateways) = (run.load.clone(), gateways.clone());
            std::thread::spawn(move || callers::run_caller(load, gateways, name, rng))
        })
        .collect();
    let rng = StdRng::seed_from_u64(seed * 1000 + 100);
    let operators = deployment.operator_addrs();
    let operator = compio::runtime::spawn(operator::run_operator(run.clone(), operators, rng));
    let end = Instant::now() + duration;
    let rng = StdRng::seed_from_u64(seed);
    injector::inject_faults(&mut deployment, &run, end, seed, rng).await;
    run.load.faults_ended.store(true, Ordering::Relaxed);
    let _ = operator.await;
    // The list of the servers is served by this thread, so callers are awaited elsewhere.
    let joined = compio::runtime::spawn_blocking(|| {
        callers
            .into_iter()
            .for_each(|caller| caller.join().unwrap());
    });
    joined.await.unwrap();
    operator::read_all(&run, deployment.operator_addrs()).await;
    checker::find_violations(&deployment, &run)
}
