//! Disks that take no bytes for a while; a limit of the file size stands in for a full disk.

use std::path::PathBuf;

use super::{
    put_until_accepted, replica_name, replica_version, three_replicas, voter_incarnation,
    wait_for_leader, wait_for_version,
};
use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

pub(super) fn journal_path(fleet: &Fleet, replica: usize) -> PathBuf {
    fleet.folder.path().join(replica_name(replica)).join("log")
}

pub(super) async fn start_fleet(config: FleetConfig, replicas: usize) -> Fleet {
    let mut fleet = Fleet::start(config).await;
    for replica in 0..replicas {
        fleet.restart_with_file_limits(&replica_name(replica));
    }
    fleet
}

pub(super) async fn wait_until_not_voter(fleet: &Fleet, replica: usize) {
    wait_for("a replica without a vote", || async {
        let status = fleet.get_control_json(replica, "/status").await?;
        (!status["is_voter"].as_bool()?).then_some(())
    })
    .await;
}

/// Guards against replicas that neither vote nor acknowledge again after their disks were full, so that two full disks in
/// turn stop all changes.
#[test]
fn disk_full_in_turn() {
    block_on(async {
        let mut fleet = start_fleet(three_replicas(), 3).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let follower = (leader + 1) % 3;
        let mut accepted = 0;
        for (round, replica) in [follower, leader, follower].into_iter().enumerate() {
            let incarnation = voter_incarnation(&fleet, replica).await;
            fleet
                .process(&replica_name(replica))
                .limit_file_size(Some(0));
            let other = (replica + 1) % 3;
            accepted = put_until_accepted(&fleet, other, &format!("full in round {round}")).await;
            wait_until_not_voter(&fleet, replica).await;
            fleet.process(&replica_name(replica)).limit_file_size(None);
            assert_eq!(voter_incarnation(&fleet, replica).await, incarnation);
            wait_for_version(&fleet, replica, accepted).await;
        }
        // What the rewritten folders hold survives a restart of all replicas.
        for replica in 0..3 {
            fleet.process(&replica_name(replica)).kill();
        }
        for replica in 0..3 {
            fleet.restart(&replica_name(replica));
        }
        for replica in 0..3 {
            wait_for_version(&fleet, replica, accepted).await;
        }
    });
}

/// Guards against replicas that stay without a leader after all of their disks were full at the same time.
#[test]
fn disk_full_at_all() {
    block_on(async {
        let mut fleet = start_fleet(three_replicas(), 3).await;
        wait_for_leader(&fleet, &[0, 1, 2]).await;
        let accepted = put_until_accepted(&fleet, 0, "before").await;
        for replica in 0..3 {
            fleet
                .process(&replica_name(replica))
                .limit_file_size(Some(0));
        }
        let document = super::document_named(&fleet, "refused");
        wait_for("a refusal", || async {
            let put = fleet.put_document(0, accepted, "refused", &document).await;
            (put?.0 >= 500).then_some(())
        })
        .await;
        for replica in 0..3 {
            fleet.process(&replica_name(replica)).limit_file_size(None);
        }
        assert!(put_until_accepted(&fleet, 1, "after").await > accepted);
    });
}

/// Guards against an append that is written behind the torn end of a failed one: a restart would discard it.
#[test]
fn disk_full_within_append() {
    block_on(async {
        let config = FleetConfig::default().booking_servers(0).engines(1);
        let mut fleet = start_fleet(config, 1).await;
        put_until_accepted(&fleet, 0, "before").await;
        let length = std::fs::metadata(journal_path(&fleet, 0)).unwrap().len();
        fleet
            .process("control-1")
            .limit_file_size(Some(length + 50));
        let base = replica_version(&fleet, 0).await.unwrap();
        let document = super::document_named(&fleet, "torn");
        let put = fleet.put_document(0, base, "torn", &document).await;
        assert_eq!(put.unwrap().0, 504);
        fleet.process("control-1").limit_file_size(None);
        let accepted = put_until_accepted(&fleet, 0, "after").await;
        fleet.process("control-1").kill();
        fleet.restart("control-1");
        wait_for_version(&fleet, 0, accepted).await;
    });
}
