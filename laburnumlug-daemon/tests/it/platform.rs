//! Control replicas and gateways with the settings that the platform gives them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use rustix::process::Signal;

use crate::client;
use crate::harness::{MESH_KEY, Process, block_on, free_addr, wait_for};
use crate::platform_fleet::{
    Cluster, Gateway, Replica, config, config_with_service, readiness_status, start_replica,
    wait_for_voter,
};

#[test]
fn config_highest_number_holds_at_every_replica() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace_config(0, 7, 500).await;
        // A lower version, or other content under the same version, is acknowledged and changes nothing.
        cluster.replace_config(1, 3, 100).await;
        cluster.replace_config(2, 7, 100).await;
        for replica in 0..3 {
            assert_eq!(cluster.read_config(replica).await, config(7, 500));
        }
    });
}

#[test]
fn config_invalid_is_refused() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        let valid = config(2, 500).to_string();
        let unknown_service = config_with_service(2, 500, "none");
        for text in [
            &valid[..valid.len() / 2],
            &config(2, 0).to_string(),
            &unknown_service.to_string(),
        ] {
            let addr = cluster.replicas[1].operator_addr;
            let response = client::post(addr, "/config/replace", &[], text)
                .await
                .unwrap();
            assert_eq!(response.status, 400, "{text}");
        }
        assert_eq!(cluster.read_config(2).await, config(1, 500));
    });
}

#[test]
fn config_survives_loss_of_a_disk_and_then_of_another_replica() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        cluster.replicas[0].process.kill();
        cluster.replace_config(1, 2, 500).await;
        let (mesh_addr, operator_addr) = (
            cluster.replicas[0].mesh_addr,
            cluster.replicas[0].operator_addr,
        );
        let data = cluster
            .folder
            .path()
            .join(format!("control-{}", mesh_addr.port()));
        std::fs::remove_dir_all(data).unwrap();
        let seeds = cluster.seeds();
        cluster.replicas[0] =
            start_replica(&cluster.folder, 1, mesh_addr, operator_addr, &seeds, false);
        assert_eq!(cluster.read_config(0).await, config(2, 500));
        wait_for_voter(&cluster, 0).await;
        cluster.replicas[1].process.kill();
        cluster.replace_config(0, 3, 500).await;
        assert_eq!(cluster.read_config(2).await, config(3, 500));
    });
}

/// Guards against a replacement that does not count towards the majority: a replica is lost for good, one with an empty
/// disk at another address takes its place, and then a further replica fails.
#[test]
fn config_survives_replacement_at_another_address() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        let seeds = cluster.seeds();
        cluster.replicas[2].process.kill();
        let replacement =
            start_replica(&cluster.folder, 1, free_addr(), free_addr(), &seeds, false);
        cluster.replicas[2] = replacement;
        wait_for_voter(&cluster, 2).await;
        cluster.replicas[1].process.kill();
        cluster.replace_config(2, 2, 500).await;
        assert_eq!(cluster.read_config(0).await, config(2, 500));
    });
}

/// Guards against the loss of acknowledged configurations and of the majority when two of five replicas fail at once
/// and return with empty disks, and then two others fail.
#[test]
fn config_survives_two_losses_at_once_and_two_more() {
    block_on(async {
        let mut cluster = Cluster::start_tolerating(2);
        cluster.replace_config(0, 1, 500).await;
        for replica in 0..5 {
            wait_for_voter(&cluster, replica).await;
        }
        for replica in [0, 1] {
            cluster.replicas[replica].process.kill();
        }
        cluster.replace_config(2, 2, 500).await;
        let seeds = cluster.seeds();
        for replica in [0, 1] {
            let Replica {
                mesh_addr,
                operator_addr,
                ..
            } = cluster.replicas[replica];
            let data = cluster
                .folder
                .path()
                .join(format!("control-{}", mesh_addr.port()));
            std::fs::remove_dir_all(data).unwrap();
            cluster.replicas[replica] =
                start_replica(&cluster.folder, 2, mesh_addr, operator_addr, &seeds, false);
        }
        for replica in [0, 1] {
            wait_for_voter(&cluster, replica).await;
        }
        for replica in [2, 3] {
            cluster.replicas[replica].process.kill();
        }
        cluster.replace_config(0, 3, 500).await;
        assert_eq!(cluster.read_config(1).await, config(3, 500));
        assert_eq!(cluster.read_config(4).await, config(3, 500));
    });
}

