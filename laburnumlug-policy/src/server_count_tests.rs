use super::*;
use crate::engine_demand::PhaseDemand;

const SECOND: Duration = Duration::from_secs(1);
const BOOT: Duration = Duration::from_secs(20);
const DRAIN: Duration = Duration::from_secs(30);

/// Order as the platform received it, and the second of the simulation.
type SentOrder = (u64, ServerOrder);

#[derive(Clone, Debug)]
struct SimulatedZone {
    present: u32,
    starts: Vec<u64>,
    order: Option<StandingOrder>,
    /// Seconds that a target needs to start; `None` if starts fail.
    boot_s: Option<u64>,
}

/// Fleet of decode engines that carries out orders, and the leader that gives them.
struct Simulation {
    start: Instant,
    second: u64,
    count: ServerCount,
    scaling: Scaling,
    zones: Vec<SimulatedZone>,
    work: Vec<f64>,
    orders: Vec<SentOrder>,
    /// Seconds in which the work exceeded the present engines.
    overloaded: Vec<u64>,
}

impl Simulation {
    fn new(zones: &[u32], min: u32, max: u32) -> Simulation {
        let zone = |present: &u32| SimulatedZone {
            present: *present,
            starts: Vec::new(),
            order: None,
            boot_s: Some(BOOT.as_secs()),
        };
        let boot_ms = BOOT.as_millis() as u64;
        Simulation {
            start: Instant::now(),
            second: 0,
            count: ServerCount::default(),
            scaling: Scaling { boot_ms, max, min },
            zones: zones.iter().map(zone).collect(),
            work: Vec::new(),
            orders: Vec::new(),
            overloaded: Vec::new(),
        }
    }

    fn present(&self) -> u32 {
        self.zones.iter().map(|zone| zone.present).sum()
    }

    /// Advances by some seconds, with `work` busy engines, or without samples if it is `None`.
    fn run(&mut self, seconds: u64, work: impl Fn(u64) -> Option<f64>) {
        for _ in 0..seconds {
            self.second += 1;
            let second = self.second;
            for zone in &mut self.zones {
                let started = zone.starts.iter().filter(|due| **due <= second).count();
                zone.starts.retain(|due| *due > second);
                zone.present += started as u32;
            }
            let demand = match work(second) {
                None => Demand::Unknown,
                Some(work) => {
                    if work > f64::from(self.present()) {
                        self.overloaded.push(second);
                    }
                    self.work.push(work);
                    let samples = self.work.iter().rev().take(12).rev();
                    let sample = |decode: &f64| PhaseDemand {
                        prefill: 0.0,
                        decode: *decode,
                    };
                    Demand::Sampled(samples.map(sample).collect())
                }
            };
            self.step(&demand);
        }
    }

    fn step(&mut self, demand: &Demand) {
        let now = self.start + SECOND * self.second as u32;
        let targets: Vec<ZoneTargets> = (0..)
            .zip(&self.zones)
            .map(|(i, zone)| ZoneTargets {
                zone: format!("zone-{i}"),
                present: zone.present,
                leaving: 0,
                order: zone.order,
            })
            .collect();
        let load = ServiceLoad {
            scaling: &self.scaling,
            drain_time: DRAIN,
            demand,
            reporters: 3,
        };
        for order in self.count.plan(now, load, &targets) {
            let i = targets
                .iter()
                .position(|zone| zone.zone == order.zone)
                .unwrap();
            self.check(now, &targets[i], &order);
            let zone = &mut self.zones[i];
            let is_repeat = order.desired == order.previous;
            let last = zone.order.filter(|_| is_repeat);
            zone.order = Some(StandingOrder {
                desired: order.desired,
                is_lowering: last.map_or(order.desired < order.previous, |last| last.is_lowering),
                changed_at: last.map_or(now, |last| last.changed_at),
                ordered_at: now,
            });
            zone.present = zone.present.min(order.desired);
            let wanted = (order.desired - zone.present) as usize;
            zone.starts.truncate(wanted);
            if let Some(boot_s) = zone.boot_s {
                zone.starts.resize(wanted, self.second + boot_s);
            }
            self.orders.push((self.second, order));
        }
    }

