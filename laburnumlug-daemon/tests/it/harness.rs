//! Test fleets of real processes, with stand-ins and fault proxies that run in the test's own runtime.

// Each test binary that includes this module uses only a part of it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use laburnumlug_standin::{BookingStandIn, BookingTiming, EngineStandIn, EngineTiming, FaultProxy};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};

use crate::client;
pub use crate::client::Response;

/// Mesh key of all processes of a test.
pub const MESH_KEY: &str = "test-key";

/// SHA-256 of the operator token `dev`.
pub const TOKEN_HASH: &str = "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567";

/// Time after which [`wait_for`] fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Availability zones, assigned in turn.
const ZONES: [&str; 3] = ["vest-a", "vest-b", "vest-c"];

/// Runs a test in a new runtime.
pub fn block_on<F>(test: F) -> F::Output
where
    F: Future,
{
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

/// Polls `condition` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<T, F, R>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns an address that nothing else on this machine uses.
///
/// The loopback address follows from the id of the test process, so that test processes cannot collide. The
/// ports lie below the range from which the kernel takes the ports of outgoing connections.
pub fn free_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    // Process ids stay below 2^22 on Linux, so bit 22 is free; setting it avoids 127.0.0.1.
    SocketAddr::from(([127, a | 0x40, b, c], port))
}

