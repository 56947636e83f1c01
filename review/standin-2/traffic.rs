//! A deployment with one gateway and three servers of a plain service, and a client that sends it requests.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

use crate::deployment::{CONTROLS, Deployment, Record};
use crate::http;
use crate::servers::{Behaviour, Server};

pub const SERVERS: usize = 3;

/// Name of the service.
pub const SERVICE: &str = "app";

/// Interval between the requests of the client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Largest share of the requests that may be refused or fail.
const MAX_UNSERVED: f64 = 0.6;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"safe","timeoutMs":2000,"targetLatencyMs":100,"priority":1,"service":"app","maxAttempts":2,"sticky":false,"resumable":false}],"services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Requests of the client, and what became of them.
#[derive(Default)]
struct Counts {
    asked: AtomicU32,
    served: AtomicU32,
    runs: AtomicU32,
    last_status: AtomicU32,
}

/// Deployment under the traffic of a client that sends one request after the other.
pub struct Traffic {
    pub deployment: Deployment,
    pub servers: Vec<Server>,
    counts: Arc<Counts>,
    ends: Arc<AtomicBool>,
    client: Option<JoinHandle<()>>,
}

impl Traffic {
    /// Starts the deployment, and the traffic once the first configuration is in force.
    pub fn start(folder: &Path, record: Arc<Record>) -> io::Result<Traffic> {
        let mut deployment = Deployment::new(folder, record)?;
        let counts: Arc<Counts> = Arc::default();
        let servers: io::Result<Vec<Server>> = (0..SERVERS)
            .map(|i| Server::start(&format!("i-{i}"), behaviour(counts.clone())))
            .collect();
        for i in 0..CONTROLS {
            deployment.start_control(i, true)?;
        }
        deployment.start_gateway(0)?;
        if !deployment.apply(CONFIG, Duration::from_secs(20)) {
            let detail = "the first configuration is not acknowledged";
            return Err(io::Error::other(detail));
        }
        let mut traffic = Traffic {
            deployment,
            servers: servers?,
            counts,
            ends: Arc::default(),
            client: None,
        };
        traffic.list(&["ready"; SERVERS], Vec::new());
        sleep(Duration::from_secs(2));
        let (front, counts) = (traffic.deployment.front(0), traffic.counts.clone());
        let (ends, record) = (traffic.ends.clone(), traffic.deployment.record.clone());
        traffic.client = Some(std::thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                send(front, &counts, &record);
                sleep(REQUEST_INTERVAL);
            }
        }));
        Ok(traffic)
    }

    /// Sets the platform's list: the servers in these states, where an empty one is not listed, and further rows.
    pub fn list(&self, states: &[&str; SERVERS], further: Vec<String>) {
        let rows = self.servers.iter().zip(states);
        let rows = rows.filter(|(_, state)| !state.is_empty());
        let rows = rows.map(|(server, state)| server.row(SERVICE, state));
        *self.deployment.instances.lock().unwrap() = rows.chain(further).collect();
    }

    /// Records what has become of the requests so far.
    pub fn log(&self, when: &str) {
        let count = |count: &AtomicU32| count.load(Ordering::SeqCst);
        let counts = &self.counts;
        self.deployment.record.add(&format!(
            "{when}: {} requests were sent, {} served, {} run by servers; the last answer has status {}",
            count(&counts.asked),
            count(&counts.served),
            count(&counts.runs),
            count(&counts.last_status),
        ));
    }

    /// Ends the traffic after `time`, and returns whether no more than [`MAX_UNSERVED`] of its requests were refused or failed.
    pub fn end_after(mut self, time: Duration) -> bool {
        let interval = time / 5;
        for _ in 0..5 {
            sleep(interval);
            self.log("afterwards");
        }
        self.ends.store(true, Ordering::SeqCst);
        if let Some(client) = self.client.take() {
            let _ = client.join();
        }
        let asked = f64::from(self.counts.asked.load(Ordering::SeqCst));
        let served = f64::from(self.counts.served.load(Ordering::SeqCst));
        let unserved = 1.0 - served / asked.max(1.0);
        let line = format!(
            "{:.0} of 100 requests were refused or failed",
            100.0 * unserved
        );
        self.deployment.record.add(&line);
        unserved <= MAX_UNSERVED
    }
}

/// Sends a request on a new connection, and records its answer if the status is another than that of the one before.
fn send(front: SocketAddr, counts: &Counts, record: &Record) {
    let number = counts.asked.fetch_add(1, Ordering::SeqCst);
    let id = format!("{number:016x}");
    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
    let answer = http::call(front, "GET /p/x", &headers, "", Duration::from_secs(2));
    let (status, text) = match answer {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            (answer.status(), text)
        }
        Err(err) => (0, err.to_string()),
    };
    counts
        .served
        .fetch_add(u32::from(status == 200), Ordering::SeqCst);
    if counts.last_status.swap(u32::from(status), Ordering::SeqCst) != u32::from(status) {
        record.add(&format!("request {id} is answered with {status}: {text}"));
    }
}

fn behaviour(counts: Arc<Counts>) -> Behaviour {
    Arc::new(move |stream, request| {
        counts.runs.fetch_add(1, Ordering::SeqCst);
        let id = request.header("x-request-id").unwrap_or("").to_string();
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Seal", "seal")];
        http::write_answer(stream, 200, &headers, "answer")?;
        Ok(true)
    })
}
