//! A process's view of the fleet document, polled from the control replicas and confirmed against a majority of them.

mod contact;
mod control_addrs;
mod observer;
mod poll;
mod view;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{FleetVersion, QuorumConfirmation, ReadTime, VotingStatus};
use laburnumlug_mesh::TargetsReport;
use laburnumlug_operator::parse_document;
use laburnumlug_policy::ControlContact;

use self::control_addrs::{ControlAddrs, Poll};
pub(crate) use self::observer::FleetObserver;
use self::poll::{FleetAnswer, poll_replica};
pub(crate) use self::view::FleetView;
use crate::gateway_exchange::ControlReplicas;
use crate::settings::MeshSettings;

/// Interval between polls of one replica.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between polls of one replica, and between attempts to connect to it, until a document and the live targets are
/// known and the document is confirmed.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start in which the live targets and a confirmation are awaited; control replicas need not report targets, and
/// may lack a majority.
const MAX_TARGETS_WAIT: Duration = Duration::from_secs(5);

/// Minimum interval between polls of one replica.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of a window's counts of the whole fleet that one poll of a gateway reports, if all gateways count alike. A killed
/// gateway must take less than 1 in 100 of the counts with it; the other half of that is for gateways that count more than
/// others, for the time of an exchange and for answers that are outstanding.
const COUNTS_PER_POLL: u32 = 200;

/// Delay after which the document is also requested from another replica, in case the first one has stopped responding.
const FETCH_HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Interval between polls of a process without a replica while a majority confirms the view.
const REFERRAL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum age of a majority's confirmation of the view for accepting new work.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

/// Maximum age of the list of live targets before every replica is asked for a newer one.
const MAX_TARGETS_AGE: Duration = Duration::from_millis(1500);

struct WatchState {
    started_at: Instant,
    view: Option<FleetView>,
    /// Index of the latest control log change that `view` includes.
    applied_change: u64,
    confirmation: QuorumConfirmation<ReadTime>,
    /// Latest time at which a majority of the control replicas confirmed a view as the newest; never decreases.
    last_confirmed_at: Option<ReadTime>,
    /// Start of the pending document request to one replica; the other replicas are asked only for the version.
    fetching_since: Option<Instant>,
    /// Control processes that are polled.
    addrs: ControlAddrs,
    /// Contact of which the observer was last notified.
    contact: ControlContact,
    /// Digest of the latest list of live targets; a replica whose list has the same digest does not send it again.
    targets_digest: u64,
    targets_read_at: Option<Instant>,
    /// Number of gateways that were recently active, as last reported.
    gateways: usize,
    observer: Option<Rc<dyn FleetObserver>>,
}

impl WatchState {
    fn new(now: Instant, replicas: usize) -> WatchState {
        WatchState {
            started_at: now,
            view: None,
            applied_change: 0,
            confirmation: QuorumConfirmation::new(replicas),
            last_confirmed_at: None,
            fetching_since: None,
            addrs: ControlAddrs::default(),
            contact: ControlContact::default(),
            targets_digest: 0,
            targets_read_at: None,
            gateways: 1,
            observer: None,
        }
    }
}

impl WatchState {
    /// Returns whether a document may be requested: no request is pending, or the pending one exceeds the hedge delay.
    fn may_fetch_document(&self, now: Instant) -> bool {
        let has_passed = |since: Instant| now.saturating_duration_since(since) > FETCH_HEDGE_DELAY;
        self.fetching_since.is_none_or(has_passed)
    }

    /// Returns the version of the latest view, confirmed or not, or 0 if there is none.
    fn view_version(&self) -> FleetVersion {
        self.view.as_ref().map_or(0, |view| view.version)
    }

    /// Returns whether a majority has confirmed the view recently.
    fn is_confirmed(&self, now: Instant) -> bool {
        let is_recent =
            |at: ReadTime| now.saturating_duration_since(at.monotonic) <= MAX_CONFIRMATION_AGE;
        self.last_confirmed_at.is_some_and(is_recent)
    }

