//! Control processes with and without a replica, and an operator who calls any of them.

// Each test binary that includes this module uses only a part of it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client;
use crate::harness::{Folder, MESH_KEY, Process, TOKEN_HASH, free_addr};

/// Time after which the operator abandons a call, with all its redirects.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of redirects that the operator follows.
const MAX_REDIRECTS: usize = 2;

/// Control process, running or not, and the addresses in its settings.
pub struct Member {
    pub mesh_addr: SocketAddr,
    pub operator_addr: SocketAddr,
    /// Whether it has a disk and thus holds a replica.
    pub has_disk: bool,
    /// The process, unless it was ended.
    pub process: Option<Process>,
    /// Members that its settings name as seeds.
    pub seeds: Vec<usize>,
    /// Whether it will never be started again.
    pub is_removed: bool,
}

/// Redirect that the operator got.
#[derive(Clone, Copy, Debug)]
pub struct Redirect {
    pub to: SocketAddr,
    /// When the request was sent that got the redirect.
    pub sent_at: Instant,
}

/// Control processes of a deployment that tolerates a number of losses, and the folder of their settings and data.
pub struct ControlFleet {
    pub folder: Folder,
    losses: usize,
    pub members: Vec<Member>,
}

impl ControlFleet {
    /// Assigns addresses to control processes, of which the first `disks` have a disk. None is started.
    pub fn new(losses: usize, disks: usize, others: usize) -> ControlFleet {
        let mut fleet = ControlFleet {
            folder: Folder::new(),
            losses,
            members: Vec::new(),
        };
        for number in 0..disks + others {
            fleet.add(number < disks);
        }
        fleet
    }

    /// Assigns addresses to a further process, and returns its index.
    pub fn add(&mut self, has_disk: bool) -> usize {
        self.members.push(Member {
            mesh_addr: free_addr(),
            operator_addr: free_addr(),
            has_disk,
            process: None,
            seeds: Vec::new(),
            is_removed: false,
        });
        self.members.len() - 1
    }

    /// Starts a process, or restarts it, with these members as seeds; `may_found` is set at the first start of all.
    pub fn start(&mut self, member: usize, seeds: &[usize], may_found: bool) {
        let path = self.write_settings(member, seeds, may_found);
        self.members[member].process = None;
        self.members[member].process = Some(Process::start("control", &path));
        self.members[member].seeds = seeds.to_vec();
    }

    /// Restarts a process like [`ControlFleet::start`]; if `is_full`, it cannot write files until its limit is removed.
    pub fn start_full(&mut self, member: usize, seeds: &[usize], is_full: bool) {
        let path = self.write_settings(member, seeds, false);
        self.members[member].process = None;
        let process = Process::start_with_file_limits("control", &path, is_full);
        self.members[member].process = Some(process);
    }

    /// Writes the settings of a process, which need not be running.
    pub fn write_settings(&self, member: usize, seeds: &[usize], may_found: bool) -> PathBuf {
        let Member {
            mesh_addr,
            operator_addr,
            has_disk,
            ..
        } = &self.members[member];
        let list = |addr: fn(&Member) -> SocketAddr| {
            let addrs = seeds
                .iter()
                .map(|seed| addr(&self.members[*seed]).to_string());
            addrs.collect::<Vec<String>>().join(",")
        };
        let data = match has_disk {
            true => self.data_folder(member).display().to_string(),
            false => String::new(),
        };
        let text = format!(
            "[process]\nvm = control-{member}\nzone = z\n[mesh]\nkey = {MESH_KEY}\ncontrol = {}\n[control]\n\
             name = {mesh_addr}\nlisten = {mesh_addr}\noperators = {operator_addr}\ndata = {data}\npeers = mesh\n\
             may_found = {may_found}\nlosses = {}\nplatform_operator = yes\nothers = {}\ntokens = dev:{TOKEN_HASH}\n",
            list(|member| member.mesh_addr),
            self.losses,
            list(|member| member.operator_addr),
        );
        let name = format!("control-{member}.ini");
        self.folder.write(&name, &text)
    }

    fn data_folder(&self, member: usize) -> PathBuf {
        self.folder.path().join(format!("data-{member}"))
    }

    /// Kills a process.
    pub fn kill(&mut self, member: usize) {
        self.members[member].process = None;
    }

    /// Removes the data of a process that does not run.
    pub fn wipe(&self, member: usize) {
        let _ = std::fs::remove_dir_all(self.data_folder(member));
    }

    /// Returns the mesh addresses of members.
    pub fn mesh_addrs(&self, members: &[usize]) -> Vec<SocketAddr> {
        let members = members.iter();
        members.map(|i| self.members[*i].mesh_addr).collect()
    }

    /// Returns the indexes of the running processes.
    pub fn running(&self) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(|(_, member)| member.process.is_some())
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the indexes of the members that run or will be started again.
    pub fn present(&self) -> Vec<usize> {
        let members = 0..self.members.len();
        members.filter(|i| !self.members[*i].is_removed).collect()
    }

    /// Returns the status of a replica, or `None` without a response.
    pub async fn status(&self, member: usize) -> Option<Value> {
        let body = client::get_body(self.members[member].operator_addr, "/status").await?;
        serde_json::from_str(&body).ok()
    }

