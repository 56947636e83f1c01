//! Who may accept changes, and what becomes of them.

use std::cell::RefCell;

use futures_util::future::join_all;
use laburnumlug_standin::Fault;
use rustix::process::Signal;
use serde_json::Value;

use super::{
    ACCEPTED_EACH, Cut, OPERATORS, completion_answer, cut_replica, leader, marked, name,
    put_until_accepted, put_until_accepted_by, three_replicas, version, wait_for_version,
};
use crate::harness::{Fleet, block_on, wait_for};

#[test]
fn put_fleet_equal_bases() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let base = version(&fleet, leader(&fleet, &[0, 1, 2]).await)
            .await
            .unwrap();
        let puts = (0..9).map(|i| {
            let fleet = &fleet;
            async move {
                let mark = format!("racer-{i}");
                let document = marked(fleet, &mark);
                fleet.put_document(i % 3, base, &mark, &document).await
            }
        });
        let answers: Vec<(u16, Value)> = join_all(puts).await.into_iter().flatten().collect();
        let won = answers.iter().filter(|(status, _)| *status == 200).count();
        assert_eq!((answers.len(), won), (9, 1), "{answers:?}");
        for (status, body) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(*status, 412);
            assert_eq!(body["error"]["changed_by"], "dev");
            assert_eq!(body["error"]["verdict"], "not-run");
        }
    });
}

#[test]
fn put_fleet_leader_killed_while_operators_race() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let first = leader(&fleet, &[0, 1, 2]).await;
        let accepted = RefCell::new(Vec::new());
        let operators = (0..OPERATORS).map(|operator| {
            let (fleet, accepted) = (&fleet, &accepted);
            async move {
                let replicas = [operator % 3, (operator + 1) % 3, (operator + 2) % 3];
                for i in 0..ACCEPTED_EACH {
                    let mark = format!("{operator}-{i}");
                    let change = put_until_accepted_by(fleet, &replicas, &mark).await;
                    accepted.borrow_mut().push(change);
                }
            }
        });
        // The leader is cut off in the middle of the race and killed later, with what it had not sent.
        let kill = async {
            let reached = |count| {
                let accepted = &accepted;
                wait_for("accepted changes", move || async move {
                    (accepted.borrow().len() >= count).then_some(())
                })
            };
            reached(OPERATORS).await;
            cut_replica(&fleet, first, Cut::Both);
            reached(2 * OPERATORS).await;
            fleet.processes[&name(first)].signal(Signal::KILL);
        };
        futures_util::future::join(join_all(operators), kill).await;
        cut_replica(&fleet, first, Cut::None);
        fleet.restart(&name(first));
        let mut accepted = accepted.into_inner();
        accepted.sort_unstable();
        accepted.dedup_by_key(|(version, _)| *version);
        assert_eq!(accepted.len(), OPERATORS * ACCEPTED_EACH);
        let newest = accepted.last().unwrap().0;
        for replica in 0..3 {
            wait_for_version(&fleet, replica, newest).await;
            let records = fleet.audit(replica).await.unwrap();
            for (version, key) in &accepted {
                let is_record = |record: &Value| {
                    record["result"] == "accepted"
                        && record["version"] == *version
                        && record["key"] == key.as_str()
                };
                let is_kept = records.iter().any(is_record);
                assert!(is_kept, "{key} is lost at {}", name(replica));
            }
        }
    });
}

#[test]
fn put_fleet_resend_elsewhere() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let first = leader(&fleet, &[0, 1, 2]).await;
        let base = version(&fleet, first).await.unwrap();
        let document = marked(&fleet, "resent");
        let answer = fleet.put_document(first, base, "key", &document).await;
        let accepted = answer.unwrap().1["version"].clone();
        let rest: Vec<usize> = (0..3).filter(|i| *i != first).collect();
        put_until_accepted(&fleet, rest[0], "later").await;
        let again = fleet.put_document(rest[0], base, "key", &document).await;
        assert_eq!(again.unwrap().1["version"], accepted);
        fleet.processes.get_mut(&name(first)).unwrap().kill();
        leader(&fleet, &rest).await;
        for replica in rest {
            let again = fleet.put_document(replica, base, "key", &document).await;
            assert_eq!(again.unwrap().1["version"], accepted);
        }
    });
}

#[test]
fn put_fleet_isolated_leader() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        for cut in [Cut::Both, Cut::FromReplica, Cut::ToReplica] {
            let old = leader(&fleet, &[0, 1, 2]).await;
            let base = version(&fleet, old).await.unwrap();
            cut_replica(&fleet, old, cut);
            let lost = marked(&fleet, "lost");
            let rest: Vec<usize> = (0..3).filter(|i| *i != old).collect();
            let (refused, kept) = futures_util::future::join(
                fleet.put_document(old, base, &format!("lost {cut:?}"), &lost),
                put_until_accepted(&fleet, rest[0], &format!("kept {cut:?}")),
            )
            .await;
            let (status, body) = refused.unwrap();
            assert!(status == 503 || status == 504, "{cut:?}: {status} {body}");
            cut_replica(&fleet, old, Cut::None);
            wait_for_version(&fleet, old, kept).await;
            let document = fleet.ask_operators(old, "/fleet").await.unwrap();
            assert_eq!(document["name"], format!("kept {cut:?}"));
        }
    });
}

#[test]
fn put_fleet_frozen_leader_wakes() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let old = leader(&fleet, &[0, 1, 2]).await;
        let base = version(&fleet, old).await.unwrap();
        fleet.processes[&name(old)].signal(Signal::STOP);
        let rest: Vec<usize> = (0..3).filter(|i| *i != old).collect();
        let kept = put_until_accepted(&fleet, rest[0], "kept").await;
        let document = marked(&fleet, "late");
        let late = fleet.put_document(old, base, "late", &document);
        let wake = async { fleet.processes[&name(old)].signal(Signal::CONT) };
        let (answer, ()) = futures_util::future::join(late, wake).await;
        let (status, body) = answer.unwrap();
        assert_ne!(status, 200, "{body}");
        wait_for_version(&fleet, old, kept).await;
        let document = fleet.ask_operators(old, "/fleet").await.unwrap();
        assert_eq!(document["name"], "kept");
    });
}

#[test]
fn cut_replica_raises_no_term() {
    block_on(async {
        let fleet = Fleet::start(three_replicas()).await;
        let lead = leader(&fleet, &[0, 1, 2]).await;
        let lonely = (lead + 1) % 3;
        cut_replica(&fleet, lonely, Cut::Both);
        let term = || async {
            let status = fleet.ask_operators(lonely, "/status").await.unwrap();
            status["term"].as_u64().unwrap()
        };
        let before = term().await;
        // The entry's confirmation lasts longer than an election takes.
        for replica in 0..3 {
            fleet.proxies[&format!("entry-1>{}", name(replica))].set_fault(Fault::Partition);
        }
        wait_for("a refusal", || async {
            (completion_answer(&fleet).await?.0 == 503).then_some(())
        })
        .await;
        assert_eq!(term().await, before);
    });
}
