//! Servers that take as long as each request asks, some of which fail at moments that the id of the request decides.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_linger;

use crate::answers::{Answer, Manner, answer};
use crate::harness::free_addr;
use crate::wire::{read_body, read_head};

/// Interval at which a server that works looks whether its connection is still open.
const WORK_STEP: Duration = Duration::from_millis(20);

/// How the work of a server on a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Running,
    /// The server sent its whole answer.
    Complete,
    /// The server stated that it has not executed the request.
    Refused,
    /// The server ended its answer before it was complete, or sent something else than the answer.
    BrokenOff,
    /// The gateway closed the connection while the server was at work.
    Abandoned,
}

/// Request that a server got, and its outcome.
#[derive(Clone, Debug)]
pub struct ServerRun {
    pub id: String,
    pub instance: String,
    /// Method, path and body.
    pub content: String,
    pub began_at: Instant,
    pub ended_at: Option<Instant>,
    pub outcome: Outcome,
}

/// Requests that all servers of a soak got.
pub type RunLog = Arc<Mutex<Vec<ServerRun>>>;

/// Server in threads of the test process, which ends when it is dropped.
pub struct Server {
    pub addr: SocketAddr,
    pub identity: Identity,
    is_leaving: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
}

/// What a server is.
#[derive(Clone)]
pub struct Identity {
    pub instance: String,
    /// Version of its software.
    pub version: &'static str,
    pub manner: Manner,
}

impl Server {
    pub fn start(identity: Identity, log: &RunLog) -> Server {
        let addr = free_addr();
        let listener = TcpListener::bind(addr).unwrap();
        let server = Server {
            addr,
            identity: identity.clone(),
            is_leaving: Arc::default(),
            is_gone: Arc::default(),
        };
        let (is_leaving, is_gone) = (server.is_leaving.clone(), server.is_gone.clone());
        let log = log.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (identity, log) = (identity.clone(), log.clone());
                let (is_leaving, is_gone) = (is_leaving.clone(), is_gone.clone());
                if is_gone.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    let _ = reader.get_mut().set_nodelay(true);
                    let is_kept = |reader: &mut _| serve_next(reader, &identity, &is_leaving, &log);
                    while is_kept(&mut reader) && !is_gone.load(Ordering::Relaxed) {}
                });
            }
        });
        server
    }

    /// Makes the server close each connection after its answer.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_gone.store(true, Ordering::Relaxed);
        // A last connection ends the wait for connections.
        let _ = TcpStream::connect(self.addr);
    }
}

/// Answers the next request on a connection, and returns whether the connection is kept.
fn serve_next(
    reader: &mut BufReader<TcpStream>,
    identity: &Identity,
    is_leaving: &AtomicBool,
    log: &RunLog,
) -> bool {
    let mut body = Vec::new();
    let head = read_head(reader);
    let head = head.filter(|head| read_body(reader, head, false, usize::MAX, &mut body));
    let Some(head) = head else { return false };
    let mut hasher = DefaultHasher::new();
    (head.get("x-request-id"), &identity.instance).hash(&mut hasher);
    let draw = hasher.finish();
    let answer = answer(
        &head,
        identity,
        is_leaving.load(Ordering::Relaxed),
        draw % 100,
    );
    let stream = reader.get_mut();
    if answer.is_run {
        log.lock().unwrap().push(ServerRun {
            id: head.get("x-request-id").unwrap_or("").to_string(),
            instance: identity.instance.clone(),
            content: format!(
                "{} {}",
                head.start[..2].join(" "),
                String::from_utf8_lossy(&body)
            ),
            began_at: Instant::now(),
            ended_at: None,
            outcome: Outcome::Running,
        });
    }
    let index = log.lock().unwrap().len() - usize::from(answer.is_run);
    let outcome = match send(stream, &answer) {
        true => answer.outcome,
        false if answer.begins_invalid => Outcome::BrokenOff,
        false => Outcome::Abandoned,
    };
    if answer.is_run {
        let run = &mut log.lock().unwrap()[index];
        (run.outcome, run.ended_at) = (outcome, Some(Instant::now()));
    }
    if outcome == Outcome::BrokenOff && draw.is_multiple_of(200) {
        // The connection is reset instead of closed.
        let _ = set_socket_linger(stream, Some(Duration::ZERO));
    }
    answer.keeps_connection && matches!(outcome, Outcome::Complete | Outcome::Refused)
}

/// Sends an answer, and returns whether the connection was open all the while.
fn send(stream: &mut TcpStream, answer: &Answer) -> bool {
    answer.pieces.iter().all(|(time, bytes)| {
        work_for(stream, *time)
            && bytes.as_bytes().chunks(answer.write_len).all(|part| {
                let is_sent = stream.write_all(part).is_ok();
                if part.len() == answer.write_len {
                    std::thread::sleep(Duration::from_millis(1));
                }
                is_sent
            })
    })
}

/// Waits for `time`, and returns whether the connection was open all the while.
fn work_for(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let mut byte = [0; 1];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let _ = stream.set_read_timeout(Some(left.min(WORK_STEP)));
        let peeked = stream.peek(&mut byte);
        let _ = stream.set_read_timeout(None);
        match peeked {
            Ok(1..) => std::thread::sleep(left.min(WORK_STEP)),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Ok(0) | Err(_) => return false,
        }
    }
}
