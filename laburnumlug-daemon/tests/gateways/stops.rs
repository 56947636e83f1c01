//! Planned stops of a gateway, as the platform does them, and faults of a gateway.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::Run;
use crate::deployment::{Deployment, GRACE_PERIODS};
use crate::injector::{Interruption, Reason};
use crate::platform_fleet::readiness_status;

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

/// Planned stop that is in progress.
pub struct Stop {
    signalled_at: Instant,
    /// Whether the gateway was ready when it got the signal.
    was_ready: bool,
    /// When it gets the signal once more.
    again_at: Option<Instant>,
    /// When it is suspended and woken.
    pause: Option<(Instant, Instant)>,
    /// When it was suspended, unless it has been woken.
    suspended_at: Option<Instant>,
}

/// Begins a planned stop, sometimes with a second signal, and with a pause if the run `may_pause` processes.
pub async fn begin_stop(
    deployment: &Deployment,
    gateway: usize,
    may_pause: bool,
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
    let pause = (may_pause && rng.random_ratio(1, 4)).then(|| {
        let from = now + random_ms(rng, 0..4000);
        (from, from + random_ms(rng, 100..3500))
    });
    State::Stopping(Stop {
        signalled_at: now,
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
            deployment.gateways[gateway].restart(&deployment.cluster.folder);
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
    let grace = GRACE_PERIODS[gateway];
    let process = &mut deployment.gateways[gateway].process;
    let exit = process.exit_status();
    let is_over = now >= stop.signalled_at + grace;
    if exit.is_none() && !is_over {
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
    let was_paused = stop.suspended_at.is_some();
    if let Some(from) = stop.suspended_at {
        record(run, gateway, Reason::Fault, from);
    }
    let code = exit.map(|status| status.code());
    if code != Some(Some(0)) && stop.was_ready && !was_paused {
        let text = format!("gateway {gateway} exited with {code:?} within its grace period");
        run.violations.borrow_mut().push(text);
    }
    process.kill();
    record(run, gateway, Reason::Stop { grace }, stop.signalled_at);
    deployment.gateways[gateway].restart(&deployment.cluster.folder);
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
