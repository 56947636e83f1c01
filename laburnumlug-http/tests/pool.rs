//! Connection pool against loopback servers that close idle connections early.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use http_body_util::Full;
use laburnumlug_http::{ConnectionPool, SendError};

/// Idle time after which the servers drop a connection, far below the 5 s that they state.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that closes a connection without a response if it was idle for longer than [`SERVER_IDLE_TIMEOUT`].
fn early_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

fn serve(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let mut responded_at: Option<Instant> = None;
    while let Ok(1..) = stream.read(&mut buf) {
        if responded_at.is_some_and(|at| at.elapsed() > SERVER_IDLE_TIMEOUT) {
            return;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=5\r\n\r\nok";
        stream.write_all(response).unwrap();
        responded_at = Some(Instant::now());
    }
}

fn request() -> hyper::Request<Full<bytes::Bytes>> {
    hyper::Request::get("/")
        .header("host", "h.example")
        .body(Full::new(bytes::Bytes::new()))
        .unwrap()
}

/// Sends one request and returns whether it was answered.
async fn send(pool: &ConnectionPool, addr: SocketAddr, id: &str) -> bool {
    match pool.send(Instant::now(), addr, id, request()).await {
        Ok(mut response) => {
            response.bytes(100).await.unwrap();
            pool.recycle(Instant::now(), response);
            true
        }
        Err(SendError::Sent(_)) => false,
        Err(err) => panic!("{err:?}"),
    }
}

/// Guards against lost requests when servers drop idle connections earlier than they state: once two servers have done
/// so, the pool stops reusing such connections to all of them.
#[test]
fn send_learns_idle_limit() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let servers: Vec<SocketAddr> = (0..12).map(|_| early_closing_server()).collect();
        for addr in &servers {
            assert!(send(&pool, *addr, "first").await);
        }
        compio::time::sleep(2 * SERVER_IDLE_TIMEOUT).await;
        let mut lost = 0;
        for addr in &servers {
            if !send(&pool, *addr, "second").await {
                lost += 1;
                assert!(send(&pool, *addr, "third").await);
            }
        }
        // Two losses establish the limit. On a busy machine a failure may come too late to count as a stale connection.
        assert!((2..=6).contains(&lost), "{lost} requests were lost");
    });
}

/// Guards against a process that ends because a server states that it keeps connections longer than time can be counted.
#[test]
fn send_huge_keep_alive() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 4096];
            while let Ok(1..) = stream.read(&mut buf) {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout={}\r\n\r\nok",
                    u64::MAX
                );
                stream.write_all(head.as_bytes()).unwrap();
            }
        });
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        for id in ["1", "2"] {
            assert!(send(&pool, addr, id).await);
        }
    });
}

/// Guards against requests to a peer that stops accepting them while the pool connects to it. The connection is kept for
/// another request.
#[test]
fn send_if_withdrawn_while_connecting() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let checks = Cell::new(0);
        let may_send = || checks.replace(checks.get() + 1) == 0;
        let sent = pool
            .send_if(Instant::now(), addr, "1", request(), may_send)
            .await;
        assert!(matches!(sent, Err(SendError::Withdrawn)));
        assert_eq!(checks.get(), 2);
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let received = (&stream).read(&mut [0; 1]);
        assert!(received.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock));
        stream.set_nonblocking(false).unwrap();
        std::thread::spawn(move || serve(stream));
        assert!(send(&pool, addr, "2").await);
    });
}
