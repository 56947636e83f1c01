//! Calls that may run at most once, judged by what the booking stand-ins received.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{join, join_all};
use laburnumlug::Verdict;
use laburnumlug_mesh::{
    Connection, MeshKey, Message, PlainRequest, RefusalReason, WorkMessage, WorkPayload,
    WorkRequest,
};
use laburnumlug_standin::{BookingTiming, Fault};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::harness::{Answer, Fleet, FleetConfig, MESH_KEY, block_on, free_addr, wait_for};

/// Path of the bookings.
const RESERVATIONS: &str = "/services/billet/reservations";

/// Number of concurrent resends of one key.
const RESENDS: usize = 50;

/// Number of calls that are under way while the control replicas change their leader.
const CALLS_AT_CHANGE: usize = 30;

/// A fleet without engines, in which every process takes work.
async fn fleet(bookings: usize, timing: BookingTiming) -> Fleet {
    let config = FleetConfig::default().engines(0).bookings(bookings);
    let fleet = Fleet::start(config.booking_timing(timing)).await;
    for i in 1..=bookings {
        wait_for_process(&fleet, &format!("billet-{i}")).await;
    }
    fleet
}

/// Waits until a process has reported that the fleet document is in force there.
async fn wait_for_process(fleet: &Fleet, name: &str) {
    wait_for("process with the fleet document in force", || async {
        let status = fleet.ask_operators(0, "/status").await?;
        let nodes = status["nodes"].as_array()?.clone();
        nodes
            .iter()
            .any(|node| node["process"] == name)
            .then_some(())
    })
    .await;
}

fn slow(run_time: Duration) -> BookingTiming {
    BookingTiming::default().run_time(run_time)
}

/// Sends one reservation, again after each refusal for the time being.
///
/// A busy machine may sync the log too late for a claim, which is such a refusal.
async fn reserve(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let answer = wait_for("answer that is no refusal", || async {
        let answer = reserve_once(fleet, addr, seat, headers).await;
        let refused = answer.as_ref().is_some_and(|answer| answer.status == 503);
        (!refused).then_some(answer)
    });
    answer.await
}