    /// Returns the interval between polls of one replica if no counts are reported.
    fn base_interval(&self, now: Instant) -> Duration {
        let is_starting = now.saturating_duration_since(self.started_at) < MAX_TARGETS_WAIT;
        let awaits_targets =
            is_starting && self.observer.is_some() && self.targets_read_at.is_none();
        let awaits_confirmation = is_starting && self.last_confirmed_at.is_none();
        match self.view {
            Some(_) if !awaits_targets && !awaits_confirmation => POLL_INTERVAL,
            _ => INITIAL_POLL_INTERVAL,
        }
    }

    /// Returns whether every replica is to be asked for the live targets, because no recent list is known.
    fn needs_targets(&self, now: Instant) -> bool {
        let is_stale = |at: Instant| now.saturating_duration_since(at) > MAX_TARGETS_AGE;
        self.observer.is_some() && self.targets_read_at.is_none_or(is_stale)
    }
}

/// Polls the control replicas for the fleet document and keeps the latest view of it.
#[derive(Clone)]
pub(crate) struct FleetWatch {
    state: Rc<RefCell<WatchState>>,
    mesh: MeshSettings,
}

impl FleetWatch {
    /// Starts one polling task for each control replica.
    pub(crate) fn start(mesh: &MeshSettings) -> FleetWatch {
        let state = WatchState::new(Instant::now(), mesh.control.len());
        let state = Rc::new(RefCell::new(state));
        let watch = FleetWatch {
            state,
            mesh: mesh.clone(),
        };
        watch.set_seeds(&mesh.control);
        watch
    }

    /// Starts like [`FleetWatch::start`], and also polls for live targets and notifies `observer` of all updates.
    pub(crate) fn start_with_observer(
        mesh: &MeshSettings,
        observer: Rc<dyn FleetObserver>,
    ) -> FleetWatch {
        let watch = FleetWatch::start(mesh);
        watch.state.borrow_mut().observer = Some(observer);
        watch
    }

    /// Replaces the addresses that the settings name, and starts polling the new ones.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        let added = self
            .state
            .borrow_mut()
            .addrs
            .set_seeds(Instant::now(), seeds);
        self.start_polls(added);
    }

    /// Records that the control process at `addr` holds no replica, and starts polling the ones that it named.
    pub(crate) fn record_referral(&self, addr: SocketAddr, replicas: &[SocketAddr]) {
        let now = Instant::now();
        let added = self
            .state
            .borrow_mut()
            .addrs
            .record_referral(now, addr, replicas);
        self.start_polls(added);
    }

    /// Returns the addresses of the control processes that may hold a replica, in the order in which they are tried.
    ///
    /// Those that have answered recently are first, `preferred` first among these.
    pub(crate) fn replicas(&self, now: Instant, preferred: Option<SocketAddr>) -> Vec<SocketAddr> {
        self.state.borrow().addrs.replicas(now, preferred)
    }

    fn start_polls(&self, polls: Vec<Poll>) {
        for poll in polls {
            compio::runtime::spawn(poll_replica(self.clone(), poll)).detach();
        }
    }

    /// Returns the interval between polls of one replica, or between attempts to connect to it.
    fn poll_interval(&self) -> Duration {
        let state = self.state.borrow();
        let interval = state.base_interval(Instant::now());
        let usage_window = state.observer.as_ref().and_then(|o| o.usage_window());
        match usage_window {
            Some(window) => interval.min(usage_interval(window, state.gateways)),
            None => interval,
        }
    }

    /// Records an answer of the replica at `addr`, and starts polling the voters that are named by their addresses.
    fn record_answer(&self, addr: SocketAddr, voting_status: &VotingStatus) {
        let now = Instant::now();
        let voters = voting_status.voters.iter();
        let voters: Vec<SocketAddr> = voters.filter_map(|voter| voter.name.parse().ok()).collect();
        let mut state = self.state.borrow_mut();
        state.addrs.record_answer(now, addr);
        let added = state
            .addrs
            .record_voters(now, voting_status.membership, &voters);
        drop(state);
        self.start_polls(added);
    }

    /// Returns whether the polling of a process ends, as it is no longer needed; removes its answers then.
    fn end_if_unneeded(&self, poll: Poll) -> bool {
        let mut state = self.state.borrow_mut();
        let ends = state.addrs.end_if_unneeded(Instant::now(), poll.addr);
        if ends {
            state.confirmation.remove_answer(poll.number);
            state.update_contact();
        }
        ends
    }

    /// Returns the view if a majority of the control replicas has confirmed it recently enough to act on it.
    pub(crate) fn current(&self, now: Instant) -> Option<FleetView> {
        let state = self.state.borrow();
        state
            .is_confirmed(now)
            .then(|| state.view.clone())
            .flatten()
    }
}

