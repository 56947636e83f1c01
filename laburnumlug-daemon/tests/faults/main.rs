//! Runs real processes under mixed faults, two at a time, and compares what the stand-ins received with the
//! responses that callers and operators got.
//!
//! ```text
//! cargo test -p laburnumlug-daemon --test faults -- --seed 7 --seconds 120
//! ```
//!
//! Without arguments it runs each of [`options::DEFAULT_SEEDS`] for [`options::DEFAULT_SECONDS`]. The seed
//! determines the sequence of faults and the choices of callers and operators; how the processes interleave is not
//! reproducible.

#[path = "../it/client.rs"]
mod client;
#[path = "../it/harness.rs"]
mod harness;

mod bookings;
mod checker;
mod completions;
mod history;
mod injector;
mod leaving;
mod operators;
mod options;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use laburnumlug_standin::{BookingTiming, EngineTiming};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::harness::{Fleet, FleetConfig, block_on};
use crate::history::History;
use crate::options::Options;

/// Number of callers that request completions.
const COMPLETION_CALLERS: usize = 4;

/// Number of callers that make bookings, alternately with and without an idempotency key.
const BOOKING_CALLERS: usize = 3;

/// Number of operators that submit competing changes.
const OPERATORS: usize = 2;

/// Time that the engine stand-ins take for one token.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Time that the booking stand-ins take for one booking.
const BOOKING_TIME: Duration = Duration::from_millis(50);

/// State that the tasks of one run share.
struct Run {
    history: History,
    /// When faults and load end.
    ends_at: Instant,
    /// Whether the injector has ended all faults, so that the load must end.
    faults_ended: Cell<bool>,
}

impl Run {
    fn is_over(&self) -> bool {
        Instant::now() >= self.ends_at || self.faults_ended.get()
    }
}

fn main() {
    let options = Options::from_args();
    let mut failed = 0;
    for seed in &options.seeds {
        let violations = block_on(run_seed(*seed, options.duration));
        println!("seed {seed}: {} violations", violations.len());
        for violation in &violations {
            println!("  {violation}");
        }
        failed += usize::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", options.seeds.len() - failed);
    std::process::exit(i32::from(failed > 0));
}

async fn run_seed(seed: u64, duration: Duration) -> Vec<String> {
    let config = FleetConfig::default()
        .control_replicas(3)
        .entries(2)
        .engines(3)
        .booking_servers(2)
        .engine_timing(EngineTiming::instant().token_time(TOKEN_TIME))
        .booking_timing(BookingTiming::default().run_time(BOOKING_TIME));
    let mut fleet = Fleet::start(config).await;
    for replica in 1..4 {
        fleet.restart_with_file_limits(&format!("control-{replica}"));
    }
    let started_at = Instant::now();
    let run = Rc::new(Run {
        history: History::new(started_at),
        ends_at: started_at + duration,
        faults_ended: Cell::new(false),
    });
    let addresses = Rc::new(history::Addresses::of(&fleet));
    let mut tasks = Vec::new();
    for i in 0..COMPLETION_CALLERS {
        let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
        tasks.push(compio::runtime::spawn(completions::run_caller(
            run.clone(),
            addresses.clone(),
            rng,
        )));
    }
    for i in 0..BOOKING_CALLERS {
        let rng = StdRng::seed_from_u64(seed * 1000 + 100 + i as u64);
        let name = format!("caller-{i}");
        tasks.push(compio::runtime::spawn(bookings::run_caller(
            run.clone(),
            addresses.clone(),
            name,
            rng,
        )));
    }
    for i in 0..OPERATORS {
        let rng = StdRng::seed_from_u64(seed * 1000 + 200 + i as u64);
        let name = format!("operator-{i}");
        tasks.push(compio::runtime::spawn(operators::run_operator(
            run.clone(),
            addresses.clone(),
            name,
            rng,
        )));
    }
    injector::inject_faults(&mut fleet, &run, StdRng::seed_from_u64(seed)).await;
    run.faults_ended.set(true);
    join_all(tasks).await;
    checker::find_violations(&fleet, &run.history).await
}
