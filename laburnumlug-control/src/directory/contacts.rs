//! Control processes that this one knows, and which of them it asks next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug_mesh::{ControlContact, DirectoryReport, Readiness, ReplicaId, ReportedContact};

use super::status::{DirectoryStatus, SeedStatus};

/// Time after the last message of a process, received by anyone, at which it is forgotten.
const CONTACT_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of processes that are kept, beside seeds and voters.
const MAX_CONTACTS: usize = 512;

/// Maximum number of other processes in one report.
const MAX_REPORTED: usize = 12;

/// Maximum number of replicas in a referral.
const MAX_REFERRED: usize = 16;

/// Maximum number of processes that are asked at once.
const MAX_REQUESTS: usize = 8;

/// Maximum number of replicas among them that are asked before any other process.
const MAX_REPLICA_REQUESTS: usize = 4;

/// Maximum number of processes that are asked at once because nobody has received a message of them.
const MAX_UNCONFIRMED_REQUESTS: usize = 4;

/// Interval between requests to a replica while one that is ready is known.
const REPLICA_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between requests to any process, which connect those that know no replica.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between requests to processes of which nobody has received a message, such as a seed that itself knows nobody.
const UNCONFIRMED_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer of a replica that is ready after which all known processes are asked.
const READY_TIMEOUT: Duration = Duration::from_secs(7);

/// Interval between rounds of requests in the first [`SEARCH_TIME`] without a replica that is ready.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between these rounds later on.
const LONG_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Duration of the frequent rounds of requests.
const SEARCH_TIME: Duration = Duration::from_secs(15);

/// What is known of the process at one address.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// The process, unless it is only named by the settings or by the membership.
    contact: Option<ControlContact>,
    /// When any process last received a message of it.
    last_message_at: Option<Instant>,
    asked_at: Option<Instant>,
    /// When this process last received a message of it.
    received_at: Option<Instant>,
}

/// Control processes that this one knows, by mesh address.
pub(crate) struct Contacts {
    own: ControlContact,
    seeds: BTreeSet<SocketAddr>,
    entries: BTreeMap<SocketAddr, Entry>,
    membership: u64,
    voters: Vec<ReplicaId>,
    /// When a replica that is ready has answered last, or when the search for one began.
    ready_replica_seen_at: Instant,
    /// Address of that replica, if there was one.
    last_ready: Option<SocketAddr>,
    search_began_at: Option<Instant>,
    asked_replica_at: Option<Instant>,
    gossiped_at: Option<Instant>,
    asked_unconfirmed_at: Option<Instant>,
    /// Address after which the next report continues, so that successive reports name all processes.
    reported_through: Option<SocketAddr>,
}

impl Contacts {
    pub(crate) fn new<S>(now: Instant, own: ControlContact, seeds: S) -> Contacts
    where
        S: IntoIterator<Item = SocketAddr>,
    {
        let mut contacts = Contacts {
            own,
            seeds: BTreeSet::new(),
            entries: BTreeMap::new(),
            membership: 0,
            voters: Vec::new(),
            ready_replica_seen_at: now,
            last_ready: None,
            search_began_at: Some(now),
            asked_replica_at: None,
            gossiped_at: None,
            asked_unconfirmed_at: None,
            reported_through: None,
        };
        contacts.set_seeds(seeds);
        contacts
    }

    /// Replaces the seeds; what was learned from the former ones is kept.
    pub(crate) fn set_seeds<S>(&mut self, seeds: S)
    where
        S: IntoIterator<Item = SocketAddr>,
    {
        let own = self.own.mesh;
        self.seeds = seeds.into_iter().filter(|addr| *addr != own).collect();
        for seed in &self.seeds {
            self.entries.entry(*seed).or_default();
        }
    }

    pub(crate) fn own(&self) -> ControlContact {
        self.own
    }

    /// Records a message of another control process.
    pub(crate) fn record_message(&mut self, now: Instant, contact: ControlContact) {
        self.merge(now, contact);
        self.record_receipt(now, contact.mesh);
        self.evict(now);
    }

