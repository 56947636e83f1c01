//! Two of nine servers crash just after the traffic has begun, while they work on the first prompts, which share a part.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{CONTROLS, Deployment, Record};
use crate::servers::{Behaviour, Server};
use crate::stream;

const SERVERS: usize = 9;
/// Servers that crash, as many as a share of 0.17 takes of nine, and how long they are down.
const CRASHES: usize = 2;
const DOWN_TIME: Duration = Duration::from_millis(4500);
/// When they crash, after the traffic has begun.
const CRASHES_AFTER: Duration = Duration::from_millis(250);
/// Time until the first event of a stream, for a prompt of 17,020 tokens at 50.7 in a millisecond, and some waiting.
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(400);
const EVENTS: u32 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Clients that send one request after the other, and the pause between two.
const CLIENTS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(500);
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(34);
/// Largest share of the requests that may be refused or fail.
const MAX_UNSERVED: f64 = 0.6;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"stream","timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"app","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":200}],"services":[{"name":"app","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

#[derive(Default)]
struct Counts {
    asked: AtomicU32,
    served: AtomicU32,
    refused: AtomicU32,
    runs: AtomicU32,
}

/// Returns whether the rule held.
pub fn run(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new(folder, record.clone())?;
    let counts: Arc<Counts> = Arc::default();
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        servers.push(Server::start(&format!("i-{i}"), behaviour(counts.clone()))?);
    }
    let rows = servers.iter().map(|server| server.row("app", "ready"));
    *deployment.instances.lock().unwrap() = rows.collect();
    for i in 0..CONTROLS {
        deployment.start_control(i, true)?;
    }
    deployment.start_gateway(0)?;
    if !deployment.apply(CONFIG, Duration::from_secs(20)) {
        return Err(io::Error::other(
            "the first configuration is not acknowledged",
        ));
    }
    sleep(Duration::from_secs(4));

    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (deployment.front(0), record.clone());
            let (counts, ends) = (counts.clone(), ends.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !ends.load(Ordering::SeqCst) {
                    send(front, client, number, &counts, &record);
                    number += 1;
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    let began_at = Instant::now();
    record.add(&format!("{CLIENTS} clients begin to send"));
    sleep(CRASHES_AFTER);
    if has_trouble {
        for server in &mut servers[..CRASHES] {
            server.end();
        }
        record.add("servers i-0 and i-1 have crashed");
        sleep(DOWN_TIME);
        for server in &mut servers[..CRASHES] {
            server.start_again()?;
        }
        record.add("servers i-0 and i-1 run again");
    }
    while began_at.elapsed() < LENGTH {
        sleep(Duration::from_secs(4));
        let count = |count: &AtomicU32| count.load(Ordering::SeqCst);
        record.add(&format!(
            "{} requests were sent, {} served, {} refused with 503, {} run by servers",
            count(&counts.asked),
            count(&counts.served),
            count(&counts.refused),
            count(&counts.runs),
        ));
    }
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let asked = f64::from(counts.asked.load(Ordering::SeqCst));
    let served = f64::from(counts.served.load(Ordering::SeqCst));
    let unserved = 1.0 - served / asked.max(1.0);
    record.add(&format!(
        "{:.0} of 100 requests were refused or failed",
        100.0 * unserved
    ));
    Ok(unserved <= MAX_UNSERVED)
}

/// Sends a request whose prompt begins with the part that all share.
fn send(front: SocketAddr, client: u32, number: u32, counts: &Counts, record: &Record) {
    let id = format!("{client:08x}{number:08x}");
    let parts = format!("5c1e07a2:13300,{client:04x}{number:04x}:3720");
    let headers = [
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "8000"),
        ("X-Model", "m"),
        ("X-Token-Counts", "17020,20"),
        ("X-Prompt-Prefix", parts.as_str()),
    ];
    counts.asked.fetch_add(1, Ordering::SeqCst);
    let outcome = stream::request(front, "POST /p/x", &headers, &id);
    match &outcome {
        Ok(answer) if answer.is_complete => {
            counts.served.fetch_add(1, Ordering::SeqCst);
        }
        Ok(answer) => {
            let is_first = counts.refused.load(Ordering::SeqCst) == 0;
            counts
                .refused
                .fetch_add(u32::from(answer.status == 503), Ordering::SeqCst);
            if is_first || answer.status != 503 {
                record.add(&format!(
                    "request {id} is answered with {}: {}",
                    answer.status,
                    answer.text.lines().last().unwrap_or("")
                ));
            }
        }
        Err(err) => record.add(&format!("request {id} is not answered: {err}")),
    }
}

fn behaviour(counts: Arc<Counts>) -> Behaviour {
    Arc::new(move |connection: &mut TcpStream, request| {
        counts.runs.fetch_add(1, Ordering::SeqCst);
        stream::wait(connection, FIRST_EVENT_AFTER)?;
        stream::send_events(connection, request, 1..=EVENTS, EVENT_INTERVAL)
    })
}
