//! Open connections between processes that go silent without a reset, while new ones work.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join;
use laburnumlug_standin::Fault;
use serde_json::{Value, json};

use crate::client;
use crate::harness::{Fleet, FleetConfig, block_on, free_addr, wait_for};
use crate::platform_fleet::serve_changing_list;
use crate::standin::{Behaviour, ServerStandIn};

/// Time within which a change of the configuration must be in force.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Time after the list has shown a target as leaving within which it must get no more requests.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(3);

/// Time without a response after which the operator tries another replica.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from one silence of the connections to the next, in which the change takes effect even if it is late.
const ROUND_TIME: Duration = Duration::from_secs(7);

/// Number of times that all open connections go silent.
const ROUNDS: usize = 2;

/// Interval between requests.
const SEND_INTERVAL: Duration = Duration::from_millis(5);

/// Control replicas and a gateway, with a proxy on each link between them, in front of servers.
struct Deployment {
    fleet: Fleet,
    gateway_addr: SocketAddr,
    /// Servers of the services `even` and `odd`, to which a route leads in turn.
    alternating: [ServerStandIn; 2],
    /// Servers of the service `plain`; the first one stays.
    plain: Vec<ServerStandIn>,
    list: Rc<RefCell<Value>>,
}

impl Deployment {
    async fn start() -> Deployment {
        let list = Rc::new(RefCell::new(Value::Null));
        let list_addr = serve_changing_list(list.clone()).await;
        let config = FleetConfig::default()
            .control_replicas(3)
            .entries(0)
            .engines(0)
            .booking_servers(0)
            .extra_control_settings(&format!(
                "target_list = {list_addr}\nplatform_operator = yes"
            ));
        let mut fleet = Fleet::start(config).await;
        let alternating = [
            ServerStandIn::start("i-even", Behaviour::Serve).await,
            ServerStandIn::start("i-odd", Behaviour::Serve).await,
        ];
        let mut plain = Vec::new();
        for i in 0..=ROUNDS {
            plain.push(ServerStandIn::start(&format!("i-{i}"), Behaviour::Serve).await);
        }
        let mut rows = vec![
            row("i-even", "even", &alternating[0]),
            row("i-odd", "odd", &alternating[1]),
        ];
        let plain_rows = plain.iter().enumerate();
        rows.extend(plain_rows.map(|(i, server)| row(&format!("i-{i}"), "plain", server)));
        *list.borrow_mut() = json!({ "instances": rows, "next": null });
        let gateway_addr = free_addr();
        let control_addrs = fleet.control_addrs.clone();
        let common = fleet
            .common_settings("gateway-1", "z", &control_addrs)
            .await;
        let settings = format!(
            "{common}[gateway]\nlisten = {gateway_addr}\nready = {}\nmesh_listen = {}\ntarget_list = {list_addr}\n",
            free_addr(),
            free_addr(),
        );
        fleet.start_process("gateway-1", "gateway", &settings);
        let deployment = Deployment {
            fleet,
            gateway_addr,
            alternating,
            plain,
            list,
        };
        deployment.replace_config(1, "even").await;
        wait_for("a served request", || async {
            (deployment.send("/safe/x").await? == 200).then_some(())
        })
        .await;
        deployment
    }

    /// Replaces the configuration by version `version`, whose route `safe` leads to `service`; the operator turns to another
    /// replica after each failure.
    async fn replace_config(&self, version: u64, service: &str) {
        let text = config(version, service).to_string();
        let replicas = RefCell::new(self.fleet.operator_addrs.iter().cycle());
        wait_for("an accepted configuration", || async {
            let addr = *replicas.borrow_mut().next().unwrap();
            let replacing = client::post(addr, "/config/replace", &[], &text);
            let response = compio::time::timeout(OPERATOR_TIMEOUT, replacing).await;
            (response.ok()??.status == 200).then_some(())
        })
        .await;
    }

    /// Silences all open connections to control replicas.
    fn silence_connections(&self) {
        for proxy in self.fleet.proxies.values() {
            proxy.set_fault(Fault::PartitionExisting);
        }
    }

    /// Shows a server of the service `plain` as leaving from now on.
    fn list_as_leaving(&self, server: usize) {
        let mut list = self.list.borrow_mut();
        let id = json!(format!("i-{server}"));
        for row in list["instances"].as_array_mut().unwrap() {
            if row["id"] == id {
                row["state"] = json!("draining");
            }
        }
    }

    async fn send(&self, path: &str) -> Option<u16> {
        let headers = [("host", "h.example"), ("x-request-id", "r-1")];
        let response = client::post(self.gateway_addr, path, &headers, "body").await?;
        Some(response.status)
    }
}

fn row(id: &str, service: &str, server: &ServerStandIn) -> Value {
    let text = include_str!("../../../platform/tests/soak-row.json")
        .replace("INSTANCE", id)
        .replace("SERVICE", service)
        .replace("ADDRESS", &server.addr().to_string());
    serde_json::from_str(&text).unwrap()
}

/// Returns a configuration whose route `safe` leads to `service`, and `once` to the service `plain`.
fn config(version: u64, service: &str) -> Value {
    let config = include_str!("../../../platform/tests/soak-config.json");
    let mut config: Value = serde_json::from_str(config).unwrap();
    config["version"] = json!(version);
    config["routes"][0]["service"] = json!(service);
    let services = config["services"].as_array_mut().unwrap();
    services.extend(["even", "odd"].map(|name| json!({ "name": name, "healthPath": "/health" })));
    config
}

/// Guards against changes that take seconds to be in force, and requests to targets that are listed as leaving, because
/// replicas and gateways wait for answers on connections that have gone silent.
#[test]
fn silent_connections_changes_in_force() {
    block_on(async {
        let deployment = Deployment::start().await;
        for round in 1..=ROUNDS {
            let silent_at = Instant::now();
            deployment.silence_connections();
            deployment.list_as_leaving(round);
            let in_use = (round + 1) % 2;
            let changing = deployment.replace_config(1 + round as u64, ["odd", "even"][in_use]);
            let sending = async {
                let (outdated, leaving) =
                    (&deployment.alternating[in_use], &deployment.plain[round]);
                let mut last_sent = [Duration::ZERO; 2];
                while silent_at.elapsed() < ROUND_TIME {
                    let sent_after = silent_at.elapsed();
                    let count = || [outdated.received().len(), leaving.received().len()];
                    let before = count();
                    for path in ["/safe/x", "/once/x"] {
                        assert_eq!(deployment.send(path).await, Some(200));
                    }
                    for (i, after) in count().into_iter().enumerate() {
                        if after > before[i] {
                            last_sent[i] = sent_after;
                        }
                    }
                    compio::time::sleep(SEND_INTERVAL).await;
                }
                last_sent
            };
            let ((), [outdated, leaving]) = join(changing, sending).await;
            assert!(outdated < MAX_CHANGE_TIME, "round {round}: {outdated:?}");
            assert!(leaving < MAX_LEAVING_TIME, "round {round}: {leaving:?}");
        }
    });
}
