//! Connection pool against a loopback server that sends answers twice.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http_body_util::Full;
use laburnumlug_http::ConnectionPool;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time after an answer at which a copy of it is sent.
const COPY_DELAY: Duration = Duration::from_millis(20);

/// When the server sends an answer for the second time.
#[derive(Clone, Copy)]
enum Copy {
    /// Together with the answer.
    WithAnswer,
    /// While the connection is idle.
    WhileIdle,
    /// When the next request has arrived.
    AfterNextRequest,
}

/// Server that answers each request with its path, twice.
struct CopyingServer {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl CopyingServer {
    fn start(copy: Copy) -> CopyingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.unwrap();
                count.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || serve(stream, copy));
            }
        });
        CopyingServer { addr, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, copy: Copy) {
    let mut buf = [0; 4096];
    let mut last_answer = String::new();
    while let Ok(len @ 1..) = stream.read(&mut buf) {
        let request = String::from_utf8_lossy(&buf[..len]);
        let path = request.split(' ').nth(1).unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
        let answer = format!("{head}{path}");
        let sent = match copy {
            Copy::WithAnswer => stream.write_all(answer.repeat(2).as_bytes()),
            Copy::WhileIdle => {
                let sent = stream.write_all(answer.as_bytes());
                std::thread::sleep(COPY_DELAY);
                sent.and_then(|()| stream.write_all(answer.as_bytes()))
            }
            Copy::AfterNextRequest => {
                let sent = stream.write_all(last_answer.as_bytes());
                std::thread::sleep(COPY_DELAY);
                sent.and_then(|()| stream.write_all(answer.as_bytes()))
            }
        };
        if sent.is_err() {
            return;
        }
        last_answer = answer;
    }
}

/// Sends a request and returns the body of the answer.
async fn send(pool: &ConnectionPool, addr: SocketAddr, id: &str, path: &str) -> String {
    let req = hyper::Request::get(path)
        .header("host", "h.example")
        .body(Full::new(bytes::Bytes::new()))
        .unwrap();
    let sent = pool.send(Instant::now(), addr, id, req).await;
    let Ok(mut response) = sent else {
        panic!("the request to {addr} failed");
    };
    let body = response.bytes(100).await.unwrap();
    pool.recycle(Instant::now(), response);
    String::from_utf8(body.to_vec()).unwrap()
}

/// Guards against the fault in which a caller received the copy of an earlier answer: the copy is there before the next
/// request is written. The thread sleeps, as on a busy machine, so the copy is not read before.
#[test]
fn send_after_copy_arrived() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for copy in [Copy::WithAnswer, Copy::WhileIdle] {
            let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
            let server = CopyingServer::start(copy);
            assert_eq!(send(&pool, server.addr, "r-1", "/1").await, "/1");
            std::thread::sleep(3 * COPY_DELAY);
            assert_eq!(send(&pool, server.addr, "r-2", "/2").await, "/2");
            assert_eq!(server.connections(), 2);
        }
    });
}

/// A copy that arrives while the connection is idle and is read at once leads to new connections for a while.
#[test]
fn send_after_copy_was_read() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let server = CopyingServer::start(Copy::WhileIdle);
        assert_eq!(send(&pool, server.addr, "r-1", "/1").await, "/1");
        compio::time::sleep(3 * COPY_DELAY).await;
        assert_eq!(send(&pool, server.addr, "r-2", "/2").await, "/2");
        // The copy of the second answer has not arrived, but the server has sent one before.
        assert_eq!(send(&pool, server.addr, "r-3", "/3").await, "/3");
        assert_eq!(server.connections(), 3);
    });
}

/// Guards against a copy that cannot be told from the answer, as both bear the same request id: a caller sent the id
/// twice, and the copy of the first answer arrives after the second request was written.
#[test]
fn send_same_id_twice() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let server = CopyingServer::start(Copy::AfterNextRequest);
        assert_eq!(send(&pool, server.addr, "r-1", "/1").await, "/1");
        assert_eq!(send(&pool, server.addr, "r-1", "/2").await, "/2");
    });
}

/// Once an answer to another request has arrived, no connection to the peer is reused for a while.
#[test]
fn record_wrong_answer_prevents_reuse() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let server = CopyingServer::start(Copy::AfterNextRequest);
        assert_eq!(send(&pool, server.addr, "r-1", "/1").await, "/1");
        assert_eq!(send(&pool, server.addr, "r-2", "/2").await, "/1");
        pool.record_wrong_answer(Instant::now(), server.addr);
        for path in ["/3", "/4", "/5"] {
            assert_eq!(send(&pool, server.addr, path, path).await, path);
        }
        assert_eq!(server.connections(), 4);
    });
}

/// Engines, services, control and the platform's lists are called on a new connection each, so a copy meets no request.
#[test]
fn send_on_new_connection() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let server = CopyingServer::start(Copy::WhileIdle);
        for path in ["/1", "/2"] {
            let req = hyper::Request::get(path)
                .header("host", "h.example")
                .body(Full::new(bytes::Bytes::new()))
                .unwrap();
            let mut response = laburnumlug_http::send(server.addr, req, TIMEOUT)
                .await
                .unwrap();
            assert_eq!(response.bytes(100).await.unwrap(), path);
        }
        assert_eq!(server.connections(), 2);
    });
}
