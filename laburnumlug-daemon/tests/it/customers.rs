//! API keys of customers at gateways whose control replicas, links or processes fail.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use laburnumlug_platform::translate_config;
use laburnumlug_standin::Fault;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::client;
use crate::control::{Partition, partition_replica, wait_for_leader, wait_for_version};
use crate::gateway_fleet::{GATEWAY, GatewayFleet, row};
use crate::harness::{Fleet, block_on, wait_for};
use crate::standin::{Behaviour, ServerStandIn};

/// Key of the customer that stays in the document.
const KEY: &str = "key-that-stays";

/// Key that is revoked.
const REVOKED_KEY: &str = "key-that-is-revoked";

/// Setting `max_key_age_ms` of the gateway: the time after which a revoked key must be refused everywhere.
const MAX_KEY_AGE: Duration = Duration::from_secs(5);

/// Time without a path to control up to which refusals of valid keys count as wrong.
const MIN_SERVED_PARTITION: Duration = Duration::from_secs(3);

/// Longest time from the repair of the path to control until keys are accepted again: an attempt to connect that times out, and
/// the interval between polls.
const MAX_RECOVERY: Duration = Duration::from_millis(1500);

/// Time within which a key that was added must work.
const MAX_CONFIG_DELAY: Duration = Duration::from_millis(2500);

/// Control replicas and one gateway, with a proxy on each link between them, and a server behind the gateway.
struct Deployment {
    fleet: Fleet,
    gateway_addr: SocketAddr,
    server: ServerStandIn,
}

/// Status of a response, and whether it is the refusal of keys that are not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Served,
    Unauthorized,
    Outdated,
    Other(u16),
}

impl Deployment {
    /// Starts all processes, and waits until the gateway serves both customers.
    async fn start() -> Deployment {
        let server = ServerStandIn::start("i-1", Behaviour::Serve).await;
        let max_key_age = format!("max_key_age_ms = {}", MAX_KEY_AGE.as_millis());
        let rows = vec![row("i-1", "plain", &server)];
        let processes = GatewayFleet::start(rows, &max_key_age).await;
        let deployment = Deployment {
            fleet: processes.fleet,
            gateway_addr: processes.gateway_addr,
            server,
        };
        deployment
            .replace_document(&[0, 1, 2], 1, &[KEY, REVOKED_KEY])
            .await;
        for key in [KEY, REVOKED_KEY] {
            deployment.wait_for_outcome(key, Outcome::Served).await;
        }
        deployment
    }

    /// Replaces version `base` of the document through one of `replicas`, and returns the time of the acknowledgement.
    async fn replace_document(&self, replicas: &[usize], base: u64, keys: &[&str]) -> Instant {
        let document = document(keys).to_string();
        let idempotency_key = format!("keys on {base}");
        let attempts = RefCell::new(replicas.iter().cycle());
        wait_for("an accepted document", || async {
            let replica = *attempts.borrow_mut().next().unwrap();
            let put = self
                .fleet
                .put_document(replica, base, &idempotency_key, &document);
            let (status, _) = put.await?;
            (status == 200).then(Instant::now)
        })
        .await
    }

    async fn wait_for_outcome(&self, key: &str, outcome: Outcome) {
        wait_for("an outcome at the gateway", || async {
            (self.send(key).await? == outcome).then_some(())
        })
        .await;
    }

    /// Sends a request with a key on a new connection.
    async fn send(&self, key: &str) -> Option<Outcome> {
        let credentials = format!("Bearer {key}");
        self.send_to("/safe/x", &[("authorization", &credentials)])
            .await
    }

    /// Sends a request without a key to a route that needs none.
    async fn send_anonymous(&self) -> Option<Outcome> {
        self.send_to("/once/x", &[]).await
    }

    async fn send_to(&self, path: &str, headers: &[(&str, &str)]) -> Option<Outcome> {
        let mut headers = headers.to_vec();
        headers.extend([("host", "h.example"), ("x-request-id", "r-1")]);
        let response = client::post(self.gateway_addr, path, &headers, "body").await?;
        Some(match response.status {
            200 => Outcome::Served,
            401 => Outcome::Unauthorized,
            503 if response.body.contains("API keys") => Outcome::Outdated,
            status => Outcome::Other(status),
        })
    }

    /// Sets the fault of the links between the gateway and the given control replicas.
    fn set_faults(&self, replicas: &[usize], fault: Fault) {
        for replica in replicas {
            let link = format!("{GATEWAY}>control-{}", replica + 1);
            self.fleet.proxies[&link].set_fault(fault);
        }
    }

    /// Returns the number of requests with the revoked key that the server has received.
    fn revoked_runs(&self) -> usize {
        let customer = customer_name(REVOKED_KEY);
        let received = self.server.received();
        let is_of_customer = |headers: &&hyper::HeaderMap| {
            let name = headers.get("x-tenant");
            name.is_some_and(|name| name == customer)
        };
        received.iter().filter(is_of_customer).count()
    }
}

