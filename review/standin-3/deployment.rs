//! A small deployment on loopback addresses: three control processes with a disk, gateways, servers and the platform's list.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Answer, call, read_head};

const DAEMON: &str = "target/release/laburnumlugd";

/// One row of the platform's list.
#[derive(Clone)]
pub struct Row {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub state: &'static str,
    pub stage: Option<&'static str>,
}

/// Ports of the machines, which are the same on all of them.
struct Ports {
    mesh: u16,
    exchange: u16,
    control: u16,
    front: u16,
    ready: u16,
    metrics: [u16; 2],
    server: u16,
    list: u16,
}

/// Processes that run, by name; they are killed however the case ends.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Kills all processes that this program has started.
pub fn kill_all() {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for (_, mut child) in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Deployment {
    pub folder: PathBuf,
    net: [u8; 2],
    ports: Ports,
    rows: Arc<Mutex<Vec<Row>>>,
    /// The bound `leaseMs`, as the platform fills it in.
    lease_ms: Mutex<&'static str>,
    began: Instant,
    record: fs::File,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the first of some consecutive ports that are free at all `ips`, below those that the kernel assigns to connections.
fn free_ports(count: u16, ips: &[IpAddr]) -> u16 {
    let start = (std::process::id() % 1_000) as u16 * count;
    let firsts = (0..1_000).map(|i| 12_000 + (start + i * count) % (1_000 * count));
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    let mut free = firsts.filter(|first| (*first..first + count).all(is_free));
    free.next().expect("ports are free")
}

impl Deployment {
    /// Creates a deployment without processes, which records what happens in the file at `record`.
    pub fn new(record: &Path) -> Deployment {
        let pid = std::process::id();
        let net = [(pid / 200 % 200 + 20) as u8, (pid % 200 + 1) as u8];
        let hosts = (1..=3).chain(11..=12).chain(101..=108).chain([250]);
        let ip = |host| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host));
        let port = free_ports(9, &hosts.map(ip).collect::<Vec<IpAddr>>());
        let folder = std::env::temp_dir().join(format!("laburnumlug-review-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let deployment = Deployment {
            folder,
            net,
            ports: Ports {
                mesh: port,
                exchange: port + 1,
                control: port + 2,
                front: port + 3,
                ready: port + 4,
                metrics: [port + 5, port + 6],
                server: port + 7,
                list: port + 8,
            },
            rows: Arc::default(),
            lease_ms: Mutex::new("3000"),
            began: Instant::now(),
            record: fs::File::create(record).expect("the record can be written"),
        };
        deployment.serve_list();
        deployment
    }

    /// Writes a line to the record, with the time since the start.
    pub fn note<T>(&self, text: T)
    where
        T: AsRef<str>,
    {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(&self.record, "{at:>6} ms  {}", text.as_ref());
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], host))
    }

    fn list_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip(250), self.ports.list)
    }

    /// Returns the address of the server with this number.
    pub fn server_addr(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + number), self.ports.server)
    }

    /// Returns the address at which a gateway serves clients.
    pub fn front(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(10 + number), self.ports.front)
    }

    fn seeds(&self) -> String {
        let seeds = (1..=3).map(|n| format!("{}:{}", self.ip(n), self.ports.control));
        seeds.collect::<Vec<String>>().join(",")
    }

    /// Serves the platform's list of servers.
    fn serve_list(&self) {
        let listener = TcpListener::bind(self.list_addr()).expect("the list's address is free");
        let rows = self.rows.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let rows = rows.clone();
                std::thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(_)) = read_head(&mut reader) {
                        let rows: Vec<String> = rows.lock().unwrap().iter().map(row_json).collect();
                        let body = format!("{{\"instances\":[{}],\"next\":null}}", rows.join(","));
                        let sent = write!(
                            writer,
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if sent.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Changes the platform's list.
    pub fn change_list<F>(&self, change: F)
    where
        F: FnOnce(&mut Vec<Row>),
    {
        change(&mut self.rows.lock().unwrap());
    }

    /// Sets the state of a server in the list.
    pub fn set_state(&self, id: &str, state: &'static str) {
        self.note(format!("the list shows {id} as {state}"));
        self.change_list(|rows| {
            rows.iter_mut()
                .filter(|row| row.id == id)
                .for_each(|row| row.state = state)
        });
    }

    fn spawn(&self, name: &str, command: &mut Command) {
        let log = fs::File::create(self.folder.join(format!("{name}.log")))
            .expect("the log can be written");
        let log_err = log.try_clone().expect("the log can be shared");
        command.stdout(log).stderr(log_err);
        let child = command
            .spawn()
            .unwrap_or_else(|err| panic!("{name} cannot be started: {err}"));
        CHILDREN.lock().unwrap().push((name.to_string(), child));
    }

    /// Kills a process that this deployment started.
    pub fn kill(&self, name: &str) {
        let mut children = CHILDREN.lock().unwrap();
        let at = children
            .iter()
            .position(|(child, _)| child == name)
            .expect("the process runs");
        let (_, mut child) = children.remove(at);
        drop(children);
        let _ = child.kill();
        let _ = child.wait();
        self.note(format!("killed {name}"));
    }

    /// Listens at the address of a server.
    pub fn listen(&self, number: u8) -> TcpListener {
        TcpListener::bind(self.server_addr(number)).expect("the address of the server is free")
    }

    /// Starts a server with a listening socket of its own, and adds it to the list as ready.
    pub fn start_server(&self, number: u8, id: &str, service: &str) {
        self.start_server_on(self.listen(number), number, id, service);
    }

    /// Starts a server with a listening socket that it gets from its parent, and adds it to the list as ready.
    pub fn start_server_on(&self, listener: TcpListener, number: u8, id: &str, service: &str) {
        let addr = self.server_addr(number);
        let program = std::env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        let (log, leaving) = (self.server_log(), self.leaving_file(id));
        let _ = fs::remove_file(&leaving);
        command.arg("server").arg(id).arg(log).arg(leaving);
        self.spawn(id, command.stdin(OwnedFd::from(listener)));
        self.change_list(|rows| {
            rows.retain(|row| row.id != id);
            rows.push(Row {
                id: id.to_string(),
                service: service.to_string(),
                addr,
                state: "ready",
                stage: None,
            });
        });
        self.note(format!(
            "started server {id} of {service} at {addr}; the list shows it as ready"
        ));
    }

    pub fn server_log(&self) -> PathBuf {
        self.folder.join("servers.log")
    }

    /// Returns the file whose presence makes a server state that it is leaving.
    fn leaving_file(&self, id: &str) -> PathBuf {
        self.folder.join(format!("{id}.leaving"))
    }

    /// Announces that a server leaves: in the list and in all its answers.
    pub fn announce_leaving(&self, id: &str) {
        fs::write(self.leaving_file(id), "").expect("the file can be written");
        self.set_state(id, "draining");
    }

    /// Starts the control processes and `gateways` gateways, with the settings of `deploy/`, and waits for the first.
    pub fn start(&self, gateways: u8) {
        for n in 1..=3 {
            self.start_control(n, true);
        }
        for n in 1..=gateways {
            let (ip, ports) = (self.ip(10 + n), &self.ports);
            let text = format!(
                "[process]\nvm = front-{n}\nzone = zone-a\n\n[log]\nlevel = info\noutput = stdout\n\n\
                 [metrics]\nlisten = {ip}:{}\n\n[mesh]\nkey = platform-mesh\ncontrol = {}\nport = {}\n\n\
                 [gateway]\nlisten = {ip}:{}\nready = {ip}:{}\nmesh_listen = {ip}:{}\ntarget_list = {}\n\
                 retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ngrace_s = 8\nmax_route_age_ms = 2000\n",
                ports.metrics[0],
                self.seeds(),
                ports.mesh,
                ports.front,
                ports.ready,
                ports.exchange,
                self.list_addr()
            );
            let path = self.folder.join(format!("gateway-{n}.ini"));
            fs::write(&path, text).expect("the settings can be written");
            let mut command = Command::new(DAEMON);
            command.arg("gateway").arg("--settings").arg(path);
            command.stdin(Stdio::null());
            self.spawn(&format!("gateway-{n}"), &mut command);
        }
    }

    /// Starts a control process; `bootstrap` is that of the first start.
    pub fn start_control(&self, n: u8, bootstrap: bool) {
        let (ip, ports) = (self.ip(n), &self.ports);
        let data = self.folder.join(format!("data-{n}"));
        let text = format!(
            "[process]\nvm = control-{n}\nzone = zone-a\n\n[log]\nlevel = info\noutput = stdout\n\n\
             [metrics]\nlisten = {ip}:{}\n\n[mesh]\nkey = platform-mesh\ncontrol = {}\nport = {}\n\n\
             [control]\nname = {ip}:{}\nlisten = {ip}:{}\noperators = {ip}:{}\ndata = {}\ndisk_mb = 64\npeers = mesh\n\
             may_found = {bootstrap}\nlosses = 1\ntarget_list = {}\nplatform_operator = yes\norder_turn_ms = {}\nduties = \n",
            ports.metrics[1],
            self.seeds(),
            ports.mesh,
            ports.mesh,
            ports.mesh,
            ports.control,
            data.display(),
            self.list_addr(),
            self.lease_ms.lock().unwrap()
        );
        let path = self.folder.join(format!("control-{n}.ini"));
        fs::write(&path, text).expect("the settings can be written");
        let mut command = Command::new(DAEMON);
        command.arg("control").arg("--settings").arg(path);
        command.stdin(Stdio::null());
        self.spawn(&format!("control-{n}"), &mut command);
    }

    /// Changes the bound `leaseMs` in the settings of processes that are started from now on.
    pub fn set_lease_ms(&self, text: &'static str) {
        self.note(format!("the settings change: leaseMs is {text}"));
        *self.lease_ms.lock().unwrap() = text;
    }

    /// Sends SIGTERM to a process that this deployment started, and waits until it ends.
    pub fn stop(&self, name: &str) {
        let mut children = CHILDREN.lock().unwrap();
        let at = children
            .iter()
            .position(|(child, _)| child == name)
            .expect("the process runs");
        let (_, mut child) = children.remove(at);
        drop(children);
        let _ = Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status();
        let status = child.wait();
        self.note(format!("stopped {name} with SIGTERM: {status:?}"));
    }

    /// Returns the exit status of a process that has ended by itself within `time`.
    pub fn await_exit(&self, name: &str, time: Duration) -> Option<std::process::ExitStatus> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let mut children = CHILDREN.lock().unwrap();
            let at = children
                .iter()
                .position(|(child, _)| child == name)
                .expect("the process was started");
            if let Ok(Some(status)) = children[at].1.try_wait() {
                children.remove(at);
                return Some(status);
            }
            drop(children);
            sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the last line that a process has written.
    pub fn last_line(&self, name: &str) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let line = log.lines().next_back().unwrap_or_default();
        line.replace(&self.folder.display().to_string(), "FOLDER")
    }

    /// Sends a configuration to each control process in turn until one acknowledges it; returns whether one did within `time`.
    pub fn configure(&self, config: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for n in 1..=3 {
                let addr = SocketAddr::new(self.ip(n), self.ports.control);
                let answer = self.operator(addr, config);
                if answer.status == 200 {
                    self.note(format!("control-{n} acknowledged the configuration"));
                    return true;
                }
                self.note(format!(
                    "control-{n} answered the configuration with {} {}",
                    answer.status, answer.error
                ));
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    fn operator(&self, addr: SocketAddr, config: &str) -> Answer {
        let request = format!(
            "POST /config/replace HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{config}",
            config.len()
        );
        call(addr, request.as_bytes(), Duration::from_secs(1))
    }

    /// Waits until a gateway states that it is ready; returns whether it does within `time`.
    pub fn await_ready(&self, gateway: u8, time: Duration) -> bool {
        let addr = SocketAddr::new(self.ip(10 + gateway), self.ports.ready);
        let request = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
        let until = Instant::now() + time;
        while Instant::now() < until {
            if call(addr, request.as_bytes(), Duration::from_secs(1)).status == 200 {
                self.note(format!("gateway-{gateway} is ready"));
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies what the servers have recorded, and the lines of the gateways' logs that name a request, to the record.
    pub fn note_logs(&self, gateways: u8) {
        for line in fs::read_to_string(self.server_log())
            .unwrap_or_default()
            .lines()
        {
            self.note(line);
        }
        for n in 1..=gateways {
            let log = fs::read_to_string(self.folder.join(format!("gateway-{n}.log")))
                .unwrap_or_default();
            for line in log
                .lines()
                .filter(|line| line.contains("target") || line.contains("refused"))
                .take(40)
            {
                self.note(format!("log of gateway-{n}: {line}"));
            }
        }
    }
}

fn row_json(row: &Row) -> String {
    let stage = row
        .stage
        .map_or(String::new(), |stage| format!(",\"stage\":\"{stage}\""));
    format!(
        "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"{}\",\"coldLeftMs\":0{stage}}}",
        row.id, row.service, row.addr, row.state
    )
}

/// Returns a configuration with one plain service for each route; each route is `(prefix, kind, timeout in ms, service)`.
pub fn config(version: u32, routes: &[(&str, &str, u32, &str)]) -> String {
    let entry = |(prefix, kind, timeout, service): &(&str, &str, u32, &str)| {
        format!(
            "{{\"name\":\"r-{service}-{kind}\",\"host\":\"hall.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\
             \"targetLatencyMs\":600,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":1,\"sticky\":false,\"resumable\":false,\"targetGapMs\":600}}"
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.3).collect();
    services.sort_unstable();
    services.dedup();
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.iter().map(entry).collect::<Vec<String>>().join(","),
        services
            .iter()
            .map(service)
            .collect::<Vec<String>>()
            .join(",")
    )
}

/// Returns a request of a client.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32) -> Vec<u8> {
    let body = match method {
        "GET" => "",
        _ => "{\"seat\":\"A1\"}",
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
