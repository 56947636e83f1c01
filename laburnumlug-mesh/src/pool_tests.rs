use compio::net::TcpListener;

use super::*;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay of a peer that takes longer for a handshake than the timeout of the first one.
const HANDSHAKE_DELAY: Duration = Duration::from_millis(150);

fn key() -> MeshKey {
    MeshKey::new("key")
}

/// Starts a peer that takes `delay` until it begins each handshake, and returns its address.
async fn start_peer(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        let mut conns = Vec::new();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            compio::time::sleep(delay).await;
            conns.push(Connection::accept(stream, &key()).await);
        }
    })
    .detach();
    addr
}

/// Guards against a slow peer to which no connection is ever established, as each handshake takes longer than its timeout.
#[compio::test]
async fn connect_slow_peer() {
    let addr = start_peer(HANDSHAKE_DELAY).await;
    let pool = Pool::new(key(), CONNECT_TIMEOUT);
    assert!(pool.connect(addr).await.is_err());
    let mut attempts = 1;
    while pool.connect(addr).await.is_err() {
        attempts += 1;
        assert!(attempts < 10, "no connection was established");
    }
}

/// Guards against handshakes that are cut off, as their callers no longer need the answer, and begun again each time.
#[compio::test]
async fn connect_dropped() {
    let addr = start_peer(CONNECT_TIMEOUT / 4).await;
    let pool = Pool::new(key(), CONNECT_TIMEOUT);
    let dropped = compio::time::timeout(Duration::from_millis(1), pool.connect(addr)).await;
    assert!(dropped.is_err());
    let started_at = Instant::now();
    while pool.take_idle(addr).is_none() {
        assert!(
            started_at.elapsed() < 20 * CONNECT_TIMEOUT,
            "no connection is idle"
        );
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}