/// Guards against operator requests that fail because they reach a VM without a disk: it runs no replica, must redirect them to
/// one that answers, and must refuse them if there is none.
#[test]
fn control_without_disk_refers_operators() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        let operator_addr = free_addr();
        let seeds = cluster.seeds();
        let text = format!(
            "[process]\nvm = a\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {},{}\n[control]\n\
             name = a\nlisten = {}\noperators = {operator_addr}\ndata =\nothers = {operator_addr},{}\n",
            free_addr(),
            seeds[1],
            free_addr(),
            free_addr(),
        );
        let path = cluster.folder.write("referral.ini", &text);
        let _process = Process::start("control", &path);
        let send = || async {
            let req = hyper::Request::get("/config/get?x=1")
                .body(Full::new(Bytes::new()))
                .unwrap();
            laburnumlug_http::send(operator_addr, req, Duration::from_secs(1))
                .await
                .ok()
        };
        let response = wait_for("a response", send).await;
        assert_eq!(response.status(), 307);
        let location = response.headers()["location"].to_str().unwrap();
        let replicas = cluster.replicas.iter();
        let expected: Vec<String> = replicas
            .map(|replica| format!("http://{}/config/get?x=1", replica.operator_addr))
            .collect();
        assert!(expected.iter().any(|url| url == location), "{location}");
        for replica in &mut cluster.replicas {
            replica.process.kill();
        }
        assert_eq!(send().await.unwrap().status(), 503);
    });
}

/// Guards against a gateway that never reaches control because none of the seeds that it started with answers: it must
/// read new seeds from its changed settings file without a signal.
#[test]
fn gateway_takes_changed_seeds() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        let gateway = Gateway::start(&cluster.folder, &[free_addr()]).await;
        wait_for("a gateway that is not ready without control", || async {
            (readiness_status(gateway.ready_addr).await? == 503).then_some(())
        })
        .await;
        // Invalid settings are ignored, and the process keeps running.
        cluster.folder.write("g.ini", "[process");
        compio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(readiness_status(gateway.ready_addr).await, Some(503));
        gateway.change_seeds(&cluster.folder, &cluster.seeds()[1..2]);
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
    });
}

/// Guards against a gateway that stays cut off because a faulty line in its changed settings file hides the new seeds.
#[test]
fn gateway_takes_changed_seeds_beside_faulty_line() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace_config(0, 1, 500).await;
        let lost = free_addr();
        let gateway = Gateway::start(&cluster.folder, &[lost]).await;
        wait_for("a gateway that is not ready without control", || async {
            (readiness_status(gateway.ready_addr).await? == 503).then_some(())
        })
        .await;
        let text = std::fs::read_to_string(cluster.folder.path().join("g.ini")).unwrap();
        let seed = cluster.seeds()[1];
        let text = text
            .replace(&lost.to_string(), &seed.to_string())
            .replace("grace_s = 4", "grace_s = soon");
        assert!(text.contains("soon"), "{text}");
        cluster.folder.write("g.ini", &text);
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
    });
}

/// Guards against requests that are lost because the platform sends them to a gateway that has no routes yet or has
/// exited: it must not be ready before it has routes and targets, must survive SIGHUP, and on SIGTERM must report at
/// once that it is not ready, but keep serving until the platform has noticed.
#[test]
fn gateway_readiness_sighup_and_stop() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
        let ready_addr = gateway.ready_addr;
        wait_for("a gateway that is not ready without routes", || async {
            (readiness_status(ready_addr).await? == 503).then_some(())
        })
        .await;
        cluster.replace_config(0, 1, 500).await;
        wait_for("a ready gateway", || async {
            (readiness_status(ready_addr).await? == 200).then_some(())
        })
        .await;
        gateway.process.signal(Signal::HUP);
        gateway.process.signal(Signal::TERM);
        wait_for("a gateway that is not ready after SIGTERM", || async {
            (readiness_status(ready_addr).await? == 503).then_some(())
        })
        .await;
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}
