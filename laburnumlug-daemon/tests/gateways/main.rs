//! Kills, suspends and restarts gateways and control replicas, as the platform runs them, and compares what the targets
//! received with the responses that callers and the operator got.
//!
//! ```text
//! cargo test -p laburnumlug-daemon --test gateways -- --seed 7 --seconds 30
//! ```
//!
//! The seed determines the faults and the choices of callers and operator; how the processes interleave is not
//! reproducible. Seeds that have failed are kept in [`REGRESSION_SEEDS`] and run every time.

#[path = "../../../platform/tests/it/caller.rs"]
mod caller;
#[path = "../it/client.rs"]
mod client;
#[path = "../it/harness.rs"]
mod harness;
#[path = "../faults/options.rs"]
mod options;
#[path = "../it/platform_fleet.rs"]
mod platform_fleet;
#[path = "../../../platform/tests/it/standin.rs"]
mod standin;

mod callers;
mod checker;
mod deployment;
mod injector;
mod operator;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::Deployment;
use crate::harness::block_on;
use crate::options::Options;

/// Seeds that have failed.
///
/// - 130: SIGTERM terminated a gateway that had just been restarted, before it had installed its signal handler.
const REGRESSION_SEEDS: [u64; 1] = [130];

/// Number of callers, each of which sends one request after another.
const CALLERS: usize = 6;

/// State that the tasks of one run share.
#[derive(Default)]
struct Run {
    /// Whether the injector has ended all faults, so that the load must end.
    faults_ended: Cell<bool>,
    calls: RefCell<Vec<callers::CallRecord>>,
    interruptions: RefCell<Vec<injector::Interruption>>,
    changes: RefCell<Vec<operator::Change>>,
    violations: RefCell<Vec<String>>,
}

fn main() {
    let options = Options::from_args();
    let mut failed = 0;
    let seeds: Vec<u64> = options
        .seeds
        .iter()
        .chain(&REGRESSION_SEEDS)
        .copied()
        .collect();
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
    let mut tasks: Vec<_> = (0..CALLERS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
            let name = format!("{seed}-{i}");
            compio::runtime::spawn(callers::run_caller(
                run.clone(),
                gateways.clone(),
                name,
                rng,
            ))
        })
        .collect();
    let rng = StdRng::seed_from_u64(seed * 1000 + 100);
    let operators = deployment.operator_addrs();
    tasks.push(compio::runtime::spawn(operator::run_operator(
        run.clone(),
        operators,
        rng,
    )));
    let end = Instant::now() + duration;
    injector::inject_faults(&mut deployment, &run, end, StdRng::seed_from_u64(seed)).await;
    run.faults_ended.set(true);
    join_all(tasks).await;
    checker::find_violations(&deployment, &run).await
}
