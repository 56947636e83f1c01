//! A server of a service, in a process of its own.
//!
//! It answers with a length, without one (the answer then ends with its connection), or with a stream of events, as the last
//! part of the path says. While the file `leaving` exists, all its answers state that it is leaving.

use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// Number of parts of an answer without a length, and the time between two of them.
pub const PARTS: usize = 10;
pub const PART_GAP: Duration = Duration::from_millis(500);

/// Returns the time of day in milliseconds.
pub fn unix_millis() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

#[derive(Clone)]
struct Server {
    id: String,
    /// When this incarnation started, in Unix milliseconds.
    born: u128,
    log: PathBuf,
    leaving: PathBuf,
}

/// Runs the server, whose listening socket is its standard input, until its process is killed.
pub fn run(id: &str, log: PathBuf, leaving: PathBuf) {
    let listener = std::io::stdin().as_fd().try_clone_to_owned();
    let listener = TcpListener::from(listener.expect("the standard input is a socket"));
    let server = Server {
        id: id.to_string(),
        born: unix_millis(),
        log,
        leaving,
    };
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        std::thread::spawn(move || server.serve(stream));
    }
}

/// Returns the bytes of one part of the answer to a request.
pub fn part(id: &str, number: usize, is_event: bool) -> String {
    match is_event {
        true => format!("id: {number}\ndata: piece {number} of {PARTS} for {id}\n\n"),
        false => format!("[part {number} of {PARTS} for {id}]\n"),
    }
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let mut body = Vec::new();
            if head.get("content-length").is_some() || head.get("transfer-encoding").is_some() {
                let _ = read_body(&mut reader, &head, &mut body);
            }
            if !self.answer(&head, &mut writer).unwrap_or(false) {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection goes on.
    fn answer(&self, head: &Head, writer: &mut TcpStream) -> std::io::Result<bool> {
        let is_leaving = self.leaving.exists();
        let leaving = match is_leaving {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let id = head.get("x-request-id").unwrap_or("").to_string();
        let path = head.path().to_string();
        if path == "/health" || path == "/report" {
            let status = if is_leaving && path == "/health" {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let (instance, body) = (&self.id, format!("{{\"born\":{}}}", self.born));
            write!(
                writer,
                "HTTP/1.1 {status}\r\nX-Instance-Id: {instance}\r\n{leaving}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            return Ok(true);
        }
        if head
            .get("x-target-instance")
            .is_some_and(|instance| instance != self.id)
        {
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        if id.is_empty() {
            write!(
                writer,
                "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        self.record(&format!("runs {id} {path} at {}", unix_millis()));
        let common = format!("X-Request-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n{leaving}");
        if path.ends_with("/quick") {
            sleep(Duration::from_millis(15));
            let body = part(&id, 1, false);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            self.record(&format!("answered {id}"));
            return Ok(true);
        }
        let is_event = path.ends_with("/events");
        let kind = match is_event {
            true => "text/event-stream",
            false => "text/plain",
        };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{common}Content-Type: {kind}\r\nConnection: close\r\n\r\n"
        )?;
        for number in 1..=PARTS {
            writer.write_all(part(&id, number, is_event).as_bytes())?;
            self.record(&format!("sent part {number} of {PARTS} of {id}"));
            if number < PARTS {
                sleep(PART_GAP);
            }
        }
        self.record(&format!("answered {id}"));
        Ok(false)
    }

    fn record(&self, text: &str) {
        let file = OpenOptions::new().create(true).append(true).open(&self.log);
        if let Ok(mut file) = file {
            let _ = file.write_all(format!("server {}: {text}\n", self.id).as_bytes());
        }
    }
}
