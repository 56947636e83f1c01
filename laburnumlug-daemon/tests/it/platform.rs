//! Control replicas that are named by their addresses, as the platform starts them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::client;
use crate::harness::{Folder, MESH_KEY, Process, TOKEN_HASH, block_on, free_addr, wait_for};

/// One control replica.
struct Replica {
    listen: SocketAddr,
    operators: SocketAddr,
    process: Process,
}

struct Cluster {
    folder: Folder,
    replicas: Vec<Replica>,
}

impl Cluster {
    /// Starts the first replicas of a cluster that bears the loss of one.
    fn start() -> Cluster {
        Cluster::start_bearing(1)
    }

    /// Starts the first replicas of a cluster that bears these losses at once.
    fn start_bearing(losses: usize) -> Cluster {
        let folder = Folder::new();
        let addrs: Vec<(SocketAddr, SocketAddr)> = (0..=2 * losses)
            .map(|_| (free_addr(), free_addr()))
            .collect();
        let seeds: Vec<SocketAddr> = addrs.iter().map(|(listen, _)| *listen).collect();
        let replicas = addrs.iter().map(|(listen, operators)| {
            start_replica(&folder, losses, *listen, *operators, &seeds, true)
        });
        Cluster {
            replicas: replicas.collect(),
            folder,
        }
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.listen).collect()
    }

    /// Puts a configuration in force through one replica.
    async fn replace(&self, replica: usize, number: u64, timeout_ms: u64) {
        wait_for("accepted configuration", || async {
            let text = config(number, timeout_ms).to_string();
            let addr = self.replicas[replica].operators;
            let answer = client::post(addr, "/config/replace", &[], &text).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Reads the configuration from one replica, once it can prove that it is the newest.
    async fn read(&self, replica: usize) -> Value {
        wait_for("confirmed configuration", || async {
            let addr = self.replicas[replica].operators;
            let (status, body) = client::get_status_and_page(addr, "/config/get").await?;
            (status == 200).then(|| serde_json::from_str(&body).unwrap())
        })
        .await
    }
}

fn start_replica(
    folder: &Folder,
    losses: usize,
    listen: SocketAddr,
    operators: SocketAddr,
    seeds: &[SocketAddr],
    may_found: bool,
) -> Replica {
    let name = format!("control-{}", listen.port());
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nvm = {name}\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[control]\nname = {listen}\n\
         listen = {listen}\noperators = {operators}\ndata = {}\npeers = mesh\nmay_found = {may_found}\n\
         losses = {losses}\nplatform_operator = yes\ntokens = dev:{TOKEN_HASH}\n",
        seeds.join(","),
        folder.path().join(&name).display(),
    );
    let path = folder.write(&format!("{name}.ini"), &text);
    Replica {
        listen,
        operators,
        process: Process::start("control", &path),
    }
}

/// Returns a configuration in the platform's words, which stand in its own folder.
fn config(number: u64, timeout_ms: u64) -> Value {
    config_with_service(number, timeout_ms, "plain")
}

fn config_with_service(number: u64, timeout_ms: u64, service: &str) -> Value {
    let text = include_str!("../../../platform/tests/sample-config.json")
        .replace("1001", &number.to_string())
        .replace("2002", &timeout_ms.to_string())
        .replace("service-of-route", service);
    serde_json::from_str(&text).unwrap()
}

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

/// Waits until a replica's vote counts.
async fn wait_for_voter(cluster: &Cluster, replica: usize) {
    wait_for("voter", || async {
        let body = client::get_page(cluster.replicas[replica].operators, "/status").await?;
        let status: Value = serde_json::from_str(&body).ok()?;
        (status["is_voter"] == json!(true)).then_some(())
    })
    .await;
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

/// A gateway and the list of targets that it reads.
struct Gateway {
    listen: SocketAddr,
    ready: SocketAddr,
    mesh: SocketAddr,
    list: SocketAddr,
    process: Process,
}

impl Gateway {
    /// Starts a gateway that finds control through these seeds.
    async fn start(folder: &Folder, seeds: &[SocketAddr]) -> Gateway {
        let list = free_addr();
        let listener = compio::net::TcpListener::bind(list).await.unwrap();
        let server = laburnumlug_http::Server::new(listener, laburnumlug_http::Limits::default());
        let handler = Rc::new(|_req: laburnumlug_http::Request| async {
            let text = include_str!("../../../platform/tests/sample-list.json");
            hyper::Response::new(laburnumlug_http::full_body(text))
        });
        compio::runtime::spawn(server.run(handler)).detach();
        let (listen, ready, mesh) = (free_addr(), free_addr(), free_addr());
        let path = write_gateway_settings(folder, [listen, ready, mesh, list], seeds);
        Gateway {
            listen,
            ready,
            mesh,
            list,
            process: Process::start("gateway", &path),
        }
    }

    /// Puts other seeds into the settings of the running process.
    fn change_seeds(&self, folder: &Folder, seeds: &[SocketAddr]) {
        let addrs = [self.listen, self.ready, self.mesh, self.list];
        write_gateway_settings(folder, addrs, seeds);
    }
}

fn write_gateway_settings(
    folder: &Folder,
    [listen, ready, mesh, list]: [SocketAddr; 4],
    seeds: &[SocketAddr],
) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nvm = g\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[gateway]\nlisten = {listen}\n\
         ready = {ready}\nmesh_listen = {mesh}\ntarget_list = {list}\ngrace_s = 4\n",
        seeds.join(","),
    );
    folder.write("gateway.ini", &text)
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
        cluster.folder.write("gateway.ini", "[process");
        compio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(readiness(gateway.ready).await, Some(503));
        gateway.change_seeds(&cluster.folder, &cluster.seeds()[1..2]);
        wait_for("readiness", || async {
            (readiness(gateway.ready).await? == 200).then_some(())
        })
        .await;
    });
}

/// Returns the status that a gateway tells of its readiness; `None` where it does not answer.
async fn readiness(addr: SocketAddr) -> Option<u16> {
    let (status, _) = client::get_status_and_page(addr, "/ready").await?;
    Some(status)
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
