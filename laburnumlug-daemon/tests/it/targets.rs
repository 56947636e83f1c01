//! Orders to engines, drains and faulty engine streams, checked against what the engine stand-ins recorded.

use std::time::Duration;

use assert_cmd::Command;
use futures_util::future::{join, join_all};
use laburnumlug::Role;
use laburnumlug_platform::{VmId, VmList, VmRow, VmState};
use laburnumlug_standin::{
    EngineRecord, EngineStandIn, EngineTiming, Fault, OrderOutcome, OrderRecord, StreamFault,
    VmListStandIn, expected_completion,
};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::harness::{Fleet, FleetConfig, block_on, free_addr, wait_for};

/// Number of concurrent streams during a change.
const STREAMS: usize = 8;

/// Time per token where a stream must outlast a change.
const TOKEN_TIME: Duration = Duration::from_millis(20);

fn slow_engines() -> FleetConfig {
    FleetConfig::default()
        .booking_servers(0)
        .engine_timing(EngineTiming::instant().token_time(TOKEN_TIME))
}

/// Starts a fleet and waits until each engine has served a completion.
async fn start_serving_fleet(config: FleetConfig) -> Fleet {
    let fleet = Fleet::start(config).await;
    wait_for("a completion at each engine", || async {
        for addr in &fleet.entry_addrs {
            let body = json!({ "model": "digest", "prompt": "ready?", "max_tokens": 1 });
            fleet.post(*addr, "/v1/completions", &[], &body).await;
        }
        let has_served = |engine: &EngineStandIn| !engine.records().is_empty();
        fleet.engines.iter().all(has_served).then_some(())
    })
    .await;
    fleet
}

/// Sets fields of target `index` in the document; a role also needs a floor for the document to be valid.
fn edit_target(document: &mut Value, index: usize, change: &Value) {
    if let Some(role) = change["role"].as_str().filter(|role| *role != "mixed") {
        document["services"][0]["floors"] = json!({ role: 1 });
    }
    for (key, value) in change.as_object().unwrap() {
        document["targets"][index][key] = value.clone();
    }
}

