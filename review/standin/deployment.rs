//! A small deployment: three machines with one gateway and one control replica each, started with the commands of
//! `deploy/system.toml` and the settings templates of `deploy/`.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;

pub const MACHINES: usize = 3;
const CONTROL_PORT: u16 = 8144;
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const PLATFORM_PORT: u16 = 8142;
const SERVER_PORT: u16 = 8080;

/// Record of what was sent, answered and run, with milliseconds since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn add<T: AsRef<str>>(&self, text: T) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {}", text.as_ref());
    }
}

/// Returns a loopback address that follows from the id of this process, so that two scripts do not collide.
pub fn loopback(machine: usize, port: u16) -> SocketAddr {
    let id = std::process::id();
    let [_, _, b, c] = id.to_be_bytes();
    SocketAddr::from(([127, 64 + machine as u8, b, c], port))
}

pub fn platform_addr() -> SocketAddr {
    loopback(10, PLATFORM_PORT)
}

pub fn server_addr(server: usize) -> SocketAddr {
    loopback(20 + server, SERVER_PORT)
}

/// A process of the system, killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {name} {id}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    pub gateways: Vec<Process>,
    pub controls: Vec<Process>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.controls.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts all processes, submits `config` until it is acknowledged, and waits until all gateways are ready.
    pub fn start(record: &Record, config: &str) -> Option<Deployment> {
        let folder = std::env::temp_dir().join(format!("laburnumlug-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut deployment = Deployment {
            gateways: Vec::new(),
            controls: Vec::new(),
            folder,
        };
        for machine in 0..MACHINES {
            let control = deployment.start_process("control", machine)?;
            deployment.controls.push(control);
            let gateway = deployment.start_process("gateway", machine)?;
            deployment.gateways.push(gateway);
        }
        let is_acknowledged = wait_for(Duration::from_secs(20), || {
            (0..MACHINES).any(|machine| {
                let headers = [("content-type", "application/json")];
                let addr = loopback(machine, CONTROL_PORT);
                let answer = call(addr, "POST", "/config/replace", &headers, config);
                answer.is_ok_and(|answer| answer.status == 200)
            })
        });
        record.add(format!("the configuration is acknowledged: {is_acknowledged}"));
        let is_ready = wait_for(Duration::from_secs(20), || {
            (0..MACHINES).all(|machine| {
                let answer = call(loopback(machine, READY_PORT), "GET", "/ready", &[], "");
                answer.is_ok_and(|answer| answer.status == 200)
            })
        });
        record.add(format!("all gateways are ready: {is_ready}"));
        (is_acknowledged && is_ready).then_some(deployment)
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        loopback(machine, FRONT_PORT)
    }

    fn start_process(&self, role: &str, machine: usize) -> Option<Process> {
        let template = fs::read_to_string(format!("deploy/{role}.ini")).ok()?;
        let data = self.folder.join(format!("data-{machine}"));
        let settings = self.folder.join(format!("{role}-{machine}.ini"));
        fs::write(&settings, render(&template, machine, data.to_str()?)).ok()?;
        let log = fs::File::create(self.folder.join(format!("{role}-{machine}.log"))).ok()?;
        let child = Command::new("target/release/laburnumlugd")
            .args([role, "--settings", settings.to_str()?])
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log)
            .spawn()
            .ok()?;
        Some(Process { child })
    }
}

/// Fills in a settings template as the platform does; lists and bounds that this deployment does not have are left out.
fn render(template: &str, machine: usize, data: &str) -> String {
    let seeds: Vec<String> = (0..MACHINES)
        .map(|machine| loopback(machine, CONTROL_PORT).to_string())
        .collect();
    let values = [
        ("node", format!("front-{machine}")),
        ("zone", "zone-a".to_string()),
        ("ip", loopback(machine, 0).ip().to_string()),
        ("seeds", seeds.join(",")),
        ("internalPorts.0", "7380".to_string()),
        ("internalPorts.1", "7395".to_string()),
        ("listen.front", loopback(machine, FRONT_PORT).to_string()),
        ("listen.ready", loopback(machine, READY_PORT).to_string()),
        ("listen.control", loopback(machine, CONTROL_PORT).to_string()),
        ("dataDir", data.to_string()),
        ("bootstrap", "true".to_string()),
        ("faultTolerance.machines", "1".to_string()),
        ("cloud.address", platform_addr().to_string()),
        ("bounds.leaseMs", "3000".to_string()),
        ("bounds.retryBudgetRatio", "0.2".to_string()),
        ("bounds.budgetWindowS", "10".to_string()),
        ("bounds.budgetSlack", "58".to_string()),
        ("bounds.graceS", "8".to_string()),
    ];
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section has a name");
        let end_tag = format!("{{{{/{}}}}}", &text[start + 3..name_end]);
        let end = text.find(&end_tag).expect("a section ends") + end_tag.len();
        text.replace_range(start..end, "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

pub fn wait_for<F: FnMut() -> bool>(timeout: Duration, mut condition: F) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}
