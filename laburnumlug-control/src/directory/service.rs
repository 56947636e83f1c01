//! Requests to other control processes, and the state that their answers leave.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use laburnumlug_mesh::{
    Connection, ControlContact, ControlMessage, DirectoryReport, MeshKey, Message, Pool, Readiness,
    ReplicaId,
};

use super::bootstrap_grant::BootstrapGrant;
use super::contacts::Contacts;
use super::status::DirectoryStatus;

/// Timeout for connecting to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the answers of other processes are awaited before the next ones are asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for one exchange with another process. A connection that was already open gets half of it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks whether another process is to be asked, while no replica that is ready is known.
const SEARCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between these checks otherwise.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a replica that is ready after which this is logged, and the interval between these lines.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of replicas that a log line names.
const MAX_LOGGED_ADDRS: usize = 16;

/// Time without an answer after which a search asks all processes, beside the replicas that are known.
const SEARCH_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Time after a search that found no replica in which no other one is made.
const FAILED_SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of processes that one search asks.
const MAX_SEARCHED: usize = 64;

/// What a replica knows of its cluster by itself.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    /// How well the replica can answer operators.
    pub(crate) readiness: Readiness,
    /// Whether the replica is a voter.
    pub(crate) is_voter: bool,
    /// Index of the newest membership in its log.
    pub(crate) membership: u64,
    /// Voters of that membership.
    pub(crate) voters: Vec<ReplicaId>,
}

/// Directory of a control process: learns of others from the seeds and from everyone who asks, and tells them of each other.
pub struct DirectoryService {
    contacts: RefCell<Contacts>,
    grant: RefCell<BootstrapGrant>,
    search_failed_at: Cell<Option<Instant>>,
    pool: Pool,
}

impl DirectoryService {
    /// Creates the directory of the process `own`, which knows the mesh addresses `seeds` from its settings.
    ///
    /// `may_bootstrap` tells whether it may agree to the bootstrap of a cluster.
    pub fn new(
        own: ControlContact,
        seeds: Vec<SocketAddr>,
        key: MeshKey,
        may_bootstrap: bool,
    ) -> Rc<DirectoryService> {
        Rc::new(DirectoryService {
            contacts: RefCell::new(Contacts::new(Instant::now(), own, seeds)),
            grant: RefCell::new(BootstrapGrant::new(may_bootstrap)),
            search_failed_at: Cell::new(None),
            pool: Pool::new(key, CONNECT_TIMEOUT),
        })
    }