fn customer_name(key: &str) -> &'static str {
    match key {
        KEY => "staying-customer",
        REVOKED_KEY => "revoked-customer",
        _ => "added-customer",
    }
}

/// Returns a document with a route that needs a key, an anonymous one, and a customer for each of `keys`.
fn document(keys: &[&str]) -> Value {
    let config = include_str!("../../../platform/tests/soak-config.json");
    let mut config: Value = serde_json::from_str(config).unwrap();
    for route in config["routes"].as_array_mut().unwrap() {
        route["allowAnonymous"] = json!(route["name"] == "once");
    }
    let customers = keys
        .iter()
        .map(|key| json!({ "name": customer_name(key), "apiKeys": [key] }));
    config["tenants"] = customers.collect();
    let translated = translate_config(&config.to_string()).unwrap();
    let mut document: Value = serde_json::from_str(&translated.document).unwrap();
    document.as_object_mut().unwrap().remove("origin");
    document
}

/// Guards against a revoked key that is accepted by a gateway that is cut off from control, against one that refuses keys
/// too early or refuses requests that need none, and against one that refuses keys long after its path is back.
#[test]
fn gateway_cut_from_control_refuses_keys() {
    block_on(async {
        let deployment = Deployment::start().await;
        let cases = [
            (Fault::Partition, Fault::None, 5.2),
            (Fault::Partition, Fault::PartitionExisting, 5.5),
            (Fault::PartitionBackward, Fault::PartitionExisting, 4.7),
            (Fault::PartitionForward, Fault::PartitionExisting, 5.9),
            (Fault::Disconnect, Fault::None, 5.2),
        ];
        for (fault, recovery, cut_s) in cases {
            let cut_at = Instant::now();
            deployment.set_faults(&[0, 1, 2], fault);
            let refused_at = wait_for("a refusal of keys", || async {
                let sent_at = Instant::now();
                match deployment.send(KEY).await? {
                    Outcome::Served => {
                        assert!(sent_at.duration_since(cut_at) < MAX_KEY_AGE, "{fault:?}");
                        None
                    }
                    outcome => {
                        assert_eq!(outcome, Outcome::Outdated);
                        Some(sent_at.duration_since(cut_at))
                    }
                }
            })
            .await;
            assert!(
                refused_at > MIN_SERVED_PARTITION,
                "{fault:?} {refused_at:?}"
            );
            while cut_at.elapsed() < Duration::from_secs_f64(cut_s) {
                assert_eq!(deployment.send(KEY).await, Some(Outcome::Outdated));
                assert_eq!(deployment.send_anonymous().await, Some(Outcome::Served));
            }
            let repaired_at = Instant::now();
            deployment.set_faults(&[0, 1, 2], recovery);
            deployment.wait_for_outcome(KEY, Outcome::Served).await;
            let taken = repaired_at.elapsed();
            assert!(taken < MAX_RECOVERY, "{fault:?} {recovery:?} {taken:?}");
            deployment.set_faults(&[0, 1, 2], Fault::None);
            compio::time::sleep(Duration::from_secs(1)).await;
        }
        assert_refusals_are_logged(&deployment).await;
    });
}

/// Refusals must be explained by their cause and the customer's name, and neither logs nor the audit trail may have a key or
/// its hash.
async fn assert_refusals_are_logged(deployment: &Deployment) {
    deployment.send("unknown-key").await;
    let path = deployment.fleet.folder.path().join("gateway-1.log");
    let log = wait_for("a logged refusal", || async {
        let log = std::fs::read_to_string(&path).unwrap();
        log.contains("unauthorized").then_some(log)
    })
    .await;
    let names = ["outdated-keys", customer_name(KEY)];
    let is_explained = |line: &str| names.iter().all(|name| line.contains(name));
    assert!(log.lines().any(is_explained));
    let audit = deployment.fleet.get_audit(0).await.unwrap();
    let audit = Value::from(audit).to_string();
    assert!(audit.contains(customer_name(KEY)));
    let hash = document(&[KEY])["customers"][0]["keys"][0].clone();
    for text in [log, audit] {
        for secret in [KEY, REVOKED_KEY, "unknown-key", hash.as_str().unwrap()] {
            assert!(!text.contains(secret), "{secret}");
        }
    }
}

