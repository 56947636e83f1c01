//! What nodes may act on.

use laburnumlug_standin::Fault;
use serde_json::json;

use super::{
    Cut, completion_answer, cut_replica, leader, name, processes_at, put_until_accepted,
    three_replicas, wait_for_version,
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
                let status = fleet.ask_operators(0, "/status").await?;
                (processes_at(&status, version) == all).then_some(())
            })
            .await;
        }
    });
}

#[test]
fn entry_cut_from_majority_refuses() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let cut = |fault| {
            for replica in ["control-1", "control-2"] {
                fleet.proxies[&format!("entry-1>{replica}")].set_fault(fault);
            }
        };
        for fault in [
            Fault::Partition,
            Fault::PartitionForward,
            Fault::PartitionBackward,
        ] {
            cut(fault);
            wait_for("a refusal", || async {
                let (status, verdict) = completion_answer(&fleet).await?;
                (status == 503 && verdict == "not-run").then_some(())
            })
            .await;
            cut(Fault::None);
            wait_for("an answer", || async {
                (completion_answer(&fleet).await?.0 == 200).then_some(())
            })
            .await;
        }
    });
}

#[test]
fn entry_restarted_beside_lagging_replica() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let lead = leader(&fleet, &[0, 1, 2]).await;
        let (other, lagging) = ((lead + 1) % 3, (lead + 2) % 3);
        wait_for_version(&fleet, lagging, 1).await;
        cut_replica(&fleet, lagging, Cut::Both);
        // Under the new document an entry knows no model of this name any more.
        let mut document = fleet.document.clone();
        document["models"][0]["name"] = json!("letter");
        document["services"][0]["models"][0] = json!("letter");
        document["targets"][0]["models"][0]["model"] = json!("letter");
        let document = document.to_string();
        let put = fleet.put_document(lead, 1, "renamed", &document);
        assert_eq!(put.await.unwrap().0, 200);
        for replica in [lead, other] {
            fleet.proxies[&format!("entry-1>{}", name(replica))].set_fault(Fault::Partition);
        }
        fleet.restart("entry-1");
        // Alone, the lagging replica's answer permits nothing.
        wait_for("a refusal", || async {
            let (status, _) = completion_answer(&fleet).await?;
            assert_eq!(status, 503);
            Some(())
        })
        .await;
        fleet.proxies[&format!("entry-1>{}", name(other))].set_fault(Fault::None);
        wait_for("the new document at the entry", || async {
            let (status, _) = completion_answer(&fleet).await?;
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
        let old = leader(&fleet, &[0, 1, 2]).await;
        fleet.processes.get_mut(&name(old)).unwrap().kill();
        let rest: Vec<usize> = (0..3).filter(|i| *i != old).collect();
        let elected = leader_other_than(&fleet, &rest, old);
        let serving = async {
            for _ in 0..100 {
                assert_eq!(completion_answer(&fleet).await.unwrap().0, 200);
            }
        };
        futures_util::future::join(elected, serving).await;
    });
}

async fn leader_other_than(fleet: &Fleet, among: &[usize], old: usize) {
    wait_for("a new leader", || async {
        let status = fleet.ask_operators(among[0], "/status").await?;
        (status["leader"].as_str()? != name(old)).then_some(())
    })
    .await;
}
