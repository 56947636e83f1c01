//! Usage reports of control replicas to a stand-in of the platform, with counts sent over the mesh as gateways do.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use laburnumlug::{CustomerCounts, UsageReport, WindowNumber};
use laburnumlug_http::{Limits, Request, Server, full_body, read_body, text_response};
use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message};
use rustix::process::Signal;
use serde_json::Value;

use crate::client;
use crate::harness::{MESH_KEY, block_on, free_addr, wait_for};
use crate::platform_fleet::Cluster;

const WINDOW_MS: u64 = 1000;

/// Time after the sender was thawed within which calls that arrive are not judged.
const THAW_TIME: Duration = Duration::from_millis(300);

/// Usage report as the platform received it.
#[derive(Clone, Debug)]
struct ReceivedReport {
    at: Instant,
    holder: String,
    fence: u64,
    body: String,
}

impl ReceivedReport {
    fn window(&self) -> WindowNumber {
        let body: Value = serde_json::from_str(&self.body).unwrap();
        body["window"].as_u64().unwrap()
    }
}

/// Stand-in of the platform that records usage reports.
#[derive(Clone)]
struct PlatformStandIn {
    addr: SocketAddr,
    reports: Rc<RefCell<Vec<ReceivedReport>>>,
    /// Status of the answers to reports.
    status: Rc<Cell<u16>>,
}

impl PlatformStandIn {
    async fn start() -> PlatformStandIn {
        let addr = free_addr();
        let listener = compio::net::TcpListener::bind(addr).await.unwrap();
        let standin = PlatformStandIn {
            addr,
            reports: Rc::default(),
            status: Rc::new(Cell::new(200)),
        };
        let server = Server::new(listener, Limits::default());
        let serving = standin.clone();
        let handler = Rc::new(move |req: Request| serving.clone().answer(req));
        compio::runtime::spawn(server.run(handler)).detach();
        standin
    }

    async fn answer(self, req: Request) -> laburnumlug_http::Response {
        let (parts, mut body) = req.into_parts();
        if parts.uri.path() != "/usage" {
            let list = include_str!("../../../platform/tests/sample-list.json");
            return hyper::Response::new(full_body(list));
        }
        let header = |name| parts.headers[name].to_str().unwrap().to_string();
        let body = read_body(&mut body, 1 << 20).await.unwrap();
        self.reports.borrow_mut().push(ReceivedReport {
            at: Instant::now(),
            holder: header("x-lease-holder"),
            fence: header("x-fence-token").parse().unwrap(),
            body: String::from_utf8(body.to_vec()).unwrap(),
        });
        text_response(self.status.get(), "")
    }

    /// Asserts that no rule is broken by the reports that arrived up to `frozen_at` or after the thaw time from `thawed_at`.
    fn assert_rules(&self, thawed: Option<(&str, Instant)>) {
        let mut reports = self.reports.borrow().clone();
        let mut bodies = BTreeMap::new();
        for report in &reports {
            let first = bodies.entry(report.window()).or_insert(&report.body);
            assert_eq!(*first, &report.body, "two reports of one window");
        }
        reports.retain(|report| {
            thawed.is_none_or(|(holder, at)| {
                report.holder != holder || report.at < at || report.at > at + THAW_TIME
            })
        });
        assert!(
            reports.is_sorted_by_key(|report| report.fence),
            "{reports:?}"
        );
        let holders: BTreeSet<(u64, &str)> = reports
            .iter()
            .map(|r| (r.fence, r.holder.as_str()))
            .collect();
        let fences: BTreeSet<u64> = holders.iter().map(|(fence, _)| *fence).collect();
        assert_eq!(
            holders.len(),
            fences.len(),
            "two holders with one token: {holders:?}"
        );
    }
}

