//! Answers whose status, fields or trailers are invalid, which no client may take for an answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use laburnumlug::BootTime;
use laburnumlug_http::{ConnectionPool, Error, SendError, send, send_before};

const TIMEOUT: Duration = Duration::from_secs(5);

const LIMIT: usize = 1000;

/// Status codes that no final response has, by RFC 9110, section 15.
const STATUSES: [&str; 11] = [
    "000", "001", "099", "101", "0200", "20", "2OO", "-20", "600", "999", "1000",
];

const FIELDS: [&[u8]; 15] = [
    b"x bad: 1",
    b"x-bad : 1",
    b"x-bad\t: 1",
    b"x\x00bad: 1",
    b"x\x01bad: 1",
    b"x\x0bbad: 1",
    b"x\x7fbad: 1",
    b"x\xe9bad: 1",
    b": 1",
    b"x-bad",
    b" folded",
    b"\tfolded",
    b"x-bad: a\x00b",
    b"x-bad: a\x01b",
    b"x-bad: a\rb",
];

/// Starts a server that gives each request on a connection `answers` in turn, and closes it after the last one.
fn start_server(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            for answer in &answers {
                match stream.read(&mut [0; 4096]) {
                    Ok(1..) => {}
                    _ => break,
                }
                let _ = stream.write_all(answer);
            }
        }
    });
    addr
}

fn request() -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/x")
        .header("host", "h.example")
        .body(Full::new(Bytes::from("body")))
        .unwrap()
}

async fn send_pooled(pool: &ConnectionPool, addr: SocketAddr, id: &str) -> Result<Bytes, Error> {
    match pool.send(Instant::now(), addr, id, request()).await {
        Ok(mut response) => {
            let body = response.bytes(LIMIT).await?;
            pool.recycle(Instant::now(), response);
            Ok(body)
        }
        Err(SendError::Sent(err)) => Err(err),
        Err(err) => panic!("{err:?}"),
    }
}

/// Checks that no client takes `answer` for one, on a new connection or on one that has carried a sound answer.
async fn assert_is_refused(answer: &[u8]) {
    let shown = String::from_utf8_lossy(answer);
    let addr = start_server(vec![answer.to_vec()]);
    if let Ok(mut response) = send(addr, request(), TIMEOUT).await {
        let body = response.bytes(LIMIT).await;
        assert!(body.is_err(), "{shown:?}: {}", response.status());
    }
    let expires_at = BootTime::now().since_boot() + TIMEOUT;
    let sent = send_before(addr, request(), expires_at, LIMIT).await;
    assert!(sent.is_err(), "{shown:?}: {sent:?}");
    let sound = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";
    let addr = start_server(vec![sound.to_vec(), answer.to_vec()]);
    let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
    assert_eq!(send_pooled(&pool, addr, "r-1").await.unwrap(), "sound");
    let sent = send_pooled(&pool, addr, "r-2").await;
    assert!(sent.is_err(), "{shown:?}: {sent:?}");
    // The connection of a broken answer carries no further request.
    assert_eq!(send_pooled(&pool, addr, "r-3").await.unwrap(), "sound");
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Returns an answer with further lines in its head and in its trailers.
fn answer(first: &[u8], last: &[u8], framing: &str, trailer: &[u8]) -> Vec<u8> {
    let mut buf = b"HTTP/1.1 200 OK\r\n".to_vec();
    for line in [first, framing.as_bytes(), last] {
        buf.extend_from_slice(line);
        if !line.is_empty() {
            buf.extend_from_slice(b"\r\n");
        }
    }
    buf.extend_from_slice(b"\r\n");
    if framing.starts_with("transfer-encoding") {
        buf.extend_from_slice(b"4\r\nbody\r\n0\r\n");
        buf.extend_from_slice(trailer);
        buf.extend_from_slice(b"\r\n\r\n");
    } else {
        buf.extend_from_slice(b"body");
    }
    buf
}

/// The answers of these tests are read with a valid head and valid trailers.
#[test]
fn head_valid() {
    block_on(async {
        for framing in ["content-length: 4", "transfer-encoding: chunked", ""] {
            let answer = answer(b"x-first: 1", b"x-last: 1", framing, b"x-trailer: 1");
            let addr = start_server(vec![answer]);
            let mut response = send(addr, request(), TIMEOUT).await.unwrap();
            assert_eq!(response.bytes(LIMIT).await.unwrap(), "body", "{framing}");
        }
        for status in [200, 299, 302, 404, 499, 503, 599] {
            let head = format!("HTTP/1.1 {status} x\r\ncontent-length: 4\r\n");
            let addr = start_server(vec![format!("{head}\r\nbody").into_bytes()]);
            let response = send(addr, request(), TIMEOUT).await.unwrap();
            assert_eq!(response.status(), status);
        }
    });
}

#[test]
fn status_invalid() {
    block_on(async {
        for status in STATUSES {
            for framing in ["content-length: 4\r\n", ""] {
                let answer = format!("HTTP/1.1 {status} x\r\n{framing}\r\nbody");
                assert_is_refused(answer.as_bytes()).await;
            }
        }
    });
}

#[test]
fn status_line_invalid() {
    block_on(async {
        for line in [
            "HTTP/1.1",
            "HTTP/1.1 ",
            "HTTP/2.0 200 OK",
            "HTTP/1.1200 OK",
            "HTTP 200 OK",
            "200 OK",
            "HTTP/1.1 200 O\u{1}K",
        ] {
            let answer = format!("{line}\r\ncontent-length: 4\r\n\r\nbody");
            assert_is_refused(answer.as_bytes()).await;
        }
    });
}

#[test]
fn field_invalid() {
    block_on(async {
        for field in FIELDS {
            for framing in ["content-length: 4", ""] {
                assert_is_refused(&answer(field, b"x-last: 1", framing, b"")).await;
                assert_is_refused(&answer(b"x-first: 1", field, framing, b"")).await;
            }
        }
    });
}

#[test]
fn interim_response_invalid() {
    block_on(async {
        let sound = answer(b"x-first: 1", b"x-last: 1", "content-length: 4", b"");
        for field in FIELDS {
            let interim = [
                b"HTTP/1.1 103 Early Hints\r\nx-first: 1\r\n",
                field,
                b"\r\n\r\n",
            ];
            assert_is_refused(&[interim.concat(), sound.clone()].concat()).await;
        }
    });
}

#[test]
fn trailer_invalid() {
    block_on(async {
        for field in [
            &b"x bad: 1"[..],
            b"x-bad : 1",
            b"x\x01bad: 1",
            b"x-bad: a\x01b",
        ] {
            let framing = "transfer-encoding: chunked";
            assert_is_refused(&answer(b"", b"", framing, field)).await;
        }
    });
}

#[test]
fn length_invalid() {
    block_on(async {
        for framing in [
            "content-length: +4",
            "content-length: -4",
            "content-length: 4, 5",
            "content-length: 4x",
            "content-length: 4\r\ncontent-length: 3",
            "transfer-encoding: chunked\r\ncontent-length: 4",
        ] {
            let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\nbody");
            assert_is_refused(answer.as_bytes()).await;
        }
    });
}

#[test]
fn chunk_size_invalid() {
    block_on(async {
        for size in ["", "x", "-4", "+4", "4 4", "ffffffffffffffffff"] {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";
            let answer = format!("{head}\r\n{size}\r\nbody\r\n0\r\n\r\n");
            assert_is_refused(answer.as_bytes()).await;
        }
    });
}
