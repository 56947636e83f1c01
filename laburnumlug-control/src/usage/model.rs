//! Interleavings of gateways, replicas and the platform, driven through the code that decides.
//!
//! The model has gateways that count and report, replicas that collect, fix and report as leaders, a log that commits in
//! order, and a platform that records calls. Elections, freezes, partitions, lost and delayed messages and clock jumps are
//! drawn from a seed. Each rule has a test that takes away the step which protects it and shows that the model finds that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use laburnumlug::{CustomerCounts, FencingToken, UsageReport, WindowNumber};
use laburnumlug_policy::{
    CallPermit, ChangeNumber, DutyTurn, ReportResult, ReportSchedule, UsageMeter, window_at,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{UsageCollector, UsageConfig, UsageFix, UsageLedger};

const STEP: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_millis(3000);
/// Time after the sender was thawed within which calls that arrive are not judged.
const THAW_TIME: Duration = Duration::from_millis(300);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Time after an election in which its leader is not deposed by the next one.
const ELECTION_TIME: Duration = Duration::from_millis(800);
const WINDOW: Duration = Duration::from_millis(1000);
const CFG: UsageConfig = UsageConfig {
    window: WINDOW,
    late: Duration::from_millis(2000),
};
pub(super) const REPLICAS: usize = 3;
const GATEWAYS: usize = 3;
/// Unix time at the start of a run.
const UNIX: Duration = Duration::from_secs(1_767_225_600);

/// Step that protects a rule and that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Omission {
    None,
    /// Leaders report what they have collected, without fixing it in the log first.
    Fixing,
    /// The state machine replaces the counts of a window that is fixed already.
    FirstFixingWins,
    /// Fencing tokens count the turns of each holder instead of being the term.
    TermAsFence,
    /// Calls are made without asking a majority whether the sender still leads.
    Confirmation,
    /// A new leader makes calls at once.
    Handover,
    /// Calls are not abandoned after their permit has expired.
    Expiry,
    /// Collectors add up what gateways report.
    MaximumOfTotals,
    /// The time of requests comes from the clock of the first replica.
    MedianOfClocks,
}

#[derive(Clone, Debug)]
pub(super) struct Arrival {
    at: Duration,
    pub(super) holder: usize,
    fence: FencingToken,
    pub(super) window: WindowNumber,
    counts: CustomerCounts,
    /// Whether the sender was frozen or cut off until shortly before.
    is_excused: bool,
}

/// Call on its way to the platform.
#[derive(Clone, Debug)]
struct Call {
    permit: CallPermit,
    window: WindowNumber,
    counts: CustomerCounts,
    started_at: Duration,
    arrives_at: Duration,
}

struct ReplicaModel {
    collector: UsageCollector,
    turn: DutyTurn,
    schedule: ReportSchedule,
    /// Term in which the replica believes to lead.
    leads: Option<FencingToken>,
    turns: FencingToken,
    frozen_until: Duration,
    thawed_at: Duration,
    clock_jump: Duration,
    call: Option<Call>,
}

struct GatewayModel {
    meter: UsageMeter,
    acknowledged: [ChangeNumber; REPLICAS],
    /// Reports on their way, with the time of arrival and the replica.
    reports: Vec<(Duration, usize, UsageReport)>,
}

pub(super) struct Model {
    rng: StdRng,
    omission: Omission,
    start: Instant,
    now: Duration,
    term: FencingToken,
    leader: usize,
    elected_at: Duration,
    /// State of each replica, the same everywhere as long as all changes are logged.
    ledgers: Vec<UsageLedger>,
    replicas: Vec<ReplicaModel>,
    gateways: Vec<GatewayModel>,
    truth: BTreeMap<WindowNumber, CustomerCounts>,
    pub(super) arrivals: Vec<Arrival>,
}

