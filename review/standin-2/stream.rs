//! Event streams, as servers send and clients read them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Gap after which clients abandon a stream: two seconds, more than four times the objective and eight times the pause of the
/// routes here.
pub const GAP: Duration = Duration::from_millis(2000);

/// Answer that a client has read.
pub struct Answer {
    pub status: u16,
    /// Whether it is a success with its end.
    pub is_complete: bool,
    /// Head and body.
    pub text: String,
}

/// Sends a request and reads its answer.
///
/// Fails with [`io::ErrorKind::TimedOut`] if nothing has come for [`GAP`]; the connection is closed then.
pub fn request(
    front: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(GAP))?;
    stream.write_all(http::request_text(request, headers, body).as_bytes())?;
    let (mut all, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        let n = match stream.read(&mut buf) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            result => result?,
        };
        all.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&all).into_owned();
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.unwrap_or(0);
        let has_end = text.ends_with("0\r\n\r\n");
        // A refusal has a length, and the client sends nothing further on its connection.
        let is_refusal = status >= 300 && text.contains("\r\n\r\n");
        if n == 0 || has_end || is_refusal {
            return Ok(Answer {
                status,
                is_complete: status == 200 && has_end,
                text,
            });
        }
    }
}

/// Sends the head of an answer and its events; ends early once the connection is closed, as most servers do.
pub fn send_events(
    stream: &mut TcpStream,
    request: &Message,
    ids: RangeInclusive<u32>,
    interval: Duration,
) -> io::Result<bool> {
    let id = request.header("x-request-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Request-Id: {id}\r\nX-Server-Seal: seal\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in ids {
        let text = format!("id: {event}\ndata: {event}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        wait(stream, interval)?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Waits, unless the connection is closed before.
pub fn wait(stream: &mut TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return stream.set_read_timeout(None);
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => sleep(left.min(Duration::from_millis(10))),
            Err(err)
                if matches!(
                    err.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(err) => return Err(err),
        }
    }
}
