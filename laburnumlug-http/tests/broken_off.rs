//! Answers that are broken off, and those without a body, at the client and at the server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use laburnumlug_http::{Limits, Request, Server, channel_body};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers each request with `answer` and closes the connection.
fn start_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    addr
}

/// Returns whether the whole body of an answer was read.
async fn is_whole(method: &str, answer: &'static str) -> bool {
    let req = hyper::Request::builder()
        .method(method)
        .uri("/")
        .header("host", "h.example")
        .body(Full::new(bytes::Bytes::new()))
        .unwrap();
    let addr = start_server(answer);
    let mut response = laburnumlug_http::send(addr, req, TIMEOUT).await.unwrap();
    response.bytes(1000).await.is_ok()
}

/// Guards against answers of plain services, control and the platform's lists that were broken off and look whole.
#[test]
fn bytes_broken_off() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for (answer, expected) in [
            ("HTTP/1.1 200 x\r\ncontent-length: 4\r\n\r\nbody", true),
            ("HTTP/1.1 200 x\r\ncontent-length: 5\r\n\r\nbody", false),
            // An orderly end of the connection ends a body without a length.
            ("HTTP/1.1 200 x\r\n\r\nbody", true),
            ("HTTP/1.0 200 x\r\n\r\nbody", true),
            (
                "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                true,
            ),
            (
                "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
                false,
            ),
            (
                "HTTP/1.1 200 x\r\ntransfer-encoding: gzip\r\n\r\nbody",
                false,
            ),
            ("HTTP/1.1 204 x\r\n\r\n", true),
        ] {
            assert_eq!(is_whole("GET", answer).await, expected, "{answer:?}");
        }
        assert!(is_whole("HEAD", "HTTP/1.1 200 x\r\n\r\n").await);
    });
}

/// Guards against a stream that is aborted and looks whole to a caller with HTTP/1.0, which knows no chunks: only a reset
/// of the connection shows it.
#[test]
fn abort_stream_of_http_1_0_caller() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = Rc::new(|_req: Request| async {
            let (mut tx, body) = channel_body();
            compio::runtime::spawn(async move {
                tx.send(bytes::Bytes::from_static(b"part")).await.unwrap();
                compio::time::sleep(Duration::from_millis(50)).await;
                tx.abort();
            })
            .detach();
            hyper::Response::new(body)
        });
        compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
        let reading = compio::runtime::spawn_blocking(move || {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream
                .write_all(b"GET / HTTP/1.0\r\nhost: h.example\r\n\r\n")
                .unwrap();
            stream.read_to_end(&mut Vec::new())
        });
        assert!(reading.await.unwrap().is_err());
    });
}