/// Submits the document with the fields in `change` set at target `index`.
async fn change_target(fleet: &mut Fleet, index: usize, base: u64, change: Value) {
    edit_target(&mut fleet.document, index, &change);
    let document = fleet.document.to_string();
    let key = format!("change-{base}");
    let (status, body) = fleet.put_document(0, base, &key, &document).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Streams a completion and checks that it is complete and correct.
async fn assert_stream_complete(fleet: &Fleet, i: usize, tokens: u64) {
    let prompt = format!("diary {i}");
    let body = json!({
        "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    let addr = fleet.entry_addrs[i % fleet.entry_addrs.len()];
    let deadline = [("laburnumlug-deadline-ms", "60000")];
    let response = fleet.post(addr, "/v1/completions", &deadline, &body).await;
    let response = response.unwrap();
    let expected = (expected_completion(&prompt, tokens), true);
    assert_eq!(
        response.streamed_completion(),
        expected,
        "stream {i}: {response:?}"
    );
}

async fn assert_streams_complete(fleet: &Fleet, tokens: u64) {
    join_all((0..STREAMS).map(|i| assert_stream_complete(fleet, i, tokens))).await;
}

async fn wait_for_running(engine: &EngineStandIn) {
    wait_for("running completions", || async {
        (engine.running_completions() > 0).then_some(())
    })
    .await;
}

/// Waits until the first entry serves a completion.
async fn wait_for_completion(fleet: &Fleet) {
    wait_for("a completion at the first entry", || async {
        let body = json!({ "model": "digest", "prompt": "again", "max_tokens": 1 });
        let addr = fleet.entry_addrs[0];
        let response = fleet.post(addr, "/v1/completions", &[], &body).await?;
        (response.status == 200).then_some(())
    })
    .await;
}

/// Waits until the engine has applied an order that `is_wanted` accepts, and returns it.
async fn wait_for_order<F>(engine: &EngineStandIn, is_wanted: F) -> OrderRecord
where
    F: Fn(&OrderRecord) -> bool,
{
    wait_for("an applied order", || async {
        let orders = engine.orders();
        let is_applied = |order: &&OrderRecord| order.outcome == OrderOutcome::Applied;
        orders
            .iter()
            .filter(is_applied)
            .find(|order| is_wanted(order))
            .cloned()
    })
    .await
}

/// Checks that no orders overlapped, that fencing tokens never decreased, and that no order aborted completions.
fn assert_orders_in_turn(engine: &EngineStandIn) {
    let orders = engine.orders();
    for order in &orders {
        assert_eq!(order.running_order, None, "{orders:?}");
        assert!(order.highest_seen <= order.fencing, "{orders:?}");
        assert_eq!(order.aborted_completions, 0, "{orders:?}");
    }
    let is_aborted = |record: &EngineRecord| matches!(record, EngineRecord::Aborted { .. });
    assert!(!engine.records().iter().any(is_aborted));
}

#[test]
fn slot_second_process() {
    block_on(async {
        let fleet = Fleet::start(
            FleetConfig::default()
                .entries(1)
                .engines(1)
                .booking_servers(0),
        )
        .await;
        let path = fleet.folder.path().join("skriver-1.ini");
        let text = std::fs::read_to_string(path).unwrap();
        let listen = text
            .lines()
            .find(|line| line.starts_with("listen"))
            .unwrap();
        let other = text.replace(listen, &format!("listen = {}", free_addr()));
        let path = fleet.folder.write("second.ini", &other);
        let mut command = Command::cargo_bin("laburnumlugd").unwrap();
        let output = command
            .args(["target", "--settings"])
            .arg(path)
            .timeout(Duration::from_secs(20))
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(3));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            message.contains("is held: another target process"),
            "{message}"
        );
    });
}

#[test]
fn role_change_running_streams() {
    block_on(async {
        let mut fleet = start_serving_fleet(slow_engines()).await;
        let change = json!({ "role": "prefill" });
        change_while_streams_run(&mut fleet, change, 100).await;
        let order = wait_for_order(&fleet.engines[0], |o| o.setup.role == Role::Prefill).await;
        assert_eq!(order.fencing, 2);
        assert_orders_in_turn(&fleet.engines[0]);
    });
}

#[test]
fn version_change_running_streams() {
    block_on(async {
        let mut fleet = start_serving_fleet(slow_engines()).await;
        fleet.document["models"][0]["versions"] = json!(["1", "2"]);
        let change = json!({ "models": [{ "model": "digest", "version": "2" }] });
        change_while_streams_run(&mut fleet, change, 100).await;
        let is_second = |o: &OrderRecord| o.setup.models[0].version == "2";
        wait_for_order(&fleet.engines[0], is_second).await;
        assert_orders_in_turn(&fleet.engines[0]);
    });
}

/// Guards against streams that break off because they outlast the drain bound: they must resume at another engine.
#[test]
fn role_change_drain_bound_moves_streams() {
    block_on(async {
        let config = slow_engines().extra_target_settings("drain_ms = 300");
        let mut fleet = start_serving_fleet(config).await;
        let change = json!({ "role": "prefill" });
        change_while_streams_run(&mut fleet, change, 300).await;
        wait_for_order(&fleet.engines[0], |o| o.setup.role == Role::Prefill).await;
        assert_orders_in_turn(&fleet.engines[0]);
        let resumed = |record: &EngineRecord| matches!(record, EngineRecord::Started { resume_at, .. } if *resume_at > 0);
        assert!(fleet.engines[1].records().iter().any(resumed));
    });
}

/// Changes the first target while it runs completions, and checks that all streams are complete.
async fn change_while_streams_run(fleet: &mut Fleet, change: Value, tokens: u64) {
    edit_target(&mut fleet.document, 0, &change);
    let document = fleet.document.to_string();
    let fleet = &*fleet;
    let change = async {
        wait_for_running(&fleet.engines[0]).await;
        let (status, body) = fleet.put_document(0, 1, "change", &document).await.unwrap();
        assert_eq!(status, 200, "{body}");
    };
    join(assert_streams_complete(fleet, tokens), change).await;
}

#[test]
fn stop_drain_bound_moves_streams() {
    block_on(async {
        let config = slow_engines().extra_target_settings("drain_ms = 300");
        let mut fleet = start_serving_fleet(config).await;
        let stop = async {
            wait_for_running(&fleet.engines[0]).await;
            fleet.processes["skriver-1"].signal(Signal::TERM);
        };
        join(assert_streams_complete(&fleet, 300), stop).await;
        let process = fleet.processes.get_mut("skriver-1").unwrap();
        assert_eq!(process.wait().await.code(), Some(0));
    });
}

#[test]
fn leaving_in_document_finishes_streams() {
    block_on(async {
        let mut fleet = start_serving_fleet(slow_engines()).await;
        let change = json!({ "state": "leaving" });
        change_while_streams_run(&mut fleet, change, 100).await;
        wait_for_order(&fleet.engines[0], |order| !order.setup.serving).await;
        assert_orders_in_turn(&fleet.engines[0]);
        let records_before = fleet.engines[0].records().len();
        assert_streams_complete(&fleet, 5).await;
        assert_eq!(fleet.engines[0].records().len(), records_before);
    });
}

/// Guards against a leaving target that serves again because of an older VM list, and against a target that leaves
/// because of an earlier instance of its VM.
#[test]
fn leaving_in_vm_list() {
    block_on(async {
        let list = VmListStandIn::start(free_addr()).await.unwrap();
        let leaving = VmId::new("skriver-1", "i-1");
        // A former instance of the other VM left long ago, which must not affect the current instance.
        let earlier = VmRow::new(VmId::new("skriver-2", "i-0"), VmState::Leaving);
        list.set(earlier.id.clone(), earlier.state);
        list.set(leaving.clone(), VmState::Live);
        let settings = format!("[platform]\nvm_list = {}\ninstance = i-1", list.addr());
        let fleet = start_serving_fleet(slow_engines().extra_target_settings(&settings)).await;
        let withdraw = async {
            wait_for_running(&fleet.engines[0]).await;
            list.set(leaving.clone(), VmState::Leaving);
            let served = list.served().len();
            // Both target processes have fetched the new list; then they get an older one.
            wait_for("the new list", || async {
                (list.served().len() > served + 4).then_some(())
            })
            .await;
            let older = VmList {
                vms: vec![earlier, VmRow::new(leaving, VmState::Live)],
            };
            let served = list.served().len();
            list.replay(vec![older; 4]);
            wait_for("the old list", || async {
                (list.served().len() > served + 4).then_some(())
            })
            .await;
        };
        join(assert_streams_complete(&fleet, 100), withdraw).await;
        let records_before = fleet.engines[0].records().len();
        assert_streams_complete(&fleet, 5).await;
        assert_eq!(fleet.engines[0].records().len(), records_before);
        let is_not_aborted =
            |record: &EngineRecord| !matches!(record, EngineRecord::Aborted { .. });
        assert!(fleet.engines[0].records().iter().all(is_not_aborted));
    });
}

#[test]
fn orders_many_changes_one_at_a_time() {
    for checks_fencing in [false, true] {
        block_on(async {
            let config = FleetConfig::default()
                .entries(1)
                .engines(1)
                .booking_servers(0);
            let mut fleet = Fleet::start(config).await;
            fleet.engines[0].set_checks_fencing(checks_fencing);
            fleet.engines[0].set_order_duration(Duration::from_millis(700));
            for (i, role) in ["prefill", "decode", "mixed", "decode"].iter().enumerate() {
                let received = fleet.engines[0].orders().len();
                change_target(&mut fleet, 0, 1 + i as u64, json!({ "role": role })).await;
                // Waits only after every other change, so that the next change comes while that order is running.
                if i % 2 == 0 {
                    wait_for("next order", || async {
                        (fleet.engines[0].orders().len() > received).then_some(())
                    })
                    .await;
                }
            }
            wait_for_order(&fleet.engines[0], |order| order.fencing == 5).await;
            assert_orders_in_turn(&fleet.engines[0]);
        });
    }
}

#[test]
fn order_engine_crashes_partway() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        fleet.engines[0].set_order_duration(Duration::from_millis(200));
        fleet.engines[0].crash_during_next_order(Duration::from_millis(500));
        change_target(&mut fleet, 0, 1, json!({ "role": "prefill" })).await;
        wait_for_order(&fleet.engines[0], |order| order.fencing == 2).await;
        let orders = fleet.engines[0].orders();
        let outcomes: Vec<OrderOutcome> = orders
            .iter()
            .filter(|order| order.fencing == 2)
            .map(|order| order.outcome)
            .collect();
        assert_eq!(outcomes, [OrderOutcome::Crashed, OrderOutcome::Applied]);
        assert_orders_in_turn(&fleet.engines[0]);
        wait_for_completion(&fleet).await;
        // The outcome is reported to control and shown to operators.
        wait_for("report of the order", || async {
            let status = fleet.get_control_json(0, "/status").await?;
            let report = json!({
                "target": "skriver-1", "generation": 2, "result": "carried-out",
            });
            status["orders"].as_array()?.contains(&report).then_some(())
        })
        .await;
    });
}