    /// Replaces the seeds; processes that are already known are kept.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.contacts.borrow_mut().set_seeds(seeds);
    }

    /// Asks other processes from time to time, until its task is cancelled, in a process without a replica.
    pub async fn run(self: Rc<Self>) {
        self.run_with(|| None).await;
    }

    /// Asks other processes from time to time; `replica_state` returns that of this process's replica, if there is one.
    pub(crate) async fn run_with<F>(self: Rc<Self>, replica_state: F)
    where
        F: Fn() -> Option<ReplicaState>,
    {
        let mut warn_after = WARNING_INTERVAL;
        loop {
            let state = replica_state();
            if let Some(state) = &state {
                self.adopt(state);
            }
            let needs_no_replica =
                state.is_some_and(|s| s.readiness == Readiness::Ready && s.is_voter);
            let now = Instant::now();
            let requests = self
                .contacts
                .borrow_mut()
                .next_requests(now, needs_no_replica);
            join_all(requests.iter().map(|addr| self.ask(*addr, ANSWER_TIMEOUT))).await;
            let missing_for = self.contacts.borrow().time_without_replica(now);
            match missing_for >= warn_after {
                true => {
                    self.warn_without_replica(now);
                    warn_after = missing_for + WARNING_INTERVAL;
                }
                false if missing_for < WARNING_INTERVAL => warn_after = WARNING_INTERVAL,
                false => {}
            }
            let interval = match self.contacts.borrow().is_searching() {
                true => SEARCH_CHECK_INTERVAL,
                false => CHECK_INTERVAL,
            };
            compio::time::sleep(interval).await;
        }
    }

    fn warn_without_replica(&self, now: Instant) {
        let contacts = self.contacts.borrow();
        let status = contacts.status(now);
        let seeds = status.seeds.iter().map(ToString::to_string);
        let mut replicas = contacts.replicas();
        replicas.truncate(MAX_LOGGED_ADDRS);
        let replicas = replicas.iter().map(ToString::to_string);
        log::warn!(
            seeds = seeds.collect::<Vec<String>>().join(", ").as_str(),
            replicas = replicas.collect::<Vec<String>>().join(", ").as_str(),
            direct = status.direct, reported = status.reported, membership = status.membership;
            "no control replica that can answer operators was found for {} s",
            status.time_without_replica.as_secs()
        );
    }

    /// Returns what this process knows of others.
    pub fn status(&self, now: Instant) -> DirectoryStatus {
        self.contacts.borrow().status(now)
    }

    /// Adopts the membership in the log of this process's replica.
    pub(crate) fn adopt(&self, replica_state: &ReplicaState) {
        let mut contacts = self.contacts.borrow_mut();
        let is_ready = replica_state.readiness == Readiness::Ready;
        if replica_state.membership > contacts.membership().0 || is_ready {
            contacts.set_membership(replica_state.membership, &replica_state.voters);
        }
    }

    /// Returns the mesh addresses of the replicas that are known, voters first.
    pub(crate) fn replicas(&self) -> Vec<SocketAddr> {
        self.contacts.borrow().replicas()
    }

    /// Returns the mesh addresses of the replicas to which other processes are referred.
    pub(crate) fn referral(&self) -> Vec<SocketAddr> {
        self.contacts.borrow().referral()
    }

    /// Returns whether the voters of a cluster are known.
    pub(crate) fn knows_cluster(&self) -> bool {
        self.contacts.borrow().membership().0 > 0
    }

    /// Returns whether the process at `addr` has stated that it holds no replica.
    pub(crate) fn holds_no_replica(&self, addr: SocketAddr) -> bool {
        self.contacts.borrow().holds_no_replica(addr)
    }

    /// Answers a process that asks which others this one knows.
    pub(crate) fn answer(
        &self,
        now: Instant,
        sender: Option<ControlContact>,
        replica_state: Option<ReplicaState>,
    ) -> DirectoryReport {
        if let Some(replica_state) = &replica_state {
            self.adopt(replica_state);
        }
        let mut contacts = self.contacts.borrow_mut();
        if let Some(sender) = sender {
            contacts.record_message(now, sender);
        }
        let others = contacts.reported(now);
        let (membership, voters) = contacts.membership();
        DirectoryReport {
            own: contacts.own(),
            readiness: replica_state
                .map_or(Readiness::Unready, |replica_state| replica_state.readiness),
            membership,
            voters: voters.to_vec(),
            others,
        }
    }

    /// Returns whether this process agrees that `candidate` bootstraps the cluster.
    pub(crate) fn grant_bootstrap(&self, candidate: SocketAddr) -> bool {
        let knows_cluster = self.knows_cluster();
        let mut grant = self.grant.borrow_mut();
        grant.request(candidate, knows_cluster)
    }

    /// Asks the process at `addr` which others it knows; returns `None` if it does not answer within `timeout`.
    ///
    /// The exchange goes on after the timeout, or if the returned future is dropped: its answer is recorded, and its connection
    /// stays open.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Option<DirectoryReport> {
        let (tx, rx) = oneshot::channel();
        let directory = self.clone();
        compio::runtime::spawn(async move {
            let _ = tx.send(directory.fetch_report(addr).await);
        })
        .detach();
        compio::time::timeout(timeout, rx).await.ok()?.ok()?
    }

    async fn fetch_report(&self, addr: SocketAddr) -> Option<DirectoryReport> {
        let sent_at = Instant::now();
        let sender = Some(self.contacts.borrow().own());
        let request = ControlMessage::FetchDirectory { sender };
        match self.request(addr, request, EXCHANGE_TIMEOUT).await? {
            (conn, ControlMessage::Directory(report)) => {
                // Connections to processes without a replica are not kept: there may be hundreds, each asked seldom.
                if report.own.holds_replica {
                    self.pool.put(addr, conn);
                }
                let mut contacts = self.contacts.borrow_mut();
                contacts.record_report(Instant::now(), sent_at, addr, &report);
                Some(report)
            }
            _ => None,
        }
    }

    /// Asks the process at `addr` to agree that this one bootstraps the cluster.
    pub(crate) async fn request_bootstrap(&self, addr: SocketAddr) -> bool {
        let candidate = self.contacts.borrow().own().mesh;
        let request = ControlMessage::RequestBootstrap { candidate };
        let answer = self.request(addr, request, EXCHANGE_TIMEOUT).await;
        matches!(
            answer,
            Some((_, ControlMessage::BootstrapGrant { granted: true }))
        )
    }

    async fn request(
        &self,
        addr: SocketAddr,
        request: ControlMessage,
        timeout: Duration,
    ) -> Option<(Connection, ControlMessage)> {
        let deadline = Instant::now() + timeout;
        let request = Message::Control(request);
        // Open connections may have gone silent without a reset.
        if let Some(conn) = self.pool.take_idle(addr) {
            match compio::time::timeout(timeout / 2, exchange(conn, &request)).await {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) | Err(_) => self.pool.close_idle(addr),
            }
        }
        let exchange = async {
            let conn = self.pool.connect(addr).await.ok()?;
            exchange(conn, &request).await
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        compio::time::timeout(time_left, exchange).await.ok()?
    }

    /// Returns a replica that states now that it is ready, or else one that has caught up; `None` if none does within `timeout`.
    ///
    /// Asks the replica that was ready last, then the others that are known, then all other processes that are known and those
    /// that their answers name. After a search that found none, the next one begins a little later.
    pub async fn find_replica(self: &Rc<Self>, timeout: Duration) -> Option<ControlContact> {
        let now = Instant::now();
        let has_failed = |at: Instant| now.saturating_duration_since(at) < FAILED_SEARCH_INTERVAL;
        if self.search_failed_at.get().is_some_and(has_failed) {
            return None;
        }
        let best = Cell::new(None);
        let _ = compio::time::timeout(timeout, self.search(timeout, &best)).await;
        match best.get() {
            Some((_, contact)) => Some(contact),
            None => {
                self.search_failed_at.set(Some(Instant::now()));
                None
            }
        }
    }

    /// Returns one of the known replicas whose readiness is now higher than `readiness`; `None` if there is none within
    /// `timeout`.
    pub async fn find_readier(
        self: &Rc<Self>,
        readiness: Readiness,
        timeout: Duration,
    ) -> Option<ControlContact> {
        let best = Cell::new(None);
        let searching = async {
            let replicas = self.replicas().into_iter().take(MAX_SEARCHED);
            let mut pending: FuturesUnordered<_> =
                replicas.map(|addr| self.ask(addr, timeout)).collect();
            while let Some(report) = pending.next().await {
                if keep_best(&best, report) == Some(Readiness::Ready) {
                    return;
                }
            }
        };
        let _ = compio::time::timeout(timeout, searching).await;
        let (found, contact) = best.get()?;
        (found > readiness).then_some(contact)
    }

    /// Sets `best` to the replica with the highest readiness among the answers, until one is ready or all have answered.
    async fn search(
        self: &Rc<Self>,
        timeout: Duration,
        best: &Cell<Option<(Readiness, ControlContact)>>,
    ) {
        let own = self.contacts.borrow().own().mesh;
        let mut asked = BTreeSet::from([own]);
        let mut pending = FuturesUnordered::new();
        let mut scope = SearchScope::LastReady;
        loop {
            let known = match scope {
                SearchScope::LastReady => Vec::from_iter(self.contacts.borrow().last_ready()),
                SearchScope::Replicas => self.contacts.borrow().replicas(),
                SearchScope::All => self.contacts.borrow().all(),
            };
            for addr in known {
                if asked.len() <= MAX_SEARCHED && asked.insert(addr) {
                    pending.push(self.ask(addr, timeout));
                }
            }
            match compio::time::timeout(SEARCH_HEDGE_DELAY, pending.next()).await {
                Ok(Some(report)) => {
                    if keep_best(best, report) == Some(Readiness::Ready) {
                        return;
                    }
                }
                Ok(None) | Err(_) => match scope {
                    SearchScope::LastReady => scope = SearchScope::Replicas,
                    // A replica that has caught up answers reads.
                    _ if best.get().is_some() => return,
                    SearchScope::Replicas => scope = SearchScope::All,
                    SearchScope::All if pending.is_empty() => return,
                    SearchScope::All => {}
                },
            }
        }
    }
}

/// Processes that a search asks.
#[derive(Clone, Copy)]
enum SearchScope {
    LastReady,
    Replicas,
    All,
}

/// Replaces `best` by the process that has answered if its readiness is higher; returns that of `best`.
fn keep_best(
    best: &Cell<Option<(Readiness, ControlContact)>>,
    report: Option<DirectoryReport>,
) -> Option<Readiness> {
    let known = best.get().map(|(readiness, _)| readiness);
    if let Some(report) = report.filter(|report| report.readiness > Readiness::Unready)
        && known < Some(report.readiness)
    {
        best.set(Some((report.readiness, report.own)));
    }
    best.get().map(|(readiness, _)| readiness)
}

async fn exchange(mut conn: Connection, request: &Message) -> Option<(Connection, ControlMessage)> {
    conn.send("", request).await.ok()?;
    match conn.recv().await {
        Ok((_, Message::Control(answer))) => Some((conn, answer)),
        _ => None,
    }
}
