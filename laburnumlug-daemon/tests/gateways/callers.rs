//! Callers that send random requests to the gateways until the faults end, and record the answers.
//!
//! Each caller is a thread that keeps a connection to each gateway and uses it until the gateway closes it.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Load;
use crate::orders::resumption_of;
use crate::wire::{Head, read_body, read_head};

/// Timeout of the routes in `gateways-config.json`.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller stops waiting for further bytes of an answer.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(14);

/// Deadlines of requests; most have the first one.
const DEADLINES: [Duration; 2] = [Duration::from_millis(9500), Duration::from_millis(1500)];

/// Interval between two probes for the version that a gateway obeys.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Names of the routes in `gateways-config.json`, each of which is also the first segment of its path prefix.
const ROUTES: [&str; 4] = ["safe", "once", "stream", "held"];

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It was not sent whole.
    NotSent,
    Whole,
    /// The connection ended before the answer did.
    Cut,
    /// The caller closed the connection in the middle of a stream.
    Left,
    /// Nothing came for a long time.
    Silent,
}

/// What the caller of a stream got of it before.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// Request that brought the first event.
    pub first_request: String,
    pub last_event: u32,
    /// Software version of the events.
    pub version: String,
}

/// Request and the answer that its caller got.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub route: &'static str,
    pub path: String,
    /// Number of events of a stream.
    pub events: u32,
    /// Index of the gateway to which the request was sent.
    pub gateway: usize,
    pub deadline: Duration,
    pub is_chunked: bool,
    /// Whether it was sent before the answer to an earlier request on its connection was whole.
    pub is_pipelined: bool,
    pub resumes: Option<Resumption>,
    /// Bytes of a stream after which the caller closes the connection.
    pub limit: usize,
    pub began_at: Instant,
    /// When it was the first request on its connection without a whole answer.
    pub due_at: Instant,
    /// When the last byte of the request was sent.
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: End,
    /// Head of the answer.
    pub head: Option<Head>,
    pub body: String,
}

impl CallRecord {
    /// Returns the status of the answer.
    pub fn status(&self) -> Option<u16> {
        self.head.as_ref()?.start.get(1)?.parse().ok()
    }
}

/// Connection of a caller, on which no answer is due.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn open(addr: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(SILENCE_TIMEOUT)).ok()?;
        Some(Connection(BufReader::new(stream)))
    }

    /// Returns whether the gateway has not closed the connection; bytes that it has sent are read as an answer.
    fn is_open(&self) -> bool {
        let stream = self.0.get_ref();
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(len) => len > 0,
            Err(err) => err.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Sends a request; with a chunked body, its end is sent after `body_time`.
    fn send(&mut self, record: &mut CallRecord, body_time: Duration) -> bool {
        let framing = match record.is_chunked {
            true => "transfer-encoding: chunked",
            false => "content-length: 4",
        };
        let resumption = match &record.resumes {
            Some(resumed) => format!(
                "last-event-id: {}\r\nresumes: {}\r\n",
                resumed.last_event, resumed.first_request
            ),
            None => String::new(),
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {}\r\nx-deadline-ms: {}\r\nx-model: m\r\n\
             x-token-counts: 1460,80\r\nx-prompt-prefix: 5c1e:800,91bd:410,e440:250\r\n{resumption}{framing}\r\n\r\n",
            record.path,
            record.id,
            record.deadline.as_millis(),
        );
        record.began_at = Instant::now();
        record.due_at = record.began_at;
        let stream = self.0.get_mut();
        let is_sent = match record.is_chunked {
            true => {
                let start = head + "2\r\nbo\r\n";
                let is_sent = stream.write_all(start.as_bytes()).is_ok();
                std::thread::sleep(body_time);
                is_sent && stream.write_all(b"2\r\ndy\r\n0\r\n\r\n").is_ok()
            }
            false => stream.write_all((head + "body").as_bytes()).is_ok(),
        };
        record.sent_at = Instant::now();
        is_sent
    }

    /// Receives the answer, and returns whether the connection can be used again.
    fn receive(&mut self, record: &mut CallRecord) -> bool {
        let waits_since = Instant::now();
        let mut body = Vec::new();
        record.head = read_head(&mut self.0);
        let head = record.head.as_ref();
        let is_whole =
            head.is_some_and(|head| read_body(&mut self.0, head, true, record.limit, &mut body));
        record.ended_at = Instant::now();
        record.end = match is_whole {
            true => End::Whole,
            false if body.len() >= record.limit => End::Left,
            false if record.ended_at - waits_since >= SILENCE_TIMEOUT => End::Silent,
            false => End::Cut,
        };
        record.body = String::from_utf8_lossy(&body).into_owned();
        is_whole && head.is_some_and(|head| !head.ends_connection())
    }
}

