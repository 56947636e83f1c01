//! Confirmation by a majority, without which entries act on no document.

use laburnumlug_standin::Fault;
use serde_json::json;

use super::{
    Partition, completion_result, partition_replica, processes_with_version, put_until_accepted,
    replica_name, three_replicas, wait_for_leader, wait_for_version,
};
use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

#[test]
fn status_shows_version_of_each_process() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default()).await;
        let all = ["billet-1", "entry-1", "entry-2", "skriver-1", "skriver-2"];
        for version in [1, 2] {
            if version == 2 {
                put_until_accepted(&fleet, 0, "second").await;
            }
            wait_for("reports of all processes", || async {
                let status = fleet.get_control_json(0, "/status").await?;
                (processes_with_version(&status, version) == all).then_some(())
            })
            .await;
        }
    });
}

/// Guards against an entry that serves by a possibly outdated document while it reaches no majority of the control
/// replicas.
#[test]
fn entry_cut_from_majority_refuses() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let set_faults = |fault| {
            for replica in ["control-1", "control-2"] {
                fleet.proxies[&format!("entry-1>{replica}")].set_fault(fault);
            }
        };
        for fault in [
            Fault::Partition,
            Fault::PartitionForward,
            Fault::PartitionBackward,
        ] {
            set_faults(fault);
            wait_for("a refusal", || async {
                let (status, verdict) = completion_result(&fleet).await?;
                (status == 503 && verdict == "not-run").then_some(())
            })
            .await;
            set_faults(Fault::None);
            wait_for("a completion", || async {
                (completion_result(&fleet).await?.0 == 200).then_some(())
            })
            .await;
        }
    });
}

/// Guards against a restarted entry that acts on an outdated document because it reaches only a replica that lags
/// behind.
#[test]
fn entry_restarted_beside_lagging_replica() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let (other, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
        wait_for_version(&fleet, lagging, 1).await;
        partition_replica(&fleet, lagging, Partition::Both);
        // The new document renames the model, so an entry that has it does not know the old name.
        let mut document = fleet.document.clone();
        document["models"][0]["name"] = json!("letter");
        document["services"][0]["models"][0] = json!("letter");
        document["targets"][0]["models"][0]["model"] = json!("letter");
        let document = document.to_string();
        let put = fleet.put_document(leader, 1, "renamed", &document);
        assert_eq!(put.await.unwrap().0, 200);
        for replica in [leader, other] {
            fleet.proxies[&format!("entry-1>{}", replica_name(replica))]
                .set_fault(Fault::Partition);
        }
        fleet.restart("entry-1");
        // The lagging replica alone is no majority, so its document must not be used.
        wait_for("a refusal", || async {
            let (status, _) = completion_result(&fleet).await?;
            assert_eq!(status, 503);
            Some(())
        })
        .await;
        fleet.proxies[&format!("entry-1>{}", replica_name(other))].set_fault(Fault::None);
        wait_for("the new document at the entry", || async {
            let (status, _) = completion_result(&fleet).await?;
            assert_ne!(status, 200, "the entry acted on the old document");
            (status == 404).then_some(())
        })
        .await;
    });
}

#[test]
fn elections_do_not_disturb_serving() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let former_leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        fleet
            .processes
            .get_mut(&replica_name(former_leader))
            .unwrap()
            .kill();
        let remaining: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
        let elected = wait_for_leader_other_than(&fleet, &remaining, former_leader);
        let serving = async {
            for _ in 0..100 {
                assert_eq!(completion_result(&fleet).await.unwrap().0, 200);
            }
        };
        futures_util::future::join(elected, serving).await;
    });
}

async fn wait_for_leader_other_than(fleet: &Fleet, among: &[usize], former_leader: usize) {
    wait_for("a new leader", || async {
        let status = fleet.get_control_json(among[0], "/status").await?;
        (status["leader"].as_str()? != replica_name(former_leader)).then_some(())
    })
    .await;
}
