//! Signals at any time of a process: while it starts, in series, and while it stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::client;
use crate::harness::{Fleet, FleetConfig, block_on, wait_for};
use crate::platform_fleet::{Cluster, Gateway, readiness_status, start_replica};

/// Time after a signal in which a process that does not handle it has ended.
const EXIT_TIME: Duration = Duration::from_millis(200);

/// Grace period of the platform.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Number of starts of each process that are tried.
const STARTS: usize = 10;

/// Number of signals in a series; the time between two of them is as short as can be.
const SIGNALS_IN_SERIES: usize = 20_000;

/// Waits, without a pause, until `addr` accepts connections.
fn wait_for_listener(addr: SocketAddr) {
    let started_at = Instant::now();
    while TcpStream::connect(addr).is_err() {
        assert!(started_at.elapsed() < Duration::from_secs(10));
    }
}

/// Guards against gateways and control replicas that end at a SIGHUP which arrives as soon as they listen.
#[test]
fn hangup_while_starting() {
    block_on(async {
        let cluster = Cluster::start();
        for i in 0..STARTS {
            let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
            wait_for_listener(gateway.caller_addr);
            gateway.process.signal(Signal::HUP);
            compio::time::sleep(EXIT_TIME).await;
            assert_eq!(gateway.process.exit_status(), None, "gateway, start {i}");
            let addrs = (crate::harness::free_addr(), crate::harness::free_addr());
            let mut replica = start_replica(
                &cluster.folder,
                1,
                addrs.0,
                addrs.1,
                &cluster.seeds(),
                false,
            );
            wait_for_listener(replica.mesh_addr);
            replica.process.signal(Signal::HUP);
            compio::time::sleep(EXIT_TIME).await;
            assert_eq!(replica.process.exit_status(), None, "replica, start {i}");
        }
    });
}

/// Guards against entries and target processes that end at a SIGHUP and cut the answers in progress.
#[test]
fn hangup_of_entry_and_target() {
    block_on(async {
        let mut fleet = Fleet::start(FleetConfig::default().entries(1)).await;
        for name in ["entry-1", "billet-1", "skriver-1"] {
            fleet.process(name).signal(Signal::HUP);
            compio::time::sleep(EXIT_TIME).await;
            assert_eq!(fleet.process(name).exit_status(), None, "{name}");
        }
        let status = client::get_status_and_body(fleet.entry_addrs[0], "/health").await;
        assert_eq!(status.map(|(status, _)| status), Some(200));
    });
}

/// Guards against a gateway that ends, or no longer serves, when SIGHUPs follow one another closely, also while it stops.
#[test]
fn hangup_in_series() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
        cluster.replace_config(0, 1, 2000).await;
        let ready_addr = gateway.ready_addr;
        wait_for("a ready gateway", || async {
            (readiness_status(ready_addr).await? == 200).then_some(())
        })
        .await;
        for stops in [false, true] {
            if stops {
                gateway.process.signal(Signal::TERM);
            }
            for _ in 0..SIGNALS_IN_SERIES {
                gateway.process.signal(Signal::HUP);
            }
            compio::time::sleep(EXIT_TIME).await;
            assert_eq!(gateway.process.exit_status(), None, "stops: {stops}");
            let expected = if stops { 503 } else { 200 };
            assert_eq!(readiness_status(ready_addr).await, Some(expected));
        }
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}

/// Guards against a control replica that outlasts its grace period, which then ends in the middle of what it does, because clients
/// keep connections open: unused ones, used ones, and those with a part of a request.
#[test]
fn stop_of_control_replica_with_open_connections() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.replace_config(0, 1, 2000).await;
        let addr = cluster.replicas[0].operator_addr;
        let begun = "POST /config/replace HTTP/1.1\r\nhost: h\r\n";
        let texts = [
            "".to_string(),
            begun.to_string(),
            format!("{begun}content-length: 10\r\n\r\n{{"),
            format!("{begun}transfer-encoding: chunked\r\n\r\n1\r\n{{\r\n"),
        ];
        let mut streams = Vec::new();
        for is_used in [false, true] {
            for text in &texts {
                let mut stream = TcpStream::connect(addr).unwrap();
                if is_used {
                    let get = b"GET /status HTTP/1.1\r\nhost: h\r\n\r\n";
                    stream.write_all(get).unwrap();
                    compio::time::sleep(EXIT_TIME).await;
                }
                stream.write_all(text.as_bytes()).unwrap();
                streams.push(stream);
            }
        }
        compio::time::sleep(EXIT_TIME).await;
        let stopped_at = Instant::now();
        cluster.replicas[0].process.signal(Signal::TERM);
        let status = cluster.replicas[0].process.wait().await;
        let taken = stopped_at.elapsed();
        assert_eq!(status.code(), Some(0));
        assert!(taken < GRACE_PERIOD, "{taken:?}");
        drop(streams);
    });
}

/// Guards against processes that a SIGTERM ends without an exit code although they listen already.
#[test]
fn stop_while_starting() {
    block_on(async {
        let cluster = Cluster::start();
        for i in 0..STARTS {
            let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
            wait_for_listener(gateway.ready_addr);
            gateway.process.signal(Signal::TERM);
            gateway.process.signal(Signal::TERM);
            let code = gateway.process.wait().await.code();
            assert_eq!(code, Some(0), "gateway, start {i}");
        }
    });
}

/// Guards against a request without an answer that waits for the first routes when the gateway is asked to stop.
#[test]
fn stop_while_requests_wait_for_routes() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = Gateway::start(&cluster.folder, &cluster.seeds()).await;
        wait_for_listener(gateway.caller_addr);
        let mut stream = TcpStream::connect(gateway.caller_addr).unwrap();
        let request = b"GET /p/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: r\r\n\r\n";
        stream.write_all(request).unwrap();
        gateway.process.signal(Signal::TERM);
        let mut answer = [0; 12];
        let reading = compio::runtime::spawn_blocking(move || {
            stream.read_exact(&mut answer).map(|()| answer)
        });
        let answer = reading.await.unwrap().unwrap();
        assert_eq!(&answer, b"HTTP/1.1 503");
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}
