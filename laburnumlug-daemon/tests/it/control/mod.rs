//! The replicated control log: leadership, replica identity, membership and read confirmation.

mod authority;
mod confirmation;
mod data_folder;
mod disk_faults;
mod disk_hangs;
mod full_disk;
mod membership;
mod slow_links;

use std::cell::Cell;
use std::path::Path;

use laburnumlug_standin::Fault;
use serde_json::{Value, json};

use crate::harness::{Fleet, FleetConfig, wait_for};

/// Number of operators that submit concurrently.
const CONCURRENT_OPERATORS: usize = 4;

/// Number of accepted changes after which each of these operators stops.
const ACCEPTED_PER_OPERATOR: usize = 6;

fn three_replicas() -> FleetConfig {
    FleetConfig::default()
        .control_replicas(3)
        .entries(1)
        .engines(1)
        .booking_servers(0)
}

fn replica_name(replica: usize) -> String {
    format!("control-{}", replica + 1)
}

/// Waits until all of `among` know the same leader, which is one of them, and returns it.
pub(crate) async fn wait_for_leader(fleet: &Fleet, among: &[usize]) -> usize {
    wait_for("a leader", || async {
        let mut leaders = Vec::new();
        for replica in among {
            let status = fleet.get_control_json(*replica, "/status").await?;
            leaders.push(status["leader"].as_str()?.to_string());
        }
        let leader = among.iter().find(|i| replica_name(**i) == leaders[0])?;
        leaders.iter().all(|l| *l == leaders[0]).then_some(*leader)
    })
    .await
}

/// Submits a document named `document_name` on the version in force until it is accepted; returns the new version.
async fn put_until_accepted(fleet: &Fleet, replica: usize, document_name: &str) -> u64 {
    put_until_accepted_by(fleet, &[replica], document_name)
        .await
        .0
}

/// Like [`put_until_accepted`], but tries the replicas in turn and returns the version and the idempotency key.
async fn put_until_accepted_by(
    fleet: &Fleet,
    replicas: &[usize],
    document_name: &str,
) -> (u64, String) {
    let document = document_named(fleet, document_name);
    let attempt = Cell::new(0);
    wait_for("an accepted change", || async {
        let replica = replicas[attempt.replace(attempt.get() + 1) % replicas.len()];
        let base = replica_version(fleet, replica).await?;
        let key = format!("{document_name} on {base}");
        let (status, body) = fleet.put_document(replica, base, &key, &document).await?;
        (status == 200).then(|| (body["version"].as_u64().unwrap(), key))
    })
    .await
}

fn document_named(fleet: &Fleet, document_name: &str) -> String {
    let mut document = fleet.document.clone();
    document["name"] = json!(document_name);
    document.to_string()
}

async fn replica_version(fleet: &Fleet, replica: usize) -> Option<u64> {
    fleet.get_control_json(replica, "/status").await?["version"].as_u64()
}

pub(crate) async fn wait_for_version(fleet: &Fleet, replica: usize, at_least: u64) {
    wait_for("a version at a replica", || async {
        (replica_version(fleet, replica).await? >= at_least).then_some(())
    })
    .await;
}

/// Waits until a replica is a voter and sees all replicas as voters, and returns its data folder's incarnation.
async fn voter_incarnation(fleet: &Fleet, replica: usize) -> u64 {
    wait_for("a voter", || async {
        let status = fleet.get_control_json(replica, "/status").await?;
        let is_voter = status["is_voter"].as_bool()?;
        let all = status["voters"].as_array()?.len() == fleet.operator_addrs.len();
        (is_voter && all).then(|| status["replica"]["incarnation"].as_u64().unwrap())
    })
    .await
}

/// Network partition between a replica and the other replicas, by the direction of the blocked bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Partition {
    None,
    Both,
    FromReplica,
    ToReplica,
}

/// Sets a partition between a replica and the others, on the connections that either side opened.
pub(crate) fn partition_replica(fleet: &Fleet, replica: usize, partition: Partition) {
    let own_name = replica_name(replica);
    for (link, proxy) in &fleet.proxies {
        let Some((from, to)) = link.split_once('>') else {
            continue;
        };
        let is_between_replicas =
            from.starts_with("control-") && to.starts_with("control-") && from != to;
        let fault = match partition {
            _ if !is_between_replicas || (from != own_name && to != own_name) => continue,
            Partition::None => Fault::None,
            Partition::Both => Fault::Partition,
            Partition::FromReplica if from == own_name => Fault::PartitionForward,
            Partition::FromReplica => Fault::PartitionBackward,
            Partition::ToReplica if from == own_name => Fault::PartitionBackward,
            Partition::ToReplica => Fault::PartitionForward,
        };
        proxy.set_fault(fault);
    }
}

fn copy_folder(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        if file.file_type().unwrap().is_file() {
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    }
}

/// Returns the names of the processes that report `version` as in force.
fn processes_with_version(status: &Value, version: u64) -> Vec<String> {
    let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
    let mut names: Vec<String> = nodes
        .iter()
        .filter(|node| node["version"] == version)
        .map(|node| node["process"].as_str().unwrap().to_string())
        .collect();
    names.sort_unstable();
    names
}

async fn completion_result(fleet: &Fleet) -> Option<(u16, String)> {
    let body = json!({ "model": "digest", "prompt": "a", "max_tokens": 1 });
    let response = fleet
        .post(fleet.entry_addrs[0], "/v1/completions", &[], &body)
        .await?;
    Some((response.status, response.verdict))
}
