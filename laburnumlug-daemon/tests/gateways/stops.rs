//! Planned stops of a gateway, as the platform does them, and faults of a gateway.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::Run;
use crate::deployment::{Deployment, grace_period};
use crate::injector::{Interruption, Reason};
use crate::platform_fleet::readiness_status;

/// Time in which a gateway exits after SIGTERM, unless it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a gateway's process.
pub enum State {
    Running,
    /// To be stopped at this time, though it may still be starting.
    StopAt(Instant),
    Stopping(Stop),
    /// Suspended, or killed and to be started again, until the second time.
    Frozen(Instant, Instant),
    Killed(Instant, Instant),
}

impl State {
    pub fn is_running(&self) -> bool {
        matches!(self, State::Running)
    }
}

/// Planned stop that is in progress.
pub struct Stop {
    signalled_at: Instant,
    /// When the process is killed if it still runs.
    kill_at: Instant,
    /// Whether the gateway was ready when it got the signal.
    was_ready: bool,
    /// When it gets the signal once more.
    again_at: Option<Instant>,
    /// When it is suspended and woken.
    pause: Option<(Instant, Instant)>,
    /// When it was suspended, unless it has been woken.
    suspended_at: Option<Instant>,
}

/// Begins a planned stop, sometimes with a second signal.
///
/// If the run `has_faults`, some processes are paused meanwhile, and they are killed at the end of the grace period. Otherwise they
/// have to exit by themselves, however busy the machine is.
pub async fn begin_stop(
    deployment: &Deployment,
    gateway: usize,
    has_faults: bool,
    rng: &mut StdRng,
) -> State {
    let process = &deployment.gateways[gateway];
    // Until a starting process has installed its handler, SIGTERM terminates it by default; it does not serve yet.
    let was_ready = readiness_status(process.ready_addr).await == Some(200);
    let now = Instant::now();
    process.process.signal(Signal::TERM);
    let again_at = rng
        .random_ratio(1, 3)
        .then(|| now + random_ms(rng, 50..4000));
    let pause = (has_faults && rng.random_ratio(1, 4)).then(|| {
        let from = now + random_ms(rng, 0..4000);
        (from, from + random_ms(rng, 100..3500))
    });
    let kill_after = if has_faults {
        grace_period(gateway)
    } else {
        EXIT_TIMEOUT
    };
    State::Stopping(Stop {
        signalled_at: now,
        kill_at: now + kill_after,
        was_ready,
        again_at,
        pause,
        suspended_at: None,
    })
}

/// Takes the state of a gateway's process as far as it is at `now`, and returns the new state.
pub fn advance(
    deployment: &mut Deployment,
    run: &Run,
    gateway: usize,
    state: State,
    now: Instant,
    rng: &mut StdRng,
) -> State {
    match state {
        State::Frozen(from, until) if now >= until => {
            deployment.gateways[gateway].process.signal(Signal::CONT);
            record(run, gateway, Reason::Fault, from);
            State::Running
        }
        State::Killed(from, until) if now >= until => {
            record(run, gateway, Reason::Fault, from);
            deployment.restart_gateway(gateway, rng);
            State::Running
        }
        State::Stopping(stop) => advance_stop(deployment, run, gateway, stop, now, rng),
        state => state,
    }
}

fn advance_stop(
    deployment: &mut Deployment,
    run: &Run,
    gateway: usize,
    mut stop: Stop,
    now: Instant,
    rng: &mut StdRng,
) -> State {
    let grace = grace_period(gateway);
    let process = &mut deployment.gateways[gateway].process;
    let exit = process.exit_status();
    if exit.is_none() && now < stop.kill_at {
        if stop.again_at.is_some_and(|at| now >= at) {
            stop.again_at = None;
            process.signal(Signal::TERM);
        }
        match stop.pause {
            Some((from, _)) if stop.suspended_at.is_none() && now >= from => {
                process.signal(Signal::STOP);
                stop.suspended_at = Some(now);
            }
            Some((_, until)) if now >= until => {
                process.signal(Signal::CONT);
                record(run, gateway, Reason::Fault, stop.suspended_at.unwrap());
                (stop.pause, stop.suspended_at) = (None, None);
            }
            _ => {}
        }
        return State::Stopping(stop);
    }
    if let Some(from) = stop.suspended_at {
        record(run, gateway, Reason::Fault, from);
    }
    let code = exit.map(|status| status.code());
    let may_be_killed = stop.kill_at <= stop.signalled_at + grace;
    if code != Some(Some(0)) && stop.was_ready && !(code.is_none() && may_be_killed) {
        let text = format!("gateway {gateway} exited with {code:?} after SIGTERM");
        run.violations.borrow_mut().push(text);
    }
    process.kill();
    record(run, gateway, Reason::Stop { grace }, stop.signalled_at);
    deployment.restart_gateway(gateway, rng);
    match rng.random_ratio(1, 5) {
        true => State::StopAt(now + random_ms(rng, 0..600)),
        false => State::Running,
    }
}

/// Records an interruption that ends now.
fn record(run: &Run, gateway: usize, reason: Reason, from: Instant) {
    run.interruptions.borrow_mut().push(Interruption {
        gateway,
        reason,
        from,
        until: Instant::now(),
    });
}

/// Returns a random time, with the bounds in milliseconds.
pub fn random_ms(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
