//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or a response.
pub struct Head {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; returns `None` at the end of the connection.
pub fn read_head<R>(reader: &mut R) -> io::Result<Option<Head>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_string(), value.trim().to_string())),
            None => return Ok(Some(Head { start, headers })),
        }
    }
}

/// Reads a body by its length or its chunks into `body`; returns whether it is whole. A body with neither ends with the connection.
pub fn read_body<R>(reader: &mut R, head: &Head, body: &mut Vec<u8>) -> io::Result<bool>
where
    R: BufRead,
{
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let Ok(len) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            let read = reader.take(len as u64).read_to_end(body)?;
            let mut end = String::new();
            if read < len || reader.read_line(&mut end)? == 0 {
                return Ok(false);
            }
            if len == 0 {
                return Ok(true);
            }
        }
    }
    if let Some(len) = head.get("content-length") {
        let len: u64 = len.parse().unwrap_or(0);
        return Ok(reader.take(len).read_to_end(body)? as u64 == len);
    }
    reader.read_to_end(body)?;
    Ok(true)
}

/// Answer as a client sees it.
#[derive(Debug, Default)]
pub struct Answer {
    /// Status, or 0 without a head.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub is_complete: bool,
    /// How the exchange ended if it does not.
    pub error: String,
}

/// Sends one request on a new connection and reads its answer.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let mut answer = Answer::default();
    if let Err(err) = exchange(addr, request, timeout, &mut answer) {
        answer.is_complete = false;
        answer.error = err.to_string();
    }
    answer
}

fn exchange(
    addr: SocketAddr,
    request: &[u8],
    timeout: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.head = head.start.clone();
    for (name, value) in &head.headers {
        answer.head += &format!(" | {name}: {value}");
    }
    answer.is_complete = read_body(&mut reader, &head, &mut answer.body)?;
    if !answer.is_complete {
        answer.error = "the connection ended within the body".to_string();
    }
    Ok(())
}
