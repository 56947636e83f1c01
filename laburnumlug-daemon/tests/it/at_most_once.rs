//! Calls to plain services that must run at most once, checked against the bookings that the stand-ins recorded.

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

use crate::harness::{Fleet, FleetConfig, MESH_KEY, Response, block_on, free_addr, wait_for};

/// Path to which callers send reservations.
const RESERVATIONS_PATH: &str = "/services/billet/reservations";

/// Number of concurrent requests with the same key.
const RESENDS: usize = 50;

/// Number of concurrent calls while the control replicas elect a new leader.
const CALLS_DURING_ELECTION: usize = 30;

/// Starts a fleet without engines and waits until the document is in force at each target process.
async fn start_fleet(booking_servers: usize, timing: BookingTiming) -> Fleet {
    let config = FleetConfig::default()
        .engines(0)
        .booking_servers(booking_servers);
    let fleet = Fleet::start(config.booking_timing(timing)).await;
    for i in 1..=booking_servers {
        wait_for_process_report(&fleet, &format!("billet-{i}")).await;
    }
    fleet
}

/// Waits until the status of the first control replica lists the process, which reports once a document is in force.
async fn wait_for_process_report(fleet: &Fleet, name: &str) {
    wait_for("process with the fleet document in force", || async {
        let status = fleet.get_control_json(0, "/status").await?;
        let nodes = status["nodes"].as_array()?.clone();
        nodes
            .iter()
            .any(|node| node["process"] == name)
            .then_some(())
    })
    .await;
}

fn slow_timing(run_time: Duration) -> BookingTiming {
    BookingTiming::default().run_time(run_time)
}

