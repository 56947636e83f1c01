//! Open connections between processes that go silent without a reset, while new ones work.

use std::time::{Duration, Instant};

use futures_util::future::join;
use laburnumlug_standin::Fault;
use serde_json::{Value, json};

use crate::gateway_fleet::{GatewayFleet, config, row};
use crate::harness::{block_on, wait_for};
use crate::standin::{Behaviour, ServerStandIn};

/// Time within which a change of the configuration must be in force.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Time within which a target that the list shows as leaving must be out of use.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(3);

/// Time from one silence of the connections to the next; longer than the bounds, so that a late change is noticed.
const ROUND_TIME: Duration = Duration::from_secs(7);

/// Number of times that all open connections go silent.
const ROUNDS: usize = 2;

/// Interval between requests.
const SEND_INTERVAL: Duration = Duration::from_millis(5);

/// Services to which the route `safe` leads in turn.
const ALTERNATING: [&str; 2] = ["even", "odd"];

/// Returns a configuration whose route `safe` leads to one of the services in [`ALTERNATING`], by its version.
fn alternating_config(version: usize) -> Value {
    let mut config = config(version as u64);
    config["routes"][0]["service"] = json!(ALTERNATING[version % 2]);
    let services = config["services"].as_array_mut().unwrap();
    services.extend(ALTERNATING.map(|name| json!({ "name": name, "healthPath": "/health" })));
    config
}

/// Guards against changes that take seconds to be in force, and requests to targets that are listed as leaving, because
/// replicas and gateways wait for answers on connections that have gone silent.
#[test]
fn silent_connections_changes_in_force() {
    block_on(async {
        let mut servers = Vec::new();
        let mut rows = Vec::new();
        let services = [ALTERNATING[0], ALTERNATING[1], "plain", "plain", "plain"];
        for (i, service) in services.into_iter().enumerate() {
            let id = &format!("i-{i}");
            let server = ServerStandIn::start(id, Behaviour::Serve).await;
            rows.push(row(id, service, &server));
            servers.push(server);
        }
        let deployment = GatewayFleet::start(rows.clone(), "").await;
        deployment.replace_config(&alternating_config(2)).await;
        wait_for("a served request", || async {
            (deployment.send("/safe/x", &[]).await? == 200).then_some(())
        })
        .await;
        for round in 1..=ROUNDS {
            let silent_at = Instant::now();
            for proxy in deployment.fleet.proxies.values() {
                proxy.set_fault(Fault::PartitionExisting);
            }
            let leaving = 1 + round;
            rows[leaving]["state"] = json!("draining");
            deployment.set_rows(rows.clone());
            let next_config = alternating_config(2 + round);
            let changing = deployment.replace_config(&next_config);
            let sending = async {
                let unused = [&servers[(round + 1) % 2], &servers[leaving]];
                let mut last_sent = [Duration::ZERO; 2];
                while silent_at.elapsed() < ROUND_TIME {
                    let sent_after = silent_at.elapsed();
                    let before = unused.map(|server| server.received().len());
                    for path in ["/safe/x", "/once/x"] {
                        assert_eq!(deployment.send(path, &[]).await, Some(200));
                    }
                    for i in 0..unused.len() {
                        if unused[i].received().len() > before[i] {
                            last_sent[i] = sent_after;
                        }
                    }
                    compio::time::sleep(SEND_INTERVAL).await;
                }
                last_sent
            };
            let ((), [outdated, leaving]) = join(changing, sending).await;
            assert!(outdated < MAX_CHANGE_TIME, "round {round}: {outdated:?}");
            assert!(leaving < MAX_LEAVING_TIME, "round {round}: {leaving:?}");
        }
    });
}
