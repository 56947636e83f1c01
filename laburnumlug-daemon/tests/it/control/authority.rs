//! Acceptance of changes by the leader, under concurrent submissions, partitions and crashes.

use std::cell::RefCell;

use futures_util::future::join_all;
use laburnumlug_standin::Fault;
use rustix::process::Signal;
use serde_json::Value;

use super::{
    ACCEPTED_PER_OPERATOR, CONCURRENT_OPERATORS, Partition, completion_result, document_named,
    partition_replica, put_until_accepted, put_until_accepted_by, replica_name, replica_version,
    three_replicas, wait_for_leader, wait_for_version,
};
use crate::harness::{Fleet, block_on, wait_for};

#[test]
fn put_fleet_equal_bases() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let base = replica_version(&fleet, wait_for_leader(&fleet, &[0, 1, 2]).await)
            .await
            .unwrap();
        let puts = (0..9).map(|i| {
            let fleet = &fleet;
            async move {
                let document_name = format!("racer-{i}");
                let document = document_named(fleet, &document_name);
                fleet
                    .put_document(i % 3, base, &document_name, &document)
                    .await
            }
        });
        let responses: Vec<(u16, Value)> = join_all(puts).await.into_iter().flatten().collect();
        let accepted_count = responses
            .iter()
            .filter(|(status, _)| *status == 200)
            .count();
        assert_eq!((responses.len(), accepted_count), (9, 1), "{responses:?}");
        for (status, body) in responses.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(*status, 412);
            assert_eq!(body["error"]["changed_by"], "dev");
            assert_eq!(body["error"]["verdict"], "not-run");
        }
    });
}

/// Guards against the loss of acknowledged changes when the leader is partitioned and killed during concurrent
/// submissions.
#[test]
fn put_fleet_leader_killed_while_operators_race() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let former_leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let accepted = RefCell::new(Vec::new());
        let operators = (0..CONCURRENT_OPERATORS).map(|operator| {
            let (fleet, accepted) = (&fleet, &accepted);
            async move {
                let replicas = [operator % 3, (operator + 1) % 3, (operator + 2) % 3];
                for i in 0..ACCEPTED_PER_OPERATOR {
                    let document_name = format!("{operator}-{i}");
                    let change = put_until_accepted_by(fleet, &replicas, &document_name).await;
                    accepted.borrow_mut().push(change);
                }
            }
        });
        // The leader is partitioned in the middle of the race and killed later, so its blocked messages are lost.
        let kill = async {
            let reached = |count| {
                let accepted = &accepted;
                wait_for("accepted changes", move || async move {
                    (accepted.borrow().len() >= count).then_some(())
                })
            };
            reached(CONCURRENT_OPERATORS).await;
            partition_replica(&fleet, former_leader, Partition::Both);
            reached(2 * CONCURRENT_OPERATORS).await;
            fleet.processes[&replica_name(former_leader)].signal(Signal::KILL);
        };
        futures_util::future::join(join_all(operators), kill).await;
        partition_replica(&fleet, former_leader, Partition::None);
        fleet.restart(&replica_name(former_leader));
        let mut accepted = accepted.into_inner();
        accepted.sort_unstable();
        accepted.dedup_by_key(|(version, _)| *version);
        assert_eq!(accepted.len(), CONCURRENT_OPERATORS * ACCEPTED_PER_OPERATOR);
        let newest = accepted.last().unwrap().0;
        for replica in 0..3 {
            wait_for_version(&fleet, replica, newest).await;
            let records = fleet.get_audit(replica).await.unwrap();
            for (version, key) in &accepted {
                let is_record = |record: &Value| {
                    record["result"] == "accepted"
                        && record["version"] == *version
                        && record["key"] == key.as_str()
                };
                let is_kept = records.iter().any(is_record);
                assert!(is_kept, "{key} is lost at {}", replica_name(replica));
            }
        }
    });
}