/// Guards against an order that is repeated because the target process is killed before it learns the outcome.
#[test]
fn order_target_process_killed_before_outcome() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        fleet.engines[0].set_order_duration(Duration::from_secs(2));
        change_target(&mut fleet, 0, 1, json!({ "role": "prefill" })).await;
        wait_for("start of the order", || async {
            let orders = fleet.engines[0].orders();
            orders.iter().any(|order| order.fencing == 2).then_some(())
        })
        .await;
        fleet.processes.get_mut("skriver-1").unwrap().kill();
        fleet.restart("skriver-1");
        wait_for_order(&fleet.engines[0], |order| order.fencing == 2).await;
        wait_for_completion(&fleet).await;
        // The restarted process reads the outcome from the engine's state and does not repeat the order.
        let orders = fleet.engines[0].orders();
        let sent_count = orders.iter().filter(|order| order.fencing == 2).count();
        assert_eq!(sent_count, 1, "{orders:?}");
        assert_orders_in_turn(&fleet.engines[0]);
    });
}

#[test]
fn order_outdated_intent_arrives_late() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        let link = fleet.proxies["skriver-1>control-1"].clone();
        link.set_fault(Fault::PartitionBackward);
        change_target(&mut fleet, 0, 1, json!({ "role": "prefill" })).await;
        change_target(&mut fleet, 0, 2, json!({ "role": "decode" })).await;
        // The delayed responses, with an outdated intent, arrive together with the newest one.
        link.set_fault(Fault::None);
        wait_for_order(&fleet.engines[0], |order| order.fencing == 3).await;
        assert_orders_in_turn(&fleet.engines[0]);
        let roles = fleet.engines[0].orders();
        let last = roles.last().map(|order| order.setup.role);
        assert_eq!(last, Some(Role::Decode));
    });
}

