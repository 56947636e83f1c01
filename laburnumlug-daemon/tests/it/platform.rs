//! Control replicas that are named by their addresses, as the platform starts them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use rustix::process::Signal;

use crate::client;
use crate::harness::{Folder, MESH_KEY, Process, block_on, free_addr, wait_for};
use crate::platform_fleet::{
    Cluster, Gateway, Replica, config, config_with_service, readiness, start_replica,
    wait_for_voter,
};

#[test]
fn config_highest_number_holds_at_every_replica() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace(0, 7, 500).await;
        // An older one is acknowledged and changes nothing, and so does other content under the same number.
        cluster.replace(1, 3, 100).await;
        cluster.replace(2, 7, 100).await;
        for replica in 0..3 {
            assert_eq!(cluster.read(replica).await, config(7, 500));
        }
    });
}

#[test]
fn config_invalid_is_refused() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace(0, 1, 500).await;
        let whole = config(2, 500).to_string();
        let unknown = config_with_service(2, 500, "none");
        for text in [
            &whole[..whole.len() / 2],
            &config(2, 0).to_string(),
            &unknown.to_string(),
        ] {
            let addr = cluster.replicas[1].operators;
            let answer = client::post(addr, "/config/replace", &[], text)
                .await
                .unwrap();
            assert_eq!(answer.status, 400, "{text}");
        }
        assert_eq!(cluster.read(2).await, config(1, 500));
    });
}

#[test]
fn config_survives_loss_of_a_disk_and_then_of_another_replica() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace(0, 1, 500).await;
        cluster.replicas[0].process.kill();
        cluster.replace(1, 2, 500).await;
        let (listen, operators) = (cluster.replicas[0].listen, cluster.replicas[0].operators);
        let data = cluster
            .folder
            .path()
            .join(format!("control-{}", listen.port()));
        std::fs::remove_dir_all(data).unwrap();
        let seeds = cluster.seeds();
        cluster.replicas[0] = start_replica(&cluster.folder, 1, listen, operators, &seeds, false);
        assert_eq!(cluster.read(0).await, config(2, 500));
        wait_for_voter(&cluster, 0).await;
        cluster.replicas[1].process.kill();
        cluster.replace(0, 3, 500).await;
        assert_eq!(cluster.read(2).await, config(3, 500));
    });
}

/// A replica is gone for good, and another one comes at another address with an empty disk.
#[test]
fn config_survives_replacement_at_another_address() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace(0, 1, 500).await;
        let seeds = cluster.seeds();
        cluster.replicas[2].process.kill();
        let new = start_replica(&cluster.folder, 1, free_addr(), free_addr(), &seeds, false);
        cluster.replicas[2] = new;
        wait_for_voter(&cluster, 2).await;
        cluster.replicas[1].process.kill();
        cluster.replace(2, 2, 500).await;
        assert_eq!(cluster.read(0).await, config(2, 500));
    });
}

/// Two of five replicas go at once, and come back empty; then two others go.
#[test]
fn config_survives_two_losses_at_once_and_two_more() {
    block_on(async {
        let mut cluster = Cluster::start_bearing(2);
        cluster.replace(0, 1, 500).await;
        for replica in 0..5 {
            wait_for_voter(&cluster, replica).await;
        }
        for replica in [0, 1] {
            cluster.replicas[replica].process.kill();
        }
        cluster.replace(2, 2, 500).await;
        let seeds = cluster.seeds();
        for replica in [0, 1] {
            let Replica {
                listen, operators, ..
            } = cluster.replicas[replica];
            let data = cluster
                .folder
                .path()
                .join(format!("control-{}", listen.port()));
            std::fs::remove_dir_all(data).unwrap();
            cluster.replicas[replica] =
                start_replica(&cluster.folder, 2, listen, operators, &seeds, false);
        }
        for replica in [0, 1] {
            wait_for_voter(&cluster, replica).await;
        }
        for replica in [2, 3] {
            cluster.replicas[replica].process.kill();
        }
        cluster.replace(0, 3, 500).await;
        assert_eq!(cluster.read(1).await, config(3, 500));
        assert_eq!(cluster.read(4).await, config(3, 500));
    });
}

/// A VM without a disk holds no replica and refers operators to one.
#[test]
fn control_without_disk_refers_operators() {
    block_on(async {
        let folder = Folder::new();
        let (operators, other) = (free_addr(), free_addr());
        let text = format!(
            "[process]\nvm = a\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {other}\n[control]\n\
             name = a\nlisten = {}\noperators = {operators}\ndata =\nothers = {operators},{other}\n",
            free_addr(),
        );
        let path = folder.write("referral.ini", &text);
        let _process = Process::start("control", &path);
        let location = wait_for("referral", || async {
            let req = hyper::Request::get("/config/get?x=1")
                .body(Full::new(Bytes::new()))
                .unwrap();
            let timeout = Duration::from_secs(1);
            let incoming = laburnumlug_http::send(operators, req, timeout).await.ok()?;
            assert_eq!(incoming.status(), 307);
            Some(incoming.headers()["location"].to_str().unwrap().to_string())
        })
        .await;
        assert_eq!(location, format!("http://{other}/config/get?x=1"));
    });
}

/// The seeds that a gateway started with are gone; others come with changed settings, without any signal.
#[test]
fn gateway_takes_changed_seeds() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.replace(0, 1, 500).await;
        let gateway = Gateway::start(&cluster.folder, &[free_addr()]).await;
        wait_for("readiness without control", || async {
            (readiness(gateway.ready).await? == 503).then_some(())
        })
        .await;
        // Settings that cannot be used are passed over, and the process goes on.
        cluster.folder.write("g.ini", "[process");
        compio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(readiness(gateway.ready).await, Some(503));
        gateway.change_seeds(&cluster.folder, &cluster.seeds()[1..2]);
        wait_for("readiness", || async {
            (readiness(gateway.ready).await? == 200).then_some(())
        })
        .await;
    });
}

/// A gateway is ready once it knows routes and targets, lives through SIGHUP, and tells at once that it stops, though it
/// goes on for as long as the platform needs to notice.
#[test]
fn gateway_readiness_hang_up_and_stop() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
        let ready = gateway.ready;
        wait_for("readiness without routes", || async {
            (readiness(ready).await? == 503).then_some(())
        })
        .await;
        cluster.replace(0, 1, 500).await;
        wait_for("readiness", || async {
            (readiness(ready).await? == 200).then_some(())
        })
        .await;
        gateway.process.signal(Signal::HUP);
        gateway.process.signal(Signal::TERM);
        wait_for("notice of the stop", || async {
            (readiness(ready).await? == 503).then_some(())
        })
        .await;
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}
