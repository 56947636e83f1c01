//! Addresses of the control processes that are polled, and which of them hold replicas.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without an answer after which a process is no longer polled, unless the settings name it or it is a voter.
const MAX_SILENCE: Duration = Duration::from_secs(60);

/// Maximum number of polled processes that are neither named by the settings nor voters.
const MAX_LEARNED: usize = 64;

/// Maximum number of replicas that one gateway reports to another.
const MAX_REPORTED: usize = 16;

/// Time after the last answer for which the number of a process is not assigned to another one; what was recorded under it,
/// such as samples of its clock, is discarded earlier.
const NUMBER_LIFETIME: Duration = Duration::from_secs(600);

/// Age of the last answer up to which a replica is preferred to those that do not answer.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);

/// A process to poll, and the number under which its answers are recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Poll {
    pub(super) number: usize,
    pub(super) addr: SocketAddr,
}

/// Control process at one address.
#[derive(Clone, Copy, Debug)]
struct Process {
    addr: SocketAddr,
    /// When it was added or has last answered.
    heard_at: Instant,
    /// Whether its last answer was that of a replica; `None` before the first answer.
    holds_replica: Option<bool>,
    is_polled: bool,
    /// Whether the latest attempt to connect or the latest exchange has failed.
    has_failed: bool,
}

impl Process {
    /// Returns whether the process has recently answered as a replica.
    fn has_answered(&self, now: Instant) -> bool {
        self.holds_replica == Some(true)
            && now.saturating_duration_since(self.heard_at) <= MAX_ANSWER_AGE
    }
}

/// Control processes that the settings, replicas, referrals or other gateways name. Time is an argument of each decision.
#[derive(Debug, Default)]
pub(super) struct ControlAddrs {
    /// Addresses in the settings, nearest first.
    seeds: Vec<SocketAddr>,
    /// Index of the newest membership that a replica has reported.
    membership: u64,
    /// Addresses of its voters.
    voters: Vec<SocketAddr>,
    /// Processes by their numbers, including those that are no longer polled.
    processes: Vec<Process>,
}

impl ControlAddrs {
    /// Replaces the addresses of the settings, and returns the processes that are to be polled from now on.
    pub(super) fn set_seeds(&mut self, now: Instant, seeds: &[SocketAddr]) -> Vec<Poll> {
        self.seeds = seeds.to_vec();
        self.add_all(now, seeds)
    }

    /// Records the voters of a membership, and returns the processes that are to be polled from now on.
    ///
    /// Voters of an older membership are polled too, as a newer one may have been logged without being committed.
    pub(super) fn record_voters(
        &mut self,
        now: Instant,
        membership: u64,
        voters: &[SocketAddr],
    ) -> Vec<Poll> {
        if membership >= self.membership {
            self.membership = membership;
            self.voters = voters.to_vec();
        }
        self.add_all(now, voters)
    }

    /// Records that the process at `addr` holds no replica and named these, and returns the processes that are to be polled
    /// from now on.
    pub(super) fn record_referral(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        replicas: &[SocketAddr],
    ) -> Vec<Poll> {
        self.record(now, addr, false);
        self.add_all(now, replicas)
    }

    /// Records that another gateway named these replicas, and returns the processes that are to be polled from now on.
    pub(super) fn record_reported(&mut self, now: Instant, replicas: &[SocketAddr]) -> Vec<Poll> {
        let count = replicas.len().min(MAX_REPORTED);
        self.add_all(now, &replicas[..count])
    }

    /// Returns the replicas that have answered recently, at most as many as one gateway reports to another.
    pub(super) fn answering(&self, now: Instant) -> Vec<SocketAddr> {
        let polled = self.processes.iter().filter(|p| p.is_polled);
        let answering = polled.filter(|p| p.has_answered(now)).map(|p| p.addr);
        answering.take(MAX_REPORTED).collect()
    }

    /// Records an answer of the replica at `addr`.
    pub(super) fn record_answer(&mut self, now: Instant, addr: SocketAddr) {
        self.record(now, addr, true);
    }

    /// Records whether the process at `addr` was reached by the latest attempt to connect or exchange.
    pub(super) fn record_contact(&mut self, addr: SocketAddr, is_reached: bool) {
        if let Some(process) = self.processes.iter_mut().find(|p| p.addr == addr) {
            process.has_failed = !is_reached;
        }
    }

    /// Returns whether the latest attempt to reach the process with this number has failed.
    pub(super) fn has_failed(&self, number: usize) -> bool {
        self.processes.get(number).is_some_and(|p| p.has_failed)
    }

