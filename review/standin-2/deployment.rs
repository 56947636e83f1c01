//! A small deployment on loopback addresses: control processes and gateways of the project, the platform's list of servers and
//! the operator.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// Number of machines that serve control; the loss of one is to be borne.
pub const CONTROLS: usize = 3;

/// Time after which the operator moves on to another node.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// What happened, with the time since the start.
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            started_at: Instant::now(),
            lines: Mutex::default(),
        })
    }

    /// Returns the time since the start in milliseconds.
    pub fn ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn add(&self, line: &str) {
        let line = format!("{:>7} ms  {line}", self.ms());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}

/// Ports that are the same on all machines.
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: [u16; 2],
    metrics: [u16; 2],
    platform: u16,
}

/// Processes and stand-ins of one run; dropping it ends the processes.
pub struct Deployment {
    folder: PathBuf,
    ports: Ports,
    pub record: Arc<Record>,
    /// Rows of the platform's list of servers, as JSON.
    pub instances: Arc<Mutex<Vec<String>>>,
    controls: Vec<Option<Child>>,
    gateways: Vec<Child>,
}

impl Deployment {
    /// Creates the deployment without processes; its files are in `folder`.
    pub fn new(folder: &Path, record: Arc<Record>) -> io::Result<Deployment> {
        let free: Vec<u16> = free_ports(8)?;
        let deployment = Deployment {
            folder: folder.to_path_buf(),
            ports: Ports {
                front: free[0],
                ready: free[1],
                control: free[2],
                internal: [free[3], free[4]],
                metrics: [free[5], free[6]],
                platform: free[7],
            },
            record,
            instances: Arc::default(),
            controls: (0..CONTROLS).map(|_| None).collect(),
            gateways: Vec::new(),
        };
        deployment.serve_list()?;
        Ok(deployment)
    }

    /// Returns the address of machine `i`.
    fn ip(i: usize) -> IpAddr {
        loopback_ip(11 + i as u8)
    }

    fn platform(&self) -> SocketAddr {
        SocketAddr::new(loopback_ip(100), self.ports.platform)
    }

    fn seeds(&self) -> String {
        let seeds = (0..CONTROLS).map(|i| self.control(i).to_string());
        seeds.collect::<Vec<String>>().join(",")
    }

    /// Returns the address at which control process `i` serves the operator.
    pub fn control(&self, i: usize) -> SocketAddr {
        SocketAddr::new(Deployment::ip(i), self.ports.control)
    }

    /// Returns the address at which the gateway of machine `i` serves clients.
    pub fn front(&self, i: usize) -> SocketAddr {
        SocketAddr::new(Deployment::ip(i), self.ports.front)
    }

    /// Starts control process `i`, with the settings that the template of the deploy file renders; `bootstrap` is the field of
    /// that name.
    pub fn start_control(&mut self, i: usize, bootstrap: bool) -> io::Result<()> {
        let (ip, data) = (Deployment::ip(i), self.data(i));
        fs::create_dir_all(&data)?;
        let [port, _] = self.ports.internal;
        let settings = format!(
            "[process]\nvm = front-{i}\nzone = zone-{i}\n\n[log]\nlevel = info\noutput = stdout\n\n\
             [metrics]\nlisten = {ip}:{metrics}\n\n\
             [mesh]\nkey = platform-mesh\ncontrol = {seeds}\nport = {port}\n\n\
             [control]\nname = {ip}:{port}\nlisten = {ip}:{port}\noperators = {operators}\ndata = {data}\n\
             disk_mb = 64\npeers = mesh\nmay_found = {bootstrap}\nlosses = 1\ntarget_list = {platform}\n\
             platform_operator = yes\norder_turn_ms = 3000\nduties =\n",
            metrics = self.ports.metrics[0],
            seeds = self.seeds(),
            operators = self.control(i),
            data = data.display(),
            platform = self.platform(),
        );
        let child = self.spawn("control", i, &settings)?;
        self.record
            .add(&format!("control {i} starts, bootstrap {bootstrap}"));
        self.controls[i] = Some(child);
        Ok(())
    }

