//! A server crashes amid streams that may be resumed, the servers that resume them are busy, and clients leave after the gap that
//! they wait for an event.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::deployment::{CONTROLS, Deployment, Record};
use crate::http::Message;
use crate::servers::{Behaviour, Server};
use crate::stream;

/// One of six servers crashes, which is less than the share of 0.17 that the site file allows.
const SERVERS: usize = 6;
const STREAMS: u32 = 48;
/// Events of a stream, and the time between them.
const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the first event of a request that resumes a stream, which waits behind others and reads its prompt again.
const RESUMED_AFTER: Duration = Duration::from_millis(5000);
/// When the server crashes, after the streams have begun, and how long it stays in the list.
const CRASHES_AFTER: Duration = Duration::from_millis(1500);
const LISTED_FOR: Duration = Duration::from_millis(2000);
/// Time after which nobody works for a client that has left.
const MAX_WORK: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","kind":"stream","timeoutMs":12000,"targetLatencyMs":400,"priority":1,"service":"app","maxAttempts":2,"sticky":false,"resumable":true,"targetGapMs":200}],"services":[{"name":"app","healthPath":"/health","maxConns":380,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What servers and clients have seen of each request.
#[derive(Default)]
struct Seen {
    /// When the client closed its connection because of the gap.
    left_at: HashMap<String, Instant>,
    /// Servers that ran the request: the server, whether it resumes a stream, when it arrived, when it ended.
    runs: Vec<Run>,
}

struct Run {
    id: String,
    server: String,
    is_resumed: bool,
    arrived_at: Instant,
    ended_at: Option<Instant>,
}

/// Returns whether the rule held.
pub fn run(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::new(folder, record.clone())?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let id = format!("i-{i}");
        servers.push(Server::start(&id, behaviour(&id, seen.clone()))?);
    }
    let rows = |servers: &[Server]| servers.iter().map(|s| s.row("app", "ready")).collect();
    *deployment.instances.lock().unwrap() = rows(&servers);
    for i in 0..CONTROLS {
        deployment.start_control(i, true)?;
    }
    deployment.start_gateway(0)?;
    if !deployment.apply(CONFIG, Duration::from_secs(20)) {
        return Err(io::Error::other(
            "the first configuration is not acknowledged",
        ));
    }
    // The gateway is in touch: nothing has happened for `stableWindowMs`.
    sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, seen) = (deployment.front(0), seen.clone());
            std::thread::spawn(move || client(front, number, &seen))
        })
        .collect();
    record.add(&format!("{STREAMS} clients open streams"));
    sleep(CRASHES_AFTER);
    if has_trouble {
        servers[0].end();
        record.add("server i-0 has crashed");
        sleep(LISTED_FOR);
        *deployment.instances.lock().unwrap() = rows(&servers[1..]);
    }
    let complete = clients.into_iter().map(|c| c.join().unwrap_or(false));
    let complete = complete.filter(|is_complete| *is_complete).count();
    record.add(&format!("{complete} of {STREAMS} streams are complete"));
    if complete < STREAMS as usize / 2 {
        let detail = "too few streams are complete, also at sound servers";
        return Err(io::Error::other(detail));
    }
    sleep(RESUMED_AFTER);

    let seen = seen.lock().unwrap();
    let mut lasting = 0;
    let mut overdue = 0;
    for (id, left_at) in &seen.left_at {
        let runs = seen
            .runs
            .iter()
            .filter(|run| run.id == *id && run.is_resumed);
        for run in runs {
            lasting += 1;
            let worked = run
                .ended_at
                .map(|at| at.saturating_duration_since(*left_at));
            let is_overdue = worked.is_none_or(|worked| worked > MAX_WORK);
            overdue += u32::from(is_overdue);
            record.add(&format!(
                "request {id} resumes its stream at {}; the client left {} ms later; the server worked for {} ms more",
                run.server,
                left_at.saturating_duration_since(run.arrived_at).as_millis(),
                worked.map_or("many".to_string(), |worked| worked.as_millis().to_string()),
            ));
        }
    }
    record.add(&format!(
        "{} clients left; {overdue} of the {lasting} requests that ran for them were still worked on 500 ms later",
        seen.left_at.len()
    ));
    Ok(4 * overdue <= lasting)
}

/// Reads a stream until it ends or nothing has come for [`GAP`](stream::GAP); returns whether it is complete.
fn client(front: SocketAddr, number: u32, seen: &Mutex<Seen>) -> bool {
    let id = format!("{number:016x}");
    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "12000")];
    match stream::request(front, "POST /p/x", &headers, "prompt") {
        Ok(answer) => answer.is_complete,
        Err(err) if err.kind() == io::ErrorKind::TimedOut => {
            seen.lock().unwrap().left_at.insert(id, Instant::now());
            false
        }
        Err(_) => false,
    }
}

fn behaviour(id: &str, seen: Arc<Mutex<Seen>>) -> Behaviour {
    let server = id.to_string();
    Arc::new(move |connection, request| {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.runs.push(Run {
                id: request.header("x-request-id").unwrap_or("").to_string(),
                server: server.clone(),
                is_resumed: request.header("last-event-id").is_some(),
                arrived_at: Instant::now(),
                ended_at: None,
            });
            seen.runs.len() - 1
        };
        let result = stream_events(connection, request);
        seen.lock().unwrap().runs[number].ended_at = Some(Instant::now());
        result
    })
}

/// Sends the events of a stream, or the further ones of a stream that is resumed.
fn stream_events(connection: &mut TcpStream, request: &Message) -> io::Result<bool> {
    let last_id = request
        .header("last-event-id")
        .and_then(|id| id.parse::<u32>().ok());
    if last_id.is_some() {
        stream::wait(connection, RESUMED_AFTER)?;
    }
    let first = last_id.unwrap_or(0) + 1;
    stream::send_events(connection, request, first..=EVENTS, EVENT_INTERVAL)
}
