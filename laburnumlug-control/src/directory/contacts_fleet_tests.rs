//! Directories of a whole fleet, in simulated time.

use std::collections::BTreeSet;

use laburnumlug_mesh::{ControlMessage, Message};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::tests::{CHECK_STEP, addr, contact, voter};
use super::*;

/// Interval between the rounds of a process that searches for nothing, in steps.
const CALM_STEPS: u64 = 5;

/// Bound on the control traffic of a node: 24 KB a second.
const MAX_BYTES_PER_SECOND: usize = 24_000;

/// Control processes that ask each other, without loss and with answers at once.
struct SimulatedFleet {
    contacts: Vec<Contacts>,
    replicas: u16,
    is_up: bool,
    now: Instant,
    step: u64,
    /// Bytes that each process has sent and received.
    bytes: Vec<usize>,
    messages: Vec<usize>,
}

impl SimulatedFleet {
    /// Creates processes whose seeds form a random graph that is connected if directions are ignored.
    fn new(rng: &mut StdRng, count: u16, replicas: u16) -> SimulatedFleet {
        let now = Instant::now();
        let mut seeds = vec![BTreeSet::new(); usize::from(count)];
        for number in 1..count {
            let other = rng.random_range(0..number);
            let (from, to) = match rng.random() {
                true => (number, other),
                false => (other, number),
            };
            seeds[usize::from(from)].insert(to);
        }
        let create = |(number, seeds): (u16, BTreeSet<u16>)| {
            let own = contact(number, number < replicas);
            Contacts::new(now, own, seeds.into_iter().map(addr))
        };
        SimulatedFleet {
            contacts: (0..count).zip(seeds).map(create).collect(),
            replicas,
            is_up: true,
            now,
            step: 0,
            bytes: vec![0; usize::from(count)],
            messages: vec![0; usize::from(count)],
        }
    }

    fn answer(&mut self, from: u16, to: u16) -> DirectoryReport {
        let is_replica = to < self.replicas;
        let voters: Vec<ReplicaId> = (0..self.replicas).map(voter).collect();
        let sender = self.contacts[usize::from(from)].own();
        let contacts = &mut self.contacts[usize::from(to)];
        if is_replica && self.is_up {
            contacts.set_membership(7, &voters);
        }
        contacts.record_message(self.now, sender);
        let others = contacts.reported(self.now);
        let (membership, voters) = contacts.membership();
        DirectoryReport {
            own: contacts.own(),
            readiness: match is_replica && self.is_up {
                true => Readiness::Ready,
                false => Readiness::Unready,
            },
            membership,
            voters: voters.to_vec(),
            others,
        }
    }

    fn ask(&mut self, from: u16, to: u16) {
        let report = self.answer(from, to);
        let request = ControlMessage::FetchDirectory {
            sender: Some(contact(from, from < self.replicas)),
        };
        let mut buf = Vec::new();
        for message in [request, ControlMessage::Directory(report.clone())] {
            ciborium::into_writer(&Message::Control(message), &mut buf).unwrap();
        }
        for process in [from, to] {
            self.bytes[usize::from(process)] += buf.len();
            self.messages[usize::from(process)] += 2;
        }
        let contacts = &mut self.contacts[usize::from(from)];
        contacts.record_report(self.now, self.now, addr(to), &report);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            for number in 0..self.contacts.len() as u16 {
                let contacts = &mut self.contacts[usize::from(number)];
                let is_calm = !contacts.is_searching();
                if is_calm && !(self.step + u64::from(number)).is_multiple_of(CALM_STEPS) {
                    continue;
                }
                let needs_no_replica = number < self.replicas && self.is_up;
                for to in contacts.next_requests(self.now, needs_no_replica) {
                    let [a, b, c, d] = match to.ip() {
                        std::net::IpAddr::V4(ip) => ip.octets(),
                        std::net::IpAddr::V6(_) => unreachable!(),
                    };
                    assert_eq!([a, b], [10, 0]);
                    self.ask(number, u16::from_be_bytes([c, d]));
                }
            }
            self.now += CHECK_STEP;
            self.step += 1;
        }
    }

    /// Returns the number of processes without a replica that do not know one that is ready.
    fn searching(&self) -> usize {
        let others = self.contacts[usize::from(self.replicas)..].iter();
        others.filter(|contacts| contacts.is_searching()).count()
    }

    /// Returns the mean and the highest of these numbers a second, of the processes with and without a replica.
    fn per_second(&self, numbers: &[usize], time: Duration) -> [(usize, usize); 2] {
        let seconds = time.as_secs() as usize;
        let (replicas, others) = numbers.split_at(usize::from(self.replicas));
        [replicas, others].map(|numbers| {
            let mean = numbers.iter().sum::<usize>() / numbers.len() / seconds;
            (mean, numbers.iter().max().unwrap() / seconds)
        })
    }
}

/// Guards against processes that never find a replica although others know one, and against traffic that grows with their number.
#[test]
fn fleet_finds_replicas() {
    const TIME: Duration = Duration::from_secs(10);
    for (seed, count) in [(1, 25), (2, 25), (4, 250)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(&mut rng, count, 7);
        fleet.run(Duration::from_secs(5));
        assert_eq!(fleet.searching(), 0, "seed {seed}");
        fleet.run(TIME);
        for figures in [&mut fleet.bytes, &mut fleet.messages] {
            figures.fill(0);
        }
        fleet.run(TIME);
        let messages = fleet.per_second(&fleet.messages, TIME);
        let bytes = fleet.per_second(&fleet.bytes, TIME);
        println!(
            "{count} processes, seed {seed}: (mean, highest) of replicas and others: {messages:?} messages, {bytes:?} bytes a second"
        );
        let total: usize = fleet.bytes.iter().sum();
        let mean = total / usize::from(count) / TIME.as_secs() as usize;
        assert!(
            mean <= MAX_BYTES_PER_SECOND,
            "seed {seed}: {mean} bytes a second"
        );
        let [_, (_, highest)] = bytes;
        assert!(
            highest <= MAX_BYTES_PER_SECOND,
            "seed {seed}: {highest} bytes a second"
        );
        if count > 25 {
            continue; // thousands of requests a second would take minutes
        }
        // All replicas are unready for longer than the frequent rounds last, and return.
        fleet.is_up = false;
        fleet.run(SEARCH_TIME + Duration::from_secs(5));
        assert_eq!(fleet.searching(), usize::from(count - 7), "seed {seed}");
        fleet.is_up = true;
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.searching(), 0, "seed {seed}");
    }
}