impl ControlReplicas for FleetWatch {
    fn answering(&self, now: Instant) -> Vec<SocketAddr> {
        self.state.borrow().addrs.answering(now)
    }

    /// A process whose view is confirmed has found a majority already, so that it needs no others.
    fn add_reported(&self, now: Instant, replicas: &[SocketAddr]) {
        let mut state = self.state.borrow_mut();
        if !state.is_confirmed(now) {
            let added = state.addrs.record_reported(now, replicas);
            drop(state);
            self.start_polls(added);
        }
    }
}

/// Returns the interval between reports of counts in a fleet of this many gateways.
fn usage_interval(window: Duration, gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let interval = (window / COUNTS_PER_POLL).saturating_mul(gateways);
    interval.clamp(MIN_POLL_INTERVAL, POLL_INTERVAL)
}

/// Applies a replica's report of the live targets, unless it is older than the latest one.
fn apply_targets_report(state: &mut WatchState, requested_at: ReadTime, report: TargetsReport) {
    let Some(read_at) = requested_at.checked_sub(Duration::from_millis(report.age_ms)) else {
        return;
    };
    if state
        .targets_read_at
        .is_some_and(|latest| read_at.monotonic <= latest)
    {
        return;
    }
    state.gateways = report.gateways.len().max(1);
    if let Some(observer) = &state.observer {
        observer.gateways_updated(&report.listed_gateways());
    }
    state.targets_read_at = Some(read_at.monotonic);
    state.targets_digest = report.digest;
    match (&state.observer, report.list) {
        (Some(observer), Some(list)) => observer.targets_updated(read_at, list),
        (Some(observer), None) => observer.targets_unchanged(read_at),
        (None, _) => {}
    }
    if let (Some(observer), Some(records)) = (&state.observer, &report.software) {
        observer.software_reported(requested_at.boot, records);
    }
}

/// Applies a replica's answer: a newer document comes into force, and the confirmation by a majority is updated.
fn apply_fleet_answer(
    state: &mut WatchState,
    replica: usize,
    requested_at: ReadTime,
    answer: FleetAnswer,
) {
    state.confirmation.record_answer(
        replica,
        requested_at,
        answer.logged_change,
        answer.voting_status,
    );
    let view_version = state.view_version();
    match answer.document {
        // The answer of a lagging replica never replaces a newer view.
        _ if answer.version < view_version || answer.applied_change <= state.applied_change => {}
        None if answer.version == view_version => state.applied_change = answer.applied_change,
        None => {}
        Some(document) => match document
            .decompress()
            .map_err(|err| err.to_string())
            .and_then(|text| parse_document(&text).map_err(|fault| fault.to_string()))
        {
            Ok(document) => {
                log::info!(
                    "fleet document version {} is in force in this process",
                    answer.version
                );
                state.applied_change = answer.applied_change;
                let view = FleetView {
                    version: answer.version,
                    document: Rc::new(document),
                };
                if let Some(observer) = &state.observer {
                    observer.view_changed(&view);
                }
                state.view = Some(view);
            }
            Err(fault) => log::error!(
                "this process rejected fleet document version {}: {fault}; keeping the current one",
                answer.version
            ),
        },
    }
    // A change that is logged but not yet in force does not revoke an earlier confirmation by a majority. That
    // confirmation expires by its age, and a version that has since come into force is not older than the confirmed one.
    let confirmed_at = state.confirmation.confirmed_at(state.applied_change);
    state.last_confirmed_at = state.last_confirmed_at.max(confirmed_at);
    if let (Some(observer), Some(at)) = (&state.observer, state.last_confirmed_at) {
        observer.view_confirmed(at.boot);
    }
    state.update_contact();
}

#[cfg(test)]
mod freshness_tests;
#[cfg(test)]
mod referral_tests;
#[cfg(test)]
mod tests;