/// Gateway that counts requests of customer `a` and reports them to all replicas.
#[derive(Clone, Default)]
struct CountingGateway {
    counts: Rc<RefCell<BTreeMap<WindowNumber, u64>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl CountingGateway {
    fn start(replicas: &[SocketAddr]) -> CountingGateway {
        let gateway = CountingGateway::default();
        for addr in replicas {
            compio::runtime::spawn(gateway.clone().report(*addr)).detach();
        }
        gateway
    }

    fn count(&self, window: WindowNumber, requests: u64) {
        *self.counts.borrow_mut().entry(window).or_default() += requests;
    }

    /// Reports all counts to one replica every 50 ms, and reconnects when the connection breaks.
    async fn report(self, addr: SocketAddr) {
        let key = MeshKey::new(MESH_KEY);
        loop {
            compio::time::sleep(Duration::from_millis(50)).await;
            let Ok(mut conn) = Connection::connect(addr, &key, Duration::from_secs(1)).await else {
                continue;
            };
            loop {
                let request = Message::Control(ControlMessage::FetchFleet {
                    known: u64::MAX,
                    usage: Some(self.usage_report()),
                });
                if conn.send("", &request).await.is_err() {
                    break;
                }
                let answer = compio::time::timeout(Duration::from_secs(1), conn.recv()).await;
                let Ok(Ok((_, Message::Control(ControlMessage::Fleet { time_ms, .. })))) = answer
                else {
                    break;
                };
                assert!(time_ms.is_some_and(|time| time.abs_diff(unix_ms()) < 1000));
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    fn usage_report(&self) -> UsageReport {
        let counts = self.counts.borrow();
        let counts = counts.iter().map(|(window, requests)| {
            (
                *window,
                CustomerCounts::from([("a".to_string(), *requests)]),
            )
        });
        let now = unix_ms();
        UsageReport {
            sender: 7,
            window_ms: WINDOW_MS,
            window_ns: 0,
            time_ms: Some(now),
            counted_until_ms: Some(now),
            counts: counts.collect(),
        }
    }
}

/// Returns the status of the replica that leads, and its index.
async fn leader_status(cluster: &Cluster, excluded: Option<usize>) -> (usize, Value) {
    wait_for("a leader", || async {
        for (i, replica) in cluster.replicas.iter().enumerate() {
            if Some(i) == excluded {
                continue;
            }
            let body = client::get_body(replica.operator_addr, "/status").await?;
            let status: Value = serde_json::from_str(&body).unwrap();
            if status["duties"]["held"].is_object() {
                return Some((i, status));
            }
        }
        None
    })
    .await
}

async fn pending_windows(cluster: &Cluster, replica: usize) -> Option<usize> {
    let addr = cluster.replicas[replica].operator_addr;
    let status: Value = serde_json::from_str(&client::get_body(addr, "/status").await?).unwrap();
    Some(status["duties"]["pending_windows"].as_array()?.len())
}

/// A leader is killed or frozen after it has fixed a window and before a report of it was accepted. The successor must report
/// what was fixed, although requests were added meanwhile, and a frozen leader must not report anything when it continues.
fn leader_lost_between_fixing_and_report(is_killed: bool) {
    block_on(async {
        let platform = PlatformStandIn::start().await;
        let settings = format!(
            "target_list = {}\norder_turn_ms = 1500\nusage_window_s = 1\nusage_late_s = 4\n",
            platform.addr
        );
        let mut cluster = Cluster::start_with_settings(1, &settings);
        let gateway = CountingGateway::start(&cluster.seeds());
        // The first reports must have arrived before a window can be fixed.
        let window = unix_ms() / WINDOW_MS;
        gateway.count(window, 5);
        let (leader, _) = leader_status(&cluster, None).await;
        platform.status.set(503);
        wait_for(
            "a window that is fixed and sent without being accepted",
            || async {
                let is_sent = !platform.reports.borrow().is_empty();
                (is_sent && pending_windows(&cluster, leader).await? == 1).then_some(())
            },
        )
        .await;
        let first_holder = platform.reports.borrow()[0].holder.clone();
        let lost_at = Instant::now();
        match is_killed {
            true => cluster.replicas[leader].process.kill(),
            false => cluster.replicas[leader].process.signal(Signal::STOP),
        }
        gateway.count(window, 3);
        gateway.count(window + 1, 4);
        platform.status.set(200);
        let (successor, status) = leader_status(&cluster, Some(leader)).await;
        wait_for("reports of the successor", || async {
            (pending_windows(&cluster, successor).await? == 0
                && platform
                    .reports
                    .borrow()
                    .iter()
                    .any(|r| r.window() == window + 1))
            .then_some(())
        })
        .await;
        let resumed_at = (!is_killed).then(Instant::now);
        if resumed_at.is_some() {
            cluster.replicas[leader].process.signal(Signal::CONT);
            compio::time::sleep(Duration::from_secs(1)).await;
        }
        platform.assert_rules(resumed_at.map(|at| (first_holder.as_str(), at)));
        let reports = platform.reports.borrow();
        let by_successor: Vec<&ReceivedReport> = reports
            .iter()
            .filter(|r| r.holder != first_holder)
            .collect();
        assert_eq!(by_successor.len(), 2, "{reports:?}");
        assert!(
            by_successor
                .iter()
                .all(|r| r.fence == status["term"].as_u64().unwrap())
        );
        assert!(by_successor[0].at >= lost_at + Duration::from_millis(1500));
        let expected =
            |window, requests| format!(r#"{{"counts":{{"a":{requests}}},"window":{window}}}"#);
        assert_eq!(by_successor[0].body, expected(window, 5));
        assert_eq!(by_successor[1].body, expected(window + 1, 4));
    });
}

#[test]
fn usage_leader_killed_between_fixing_and_report() {
    leader_lost_between_fixing_and_report(true);
}

#[test]
fn usage_leader_frozen_between_fixing_and_report() {
    leader_lost_between_fixing_and_report(false);
}
