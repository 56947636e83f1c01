//! Faults from outside against gateways and control replicas, as the platform runs them, with a checker that reads what
//! servers received and what callers and operators were told.
//!
//! ```text
//! cargo test -p laburnumlug-daemon --test gateways -- --seed 7 --seconds 30
//! ```
//!
//! The seed settles the faults and the callers' choices; how the processes interleave is not repeatable. Seeds that ever
//! failed stand in [`REGRESSION_SEEDS`].

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
mod injector;
mod operator;
mod site;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::harness::block_on;
use crate::options::Options;
use crate::site::Site;

/// Seeds that once failed.
///
/// - 130: a gateway that had just been started again was ended by SIGTERM before its handler stood.
const REGRESSION_SEEDS: [u64; 1] = [130];

/// Callers that send one request after another.
const CALLERS: usize = 6;

/// What the tasks of one run share.
#[derive(Default)]
struct Run {
    ended: Cell<bool>,
    calls: RefCell<Vec<callers::Called>>,
    stops: RefCell<Vec<injector::Stop>>,
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
        let violations = block_on(run_seed(*seed, options.time));
        println!("seed {seed}: {} violations", violations.len());
        for violation in &violations {
            println!("  {violation}");
        }
        failed += usize::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    std::process::exit(i32::from(failed > 0));
}

async fn run_seed(seed: u64, time: Duration) -> Vec<String> {
    let mut site = Site::start().await;
    let run = Rc::new(Run::default());
    let gateways = site.addresses();
    let mut tasks: Vec<_> = (0..CALLERS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
            let name = format!("{seed}-{i}");
            compio::runtime::spawn(callers::call(run.clone(), gateways.clone(), name, rng))
        })
        .collect();
    let rng = StdRng::seed_from_u64(seed * 1000 + 100);
    let operators = site.operators();
    tasks.push(compio::runtime::spawn(operator::change(
        run.clone(),
        operators,
        rng,
    )));
    let end = Instant::now() + time;
    injector::inject(&mut site, &run, end, StdRng::seed_from_u64(seed)).await;
    run.ended.set(true);
    join_all(tasks).await;
    checker::check(&site, &run).await
}
