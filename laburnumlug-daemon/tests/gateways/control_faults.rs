//! Faults of control processes, in series and overlapping, within the losses that the deployment tolerates.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;

use crate::Run;
use crate::client;
use crate::deployment::{Deployment, TOLERATED_LOSSES};
use crate::stops::random_ms;

/// Range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3500;

/// Range of the time in which all processes that were killed at once are back, in milliseconds.
const RETURN_TIME_MS: std::ops::Range<u64> = 100..1000;

/// Time after the end of its fault for which a replica still counts as lost: it catches up with the log, and may have to be made
/// a voter again.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Maximum number of control processes that are added in a run.
const MAX_SPARES: usize = 2;

/// Fault of a control process.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Killed,
    Frozen,
}

/// Fault of one control process, if it has one, and the time until which it counts as lost.
#[derive(Clone, Copy)]
struct State {
    fault: Option<(Fault, Instant)>,
    lost_until: Instant,
}

/// Faults of the control processes of a run.
pub struct ControlFaults {
    states: Vec<State>,
    spares: usize,
}

impl ControlFaults {
    pub fn new(deployment: &Deployment, now: Instant) -> ControlFaults {
        let state = State {
            fault: None,
            lost_until: now + CATCH_UP_TIME,
        };
        ControlFaults {
            states: vec![state; deployment.control.members.len()],
            spares: 0,
        }
    }

    /// Returns whether no control process has a fault.
    pub fn are_over(&self) -> bool {
        self.states.iter().all(|state| state.fault.is_none())
    }

    /// Ends the faults whose time is over at `now`, or all of them.
    pub fn end(
        &mut self,
        deployment: &mut Deployment,
        run: &Run,
        now: Instant,
        ends_all: bool,
        rng: &mut StdRng,
    ) {
        for member in 0..self.states.len() {
            match self.states[member].fault {
                Some((fault, until)) if ends_all || now >= until => {
                    match &deployment.control.members[member].process {
                        Some(process) if fault == Fault::Frozen => process.signal(Signal::CONT),
                        _ => deployment.start_control(member, rng),
                    }
                    let now = Instant::now();
                    run.control.end_outage(member, now);
                    self.states[member] = State {
                        fault: None,
                        lost_until: now + CATCH_UP_TIME,
                    };
                }
                _ => {}
            }
        }
    }

    /// Injects a random fault, or changes seeds, if that is tolerated at `now`.
    pub async fn inject(
        &mut self,
        deployment: &mut Deployment,
        run: &Run,
        now: Instant,
        rng: &mut StdRng,
    ) {
        let until = now + random_ms(rng, FAULT_DURATION_MS);
        let may_lose = self.tolerated(deployment, now) > 0;
        let draw = rng.random_range(0..14);
        let has_disk = draw < 6;
        let sound = self.sound(deployment, has_disk);
        let Some(member) = sound.choose(rng).copied() else {
            return;
        };
        match draw {
            0..=5 if !may_lose => {}
            0 | 6 => self.kill(deployment, run, member, (now, until), false),
            1 => self.kill(deployment, run, member, (now, until), true),
            2 | 7 => {
                let process = deployment.control.members[member].process.as_ref();
                process.unwrap().signal(Signal::STOP);
                run.control.begin_outage(member, now);
                self.states[member].fault = Some((Fault::Frozen, until));
            }
            3 | 4 | 8 => {
                self.kill(deployment, run, member, (now, until), false);
                self.states[member].fault = None;
                deployment.control.members[member].is_removed = true;
                run.control.remove(member, now);
                self.add(deployment, run, has_disk, now, until);
            }
            5 | 9 if self.spares < MAX_SPARES => {
                self.spares += 1;
                self.add(deployment, run, has_disk, now, until);
            }
            10..=11 => {
                let all = [self.sound(deployment, true), sound].concat();
                let member = *all.choose(rng).unwrap();
                self.change_seeds(deployment, member, rng).await;
            }
            12 => self.kill_all(deployment, run, now, rng),
            _ => {}
        }
    }

    /// Kills all control processes, and removes the data of as many as is tolerated.
    pub fn kill_all(
        &mut self,
        deployment: &mut Deployment,
        run: &Run,
        now: Instant,
        rng: &mut StdRng,
    ) {
        let tolerated = self.tolerated(deployment, now);
        let sound = self.sound(deployment, true);
        let losses = rng.random_range(0..=tolerated);
        let wiped: Vec<usize> = sound.choose_multiple(rng, losses).copied().collect();
        let present = deployment.control.present();
        for member in &present {
            if let Some(process) = &deployment.control.members[*member].process {
                process.signal(Signal::KILL);
            }
        }
        for member in present {
            let until = now + random_ms(rng, RETURN_TIME_MS);
            let is_wiped = wiped.contains(&member);
            self.kill(deployment, run, member, (now, until), is_wiped);
        }
    }

    /// Kills a process until it is started again; `is_wiped` sets whether it then has lost its data.
    fn kill(
        &mut self,
        deployment: &mut Deployment,
        run: &Run,
        member: usize,
        (now, until): (Instant, Instant),
        is_wiped: bool,
    ) {
        deployment.control.kill(member);
        if is_wiped {
            deployment.control.wipe(member);
        }
        run.control.begin_outage(member, now);
        self.states[member].fault = Some((Fault::Killed, until));
    }

    /// Adds an empty process at a new address, which is started at `starts_at`.
    fn add(
        &mut self,
        deployment: &mut Deployment,
        run: &Run,
        has_disk: bool,
        now: Instant,
        starts_at: Instant,
    ) {
        let member = deployment.control.add(has_disk);
        run.control.add(&deployment.control, member, starts_at);
        run.control.begin_outage(member, now);
        self.states.push(State {
            fault: Some((Fault::Killed, starts_at)),
            lost_until: starts_at,
        });
    }

    /// Changes the seeds of a control process, with SIGHUP or without.
    async fn change_seeds(&self, deployment: &mut Deployment, member: usize, rng: &mut StdRng) {
        deployment.change_control_seeds(member, rng);
        // Until a starting process has installed its signal handlers, SIGHUP terminates it by default.
        let addr = deployment.control.members[member].operator_addr;
        let status = client::get_status_and_body(addr, "/status");
        let status = compio::time::timeout(Duration::from_millis(500), status).await;
        match &deployment.control.members[member].process {
            Some(process) if matches!(status, Ok(Some(_))) && rng.random_ratio(1, 2) => {
                process.signal(Signal::HUP);
            }
            _ => {}
        }
    }

    /// Returns the number of further replicas that may be lost.
    fn tolerated(&self, deployment: &Deployment, now: Instant) -> usize {
        let present = deployment.control.present().into_iter();
        let lost = present.filter(|i| {
            let state = self.states[*i];
            deployment.control.members[*i].has_disk
                && (state.fault.is_some() || now < state.lost_until)
        });
        TOLERATED_LOSSES.saturating_sub(lost.count())
    }

    /// Returns the processes without a fault that have a disk or have none.
    fn sound(&self, deployment: &Deployment, has_disk: bool) -> Vec<usize> {
        let mut present = deployment.control.present();
        present.retain(|i| {
            self.states[*i].fault.is_none() && deployment.control.members[*i].has_disk == has_disk
        });
        present
    }
}
