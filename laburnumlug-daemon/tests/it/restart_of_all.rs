//! All gateways and control replicas are killed at once and start again.

use std::time::Duration;

use serde_json::{Value, json};

use crate::gateway_fleet::{GATEWAY, GatewayFleet, config, row};
use crate::harness::{block_on, wait_for};
use crate::standin::{Behaviour, ServerStandIn};

/// Time after which the control replicas have recorded what the list shows.
const RECORDING_TIME: Duration = Duration::from_millis(1500);

/// Header of requests that resume a stream which another request has begun.
const RESUMPTION: [(&str, &str); 2] = [("last-event-id", "1"), ("resumes", "first")];

/// Processes in front of one server, whose software version in the list may change.
pub struct Deployment {
    pub processes: GatewayFleet,
    server: ServerStandIn,
}

impl Deployment {
    pub async fn start() -> Deployment {
        let server = ServerStandIn::start("i-1", Behaviour::Serve).await;
        let processes = GatewayFleet::start(Vec::new(), "").await;
        let mut config = config(1);
        config["routes"][2]["service"] = json!("plain");
        config["routes"][2]["resumable"] = json!(true);
        processes.replace_config(&config).await;
        let deployment = Deployment { processes, server };
        deployment.set_versions(&["v1"]);
        deployment.wait_until_serving().await;
        deployment
    }

    /// Lists a target for each of these software versions; all have the address of the server.
    pub fn set_versions(&self, versions: &[&str]) {
        let rows = versions.iter().enumerate().map(|(i, version)| {
            let mut row = row(&format!("i-{}", i + 1), "plain", &self.server);
            row["version"] = json!(version);
            row
        });
        self.processes.set_rows(rows.collect::<Vec<Value>>());
    }

    async fn wait_until_serving(&self) {
        wait_for("an answer", || async {
            (self.processes.send("/safe/x", &[]).await? == 200).then_some(())
        })
        .await;
    }

    /// Kills all processes and starts them again.
    async fn restart_all(&mut self) {
        let names = ["control-1", "control-2", "control-3", GATEWAY];
        let fleet = &mut self.processes.fleet;
        names.iter().for_each(|name| fleet.process(name).kill());
        names.iter().for_each(|name| fleet.restart(name));
        self.wait_until_serving().await;
    }

    /// Resumes a stream, and returns the status and the number of resumptions that the server has got so far.
    pub async fn resume(&self) -> (Option<u16>, usize) {
        let status = self.processes.send("/stream/x", &RESUMPTION).await;
        let received = self.server.received();
        let resumptions = received.iter().filter(|h| h.contains_key("last-event-id"));
        (status, resumptions.count())
    }
}

/// Guards against resumptions that are refused after each restart of all processes, although there has been one software version
/// only.
#[test]
fn restart_of_all_resumes_stream() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        deployment.restart_all().await;
        assert_eq!(deployment.resume().await.1, 1);
    });
}

/// Guards against streams joined from two software versions: the one that began them leaves the list just before all processes
/// restart.
#[test]
fn restart_of_all_after_release() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        deployment.set_versions(&["v1", "v2"]);
        compio::time::sleep(RECORDING_TIME).await;
        deployment.set_versions(&["v2"]);
        deployment.restart_all().await;
        for _ in 0..4 {
            assert_eq!(deployment.resume().await, (Some(503), 0));
            compio::time::sleep(RECORDING_TIME / 2).await;
        }
    });
}
