//! A node's view of the fleet document, confirmed against a majority of the control replicas.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{
    Confirmation, FleetDocument, FleetVersion, ReplicaId, Service, Target, TargetList,
};
use laburnumlug_mesh::{
    CompressedText, Connection, ControlMessage, Message, ReplicaStanding, TargetsReport,
};
use laburnumlug_operator::parse_document;

use crate::settings::MeshSettings;

/// How often each replica is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How often each replica is asked, and a connection to it tried, as long as no document is known.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica may take for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a replica may take for an answer that may carry a document, which can be megabytes on a slow link.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which another replica is asked for the document, too; a replica may have fallen silent.
const FETCH_TURN: Duration = Duration::from_millis(500);

/// Age beyond which a confirmation no longer permits new work.
const CONFIRMATION_BOUND: Duration = Duration::from_secs(3);

/// Age of the list of live targets from which every replica is asked for a newer one.
const TARGETS_BOUND: Duration = Duration::from_millis(1500);

/// A version of the fleet document.
#[derive(Clone)]
pub(crate) struct FleetView {
    pub(crate) version: FleetVersion,
    pub(crate) document: Rc<FleetDocument>,
}

impl FleetView {
    /// Returns the service of that name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.document
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns the engine service that offers a model.
    pub(crate) fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.document
            .services
            .iter()
            .find(|service| service.models.iter().any(|m| m == model))
    }

    /// Returns the target of that name.
    pub(crate) fn target(&self, name: &str) -> Option<&Target> {
        self.document
            .targets
            .iter()
            .find(|target| target.name == name)
    }
}

struct State {
    view: Option<FleetView>,
    /// Newest change of the log that `view` takes into account.
    applied: u64,
    confirmation: Confirmation,
    /// When a held view was last known to be the newest; never goes back.
    last_confirmed_at: Option<Instant>,
    /// Since when one replica is asked for a newer document; the others are asked for its version alone.
    fetching_since: Option<Instant>,
    /// Addresses of the replicas that are asked.
    replicas: Vec<SocketAddr>,
    /// Digest of the newest list of live targets, and when it was read.
    targets_digest: u64,
    targets_read_at: Option<Instant>,
    observer: Option<Rc<dyn ViewObserver>>,
}

/// Is told what a [`FleetWatch`] learns.
pub(crate) trait ViewObserver {
    /// A newer version is in force.
    fn view_changed(&self, view: &FleetView);

    /// The view that is held was known to be the newest at `at`.
    fn view_confirmed(&self, at: Instant);

    /// A list of live targets was read at `read_at`.
    fn targets_read(&self, read_at: Instant, list: TargetList);

    /// The list of live targets is known to be unchanged at `read_at`.
    fn targets_unchanged(&self, read_at: Instant);

    /// These gateways were active lately.
    fn gateways_heard(&self, gateways: &[SocketAddr]);

    /// Returns the address at which this process takes events of other gateways.
    fn own_address(&self) -> Option<SocketAddr>;
}

impl State {
    fn new(replicas: usize) -> State {
        State {
            view: None,
            applied: 0,
            confirmation: Confirmation::new(replicas),
            last_confirmed_at: None,
            fetching_since: None,
            replicas: Vec::new(),
            targets_digest: 0,
            targets_read_at: None,
            observer: None,
        }
    }
}

impl State {
    /// Returns whether a replica may be asked for a document: no other one is, or that one has been silent for long.
    fn may_fetch(&self, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) > FETCH_TURN;
        self.fetching_since.is_none_or(is_over)
    }

    /// Returns the version that is held; 0 for none.
    fn held_version(&self) -> FleetVersion {
        self.view.as_ref().map_or(0, |view| view.version)
    }

    /// Returns whether every replica is asked for the live targets, since none has told of them lately.
    fn needs_targets(&self, now: Instant) -> bool {
        let is_stale = |at: Instant| now.saturating_duration_since(at) > TARGETS_BOUND;
        self.observer.is_some() && self.targets_read_at.is_none_or(is_stale)
    }
}

/// A node's view of the fleet document.
#[derive(Clone)]
pub(crate) struct FleetWatch {
    state: Rc<RefCell<State>>,
    mesh: MeshSettings,
}

impl FleetWatch {
    /// Starts one task for each control replica.
    pub(crate) fn start(mesh: &MeshSettings) -> FleetWatch {
        let state = Rc::new(RefCell::new(State::new(mesh.control.len())));
        let watch = FleetWatch {
            state,
            mesh: mesh.clone(),
        };
        for addr in &mesh.control {
            watch.follow_replica(*addr);
        }
        watch
    }