/// Guards against a revoked key that is accepted by a gateway that starts beside a replica that has fallen behind, whose
/// document still lists the key.
#[test]
fn gateway_restarted_beside_lagging_replica() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let leader = wait_for_leader(&deployment.fleet, &[0, 1, 2]).await;
        let (other, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
        wait_for_version(&deployment.fleet, lagging, 2).await;
        partition_replica(&deployment.fleet, lagging, Partition::Both);
        deployment
            .replace_document(&[leader, other], 2, &[KEY])
            .await;
        deployment.set_faults(&[leader, other], Fault::Partition);
        deployment.fleet.restart(GATEWAY);
        // Requests without a key show that the gateway has the outdated document.
        wait_for("a request without a key", || async {
            (deployment.send_anonymous().await? == Outcome::Served).then_some(())
        })
        .await;
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_KEY_AGE + Duration::from_secs(1) {
            for key in [REVOKED_KEY, KEY] {
                assert_eq!(deployment.send(key).await, Some(Outcome::Outdated));
            }
        }
        let runs = deployment.revoked_runs();
        deployment.set_faults(&[other], Fault::None);
        wait_for("the newest document at the gateway", || async {
            let outcome = deployment.send(REVOKED_KEY).await?;
            assert_ne!(outcome, Outcome::Served);
            (outcome == Outcome::Unauthorized).then_some(())
        })
        .await;
        deployment.wait_for_outcome(KEY, Outcome::Served).await;
        assert_eq!(deployment.revoked_runs(), runs);
    });
}

/// Guards against a revoked key that is accepted by a gateway that was frozen while the key was revoked: on a connection
/// that stayed open, on new ones, and by requests that reached the machine while the process did not run.
#[test]
fn gateway_frozen_over_revocation() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let mut open_conn = TcpStream::connect(deployment.gateway_addr).await.unwrap();
        write_request(&mut open_conn).await;
        assert_eq!(read_status(&mut open_conn).await, 200);
        deployment.fleet.process(GATEWAY).signal(Signal::STOP);
        let revoked_at = deployment.replace_document(&[0, 1, 2], 2, &[KEY]).await;
        compio::time::sleep(MAX_KEY_AGE.saturating_sub(revoked_at.elapsed())).await;
        let runs = deployment.revoked_runs();
        let mut new_conn = TcpStream::connect(deployment.gateway_addr).await.unwrap();
        for conn in [&mut open_conn, &mut new_conn] {
            write_request(conn).await;
        }
        deployment.fleet.process(GATEWAY).signal(Signal::CONT);
        for conn in [&mut open_conn, &mut new_conn] {
            let status = read_status(conn).await;
            assert!(status == 401 || status == 503, "{status}");
        }
        wait_for("a refusal for good", || async {
            let outcome = deployment.send(REVOKED_KEY).await?;
            assert_ne!(outcome, Outcome::Served);
            (outcome == Outcome::Unauthorized).then_some(())
        })
        .await;
        write_request(&mut open_conn).await;
        assert_eq!(read_status(&mut open_conn).await, 401);
        deployment.wait_for_outcome(KEY, Outcome::Served).await;
        assert_eq!(deployment.revoked_runs(), runs);
    });
}

/// Guards against keys that are refused, or that take effect late, because the leading control replica is lost and
/// another one must be elected.
#[test]
fn loss_of_leader_does_not_interrupt_service_with_keys() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let former_leader = wait_for_leader(&deployment.fleet, &[0, 1, 2]).await;
        let name = format!("control-{}", former_leader + 1);
        deployment.fleet.process(&name).kill();
        let remaining: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
        let added_key = "key-that-is-added";
        let adding = async {
            let keys = [KEY, REVOKED_KEY, added_key];
            let added_at = deployment.replace_document(&remaining, 2, &keys).await;
            deployment
                .wait_for_outcome(added_key, Outcome::Served)
                .await;
            assert!(added_at.elapsed() < MAX_CONFIG_DELAY);
        };
        let started_at = Instant::now();
        let serving = async {
            // A confirmation from before the loss is too old by then.
            while started_at.elapsed() < 2 * MAX_KEY_AGE {
                assert_eq!(deployment.send(KEY).await, Some(Outcome::Served));
            }
        };
        futures_util::future::join(adding, serving).await;
    });
}

/// Sends a request with the revoked key on an open connection.
async fn write_request(conn: &mut TcpStream) {
    let text = format!(
        "POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-2\r\nauthorization: Bearer {REVOKED_KEY}\r\n\
         content-length: 4\r\n\r\nbody"
    );
    conn.write_all(text).await.0.unwrap();
}

/// Reads a response and returns its status.
async fn read_status(conn: &mut TcpStream) -> u16 {
    let mut text = String::new();
    loop {
        let compio::BufResult(read, buf) = conn.read(Vec::with_capacity(4096)).await;
        assert_ne!(read.unwrap(), 0, "the connection was closed");
        text.push_str(&String::from_utf8(buf).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        let length = head.split("content-length: ").nth(1).unwrap();
        let length = length.split("\r\n").next().unwrap();
        if body.len() >= length.parse().unwrap() {
            return head.split(' ').nth(1).unwrap().parse().unwrap();
        }
    }
}