    /// Returns whether a majority of the voters' processes can be reached; voters that were not asked yet count as reachable.
    ///
    /// Replicas that are not named by their addresses all stand in the settings.
    pub(super) fn reaches_majority(&self) -> bool {
        let voters = match self.voters.is_empty() {
            true => &self.seeds,
            false => &self.voters,
        };
        let has_failed = |addr: &&SocketAddr| {
            let mut processes = self.processes.iter();
            processes.any(|process| process.addr == **addr && process.has_failed)
        };
        let failed = voters.iter().filter(has_failed).count();
        voters.len() - failed > voters.len() / 2
    }

    /// Ends the polling of the process at `addr` if it is no longer needed, and returns whether it has ended.
    pub(super) fn end_if_unneeded(&mut self, now: Instant, addr: SocketAddr) -> bool {
        let is_needed = self.is_needed(now, addr);
        if let Some(process) = self.processes.iter_mut().find(|p| p.addr == addr)
            && !is_needed
        {
            process.is_polled = false;
            process.holds_replica = None;
        }
        !is_needed
    }

    /// Returns whether the process at `addr` is still to be polled.
    ///
    /// Processes that the settings name and voters always are. Another one may have ended for good, and one without a replica,
    /// such as a former seed, is of no use while a replica answers.
    pub(super) fn is_needed(&self, now: Instant, addr: SocketAddr) -> bool {
        let process = self.processes.iter().find(|p| p.addr == addr);
        match process {
            None => false,
            Some(_) if self.is_named(addr) => true,
            Some(process) if now.saturating_duration_since(process.heard_at) >= MAX_SILENCE => {
                false
            }
            Some(process) => {
                process.holds_replica != Some(false)
                    || !self.processes.iter().any(|p| p.has_answered(now))
            }
        }
    }

    /// Returns the addresses of the polled processes that may hold a replica, in the order in which they are tried: those that
    /// have answered recently first, `preferred` first among these, and further the settings' order.
    pub(super) fn replicas(&self, now: Instant, preferred: Option<SocketAddr>) -> Vec<SocketAddr> {
        let polled = self.processes.iter().filter(|p| p.is_polled);
        let mut replicas: Vec<&Process> =
            polled.filter(|p| p.holds_replica != Some(false)).collect();
        replicas.sort_by_key(|process| {
            let position = self.seeds.iter().position(|seed| *seed == process.addr);
            (
                !process.has_answered(now),
                preferred != Some(process.addr),
                position.unwrap_or(usize::MAX),
                !self.voters.contains(&process.addr),
            )
        });
        replicas.iter().map(|process| process.addr).collect()
    }

    fn record(&mut self, now: Instant, addr: SocketAddr, holds_replica: bool) {
        if let Some(process) = self.processes.iter_mut().find(|p| p.addr == addr) {
            process.heard_at = now;
            process.holds_replica = Some(holds_replica);
        }
    }

    fn is_named(&self, addr: SocketAddr) -> bool {
        self.seeds.contains(&addr) || self.voters.contains(&addr)
    }

    fn add_all(&mut self, now: Instant, addrs: &[SocketAddr]) -> Vec<Poll> {
        let added = addrs.iter().filter_map(|addr| self.add(now, *addr));
        added.collect()
    }

    /// Adds a process, unless it is already polled or there are too many.
    fn add(&mut self, now: Instant, addr: SocketAddr) -> Option<Poll> {
        let known = self.processes.iter().position(|p| p.addr == addr);
        if known.is_some_and(|number| self.processes[number].is_polled) {
            return None;
        }
        let learned = self.processes.iter().filter(|p| p.is_polled);
        let learned = learned.filter(|p| !self.is_named(p.addr)).count();
        if learned >= MAX_LEARNED && !self.is_named(addr) {
            return None;
        }
        let process = Process {
            addr,
            heard_at: now,
            holds_replica: None,
            is_polled: true,
            has_failed: false,
        };
        let is_free = |p: &Process| {
            !p.is_polled && now.saturating_duration_since(p.heard_at) >= NUMBER_LIFETIME
        };
        match known.or_else(|| self.processes.iter().position(is_free)) {
            Some(number) => {
                self.processes[number] = process;
                Some(Poll { number, addr })
            }
            None => {
                self.processes.push(process);
                let number = self.processes.len() - 1;
                Some(Poll { number, addr })
            }
        }
    }
}

#[cfg(test)]
#[path = "control_addrs_tests.rs"]
mod tests;
