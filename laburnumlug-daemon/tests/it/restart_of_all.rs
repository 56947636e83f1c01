//! All gateways and control replicas are killed at once and start again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client;
use crate::harness::{Process, block_on, wait_for};
use crate::platform_fleet::{
    Cluster, Gateway, readiness_status, serve_changing_list, wait_for_voter,
};
use crate::standin::{Behaviour, ServerStandIn};

/// Time after which the control replicas have recorded what the list shows.
const RECORDING_TIME: Duration = Duration::from_millis(1500);

/// Control replicas and a gateway in front of one server, whose software version in the list may change.
struct Deployment {
    cluster: Cluster,
    gateway: Gateway,
    server: ServerStandIn,
    list: Rc<RefCell<Value>>,
}

impl Deployment {
    async fn start() -> Deployment {
        let server = ServerStandIn::start("i-1", Behaviour::Serve).await;
        let list = Rc::new(RefCell::new(Value::Null));
        let list_addr = serve_changing_list(list.clone()).await;
        let cluster = Cluster::start_with_list(list_addr);
        let gateway = Gateway::start_with_list(&cluster.folder, "g", list_addr, &cluster.seeds());
        let deployment = Deployment {
            cluster,
            gateway,
            server,
            list,
        };
        deployment.set_versions(&["v1"]);
        let config = config().to_string();
        wait_for("an accepted configuration", || async {
            let addr = deployment.cluster.replicas[0].operator_addr;
            let response = client::post(addr, "/config/replace", &[], &config).await?;
            (response.status == 200).then_some(())
        })
        .await;
        deployment.wait_until_ready().await;
        deployment
    }

    /// Lists the server with the first of these versions, and one of another service for each further version.
    fn set_versions(&self, versions: &[&str]) {
        let addr = self.server.addr().to_string();
        let rows = versions.iter().enumerate().map(|(i, version)| {
            json!({ "id": format!("i-{}", i + 1), "service": "plain", "address": addr, "zone": "z",
                "version": version, "slots": 4, "state": "ready" })
        });
        let rows: Vec<Value> = rows.collect();
        *self.list.borrow_mut() = json!({ "instances": rows, "next": null });
    }

    async fn wait_until_ready(&self) {
        wait_for("a ready gateway", || async {
            (readiness_status(self.gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
    }

    /// Kills all processes and starts them again.
    async fn restart_all(&mut self) {
        self.gateway.process.kill();
        for replica in &mut self.cluster.replicas {
            replica.process.kill();
        }
        let folder = &self.cluster.folder;
        for replica in &mut self.cluster.replicas {
            let file = format!("control-{}.ini", replica.mesh_addr.port());
            replica.process = Process::start("control", &folder.path().join(file));
        }
        self.gateway.restart(folder);
        self.wait_until_ready().await;
    }

    /// Resumes a stream that a request with another id has begun, and returns the status.
    async fn resume(&self) -> u16 {
        let headers = [
            ("host", "h.example"),
            ("x-request-id", "second"),
            ("last-event-id", "1"),
            ("resumes", "first"),
        ];
        let response = client::post(self.gateway.caller_addr, "/stream/x", &headers, "body").await;
        response.unwrap().status
    }
}

/// Returns a configuration whose resumable route `stream` leads to the service `plain`.
fn config() -> Value {
    let config = include_str!("../../../platform/tests/soak-config.json");
    let mut config: Value = serde_json::from_str(config).unwrap();
    config["routes"][2]["service"] = json!("plain");
    config["routes"][2]["resumable"] = json!(true);
    config
}

/// Guards against resumptions that are refused after each restart of all processes, although there has been one software version
/// only.
#[test]
fn restart_of_all_resumes_stream() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        deployment.restart_all().await;
        deployment.resume().await;
        assert_eq!(deployment.server.received().len(), 1);
    });
}

/// Guards against streams joined from two software versions: the old one has left before all processes restart, so that no
/// process has seen it.
#[test]
fn restart_of_all_after_release() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        deployment.set_versions(&["v1", "v2"]);
        compio::time::sleep(RECORDING_TIME).await;
        deployment.set_versions(&["v2"]);
        deployment.restart_all().await;
        for _ in 0..3 {
            assert_eq!(deployment.resume().await, 503);
        }
        assert!(deployment.server.received().is_empty());
        wait_for_voter(&deployment.cluster, 0).await;
        assert_eq!(deployment.resume().await, 503);
    });
}
