//! HTTP/1.1 messages on blocking sockets, whose bytes and times the soak decides by itself.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Parts of the first line.
    pub start: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, whose name is in lowercase.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|header| header.0 == name)
            .map(|header| header.1.as_str())
    }

    /// Returns whether the connection ends with this response.
    pub fn ends_connection(&self) -> bool {
        let has_length =
            self.get("content-length").is_some() || self.get("transfer-encoding").is_some();
        !has_length
            || self
                .get("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the next head; `None` if the connection ends, fails or is silent for too long before that.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let line = read_line(reader)?;
    let start = line.split(' ').map(str::to_string).collect();
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        match line.split_once(':') {
            _ if line.is_empty() => return Some(Head { start, headers }),
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
            }
            None => return None,
        }
    }
}

/// Appends a body to `body`, and returns whether it is complete.
///
/// A body without a length ends with the connection if `may_end_connection`, and is empty otherwise. A body in chunks is read
/// no further once it has `limit` bytes.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    may_end_connection: bool,
    limit: usize,
    body: &mut Vec<u8>,
) -> bool {
    if head.get("transfer-encoding").is_some() {
        return read_chunks(reader, limit, body).is_some();
    }
    match head.get("content-length").map(str::parse) {
        Some(Ok(len)) => read_bytes(reader, len, body).is_some(),
        Some(Err(_)) => false,
        None => !may_end_connection || reader.read_to_end(body).is_ok(),
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, limit: usize, body: &mut Vec<u8>) -> Option<()> {
    while body.len() < limit {
        let line = read_line(reader)?;
        let size = line.split(';').next()?.trim();
        let len = u64::from_str_radix(size, 16).ok()?;
        read_bytes(reader, len, body)?;
        let end = read_line(reader)?;
        match (len, end.is_empty()) {
            (0, true) => return Some(()),
            (_, true) => {}
            (_, false) => return None,
        }
    }
    None
}

fn read_bytes(reader: &mut BufReader<TcpStream>, len: u64, body: &mut Vec<u8>) -> Option<()> {
    let count = reader.take(len).read_to_end(body).ok()?;
    (count as u64 == len).then_some(())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.strip_suffix("\r\n").map(str::to_string)
}
