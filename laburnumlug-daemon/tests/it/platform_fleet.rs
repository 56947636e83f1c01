//! Control clusters and gateways with the settings that the platform gives them.

// Each test binary that includes this module uses only a part of it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client;
use crate::harness::{Folder, MESH_KEY, Process, TOKEN_HASH, free_addr, wait_for};

/// Control replica that is named by its mesh address.
pub struct Replica {
    pub mesh_addr: SocketAddr,
    pub operator_addr: SocketAddr,
    pub process: Process,
}

/// Cluster of control replicas, and the folder of the settings and data.
pub struct Cluster {
    pub folder: Folder,
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// Founds a cluster of three replicas, which tolerates the loss of one.
    pub fn start() -> Cluster {
        Cluster::start_tolerating(1)
    }

    /// Founds a cluster of three replicas, whose leader reads the target list at `list_addr` and tells gateways of it and of
    /// each other.
    pub fn start_with_list(list_addr: SocketAddr) -> Cluster {
        Cluster::start_with_settings(1, &format!("target_list = {list_addr}\n"))
    }

    /// Founds a cluster of `2 * losses + 1` replicas, which tolerates that many losses at once.
    pub fn start_tolerating(losses: usize) -> Cluster {
        Cluster::start_with_settings(losses, "")
    }

    /// Founds a cluster like [`Cluster::start_tolerating`], with further lines in the section `[control]`.
    pub fn start_with_settings(losses: usize, lines: &str) -> Cluster {
        let folder = Folder::new();
        let addrs: Vec<(SocketAddr, SocketAddr)> = (0..=2 * losses)
            .map(|_| (free_addr(), free_addr()))
            .collect();
        let seeds: Vec<SocketAddr> = addrs.iter().map(|(mesh_addr, _)| *mesh_addr).collect();
        let replicas = addrs.iter().map(|(mesh_addr, operator_addr)| {
            let addrs = (*mesh_addr, *operator_addr);
            start_replica_with_settings(&folder, losses, addrs, &seeds, true, lines)
        });
        Cluster {
            replicas: replicas.collect(),
            folder,
        }
    }

