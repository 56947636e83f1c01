//! Control replicas and gateways as the platform starts them.

// Each test uses what it needs of the harness.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use serde_json::{Value, json};

use crate::client;
use crate::harness::{Folder, MESH_KEY, Process, TOKEN_HASH, free_addr, wait_for};

/// One control replica.
pub struct Replica {
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub process: Process,
}

pub struct Cluster {
    pub folder: Folder,
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// Starts the first replicas of a cluster that bears the loss of one.
    pub fn start() -> Cluster {
        Cluster::start_bearing(1)
    }

    /// Starts the first replicas of a cluster that bears these losses at once.
    pub fn start_bearing(losses: usize) -> Cluster {
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

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.listen).collect()
    }

    /// Puts a configuration in force through one replica.
    pub async fn replace(&self, replica: usize, number: u64, timeout_ms: u64) {
        wait_for("accepted configuration", || async {
            let text = config(number, timeout_ms).to_string();
            let addr = self.replicas[replica].operators;
            let answer = client::post(addr, "/config/replace", &[], &text).await?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Reads the configuration from one replica, once it can prove that it is the newest.
    pub async fn read(&self, replica: usize) -> Value {
        wait_for("confirmed configuration", || async {
            let addr = self.replicas[replica].operators;
            let (status, body) = client::get_status_and_page(addr, "/config/get").await?;
            (status == 200).then(|| serde_json::from_str(&body).unwrap())
        })
        .await
    }
}

pub fn start_replica(
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
pub fn config(number: u64, timeout_ms: u64) -> Value {
    config_with_service(number, timeout_ms, "plain")
}

pub fn config_with_service(number: u64, timeout_ms: u64, service: &str) -> Value {
    let text = include_str!("../../../platform/tests/sample-config.json")
        .replace("1001", &number.to_string())
        .replace("2002", &timeout_ms.to_string())
        .replace("service-of-route", service);
    serde_json::from_str(&text).unwrap()
}

/// Waits until a replica's vote counts.
pub async fn wait_for_voter(cluster: &Cluster, replica: usize) {
    wait_for("voter", || async {
        let body = client::get_page(cluster.replicas[replica].operators, "/status").await?;
        let status: Value = serde_json::from_str(&body).ok()?;
        (status["is_voter"] == json!(true)).then_some(())
    })
    .await;
}

/// Serves a list of targets and returns its address.
pub async fn serve_list(text: String) -> SocketAddr {
    let list = free_addr();
    let listener = compio::net::TcpListener::bind(list).await.unwrap();
    let server = laburnumlug_http::Server::new(listener, laburnumlug_http::Limits::default());
    let handler = Rc::new(move |_req: laburnumlug_http::Request| {
        let text = text.clone();
        async { hyper::Response::new(laburnumlug_http::full_body(text)) }
    });
    compio::runtime::spawn(server.run(handler)).detach();
    list
}

/// A gateway.
pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub mesh: SocketAddr,
    pub list: SocketAddr,
    pub process: Process,
}

impl Gateway {
    /// Starts a gateway that finds control through these seeds and reads a list without targets.
    pub async fn start(folder: &Folder, seeds: &[SocketAddr]) -> Gateway {
        let text = include_str!("../../../platform/tests/sample-list.json");
        let list = serve_list(text.to_string()).await;
        Gateway::start_at(folder, "g", list, seeds)
    }

    /// Starts a gateway that reads the list at an address.
    pub fn start_at(
        folder: &Folder,
        name: &str,
        list: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Gateway {
        let addrs = [free_addr(), free_addr(), free_addr(), list];
        let path = write_gateway_settings(folder, name, addrs, seeds);
        let [listen, ready, mesh, list] = addrs;
        Gateway {
            name: name.to_string(),
            listen,
            ready,
            mesh,
            list,
            process: Process::start("gateway", &path),
        }
    }

    /// Starts the process again, with the settings that it has.
    pub fn restart(&mut self, folder: &Folder) {
        let path = folder.path().join(format!("{}.ini", self.name));
        self.process = Process::start("gateway", &path);
    }

    /// Puts other seeds into the settings of the running process.
    pub fn change_seeds(&self, folder: &Folder, seeds: &[SocketAddr]) {
        let addrs = [self.listen, self.ready, self.mesh, self.list];
        write_gateway_settings(folder, &self.name, addrs, seeds);
    }
}

fn write_gateway_settings(
    folder: &Folder,
    name: &str,
    [listen, ready, mesh, list]: [SocketAddr; 4],
    seeds: &[SocketAddr],
) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nvm = {name}\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[gateway]\nlisten = {listen}\n\
         ready = {ready}\nmesh_listen = {mesh}\ntarget_list = {list}\ngrace_s = 4\n",
        seeds.join(","),
    );
    folder.write(&format!("{name}.ini"), &text)
}

/// Returns the status that a gateway tells of its readiness; `None` where it does not answer.
pub async fn readiness(addr: SocketAddr) -> Option<u16> {
    let (status, _) = client::get_status_and_page(addr, "/ready").await?;
    Some(status)
}