/// Sends a reservation and retries it while the response is 503.
///
/// On a busy machine the control log may sync too late for a claim, which is refused with 503.
async fn reserve(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Option<Response> {
    let response = wait_for("response other than 503", || async {
        let response = reserve_once(fleet, addr, seat, headers).await;
        let is_refused = response
            .as_ref()
            .is_some_and(|response| response.status == 503);
        (!is_refused).then_some(response)
    });
    response.await
}

/// Sends a reservation once.
async fn reserve_once(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Option<Response> {
    let body = json!({ "seat": seat });
    let response = fleet.post(addr, RESERVATIONS_PATH, headers, &body).await;
    println!("{seat} {headers:?}: {response:?}");
    response
}

/// Returns how many times a seat was booked, over all servers.
fn run_count(fleet: &Fleet, seat: &str) -> usize {
    let booked = fleet
        .booking_servers
        .iter()
        .flat_map(|server| server.bookings());
    booked
        .filter(|content: &Value| content["seat"] == seat)
        .count()
}

async fn wait_for_run(fleet: &Fleet, seat: &str) {
    wait_for("run of the call", || async {
        (run_count(fleet, seat) > 0).then_some(())
    })
    .await;
}

/// Returns the name of the target process whose server booked a seat.
fn target_of_run(fleet: &Fleet, seat: &str) -> String {
    let booked = |server: &laburnumlug_standin::BookingStandIn| {
        server
            .bookings()
            .iter()
            .any(|content| content["seat"] == seat)
    };
    let index = fleet.booking_servers.iter().position(booked).unwrap();
    format!("billet-{}", index + 1)
}

/// Restarts a target process with a server address at which nothing listens, and returns its former settings.
fn make_peer_unreachable(fleet: &mut Fleet, name: &str) -> String {
    let path = fleet.folder.path().join(format!("{name}.ini"));
    let settings = std::fs::read_to_string(path).unwrap();
    let peer = fleet.proxies[&format!("{name}>service")].addr().to_string();
    let unreachable = settings.replace(&peer, &free_addr().to_string());
    assert_ne!(settings, unreachable);
    fleet.folder.write(&format!("{name}.ini"), &unreachable);
    fleet.restart(name);
    settings
}

/// Resends a reservation until the verdict is other than `may-have-run`.
async fn resend_until_known(
    fleet: &Fleet,
    addr: SocketAddr,
    seat: &str,
    headers: &[(&str, &str)],
) -> Response {
    wait_for("verdict other than may-have-run", || async {
        let response = reserve(fleet, addr, seat, headers).await?;
        (response.verdict != "may-have-run").then_some(response)
    })
    .await
}

#[test]
fn key_resend_gets_recorded_answer() {
    block_on(async {
        let fleet = start_fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k"), ("laburnumlug-caller", "anna")];
        let first = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((first.status, first.verdict.as_str()), (201, "ran"));
        for addr in &fleet.entry_addrs {
            let resend = reserve(&fleet, *addr, "A1", &headers).await.unwrap();
            assert_eq!((resend.status, &resend.body), (201, &first.body));
        }
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_of_another_call() {
    block_on(async {
        let fleet = start_fleet(1, BookingTiming::default()).await;
        let anna = [("idempotency-key", "k"), ("laburnumlug-caller", "anna")];
        let bent = [("idempotency-key", "k"), ("laburnumlug-caller", "bent")];
        let addr = fleet.entry_addrs[0];
        assert_eq!(
            reserve(&fleet, addr, "A1", &anna).await.unwrap().status,
            201
        );
        let other = reserve(&fleet, addr, "A2", &anna).await.unwrap();
        assert_eq!((other.status, other.verdict.as_str()), (409, "not-run"));
        assert_eq!(run_count(&fleet, "A2"), 0);
        // Keys are scoped to the caller.
        assert_eq!(
            reserve(&fleet, addr, "A2", &bent).await.unwrap().status,
            201
        );
    });
}

#[test]
fn key_concurrent_resends_run_once() {
    block_on(async {
        let fleet = start_fleet(2, slow_timing(Duration::from_millis(300))).await;
        let headers = [("idempotency-key", "k")];
        let sends = (0..RESENDS).map(|i| {
            let addr = fleet.entry_addrs[i % fleet.entry_addrs.len()];
            reserve(&fleet, addr, "A1", &headers)
        });
        let responses = join_all(sends).await;
        let responses: Vec<Response> = responses.into_iter().flatten().collect();
        assert_eq!(responses.len(), RESENDS);
        for response in &responses {
            assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
            assert_eq!(response.body, responses[0].body);
        }
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_large_answer_not_kept() {
    block_on(async {
        let fleet = start_fleet(1, BookingTiming::default().padding_bytes(100_000)).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers).await;
        let first = first.unwrap();
        assert_eq!(first.status, 201, "{first:?}");
        // Until the claim is settled in the control log, the target process still returns the response.
        let resend = wait_for("the settled claim", || async {
            let response = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers).await?;
            (response.status == 410).then_some(response)
        })
        .await;
        assert_eq!(resend.verdict, "ran");
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_entry_killed_mid_call() {
    block_on(async {
        let mut fleet = start_fleet(2, slow_timing(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let mut entry = fleet.processes.remove("entry-1").unwrap();
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            entry.kill();
        };
        let (interrupted, ()) =
            join(reserve(&fleet, fleet.entry_addrs[0], "A1", &headers), kill).await;
        assert!(interrupted.is_none());
        let response = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        assert_eq!(run_count(&fleet, "A1"), 1);
        fleet.processes.insert("entry-1".into(), entry);
    });
}

#[test]
fn key_target_killed_before_call() {
    block_on(async {
        let mut fleet = start_fleet(1, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        fleet.processes.get_mut("billet-1").unwrap().kill();
        let response = wait_for("a refusal", || async {
            let response = reserve_once(&fleet, fleet.entry_addrs[0], "A1", &headers).await?;
            (response.status == 503).then_some(response)
        })
        .await;
        assert_eq!(response.verdict, "not-run");
        assert!(response.retry_after.is_some());
        fleet.restart("billet-1");
        let response = wait_for("success after the restart", || async {
            let response = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers).await?;
            (response.status == 201).then_some(response)
        })
        .await;
        assert_eq!(response.verdict, "ran");
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_target_killed_during_call() {
    block_on(async {
        let mut fleet = start_fleet(2, slow_timing(Duration::from_secs(20))).await;
        let headers = [("idempotency-key", "k")];
        let first = async {
            let response = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers).await;
            response.unwrap()
        };
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes[&target_of_run(&fleet, "A1")].signal(Signal::KILL);
        };
        let (first, ()) = join(first, kill).await;
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (502, "may-have-run")
        );
        let name = target_of_run(&fleet, "A1");
        fleet.restart(&name);
        for addr in fleet.entry_addrs.clone() {
            let resend = reserve(&fleet, addr, "A1", &headers).await.unwrap();
            assert_eq!(
                (resend.status, resend.verdict.as_str()),
                (502, "may-have-run")
            );
        }
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_target_killed_after_call() {
    block_on(async {
        let mut fleet = start_fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers).await;
        let name = target_of_run(&fleet, "A1");
        // A graceful stop waits until the result is in the control log.
        fleet.processes[&name].signal(Signal::TERM);
        let status = fleet.processes.get_mut(&name).unwrap().wait().await;
        assert_eq!(status.code(), Some(0));
        let resend = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((resend.status, resend.body), (201, first.unwrap().body));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_partition_before_target() {
    block_on(async {
        let fleet = start_fleet(2, slow_timing(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let headers_with_deadline = [
            ("idempotency-key", "k"),
            ("laburnumlug-deadline-ms", "8000"),
        ];
        let partition = async {
            wait_for_run(&fleet, "A1").await;
            fleet.proxies[&format!(">{}", target_of_run(&fleet, "A1"))].set_fault(Fault::Partition);
        };
        let (first, ()) = join(
            reserve(&fleet, fleet.entry_addrs[0], "A1", &headers_with_deadline),
            partition,
        )
        .await;
        let first = first.unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (504, "may-have-run")
        );
        // The target process is unreachable, but its result is in the control log.
        let response = resend_until_known(&fleet, fleet.entry_addrs[1], "A1", &headers).await;
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_one_way_partition_before_service() {
    block_on(async {
        let fleet = start_fleet(1, slow_timing(Duration::from_millis(200))).await;
        let headers = [("idempotency-key", "k")];
        let headers_with_deadline = [
            ("idempotency-key", "k"),
            ("laburnumlug-deadline-ms", "4000"),
        ];
        let proxy = &fleet.proxies["billet-1>service"];
        proxy.set_fault(Fault::PartitionBackward);
        let first = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers_with_deadline)
            .await
            .unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (504, "may-have-run")
        );
        let resend = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers_with_deadline)
            .await
            .unwrap();
        assert_eq!(
            (resend.status, resend.verdict.as_str()),
            (504, "may-have-run")
        );
        proxy.set_fault(Fault::None);
        let response = resend_until_known(&fleet, fleet.entry_addrs[1], "A1", &headers).await;
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_service_hangs_up() {
    block_on(async {
        let timing = BookingTiming::default().queue_time(Duration::from_millis(300));
        let fleet = start_fleet(1, timing).await;
        let headers = [("idempotency-key", "k")];
        let hang_up = async {
            wait_for("call at the service", || async {
                (fleet.booking_servers[0].calls() > 0).then_some(())
            })
            .await;
            fleet.proxies["billet-1>service"].set_fault(Fault::Disconnect);
        };
        let (first, ()) = join(
            reserve(&fleet, fleet.entry_addrs[0], "A1", &headers),
            hang_up,
        )
        .await;
        let first = first.unwrap();
        assert_eq!(
            (first.status, first.verdict.as_str()),
            (502, "may-have-run")
        );
        fleet.proxies["billet-1>service"].set_fault(Fault::None);
        // The server books after the connection closed; a resend must not book again.
        wait_for_run(&fleet, "A1").await;
        let resend = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!(resend.verdict, "may-have-run");
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_service_down() {
    block_on(async {
        let mut fleet = start_fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        // The connections to the servers are refused, so the call provably does not run.
        let settings: Vec<String> = ["billet-1", "billet-2"]
            .into_iter()
            .map(|name| make_peer_unreachable(&mut fleet, name))
            .collect();
        let response = wait_for("a refusal", || async {
            let response = reserve_once(&fleet, fleet.entry_addrs[0], "A1", &headers).await?;
            (response.status == 503).then_some(response)
        })
        .await;
        assert_eq!(response.verdict, "not-run");
        // The claim was released, so the other target process may run the call.
        fleet.processes["billet-2"].signal(Signal::TERM);
        fleet.processes.get_mut("billet-2").unwrap().wait().await;
        fleet.folder.write("billet-2.ini", &settings[1]);
        fleet.restart("billet-2");
        let response = wait_for("success at the other target process", || async {
            let response = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers).await?;
            (response.status == 201).then_some(response)
        })
        .await;
        assert_eq!(response.verdict, "ran");
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_resend_while_no_target_serves() {
    block_on(async {
        let fleet = start_fleet(2, BookingTiming::default()).await;
        let headers = [("idempotency-key", "k")];
        let first = reserve(&fleet, fleet.entry_addrs[0], "A1", &headers).await;
        for name in ["billet-1", "billet-2"] {
            fleet.processes[name].signal(Signal::TERM);
        }
        wait_for("refusal of a new call", || async {
            let key = format!("{:x}", rand::random::<u64>());
            let headers = [("idempotency-key", key.as_str())];
            let response = reserve_once(&fleet, fleet.entry_addrs[1], "A2", &headers).await?;
            (response.verdict == "not-run").then_some(())
        })
        .await;
        // The call has run, so the verdict `not-run` would be wrong.
        let resend = reserve(&fleet, fleet.entry_addrs[1], "A1", &headers)
            .await
            .unwrap();
        assert_eq!((resend.status, resend.body), (201, first.unwrap().body));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn key_control_killed_mid_call() {
    block_on(async {
        let mut fleet = start_fleet(1, slow_timing(Duration::from_millis(500))).await;
        let headers = [("idempotency-key", "k")];
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes["control-1"].signal(Signal::KILL);
        };
        let (first, ()) = join(reserve(&fleet, fleet.entry_addrs[0], "A1", &headers), kill).await;
        let first = first.unwrap();
        assert_eq!((first.status, first.verdict.as_str()), (201, "ran"));
        // Without the control log nothing proves that the call with this key did not run.
        let refused = wait_for("failure without the control log", || async {
            let response = reserve_once(&fleet, fleet.entry_addrs[1], "A1", &headers).await?;
            (response.status != 201).then_some(response)
        })
        .await;
        assert_eq!(refused.verdict, "may-have-run");
        fleet.restart("control-1");
        let resend = resend_until_known(&fleet, fleet.entry_addrs[1], "A1", &headers).await;
        assert_eq!((resend.status, resend.body), (201, first.body));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

/// Returns the name of the leading control replica.
async fn leader_name(fleet: &Fleet) -> String {
    wait_for("a leader", || async {
        let status = fleet.get_control_json(0, "/status").await?;
        status["leader"].as_str().map(str::to_string)
    })
    .await
}

#[test]
fn key_leader_killed_mid_call() {
    block_on(async {
        let config = FleetConfig::default()
            .engines(0)
            .booking_servers(2)
            .control_replicas(3);
        let timing = slow_timing(Duration::from_millis(100));
        let fleet = Fleet::start(config.booking_timing(timing)).await;
        for name in ["billet-1", "billet-2"] {
            wait_for_process_report(&fleet, name).await;
        }
        let leader = leader_name(&fleet).await;
        let sends = (0..CALLS_DURING_ELECTION).map(|i| {
            let fleet = &fleet;
            async move {
                let key = format!("k-{i}");
                let headers = [("idempotency-key", key.as_str())];
                let addr = fleet.entry_addrs[i % 2];
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
                let addr = fleet.entry_addrs[(i + 1) % 2];
                let response = wait_for("success after the leader change", || async {
                    let response = reserve_once(fleet, addr, &key, &headers).await?;
                    (response.verdict == "ran").then_some(response)
                })
                .await;
                let first = first.filter(|first| first.verdict == "ran");
                assert!(first.is_none_or(|first| first.body == response.body));
                assert_eq!(run_count(fleet, &key), 1);
            }
        });
        join_all(resends).await;
    });
}

#[test]
fn no_key_target_killed_during_call() {
    block_on(async {
        let fleet = start_fleet(2, slow_timing(Duration::from_secs(20))).await;
        let kill = async {
            wait_for_run(&fleet, "A1").await;
            fleet.processes[&target_of_run(&fleet, "A1")].signal(Signal::KILL);
        };
        let (response, ()) = join(reserve(&fleet, fleet.entry_addrs[0], "A1", &[]), kill).await;
        let response = response.unwrap();
        assert_eq!(
            (response.status, response.verdict.as_str()),
            (502, "may-have-run")
        );
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

#[test]
fn no_key_connection_breaks_mid_call() {
    block_on(async {
        let fleet = start_fleet(1, slow_timing(Duration::from_millis(500))).await;
        let disconnect = async {
            wait_for_run(&fleet, "A1").await;
            fleet.proxies[">billet-1"].set_fault(Fault::Disconnect);
            compio::time::sleep(Duration::from_millis(50)).await;
            fleet.proxies[">billet-1"].set_fault(Fault::None);
        };
        let (response, ()) =
            join(reserve(&fleet, fleet.entry_addrs[0], "A1", &[]), disconnect).await;
        let response = response.unwrap();
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        assert_eq!(run_count(&fleet, "A1"), 1);
    });
}

/// Guards against a needless `may-have-run`: the entry has written the call, but its connection breaks before the
/// target process receives it, so the call can be sent again.
#[test]
fn no_key_connection_breaks_before_target() {
    block_on(async {
        let fleet = start_fleet(2, BookingTiming::default()).await;
        // Opens a connection to each target process, which then stays idle in the pool.
        for seat in ["A1", "A2"] {
            let response = reserve(&fleet, fleet.entry_addrs[0], seat, &[]).await;
            assert_eq!(response.unwrap().status, 201);
        }
        let proxies = [&fleet.proxies[">billet-1"], &fleet.proxies[">billet-2"]];
        for proxy in proxies {
            proxy.set_fault(Fault::PartitionForward);
        }
        let disconnect = async {
            // Waits until the entry has written the call, which no target process receives.
            compio::time::sleep(Duration::from_millis(300)).await;
            for proxy in proxies {
                proxy.set_fault(Fault::Disconnect);
            }
            compio::time::sleep(Duration::from_millis(50)).await;
            for proxy in proxies {
                proxy.set_fault(Fault::None);
            }
        };
        let (response, ()) =
            join(reserve(&fleet, fleet.entry_addrs[0], "B1", &[]), disconnect).await;
        let response = response.unwrap();
        assert_eq!((response.status, response.verdict.as_str()), (201, "ran"));
        assert_eq!(run_count(&fleet, "B1"), 1);
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
        .expect("a target process sends its incarnation")
}

/// Guards against a call that runs after the target process has reported it as not received on a new connection.
#[test]
fn no_key_late_submit_after_reattach() {
    block_on(async {
        let fleet = start_fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        let mut late_conn = connect(&fleet, "billet-1").await;
        let mut conn = connect(&fleet, "billet-1").await;
        let reattach = WorkMessage::Reattach {
            session: late_conn.session_id().to_string(),
            incarnation,
        };
        conn.send("r-1", &Message::Work(reattach)).await.unwrap();
        let reply = recv(&mut conn).await;
        let not_received = RefusalReason::NotReceived;
        assert!(
            matches!(reply, WorkMessage::Refused { reason, .. } if reason == not_received),
            "{reply:?}"
        );
        // The call was delayed on its first connection and arrives after it was refused as not received.
        let _ = late_conn.send("r-1", &submit("A1", None, None)).await;
        let reply = late_conn.recv().await;
        let is_refused = matches!(
            reply,
            Ok((_, Message::Work(WorkMessage::Refused { .. }))) | Err(_)
        );
        assert!(is_refused, "{reply:?}");
        assert_eq!(run_count(&fleet, "A1"), 0);
    });
}

/// Guards against the verdict `not-run` for a call on a connection that the target process does not know, as the call
/// may have run.
#[test]
fn no_key_reattach_to_unknown_connection() {
    block_on(async {
        let fleet = start_fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        for (session, incarnation) in [("nonesuch", incarnation), ("nonesuch", incarnation + 1)] {
            let mut conn = connect(&fleet, "billet-1").await;
            let reattach = WorkMessage::Reattach {
                session: session.into(),
                incarnation,
            };
            conn.send("r-1", &Message::Work(reattach)).await.unwrap();
            let reply = recv(&mut conn).await;
            let verdict = Verdict::MayHaveRun;
            assert!(
                matches!(reply, WorkMessage::Failed { verdict: v, .. } if v == verdict),
                "{reply:?}"
            );
        }
    });
}

/// Guards against a call that runs at another incarnation of the target process than the entry addressed.
#[test]
fn key_submit_for_other_incarnation() {
    block_on(async {
        let fleet = start_fleet(1, BookingTiming::default()).await;
        let incarnation = incarnation(&fleet, "billet-1").await;
        let mut conn = connect(&fleet, "billet-1").await;
        let message = submit("A1", Some("k"), Some(incarnation + 1));
        conn.send("r-1", &message).await.unwrap();
        let reply = recv(&mut conn).await;
        let other = RefusalReason::OtherIncarnation;
        assert!(
            matches!(reply, WorkMessage::Refused { reason, .. } if reason == other),
            "{reply:?}"
        );
        assert_eq!(run_count(&fleet, "A1"), 0);
    });
}

#[test]
fn no_key_not_run_verdict_holds() {
    block_on(async {
        let fleet = start_fleet(2, slow_timing(Duration::from_millis(30))).await;
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
                    let addr = fleet.entry_addrs[i % fleet.entry_addrs.len()];
                    let deadline = [("laburnumlug-deadline-ms", "1000")];
                    compio::time::sleep(Duration::from_millis(10 * i as u64)).await;
                    let response = reserve_once(fleet, addr, &seat, &deadline).await;
                    (seat, response.unwrap())
                }
            });
            let inject = async {
                compio::time::sleep(Duration::from_millis(40)).await;
                fleet.proxies[name].set_fault(fault);
            };
            let (responses, ()) = join(join_all(sends), inject).await;
            fleet.proxies[name].set_fault(Fault::None);
            for (seat, response) in responses {
                let runs = run_count(&fleet, &seat);
                let is_consistent = match response.verdict.as_str() {
                    "ran" => runs == 1,
                    "not-run" => runs == 0,
                    _ => runs <= 1,
                };
                assert!(is_consistent, "seat {seat} ran {runs} times: {response:?}");
            }
        }
        // The proxies now deliver the blocked bytes, which must not cause a second run or a run after a `not-run`.
        let all_bookings: Vec<Value> = fleet
            .booking_servers
            .iter()
            .flat_map(|server| server.bookings())
            .collect();
        for content in &all_bookings {
            assert_eq!(run_count(&fleet, content["seat"].as_str().unwrap()), 1);
        }
    });
}
