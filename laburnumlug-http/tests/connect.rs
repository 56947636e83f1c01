//! Connections that are opened by a process that does not run at times.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_http::ConnectionPool;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(30);

/// Guards against a peer that counts as unreachable because this process did not run while it connected.
#[test]
fn connect_idle_during_pause() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut streams = Vec::new();
            while let Ok(accepted) = listener.accept() {
                streams.push(accepted);
            }
        });
        let pool = Rc::new(ConnectionPool::new(CONNECT_TIMEOUT, Duration::from_secs(1)));
        let mut failed = 0;
        for _ in 0..64 {
            let pool = pool.clone();
            let connecting =
                compio::runtime::spawn(
                    async move { pool.connect_idle(Instant::now(), addr).await },
                );
            // The task begins to connect, and then the process pauses.
            compio::time::sleep(Duration::from_micros(100)).await;
            std::thread::sleep(2 * CONNECT_TIMEOUT);
            failed += u32::from(connecting.await.unwrap().is_err());
        }
        assert_eq!(failed, 0, "of 64");
    });
}

/// Guards against a peer that counts as unreachable because the threads of this process are busy, as they are when a disk is slow.
#[test]
fn connect_idle_while_threads_are_busy() {
    let mut proactor = compio::driver::ProactorBuilder::new();
    proactor.thread_pool_limit(1);
    let mut builder = compio::runtime::Runtime::builder();
    let runtime = builder.with_proactor(proactor).build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let busy = || std::thread::sleep(8 * CONNECT_TIMEOUT);
        let task = compio::runtime::spawn_blocking(busy);
        compio::time::sleep(Duration::from_millis(1)).await;
        let pool = ConnectionPool::new(CONNECT_TIMEOUT, Duration::from_secs(1));
        let began_at = Instant::now();
        pool.connect_idle(began_at, addr).await.unwrap();
        assert!(began_at.elapsed() < 4 * CONNECT_TIMEOUT);
        task.await.unwrap();
    });
}

/// A peer that does not answer is given up in time, as this process runs.
#[test]
fn connect_idle_unanswered() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        // The queue of the listener is full, so further connections stay unanswered.
        rustix::net::listen(&listener, 0).unwrap();
        let pool = ConnectionPool::new(CONNECT_TIMEOUT, Duration::from_secs(1));
        let mut failed = 0;
        let began_at = Instant::now();
        for _ in 0..4 {
            let connected = pool.connect_idle(Instant::now(), addr).await;
            failed += u32::from(connected.is_err());
        }
        assert!(failed >= 2, "{failed}");
        assert!(began_at.elapsed() < Duration::from_secs(2));
    });
}
