//! Connections without a request that are closed for new ones beyond the limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Request, Server, text_response};

const MAX_CONNECTIONS: usize = 4;

const REPLACEABLE_AFTER: Duration = Duration::from_millis(400);

/// Time that the server takes to answer at the path `/slow`.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(1500);

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits::default()
        .connections(MAX_CONNECTIONS)
        .replaceable_after(REPLACEABLE_AFTER);
    let handler = Rc::new(|req: Request| async move {
        if req.uri().path() == "/slow" {
            compio::time::sleep(SLOW_ANSWER_TIME).await;
        }
        text_response(200, "answer")
    });
    compio::runtime::spawn(Server::new(listener, limits).run(handler)).detach();
    addr
}

/// Sends a request on a new connection and returns the status, or 0 if the connection is closed instead.
async fn request(addr: SocketAddr, path: &'static str) -> u16 {
    let exchange = move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        let head = format!("GET {path} HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
            .get(9..12)
            .map_or(0, |status| status.parse().unwrap())
    };
    compio::runtime::spawn_blocking(exchange).await.unwrap()
}

/// Guards against clients whose connections without a request keep all others out.
#[test]
fn connections_idle_beyond_limit() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let addr = start().await;
        let mut idle: Vec<TcpStream> = (0..MAX_CONNECTIONS)
            .map(|_| TcpStream::connect(addr).unwrap())
            .collect();
        idle[0].write_all(b"GET / HTTP/1.1\r\nhost").unwrap();
        compio::time::sleep(REPLACEABLE_AFTER / 8).await;
        assert_eq!(request(addr, "/").await, 503);
        compio::time::sleep(REPLACEABLE_AFTER).await;
        for _ in 0..3 * MAX_CONNECTIONS {
            assert_eq!(request(addr, "/").await, 200);
        }
    });
}

/// A connection whose request is in progress is never closed for another one.
#[test]
fn connections_busy_beyond_limit() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let addr = start().await;
        let busy: Vec<_> = (0..MAX_CONNECTIONS)
            .map(|_| compio::runtime::spawn(request(addr, "/slow")))
            .collect();
        compio::time::sleep(2 * REPLACEABLE_AFTER).await;
        assert_eq!(request(addr, "/").await, 503);
        for request in busy {
            assert_eq!(request.await.unwrap(), 200);
        }
    });
}