    /// Starts the gateway of machine `i`.
    pub fn start_gateway(&mut self, i: usize) -> io::Result<()> {
        let ip = Deployment::ip(i);
        let [port, mesh] = self.ports.internal;
        let settings = format!(
            "[process]\nvm = front-{i}\nzone = zone-{i}\n\n[log]\nlevel = info\noutput = stdout\n\n\
             [metrics]\nlisten = {ip}:{metrics}\n\n\
             [mesh]\nkey = platform-mesh\ncontrol = {seeds}\nport = {port}\n\n\
             [gateway]\nlisten = {front}\nready = {ip}:{ready}\nmesh_listen = {ip}:{mesh}\ntarget_list = {platform}\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ngrace_s = 8\nmax_route_age_ms = 2000\n",
            metrics = self.ports.metrics[1],
            seeds = self.seeds(),
            front = self.front(i),
            ready = self.ports.ready,
            platform = self.platform(),
        );
        let child = self.spawn("gateway", i, &settings)?;
        self.record.add(&format!("gateway {i} starts"));
        self.gateways.push(child);
        Ok(())
    }

    /// Starts a role with the command of the deploy file; the working directory is the root of the repository.
    fn spawn(&self, role: &str, i: usize, settings: &str) -> io::Result<Child> {
        let path = self.folder.join(format!("{role}-{i}.ini"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{role}-{i}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/laburnumlugd")
            .arg(role)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script ends these processes if it is ended itself.
        let pids = self.folder.join("pids");
        let mut pids = File::options().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        Ok(child)
    }

    /// Kills control process `i` with SIGKILL.
    pub fn kill_control(&mut self, i: usize) -> io::Result<()> {
        if let Some(mut child) = self.controls[i].take() {
            child.kill()?;
            child.wait()?;
            self.record.add(&format!("control {i} is killed"));
        }
        Ok(())
    }

    /// Empties the data folder of control process `i`, which must not run.
    pub fn wipe_control(&self, i: usize) -> io::Result<()> {
        self.record.add(&format!("control {i} has lost its disk"));
        fs::remove_dir_all(self.data(i))
    }

    fn data(&self, i: usize) -> PathBuf {
        self.folder.join(format!("data-{i}"))
    }

    /// Sends a configuration to control process `i` like the operator; returns the status, or `None` without an answer. Follows
    /// a redirect twice.
    pub fn replace_config(&self, i: usize, config: &str) -> Option<u16> {
        let mut addr = self.control(i);
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json")];
            let request = "POST /config/replace";
            let answer = http::call(addr, request, &headers, config, OPERATOR_TIMEOUT).ok()?;
            let location = answer.header("location").filter(|_| answer.status() == 307);
            match location.and_then(address_of) {
                Some(next) => addr = next,
                None => return Some(answer.status()),
            }
        }
        None
    }

    /// Sends a configuration to one process after the other until one acknowledges it or `timeout` has passed.
    pub fn apply(&self, config: &str, timeout: Duration) -> bool {
        let began_at = Instant::now();
        while began_at.elapsed() < timeout {
            for i in 0..CONTROLS {
                if self.replace_config(i, config) == Some(200) {
                    self.record
                        .add("the operator's configuration is acknowledged");
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Serves the platform's list of servers.
    fn serve_list(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.platform())?;
        let instances = self.instances.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instances = instances.clone();
                std::thread::spawn(move || -> io::Result<()> {
                    let mut stream = stream;
                    let mut rest = Vec::new();
                    loop {
                        http::read_message(&mut stream, &mut rest)?;
                        let rows = instances.lock().unwrap().join(",");
                        let body = format!("{{\"instances\":[{rows}],\"next\":null}}");
                        let headers = [("Content-Type", "application/json")];
                        http::write_answer(&mut stream, 200, &headers, &body)?;
                    }
                });
            }
        });
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.controls.iter_mut().flatten().chain(&mut self.gateways) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the address in a URL.
fn address_of(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Returns a loopback address of this run, so that runs at the same time do not share one.
pub fn loopback_ip(host: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, host))
}

/// Returns ports that were free on an address of this run just now.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let any = SocketAddr::new(loopback_ip(1), 0);
    let listeners: io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind(any)).collect();
    listeners?
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}