    /// Starts like [`FleetWatch::start`] and tells `observer` all that is learnt, live targets included.
    pub(crate) fn start_observed(
        mesh: &MeshSettings,
        observer: Rc<dyn ViewObserver>,
    ) -> FleetWatch {
        let watch = FleetWatch::start(mesh);
        watch.state.borrow_mut().observer = Some(observer);
        watch
    }

    /// Asks one more replica from now on, unless it is asked already.
    pub(crate) fn follow_replica(&self, addr: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if !state.replicas.contains(&addr) {
            let replica = state.replicas.len();
            state.replicas.push(addr);
            compio::runtime::spawn(follow(self.clone(), replica, addr)).detach();
        }
    }

    fn poll_interval(&self) -> Duration {
        match self.state.borrow().view {
            Some(_) => POLL_INTERVAL,
            None => FIRST_POLL_INTERVAL,
        }
    }

    /// Asks the voters whose names are their addresses, too.
    fn follow_voters(&self, voters: &[ReplicaId]) {
        for voter in voters {
            if let Ok(addr) = voter.name.parse() {
                self.follow_replica(addr);
            }
        }
    }

    /// Returns the view if it was confirmed recently enough to act on.
    pub(crate) fn current(&self, now: Instant) -> Option<FleetView> {
        let state = self.state.borrow();
        let confirmed_at = state.last_confirmed_at?;
        if now.saturating_duration_since(confirmed_at) > CONFIRMATION_BOUND {
            return None;
        }
        state.view.clone()
    }
}

/// Asks one replica again and again.
async fn follow(watch: FleetWatch, replica: usize, addr: SocketAddr) {
    loop {
        match Connection::connect(addr, &watch.mesh.key, ANSWER_TIMEOUT).await {
            Ok(conn) => follow_connection(&watch, replica, conn).await,
            Err(err) => log::debug!("control replica {addr}: {err}"),
        }
        compio::time::sleep(watch.poll_interval()).await;
    }
}

async fn follow_connection(watch: &FleetWatch, replica: usize, mut conn: Connection) {
    let state = &*watch.state;
    let mut tells_targets = false;
    loop {
        // Several copies of one large document would delay each other.
        let asked_at = Instant::now();
        let fetches = state.borrow().may_fetch(asked_at);
        let (known, timeout) = match fetches {
            true => (state.borrow().held_version(), DOCUMENT_TIMEOUT),
            false => (FleetVersion::MAX, ANSWER_TIMEOUT),
        };
        if fetches {
            state.borrow_mut().fetching_since = Some(asked_at);
        }
        let answer = compio::time::timeout(timeout, ask(&mut conn, known)).await;
        if fetches {
            state.borrow_mut().fetching_since = None;
        }
        match answer {
            Ok(Some(answer)) => {
                watch.follow_voters(&answer.standing.voters);
                note_answer(&mut state.borrow_mut(), replica, asked_at, answer);
            }
            _ => return,
        }
        if tells_targets || state.borrow().needs_targets(Instant::now()) {
            let known = state.borrow().targets_digest;
            let asked_at = Instant::now();
            let own = state
                .borrow()
                .observer
                .as_ref()
                .and_then(|o| o.own_address());
            let asking = ask_targets(&mut conn, known, own);
            match compio::time::timeout(ANSWER_TIMEOUT, asking).await {
                Ok(Some(report)) => {
                    tells_targets = report.is_some();
                    if let Some(report) = report {
                        note_targets(&mut state.borrow_mut(), asked_at, report);
                    }
                }
                _ => return,
            }
        }
        compio::time::sleep(watch.poll_interval()).await;
    }
}

/// What a replica answered.
struct FleetAnswer {
    standing: ReplicaStanding,
    logged_change: u64,
    applied_change: u64,
    version: FleetVersion,
    document: Option<CompressedText>,
}

async fn ask(conn: &mut Connection, known: FleetVersion) -> Option<FleetAnswer> {
    let question = Message::Control(ControlMessage::FetchFleet { known });
    conn.send("", &question).await.ok()?;
    match conn.recv().await {
        Ok((
            _,
            Message::Control(ControlMessage::Fleet {
                standing,
                logged_change,
                applied_change,
                version,
                document,
            }),
        )) => Some(FleetAnswer {
            standing,
            logged_change,
            applied_change,
            version,
            document,
        }),
        _ => None,
    }
}

async fn ask_targets(
    conn: &mut Connection,
    known: u64,
    gateway_addr: Option<SocketAddr>,
) -> Option<Option<TargetsReport>> {
    let question = Message::Control(ControlMessage::FetchTargets {
        known,
        gateway_addr,
    });
    conn.send("", &question).await.ok()?;
    match conn.recv().await {
        Ok((_, Message::Control(ControlMessage::Targets(report)))) => Some(report),
        _ => None,
    }
}

