//! Callers that send without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Server, discard_body, text_response};

/// Time for which a caller sends.
const SEND_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a server may do nothing else: the latency objective of most routes.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Sends `first`, and then `repeated` until [`SEND_TIME`] is over or the connection is closed, while another thread reads the
/// answers.
fn send_without_end(addr: SocketAddr, first: &str, repeated: &str) {
    let mut stream = TcpStream::connect(addr).unwrap();
    let mut answers = stream.try_clone().unwrap();
    let (first, block) = (
        first.to_string(),
        repeated.repeat(64 * 1024 / repeated.len()),
    );
    std::thread::spawn(move || {
        let mut buf = vec![0; 64 * 1024];
        while matches!(answers.read(&mut buf), Ok(1..)) {}
    });
    std::thread::spawn(move || {
        let began_at = Instant::now();
        let mut is_open = stream.write_all(first.as_bytes()).is_ok();
        while is_open && began_at.elapsed() < SEND_TIME {
            is_open = stream.write_all(block.as_bytes()).is_ok();
        }
    });
}

/// Guards against a server that reads from one caller for as long as there are bytes, and serves no other meanwhile.
#[test]
fn endless_request() {
    let cases = [
        ("", "\r\n"),
        ("GET /", "a"),
        ("GET / HTTP/1.1\r\nhost: h\r\nx-long: ", "a"),
        ("GET / HTTP/1.1\r\nhost: h\r\n", "x-many: a\r\n"),
        ("", "GET / HTTP/1.1\r\nhost: h\r\n\r\n"),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1073741824\r\n\r\n",
            "a",
        ),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n",
            "1\r\na\r\n",
        ),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1;",
            "a",
        ),
    ];
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for (first, repeated) in cases {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let server = Server::new(listener, Limits::default());
            let handler = Rc::new(|req: laburnumlug_http::Request| async {
                discard_body(req.into_body());
                text_response(200, "x")
            });
            compio::runtime::spawn(server.run(handler)).detach();
            send_without_end(addr, first, repeated);
            let (began_at, mut longest) = (Instant::now(), Duration::ZERO);
            while began_at.elapsed() < SEND_TIME {
                let slept_at = Instant::now();
                compio::time::sleep(Duration::from_millis(10)).await;
                longest = longest.max(slept_at.elapsed());
            }
            println!("{first:?} {repeated:?}: longest pause {longest:?}");
            assert!(longest < MAX_PAUSE, "{first:?} {repeated:?}: {longest:?}");
        }
    });
}
