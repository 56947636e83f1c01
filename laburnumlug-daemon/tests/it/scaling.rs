//! Orders of targets by control replicas to a stand-in of the platform.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{Limits, Request, Response, Server, full_body, read_body, text_response};
use serde_json::{Value, json};

use crate::client;
use crate::harness::{block_on, free_addr, wait_for};
use crate::platform_fleet::{Cluster, config};

/// Order as the platform received it.
#[derive(Clone, Debug)]
struct ReceivedOrder {
    holder: String,
    fence: u64,
    body: Value,
}

/// Stand-in of the platform that lists one target of the service `plain` and records orders.
#[derive(Clone)]
struct PlatformStandIn {
    addr: SocketAddr,
    orders: Rc<RefCell<Vec<ReceivedOrder>>>,
    /// Status of the answers to orders.
    status: Rc<Cell<u16>>,
}

impl PlatformStandIn {
    async fn start() -> PlatformStandIn {
        let addr = free_addr();
        let listener = compio::net::TcpListener::bind(addr).await.unwrap();
        let standin = PlatformStandIn {
            addr,
            orders: Rc::default(),
            status: Rc::new(Cell::new(200)),
        };
        let server = Server::new(listener, Limits::default());
        let serving = standin.clone();
        let handler = Rc::new(move |req: Request| serving.clone().answer(req));
        compio::runtime::spawn(server.run(handler)).detach();
        standin
    }

    async fn answer(self, req: Request) -> Response {
        let (parts, mut body) = req.into_parts();
        if parts.uri.path() != "/scale" {
            let row = json!({ "id": "i-1", "service": "plain", "address": "127.0.0.1:9", "zone": "z1",
                "slots": 4, "state": "ready" });
            let list = json!({ "instances": [row], "next": null });
            return hyper::Response::new(full_body(list.to_string()));
        }
        let header = |name| parts.headers[name].to_str().unwrap().to_string();
        let body = read_body(&mut body, 1 << 20).await.unwrap();
        self.orders.borrow_mut().push(ReceivedOrder {
            holder: header("x-lease-holder"),
            fence: header("x-fence-token").parse().unwrap(),
            body: serde_json::from_slice(&body).unwrap(),
        });
        text_response(self.status.get(), "")
    }

    async fn wait_for_order(&self, desired: u32) {
        wait_for("an order", || async {
            let orders = self.orders.borrow();
            orders
                .iter()
                .any(|order| order.body["desired"] == desired)
                .then_some(())
        })
        .await;
    }
}

/// Puts a configuration in force in which the service `plain` has between `min` and 9 targets in each zone.
async fn replace_config(cluster: &Cluster, replica: usize, version: u64, min: u32) {
    wait_for("an accepted configuration", || async {
        let mut config = config(version, 2000);
        config["services"][0]["scaling"] = json!({ "min": min, "max": 9, "bootS": 8 });
        let addr = cluster.replicas[replica].operator_addr;
        let response = client::post(addr, "/config/replace", &[], &config.to_string()).await?;
        (response.status == 200).then_some(())
    })
    .await;
}

/// Returns the replica that holds the duties and the status of its first ordered service and zone.
async fn holder(cluster: &Cluster, excluded: Option<usize>) -> (usize, Value) {
    wait_for("a holder of the duties", || async {
        for (i, replica) in cluster.replicas.iter().enumerate() {
            if Some(i) == excluded {
                continue;
            }
            let body = client::get_body(replica.operator_addr, "/status").await?;
            let status: Value = serde_json::from_str(&body).unwrap();
            let duties = &status["duties"];
            if duties["held"]["is_acting"] == true && duties["servers"][0].is_object() {
                return Some((i, duties["servers"][0].clone()));
            }
        }
        None
    })
    .await
}

/// A leader is killed before or after its order was accepted. The successor must send an order that was not accepted, must not
/// repeat one that was, and must know the number and its reason.
fn leader_killed(is_accepted: bool) {
    block_on(async {
        let platform = PlatformStandIn::start().await;
        let addr = platform.addr;
        let settings =
            format!("target_list = {addr}\norder_turn_ms = 1500\nduties = autoscale,backup,\n");
        let mut cluster = Cluster::start_with_settings(1, &settings);
        platform.status.set(if is_accepted { 200 } else { 503 });
        replace_config(&cluster, 0, 1, 2).await;
        platform.wait_for_order(2).await;
        let (leader, _) = holder(&cluster, None).await;
        if is_accepted {
            wait_for("a logged acceptance", || async {
                (holder(&cluster, None).await.1["is_accepted"] == true).then_some(())
            })
            .await;
        }
        let first = platform.orders.borrow()[0].clone();
        let expected = json!({ "service": "plain", "zone": "z1", "desired": 2 });
        assert_eq!(first.body, expected);
        cluster.replicas[leader].process.kill();
        platform.status.set(200);
        let (successor, _) = holder(&cluster, Some(leader)).await;
        compio::time::sleep(Duration::from_secs(2)).await;
        let (_, status) = holder(&cluster, Some(leader)).await;
        let shown = ["ordered", "present", "starting", "is_accepted", "reason"];
        let shown = shown.map(|key| status[key].clone());
        let reason = "bounds of the fleet document";
        assert_eq!(
            shown,
            [json!(2), json!(1), json!(1), json!(true), json!(reason)]
        );
        let by_successor = |desired: u32| {
            let orders = platform.orders.borrow();
            let sent = orders
                .iter()
                .filter(|order| order.holder != first.holder && order.body["desired"] == desired);
            sent.map(|order| order.fence).collect::<Vec<u64>>()
        };
        assert_eq!(by_successor(2).len(), usize::from(!is_accepted));
        replace_config(&cluster, successor, 2, 3).await;
        platform.wait_for_order(3).await;
        assert!(by_successor(3).iter().all(|fence| *fence > first.fence));
    });
}

#[test]
fn scaling_leader_killed_after_acceptance() {
    leader_killed(true);
}

#[test]
fn scaling_leader_killed_before_acceptance() {
    leader_killed(false);
}