    /// Asserts the rules for all orders: bounds, no reversal unless callers are refused, no repetition unless starts fail.
    fn check(&self, now: Instant, targets: &ZoneTargets, order: &ServerOrder) {
        let bounds = self.scaling.min..=self.scaling.max;
        assert!(bounds.contains(&order.desired), "{order:?}");
        let is_repeat = order.desired == order.previous;
        assert_eq!(
            is_repeat,
            matches!(order.reason, OrderReason::FailedStart(_)),
            "{order:?}"
        );
        if let Some(last) = targets.order {
            let is_reversal = !is_repeat && last.is_lowering != (order.desired < order.previous);
            let is_refusing = matches!(order.reason, OrderReason::Refusals(_));
            let is_early = now - last.ordered_at < BOOT + DRAIN;
            assert!(
                !(is_reversal && is_early && !is_refusing),
                "{order:?} after {last:?}"
            );
        }
    }

    fn desired(&self) -> Vec<u32> {
        let zones = self.zones.iter();
        zones
            .map(|zone| zone.order.map_or(zone.present, |order| order.desired))
            .collect()
    }
}

/// Work that rises and falls once in 20 minutes. Too few engines on the rise refuse callers, swings waste starts, and engines
/// that stay after the peak are billed.
#[test]
fn plan_daily_wave() {
    let mut sim = Simulation::new(&[2, 2, 2], 1, 10);
    let wave = |second: u64| {
        let angle = second as f64 / 1200.0 * std::f64::consts::TAU;
        2.0 + 5.0 * (1.0 - angle.cos())
    };
    let mut billed = 0;
    for _ in 0..2400 {
        sim.run(1, |second| Some(wave(second)));
        billed += sim.present();
    }
    assert_eq!(sim.overloaded, Vec::<u64>::new());
    let lowering: Vec<bool> = sim
        .orders
        .iter()
        .map(|(_, order)| order.desired < order.previous)
        .collect();
    let turns = lowering
        .windows(2)
        .filter(|pair| pair[0] != pair[1])
        .count();
    assert!(turns <= 4, "{turns} turns in two days: {:?}", sim.orders);
    let at_peak = 2400 * (12.0f64 / 0.6).ceil() as u32;
    assert!(
        billed < at_peak * 4 / 5,
        "billed {billed} of {at_peak} engine seconds"
    );
}

/// A kind of prompts doubles at once: the engines must be ordered at once, and not twice as many as are needed.
#[test]
fn plan_doubled_kind() {
    let mut sim = Simulation::new(&[4, 4], 1, 12);
    sim.run(60, |_| Some(4.5));
    assert_eq!(sim.orders, []);
    sim.run(BOOT.as_secs() + 5, |_| Some(9.0));
    assert_eq!(sim.present(), 15, "{:?}", sim.orders);
    assert_eq!(sim.orders.len(), 2, "{:?}", sim.orders);
    sim.run(200, |_| Some(9.0));
    assert_eq!(sim.orders.len(), 2, "{:?}", sim.orders);
}

/// A zone loses all its targets, and starts there fail. The other zone must take over before callers are refused for long, and
/// must not be reduced while the targets are away.
#[test]
fn plan_lost_zone() {
    let mut sim = Simulation::new(&[5, 5], 1, 12);
    sim.run(100, |_| Some(5.7));
    assert_eq!(sim.orders, []);
    sim.zones[1].present = 0;
    sim.zones[1].boot_s = None;
    sim.run(BOOT.as_secs() + 5, |_| Some(5.7));
    assert_eq!(sim.zones[0].present, 10, "{:?}", sim.orders);
    sim.run(300, |_| Some(5.7));
    assert_eq!(sim.zones[0].present, 10, "{:?}", sim.orders);
    sim.zones[1].boot_s = Some(20);
    sim.run(300, |_| Some(5.7));
    assert_eq!(sim.present(), 10, "{:?}", sim.orders);
}

/// Starts that take longer than stated, but less than twice as long, must not be ordered again.
#[test]
fn plan_late_starts() {
    let mut sim = Simulation::new(&[4, 4], 1, 12);
    sim.run(60, |_| Some(4.5));
    for zone in &mut sim.zones {
        zone.boot_s = Some(38);
    }
    sim.run(100, |_| Some(9.0));
    assert_eq!(
        (sim.present(), sim.orders.len()),
        (15, 2),
        "{:?}",
        sim.orders
    );
}

