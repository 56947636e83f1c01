//! Routes that a newer, acknowledged configuration does not have, at gateways and control replicas that return from a failure.

use std::time::{Duration, Instant};

use crate::control::wait_for_version;
use crate::gateway_fleet::{GATEWAY, GatewayFleet, config, row};
use crate::harness::{FleetConfig, block_on, wait_for};
use crate::standin::{Behaviour, ServerStandIn};

/// Version of the configuration that withdraws the route `safe`; the ones before have it.
const WITHDRAWN_IN: u64 = 13;

/// Log entries between two snapshots, so that some versions with the route are in a snapshot.
const SNAPSHOT_ENTRIES: usize = 8;

/// Time for which the gateway and two control machines run without the third one. The guarantee holds once they have run for 6 s.
const REPLICA_AWAY_TIME: Duration = Duration::from_secs(8);

/// Processes whose replica 2 holds only configurations with the route, while the others have acknowledged its withdrawal.
struct Deployment {
    processes: GatewayFleet,
    server: ServerStandIn,
}

impl Deployment {
    async fn start() -> Deployment {
        let server = ServerStandIn::start("i-1", Behaviour::Serve).await;
        let rows = vec![row("i-1", "plain", &server)];
        let fleet_config = FleetConfig::default().snapshot_entries(SNAPSHOT_ENTRIES);
        let processes = GatewayFleet::start_with(fleet_config, rows, "").await;
        for version in 1..WITHDRAWN_IN {
            processes.replace_config(&config(version)).await;
        }
        let mut deployment = Deployment { processes, server };
        deployment.wait_for_status(200).await;
        let fleet = &mut deployment.processes.fleet;
        wait_for_version(fleet, 2, WITHDRAWN_IN - 1).await;
        fleet.process("control-3").kill();
        let mut withdrawal = config(WITHDRAWN_IN);
        let routes = withdrawal["routes"].as_array_mut().unwrap();
        routes.retain(|route| route["name"] != "safe");
        deployment.processes.replace_config(&withdrawal).await;
        deployment.wait_for_status(404).await;
        deployment
    }

    /// Sends a request on the withdrawn route.
    async fn send(&self) -> Option<u16> {
        self.processes.send("/safe/x", &[]).await
    }

    async fn wait_for_status(&self, status: u16) {
        wait_for("a status of the withdrawn route", || async {
            (self.send().await? == status).then_some(())
        })
        .await;
    }

    /// Asserts that no request on the withdrawn route reaches the server until `end`.
    async fn assert_withdrawn_until(&self, end: Instant) {
        let received = self.server.received().len();
        while Instant::now() < end {
            let status = self.send().await;
            assert!(matches!(status, None | Some(404 | 503)), "{status:?}");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(self.server.received().len(), received);
    }
}

/// Guards against a withdrawn route that is served by a gateway which restarts together with a replica that has fallen behind and
/// one that has lost its data: they cannot confirm that the document of the former is the newest.
#[test]
fn gateway_restarted_with_replicas_behind_and_empty() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let fleet = &mut deployment.processes.fleet;
        for name in ["control-1", "control-2", GATEWAY] {
            fleet.process(name).kill();
        }
        std::fs::remove_dir_all(fleet.folder.path().join("control-2")).unwrap();
        for name in ["control-2", "control-3", GATEWAY] {
            fleet.restart(name);
        }
        let end = Instant::now() + REPLICA_AWAY_TIME;
        deployment.assert_withdrawn_until(end).await;
        deployment.processes.fleet.restart("control-1");
        deployment.wait_for_status(404).await;
    });
}
