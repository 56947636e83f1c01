//! What control processes report of a membership that is short, and of the replicas that they know.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::cli::cli;
use crate::client::{get_body, get_status_and_body};
use crate::control_fleet::ControlFleet;
use crate::harness::{Process, block_on, free_addr, wait_for};

/// Time after which the replicas must vote at the first start.
const VOTER_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns the value of a metric on a page in the Prometheus text format.
fn metric(page: &str, name: &str) -> Option<u64> {
    let start = format!("{name}{{");
    let line = page.lines().find(|line| line.starts_with(&start))?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn page(addr: SocketAddr) -> Option<String> {
    get_body(addr, "/metrics").await
}

/// Starts three replicas, `losses` of which may be lost.
async fn replicas(losses: usize) -> ControlFleet {
    let mut fleet = ControlFleet::new(losses, 3, 1);
    for replica in 0..3 {
        fleet.start(replica, &[0, 1, 2], true);
    }
    fleet.wait_for_voters(&[0, 1, 2], VOTER_TIMEOUT).await;
    fleet
}

/// Returns the index of the leader among `replicas`, and its status.
async fn leader(fleet: &ControlFleet, replicas: &[usize]) -> (usize, Value) {
    wait_for("a leader", || async {
        for replica in replicas {
            let status = fleet.status(*replica).await?;
            if status["voters_responsive"].is_u64() {
                return Some((*replica, status));
            }
        }
        None
    })
    .await
}

/// Guards against a membership that remains short unnoticed.
#[test]
fn membership_short_by_a_silent_voter() {
    block_on(async {
        let mut fleet = replicas(1).await;
        let (lost, status) = leader(&fleet, &[0, 1, 2]).await;
        assert_eq!(status["voters_wanted"], 3);
        let name = fleet.members[lost].mesh_addr.to_string();
        fleet.kill(lost);
        let remaining = fleet.running();
        wait_for("a leader that reports the silent voter", || async {
            let (leader, status) = leader(&fleet, &remaining).await;
            let page = page(fleet.members[leader].operator_addr).await?;
            let gauge = |name| metric(&page, &format!("laburnumlug_control_{name}"));
            let is_reported = status["voters_responsive"] == 2
                && status["voters_silent"] == serde_json::json!([name])
                && status["voters"].as_array()?.len() == 3
                && gauge("voters") == Some(3)
                && gauge("voters_wanted") == Some(3)
                && gauge("voters_responsive") == Some(2);
            is_reported.then_some(())
        })
        .await;
        let (follower, status) = {
            let (leader, _) = leader(&fleet, &remaining).await;
            let follower = *remaining.iter().find(|i| **i != leader).unwrap();
            (follower, fleet.status(follower).await.unwrap())
        };
        assert_eq!(status["voters_responsive"], Value::Null);
        let page = page(fleet.members[follower].operator_addr).await.unwrap();
        assert_eq!(
            metric(&page, "laburnumlug_control_voters_responsive"),
            Some(0)
        );
    });
}

/// Guards against a deployment with fewer disks than its tolerance needs, which nobody notices.
#[test]
fn membership_short_of_replicas() {
    block_on(async {
        let fleet = replicas(2).await;
        let (leader, status) = leader(&fleet, &[0, 1, 2]).await;
        assert_eq!(status["voters_wanted"], 5);
        assert_eq!(status["voters"].as_array().unwrap().len(), 3);
        let page = page(fleet.members[leader].operator_addr).await.unwrap();
        assert_eq!(metric(&page, "laburnumlug_control_voters_wanted"), Some(5));
        assert_eq!(metric(&page, "laburnumlug_control_voters"), Some(3));
    });
}

/// Guards against a process without a disk of which nobody sees whether it finds a replica.
#[test]
fn process_without_replica_health_and_metrics() {
    block_on(async {
        let mut fleet = replicas(1).await;
        let metrics = free_addr();
        let path = fleet.write_settings(3, &[0, 1, 2], false);
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, format!("{text}[metrics]\nlisten = {metrics}\n")).unwrap();
        fleet.members[3].process = Some(Process::start("control", &path));
        let operators = fleet.members[3].operator_addr;
        let health = || async {
            let (status, body) = get_status_and_body(operators, "/health").await?;
            Some((status, serde_json::from_str::<Value>(&body).ok()?))
        };
        wait_for("a healthy process that knows all replicas", || async {
            let (status, body) = health().await?;
            let is_healthy = status == 200 && body["holds_replica"] == false;
            (is_healthy && body["replicas"] == 3).then_some(())
        })
        .await;
        // No configuration was accepted, which the replica that answers reports.
        let _ = fleet.read_config(3).await;
        let text = page(metrics).await.unwrap();
        let value = |text: &str, name| metric(text, &format!("laburnumlug_control_{name}"));
        assert_eq!(value(&text, "redirects_total"), Some(1));
        assert_eq!(value(&text, "redirect_refusals_total"), None);
        assert_eq!(value(&text, "directory_replicas"), Some(3));
        for replica in 0..3 {
            fleet.kill(replica);
        }
        wait_for("an unhealthy process", || async {
            let (status, body) = health().await?;
            (status == 503 && body["status"] == "no_replica").then_some(())
        })
        .await;
        assert!(fleet.read_config(3).await.is_err());
        let text = page(metrics).await.unwrap();
        assert_eq!(value(&text, "redirects_total"), Some(1));
        assert_eq!(value(&text, "redirect_refusals_total"), Some(1));
        let silent = value(&text, "directory_ms_without_replica");
        assert!(silent >= Some(5000), "{silent:?}");
    });
}

/// Guards against a command line that fails where one of its addresses belongs to a process without a disk.
#[test]
fn status_command_beside_process_without_replica() {
    block_on(async {
        let mut fleet = replicas(2).await;
        fleet.start(3, &[0, 1, 2], false);
        let members = [3, 0, 1, 2].map(|i: usize| fleet.members[i].operator_addr.to_string());
        let control = members.join(",");
        wait_for("a table of all control processes", || async {
            let status = cli(&control, &["status"]).await;
            let is_complete = status.stdout.contains("no replica");
            (status.code == Some(0) && is_complete).then_some(())
        })
        .await;
        let status = cli(&control, &["status"]).await;
        let expected = "voters: 3 of 5 wanted, 3 responsive (TOO FEW)\n";
        assert!(status.stdout.contains(expected), "{}", status.stdout);
    });
}