/// Guards against a rollout that loads weights at several engines at once.
#[test]
fn loads_one_at_a_time_over_the_fleet() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(3)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        for engine in &fleet.engines {
            wait_for_order(engine, |order| order.fencing == 1).await;
            engine.set_order_duration(Duration::from_millis(600));
        }
        // A rollout on all engines, during which an engine that waits for its load crashes and loses its state.
        fleet.document["models"][0]["versions"] = json!(["1", "2"]);
        for i in 0..3 {
            let second = json!({ "models": [{ "model": "digest", "version": "2" }] });
            edit_target(&mut fleet.document, i, &second);
        }
        put_until_accepted(&fleet, 0, 1, "rollout").await;
        wait_for("the first load", || async {
            let has_begun = |engine: &EngineStandIn| engine.orders().len() > 1;
            fleet.engines.iter().any(has_begun).then_some(())
        })
        .await;
        let waiting_engine = fleet
            .engines
            .iter()
            .find(|engine| engine.orders().len() == 1);
        waiting_engine.unwrap().crash(Duration::ZERO);
        for engine in &fleet.engines {
            wait_for_order(engine, |order| order.fencing == 2).await;
            assert_orders_in_turn(engine);
        }
        // Each order loads weights, so no two may overlap.
        let orders = fleet.engines.iter().flat_map(EngineStandIn::orders);
        let mut orders: Vec<OrderRecord> = orders.collect();
        orders.sort_by_key(|order| order.received_at);
        for pair in orders.windows(2) {
            assert!(
                pair[0].ended_at.unwrap() <= pair[1].received_at,
                "{orders:?}"
            );
        }
    });
}