    /// Returns the voters that a replica reports by their names, or `None` without a response.
    pub async fn voters(&self, member: usize) -> Option<Vec<String>> {
        let status = self.status(member).await?;
        let voters = status["voters"].as_array()?.iter();
        Some(
            voters
                .map(|v| v["name"].as_str().unwrap().to_string())
                .collect(),
        )
    }

    /// Waits until all of `voters`, and no others, vote and know a leader; panics after `timeout`.
    pub async fn wait_for_voters(&self, voters: &[usize], timeout: Duration) {
        let start = Instant::now();
        let addrs = self.mesh_addrs(voters).into_iter();
        let mut expected: Vec<String> = addrs.map(|addr| addr.to_string()).collect();
        expected.sort();
        loop {
            let mut states = Vec::new();
            for voter in voters {
                let mut names = self.voters(*voter).await.unwrap_or_default();
                names.sort();
                let status = self.status(*voter).await.unwrap_or_default();
                let is_led = status["is_voter"] == true && status["leader"].is_string();
                states.push((is_led, names));
            }
            if states
                .iter()
                .all(|(is_led, names)| *is_led && *names == expected)
            {
                return;
            }
            assert!(
                start.elapsed() < timeout,
                "expected the voters {expected:?}, they report {states:?}"
            );
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Reads the configuration as the platform's operator does, beginning at `member`.
    ///
    /// # Errors
    ///
    /// Fails with the last status or the silence that the operator meets at some address.
    pub async fn read_config(&self, member: usize) -> Result<Value, String> {
        let addr = self.members[member].operator_addr;
        call(addr, "/config/get", None, &RefCell::default()).await
    }

    /// Replaces the configuration as the platform's operator does, beginning at `member`.
    ///
    /// # Errors
    ///
    /// As [`ControlFleet::read_config`].
    pub async fn replace_config(&self, member: usize, config: &Value) -> Result<Value, String> {
        let addr = self.members[member].operator_addr;
        let body = Some(config.to_string());
        call(addr, "/config/replace", body, &RefCell::default()).await
    }

    /// Replaces the configuration through `members` in turn until it is accepted; panics after `timeout`.
    pub async fn replace_until_accepted(
        &self,
        members: &[usize],
        config: &Value,
        timeout: Duration,
    ) {
        let start = Instant::now();
        for member in members.iter().cycle() {
            match self.replace_config(*member, config).await {
                Ok(_) => return,
                Err(err) => assert!(start.elapsed() < timeout, "not accepted: {err}"),
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Reads the configuration through each of `members` until all have returned `config`; panics after `timeout`.
    pub async fn wait_for_config(&self, members: &[usize], config: &Value, timeout: Duration) {
        let start = Instant::now();
        for member in members {
            loop {
                match self.read_config(*member).await {
                    Ok(read) if read == *config => break,
                    result => assert!(
                        start.elapsed() < timeout,
                        "process {member} (disk: {}) leads to {result:?}",
                        self.members[*member].has_disk
                    ),
                }
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Calls an operator interface as the platform's operator does, and records the redirects.
///
/// # Errors
///
/// Fails with the last status, or if no response arrives within [`CALL_TIMEOUT`].
pub async fn call(
    addr: SocketAddr,
    path: &str,
    body: Option<String>,
    redirects: &RefCell<Vec<Redirect>>,
) -> Result<Value, String> {
    let following = follow(addr, path, body, redirects);
    match compio::time::timeout(CALL_TIMEOUT, following).await {
        Ok(result) => result,
        Err(_) => Err(format!(
            "silence after a call that began at {addr}, redirects {:?}",
            redirects.borrow()
        )),
    }
}

async fn follow(
    addr: SocketAddr,
    path: &str,
    body: Option<String>,
    redirects: &RefCell<Vec<Redirect>>,
) -> Result<Value, String> {
    let mut url = format!("http://{addr}{path}");
    loop {
        // The client would follow redirects by itself, and more of them.
        let builder = cyper::Client::builder().redirect(cyper::redirect::Policy::none());
        let client = builder.build().unwrap();
        let req = match &body {
            Some(body) => client.post(&url).unwrap().body(body.clone()),
            None => client.get(&url).unwrap(),
        };
        let sent_at = Instant::now();
        let Ok(resp) = req.send().await else {
            return Err(format!("no connection at {url}"));
        };
        let status = resp.status().as_u16();
        let location = resp.headers().get("location");
        let location = location.and_then(|l| l.to_str().ok()).map(str::to_string);
        match (status, location) {
            (200, _) => {
                let text = resp.text().await.map_err(|err| err.to_string())?;
                return serde_json::from_str(&text).map_err(|err| err.to_string());
            }
            (307, Some(location)) => {
                let authority = location.split('/').nth(2).unwrap_or_default();
                let to = authority
                    .parse()
                    .map_err(|_| format!("redirect to {location}"))?;
                redirects.borrow_mut().push(Redirect { to, sent_at });
                if redirects.borrow().len() > MAX_REDIRECTS {
                    return Err(format!("status 307 from {url}"));
                }
                url = location;
            }
            _ => return Err(format!("status {status} from {url}")),
        }
    }
}
