//! The control log: authority, replica identity and confirmation.

mod authority;
mod confirmation;
mod data_folder;
mod membership;

use std::cell::Cell;
use std::path::Path;

use laburnumlug_standin::Fault;
use serde_json::{Value, json};

use crate::harness::{Fleet, FleetConfig, wait_for};

/// Number of operators that race.
const OPERATORS: usize = 4;

/// Changes that each racing operator gets accepted.
const ACCEPTED_EACH: usize = 6;

fn three_replicas() -> FleetConfig {
    FleetConfig::default()
        .controls(3)
        .entries(1)
        .engines(1)
        .bookings(0)
}

fn name(replica: usize) -> String {
    format!("control-{}", replica + 1)
}

/// Waits until a replica leads and all of `among` follow it.
async fn leader(fleet: &Fleet, among: &[usize]) -> usize {
    wait_for("a leader", || async {
        let mut leaders = Vec::new();
        for replica in among {
            let status = fleet.ask_operators(*replica, "/status").await?;
            leaders.push(status["leader"].as_str()?.to_string());
        }
        let leader = among.iter().find(|i| name(**i) == leaders[0])?;
        leaders.iter().all(|l| *l == leaders[0]).then_some(*leader)
    })
    .await
}

/// Puts a document that names `mark`, with the version in force as its base, until it is accepted.
async fn put_until_accepted(fleet: &Fleet, replica: usize, mark: &str) -> u64 {
    put_until_accepted_by(fleet, &[replica], mark).await.0
}

/// Puts a document like [`put_until_accepted`], to one replica after the other, and returns version and key.
async fn put_until_accepted_by(fleet: &Fleet, replicas: &[usize], mark: &str) -> (u64, String) {
    let document = marked(fleet, mark);
    let attempt = Cell::new(0);
    wait_for("an accepted change", || async {
        let replica = replicas[attempt.replace(attempt.get() + 1) % replicas.len()];
        let base = version(fleet, replica).await?;
        let key = format!("{mark} on {base}");
        let (status, body) = fleet.put_document(replica, base, &key, &document).await?;
        (status == 200).then(|| (body["version"].as_u64().unwrap(), key))
    })
    .await
}

fn marked(fleet: &Fleet, mark: &str) -> String {
    let mut document = fleet.document.clone();
    document["name"] = json!(mark);
    document.to_string()
}

async fn version(fleet: &Fleet, replica: usize) -> Option<u64> {
    fleet.ask_operators(replica, "/status").await?["version"].as_u64()
}

async fn wait_for_version(fleet: &Fleet, replica: usize, at_least: u64) {
    wait_for("the version at a replica", || async {
        (version(fleet, replica).await? >= at_least).then_some(())
    })
    .await;
}

/// Returns the incarnation of a replica's data folder once the replica is a voter.
async fn voter_incarnation(fleet: &Fleet, replica: usize) -> u64 {
    wait_for("a voter", || async {
        let status = fleet.ask_operators(replica, "/status").await?;
        let is_voter = status["is_voter"].as_bool()?;
        let all = status["voters"].as_array()?.len() == fleet.operators.len();
        (is_voter && all).then(|| status["replica"]["incarnation"].as_u64().unwrap())
    })
    .await
}

/// Which bytes between a replica and the other replicas a network partition holds back.
#[derive(Clone, Copy, Debug)]
enum Cut {
    None,
    Both,
    FromReplica,
    ToReplica,
}

/// Cuts a replica off from the other replicas, on the connections of both sides.
fn cut_replica(fleet: &Fleet, replica: usize, cut: Cut) {
    let own = name(replica);
    for (link, proxy) in &fleet.proxies {
        let Some((from, to)) = link.split_once('>') else {
            continue;
        };
        let is_inner = from.starts_with("control-") && to.starts_with("control-") && from != to;
        let fault = match cut {
            _ if !is_inner || (from != own && to != own) => continue,
            Cut::None => Fault::None,
            Cut::Both => Fault::Partition,
            Cut::FromReplica if from == own => Fault::PartitionForward,
            Cut::FromReplica => Fault::PartitionBackward,
            Cut::ToReplica if from == own => Fault::PartitionBackward,
            Cut::ToReplica => Fault::PartitionForward,
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
fn processes_at(status: &Value, version: u64) -> Vec<String> {
    let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
    let mut names: Vec<String> = nodes
        .iter()
        .filter(|node| node["version"] == version)
        .map(|node| node["process"].as_str().unwrap().to_string())
        .collect();
    names.sort_unstable();
    names
}

async fn completion_answer(fleet: &Fleet) -> Option<(u16, String)> {
    let body = json!({ "model": "digest", "prompt": "a", "max_tokens": 1 });
    let answer = fleet
        .post(fleet.callers[0], "/v1/completions", &[], &body)
        .await?;
    Some((answer.status, answer.verdict))
}