impl UsageLedger {
    /// Replaces the counts of a window that is fixed, which the real state machine never does.
    fn replace(&mut self, fix: UsageFix) {
        self.acknowledge(fix.window);
        let mut other = UsageLedger::default();
        other.fix(fix);
        for window in self.pending().collect::<Vec<_>>() {
            let counts = self.pending_counts(window).cloned().unwrap_or_default();
            other.fix(UsageFix { window, counts });
        }
        *self = other;
    }
}

impl Model {
    pub(super) fn new(seed: u64, omission: Omission) -> Model {
        let start = Instant::now();
        let replica = || ReplicaModel {
            collector: UsageCollector::new(start, CFG),
            turn: DutyTurn::default(),
            schedule: ReportSchedule::default(),
            leads: None,
            turns: 0,
            frozen_until: Duration::ZERO,
            thawed_at: Duration::ZERO,
            clock_jump: Duration::ZERO,
            call: None,
        };
        let gateway = |sender| GatewayModel {
            meter: UsageMeter::new(sender, WINDOW),
            acknowledged: [0; REPLICAS],
            reports: Vec::new(),
        };
        Model {
            rng: StdRng::seed_from_u64(seed),
            omission,
            start,
            now: Duration::ZERO,
            term: 1,
            leader: 0,
            elected_at: Duration::ZERO,
            ledgers: vec![UsageLedger::default(); REPLICAS],
            replicas: (0..REPLICAS).map(|_| replica()).collect(),
            gateways: (0..GATEWAYS as u64).map(gateway).collect(),
            truth: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    pub(super) fn run(mut self) -> Model {
        self.replicas[0].leads = Some(1);
        while self.now < RUN_TIME {
            self.now += STEP;
            self.disturb();
            for gateway in 0..GATEWAYS {
                self.step_gateway(gateway);
            }
            for replica in 0..REPLICAS {
                if self.now >= self.replicas[replica].frozen_until {
                    self.step_replica(replica);
                }
            }
        }
        self
    }

    /// Freezes replicas, elects leaders and lets the clock of one replica jump.
    fn disturb(&mut self) {
        let replica = self.rng.random_range(0..REPLICAS);
        if self.rng.random_bool(0.01) {
            let time = Duration::from_millis(self.rng.random_range(100..7000));
            let frozen_until = self.now + time;
            self.replicas[replica].frozen_until = frozen_until;
            self.replicas[replica].thawed_at = frozen_until;
        }
        if self.rng.random_bool(0.02) {
            let jump = Duration::from_secs(self.rng.random_range(0..10_000));
            self.replicas[0].clock_jump = jump;
        }
        let is_leader_frozen = self.now < self.replicas[self.leader].frozen_until;
        let is_election = self
            .rng
            .random_bool(if is_leader_frozen { 0.1 } else { 0.005 });
        let is_candidate = self.now >= self.replicas[replica].frozen_until;
        if is_election && is_candidate && self.now >= self.elected_at + ELECTION_TIME {
            self.term += 1;
            self.leader = replica;
            self.elected_at = self.now;
            self.replicas[replica].leads = Some(self.term);
            self.replicas[replica].turns += 1;
        }
    }

    fn step_gateway(&mut self, index: usize) {
        let now = self.now;
        for _ in 0..self.rng.random_range(0..3) {
            let customer = ["a", "b"][self.rng.random_range(0..2)];
            let meter = &mut self.gateways[index].meter;
            meter.count(now, now, customer);
            let window = window_at(UNIX + now, WINDOW);
            let counts = self.truth.entry(window).or_default();
            *counts.entry(customer.to_string()).or_default() += 1;
        }
        for replica in 0..REPLICAS {
            if self.rng.random_bool(0.3) && now >= self.replicas[replica].frozen_until {
                self.poll(index, replica);
            }
        }
        let reports = std::mem::take(&mut self.gateways[index].reports);
        let (arrived, waiting) = reports.into_iter().partition(|(at, _, _)| *at <= now);
        self.gateways[index].reports = waiting;
        let arrived: Vec<(Duration, usize, UsageReport)> = arrived;
        for (_, replica, report) in arrived {
            self.deliver(replica, &report);
        }
    }

    /// Sends a report to a replica; the answer may be lost, and the report may arrive again later.
    fn poll(&mut self, gateway: usize, replica: usize) {
        let now = self.now;
        let (report, last_change) = {
            let gateway = &mut self.gateways[gateway];
            gateway.meter.report(now, gateway.acknowledged[replica])
        };
        self.deliver(replica, &report);
        let is_answered = self.rng.random_bool(0.8);
        if is_answered {
            let unix_time = UNIX + now + self.replicas[replica].clock_jump;
            let voters = match self.omission {
                Omission::MedianOfClocks => 1,
                _ => REPLICAS,
            };
            let is_used = self.omission != Omission::MedianOfClocks || replica == 0;
            let gateway = &mut self.gateways[gateway];
            if is_used {
                gateway
                    .meter
                    .record_clock(replica, now, now, unix_time, voters);
            }
            gateway.acknowledged[replica] = last_change;
        } else {
            let delay = Duration::from_millis(self.rng.random_range(50..2000));
            self.gateways[gateway]
                .reports
                .push((now + delay, replica, report));
        }
    }

    fn deliver(&mut self, replica: usize, report: &UsageReport) {
        let now = self.instant();
        let ledger = &self.ledgers[replica];
        let mut report = report.clone();
        if self.omission == Omission::MaximumOfTotals {
            // Each report counts as that of another gateway, so that the collector adds them up.
            report.sender = self.rng.random_range(1000..u64::MAX);
        }
        let collector = &mut self.replicas[replica].collector;
        collector.merge(now, &report, |window| ledger.is_fixed(window));
    }

    fn step_replica(&mut self, index: usize) {
        let now = self.instant();
        self.end_call(index);
        if self.replicas[index]
            .leads
            .is_some_and(|term| term < self.term)
            && self.rng.random_bool(0.2)
        {
            // The replica receives the newer term.
            self.replicas[index].leads = None;
        }
        let replica = &mut self.replicas[index];
        let leads = replica.leads;
        replica.turn.observe(now, leads);
        let Some(term) = leads else {
            return;
        };
        let ledger = &self.ledgers[index];
        let fix = replica.collector.due(now, |window| ledger.is_fixed(window));
        if let Some(fix) = fix {
            self.fix(index, term, fix);
        }
        self.begin_call(index, term);
    }

    /// Fixes a window, as far as the log lets the replica: only entries of the newest term are committed.
    fn fix(&mut self, index: usize, term: FencingToken, fix: UsageFix) {
        match self.omission {
            Omission::Fixing => {
                self.ledgers[index].fix(fix);
            }
            Omission::FirstFixingWins => {
                let fixed: Vec<WindowNumber> = self.ledgers[index].pending().collect();
                for window in fixed {
                    let counts = self.replicas[index].collector.sum(window);
                    for ledger in &mut self.ledgers {
                        ledger.replace(UsageFix {
                            window,
                            counts: counts.clone(),
                        });
                    }
                }
                self.log_fix(&fix);
            }
            _ if term == self.term => self.log_fix(&fix),
            _ => {}
        }
    }

    fn log_fix(&mut self, fix: &UsageFix) {
        for ledger in &mut self.ledgers {
            ledger.fix(fix.clone());
        }
    }

    fn begin_call(&mut self, index: usize, term: FencingToken) {
        let now = self.instant();
        let replica = &mut self.replicas[index];
        let is_acting = replica.turn.acting_term(now, LEASE) == Some(term);
        if replica.call.is_some() || !(is_acting || self.omission == Omission::Handover) {
            return;
        }
        let Some(window) = replica.schedule.next(now, self.ledgers[index].pending()) else {
            return;
        };
        // A majority answers that this replica leads only in the newest term.
        let is_confirmed = term == self.term || self.omission == Omission::Confirmation;
        let Some(counts) = self.ledgers[index].pending_counts(window).cloned() else {
            return;
        };
        if is_confirmed {
            let fence = match self.omission {
                Omission::TermAsFence => self.replicas[index].turns + 1,
                _ => term,
            };
            self.start_call(index, CallPermit::new(fence, self.now), window, counts);
        }
    }

    fn start_call(
        &mut self,
        index: usize,
        permit: CallPermit,
        window: WindowNumber,
        counts: CustomerCounts,
    ) {
        let delay = match self.rng.random_bool(0.2) {
            true => self.rng.random_range(0..6000),
            false => self.rng.random_range(0..100),
        };
        let started_at = self.now;
        self.replicas[index].call = Some(Call {
            permit,
            window,
            counts,
            started_at,
            arrives_at: started_at + Duration::from_millis(delay),
        });
    }

    /// Ends a call that has arrived or whose permit has expired; the platform may accept it, refuse it or stay silent.
    fn end_call(&mut self, index: usize) {
        let Some(call) = self.replicas[index].call.take() else {
            return;
        };
        let now = self.instant();
        let is_expired =
            call.permit.time_left(self.now).is_zero() && self.omission != Omission::Expiry;
        let result = match call.arrives_at <= self.now {
            _ if is_expired => ReportResult::Unknown,
            false => {
                self.replicas[index].call = Some(call);
                return;
            }
            true => self.arrive(index, &call),
        };
        let replica = &mut self.replicas[index];
        let started_at = self.start + call.started_at;
        replica
            .schedule
            .record(started_at, now, call.window, result);
        let is_logged = replica.leads == Some(self.term) && self.rng.random_bool(0.8);
        if result == ReportResult::Accepted && is_logged {
            for ledger in &mut self.ledgers {
                ledger.acknowledge(call.window);
            }
        }
    }

    fn arrive(&mut self, index: usize, call: &Call) -> ReportResult {
        let thawed_at = self.replicas[index].thawed_at;
        let is_excused =
            thawed_at <= self.now && self.now < thawed_at + THAW_TIME && thawed_at > Duration::ZERO;
        self.arrivals.push(Arrival {
            at: self.now,
            holder: index,
            fence: call.permit.fence,
            window: call.window,
            counts: call.counts.clone(),
            is_excused,
        });
        match self.rng.random_bool(0.7) {
            true => ReportResult::Accepted,
            false => ReportResult::Unknown,
        }
    }

    /// Returns the rules that the calls have broken.
    pub(super) fn violations(&self) -> BTreeSet<&'static str> {
        let mut broken = BTreeSet::new();
        let mut reports: BTreeMap<WindowNumber, &CustomerCounts> = BTreeMap::new();
        for arrival in &self.arrivals {
            let first = reports.entry(arrival.window).or_insert(&arrival.counts);
            if **first != arrival.counts {
                broken.insert("two reports of one window");
            }
            let truth = self.truth.get(&arrival.window);
            for (customer, requests) in &arrival.counts {
                let counted = truth.and_then(|truth| truth.get(customer));
                if counted.is_none_or(|counted| requests > counted) {
                    broken.insert("a request counted twice or in another window");
                }
            }
        }
        let judged: Vec<&Arrival> = self.arrivals.iter().filter(|a| !a.is_excused).collect();
        for (i, later) in judged.iter().enumerate() {
            for earlier in &judged[..i] {
                if earlier.fence == later.fence && earlier.holder != later.holder {
                    broken.insert("two holders with one token");
                }
                if earlier.fence > later.fence {
                    broken.insert("a lower token after a higher one");
                }
                let has_other = judged[..i]
                    .iter()
                    .any(|between| between.at >= earlier.at && between.holder != later.holder);
                if earlier.holder == later.holder && has_other && later.at - earlier.at < LEASE {
                    broken.insert("holders A, B, A within the lease");
                }
            }
        }
        broken
    }
}