/// Caller and its connections.
struct Caller {
    load: Arc<Load>,
    gateways: Vec<SocketAddr>,
    kept: Vec<Option<Connection>>,
    /// Version whose own route each gateway has served last.
    served_versions: Vec<Option<u64>>,
    name: String,
    next_number: u32,
    rng: StdRng,
}

/// Sends requests to random gateways and routes until the faults have ended.
pub fn run_caller(load: Arc<Load>, gateways: Vec<SocketAddr>, name: String, rng: StdRng) {
    let mut caller = Caller::new(load, gateways, name, rng);
    while !caller.load.faults_ended.load(Ordering::Relaxed) {
        let gateway = caller.rng.random_range(0..caller.gateways.len());
        match caller.rng.random_range(0..10) {
            0 => caller.call_pipelined(gateway),
            1 => {
                caller.call_probe(gateway);
            }
            _ => {
                let record = caller.draw(gateway);
                caller.call_and_resume(record);
            }
        }
        let delay_ms = caller.rng.random_range(1..30);
        std::thread::sleep(Duration::from_millis(delay_ms));
    }
}

/// Probes random gateways for the version that they obey until the faults have ended.
pub fn run_prober(load: Arc<Load>, gateways: Vec<SocketAddr>, name: String, rng: StdRng) {
    let mut caller = Caller::new(load, gateways, name, rng);
    while !caller.load.faults_ended.load(Ordering::Relaxed) {
        let gateway = caller.rng.random_range(0..caller.gateways.len());
        caller.call_probe(gateway);
        std::thread::sleep(PROBE_INTERVAL);
    }
}