/// Sets the fault of the proxies of `links`.
fn set_link_faults(fleet: &Fleet, links: &[String], fault: Fault) {
    for link in links {
        fleet.proxies[link].set_fault(fault);
    }
}

/// Guards against orders from the outdated intent of a former leader.
///
/// The former leader misses the newest intent because it is partitioned from the other replicas, and with
/// `is_frozen` also suspended. Then it is the only replica that the target process can reach, the target process
/// restarts, and its engine crashes and loses its state.
fn assert_former_leader_orders_nothing(is_frozen: bool) {
    block_on(async {
        let config = FleetConfig::default().control_replicas(3).entries(1);
        let mut fleet = Fleet::start(config.engines(1).booking_servers(0)).await;
        let former_leader = wait_for("a leader", || async {
            let status = fleet.get_control_json(0, "/status").await?;
            let leader = status["leader"].as_str()?;
            (0..3).find(|i| leader == format!("control-{}", i + 1))
        })
        .await;
        let others: Vec<usize> = (0..3).filter(|i| *i != former_leader).collect();
        let former_leader_name = format!("control-{}", former_leader + 1);
        let replica_links: Vec<String> = fleet
            .proxies
            .keys()
            .filter(|link| link.starts_with("control-") && link.contains(&former_leader_name))
            .cloned()
            .collect();
        set_link_faults(&fleet, &replica_links, Fault::Partition);
        if is_frozen {
            fleet.processes[&former_leader_name].signal(Signal::STOP);
        }
        edit_target(&mut fleet.document, 0, &json!({ "role": "prefill" }));
        put_until_accepted(&fleet, others[0], 1, "newest").await;
        wait_for_order(&fleet.engines[0], |order| order.fencing == 2).await;

        let target_links: Vec<String> = others
            .iter()
            .map(|i| format!("skriver-1>control-{}", i + 1))
            .collect();
        set_link_faults(&fleet, &target_links, Fault::Partition);
        if is_frozen {
            fleet.processes[&former_leader_name].signal(Signal::CONT);
        }
        let orders_before = fleet.engines[0].orders().len();
        fleet.engines[0].crash(Duration::from_millis(100));
        fleet.processes.get_mut("skriver-1").unwrap().kill();
        fleet.restart("skriver-1");
        // Until the former leader notices that it cannot commit, it still answers nodes.
        let mut outdated = fleet.document.clone();
        edit_target(&mut outdated, 0, &json!({ "role": "decode" }));
        let refused = fleet
            .put_document(former_leader, 1, "outdated", &outdated.to_string())
            .await;
        assert!(refused.is_none_or(|(status, _)| status != 200));
        assert_eq!(fleet.engines[0].orders().len(), orders_before);

        set_link_faults(&fleet, &target_links, Fault::None);
        set_link_faults(&fleet, &replica_links, Fault::None);
        wait_for("the newest order after the partition", || async {
            (fleet.engines[0].orders().len() > orders_before).then_some(())
        })
        .await;
        wait_for_completion(&fleet).await;
        let orders = fleet.engines[0].orders();
        let fencing: Vec<u64> = orders[orders_before..]
            .iter()
            .map(|order| order.fencing)
            .collect();
        assert_eq!(fencing, [2], "{orders:?}");
        assert_orders_in_turn(&fleet.engines[0]);
    });
}

