//! Injects faults, two at a time.

use std::time::{Duration, Instant};

use laburnumlug_standin::Fault;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;

use crate::Run;
use crate::harness::Fleet;

/// Faults that are active at the same time.
const ACTIVE_FAULTS: usize = 2;

/// How often faults are begun and ended.
const STEP: Duration = Duration::from_millis(50);

/// Range of a fault's length in milliseconds; the longest is longer than any confirmation lasts.
const LENGTH_MS: std::ops::Range<u64> = 500..7000;

/// Least time between two lost disks, in which the first is replaced.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(20);

/// A fault that is active.
struct Active {
    kind: Kind,
    until: Instant,
}

/// What a fault does.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    /// The process is killed, and started again at the end.
    Kill(String),
    /// The process is killed and its data folder emptied, and it is started again at the end.
    LoseDisk(String),
    /// The process is stopped, and continued at the end.
    Freeze(String),
    /// The link has a fault.
    Cut(String, Fault),
}

impl Kind {
    /// Returns what the fault affects; nothing is affected twice at once.
    fn subject(&self) -> &str {
        match self {
            Kind::Kill(name) | Kind::LoseDisk(name) | Kind::Freeze(name) | Kind::Cut(name, _) => {
                name
            }
        }
    }
}

/// Injects faults until the run is over, then ends them all.
pub async fn inject(fleet: &mut Fleet, run: &Run, mut rng: StdRng) {
    let mut active: Vec<Active> = Vec::new();
    let mut last_disk_loss = None;
    while !run.is_over() {
        let now = Instant::now();
        end_faults(fleet, &mut active, |fault| now >= fault.until);
        while active.len() < ACTIVE_FAULTS {
            let may_lose_disk = last_disk_loss.is_none_or(|last| now - last > DISK_LOSS_INTERVAL);
            let kind = choose(fleet, &mut rng, may_lose_disk);
            if active
                .iter()
                .any(|fault| fault.kind.subject() == kind.subject())
            {
                continue;
            }
            if let Kind::LoseDisk(_) = kind {
                last_disk_loss = Some(now);
            }
            println!(
                "{:6.1} s {kind:?}",
                run.ledger.start.elapsed().as_secs_f64()
            );
            begin(fleet, &kind);
            run.ledger.counts.borrow_mut().faults += 1;
            let length = Duration::from_millis(rng.random_range(LENGTH_MS));
            active.push(Active {
                kind,
                until: now + length,
            });
        }
        compio::time::sleep(STEP).await;
    }
    end_faults(fleet, &mut active, |_| true);
}

fn choose(fleet: &Fleet, rng: &mut StdRng, may_lose_disk: bool) -> Kind {
    // Maps have no order, and the choice must follow from the seed alone.
    let mut processes: Vec<&String> = fleet.processes.keys().collect();
    processes.sort();
    let mut links: Vec<&String> = fleet.proxies.keys().collect();
    links.sort();
    let process = processes
        .choose(rng)
        .expect("there are processes")
        .to_string();
    let link = links.choose(rng).expect("there are links").to_string();
    let cuts = [
        Fault::Partition,
        Fault::PartitionForward,
        Fault::PartitionBackward,
        Fault::Disconnect,
    ];
    match rng.random_range(0..10) {
        0..3 => Kind::Kill(process),
        3..5 => Kind::Freeze(process),
        5 if may_lose_disk => Kind::LoseDisk(format!("control-{}", rng.random_range(1..4))),
        // A target process stands beside its peer: a connection there may break, but not be silent.
        _ if link.ends_with(">engine") || link.ends_with(">service") => {
            Kind::Cut(link, Fault::Disconnect)
        }
        _ => Kind::Cut(link, *cuts.choose(rng).expect("there are faults")),
    }
}

fn begin(fleet: &mut Fleet, kind: &Kind) {
    match kind {
        Kind::Kill(name) => fleet.process(name).kill(),
        Kind::LoseDisk(name) => {
            fleet.process(name).kill();
            let folder = fleet.folder.path().join(name);
            std::fs::remove_dir_all(folder).expect("the data folder can be removed");
        }
        Kind::Freeze(name) => fleet.process(name).signal(Signal::STOP),
        Kind::Cut(name, fault) => fleet.proxies[name].set_fault(*fault),
    }
}

fn end_faults<F>(fleet: &mut Fleet, active: &mut Vec<Active>, ends: F)
where
    F: Fn(&Active) -> bool,
{
    for fault in active.extract_if(.., |fault| ends(fault)) {
        match fault.kind {
            Kind::Kill(name) | Kind::LoseDisk(name) => fleet.restart(&name),
            Kind::Freeze(name) => fleet.process(&name).signal(Signal::CONT),
            Kind::Cut(name, _) => fleet.proxies[&name].set_fault(Fault::None),
        }
    }
}
