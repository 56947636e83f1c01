//! Peers that send without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use laburnumlug_mesh::{Connection, MeshKey};

/// Time after which the handshake of an accepted connection fails, and that for which a peer sends.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a process may do nothing else: the latency objective of most routes.
const MAX_PAUSE: Duration = Duration::from_secs(1);

const CLIENT_HEAD: &str = "GET /mesh HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
    sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

/// Frames of a peer that connects: an empty ping, and an empty part of a text that goes on.
const CLIENT_FRAMES: [&[u8]; 2] = [&[0x89, 0x80, 0, 0, 0, 0], &[0x00, 0x80, 0, 0, 0, 0]];

/// Writes the head of an upgrade and waits for the answer to it.
fn upgrade(stream: &mut TcpStream) {
    stream.write_all(CLIENT_HEAD.as_bytes()).unwrap();
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut buf = [0; 1024];
        let len = stream.read(&mut buf).unwrap();
        assert!(len > 0);
        answer.extend_from_slice(&buf[..len]);
    }
}

/// Writes `first`, and then `repeated` until the connection is closed or [`HANDSHAKE_TIMEOUT`] is over twice.
fn write_without_end(mut stream: TcpStream, first: &[u8], repeated: &[u8]) {
    let block = repeated.repeat(64 * 1024 / repeated.len());
    let mut received = stream.try_clone().unwrap();
    let first = first.to_vec();
    std::thread::spawn(move || {
        let mut buf = vec![0; 64 * 1024];
        while matches!(received.read(&mut buf), Ok(1..)) {}
    });
    std::thread::spawn(move || {
        let began_at = Instant::now();
        let mut is_open = stream.write_all(&first).is_ok();
        while is_open && began_at.elapsed() < 2 * HANDSHAKE_TIMEOUT {
            is_open = stream.write_all(&block).is_ok();
        }
    });
}

/// Runs `work`, which must fail in time, and asserts that a timer gets its turn meanwhile.
async fn assert_fails_in_time<F, T, E>(case: &str, work: F)
where
    F: Future<Output = Result<T, E>> + 'static,
    T: 'static,
    E: 'static,
{
    let began_at = Instant::now();
    let task = compio::runtime::spawn(async move { work.await.is_err() });
    let mut longest = Duration::ZERO;
    while !task.is_finished() {
        let slept_at = Instant::now();
        compio::time::sleep(Duration::from_millis(10)).await;
        longest = longest.max(slept_at.elapsed());
    }
    let taken = began_at.elapsed();
    println!("{case}: failed after {taken:?}, longest pause {longest:?}");
    assert!(task.await.unwrap(), "{case}");
    assert!(longest < MAX_PAUSE, "{case}: {longest:?}");
    assert!(taken < HANDSHAKE_TIMEOUT + MAX_PAUSE, "{case}: {taken:?}");
}

/// Guards against a process that reads from one peer for as long as there are bytes, and does nothing else meanwhile.
#[test]
fn endless_frames_to_accepting_peer() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let text_begins: &[u8] = &[0x01, 0x80, 0, 0, 0, 0];
        for (is_upgraded, first, repeated) in [
            (true, [].as_slice(), CLIENT_FRAMES[0]),
            (true, text_begins, CLIENT_FRAMES[1]),
            (false, b"GET /mesh HTTP/1.1\r\n", b"x-many: a\r\n"),
            (false, b"GET /", b"a"),
        ] {
            let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(addr).unwrap();
                if is_upgraded {
                    upgrade(&mut stream);
                }
                write_without_end(stream, first, repeated);
            });
            let (stream, _) = listener.accept().await.unwrap();
            let key = MeshKey::new("key-of-the-test-key-of-the-test-");
            let accepting = async move { Connection::accept(stream, &key).await };
            assert_fails_in_time(&format!("accept, {repeated:?}"), accepting).await;
        }
    });
}

/// Like [`endless_frames_to_accepting_peer`], for a process that connects.
#[test]
fn endless_answer_to_connecting_peer() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for (first, repeated) in [
            ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            ("HTTP/1.1 101 Switching Protocols\r\n", "x-many: a\r\n"),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let addr: SocketAddr = listener.local_addr().unwrap();
            std::thread::spawn(move || {
                let (stream, _) = listener.accept().unwrap();
                write_without_end(stream, first.as_bytes(), repeated.as_bytes());
            });
            let key = MeshKey::new("key-of-the-test-key-of-the-test-");
            let connecting =
                async move { Connection::connect(addr, &key, HANDSHAKE_TIMEOUT).await };
            assert_fails_in_time(&format!("connect, {repeated:?}"), connecting).await;
        }
    });
}
