//! Execution of one workload under one policy.

use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::bound::fluid_bound;
use crate::client::{self, AttemptOutcome, CompletionCall};
use crate::config::Config;
use crate::error::Error;
use crate::fleet::{Fleet, MODEL};
use crate::load_generator::LoadGenerator;
use crate::policy::BenchPolicy;
use crate::report::{Percentiles, Report};
use crate::trace::{EngineFault, Trace};
use crate::workload::{FLOOD_CALLER, Workload};

/// Interval between checks for completion and progress updates.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Wall-clock time to wait for outstanding requests beyond the longest deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of one-token requests that measure the added latency.
const LATENCY_PROBES: usize = 50;

/// Width of the progress bar in characters.
const PROGRESS_BAR_WIDTH: usize = 30;

/// Runs `workload` with `seed` under `policy` and returns its metrics.
///
/// # Errors
///
/// Fails if the processes cannot be started or a change of the fleet document is refused.
pub async fn run(
    config: &Config,
    workload: &Workload,
    policy: &BenchPolicy,
    seed: u64,
) -> Result<Report, Error> {
    let trace = workload.trace(seed, config.trace_length);
    let mut fleet = Fleet::start(config, policy, trace.engines).await?;
    let added_latency = measure_added_latency(&fleet).await;
    let traffic_before = fleet.traffic().await;
    let generator = LoadGenerator::new(config, Instant::now(), fleet.entries.clone());
    let send_result = send_trace(config, &mut fleet, &trace, &generator).await;
    wait_for_completion(
        config,
        &trace,
        &generator,
        &format!("{} {}", workload.name(), policy.name()),
    )
    .await;
    send_result?;
    let traffic = fleet.traffic().await;
    let results = generator.take_results();
    let requests = results.len().max(1) as f64;
    let prefix_hits: u64 = fleet.engines.iter().map(|e| e.prefix_hit_tokens()).sum();
    Ok(Report {
        workload: workload.name().to_string(),
        policy: policy.name().to_string(),
        seed,
        compression: config.compression,
        added_clock_ms: added_latency,
        role_changes: fleet.engines.iter().map(|e| e.role_changes()).sum(),
        prefix_hit_tokens: prefix_hits as f64 / requests,
        messages: traffic.0.saturating_sub(traffic_before.0) as f64 / requests,
        bytes: traffic.1.saturating_sub(traffic_before.1) as f64 / requests,
        ..Report::new(&results, FLOOD_CALLER).with_bound(fluid_bound(&trace))
    })
}

/// Sends each request at its time, and injects each fault after the last request that is sent before it.
///
/// Faults later than the last request are not injected.
async fn send_trace(
    config: &Config,
    fleet: &mut Fleet,
    trace: &Trace,
    generator: &Rc<LoadGenerator>,
) -> Result<(), Error> {
    let start = Instant::now();
    let mut faults = trace.faults.iter().peekable();
    for (index, req) in trace.requests.iter().enumerate() {
        while let Some(fault) = faults.next_if(|fault| fault.at() <= req.arrival) {
            match *fault {
                EngineFault::Killed { engine, .. } => fleet.kill_target(engine),
                EngineFault::Leaving { engine, .. } => fleet.mark_leaving(engine).await?,
            }
        }
        let send_at = start + config.to_wall_clock(req.arrival);
        let wait = send_at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        if config.progress && index % 16 == 0 {
            draw_progress("sending", index, trace.requests.len());
        }
        compio::runtime::spawn(generator.clone().send(index, req.clone())).detach();
    }
    Ok(())
}

async fn wait_for_completion(
    config: &Config,
    trace: &Trace,
    generator: &LoadGenerator,
    label: &str,
) {
    let longest_deadline = trace.requests.iter().map(|req| req.deadline).max();
    let timeout = config.to_wall_clock(longest_deadline.unwrap_or_default()) + DRAIN_TIMEOUT;
    let start = Instant::now();
    while generator.finished_requests() < trace.requests.len() && start.elapsed() < timeout {
        if config.progress {
            draw_progress(label, generator.finished_requests(), trace.requests.len());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    if config.progress {
        eprint!("\r{:>width$}\r", "", width = PROGRESS_BAR_WIDTH + 50);
    }
}

fn draw_progress(label: &str, done: usize, total: usize) {
    let filled = PROGRESS_BAR_WIDTH * done / total.max(1);
    let bar: String = (0..PROGRESS_BAR_WIDTH)
        .map(|i| if i < filled { '#' } else { '.' })
        .collect();
    eprint!("\r{label:<32} [{bar}] {done}/{total} ");
    let _ = std::io::stderr().flush();
}

/// Measures the latency of one-token completions through the entries, minus the median latency at the engines.
///
/// A time below the median counts as 0, and requests that fail are left out.
async fn measure_added_latency(fleet: &Fleet) -> Percentiles {
    let mut through_entry = Vec::new();
    let mut direct = Vec::new();
    for probe in 0..LATENCY_PROBES {
        let prompt = format!("probe {probe}");
        let start = Instant::now();
        if probe_entry(fleet, probe, &prompt).await {
            through_entry.push(start.elapsed());
        }
        let engine = &fleet.engines[probe % fleet.engines.len()];
        let start = Instant::now();
        if client::probe_engine(engine.addr(), MODEL, &prompt).await {
            direct.push(start.elapsed());
        }
    }
    direct.sort_unstable();
    let engine_median = direct.get(direct.len() / 2).copied().unwrap_or_default();
    Percentiles::from_times(
        through_entry
            .into_iter()
            .map(|time| time.saturating_sub(engine_median)),
    )
}

async fn probe_entry(fleet: &Fleet, probe: usize, prompt: &str) -> bool {
    let call = CompletionCall {
        model: MODEL,
        caller: "probe",
        prompt,
        max_tokens: 1,
        deadline: Duration::from_secs(5),
    };
    let entry = fleet.entries[probe % fleet.entries.len()];
    matches!(
        client::request_completion(entry, &call).await,
        AttemptOutcome::Complete { .. }
    )
}
