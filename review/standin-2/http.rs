//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest head or body that is read.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A request or an answer with a length.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0 if the message is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; what follows it in the buffer stays in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let mut buf = [0; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let start = lines.next().unwrap_or("").to_string();
            let headers = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_ascii_lowercase(), value.trim().to_string()))
            });
            let headers = headers.collect();
            return Ok(Message {
                start,
                headers,
                body: Vec::new(),
            });
        }
        match stream.read(&mut buf)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ if rest.len() > MAX_BYTES => return Err(io::ErrorKind::InvalidData.into()),
            n => rest.extend_from_slice(&buf[..n]),
        }
    }
}

/// Reads a message whose body has a length, or none.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Message> {
    let mut message = read_head(stream, rest)?;
    let length = message.header("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut buf = [0; 4096];
    while rest.len() < length.min(MAX_BYTES) {
        match stream.read(&mut buf)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => rest.extend_from_slice(&buf[..n]),
        }
    }
    message.body = rest.drain(..length.min(MAX_BYTES)).collect();
    Ok(message)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// Sends one request on a new connection and returns its answer.
pub fn call(
    addr: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request_text(request, headers, body).as_bytes())?;
    read_message(&mut stream, &mut Vec::new())
}

/// Returns the text of a request; `request` is its method and its path.
pub fn request_text(request: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{request} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += "Host: h.example\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + "\r\n" + body
}