/// Sends one reservation.
async fn reserve_once(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Option<Answer> {
    let body = json!({ "seat": seat });
    let answer = fleet.post(addr, RESERVATIONS, headers, &body).await;
    println!("{seat} {headers:?}: {answer:?}");
    answer
}

/// Returns how often a seat was booked, at all servers together.
fn runs(fleet: &Fleet, seat: &str) -> usize {
    let booked = fleet.bookings.iter().flat_map(|booking| booking.bookings());
    booked
        .filter(|content: &Value| content["seat"] == seat)
        .count()
}

async fn wait_for_run(fleet: &Fleet, seat: &str) {
    wait_for("run of the call", || async {
        (runs(fleet, seat) > 0).then_some(())
    })
    .await;
}

/// Returns the name of the target process whose server booked a seat.
fn runner(fleet: &Fleet, seat: &str) -> String {
    let booked = |booking: &laburnumlug_standin::BookingStandIn| {
        booking
            .bookings()
            .iter()
            .any(|content| content["seat"] == seat)
    };
    let index = fleet.bookings.iter().position(booked).unwrap();
    format!("billet-{}", index + 1)
}

/// Restarts a target process with an address of its server where nothing listens.
///
/// Returns the settings that it had.
fn lose_peer(fleet: &mut Fleet, name: &str) -> String {
    let path = fleet.folder.path().join(format!("{name}.ini"));
    let settings = std::fs::read_to_string(path).unwrap();
    let peer = fleet.proxies[&format!("{name}>service")].addr().to_string();
    let lost = settings.replace(&peer, &free_addr().to_string());
    assert_ne!(settings, lost);
    fleet.folder.write(&format!("{name}.ini"), &lost);
    fleet.restart(name);
    settings
}

/// Resends until the answer is not `may-have-run`.
async fn resend_until_known(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Answer {
    wait_for("answer to a resend", || async {
        let answer = reserve(fleet, addr, seat, headers).await?;
        (answer.verdict != "may-have-run").then_some(answer)
    })
    .await
}

#[test]
fn key_resend_gets_recorded_answer() {
    block_on(async {
        let fleet = fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k"), ("laburnumlug-caller", "anna")];
        let first = reserve(&fleet, fleet.callers[0], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((first.status, first.verdict.as_str()), (201, "ran"));
        for addr in &fleet.callers {
            let again = reserve(&fleet, *addr, "A1", &headers).await.unwrap();
            assert_eq!((again.status, &again.body), (201, &first.body));
        }
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_of_another_call() {
    block_on(async {
        let fleet = fleet(1, BookingTiming::default()).await;
        let anna = [("idempotency-key", "k"), ("laburnumlug-caller", "anna")];
        let bent = [("idempotency-key", "k"), ("laburnumlug-caller", "bent")];
        let addr = fleet.callers[0];
        assert_eq!(
            reserve(&fleet, addr, "A1", &anna).await.unwrap().status,
            201
        );
        let other = reserve(&fleet, addr, "A2", &anna).await.unwrap();
        assert_eq!((other.status, other.verdict.as_str()), (409, "not-run"));
        assert_eq!(runs(&fleet, "A2"), 0);
        // Another caller's key is another key.
        assert_eq!(
            reserve(&fleet, addr, "A2", &bent).await.unwrap().status,
            201
        );
    });
}

#[test]
fn key_concurrent_resends_run_once() {
    block_on(async {
        let fleet = fleet(2, slow(Duration::from_millis(300))).await;
        let headers = [("idempotency-key", "k")];
        let sends = (0..RESENDS).map(|i| {
            let addr = fleet.callers[i % fleet.callers.len()];
            reserve(&fleet, addr, "A1", &headers)
        });
        let answers = join_all(sends).await;
        let answers: Vec<Answer> = answers.into_iter().flatten().collect();
        assert_eq!(answers.len(), RESENDS);
        for answer in &answers {
            assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
            assert_eq!(answer.body, answers[0].body);
        }
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_large_answer_not_kept() {
    block_on(async {
        let fleet = fleet(1, BookingTiming::default().padding_bytes(100_000)).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.callers[0], "A1", &headers).await;
        let first = first.unwrap();
        assert_eq!(first.status, 201, "{first:?}");
        // Until the claim is settled, the target process still has the answer.
        let again = wait_for("settled claim", || async {
            let answer = reserve(&fleet, fleet.callers[1], "A1", &headers).await?;
            (answer.status == 410).then_some(answer)
        })
        .await;
        assert_eq!(again.verdict, "ran");
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_entry_killed_mid_call() {
    block_on(async {
        let mut fleet = fleet(2, slow(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let mut entry = fleet.processes.remove("entry-1").unwrap();
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            entry.kill();
        };
        let (cut, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &headers), kill).await;
        assert!(cut.is_none());
        let answer = reserve(&fleet, fleet.callers[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
        assert_eq!(runs(&fleet, "A1"), 1);
        fleet.processes.insert("entry-1".into(), entry);
    });
}

#[test]
fn key_target_killed_before_call() {
    block_on(async {
        let mut fleet = fleet(1, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        fleet.processes.get_mut("billet-1").unwrap().kill();
        let answer = wait_for("proved refusal", || async {
            let answer = reserve_once(&fleet, fleet.callers[0], "A1", &headers).await?;
            (answer.status == 503).then_some(answer)
        })
        .await;
        assert_eq!(answer.verdict, "not-run");
        assert!(answer.retry_after.is_some());
        fleet.restart("billet-1");
        let answer = wait_for("answer after the restart", || async {
            let answer = reserve(&fleet, fleet.callers[1], "A1", &headers).await?;
            (answer.status == 201).then_some(answer)
        })
        .await;
        assert_eq!(answer.verdict, "ran");
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_target_killed_during_call() {
    block_on(async {
        let mut fleet = fleet(2, slow(Duration::from_secs(20))).await;
        let headers = [("idempotency-key", "k")];
        let first = async {
            let answer = reserve(&fleet, fleet.callers[0], "A1", &headers).await;
            answer.unwrap()
        };
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes[&runner(&fleet, "A1")].signal(Signal::KILL);
        };
        let (first, ()) = join(first, kill).await;
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (502, "may-have-run")
        );
        let name = runner(&fleet, "A1");
        fleet.restart(&name);
        for addr in fleet.callers.clone() {
            let again = reserve(&fleet, addr, "A1", &headers).await.unwrap();
            assert_eq!(
                (again.status, again.verdict.as_str()),
                (502, "may-have-run")
            );
        }
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_target_killed_after_call() {
    block_on(async {
        let mut fleet = fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.callers[0], "A1", &headers).await;
        let name = runner(&fleet, "A1");
        // A planned stop ends only after the result is in the log.
        fleet.processes[&name].signal(Signal::TERM);
        let status = fleet.processes.get_mut(&name).unwrap().wait().await;
        assert_eq!(status.code(), Some(0));
        let again = reserve(&fleet, fleet.callers[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((again.status, again.body), (201, first.unwrap().body));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_silent_cut_before_target() {
    block_on(async {
        let fleet = fleet(2, slow(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let short = [
            ("idempotency-key", "k"),
            ("laburnumlug-deadline-ms", "8000"),
        ];
        let cut = async {
            wait_for_run(&fleet, "A1").await;
            fleet.proxies[&format!(">{}", runner(&fleet, "A1"))].set_fault(Fault::Partition);
        };
        let (first, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &short), cut).await;
        let first = first.unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (504, "may-have-run")
        );
        // The target process cannot be reached, but it has logged its result.
        let answer = resend_until_known(&fleet, fleet.callers[1], "A1", &headers).await;
        assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_one_way_cut_before_service() {
    block_on(async {
        let fleet = fleet(1, slow(Duration::from_millis(200))).await;
        let headers = [("idempotency-key", "k")];
        let short = [
            ("idempotency-key", "k"),
            ("laburnumlug-deadline-ms", "4000"),
        ];
        let proxy = &fleet.proxies["billet-1>service"];
        proxy.set_fault(Fault::PartitionBackward);
        let first = reserve(&fleet, fleet.callers[0], "A1", &short)
            .await
            .unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (504, "may-have-run")
        );
        let again = reserve(&fleet, fleet.callers[1], "A1", &short)
            .await
            .unwrap();
        assert_eq!(
            (again.status, again.verdict.as_str()),
            (504, "may-have-run")
        );
        proxy.set_fault(Fault::None);
        let answer = resend_until_known(&fleet, fleet.callers[1], "A1", &headers).await;
        assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_service_hangs_up() {
    block_on(async {
        let timing = BookingTiming::default().queue_time(Duration::from_millis(300));
        let fleet = fleet(1, timing).await;
        let headers = [("idempotency-key", "k")];
        let hang_up = async {
            wait_for("call at the service", || async {
                (fleet.bookings[0].calls() > 0).then_some(())
            })
            .await;
            fleet.proxies["billet-1>service"].set_fault(Fault::Disconnect);
        };
        let (first, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &headers), hang_up).await;
        let first = first.unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (502, "may-have-run")
        );
        fleet.proxies["billet-1>service"].set_fault(Fault::None);
        // The booking is made after the hang-up; no resend may make another.
        wait_for_run(&fleet, "A1").await;
        let again = reserve(&fleet, fleet.callers[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!(again.verdict, "may-have-run");
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_service_down() {
    block_on(async {
        let mut fleet = fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        // Nothing listens where the servers should be, so the call is known not to run.
        let settings: Vec<String> = ["billet-1", "billet-2"]
            .into_iter()
            .map(|name| lose_peer(&mut fleet, name))
            .collect();
        let answer = wait_for("refusal", || async {
            let answer = reserve_once(&fleet, fleet.callers[0], "A1", &headers).await?;
            (answer.status == 503).then_some(answer)
        })
        .await;
        assert_eq!(answer.verdict, "not-run");
        // The claim was given up, so that the other target process may run the call.
        fleet.processes["billet-2"].signal(Signal::TERM);
        fleet.processes.get_mut("billet-2").unwrap().wait().await;
        fleet.folder.write("billet-2.ini", &settings[1]);
        fleet.restart("billet-2");
        let answer = wait_for("answer", || async {
            let answer = reserve(&fleet, fleet.callers[1], "A1", &headers).await?;
            (answer.status == 201).then_some(answer)
        })
        .await;
        assert_eq!(answer.verdict, "ran");
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_resend_while_no_target_serves() {
    block_on(async {
        let fleet = fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.callers[0], "A1", &headers).await;
        for name in ["billet-1", "billet-2"] {
            fleet.processes[name].signal(Signal::TERM);
        }
        wait_for("refusal of a new call", || async {
            let key = format!("{:x}", rand::random::<u64>());
            let headers = [("idempotency-key", key.as_str())];
            let answer = reserve_once(&fleet, fleet.callers[1], "A2", &headers).await?;
            (answer.verdict == "not-run").then_some(())
        })
        .await;
        // A refusal would not be true: the call has run.
        let again = reserve(&fleet, fleet.callers[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((again.status, again.body), (201, first.unwrap().body));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn key_control_killed_mid_call() {
    block_on(async {
        let mut fleet = fleet(1, slow(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes["control-1"].signal(Signal::KILL);
        };
        let (first, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &headers), kill).await;
        let first = first.unwrap();
        assert_eq!((first.status, first.verdict.as_str()), (201, "ran"));
        // Without the log nothing proves that the key did not run.
        let refused = wait_for("unconfirmed entry", || async {
            let answer = reserve_once(&fleet, fleet.callers[1], "A1", &headers).await?;
            (answer.status != 201).then_some(answer)
        })
        .await;
        assert_eq!(refused.verdict, "may-have-run");
        fleet.restart("control-1");
        let again = resend_until_known(&fleet, fleet.callers[1], "A1", &headers).await;
        assert_eq!((again.status, again.body), (201, first.body));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

/// Returns the name of the control replica that leads.
async fn leader(fleet: &Fleet) -> String {
    wait_for("leader", || async {
        let status = fleet.ask_operators(0, "/status").await?;
        status["leader"].as_str().map(str::to_string)
    })
    .await
}

#[test]
fn key_leader_killed_mid_call() {
    block_on(async {
        let config = FleetConfig::default().engines(0).bookings(2).controls(3);
        let timing = slow(Duration::from_millis(100));
        let fleet = Fleet::start(config.booking_timing(timing)).await;
        for name in ["billet-1", "billet-2"] {
            wait_for_process(&fleet, name).await;
        }
        let leader = leader(&fleet).await;
        let sends = (0..CALLS_AT_CHANGE).map(|i| {
            let fleet = &fleet;
            async move {
                let key = format!("k-{i}");
                let headers = [("idempotency-key", key.as_str())];
                let addr = fleet.callers[i % 2];
                reserve_once(fleet, addr, &key, &headers).await
            }
        });
        let kill = async {
            wait_for_run(&fleet, "k-0").await;
            fleet.processes[&leader].signal(Signal::KILL);
        };
        let (first, ()) = join(join_all(sends), kill).await;
        let resends = first.into_iter().enumerate().map(|(i, first)| {
            let fleet = &fleet;
            async move {
                let key = format!("k-{i}");
                let headers = [("idempotency-key", key.as_str())];
                let addr = fleet.callers[(i + 1) % 2];
                let answer = wait_for("answer after the change of leader", || async {
                    let answer = reserve_once(fleet, addr, &key, &headers).await?;
                    (answer.verdict == "ran").then_some(answer)
                })
                .await;
                let first = first.filter(|first| first.verdict == "ran");
                assert!(first.is_none_or(|first| first.body == answer.body));
                assert_eq!(runs(fleet, &key), 1);
            }
        });
        join_all(resends).await;
    });
}

#[test]
fn no_key_target_killed_during_call() {
    block_on(async {
        let fleet = fleet(2, slow(Duration::from_secs(20))).await;
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes[&runner(&fleet, "A1")].signal(Signal::KILL);
        };
        let (answer, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &[]), kill).await;
        let answer = answer.unwrap();
        assert_eq!(
            (answer.status, answer.verdict.as_str()),
            (502, "may-have-run")
        );
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn no_key_connection_breaks_mid_call() {
    block_on(async {
        let fleet = fleet(1, slow(Duration::from_millis(500))).await;
        let cut = async {
            wait_for_run(&fleet, "A1").await;
            fleet.proxies[">billet-1"].set_fault(Fault::Disconnect);
            compio::time::sleep(Duration::from_millis(50)).await;
            fleet.proxies[">billet-1"].set_fault(Fault::None);
        };
        let (answer, ()) = join(reserve(&fleet, fleet.callers[0], "A1", &[]), cut).await;
        let answer = answer.unwrap();
        assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
        assert_eq!(runs(&fleet, "A1"), 1);
    });
}

#[test]
fn no_key_connection_breaks_before_target() {
    block_on(async {
        let fleet = fleet(2, BookingTiming::default()).await;
        // Leaves an idle connection to each target process.
        for seat in ["A1", "A2"] {
            let answer = reserve(&fleet, fleet.callers[0], seat, &[]).await;
            assert_eq!(answer.unwrap().status, 201);
        }
        let proxies = [&fleet.proxies[">billet-1"], &fleet.proxies[">billet-2"]];
        for proxy in proxies {
            proxy.set_fault(Fault::PartitionForward);
        }
        let cut = async {
            // The call is written, but no target process receives it.
            compio::time::sleep(Duration::from_millis(300)).await;
            for proxy in proxies {
                proxy.set_fault(Fault::Disconnect);
            }
            compio::time::sleep(Duration::from_millis(50)).await;
            for proxy in proxies {
                proxy.set_fault(Fault::None);
            }
        };
        let (answer, ()) = join(reserve(&fleet, fleet.callers[0], "B1", &[]), cut).await;
        let answer = answer.unwrap();
        assert_eq!((answer.status, answer.verdict.as_str()), (201, "ran"));
        assert_eq!(runs(&fleet, "B1"), 1);
    });
}

/// Connects to a target process as an entry does.
async fn connect(fleet: &Fleet, name: &str) -> Connection {
    let addr = fleet.proxies[&format!(">{name}")].addr();
    let key = MeshKey::new(MESH_KEY);
    let connecting = Connection::connect(addr, &key, Duration::from_secs(5));
    connecting.await.unwrap()
}

fn submit(seat: &str, key: Option<&str>, incarnation: Option<u64>) -> Message {
    Message::Work(WorkMessage::Submit(WorkRequest {
        attempt: 1,
        service: "billet".into(),
        caller: "anna".into(),
        fleet_version: 1,
        deadline_ms: 5000,
        key: key.map(str::to_string),
        incarnation,
        payload: WorkPayload::Plain(PlainRequest {
            method: "POST".into(),
            path: "/reservations".into(),
            headers: Vec::new(),
            body: json!({ "seat": seat }).to_string().into_bytes(),
        }),
    }))
}

async fn recv(conn: &mut Connection) -> WorkMessage {
    match conn.recv().await.unwrap().1 {
        Message::Work(message) => message,
        other => panic!("{other:?}"),
    }
}

/// Returns the incarnation of a target process.
async fn incarnation(fleet: &Fleet, name: &str) -> u64 {
    connect(fleet, name)
        .await
        .peer_incarnation()
        .expect("a target process states its incarnation")
}

#[test]
fn no_key_late_submit_after_recall() {
    block_on(async {
        let fleet = fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        let mut late = connect(&fleet, "billet-1").await;
        let mut conn = connect(&fleet, "billet-1").await;
        let recall = WorkMessage::Reattach {
            session: late.session_id().to_string(),
            incarnation,
        };
        conn.send("r-1", &Message::Work(recall)).await.unwrap();
        let answer = recv(&mut conn).await;
        let not_received = RefusalReason::NotReceived;
        assert!(
            matches!(answer, WorkMessage::Refused { reason, .. } if reason == not_received),
            "{answer:?}"
        );
        // The call was held back somewhere and arrives after it was declared not to run.
        let _ = late.send("r-1", &submit("A1", None, None)).await;
        let answer = late.recv().await;
        let refused = matches!(
            answer,
            Ok((_, Message::Work(WorkMessage::Refused { .. }))) | Err(_)
        );
        assert!(refused, "{answer:?}");
        assert_eq!(runs(&fleet, "A1"), 0);
    });
}

#[test]
fn no_key_recall_of_unknown_connection() {
    block_on(async {
        let fleet = fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        for (session, incarnation) in [("nonesuch", incarnation), ("nonesuch", incarnation + 1)] {
            let mut conn = connect(&fleet, "billet-1").await;
            let recall = WorkMessage::Reattach {
                session: session.into(),
                incarnation,
            };
            conn.send("r-1", &Message::Work(recall)).await.unwrap();
            let answer = recv(&mut conn).await;
            let verdict = Verdict::MayHaveRun;
            assert!(
                matches!(answer, WorkMessage::Failed { verdict: v, .. } if v == verdict),
                "{answer:?}"
            );
        }
    });
}

#[test]
fn key_submit_for_other_incarnation() {
    block_on(async {
        let fleet = fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        let mut conn = connect(&fleet, "billet-1").await;
        let message = submit("A1", Some("k"), Some(incarnation + 1));
        conn.send("r-1", &message).await.unwrap();
        let answer = recv(&mut conn).await;
        let other = RefusalReason::OtherIncarnation;
        assert!(
            matches!(answer, WorkMessage::Refused { reason, .. } if reason == other),
            "{answer:?}"
        );
        assert_eq!(runs(&fleet, "A1"), 0);
    });
}

#[test]
fn no_key_not_run_is_true() {
    block_on(async {
        let fleet = fleet(2, slow(Duration::from_millis(30))).await;
        let faults = [
            (">billet-1", Fault::Disconnect),
            ("billet-2>service", Fault::Disconnect),
            (">billet-1", Fault::PartitionBackward),
            ("billet-1>service", Fault::PartitionForward),
            (">billet-2", Fault::Disconnect),
        ];
        for (round, (name, fault)) in faults.into_iter().enumerate() {
            let sends = (0..10).map(|i| {
                let fleet = &fleet;
                let seat = format!("{round}-{i}");
                async move {
                    let addr = fleet.callers[i % fleet.callers.len()];
                    let deadline = [("laburnumlug-deadline-ms", "1000")];
                    compio::time::sleep(Duration::from_millis(10 * i as u64)).await;
                    let answer = reserve_once(fleet, addr, &seat, &deadline).await;
                    (seat, answer.unwrap())
                }
            });
            let cut = async {
                compio::time::sleep(Duration::from_millis(40)).await;
                fleet.proxies[name].set_fault(fault);
            };
            let (answers, ()) = join(join_all(sends), cut).await;
            fleet.proxies[name].set_fault(Fault::None);
            for (seat, answer) in answers {
                let runs = runs(&fleet, &seat);
                let fits = match answer.verdict.as_str() {
                    "ran" => runs == 1,
                    "not-run" => runs == 0,
                    _ => runs <= 1,
                };
                assert!(fits, "seat {seat} ran {runs} times: {answer:?}");
            }
        }
        // What was held back is delivered now; nothing may run a second time or after a `not-run`.
        let all: Vec<Value> = fleet.bookings.iter().flat_map(|b| b.bookings()).collect();
        for content in &all {
            assert_eq!(runs(&fleet, content["seat"].as_str().unwrap()), 1);
        }
    });
}
