//! Control replicas and gateways of a run, and the stand-ins of the targets behind them.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::client;
use crate::harness::wait_for;
use crate::platform_fleet::{Cluster, Gateway, readiness_status, serve_target_list};
use crate::standin::{Behaviour, ServerStandIn};

/// Number of gateways, which all read the same target list.
const GATEWAYS: usize = 3;

/// Services and behaviours of the targets.
///
/// Besides those that work, one drops each response and one returns responses with another request's id.
const TARGETS: [(&str, Behaviour); 6] = [
    ("plain", Behaviour::Serve),
    ("plain", Behaviour::Serve),
    ("plain", Behaviour::DropResponse),
    ("plain", Behaviour::WrongRequestId),
    ("engines", Behaviour::Serve),
    ("engines", Behaviour::Serve),
];

/// Three control replicas, the gateways, and the targets behind them.
pub struct Deployment {
    pub cluster: Cluster,
    pub gateways: Vec<Gateway>,
    pub targets: Vec<ServerStandIn>,
}

impl Deployment {
    /// Starts everything and waits until all gateways are ready.
    pub async fn start() -> Deployment {
        let cluster = Cluster::start();
        let mut targets = Vec::new();
        let mut rows = Vec::new();
        for (i, (service, behaviour)) in TARGETS.into_iter().enumerate() {
            let instance = format!("i-{i}");
            let target = ServerStandIn::start(&instance, behaviour).await;
            let row = include_str!("../../../platform/tests/soak-row.json")
                .replace("INSTANCE", &instance)
                .replace("SERVICE", service)
                .replace("ADDRESS", &target.addr().to_string());
            rows.push(serde_json::from_str::<Value>(&row).unwrap());
            targets.push(target);
        }
        let page = json!({ "instances": rows, "next": null }).to_string();
        let list = serve_target_list(page).await;
        let gateways = (0..GATEWAYS).map(|i| {
            Gateway::start_with_list(&cluster.folder, &format!("g-{i}"), list, &cluster.seeds())
        });
        let deployment = Deployment {
            gateways: gateways.collect(),
            cluster,
            targets,
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

/// Returns the configuration with this version, from a template in the platform crate's tests.
pub fn config(version: u64) -> String {
    include_str!("../../../platform/tests/soak-config.json").replace("1001", &version.to_string())
}