    /// Returns the mesh addresses of the replicas, which are the seeds of other processes.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.replicas
            .iter()
            .map(|replica| replica.mesh_addr)
            .collect()
    }

    /// Submits a configuration with this version and route timeout to one replica until it is accepted.
    pub async fn replace_config(&self, replica: usize, version: u64, timeout_ms: u64) {
        wait_for("an accepted configuration", || async {
            let text = config(version, timeout_ms).to_string();
            let addr = self.replicas[replica].operator_addr;
            let response = client::post(addr, "/config/replace", &[], &text).await?;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Returns the configuration from one replica, once the replica has confirmed that it is the newest.
    pub async fn read_config(&self, replica: usize) -> Value {
        wait_for("a confirmed configuration", || async {
            let addr = self.replicas[replica].operator_addr;
            let (status, body) = client::get_status_and_body(addr, "/config/get").await?;
            (status == 200).then(|| serde_json::from_str(&body).unwrap())
        })
        .await
    }
}

/// Starts a control replica; `may_found` sets whether it may found a new cluster.
pub fn start_replica(
    folder: &Folder,
    losses: usize,
    mesh_addr: SocketAddr,
    operator_addr: SocketAddr,
    seeds: &[SocketAddr],
    may_found: bool,
) -> Replica {
    let addrs = (mesh_addr, operator_addr);
    start_replica_with_settings(folder, losses, addrs, seeds, may_found, "")
}

/// Starts a control replica with further lines of its settings, of which the first address is that of the mesh.
fn start_replica_with_settings(
    folder: &Folder,
    losses: usize,
    (mesh_addr, operator_addr): (SocketAddr, SocketAddr),
    seeds: &[SocketAddr],
    may_found: bool,
    lines: &str,
) -> Replica {
    let name = format!("control-{}", mesh_addr.port());
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nvm = {name}\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[control]\nname = {mesh_addr}\n\
         listen = {mesh_addr}\noperators = {operator_addr}\ndata = {}\npeers = mesh\nmay_found = {may_found}\n\
         losses = {losses}\nplatform_operator = yes\ntokens = dev:{TOKEN_HASH}\n{lines}",
        seeds.join(","),
        folder.path().join(&name).display(),
    );
    let path = folder.write(&format!("{name}.ini"), &text);
    Replica {
        mesh_addr,
        operator_addr,
        process: Process::start("control", &path),
    }
}

/// Returns the platform's sample configuration with this version and route timeout.
pub fn config(version: u64, timeout_ms: u64) -> Value {
    config_with_service(version, timeout_ms, "plain")
}

/// Like [`config`], but its route refers to `service`.
pub fn config_with_service(version: u64, timeout_ms: u64, service: &str) -> Value {
    let text = include_str!("../../../platform/tests/sample-config.json")
        .replace("1001", &version.to_string())
        .replace("2002", &timeout_ms.to_string())
        .replace("service-of-route", service);
    serde_json::from_str(&text).unwrap()
}

/// Waits until a replica reports that it is a voter.
pub async fn wait_for_voter(cluster: &Cluster, replica: usize) {
    wait_for("a replica that is a voter", || async {
        let body = client::get_body(cluster.replicas[replica].operator_addr, "/status").await?;
        let status: Value = serde_json::from_str(&body).ok()?;
        (status["is_voter"] == json!(true)).then_some(())
    })
    .await;
}

/// Serves `text` as the target list on every path of a new address, and returns the address.
pub async fn serve_target_list(text: String) -> SocketAddr {
    serve_list(move || text.clone()).await
}

/// Serves a target list that may change, like [`serve_target_list`].
pub async fn serve_changing_list(list: Rc<RefCell<Value>>) -> SocketAddr {
    serve_list(move || list.borrow().to_string()).await
}

async fn serve_list<F>(text: F) -> SocketAddr
where
    F: Fn() -> String + 'static,
{
    let list_addr = free_addr();
    let listener = compio::net::TcpListener::bind(list_addr).await.unwrap();
    let server = laburnumlug_http::Server::new(listener, laburnumlug_http::Limits::default());
    let handler = Rc::new(move |_req: laburnumlug_http::Request| {
        let text = text();
        async { hyper::Response::new(laburnumlug_http::full_body(text)) }
    });
    compio::runtime::spawn(server.run(handler)).detach();
    list_addr
}

/// Gateway process and the addresses in its settings.
pub struct Gateway {
    pub name: String,
    pub caller_addr: SocketAddr,
    pub ready_addr: SocketAddr,
    pub mesh_addr: SocketAddr,
    pub list_addr: SocketAddr,
    grace: Duration,
    pub process: Process,
}

impl Gateway {
    /// Starts a gateway with these control seeds and an empty target list.
    pub async fn start(folder: &Folder, seeds: &[SocketAddr]) -> Gateway {
        let text = include_str!("../../../platform/tests/sample-list.json");
        let list_addr = serve_target_list(text.to_string()).await;
        Gateway::start_with_list(folder, "g", list_addr, seeds)
    }

    /// Starts a gateway that reads its target list at `list_addr`.
    pub fn start_with_list(
        folder: &Folder,
        name: &str,
        list_addr: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Gateway {
        Gateway::start_with_grace(folder, name, list_addr, seeds, Duration::from_secs(4))
    }

    /// Starts a gateway like [`Gateway::start_with_list`], with the given grace period in whole seconds.
    pub fn start_with_grace(
        folder: &Folder,
        name: &str,
        list_addr: SocketAddr,
        seeds: &[SocketAddr],
        grace: Duration,
    ) -> Gateway {
        let addrs = [free_addr(), free_addr(), free_addr(), list_addr];
        let path = write_gateway_settings(folder, name, addrs, seeds, grace);
        let [caller_addr, ready_addr, mesh_addr, list_addr] = addrs;
        Gateway {
            name: name.to_string(),
            caller_addr,
            ready_addr,
            mesh_addr,
            list_addr,
            grace,
            process: Process::start("gateway", &path),
        }
    }

    /// Restarts the process with the settings in its file.
    pub fn restart(&mut self, folder: &Folder) {
        let path = folder.path().join(format!("{}.ini", self.name));
        self.process = Process::start("gateway", &path);
    }

    /// Replaces the seeds in the settings file; the process is not signalled.
    pub fn change_seeds(&self, folder: &Folder, seeds: &[SocketAddr]) {
        let addrs = [
            self.caller_addr,
            self.ready_addr,
            self.mesh_addr,
            self.list_addr,
        ];
        write_gateway_settings(folder, &self.name, addrs, seeds, self.grace);
    }
}

fn write_gateway_settings(
    folder: &Folder,
    name: &str,
    [caller_addr, ready_addr, mesh_addr, list_addr]: [SocketAddr; 4],
    seeds: &[SocketAddr],
    grace: Duration,
) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nvm = {name}\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[gateway]\nlisten = {caller_addr}\n\
         ready = {ready_addr}\nmesh_listen = {mesh_addr}\ntarget_list = {list_addr}\ngrace_s = {}\n",
        seeds.join(","),
        grace.as_secs(),
    );
    folder.write(&format!("{name}.ini"), &text)
}

/// Returns the HTTP status of a gateway's `/ready`, or `None` without a response.
pub async fn readiness_status(addr: SocketAddr) -> Option<u16> {
    let (status, _) = client::get_status_and_body(addr, "/ready").await?;
    Some(status)
}
