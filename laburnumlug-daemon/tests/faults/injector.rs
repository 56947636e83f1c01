//! Injects process, disk and network faults, two at a time.

use std::time::{Duration, Instant};

use laburnumlug_standin::Fault;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;

use crate::Run;
use crate::harness::Fleet;

/// Number of faults that are active at the same time.
const CONCURRENT_FAULTS: usize = 2;

/// Interval at which expired faults are ended and new ones are started.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Range of a fault's duration, in milliseconds; the longest faults outlast every confirmation of the fleet document.
const FAULT_DURATION_MS: std::ops::Range<u64> = 500..7000;

/// Largest length up to which the files of a full disk are still written; the journal reaches it within a run.
const MAX_FULL_DISK_BYTES: u64 = 60_000;

/// Minimum time between two disk losses, so that the first disk is replaced before the second is lost.
const MIN_DISK_LOSS_INTERVAL: Duration = Duration::from_secs(20);

/// Active fault and when it ends.
struct ActiveFault {
    kind: FaultKind,
    ends_at: Instant,
}

/// Kind of a fault, with the name of the process or link that it affects.
#[derive(Clone, Debug, Eq, PartialEq)]
enum FaultKind {
    /// Kills the process and restarts it at the end.
    Kill(String),
    /// Kills the process, removes its data folder, and restarts it at the end.
    LoseDisk(String),
    /// Lets the control replica write only the first bytes of its files until the end.
    FullDisk(String, u64),
    /// Suspends the process and resumes it at the end.
    Freeze(String),
    /// Applies a network fault to the link.
    Link(String, Fault),
}

impl FaultKind {
    /// Returns the process or link that the fault affects, which has at most one fault at a time.
    fn subject(&self) -> &str {
        match self {
            FaultKind::Kill(name)
            | FaultKind::LoseDisk(name)
            | FaultKind::FullDisk(name, _)
            | FaultKind::Freeze(name)
            | FaultKind::Link(name, _) => name,
        }
    }
}

/// Injects faults until the run is over, then ends them all.
pub async fn inject_faults(fleet: &mut Fleet, run: &Run, mut rng: StdRng) {
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut last_disk_loss = None;
    while !run.is_over() {
        let now = Instant::now();
        end_faults(fleet, &mut active, |fault| now >= fault.ends_at);
        while active.len() < CONCURRENT_FAULTS {
            let may_lose_disk =
                last_disk_loss.is_none_or(|last| now - last > MIN_DISK_LOSS_INTERVAL);
            let kind = choose_fault(fleet, &mut rng, may_lose_disk);
            if active
                .iter()
                .any(|fault| fault.kind.subject() == kind.subject())
            {
                continue;
            }
            if let FaultKind::LoseDisk(_) = kind {
                last_disk_loss = Some(now);
            }
            println!(
                "{:6.1} s {kind:?}",
                run.history.started_at.elapsed().as_secs_f64()
            );
            start_fault(fleet, &kind);
            run.history.counts.borrow_mut().injected_faults += 1;
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            active.push(ActiveFault {
                kind,
                ends_at: now + duration,
            });
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    end_faults(fleet, &mut active, |_| true);
}

fn choose_fault(fleet: &Fleet, rng: &mut StdRng, may_lose_disk: bool) -> FaultKind {
    // Maps iterate in no defined order, but the choice must depend only on the seed.
    let mut processes: Vec<&String> = fleet.processes.keys().collect();
    processes.sort();
    let mut links: Vec<&String> = fleet.proxies.keys().collect();
    links.sort();
    let process = processes
        .choose(rng)
        .expect("the fleet has processes")
        .to_string();
    let link = links.choose(rng).expect("the fleet has links").to_string();
    let link_faults = [
        Fault::Partition,
        Fault::PartitionForward,
        Fault::PartitionBackward,
        Fault::Disconnect,
    ];
    match rng.random_range(0..13) {
        0..3 => FaultKind::Kill(process),
        3..5 => FaultKind::Freeze(process),
        5 if may_lose_disk => FaultKind::LoseDisk(format!("control-{}", rng.random_range(1..4))),
        5..9 => FaultKind::FullDisk(
            format!("control-{}", rng.random_range(1..4)),
            rng.random_range(0..MAX_FULL_DISK_BYTES),
        ),
        // A target process is co-located with its engine or server: their connection may break, but cannot be
        // partitioned.
        _ if link.ends_with(">engine") || link.ends_with(">service") => {
            FaultKind::Link(link, Fault::Disconnect)
        }
        _ => FaultKind::Link(
            link,
            *link_faults
                .choose(rng)
                .expect("the list of link faults is not empty"),
        ),
    }
}

fn start_fault(fleet: &mut Fleet, kind: &FaultKind) {
    match kind {
        FaultKind::Kill(name) => fleet.process(name).kill(),
        FaultKind::LoseDisk(name) => {
            fleet.process(name).kill();
            let folder = fleet.folder.path().join(name);
            std::fs::remove_dir_all(folder).expect("the data folder can be removed");
        }
        FaultKind::FullDisk(name, bytes) => fleet.process(name).limit_file_size(Some(*bytes)),
        FaultKind::Freeze(name) => fleet.process(name).signal(Signal::STOP),
        FaultKind::Link(name, fault) => fleet.proxies[name].set_fault(*fault),
    }
}

fn end_faults<F>(fleet: &mut Fleet, active: &mut Vec<ActiveFault>, is_due: F)
where
    F: Fn(&ActiveFault) -> bool,
{
    for fault in active.extract_if(.., |fault| is_due(fault)) {
        match fault.kind {
            FaultKind::Kill(name) | FaultKind::LoseDisk(name) => restart(fleet, &name),
            FaultKind::FullDisk(name, _) => fleet.process(&name).limit_file_size(None),
            FaultKind::Freeze(name) => fleet.process(&name).signal(Signal::CONT),
            FaultKind::Link(name, _) => fleet.proxies[&name].set_fault(Fault::None),
        }
    }
}

/// Restarts a process; [`FaultKind::FullDisk`] applies to a control replica that is started like this.
fn restart(fleet: &mut Fleet, name: &str) {
    match name.starts_with("control-") {
        true => fleet.restart_with_file_limits(name),
        false => fleet.restart(name),
    }
}
