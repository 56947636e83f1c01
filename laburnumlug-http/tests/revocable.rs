//! Calls that must not reach the peer after a given time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use laburnumlug::BootTime;
use laburnumlug_http::send_before;

const LIMIT: usize = 1024;

fn request() -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/x")
        .body(Full::new(Bytes::from("body")))
        .unwrap()
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

#[test]
fn send_before_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(response).unwrap();
        let _ = stream.read(&mut [0; 4096]);
    });
    let expires_at = BootTime::now().since_boot() + Duration::from_secs(5);
    let answer = block_on(send_before(addr, request(), expires_at, LIMIT)).unwrap();
    assert_eq!(answer, (200, Bytes::from("ok")));
}

/// A connection that is merely closed goes on sending what the peer has not acknowledged, so the call of a
/// superseded sender could still arrive. It must be reset.
#[test]
fn send_before_unanswered_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while stream.read(&mut [0; 4096])? > 0 {}
        Ok::<(), std::io::Error>(())
    });
    let started_at = Instant::now();
    let expires_at = BootTime::now().since_boot() + Duration::from_millis(200);
    let result = block_on(send_before(addr, request(), expires_at, LIMIT));
    assert!(!result.unwrap_err().is_connect());
    assert!(started_at.elapsed() < Duration::from_secs(2));
    let read = peer.join().unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// A process that was frozen until the time has passed must send nothing.
#[test]
fn send_before_expired() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let result = block_on(send_before(
        addr,
        request(),
        BootTime::now().since_boot(),
        LIMIT,
    ));
    assert!(result.unwrap_err().is_connect());
}