/// Guards against a change that is made twice or refused as a conflict when it is resent with its key to another
/// replica.
#[test]
fn put_fleet_resend_elsewhere() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let former_leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let base = replica_version(&fleet, former_leader).await.unwrap();
        let document = document_named(&fleet, "resent");
        let response = fleet
            .put_document(former_leader, base, "key", &document)
            .await;
        let accepted = response.unwrap().1["version"].clone();
        let rest: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
        put_until_accepted(&fleet, rest[0], "later").await;
        let resent = fleet.put_document(rest[0], base, "key", &document).await;
        assert_eq!(resent.unwrap().1["version"], accepted);
        fleet
            .processes
            .get_mut(&replica_name(former_leader))
            .unwrap()
            .kill();
        wait_for_leader(&fleet, &rest).await;
        for replica in rest {
            let resent = fleet.put_document(replica, base, "key", &document).await;
            assert_eq!(resent.unwrap().1["version"], accepted);
        }
    });
}

/// Guards against a partitioned former leader that acknowledges a change which the majority does not have.
#[test]
fn put_fleet_isolated_leader() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        for partition in [
            Partition::Both,
            Partition::FromReplica,
            Partition::ToReplica,
        ] {
            let former_leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
            let base = replica_version(&fleet, former_leader).await.unwrap();
            partition_replica(&fleet, former_leader, partition);
            let lost = document_named(&fleet, "lost");
            let rest: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
            let (refused, kept) = futures_util::future::join(
                fleet.put_document(former_leader, base, &format!("lost {partition:?}"), &lost),
                put_until_accepted(&fleet, rest[0], &format!("kept {partition:?}")),
            )
            .await;
            let (status, body) = refused.unwrap();
            assert!(
                status == 503 || status == 504,
                "{partition:?}: {status} {body}"
            );
            partition_replica(&fleet, former_leader, Partition::None);
            wait_for_version(&fleet, former_leader, kept).await;
            let document = fleet
                .get_control_json(former_leader, "/fleet")
                .await
                .unwrap();
            assert_eq!(document["name"], format!("kept {partition:?}"));
        }
    });
}

/// Guards against a former leader that is resumed after a suspension and accepts a change on an outdated version.
#[test]
fn put_fleet_frozen_leader_wakes() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let former_leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let base = replica_version(&fleet, former_leader).await.unwrap();
        fleet.processes[&replica_name(former_leader)].signal(Signal::STOP);
        let rest: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
        let kept = put_until_accepted(&fleet, rest[0], "kept").await;
        let document = document_named(&fleet, "late");
        let late = fleet.put_document(former_leader, base, "late", &document);
        let wake = async { fleet.processes[&replica_name(former_leader)].signal(Signal::CONT) };
        let (response, ()) = futures_util::future::join(late, wake).await;
        let (status, body) = response.unwrap();
        assert_ne!(status, 200, "{body}");
        wait_for_version(&fleet, former_leader, kept).await;
        let document = fleet
            .get_control_json(former_leader, "/fleet")
            .await
            .unwrap();
        assert_eq!(document["name"], "kept");
    });
}

/// Guards against a partitioned replica that raises its term, with which it would disturb the leader on its return.
#[test]
fn partitioned_replica_raises_no_term() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let leader = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let isolated = (leader + 1) % 3;
        partition_replica(&fleet, isolated, Partition::Both);
        let current_term = || async {
            let status = fleet.get_control_json(isolated, "/status").await.unwrap();
            status["term"].as_u64().unwrap()
        };
        let term_before = current_term().await;
        // The entry's confirmation outlasts an election timeout, so a refusal means that the replica had time for one.
        for replica in 0..3 {
            fleet.proxies[&format!("entry-1>{}", replica_name(replica))]
                .set_fault(Fault::Partition);
        }
        wait_for("a refusal", || async {
            (completion_result(&fleet).await?.0 == 503).then_some(())
        })
        .await;
        assert_eq!(current_term().await, term_before);
    });
}