/// Starts fail in one zone: its number is ordered again after twice the start time, and the other zone covers the work.
#[test]
fn plan_failed_starts() {
    let mut sim = Simulation::new(&[4, 4], 1, 12);
    sim.run(60, |_| Some(4.5));
    sim.zones[1].boot_s = None;
    let doubled_at = sim.second;
    sim.run(150, |_| Some(9.0));
    let anew = sim
        .orders
        .iter()
        .filter(|(_, order)| order.desired == order.previous);
    let anew: Vec<u64> = anew.map(|(second, _)| *second).collect();
    assert!(
        anew.len() >= 2 && anew[0] >= doubled_at + 40,
        "{:?}",
        sim.orders
    );
    assert!(
        anew.windows(2).all(|pair| pair[1] >= pair[0] + 40),
        "{anew:?}"
    );
    assert!(
        sim.desired()[1] <= 8 && sim.present() >= 12,
        "{:?}",
        sim.orders
    );
}

/// Work rises and falls again within one start time: the order stands until it could have taken effect.
#[test]
fn plan_two_shifts_within_start_time() {
    let mut sim = Simulation::new(&[4, 4], 1, 12);
    sim.run(60, |_| Some(4.5));
    sim.run(8, |_| Some(9.0));
    sim.run(40, |_| Some(4.5));
    assert_eq!(sim.orders.len(), 2, "{:?}", sim.orders);
    sim.run(60, |_| Some(4.5));
    assert_eq!(sim.desired().iter().sum::<u32>(), 8, "{:?}", sim.orders);
}

/// Work falls and then rises so that callers are refused: the lower number must not stand until the hold time is over.
#[test]
fn plan_reversal_for_refused_callers() {
    let mut sim = Simulation::new(&[8, 8], 1, 12);
    sim.run(80, |_| Some(1.0));
    assert_eq!(sim.present(), 2, "{:?}", sim.orders);
    let (lowered_at, _) = sim.orders[sim.orders.len() - 1];
    sim.run(BOOT.as_secs() + 5, |_| Some(6.0));
    assert!(
        sim.second < lowered_at + 60 && sim.present() == 10,
        "{:?}",
        sim.orders
    );
}

/// A new leader has no samples at first. It must keep the last number, whatever the demand has become.
#[test]
fn plan_new_leader_without_samples() {
    let mut sim = Simulation::new(&[4, 4], 1, 12);
    sim.run(60, |_| Some(4.5));
    sim.run(60, |_| Some(9.0));
    let orders = sim.orders.len();
    sim.count = ServerCount::default();
    sim.run(300, |_| None);
    assert_eq!(sim.orders.len(), orders, "{:?}", sim.orders);
    // The samples must cover the hold time before the number is lowered.
    sim.run(49, |_| Some(1.0));
    assert_eq!(sim.orders.len(), orders, "{:?}", sim.orders);
    sim.run(30, |_| Some(1.0));
    assert_eq!(sim.present(), 2, "{:?}", sim.orders);
}

/// A service whose demand is not measured keeps its targets, within the bounds of a new document.
#[test]
fn plan_unknown_demand() {
    let mut sim = Simulation::new(&[1, 4], 1, 4);
    sim.run(200, |_| None);
    assert_eq!(sim.orders, []);
    sim.scaling.min = 2;
    sim.run(30, |_| None);
    assert_eq!(sim.desired(), [2, 4]);
    sim.scaling.max = 3;
    sim.run(30, |_| None);
    assert_eq!(sim.desired(), [2, 3]);
}

/// Work that is too small to be sampled must not lead to zero engines: then no request runs that could raise the number.
#[test]
fn plan_idle_without_minimum() {
    let mut sim = Simulation::new(&[3, 3], 0, 8);
    for _ in 0..100 {
        sim.second += 1;
        sim.step(&Demand::Idle);
    }
    assert_eq!(sim.present(), 2, "{:?}", sim.orders);
}