/// A `laburnumlugd` process, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `laburnumlugd ROLE --settings FILE`.
    pub fn start(role: &str, settings: &Path) -> Process {
        let child = Command::new(env!("CARGO_BIN_EXE_laburnumlugd"))
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Process { child }
    }

    /// Like [`Process::start`], with a limit on the number of descriptors.
    pub fn start_with_descriptors(role: &str, settings: &Path, descriptors: usize) -> Process {
        let child = Command::new("sh")
            .args(["-c", "ulimit -n \"$0\"; exec \"$@\""])
            .arg(descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_laburnumlugd"))
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Process { child }
    }

    /// Like [`Process::start`], but writes beyond a file size limit fail instead of ending the process.
    ///
    /// If `is_full`, the process cannot write files until [`Process::limit_file_size`] removes the limit.
    pub fn start_with_file_limits(role: &str, settings: &Path, is_full: bool) -> Process {
        let limit = if is_full { "ulimit -S -f 0;" } else { "" };
        let script = format!("trap '' XFSZ; {limit} exec \"$@\"");
        let child = Command::new("sh")
            .args(["-c", &script, "sh"])
            .arg(env!("CARGO_BIN_EXE_laburnumlugd"))
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Process { child }
    }

    /// Sets the length in bytes up to which the process can write files, or removes the limit.
    pub fn limit_file_size(&self, bytes: Option<u64>) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(pid, Resource::Fsize, limit).unwrap();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Returns how the process exited, or `None` if it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself; panics after [`WAIT_TIMEOUT`].
    pub async fn wait(&mut self) -> ExitStatus {
        let child = RefCell::new(&mut self.child);
        wait_for("exit of the process", || async {
            child.borrow_mut().try_wait().unwrap()
        })
        .await
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder, removed on drop.
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates an empty folder.
    pub fn new() -> Folder {
        let name = format!("laburnumlug-test-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder { path }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Configuration of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    control_replicas: usize,
    entries: usize,
    engines: usize,
    booking_servers: usize,
    engine_timing: EngineTiming,
    booking_timing: BookingTiming,
    snapshot_entries: usize,
    extra_target_settings: String,
    extra_control_settings: String,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            control_replicas: 1,
            entries: 2,
            engines: 2,
            booking_servers: 1,
            engine_timing: EngineTiming::instant(),
            booking_timing: BookingTiming::default(),
            snapshot_entries: 4096,
            extra_target_settings: String::new(),
            extra_control_settings: String::new(),
        }
    }
}

impl FleetConfig {
    /// Sets the number of log entries between two snapshots of a control replica.
    pub fn snapshot_entries(mut self, entries: usize) -> FleetConfig {
        self.snapshot_entries = entries;
        self
    }

    pub fn control_replicas(mut self, count: usize) -> FleetConfig {
        self.control_replicas = count;
        self
    }

    pub fn entries(mut self, count: usize) -> FleetConfig {
        self.entries = count;
        self
    }

    /// Sets the number of engines of service `skriver`.
    pub fn engines(mut self, count: usize) -> FleetConfig {
        self.engines = count;
        self
    }

    /// Sets the number of servers of service `billet`.
    pub fn booking_servers(mut self, count: usize) -> FleetConfig {
        self.booking_servers = count;
        self
    }

    /// Sets the delays of the engine stand-ins.
    pub fn engine_timing(mut self, timing: EngineTiming) -> FleetConfig {
        self.engine_timing = timing;
        self
    }

    /// Sets lines to append to each target process's settings, whose last section is `[target]`.
    pub fn extra_target_settings(mut self, lines: &str) -> FleetConfig {
        self.extra_target_settings = lines.to_string();
        self
    }

    /// Sets lines to append to the section `[control]` of each control replica's settings.
    pub fn extra_control_settings(mut self, lines: &str) -> FleetConfig {
        self.extra_control_settings = lines.to_string();
        self
    }

    /// Sets the delays and the response size of the booking servers.
    pub fn booking_timing(mut self, timing: BookingTiming) -> FleetConfig {
        self.booking_timing = timing;
        self
    }
}

/// A fleet of real processes.
///
/// Every connection between two processes passes a [`FaultProxy`]: one for each pair of a process and a control
/// replica, one in front of each target process, and one between each target process and its engine or server.
pub struct Fleet {
    pub folder: Folder,
    pub engines: Vec<EngineStandIn>,
    pub booking_servers: Vec<BookingStandIn>,
    /// Addresses on which the entries accept callers.
    pub entry_addrs: Vec<SocketAddr>,
    /// Addresses on which the control replicas accept operators.
    pub operator_addrs: Vec<SocketAddr>,
    /// Addresses on which the control replicas accept other processes.
    pub control_addrs: Vec<SocketAddr>,
    /// Processes by name: `control-1`, `entry-1`, `skriver-1`, `billet-1` and so on.
    pub processes: HashMap<String, Process>,
    /// Proxies by the client and the server of the connection: `entry-1>control-1`, `>skriver-1` (any client),
    /// `skriver-1>engine`.
    pub proxies: HashMap<String, FaultProxy>,
    pub document: Value,
    extra_target_settings: String,
    client: cyper::Client,
    snapshot_entries: usize,
    extra_control_settings: String,
}

impl Fleet {
    /// Starts all processes and waits until each entry serves requests and every process has reported to control.
    pub async fn start(config: FleetConfig) -> Fleet {
        let mut fleet = Fleet {
            folder: Folder::new(),
            engines: Vec::new(),
            booking_servers: Vec::new(),
            entry_addrs: Vec::new(),
            operator_addrs: Vec::new(),
            control_addrs: Vec::new(),
            processes: HashMap::new(),
            proxies: HashMap::new(),
            document: Value::Null,
            extra_target_settings: config.extra_target_settings.clone(),
            client: cyper::Client::new().unwrap(),
            snapshot_entries: config.snapshot_entries,
            extra_control_settings: config.extra_control_settings.clone(),
        };
        let control_addrs: Vec<SocketAddr> =
            (0..config.control_replicas).map(|_| free_addr()).collect();
        fleet.control_addrs.clone_from(&control_addrs);
        for i in 0..config.control_replicas {
            fleet.start_control_process(i, &control_addrs).await;
        }
        let mut targets = Vec::new();
        for i in 0..config.engines {
            let engine = EngineStandIn::start(free_addr(), config.engine_timing.clone()).await;
            let engine = engine.unwrap();
            let name = format!("skriver-{}", i + 1);
            targets.push(
                fleet
                    .start_target_process(&name, "engine", engine.addr(), &control_addrs)
                    .await,
            );
            fleet.engines.push(engine);
        }
        for i in 0..config.booking_servers {
            let server = BookingStandIn::start(free_addr(), config.booking_timing.clone()).await;
            let server = server.unwrap();
            let name = format!("billet-{}", i + 1);
            targets.push(
                fleet
                    .start_target_process(&name, "service", server.addr(), &control_addrs)
                    .await,
            );
            fleet.booking_servers.push(server);
        }
        for i in 0..config.entries {
            fleet.start_entry_process(i, &control_addrs).await;
        }
        fleet.document = json!({
            "name": "test",
            "models": [{ "name": "digest", "versions": ["1"] }],
            "services": [
                { "name": "skriver", "kind": "engine", "models": ["digest"] },
                { "name": "billet", "kind": "plain" },
            ],
            "targets": targets,
        });
        fleet.put_first_document().await;
        fleet.wait_until_ready().await;
        fleet
    }

    async fn put_first_document(&self) {
        let document = self.document.to_string();
        wait_for("acceptance of the first document", || async {
            let response = self.put_document(0, 0, "first", &document).await?;
            (response.0 == 200).then_some(())
        })
        .await;
    }

    async fn wait_until_ready(&self) {
        let succeeds = |addr: SocketAddr, path: &'static str, body: Value| async move {
            let response = self.post(addr, path, &[], &body).await?;
            (response.status < 300).then_some(())
        };
        for addr in &self.entry_addrs {
            if !self.engines.is_empty() {
                let body = json!({ "model": "digest", "prompt": "ready?", "max_tokens": 1 });
                wait_for("a completion from the entry", || {
                    succeeds(*addr, "/v1/completions", body.clone())
                })
                .await;
            }
            wait_for("a healthy entry", || async {
                let resp = self
                    .client
                    .get(format!("http://{addr}/health"))
                    .unwrap()
                    .send()
                    .await;
                (resp.ok()?.status().as_u16() == 200).then_some(())
            })
            .await;
        }
        self.wait_until_reported().await;
    }

    /// Waits until each entry and target process has reported to control and the first order of each engine has an
    /// outcome.
    async fn wait_until_reported(&self) {
        let processes = self.entry_addrs.len() + self.engines.len() + self.booking_servers.len();
        wait_for("reports of all processes", || async {
            let status = self.get_control_json(0, "/status").await?;
            let reported = status["nodes"].as_array()?.len();
            let order_outcomes = status["orders"].as_array()?.len();
            (reported >= processes && order_outcomes >= self.engines.len()).then_some(())
        })
        .await;
    }

    async fn start_proxy(&mut self, name: String, upstream: SocketAddr) -> SocketAddr {
        let proxy = FaultProxy::start(upstream).await.unwrap();
        let addr = proxy.addr();
        self.proxies.insert(name, proxy);
        addr
    }

    /// Starts a proxy to each of `control_addrs` and returns the settings that every role has, with the proxies'
    /// addresses.
    pub async fn common_settings(
        &mut self,
        name: &str,
        zone: &str,
        control_addrs: &[SocketAddr],
    ) -> String {
        let mut addrs = Vec::new();
        for (i, control) in control_addrs.iter().enumerate() {
            let proxy = self
                .start_proxy(format!("{name}>control-{}", i + 1), *control)
                .await;
            addrs.push(proxy.to_string());
        }
        let log = self.folder.path().join(format!("{name}.log"));
        format!(
            "[process]\nvm = {name}\nzone = {zone}\n[log]\nlevel = info\nfile = {}\n\
             [mesh]\nkey = {MESH_KEY}\ncontrol = {}\n",
            log.display(),
            addrs.join(",")
        )
    }

    async fn start_control_process(&mut self, index: usize, control_addrs: &[SocketAddr]) {
        let name = format!("control-{}", index + 1);
        let common = self
            .common_settings(&name, ZONES[index % ZONES.len()], control_addrs)
            .await;
        let operator_addr = free_addr();
        let data = self.folder.path().join(&name);
        let peers: Vec<String> = (1..=control_addrs.len())
            .filter(|number| *number != index + 1)
            .map(|number| {
                let peer = format!("control-{number}");
                let proxy = &self.proxies[&format!("{name}>{peer}")];
                format!("{peer}:{}", proxy.addr())
            })
            .collect();
        let replicas = match peers.is_empty() {
            true => String::new(),
            false => format!("replicas = {}\n", peers.join(",")),
        };
        let text = format!(
            "{common}[control]\nname = {name}\nlisten = {}\noperators = {operator_addr}\n\
             data = {}\ntokens = dev:{TOKEN_HASH}\nsnapshot_entries = {}\n{replicas}{}\n",
            control_addrs[index],
            data.display(),
            self.snapshot_entries,
            self.extra_control_settings
        );
        self.operator_addrs.push(operator_addr);
        self.start_process(&name, "control", &text);
    }

    async fn start_target_process(
        &mut self,
        name: &str,
        kind: &str,
        peer: SocketAddr,
        control_addrs: &[SocketAddr],
    ) -> Value {
        let zone = ZONES[self.engines.len() % ZONES.len()];
        let common = self.common_settings(name, zone, control_addrs).await;
        let (slot, listen) = (free_addr(), free_addr());
        let peer = self.start_proxy(format!("{name}>{kind}"), peer).await;
        let text = format!(
            "{common}[target]\nname = {name}\nslot = {slot}\nlisten = {listen}\nkind = {kind}\npeer = {peer}\n{}\n",
            self.extra_target_settings
        );
        self.start_process(name, "target", &text);
        let address = self
            .start_proxy(format!(">{name}"), listen)
            .await
            .to_string();
        let service = name.split('-').next().unwrap();
        let models = match kind {
            "engine" => json!([{ "model": "digest", "version": "1" }]),
            _ => json!([]),
        };
        json!({
            "name": name, "service": service, "zone": zone, "address": address,
            "state": "serving", "models": models, "capacity_pieces": 1024,
        })
    }

    async fn start_entry_process(&mut self, index: usize, control_addrs: &[SocketAddr]) {
        let name = format!("entry-{}", index + 1);
        let common = self
            .common_settings(&name, ZONES[index % ZONES.len()], control_addrs)
            .await;
        let listen = free_addr();
        let text = format!("{common}[entry]\nlisten = {listen}\n");
        self.entry_addrs.push(listen);
        self.start_process(&name, "entry", &text);
    }

    /// Starts a process with the given settings, which [`Fleet::restart`] uses again.
    pub fn start_process(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.write(&format!("{name}.ini"), settings);
        self.processes
            .insert(name.to_string(), Process::start(role, &path));
    }

    /// Restarts a control replica so that [`Process::limit_file_size`] applies to it.
    pub fn restart_with_file_limits(&mut self, name: &str) {
        self.restart_limited(name, false);
    }

    /// Restarts a control replica that cannot write files until [`Process::limit_file_size`] removes the limit.
    pub fn restart_with_full_disk(&mut self, name: &str) {
        self.restart_limited(name, true);
    }

    fn restart_limited(&mut self, name: &str, is_full: bool) {
        self.processes.remove(name);
        let path = self.folder.path().join(format!("{name}.ini"));
        let process = Process::start_with_file_limits("control", &path, is_full);
        self.processes.insert(name.to_string(), process);
    }

    /// Restarts a process with the settings in its file.
    pub fn restart(&mut self, name: &str) {
        let role = match name.split('-').next().unwrap() {
            "control" => "control",
            "entry" => "entry",
            "gateway" => "gateway",
            _ => "target",
        };
        self.processes.remove(name);
        let path = self.folder.path().join(format!("{name}.ini"));
        self.processes
            .insert(name.to_string(), Process::start(role, &path));
    }

    /// Returns a process by name; panics if there is none of that name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap()
    }

    /// Submits a document to control replica `replica` and returns status and body, or `None` without a response.
    pub async fn put_document(
        &self,
        replica: usize,
        base: u64,
        key: &str,
        document: &str,
    ) -> Option<(u16, Value)> {
        client::put_document(self.operator_addrs[replica], base, key, document).await
    }

    /// Returns a JSON resource of control replica `replica`, such as `/status`, or `None` without a response.
    pub async fn get_control_json(&self, replica: usize, path: &str) -> Option<Value> {
        let body = client::get_body(self.operator_addrs[replica], path).await?;
        serde_json::from_str(&body).ok()
    }

    /// Returns the audit records of control replica `replica`, or `None` without a response.
    pub async fn get_audit(&self, replica: usize) -> Option<Vec<Value>> {
        client::get_audit(self.operator_addrs[replica]).await
    }

    /// Sends a JSON body to an entry and returns the response, or `None` if none arrived completely.
    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Response> {
        client::post(addr, path, headers, &body.to_string()).await
    }

    /// Sends a text body to an entry and returns the response, or `None` if none arrived completely.
    pub async fn post_text(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        client::post(addr, path, headers, body).await
    }
}
