//! Starts real processes around stand-ins that run in the test's own runtime.

// Each test uses what it needs of the harness.
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
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::client;
pub use crate::client::Answer;

/// Key that all processes of a test share.
pub const MESH_KEY: &str = "test-key";

/// SHA-256 of the operator token `dev`.
pub const TOKEN_HASH: &str = "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567";

/// How long a state may take to come about before the test fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// Availability zones, in turn.
const ZONES: [&str; 3] = ["vest-a", "vest-b", "vest-c"];

/// Runs a test in a runtime of its own.
pub fn block_on<F>(test: F) -> F::Output
where
    F: Future,
{
    compio::runtime::Runtime::new().unwrap().block_on(test)
}

/// Waits until `done` returns a value.
pub async fn wait_for<T, F, R>(what: &str, mut done: F) -> T
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "not reached: {what}");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns an address that nothing else on this machine uses.
///
/// Each test process has a loopback address of its own, from its process id, and counts ports below the
/// range from which the kernel takes those of outgoing connections.
pub fn free_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    // The kernel's process ids stay below 2^22, so the added bit keeps clear of 127.0.0.1.
    SocketAddr::from(([127, a | 0x40, b, c], port))
}

/// A real process of the system, killed when it is dropped.
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process's end.
    pub async fn wait(&mut self) -> ExitStatus {
        let child = RefCell::new(&mut self.child);
        wait_for("end of the process", || async {
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

/// Temporary folder, removed when it is dropped.
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

    /// Returns the folder's path.
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

/// How many of what a test fleet has.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    controls: usize,
    entries: usize,
    engines: usize,
    bookings: usize,
    engine_timing: EngineTiming,
    booking_timing: BookingTiming,
    snapshot_entries: usize,
    target_lines: String,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            controls: 1,
            entries: 2,
            engines: 2,
            bookings: 1,
            engine_timing: EngineTiming::instant(),
            booking_timing: BookingTiming::default(),
            snapshot_entries: 4096,
            target_lines: String::new(),
        }
    }
}

impl FleetConfig {
    /// Sets the number of log entries between two snapshots of a control replica.
    pub fn snapshot_entries(mut self, entries: usize) -> FleetConfig {
        self.snapshot_entries = entries;
        self
    }

    /// Sets the number of control replicas.
    pub fn controls(mut self, count: usize) -> FleetConfig {
        self.controls = count;
        self
    }

    /// Sets the number of entries.
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
    pub fn bookings(mut self, count: usize) -> FleetConfig {
        self.bookings = count;
        self
    }

    /// Sets the engines' timing.
    pub fn engine_timing(mut self, timing: EngineTiming) -> FleetConfig {
        self.engine_timing = timing;
        self
    }

    /// Sets lines that each target process's settings have besides, below `[target]`.
    pub fn target_lines(mut self, lines: &str) -> FleetConfig {
        self.target_lines = lines.to_string();
        self
    }

    /// Sets the booking servers' timing.
    pub fn booking_timing(mut self, timing: BookingTiming) -> FleetConfig {
        self.booking_timing = timing;
        self
    }
}

/// A fleet of real processes.
///
/// Every link between two processes passes a [`FaultProxy`]: one for each pair of a process and a control
/// replica, one before each target process, and one between each target process and its engine or server.
pub struct Fleet {
    pub folder: Folder,
    pub engines: Vec<EngineStandIn>,
    pub bookings: Vec<BookingStandIn>,
    /// Addresses of the entries for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the control replicas for operators.
    pub operators: Vec<SocketAddr>,
    /// Processes by name: `control-1`, `entry-1`, `skriver-1`, `billet-1` and so on.
    pub processes: HashMap<String, Process>,
    /// Proxies by the names of the processes that they connect: `entry-1>control-1`, `>skriver-1`,
    /// `skriver-1>engine`.
    pub proxies: HashMap<String, FaultProxy>,
    pub document: Value,
    target_lines: String,
    client: cyper::Client,
    snapshot_entries: usize,
}

