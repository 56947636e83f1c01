//! Connections that are kept, against servers on loopback that forget them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use http_body_util::Full;
use laburnumlug_http::{ConnectionPool, SendError};

/// Rest after which the servers forget a connection.
const KEPT: Duration = Duration::from_millis(100);

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers, unless a connection has rested for too long: that one it closes without an answer.
fn forgetful_server() -> SocketAddr {
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
    let mut answered_at: Option<Instant> = None;
    while let Ok(1..) = stream.read(&mut buf) {
        if answered_at.is_some_and(|at| at.elapsed() > KEPT) {
            return;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=5\r\n\r\nok";
        stream.write_all(answer).unwrap();
        answered_at = Some(Instant::now());
    }
}

/// Sends one request; returns whether it was answered.
async fn ask(pool: &ConnectionPool, addr: SocketAddr) -> bool {
    let req = hyper::Request::get("/")
        .header("host", "h.example")
        .body(Full::new(bytes::Bytes::new()))
        .unwrap();
    match pool.send(Instant::now(), addr, req).await {
        Ok(mut answer) => {
            answer.bytes(100).await.unwrap();
            pool.keep(Instant::now(), answer);
            true
        }
        Err(SendError::Sent(_)) => false,
        Err(SendError::NotSent(err)) => panic!("{err}"),
    }
}

/// Pattern: servers drop idle connections sooner than they state. After two of them did, nothing more is lost at any.
#[test]
fn send_learns_how_long_connections_are_kept() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let pool = ConnectionPool::new(TIMEOUT, TIMEOUT);
        let servers: Vec<SocketAddr> = (0..12).map(|_| forgetful_server()).collect();
        for addr in &servers {
            assert!(ask(&pool, *addr).await);
        }
        compio::time::sleep(2 * KEPT).await;
        let mut lost = 0;
        for addr in &servers {
            if !ask(&pool, *addr).await {
                lost += 1;
                assert!(ask(&pool, *addr).await);
            }
        }
        // Two show it; a busy machine may take some answers for slow ones.
        assert!((2..=6).contains(&lost), "{lost} requests were lost");
    });
}
