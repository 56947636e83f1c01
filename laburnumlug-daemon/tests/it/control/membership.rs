//! Membership changes: voters that are added and removed.

use serde_json::json;

use super::{
    put_until_accepted, replica_name, three_replicas, voter_incarnation, wait_for_leader,
    wait_for_version,
};
use crate::harness::{Fleet, FleetConfig, block_on, free_addr, wait_for};

#[test]
fn membership_grows_from_one_to_three() {
    block_on(async {
        let config = FleetConfig::default()
            .booking_servers(0)
            .engines(1)
            .entries(1);
        let mut fleet = Fleet::start(config).await;
        let accepted = put_until_accepted(&fleet, 0, "alone").await;
        let first_settings =
            std::fs::read_to_string(fleet.folder.path().join("control-1.ini")).unwrap();
        let setting = |key: &str| {
            let line = first_settings
                .lines()
                .rev()
                .find(|line| line.starts_with(key))
                .unwrap();
            line.split(" = ").nth(1).unwrap().to_string()
        };
        let mesh_addrs = [
            setting("listen"),
            free_addr().to_string(),
            free_addr().to_string(),
        ];
        fleet.processes.get_mut("control-1").unwrap().kill();
        for number in 1..=3 {
            let others = (1..=3).filter(|other| *other != number);
            let peers: Vec<String> = others
                .map(|other| format!("control-{other}:{}", mesh_addrs[other - 1]))
                .collect();
            let operator_addr = match number {
                1 => fleet.operator_addrs[0],
                _ => free_addr(),
            };
            let text = first_settings
                .replace("control-1", &format!("control-{number}"))
                .replace(&mesh_addrs[0], &mesh_addrs[number - 1])
                .replace(
                    &fleet.operator_addrs[0].to_string(),
                    &operator_addr.to_string(),
                );
            let text = format!("{text}replicas = {}\n", peers.join(","));
            if number > 1 {
                fleet.operator_addrs.push(operator_addr);
            }
            let own_name = format!("control-{number}");
            fleet.folder.write(&format!("{own_name}.ini"), &text);
            fleet.restart(&own_name);
        }
        for replica in 0..3 {
            voter_incarnation(&fleet, replica).await;
            wait_for_version(&fleet, replica, accepted).await;
        }
        fleet.processes.get_mut("control-1").unwrap().kill();
        assert_eq!(put_until_accepted(&fleet, 1, "grown").await, accepted + 1);
    });
}

#[test]
fn membership_follows_document() {
    block_on(async {
        let mut fleet = Fleet::start(three_replicas()).await;
        let retired = wait_for_leader(&fleet, &[0, 1, 2]).await;
        let remaining: Vec<usize> = (0..3).filter(|i| *i != retired).collect();
        let row = |replica: &usize| {
            let address = format!("127.0.0.1:{}", replica + 1);
            json!({ "name": replica_name(*replica), "zone": "vest-a", "address": address })
        };
        fleet.document["control"] = remaining.iter().map(row).collect();
        put_until_accepted(&fleet, retired, "two replicas").await;
        let names: Vec<String> = remaining
            .iter()
            .map(|replica| replica_name(*replica))
            .collect();
        wait_for("two voters with a leader", || async {
            let status = fleet.get_control_json(remaining[0], "/status").await?;
            let voters = status["voters"].as_array()?;
            let voters: Vec<&str> = voters.iter().map(|v| v["name"].as_str().unwrap()).collect();
            let is_led = names.iter().any(|name| status["leader"] == name.as_str());
            (voters == names && is_led).then_some(())
        })
        .await;
        fleet
            .processes
            .get_mut(&replica_name(retired))
            .unwrap()
            .kill();
        put_until_accepted(&fleet, remaining[1], "without the third").await;
        fleet.restart(&replica_name(retired));
        wait_for("a status of the retired replica", || async {
            let status = fleet.get_control_json(retired, "/status").await?;
            assert_eq!(status["is_voter"], false);
            (status["committed"].as_u64()? > 0).then_some(())
        })
        .await;
        fleet.document["control"] = (0..3).map(|replica| row(&replica)).collect();
        put_until_accepted(&fleet, remaining[0], "three replicas").await;
        voter_incarnation(&fleet, retired).await;
    });
}