fn note_targets(state: &mut State, asked_at: Instant, report: TargetsReport) {
    let Some(read_at) = asked_at.checked_sub(Duration::from_millis(report.age_ms)) else {
        return;
    };
    if state
        .targets_read_at
        .is_some_and(|newest| read_at <= newest)
    {
        return;
    }
    if let Some(observer) = &state.observer {
        observer.gateways_heard(&report.gateways);
    }
    state.targets_read_at = Some(read_at);
    state.targets_digest = report.digest;
    match (&state.observer, report.list) {
        (Some(observer), Some(list)) => observer.targets_read(read_at, list),
        (Some(observer), None) => observer.targets_unchanged(read_at),
        (None, _) => {}
    }
}

fn note_answer(state: &mut State, replica: usize, asked_at: Instant, answer: FleetAnswer) {
    state
        .confirmation
        .note(replica, asked_at, answer.logged_change, answer.standing);
    let held = state.held_version();
    match answer.document {
        // A lagging replica's answer never takes a newer view back.
        _ if answer.version < held || answer.applied_change <= state.applied => {}
        None if answer.version == held => state.applied = answer.applied_change,
        None => {}
        Some(document) => match document
            .decompress()
            .map_err(|err| err.to_string())
            .and_then(|text| parse_document(&text).map_err(|fault| fault.to_string()))
        {
            Ok(document) => {
                log::info!("fleet document version {} is in force", answer.version);
                state.applied = answer.applied_change;
                let view = FleetView {
                    version: answer.version,
                    document: Rc::new(document),
                };
                if let Some(observer) = &state.observer {
                    observer.view_changed(&view);
                }
                state.view = Some(view);
            }
            Err(fault) => log::error!("fleet document version {}: {fault}", answer.version),
        },
    }
    // A change that is logged but not in force yet takes back no earlier confirmation: that one ends by its own age,
    // and a version that has come into force meanwhile was not older than the one confirmed.
    let confirmed_at = state.confirmation.confirmed_at(state.applied);
    state.last_confirmed_at = state.last_confirmed_at.max(confirmed_at);
    if let (Some(observer), Some(at)) = (&state.observer, state.last_confirmed_at) {
        observer.view_confirmed(at);
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug_mesh::ReplicaId;

    use super::*;

    const DOCUMENT: &str = r#"{"name":"g","models":[],"services":[],"targets":[]}"#;

    fn answer(version: FleetVersion, applied_change: u64, document: bool) -> FleetAnswer {
        FleetAnswer {
            standing: ReplicaStanding {
                replica: ReplicaId {
                    name: "control-1".into(),
                    incarnation: 1,
                },
                verified: true,
                membership: 1,
                voters: Vec::new(),
            },
            logged_change: applied_change,
            applied_change,
            version,
            document: document.then(|| CompressedText::compress(DOCUMENT)),
        }
    }

    #[test]
    fn note_answer_lagging_replica() {
        let now = Instant::now();
        let mut state = State::new(2);
        note_answer(&mut state, 0, now, answer(2, 7, true));
        note_answer(&mut state, 1, now, answer(1, 5, true));
        assert_eq!(
            (state.view.as_ref().map(|view| view.version), state.applied),
            (Some(2), 7)
        );
        note_answer(&mut state, 1, now, answer(2, 9, false));
        assert_eq!(state.applied, 9);
    }

    /// Pattern: the configuration is megabytes large, and the replica that sends it falls silent.
    #[test]
    fn may_fetch_one_at_a_time() {
        let now = Instant::now();
        let mut state = State::new(3);
        assert!(state.may_fetch(now));
        state.fetching_since = Some(now);
        assert!(!state.may_fetch(now + FETCH_TURN));
        assert!(state.may_fetch(now + 2 * FETCH_TURN));
    }

    #[test]
    fn note_answer_newer_version_not_applied_yet() {
        let now = Instant::now();
        let mut state = State::new(1);
        let mut first = answer(1, 5, true);
        first.standing.voters = vec![first.standing.replica.clone()];
        let second_is_being_logged = FleetAnswer {
            logged_change: 6,
            document: None,
            standing: first.standing.clone(),
            ..answer(1, 5, false)
        };
        note_answer(&mut state, 0, now, first);
        note_answer(&mut state, 0, now + POLL_INTERVAL, second_is_being_logged);
        // The earlier confirmation holds until its bound: the newer version is not in force before that.
        assert_eq!(state.last_confirmed_at, Some(now));
    }
}
