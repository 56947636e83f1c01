//! Many clients at once that send most of a request, and then stay connected.

use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::runtime::JoinHandle;

/// Deadline that all requests state.
const DEADLINE_MS: u32 = 20_000;

/// Time without an answer after which an ordinary caller gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What each client of a crowd sends: a head, and a piece several times.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    head: &'static [u8],
    piece: &'static [u8],
    pieces: usize,
}

impl Script {
    /// Sends `bytes` once, and nothing further.
    pub fn bytes(bytes: Vec<u8>) -> Script {
        Script {
            head: bytes.leak(),
            piece: &[],
            pieces: 0,
        }
    }

    /// Announces a body of `announced` bytes and sends `sent` of them, in pieces of at most `piece`.
    pub fn announced(path: &str, announced: usize, sent: usize, piece: usize) -> Script {
        let pieces = sent / piece;
        let mut head = head(path, &format!("Content-Length: {announced}"));
        head.resize(head.len() + sent % piece, b'x');
        Script {
            head: head.leak(),
            piece: vec![b'x'; piece].leak(),
            pieces,
        }
    }

    /// Sends a body in chunks without its last one.
    pub fn chunked(path: &str, chunk: usize, chunks: usize) -> Script {
        let mut piece = format!("{chunk:x}\r\n").into_bytes();
        piece.resize(piece.len() + chunk, b'x');
        piece.extend_from_slice(b"\r\n");
        // Small chunks are written many at a time.
        let batch = (16 * 1024 / piece.len()).max(1);
        Script {
            head: head(path, "Transfer-Encoding: chunked").leak(),
            piece: piece.repeat(batch).leak(),
            pieces: chunks.div_ceil(batch),
        }
    }

    /// Repeats `piece` after the head of a request with this header.
    pub fn repeated(path: &str, header: &str, piece: Vec<u8>, pieces: usize) -> Script {
        Script {
            head: head(path, header).leak(),
            piece: piece.leak(),
            pieces,
        }
    }

    async fn play(self, mut stream: TcpStream) -> TcpStream {
        if stream.write_all(self.head).await.0.is_ok() {
            for _ in 0..self.pieces {
                if stream.write_all(self.piece).await.0.is_err() {
                    break;
                }
            }
        }
        stream
    }
}

/// Returns the head of a request with one further header.
pub fn head(path: &str, header: &str) -> Vec<u8> {
    let id = rand::random::<u64>();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id:016x}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{header}\r\n\r\n"
    )
    .into_bytes()
}

/// Clients that are connected until they are dropped.
pub struct Crowd {
    _clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects `clients` clients at once, each of which plays `script` and then stays connected.
    pub fn start(addr: SocketAddr, clients: usize, script: Script) -> Crowd {
        let clients = (0..clients).map(|_| {
            compio::runtime::spawn(async move {
                if let Ok(stream) = TcpStream::connect(addr).await {
                    let _stream = script.play(stream).await;
                    std::future::pending::<()>().await;
                }
            })
        });
        Crowd {
            _clients: clients.collect(),
        }
    }
}

/// Sends one whole request on a new connection and returns the status of its answer, or `None` without one.
pub async fn send(addr: SocketAddr, method: &str, path: &str, body_bytes: usize) -> Option<u16> {
    let id = rand::random::<u64>();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id:016x}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: {body_bytes}\r\nConnection: close\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    exchange(addr, request).await
}

/// Sends a request whose body stops short of its end, and returns the status of its answer.
pub async fn send_part(addr: SocketAddr, path: &str, deadline_ms: u32) -> Option<u16> {
    let former = format!("X-Deadline-Ms: {DEADLINE_MS}");
    let head = String::from_utf8(head(path, "Content-Length: 2")).unwrap();
    let head = head.replace(&former, &format!("X-Deadline-Ms: {deadline_ms}"));
    exchange(addr, (head + "x").into_bytes()).await
}

async fn exchange(addr: SocketAddr, request: Vec<u8>) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        // A refusal may arrive before the request was written in full.
        let _ = stream.write_all(request).await;
        let BufResult(read, answer) = stream.read(Vec::with_capacity(1024)).await;
        read.ok()?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        answer.split(' ').nth(1)?.parse().ok()
    };
    compio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
}
