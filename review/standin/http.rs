//! The parts of HTTP/1.1 that the stand-ins and the client need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let header = headers.iter().find(|(key, _)| key == name);
    header.map_or("", |(_, value)| value.as_str())
}

/// Serves requests one after another on each connection, with a thread for each connection.
///
/// `answer` writes the whole answer; a connection is closed once it fails.
pub fn serve<F>(addr: SocketAddr, answer: F) -> io::Result<()>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_request(&mut stream) {
                    if answer(&request, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Writes an answer with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{text}\r\n{body}").as_bytes())
}

fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let Some((first, headers, rest)) = read_head(stream)? else {
        return Ok(None);
    };
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let body = read_exactly(stream, rest, length)?;
    let mut words = first.split(' ');
    Ok(Some(Request {
        method: words.next().unwrap_or("").to_string(),
        path: words.next().unwrap_or("").to_string(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

type Head = (String, Vec<(String, String)>, Vec<u8>);

fn read_head(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or("").to_string();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
            return Ok(Some((first, headers.collect(), bytes[end + 4..].to_vec())));
        }
        match stream.read(&mut chunk)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            len => bytes.extend_from_slice(&chunk[..len]),
        }
    }
}

fn read_exactly(stream: &mut TcpStream, mut bytes: Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    let mut chunk = [0; 4096];
    while bytes.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            len => bytes.extend_from_slice(&chunk[..len]),
        }
    }
    Ok(bytes)
}

/// An answer as a client receives it.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body has arrived to its end.
    pub is_complete: bool,
}

/// Sends one request on a new connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let mut client = Client::connect(addr)?;
    client.call(method, path, headers, body, Duration::from_secs(10))
}

/// A client with a kept connection.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream })
    }

    /// Sends a request and reads the answer; an error means that not even the head of an answer has arrived.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !headers.iter().any(|(name, _)| *name == "host") {
            text.push_str("host: review.example\r\n");
        }
        self.stream.write_all(format!("{text}\r\n{body}").as_bytes())?;
        let Some((first, headers, rest)) = read_head(&mut self.stream)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let is_chunked = find(&headers, "transfer-encoding").contains("chunked");
        let (body, is_complete) = match is_chunked {
            true => read_chunks(&mut self.stream, rest),
            false => {
                let length = find(&headers, "content-length").parse().unwrap_or(0);
                match read_exactly(&mut self.stream, rest, length) {
                    Ok(body) => (body, true),
                    Err(_) => (Vec::new(), false),
                }
            }
        };
        Ok(Answer {
            status,
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_complete,
        })
    }
}

/// Reads a chunked body; returns what has arrived of it and whether its last chunk has.
fn read_chunks(stream: &mut TcpStream, mut bytes: Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while let Some(line_end) = bytes.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8_lossy(&bytes[..line_end]).into_owned();
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let start = line_end + 2;
            if bytes.len() < start + length + 2 {
                break;
            }
            body.extend_from_slice(&bytes[start..start + length]);
            bytes.drain(..start + length + 2);
            if length == 0 {
                return (body, true);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return (body, false),
            Ok(len) => bytes.extend_from_slice(&chunk[..len]),
        }
    }
}
