//! Entries, gateways and the command line, whose addresses of control processes lead to no replica.

use std::time::Duration;

use serde_json::{Value, json};

use crate::cli::cli;
use crate::control_fleet::ControlFleet;
use crate::harness::{MESH_KEY, Process, block_on, free_addr, wait_for};
use crate::platform_fleet::{Cluster, Gateway, config, readiness_status, serve_target_list};

/// Time after which everyone must have found the replicas: the recovery time that the platform states.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Starts three replicas, which are the seeds of each other, and two processes without one, and waits until a configuration is
/// in force.
async fn start_fleet() -> ControlFleet {
    let mut fleet = ControlFleet::new(1, 3, 2);
    for member in 0..5 {
        fleet.start(member, &[0, 1, 2], true);
    }
    fleet.wait_for_voters(&[0, 1, 2], RECOVERY_TIMEOUT).await;
    fleet
        .replace_until_accepted(&[0, 1, 2], &config(1, 500), RECOVERY_TIMEOUT)
        .await;
    fleet
}

/// Guards against reports of entries that never reach a replica because their settings name only processes without one; all
/// replicas but one were replaced since.
#[test]
fn entry_with_seeds_without_replica() {
    block_on(async {
        let mut fleet = start_fleet().await;
        let seeds = fleet.mesh_addrs(&[3, 4]);
        let text = format!(
            "[process]\nvm = entry-1\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {},{}\n[entry]\nlisten = {}\n",
            seeds[0],
            seeds[1],
            free_addr()
        );
        let path = fleet.folder.write("entry-1.ini", &text);
        let entry = Process::start("entry", &path);
        wait_for_entry(&fleet, 0).await;
        let mut voters = vec![0, 1, 2];
        for lost in [1, 2] {
            fleet.kill(lost);
            let replacement = fleet.add(true);
            fleet.start(replacement, &[0], false);
            voters.retain(|voter| *voter != lost);
            voters.push(replacement);
            fleet.wait_for_voters(&voters, RECOVERY_TIMEOUT).await;
        }
        drop(entry);
        let before = fleet.status(0).await.unwrap()["nodes"].clone();
        let _entry = Process::start("entry", &path);
        wait_for("a report of the restarted entry", || async {
            (fleet.status(0).await?["nodes"] != before).then_some(())
        })
        .await;
    });
}

/// Waits until a replica has a report of the entry with the document in force.
async fn wait_for_entry(fleet: &ControlFleet, replica: usize) {
    wait_for("a report of the entry", || async {
        let status = fleet.status(replica).await?;
        let mut nodes = status["nodes"].as_array()?.iter();
        nodes
            .any(|node| node["process"] == "entry-1" && node["version"] == status["version"])
            .then_some(())
    })
    .await;
}

/// Guards against commands of operators that fail because they are sent to processes without a replica.
#[test]
fn cli_at_processes_without_replica() {
    block_on(async {
        let fleet = start_fleet().await;
        let operators = [3, 4].map(|member| fleet.members[member].operator_addr.to_string());
        let control = operators.join(",");
        let show = cli(&control, &["fleet", "show", "--json", "--with-keys"]).await;
        assert_eq!(show.code, Some(0), "{}", show.stderr);
        let mut document = show.json()["document"].clone();
        document["name"] = json!("second");
        let file = fleet.folder.write("second.json", &document.to_string());
        let base = show.json()["version"].to_string();
        let file = file.to_str().unwrap();
        let apply = cli(&control, &["fleet", "apply", "--base", &base, file]).await;
        assert_eq!(apply.code, Some(0), "{}", apply.stderr);
        let show = cli(&operators[1], &["fleet", "show", "--json"]).await;
        assert_eq!(show.json()["document"]["name"], "second");
        let audit = cli(&control, &["audit", "--json", "--result", "accepted"]).await;
        assert_eq!(audit.code, Some(0), "{}", audit.stderr);
        let status = cli(&control, &["status", "--json"]).await;
        assert_eq!(status.code, Some(0), "{}", status.stderr);
        let replicas = fleet.members[..3].iter();
        let replicas: Vec<String> = replicas.map(|m| m.operator_addr.to_string()).collect();
        // The processes without a replica are listed as such, beside the replicas to which they redirect.
        let status = status.json();
        let (listed, reached): (Vec<&Value>, Vec<&Value>) = status["replicas"]
            .as_array()
            .unwrap()
            .iter()
            .partition(|row| operators.iter().any(|addr| row["address"] == addr.as_str()));
        assert_eq!(listed.len(), 2, "{status}");
        for row in listed {
            assert!(
                row["error"].as_str().unwrap().contains("no replica"),
                "{row}"
            );
        }
        assert!(!reached.is_empty(), "{status}");
        for row in reached {
            let addr = row["address"].as_str().unwrap().to_string();
            assert!(replicas.contains(&addr), "{row}");
            assert!(row["status"].is_object(), "{row}");
        }
    });
}

/// Guards against a change that is reported as possibly made although no replica was reached.
#[test]
fn cli_without_any_replica() {
    block_on(async {
        let mut fleet = ControlFleet::new(1, 3, 1);
        fleet.start(3, &[0, 1, 2], true);
        let control = fleet.members[3].operator_addr.to_string();
        let document = cli(&control, &["fleet", "template"]).await.stdout;
        let file = fleet.folder.write("first.json", &document);
        let args = ["fleet", "apply", "--base", "0", file.to_str().unwrap()];
        let apply = cli(&control, &args).await;
        assert_eq!(apply.code, Some(1), "{}", apply.stderr);
        let reason = "nothing was changed: ";
        assert!(apply.stderr.contains(reason), "{}", apply.stderr);
        let reason = "no control replica can answer";
        assert!(apply.stderr.contains(reason), "{}", apply.stderr);
    });
}

/// Guards against a gateway that finds no replica after a restart, as all seeds in its settings are lost, although other gateways
/// connect to it and know the replicas.
#[test]
fn gateway_restarted_with_lost_seeds() {
    block_on(async {
        let list = include_str!("../../../platform/tests/sample-list.json");
        let list_addr = serve_target_list(list.to_string()).await;
        let cluster = Cluster::start_with_list(list_addr);
        cluster.replace_config(0, 1, 500).await;
        let (folder, seeds) = (&cluster.folder, cluster.seeds());
        let start = |name| Gateway::start_with_list(folder, name, list_addr, &seeds);
        let (other, mut restarted) = (start("g1"), start("g2"));
        for gateway in [&other, &restarted] {
            wait_for_ready(gateway).await;
        }
        // Both are listed by then, and connected.
        compio::time::sleep(Duration::from_secs(2)).await;
        restarted.process.kill();
        restarted.change_seeds(folder, &[free_addr(), free_addr(), free_addr()]);
        restarted.restart(folder);
        wait_for_ready(&restarted).await;
    });
}

async fn wait_for_ready(gateway: &Gateway) {
    wait_for("a ready gateway", || async {
        (readiness_status(gateway.ready_addr).await? == 200).then_some(())
    })
    .await;
}
