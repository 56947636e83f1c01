//! Control replicas and gateways of a run, and the servers behind them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::answers::Manner;
use crate::client;
use crate::harness::wait_for;
use crate::platform_fleet::{Cluster, Gateway, readiness_status, serve_changing_list};
use crate::servers::{Identity, RunLog, Server};

/// Grace periods of the gateways, which all read the same target list.
pub const GRACE_PERIODS: [Duration; 3] = [
    Duration::from_secs(8),
    Duration::from_secs(8),
    Duration::from_secs(4),
];

/// Services and manners of the servers.
pub const SERVERS: [(&str, Manner); 9] = [
    ("plain", Manner::Sound),
    ("plain", Manner::Sound),
    ("plain", Manner::Slow),
    ("plain", Manner::Erratic),
    ("engines", Manner::Sound),
    ("engines", Manner::Sound),
    ("engines", Manner::Slow),
    ("engines", Manner::Erratic),
    ("engines", Manner::Erratic),
];

/// Versions of the servers' software; a server that is replaced may get the other one.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Three control replicas, the gateways, and the servers behind them.
pub struct Deployment {
    pub cluster: Cluster,
    pub gateways: Vec<Gateway>,
    servers: Vec<Server>,
    list: Rc<RefCell<Value>>,
    pub runs: RunLog,
    replaced: usize,
}

impl Deployment {
    /// Starts everything and waits until all gateways are ready.
    pub async fn start() -> Deployment {
        let cluster = Cluster::start();
        let runs = RunLog::default();
        let list = Rc::new(RefCell::new(
            json!({ "instances": vec![Value::Null; SERVERS.len()], "next": null }),
        ));
        let mut servers = Vec::new();
        for (i, (service, manner)) in SERVERS.into_iter().enumerate() {
            let identity = Identity {
                instance: format!("i-{i}"),
                version: VERSIONS[i % 2],
                manner,
            };
            let server = Server::start(identity, &runs);
            list.borrow_mut()["instances"][i] = row(&server, service);
            servers.push(server);
        }
        let list_addr = serve_changing_list(list.clone()).await;
        let gateways = GRACE_PERIODS.into_iter().enumerate().map(|(i, grace)| {
            let name = format!("g-{i}");
            Gateway::start_with_grace(&cluster.folder, &name, list_addr, &cluster.seeds(), grace)
        });
        let deployment = Deployment {
            gateways: gateways.collect(),
            cluster,
            servers,
            list,
            runs,
            replaced: 0,
        };
        wait_for("acceptance of the first configuration", || async {
            let addr = deployment.cluster.replicas[0].operator_addr;
            let response = client::post(addr, "/config/replace", &[], &config(1)).await?;
            (response.status == 200).then_some(())
        })
        .await;
        deployment.wait_until_ready().await;
        deployment
    }

    /// Waits until `/ready` returns status 200 at every gateway.
    pub async fn wait_until_ready(&self) {
        for gateway in &self.gateways {
            wait_for("a ready gateway", || async {
                (readiness_status(gateway.ready_addr).await? == 200).then_some(())
            })
            .await;
        }
    }

    /// Lists a server as draining.
    pub fn drain_server(&mut self, server: usize) {
        self.list.borrow_mut()["instances"][server]["state"] = json!("draining");
        self.servers[server].leave();
    }

    /// Ends a server and starts another one in its place, whose version changes in turn.
    pub fn replace_server(&mut self, server: usize) {
        self.replaced += 1;
        let (service, manner) = SERVERS[server];
        let identity = Identity {
            instance: format!("i-{server}-{}", self.replaced),
            version: VERSIONS[self.replaced % 2],
            manner,
        };
        self.servers[server] = Server::start(identity, &self.runs);
        self.list.borrow_mut()["instances"][server] = row(&self.servers[server], service);
    }

    /// Returns the addresses of the gateways for callers.
    pub fn gateway_addrs(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.caller_addr)
            .collect()
    }

    /// Returns the addresses of the control replicas for operators.
    pub fn operator_addrs(&self) -> Vec<SocketAddr> {
        let replicas = self.cluster.replicas.iter();
        replicas.map(|replica| replica.operator_addr).collect()
    }
}

/// Returns the entry of a server in the target list.
fn row(server: &Server, service: &str) -> Value {
    let text = include_str!("../../../platform/tests/soak-row.json")
        .replace("INSTANCE", &server.identity.instance)
        .replace("SERVICE", service)
        .replace("ADDRESS", &server.addr.to_string());
    let mut row: Value = serde_json::from_str(&text).unwrap();
    row["version"] = json!(server.identity.version);
    row
}

/// Returns the configuration with this version, from a template in the platform crate's tests.
///
/// It has a route for itself and for each version before, which shows whether a gateway obeys it.
pub fn config(version: u64) -> String {
    let text = include_str!("../../../platform/tests/gateways-config.json");
    let mut config: Value = serde_json::from_str(text).unwrap();
    config["version"] = json!(version);
    let routes = config["routes"].as_array_mut().unwrap();
    for older in 1..=version {
        let mut route = routes[0].clone();
        route["name"] = json!(format!("v-{older}"));
        route["pathPrefix"] = json!(format!("/v/{older}/"));
        routes.push(route);
    }
    config.to_string()
}
