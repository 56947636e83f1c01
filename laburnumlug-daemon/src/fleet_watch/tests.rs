use laburnumlug::{BootTime, DemandReport, ListedGateway, SoftwareRecord, TargetList};
use laburnumlug_forward::PendingUsageReport;
use laburnumlug_mesh::{
    CompressedText, Connection, ControlMessage, MeshKey, Message, ReplicaId, VotingStatus,
};
use laburnumlug_policy::ChangeNumber;
use laburnumlug_standin::{Fault, FaultProxy};

use super::*;

const DOCUMENT: &str = r#"{"name":"g","models":[],"services":[],"targets":[]}"#;

fn answer(version: FleetVersion, applied_change: u64, document: bool) -> FleetAnswer {
    FleetAnswer {
        voting_status: VotingStatus {
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
        time_ms: None,
    }
}

/// Returns the time of a request that is sent `duration` after another one, while the machine is not suspended.
fn later(at: ReadTime, duration: Duration) -> ReadTime {
    ReadTime {
        boot: BootTime::from_reading(
            at.boot
                .saturating_duration_since(BootTime::from_reading(Duration::ZERO))
                + duration,
        ),
        monotonic: at.monotonic + duration,
    }
}

#[test]
fn apply_fleet_answer_lagging_replica() {
    let now = ReadTime::now();
    let mut state = WatchState::new(Instant::now(), 2);
    apply_fleet_answer(&mut state, 0, now, answer(2, 7, true));
    apply_fleet_answer(&mut state, 1, now, answer(1, 5, true));
    assert_eq!(
        (
            state.view.as_ref().map(|view| view.version),
            state.applied_change
        ),
        (Some(2), 7)
    );
    apply_fleet_answer(&mut state, 1, now, answer(2, 9, false));
    assert_eq!(state.applied_change, 9);
}

/// Keeps what it is told of the view and its confirmations, in order.
#[derive(Default)]
struct ViewRecorder {
    changes: RefCell<Vec<(FleetVersion, Option<BootTime>)>>,
}

impl FleetObserver for ViewRecorder {
    fn view_changed(&self, view: &FleetView) {
        self.changes.borrow_mut().push((view.version, None));
    }

    fn view_confirmed(&self, at: BootTime) {
        if let Some(last) = self.changes.borrow_mut().last_mut() {
            last.1 = Some(at);
        }
    }

    fn contact_changed(&self, _contact: ControlContact) {}

    fn targets_updated(&self, _read_at: ReadTime, _list: TargetList) {}

    fn software_reported(&self, _: BootTime, _: &[SoftwareRecord]) {}

    fn targets_unchanged(&self, _read_at: ReadTime) {}

    fn gateways_updated(&self, _gateways: &[ListedGateway]) {}

    fn own_listing(&self) -> Option<ListedGateway> {
        None
    }

    fn demand_report(&self) -> Option<DemandReport> {
        None
    }

    fn usage_window(&self) -> Option<Duration> {
        None
    }

    fn usage_report(&self, _known: ChangeNumber) -> Option<PendingUsageReport> {
        None
    }

    fn usage_acknowledged(
        &self,
        _replica: usize,
        _report: &PendingUsageReport,
        _unix_time: Duration,
        _voters: usize,
    ) {
    }
}

/// Guards against a revoked key that is accepted because a replica that has fallen behind confirms its outdated document, or
/// because the time for which the machine was suspended is left out of the age of the confirmation.
#[test]
fn view_confirmed_only_for_newest_document() {
    let voters: Vec<ReplicaId> = (1..=3)
        .map(|number| ReplicaId {
            name: format!("control-{number}"),
            incarnation: 1,
        })
        .collect();
    let answer_of = |replica: usize, answer: FleetAnswer| {
        let voting_status = VotingStatus {
            replica: voters[replica].clone(),
            voters: voters.clone(),
            ..answer.voting_status
        };
        FleetAnswer {
            voting_status,
            ..answer
        }
    };
    // The requests are sent at these readings, and the machine is suspended for an hour before the last ones.
    let monotonic = Instant::now();
    let at = |seconds| ReadTime {
        boot: BootTime::from_reading(Duration::from_secs(seconds)),
        monotonic,
    };
    let recorder = Rc::new(ViewRecorder::default());
    let mut state = WatchState::new(Instant::now(), 3);
    state.observer = Some(recorder.clone());
    let mut apply = |replica, seconds, answer| {
        apply_fleet_answer(&mut state, replica, at(seconds), answer_of(replica, answer));
        recorder.changes.borrow().last().copied().unwrap()
    };
    // Replica 0 has fallen behind: it holds the document of change 5, while the others have logged change 7.
    assert_eq!(apply(0, 10, answer(1, 5, true)), (1, None));
    assert_eq!(apply(1, 11, answer(2, 7, false)), (1, None));
    assert_eq!(apply(0, 12, answer(1, 5, false)), (1, None));
    // It has logged nothing newer than the document of change 7, so it may confirm that one together with another replica.
    for (replica, seconds, has_document, confirmed_at) in [
        (2, 13, true, 12),
        (0, 14, false, 13),
        (1, 3611, false, 14),
        (2, 3612, false, 3611),
    ] {
        let answer = match replica {
            0 => answer(1, 5, true),
            _ => answer(2, 7, has_document),
        };
        let expected = (2, Some(at(confirmed_at).boot));
        assert_eq!(apply(replica, seconds, answer), expected);
    }
}

/// Guards against waiting for a replica that stops responding while it sends a document of several megabytes.
#[test]
fn may_fetch_document_one_at_a_time() {
    let now = Instant::now();
    let mut state = WatchState::new(Instant::now(), 3);
    assert!(state.may_fetch_document(now));
    state.fetching_since = Some(now);
    assert!(!state.may_fetch_document(now + FETCH_HEDGE_DELAY));
    assert!(state.may_fetch_document(now + 2 * FETCH_HEDGE_DELAY));
}

#[test]
fn apply_fleet_answer_newer_version_not_applied_yet() {
    let now = ReadTime::now();
    let mut state = WatchState::new(Instant::now(), 1);
    let mut first = answer(1, 5, true);
    first.voting_status.voters = vec![first.voting_status.replica.clone()];
    let second_is_logged = FleetAnswer {
        logged_change: 6,
        document: None,
        voting_status: first.voting_status.clone(),
        ..answer(1, 5, false)
    };
    apply_fleet_answer(&mut state, 0, now, first);
    apply_fleet_answer(&mut state, 0, later(now, POLL_INTERVAL), second_is_logged);
    // The earlier confirmation is valid until its maximum age: the newer version is not in force before then.
    assert_eq!(state.last_confirmed_at, Some(now));
}

/// A replica does not respond on the first connection, as its machine is still starting. Another connection must be
/// opened well before the timeout of an answer.
#[test]
fn poll_replica_reconnects_while_replica_starts() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let key = MeshKey::new("key");
        let server_key = key.clone();
        let serving = async move {
            let (_dropped, _) = listener.accept().await.unwrap();
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Connection::accept(stream, &server_key).await.unwrap();
            conn.recv().await.unwrap();
            conn.send("", &fleet_message(answer(1, 1, true)))
                .await
                .unwrap();
        };
        compio::runtime::spawn(serving).detach();
        let started_at = Instant::now();
        let mesh = MeshSettings {
            key,
            control: vec![addr],
        };
        let watch = FleetWatch::start(&mesh);
        while watch.state.borrow().view.is_none() {
            assert!(started_at.elapsed() < Duration::from_millis(700));
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// A killed gateway must take less than 1 in 100 of the fleet's counts of a window with it, also in a small fleet; a large
/// fleet must not poll more often than before.
#[test]
fn usage_interval_by_number_of_gateways() {
    let window = Duration::from_secs(5);
    for gateways in [2, 4, 10, 20, 85] {
        let interval = usage_interval(window, gateways);
        let lost_share = interval.div_duration_f64(window) / gateways as f64;
        assert!(lost_share <= 0.005, "{gateways} gateways: {lost_share}");
        assert!(interval >= MIN_POLL_INTERVAL && interval <= POLL_INTERVAL);
    }
    assert_eq!(usage_interval(window, 20), POLL_INTERVAL);
    assert_eq!(usage_interval(window, 1), MIN_POLL_INTERVAL);
}

/// Returns the message for an answer of a replica.
fn fleet_message(answer: FleetAnswer) -> Message {
    Message::Control(ControlMessage::Fleet {
        voting_status: answer.voting_status,
        logged_change: answer.logged_change,
        applied_change: answer.applied_change,
        version: answer.version,
        document: answer.document,
        time_ms: None,
    })
}

/// Guards against a view that stays unconfirmed for seconds after a partition: a replica does not answer a request that may
/// bring a newer document, as the answer was lost, and must be asked again on another connection.
#[test]
fn poll_replica_reconnects_when_document_does_not_come() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let key = MeshKey::new("key");
        let server_key = key.clone();
        let serving = async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut silent = Connection::accept(stream, &server_key).await.unwrap();
            silent.recv().await.unwrap();
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Connection::accept(stream, &server_key).await.unwrap();
            conn.recv().await.unwrap();
            conn.send("", &fleet_message(answer(1, 1, true)))
                .await
                .unwrap();
            conn.recv().await
        };
        compio::runtime::spawn(serving).detach();
        let started_at = Instant::now();
        let mesh = MeshSettings {
            key,
            control: vec![addr],
        };
        let watch = FleetWatch::start(&mesh);
        while watch.state.borrow().view.is_none() {
            assert!(started_at.elapsed() < Duration::from_secs(2));
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against a large document that never arrives over a slow link, because its transfer takes longer than a short
/// answer may take.
#[test]
fn poll_replica_awaits_slow_document() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::start(listener.local_addr().unwrap()).await;
        let proxy = proxy.unwrap();
        let key = MeshKey::new("key");
        let server_key = key.clone();
        let slow_proxy = proxy.clone();
        // Random names cannot be compressed: about 170 KB are relayed 16 KB at a time.
        let name = |_| format!("{:064x}", rand::random::<u128>());
        let models: Vec<_> = (0..10_000)
            .map(|i| serde_json::json!({ "name": name(i), "versions": ["1"] }))
            .collect();
        let text =
            serde_json::json!({ "name": "g", "models": models, "services": [], "targets": [] });
        let document = CompressedText::compress(&text.to_string());
        let serving = async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut conn = Connection::accept(stream, &server_key).await.unwrap();
            conn.recv().await.unwrap();
            slow_proxy.set_fault(Fault::Delay(Duration::from_millis(200)));
            let answer = FleetAnswer {
                document: Some(document),
                ..answer(1, 1, false)
            };
            conn.send("", &fleet_message(answer)).await.unwrap();
            conn.recv().await
        };
        compio::runtime::spawn(serving).detach();
        let started_at = Instant::now();
        let mesh = MeshSettings {
            key,
            control: vec![proxy.addr()],
        };
        let watch = FleetWatch::start(&mesh);
        while watch.state.borrow().view.is_none() {
            assert!(started_at.elapsed() < Duration::from_secs(10));
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(started_at.elapsed() > Duration::from_secs(2));
    });
}