    fn record_receipt(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&addr) {
            entry.received_at = Some(now);
        }
    }

    /// Records the answer of the process at `addr` to a request that was sent at `sent_at`.
    ///
    /// Ages in the answer count from then: a later time would make the others look more recent with each report that passes them
    /// on, or after this process was paused.
    ///
    /// Voters of an older membership are ignored, unless a replica that is ready names them: a newer membership may have been
    /// logged without ever being committed.
    pub(crate) fn record_report(
        &mut self,
        now: Instant,
        sent_at: Instant,
        addr: SocketAddr,
        report: &DirectoryReport,
    ) {
        let own = ControlContact {
            mesh: addr,
            ..report.own
        };
        self.merge(sent_at, own);
        self.record_receipt(now, addr);
        for other in &report.others {
            let age = Duration::from_millis(other.age_ms);
            if let Some(last_message_at) = sent_at.checked_sub(age)
                && age < CONTACT_LIFETIME
            {
                self.merge(last_message_at, other.contact);
            }
        }
        let is_ready = report.readiness == Readiness::Ready;
        if is_ready {
            self.ready_replica_seen_at = self.ready_replica_seen_at.max(sent_at);
            self.last_ready = Some(addr);
            self.search_began_at = None;
        }
        if report.membership > self.membership || is_ready {
            self.set_membership(report.membership, &report.voters);
        }
        self.evict(now);
    }

    /// Sets the newest membership that is known.
    pub(crate) fn set_membership(&mut self, membership: u64, voters: &[ReplicaId]) {
        self.membership = membership;
        self.voters = voters.to_vec();
        for addr in self.voter_addrs() {
            self.entries.entry(addr).or_default();
        }
    }

    fn merge(&mut self, last_message_at: Instant, contact: ControlContact) {
        if contact.mesh == self.own.mesh {
            return;
        }
        let entry = self.entries.entry(contact.mesh).or_default();
        if entry
            .last_message_at
            .is_none_or(|known| known < last_message_at)
        {
            entry.contact = Some(contact);
            entry.last_message_at = Some(last_message_at);
        }
    }

    /// Removes the processes that have sent no message for long, and the oldest ones beyond [`MAX_CONTACTS`].
    fn evict(&mut self, now: Instant) {
        let mut kept: BTreeSet<SocketAddr> = self.seeds.clone();
        kept.extend(self.voter_addrs());
        let is_recent = |entry: &Entry| {
            entry
                .last_message_at
                .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LIFETIME)
        };
        self.entries
            .retain(|addr, entry| kept.contains(addr) || is_recent(entry));
        while self.entries.len() > MAX_CONTACTS + kept.len() {
            let others = self.entries.iter().filter(|(addr, _)| !kept.contains(addr));
            let Some((oldest, _)) = others.min_by_key(|(_, entry)| entry.last_message_at) else {
                return;
            };
            let oldest = *oldest;
            self.entries.remove(&oldest);
        }
    }

    fn voter_addrs(&self) -> Vec<SocketAddr> {
        let own = self.own.mesh;
        let addrs = self
            .voters
            .iter()
            .filter_map(|voter| voter.name.parse().ok());
        addrs.filter(|addr| *addr != own).collect()
    }

    /// Returns the mesh addresses of the replicas that are known, voters first.
    ///
    /// A process that has stated to hold no replica is not among them, even if the membership names its address.
    pub(crate) fn replicas(&self) -> Vec<SocketAddr> {
        let mut replicas = self.voter_addrs();
        replicas.retain(|addr| !self.holds_no_replica(*addr));
        let others = self.entries.iter().filter_map(|(addr, entry)| {
            let holds_replica = entry.contact.is_some_and(|c| c.holds_replica);
            (holds_replica && !replicas.contains(addr)).then_some(*addr)
        });
        let others: Vec<SocketAddr> = others.collect();
        replicas.extend(others);
        replicas
    }

    /// Returns the replicas to which other processes are referred: the voters while a replica that is ready names them, or else
    /// all that are known.
    pub(crate) fn referral(&self) -> Vec<SocketAddr> {
        let mut replicas = self.replicas();
        match self.is_searching() {
            true => replicas.truncate(MAX_REFERRED),
            false => replicas.truncate(self.voters.len().max(1)),
        }
        replicas
    }

    /// Returns whether the process at `addr` has stated that it holds no replica.
    pub(crate) fn holds_no_replica(&self, addr: SocketAddr) -> bool {
        let entry = self.entries.get(&addr);
        entry
            .and_then(|entry| entry.contact)
            .is_some_and(|contact| !contact.holds_replica)
    }

    /// Returns the replica that was ready when it last answered, if it is the last one that did.
    pub(crate) fn last_ready(&self) -> Option<SocketAddr> {
        self.last_ready
    }

    /// Returns the addresses of all processes that are known, replicas first.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        let mut all = self.replicas();
        let others = self.entries.keys().filter(|addr| !all.contains(addr));
        let others: Vec<SocketAddr> = others.copied().collect();
        all.extend(others);
        all
    }

    /// Returns the time since a replica that was ready last answered, or since the start.
    pub(crate) fn time_without_replica(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ready_replica_seen_at)
    }

    /// Returns whether all processes are asked for a replica that is ready.
    pub(crate) fn is_searching(&self) -> bool {
        self.search_began_at.is_some()
    }

    /// Returns the processes to ask now. `needs_no_replica` tells that this process needs no replica, as it holds one that is ready.
    pub(crate) fn next_requests(
        &mut self,
        now: Instant,
        needs_no_replica: bool,
    ) -> Vec<SocketAddr> {
        if needs_no_replica {
            self.ready_replica_seen_at = now;
            self.search_began_at = None;
        }
        if self.time_without_replica(now) >= READY_TIMEOUT {
            self.search_began_at.get_or_insert(now);
        }
        let is_due = |asked_at: Option<Instant>, interval: Duration| {
            asked_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
        };
        let mut requests = Vec::new();
        if let Some(began_at) = self.search_began_at {
            let interval = match now.saturating_duration_since(began_at) < SEARCH_TIME {
                true => SEARCH_INTERVAL,
                false => LONG_SEARCH_INTERVAL,
            };
            if is_due(self.gossiped_at, interval) {
                self.gossiped_at = Some(now);
                // Replicas have a share, so that hundreds of other processes do not delay the first answer of one that is ready.
                requests = self.least_recently_asked(self.replicas(), MAX_REPLICA_REQUESTS);
                let mut others = self.all();
                others.retain(|addr| !requests.contains(addr));
                let count = MAX_REQUESTS - requests.len();
                requests.extend(self.least_recently_asked(others, count));
            }
        } else {
            if !needs_no_replica && is_due(self.asked_replica_at, REPLICA_INTERVAL) {
                self.asked_replica_at = Some(now);
                requests = self.least_recently_asked(self.replicas(), 1);
            }
            if is_due(self.gossiped_at, GOSSIP_INTERVAL) {
                self.gossiped_at = Some(now);
                requests.extend(self.least_recently_asked(self.all(), 1));
            }
            if is_due(self.asked_unconfirmed_at, UNCONFIRMED_INTERVAL) {
                self.asked_unconfirmed_at = Some(now);
                requests.extend(
                    self.least_recently_asked(self.unconfirmed(), MAX_UNCONFIRMED_REQUESTS),
                );
            }
        }
        requests.sort_unstable();
        requests.dedup();
        for addr in &requests {
            self.entries.entry(*addr).or_default().asked_at = Some(now);
        }
        requests
    }

    /// Returns the addresses that only the settings or the membership name.
    fn unconfirmed(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        let unconfirmed = entries.filter(|(_, entry)| entry.contact.is_none());
        unconfirmed.map(|(addr, _)| *addr).collect()
    }

    /// Returns the addresses that were asked least recently, first those after the own address, so that not all processes ask the
    /// same one at once.
    fn least_recently_asked(&self, mut addrs: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        addrs.sort_by_key(|addr| {
            let asked_at = self.entries.get(addr).and_then(|entry| entry.asked_at);
            (asked_at, *addr < self.own.mesh, *addr)
        });
        addrs.truncate(count);
        addrs
    }

    /// Returns what is known of other processes, in numbers, and of each seed.
    pub(crate) fn status(&self, now: Instant) -> DirectoryStatus {
        let is_direct = |entry: &&Entry| entry.received_at.is_some();
        let is_reported = |entry: &&Entry| entry.received_at.is_none() && entry.contact.is_some();
        let seeds = self.seeds.iter().map(|addr| {
            let entry = self.entries.get(addr).copied().unwrap_or_default();
            SeedStatus {
                addr: *addr,
                silent_for: entry
                    .received_at
                    .map(|at| now.saturating_duration_since(at)),
                holds_replica: entry.contact.map(|contact| contact.holds_replica),
            }
        });
        DirectoryStatus {
            replicas: self.replicas().len(),
            direct: self.entries.values().filter(is_direct).count(),
            reported: self.entries.values().filter(is_reported).count(),
            membership: self.membership,
            time_without_replica: self.time_without_replica(now),
            seeds: seeds.collect(),
        }
    }

    /// Returns the voters of the newest membership that is known, and its index.
    pub(crate) fn membership(&self) -> (u64, &[ReplicaId]) {
        (self.membership, &self.voters)
    }

    /// Returns other processes for a report: replicas first, then the others in turn.
    pub(crate) fn reported(&mut self, now: Instant) -> Vec<ReportedContact> {
        let known = |(_, entry): (&SocketAddr, &Entry)| {
            let age = now.saturating_duration_since(entry.last_message_at?);
            let age_ms = age.as_millis() as u64 + 1; // rounded up, so that the age never decreases on the way
            let contact = entry.contact?;
            Some(ReportedContact { contact, age_ms })
        };
        let after = self.reported_through;
        let (later, earlier): (Vec<_>, Vec<_>) = self
            .entries
            .iter()
            .filter_map(known)
            .partition(|reported| Some(reported.contact.mesh) > after);
        let mut reported: Vec<ReportedContact> = later.into_iter().chain(earlier).collect();
        reported.sort_by_key(|reported| !reported.contact.holds_replica);
        reported.truncate(MAX_REPORTED);
        self.reported_through = reported.last().map(|reported| reported.contact.mesh);
        reported
    }
}

#[cfg(test)]
#[path = "contacts_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "contacts_fleet_tests.rs"]
mod fleet_tests;
