//! Checks that control processes and gateways serve again within the recovery time after the faults.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::Value;

use crate::Run;
use crate::callers::is_served;
use crate::deployment::{Deployment, REPLICAS};
use crate::operator::{BACKOFF, read};

/// Time after the end of the faults within which everything serves again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Delay between two questions to the replicas.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Adds what does not serve within [`RECOVERY_TIMEOUT`] after `ended_at` to the violations.
pub async fn check_recovery(deployment: &Deployment, run: &Run, ended_at: Instant) {
    let deadline = ended_at + RECOVERY_TIMEOUT;
    let gateways = deployment.gateway_addrs();
    let served = (0..gateways.len()).map(|gateway| {
        let (load, gateways) = (run.load.clone(), gateways.clone());
        compio::runtime::spawn_blocking(move || is_served(load, gateways, gateway, deadline))
    });
    let served: Vec<_> = served.collect();
    let present = deployment.control.present();
    let reads = present
        .iter()
        .map(|member| check_read(deployment, run, *member, deadline));
    futures_util::join!(join_all(reads), check_cluster(deployment, run, deadline));
    for (gateway, is_served) in served.into_iter().enumerate() {
        if !is_served.await.unwrap() {
            let text = format!("RECOVERY: gateway {gateway} serves nobody");
            run.violations.borrow_mut().push(text);
        }
    }
}

/// Checks that a control process leads the operator to the newest acknowledged configuration.
async fn check_read(deployment: &Deployment, run: &Run, member: usize, deadline: Instant) {
    let mut backoff = BACKOFF[0];
    loop {
        let newest = run.newest_acknowledged();
        let result = read(run, member).await;
        match result {
            Ok(version) if version >= newest => return,
            _ if Instant::now() < deadline => {
                compio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF[1]);
            }
            _ => {
                let has_disk = deployment.control.members[member].has_disk;
                run.violations.borrow_mut().push(format!(
                    "RECOVERY: control process {member} (disk: {has_disk}) leads to {result:?} instead of version {newest}"
                ));
                return;
            }
        }
    }
}

/// Checks that all replicas report one leader and the same voters, as many as are needed and all of them running.
async fn check_cluster(deployment: &Deployment, run: &Run, deadline: Instant) {
    let control = &deployment.control;
    let present = control.present();
    let replicas = present.iter().filter(|i| control.members[**i].has_disk);
    let replicas: Vec<usize> = replicas.copied().collect();
    let running: Vec<String> = control
        .mesh_addrs(&replicas)
        .iter()
        .map(ToString::to_string)
        .collect();
    loop {
        let views = join_all(replicas.iter().map(|replica| async {
            let status = control.status(*replica);
            let status = compio::time::timeout(Duration::from_secs(1), status).await;
            cluster_view(&status.ok().flatten().unwrap_or_default())
        }));
        let views = views.await;
        let (leader, voters) = &views[0];
        let is_one = views.iter().all(|view| view == &views[0])
            && voters.contains(leader)
            && voters.len() == REPLICAS
            && voters.iter().all(|voter| running.contains(voter));
        match is_one {
            true => return,
            false if Instant::now() < deadline => compio::time::sleep(RETRY_DELAY).await,
            false => {
                run.violations.borrow_mut().push(format!(
                    "CLUSTER: the replicas {running:?} report leaders and voters {views:?}"
                ));
                return;
            }
        }
    }
}

/// Returns the names of the leader and of the voters in the status of a replica.
fn cluster_view(status: &Value) -> (String, Vec<String>) {
    let voters = status["voters"].as_array().cloned().unwrap_or_default();
    let names = voters.iter().filter_map(|voter| voter["name"].as_str());
    let mut names: Vec<String> = names.map(str::to_string).collect();
    names.sort();
    let leader = status["leader"].as_str().unwrap_or_default();
    (leader.to_string(), names)
}
