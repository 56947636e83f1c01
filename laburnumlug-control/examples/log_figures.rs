//! Benchmark of the control log: duration of commits, with and without group commit, and of recovery on restart.
//!
//! `log_figures fill FOLDER CHANGES yes|no` commits the given number of changes, with or without group commit.
//! `log_figures open FOLDER` opens the data folder as a restarted replica does.

use std::path::Path;
use std::time::{Instant, SystemTime};

use futures_util::StreamExt;
use futures_util::stream;
use laburnumlug_control::{Command, FleetChange, Outcome, Replica, ReplicaConfig};
use laburnumlug_mesh::MeshKey;

/// Number of targets in the document, as in the larger deployment.
const TARGET_COUNT: usize = 21;

/// Maximum number of concurrent submissions.
const MAX_CONCURRENT_SUBMISSIONS: usize = 64;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let runtime = compio::runtime::Runtime::new().expect("the async runtime should start");
    runtime.block_on(async {
        match args.as_slice() {
            ["fill", folder, changes, group_commit] => {
                let changes = changes.parse().expect("CHANGES should be a whole number");
                fill(folder.as_ref(), changes, *group_commit == "yes").await;
            }
            ["open", folder] => open(folder.as_ref()).await,
            _ => eprintln!(
                "usage: log_figures fill FOLDER CHANGES yes|no, or log_figures open FOLDER"
            ),
        }
    });
}

fn config(folder: &Path) -> ReplicaConfig {
    ReplicaConfig::new("control-1", folder, MeshKey::new("figures"))
}

async fn fill(folder: &Path, changes: u64, group_commit: bool) {
    let cfg = config(folder).group_commit(group_commit);
    let replica = Replica::open(cfg)
        .await
        .expect("the replica should open its data folder");
    let start = Instant::now();
    let first_base = replica.fleet().version;
    let submissions = stream::iter(first_base..first_base + changes).map(|base| {
        let change = FleetChange::new("anna", base, &document(base)).key(Some(base.to_string()));
        replica.submit(SystemTime::now(), Command::Fleet(change))
    });
    let accepted = submissions
        .buffered(MAX_CONCURRENT_SUBMISSIONS)
        .filter(|result| {
            let accepted = matches!(result, Ok(Outcome::Fleet(Ok(_))));
            async move { accepted }
        })
        .count()
        .await;
    println!(
        "{accepted} of {changes} changes accepted in {:.3} s, group commit {group_commit}",
        start.elapsed().as_secs_f64()
    );
}

async fn open(folder: &Path) {
    let start = Instant::now();
    let replica = Replica::open(config(folder))
        .await
        .expect("the replica should recover from its data folder");
    println!(
        "version {} in force {:.3} s after the start",
        replica.fleet().version,
        start.elapsed().as_secs_f64()
    );
}

fn document(revision: u64) -> String {
    let targets: Vec<String> = (0..TARGET_COUNT)
        .map(|i| {
            format!(
                r#"{{"name":"t-{i}","service":"schreibdienst","zone":"bern-a","address":"127.0.0.1:{}",
                "state":"serving","models":[{{"model":"letter","version":"1"}}]}}"#,
                9000 + i
            )
        })
        .collect();
    format!(
        r#"{{"name":"figures-{revision}","models":[{{"name":"letter","versions":["1"]}}],
        "services":[{{"name":"schreibdienst","kind":"engine","models":["letter"]}}],"targets":[{}]}}"#,
        targets.join(",")
    )
}