/// Sends requests to a gateway until one succeeds, and returns whether one did before `deadline`.
pub fn is_served(
    load: Arc<Load>,
    gateways: Vec<SocketAddr>,
    gateway: usize,
    deadline: Instant,
) -> bool {
    let rng = StdRng::seed_from_u64(gateway as u64);
    let mut caller = Caller::new(load, gateways, format!("last-{gateway}"), rng);
    while Instant::now() < deadline {
        let mut record = caller.record(gateway, "safe", "/safe/0/0".to_string());
        // An erratic server may hold the request until its deadline.
        record.deadline = DEADLINES[1];
        let record = caller.call(record);
        if record.status() == Some(200) {
            return record.ended_at <= deadline;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

impl Caller {
    fn new(load: Arc<Load>, gateways: Vec<SocketAddr>, name: String, rng: StdRng) -> Caller {
        Caller {
            kept: gateways.iter().map(|_| None).collect(),
            served_versions: vec![None; gateways.len()],
            load,
            gateways,
            name,
            next_number: 0,
            rng,
        }
    }

    fn record(&mut self, gateway: usize, route: &'static str, path: String) -> CallRecord {
        let now = Instant::now();
        self.next_number += 1;
        CallRecord {
            id: format!("{}-{}", self.name, self.next_number),
            route,
            path,
            events: 0,
            gateway,
            deadline: DEADLINES[0],
            is_chunked: self.rng.random_ratio(1, 3),
            is_pipelined: false,
            resumes: None,
            limit: usize::MAX,
            began_at: now,
            due_at: now,
            sent_at: now,
            ended_at: now,
            end: End::NotSent,
            head: None,
            body: String::new(),
        }
    }

    /// Returns a request of random length; a third lasts about as long as a stopping gateway serves after its notice time.
    fn draw(&mut self, gateway: usize) -> CallRecord {
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        let work_ms = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(0..50),
            1 => self.rng.random_range(200..2000),
            _ => self.rng.random_range(3500..6500),
        };
        let events = match route {
            "stream" | "held" => self.rng.random_range(2..40),
            _ => 0,
        };
        let mut record = self.record(gateway, route, format!("/{route}/{work_ms}/{events}"));
        record.events = events;
        record.deadline = DEADLINES[usize::from(self.rng.random_ratio(1, 8))];
        if route == "stream" && self.rng.random_ratio(1, 3) {
            record.limit = self.rng.random_range(1..600);
        }
        record
    }

    /// Sends a request for a route that only newer configurations have, or only one; mostly the one that the gateway has served last.
    fn call_probe(&mut self, gateway: usize) {
        let newest = self.load.newest_sent.load(Ordering::Relaxed);
        let recent = newest.saturating_sub(self.rng.random_range(0..12)).max(1);
        let (route, version) = match (self.rng.random_range(0..4), self.served_versions[gateway]) {
            (0, _) => ("v", recent),
            (1, _) | (_, None) => ("only", recent),
            (_, Some(version)) => ("only", version),
        };
        let mut record = self.record(gateway, route, format!("/{route}/{version}/x"));
        record.is_chunked = false;
        record.deadline = DEADLINES[1];
        let status = self.call(record).status();
        match (route, status) {
            ("only", Some(200)) => self.served_versions[gateway] = Some(version),
            ("only", Some(404)) => self.served_versions[gateway] = None,
            _ => {}
        }
    }

    /// Returns the kept connection to a gateway, or a new one.
    fn connect(&mut self, gateway: usize) -> Option<Connection> {
        let kept = self.kept[gateway].take().filter(Connection::is_open);
        match self.rng.random_ratio(3, 4) {
            true if kept.is_some() => kept,
            _ => Connection::open(self.gateways[gateway]),
        }
    }

    fn call(&mut self, mut record: CallRecord) -> CallRecord {
        let body_time = Duration::from_millis(self.rng.random_range(50..1500));
        if let Some(mut connection) = self.connect(record.gateway) {
            let is_sent = connection.send(&mut record, body_time);
            let is_reusable = connection.receive(&mut record);
            match is_sent {
                true if is_reusable => self.kept[record.gateway] = Some(connection),
                false if record.end != End::Whole => record.end = End::NotSent,
                _ => {}
            }
        }
        self.load.calls.lock().unwrap().push(record.clone());
        record
    }

    /// Calls, and mostly resumes a stream that was cut or left, at any gateway.
    fn call_and_resume(&mut self, record: CallRecord) {
        let mut record = self.call(record);
        for _ in 0..3 {
            let is_partial = record.route == "stream" && matches!(record.end, End::Cut | End::Left);
            let resumption = resumption_of(&record).filter(|_| is_partial);
            if resumption.is_none() || self.rng.random_ratio(1, 6) {
                return;
            }
            let gateway = self.rng.random_range(0..self.gateways.len());
            let mut next = self.record(gateway, record.route, record.path);
            next.events = record.events;
            next.resumes = resumption;
            record = self.call(next);
        }
    }

    /// Sends two requests on one connection before the answer to the first.
    fn call_pipelined(&mut self, gateway: usize) {
        let mut records = [self.draw(gateway), self.draw(gateway)];
        let Some(mut connection) = self.connect(gateway) else {
            return;
        };
        for (i, record) in records.iter_mut().enumerate() {
            record.is_chunked = false;
            record.limit = usize::MAX;
            record.is_pipelined = i > 0;
            // A request that can't be sent stays `NotSent`, though the connection may hold answers.
            if connection.send(record, Duration::ZERO) {
                record.end = End::Cut;
            }
        }
        let mut is_open = true;
        let mut due_at = records[0].began_at;
        for record in &mut records {
            record.due_at = due_at;
            if is_open && record.end == End::Cut {
                is_open = connection.receive(record);
            }
            due_at = Instant::now();
            record.ended_at = due_at;
        }
        if is_open {
            self.kept[gateway] = Some(connection);
        }
        self.load.calls.lock().unwrap().extend(records);
    }
}
