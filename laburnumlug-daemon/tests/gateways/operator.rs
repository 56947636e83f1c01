//! Operator that replaces and reads the configuration through any control process, as the platform's operator does.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::Value;

use crate::Run;
use crate::control_fleet::call;
use crate::control_record::Attempt;
use crate::deployment::config;
use crate::settle::RECOVERY_TIMEOUT;

/// Range of the delay between two changes, in milliseconds.
const CHANGE_DELAY_MS: std::ops::Range<u64> = 100..700;

/// First and longest delay between two calls for the same purpose.
pub const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(800)];

/// Statuses with which the operator gives up a change.
const REFUSALS: [&str; 5] = ["400", "409", "412", "413", "422"];

/// Attempt to replace the configuration by one of a newer version.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub version: u64,
    pub acknowledged_at: Option<Instant>,
}

/// Configuration that the operator got.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Control process at which the call began.
    pub member: usize,
    pub sent_at: Instant,
    pub answered_at: Instant,
    pub version: u64,
}

/// Replaces the configuration until the run is over, from version 2: version 1 is in force from the start.
///
/// Several operators share the versions.
pub async fn run_operator(run: Rc<Run>, mut rng: StdRng) {
    while !run.load.faults_ended.load(Ordering::Relaxed) {
        let version = run.load.newest_sent.fetch_add(1, Ordering::Relaxed) + 1;
        run.changes.borrow_mut().push(Change {
            version,
            acknowledged_at: None,
        });
        replace(&run, version, &mut rng).await;
        if let Some(member) = pick(&run, &mut rng) {
            let _ = read(&run, member).await;
        }
        let delay_ms = rng.random_range(CHANGE_DELAY_MS);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Sends a change, unchanged and to any process, until it is acknowledged.
async fn replace(run: &Run, version: u64, rng: &mut StdRng) {
    let text = config(version);
    let mut backoff = BACKOFF[0];
    let mut last_error = String::new();
    while !is_overdue(run) {
        if let Some(member) = pick(run, rng) {
            match attempt(run, member, "/config/replace", Some(text.clone())).await {
                Ok(_) => {
                    let mut changes = run.changes.borrow_mut();
                    let change = changes.iter_mut().find(|c| c.version == version);
                    change.unwrap().acknowledged_at = Some(Instant::now());
                    return;
                }
                Err(error) => last_error = error,
            }
            let status = last_error.strip_prefix("status ").unwrap_or_default();
            if REFUSALS.iter().any(|refusal| status.starts_with(refusal)) {
                let text = format!("OPERATOR: version {version} was refused: {last_error}");
                return run.violations.borrow_mut().push(text);
            }
        }
        compio::time::sleep(backoff.mul_f64(rng.random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(BACKOFF[1]);
    }
    let text =
        format!("OPERATOR: version {version} was not acknowledged after the faults: {last_error}");
    run.violations.borrow_mut().push(text);
}

/// Returns whether the faults ended longer ago than the recovery may take.
fn is_overdue(run: &Run) -> bool {
    let ended_at = run.ended_at.get();
    ended_at.is_some_and(|at| at.elapsed() > RECOVERY_TIMEOUT)
}

/// Picks a control process from the operator's list.
fn pick(run: &Run, rng: &mut StdRng) -> Option<usize> {
    let listed = run.control.on_list(Instant::now());
    listed.choose(rng).map(|(member, _)| *member)
}

/// Reads the configuration, beginning at a control process, and returns its version.
///
/// # Errors
///
/// Fails with what the operator got instead.
pub async fn read(run: &Run, member: usize) -> Result<u64, String> {
    let sent_at = Instant::now();
    let config = attempt(run, member, "/config/get", None).await?;
    let version = config["version"].as_u64().ok_or("no version")?;
    run.reads.borrow_mut().push(Read {
        member,
        sent_at,
        answered_at: Instant::now(),
        version,
    });
    Ok(version)
}

async fn attempt(
    run: &Run,
    member: usize,
    path: &str,
    body: Option<String>,
) -> Result<Value, String> {
    let addr = run.control.listed.borrow()[member].addr;
    let sent_at = Instant::now();
    let redirects = RefCell::default();
    let result = call(addr, path, body, &redirects).await;
    run.control.attempts.borrow_mut().push(Attempt {
        member,
        sent_at,
        ended_at: Instant::now(),
        redirects: redirects.into_inner(),
        error: result.as_ref().err().cloned(),
    });
    result
}