/// Submits the fleet's document with base version `base` until the replica accepts it.
async fn put_until_accepted(fleet: &Fleet, replica: usize, base: u64, key: &str) {
    let document = fleet.document.to_string();
    wait_for("an accepted change", || async {
        let (status, _) = fleet.put_document(replica, base, key, &document).await?;
        (status == 200).then_some(())
    })
    .await;
}

#[test]
fn order_leader_frozen_and_woken() {
    assert_former_leader_orders_nothing(true);
}

#[test]
fn order_leader_isolated() {
    assert_former_leader_orders_nothing(false);
}

#[test]
fn streams_engine_stream_faults() {
    let faults = [
        StreamFault::WrongRequest { at: 3 },
        StreamFault::Duplicated,
        StreamFault::Missing { at: 4 },
        StreamFault::Reordered { at: 2 },
        StreamFault::Stalled { at: 5 },
    ];
    block_on(async {
        let fleet = start_serving_fleet(FleetConfig::default().booking_servers(0)).await;
        for fault in faults {
            fleet.engines[0].set_stream_fault(fault);
            assert_streams_complete(&fleet, 20).await;
        }
    });
}

#[test]
fn hang_up_before_first_piece() {
    block_on(async {
        // The prefill of this prompt takes more than a day.
        let timing = EngineTiming::instant().prefill_tokens_per_second(1);
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let fleet = Fleet::start(config.engine_timing(timing)).await;
        let body = json!({
            "model": "digest", "prompt": "x".repeat(400_000), "max_tokens": 1, "stream": true,
        });
        let deadline = [("laburnumlug-deadline-ms", "86400000")];
        {
            let call = fleet.post(fleet.entry_addrs[0], "/v1/completions", &deadline, &body);
            let call = std::pin::pin!(call);
            let started = std::pin::pin!(wait_for_running(&fleet.engines[0]));
            let _ = futures_util::future::select(call, started).await;
        }
        wait_for("cancelled generation", || async {
            let records = fleet.engines[0].records();
            let is_cancelled = |r: &EngineRecord| matches!(r, EngineRecord::Cancelled { .. });
            records.iter().any(is_cancelled).then_some(())
        })
        .await;
    });
}

/// Guards against an engine that goes on generating for an entry that a partition has separated from the target
/// process.
#[test]
fn partitioned_entry_frees_engine() {
    block_on(async {
        // A prefill of half a second leaves time to start the partition before the first token.
        let timing = EngineTiming::instant().prefill_tokens_per_second(4);
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let config = config.engine_timing(timing);
        let fleet = Fleet::start(config).await;
        // The completion is larger than the buffers of the connection.
        let body = json!({
            "model": "digest", "prompt": "endless", "max_tokens": 131_072, "stream": true,
        });
        let deadline = [("laburnumlug-deadline-ms", "600000")];
        let call = fleet.post(fleet.entry_addrs[0], "/v1/completions", &deadline, &body);
        let check = async {
            wait_for_running(&fleet.engines[0]).await;
            fleet.proxies[">skriver-1"].set_fault(Fault::Partition);
            wait_for("cancelled generation", || async {
                let records = fleet.engines[0].records();
                let is_cancelled = |r: &EngineRecord| matches!(r, EngineRecord::Cancelled { .. });
                records.iter().any(is_cancelled).then_some(())
            })
            .await;
        };
        let call = std::pin::pin!(call);
        let check = std::pin::pin!(check);
        let first_done = futures_util::future::select(check, call).await;
        if let futures_util::future::Either::Right((response, _)) = first_done {
            panic!("the call ended before the engine cancelled the completion: {response:.300?}");
        }
    });
}
