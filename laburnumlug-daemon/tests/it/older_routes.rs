//! Routes that a newer, acknowledged configuration does not have, at gateways and control replicas that return from a failure.

use std::time::{Duration, Instant};

use crate::client;
use crate::control::{Partition, partition_replica, wait_for_leader, wait_for_version};
use crate::gateway_fleet::{GATEWAY, GatewayFleet, config, row};
use crate::harness::{FleetConfig, block_on, wait_for};
use crate::standin::{Behaviour, ServerStandIn};

/// Version of the configuration that withdraws the route `safe`; the ones before have it.
const WITHDRAWN_IN: u64 = 13;

/// Log entries between two snapshots, so that some versions with the route are in a snapshot.
const SNAPSHOT_ENTRIES: usize = 8;

/// Time for which the gateway and two control machines run without the third one. The guarantee holds once they have run for 6 s.
const REPLICA_AWAY_TIME: Duration = Duration::from_secs(8);

/// Time after a restart in which requests are checked.
const RESTART_TIME: Duration = Duration::from_secs(2);

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

/// Guards against a withdrawn route that is served while all processes return at once, each with its data, until the replicas know
/// what is committed.
#[test]
fn restart_of_all_after_withdrawal() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let names = ["control-1", "control-2", "control-3", GATEWAY];
        for _ in 0..3 {
            let fleet = &mut deployment.processes.fleet;
            names.iter().for_each(|name| fleet.process(name).kill());
            names.iter().for_each(|name| fleet.restart(name));
            let end = Instant::now() + RESTART_TIME;
            deployment.assert_withdrawn_until(end).await;
            deployment.wait_for_status(404).await;
        }
    });
}

/// Guards against a gateway that refuses all requests once two of three replicas are gone or have lost their data, although its
/// routes were confirmed before, and against one that serves a withdrawn route meanwhile.
#[test]
fn gateway_running_while_replicas_cannot_confirm() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let fleet = &mut deployment.processes.fleet;
        fleet.restart("control-3");
        wait_for_version(fleet, 2, WITHDRAWN_IN).await;
        for name in ["control-1", "control-2"] {
            fleet.process(name).kill();
        }
        std::fs::remove_dir_all(fleet.folder.path().join("control-2")).unwrap();
        fleet.restart("control-2");
        let lost_at = Instant::now();
        while lost_at.elapsed() < REPLICA_AWAY_TIME / 2 {
            let status = deployment.processes.send("/once/x", &[]).await;
            assert_eq!(status, Some(200));
            deployment.assert_withdrawn_until(Instant::now()).await;
            assert!(matches!(deployment.send().await, Some(404 | 503)));
        }
    });
}

/// Guards against a gateway that goes on with its routes although it reaches a majority of the replicas, which have logged a newer
/// change and have no leader that commits it.
#[test]
fn gateway_running_while_majority_has_no_leader() {
    block_on(async {
        let mut deployment = Deployment::start().await;
        let fleet = &mut deployment.processes.fleet;
        fleet.restart("control-3");
        wait_for_version(fleet, 2, WITHDRAWN_IN).await;
        let leader = wait_for_leader(fleet, &[0, 1, 2]).await;
        let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        // The others get the change, and its leader no answer, so it is not committed and they elect nobody while cut from each other.
        for other in &others {
            partition_replica(fleet, *other, Partition::FromReplica);
        }
        let change = config(WITHDRAWN_IN + 1).to_string();
        let addr = fleet.operator_addrs[leader];
        let replacing = client::post(addr, "/config/replace", &[], &change);
        let _ = compio::time::timeout(Duration::from_millis(500), replacing).await;
        wait_for("a refusal", || async {
            (deployment.processes.send("/once/x", &[]).await? == 503).then_some(())
        })
        .await;
        let fleet = &deployment.processes.fleet;
        for other in others {
            partition_replica(fleet, other, Partition::None);
        }
        wait_for("an answer", || async {
            (deployment.processes.send("/once/x", &[]).await? == 200).then_some(())
        })
        .await;
    });
}