impl Fleet {
    /// Starts everything and waits until each entry takes work.
    pub async fn start(config: FleetConfig) -> Fleet {
        let mut fleet = Fleet {
            folder: Folder::new(),
            engines: Vec::new(),
            bookings: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            processes: HashMap::new(),
            proxies: HashMap::new(),
            document: Value::Null,
            target_lines: config.target_lines.clone(),
            client: cyper::Client::new().unwrap(),
            snapshot_entries: config.snapshot_entries,
        };
        let controls: Vec<SocketAddr> = (0..config.controls).map(|_| free_addr()).collect();
        for i in 0..config.controls {
            fleet.start_control(i, &controls).await;
        }
        let mut targets = Vec::new();
        for i in 0..config.engines {
            let engine = EngineStandIn::start(free_addr(), config.engine_timing.clone()).await;
            let engine = engine.unwrap();
            let name = format!("skriver-{}", i + 1);
            targets.push(
                fleet
                    .start_target(&name, "engine", engine.addr(), &controls)
                    .await,
            );
            fleet.engines.push(engine);
        }
        for i in 0..config.bookings {
            let booking = BookingStandIn::start(free_addr(), config.booking_timing.clone()).await;
            let booking = booking.unwrap();
            let name = format!("billet-{}", i + 1);
            targets.push(
                fleet
                    .start_target(&name, "service", booking.addr(), &controls)
                    .await,
            );
            fleet.bookings.push(booking);
        }
        for i in 0..config.entries {
            fleet.start_entry(i, &controls).await;
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
        wait_for("first document", || async {
            let answer = self.put_document(0, 0, "first", &document).await?;
            (answer.0 == 200).then_some(())
        })
        .await;
    }

    async fn wait_until_ready(&self) {
        let answers = |addr: SocketAddr, path: &'static str, body: Value| async move {
            let answer = self.post(addr, path, &[], &body).await?;
            (answer.status < 300).then_some(())
        };
        for addr in &self.callers {
            if !self.engines.is_empty() {
                let body = json!({ "model": "digest", "prompt": "ready?", "max_tokens": 1 });
                wait_for("entry", || answers(*addr, "/v1/completions", body.clone())).await;
            }
            wait_for("entry", || async {
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
        self.wait_until_targets_serve().await;
    }

    /// Waits until each process has the first document and each engine has what it is meant to have.
    async fn wait_until_targets_serve(&self) {
        let processes = self.callers.len() + self.engines.len() + self.bookings.len();
        wait_for("targets", || async {
            let status = self.ask_operators(0, "/status").await?;
            let reported = status["nodes"].as_array()?.len();
            let settled = status["orders"].as_array()?.len();
            (reported >= processes && settled >= self.engines.len()).then_some(())
        })
        .await;
    }

    async fn proxy(&mut self, name: String, upstream: SocketAddr) -> SocketAddr {
        let proxy = FaultProxy::start(upstream).await.unwrap();
        let addr = proxy.addr();
        self.proxies.insert(name, proxy);
        addr
    }

    /// Returns the common sections of a process's settings, with its own proxies to `controls`.
    async fn common(&mut self, name: &str, zone: &str, controls: &[SocketAddr]) -> String {
        let mut addrs = Vec::new();
        for (i, control) in controls.iter().enumerate() {
            let proxy = self
                .proxy(format!("{name}>control-{}", i + 1), *control)
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

    async fn start_control(&mut self, index: usize, controls: &[SocketAddr]) {
        let name = format!("control-{}", index + 1);
        let common = self
            .common(&name, ZONES[index % ZONES.len()], controls)
            .await;
        let operators = free_addr();
        let data = self.folder.path().join(&name);
        let peers: Vec<String> = (1..=controls.len())
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
            "{common}[control]\nname = {name}\nlisten = {}\noperators = {operators}\n\
             data = {}\ntokens = dev:{TOKEN_HASH}\nsnapshot_entries = {}\n{replicas}",
            controls[index],
            data.display(),
            self.snapshot_entries
        );
        self.operators.push(operators);
        self.start_process(&name, "control", &text);
    }

    async fn start_target(
        &mut self,
        name: &str,
        kind: &str,
        peer: SocketAddr,
        controls: &[SocketAddr],
    ) -> Value {
        let zone = ZONES[self.engines.len() % ZONES.len()];
        let common = self.common(name, zone, controls).await;
        let (slot, listen) = (free_addr(), free_addr());
        let peer = self.proxy(format!("{name}>{kind}"), peer).await;
        let text = format!(
            "{common}[target]\nname = {name}\nslot = {slot}\nlisten = {listen}\nkind = {kind}\npeer = {peer}\n{}\n",
            self.target_lines
        );
        self.start_process(name, "target", &text);
        let address = self.proxy(format!(">{name}"), listen).await.to_string();
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

    async fn start_entry(&mut self, index: usize, controls: &[SocketAddr]) {
        let name = format!("entry-{}", index + 1);
        let common = self
            .common(&name, ZONES[index % ZONES.len()], controls)
            .await;
        let listen = free_addr();
        let text = format!("{common}[entry]\nlisten = {listen}\n");
        self.callers.push(listen);
        self.start_process(&name, "entry", &text);
    }

    fn start_process(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.write(&format!("{name}.ini"), settings);
        self.processes
            .insert(name.to_string(), Process::start(role, &path));
    }

    /// Starts a process again with the settings that it had.
    pub fn restart(&mut self, name: &str) {
        let role = match name.split('-').next().unwrap() {
            "control" => "control",
            "entry" => "entry",
            _ => "target",
        };
        self.processes.remove(name);
        let path = self.folder.path().join(format!("{name}.ini"));
        self.processes
            .insert(name.to_string(), Process::start(role, &path));
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap()
    }

    /// Sends a document to control replica `replica` and returns status and answer.
    pub async fn put_document(
        &self,
        replica: usize,
        base: u64,
        key: &str,
        document: &str,
    ) -> Option<(u16, Value)> {
        client::put_document(self.operators[replica], base, key, document).await
    }

    /// Asks control replica `replica` for a page such as `/status`; `None` where no answer came.
    pub async fn ask_operators(&self, replica: usize, path: &str) -> Option<Value> {
        let body = client::get_page(self.operators[replica], path).await?;
        serde_json::from_str(&body).ok()
    }

    /// Asks control replica `replica` for its audit trail; `None` where no answer came.
    pub async fn audit(&self, replica: usize) -> Option<Vec<Value>> {
        client::get_audit(self.operators[replica]).await
    }

    /// Sends a request to an entry; `None` where no answer came.
    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Answer> {
        client::post(addr, path, headers, &body.to_string()).await
    }

    /// Sends a request with any body to an entry; `None` where no answer came.
    pub async fn post_text(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        client::post(addr, path, headers, body).await
    }
}
