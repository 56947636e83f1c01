//! Benchmark of the cost of a claim, in latency and in messages.
//!
//! It asserts nothing about speed and runs by name only, see `record/claim-cost.md`.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;

use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

/// Number of calls per measurement.
const CALLS: usize = 600;

/// Numbers of concurrent callers.
const CALLERS: [usize; 2] = [1, 32];

/// Measured cost of a call.
struct Cost {
    p50: Duration,
    p99: Duration,
    calls_per_second: f64,
    /// Number of proxy reads per call between processes of the fleet, without the idle traffic.
    chunks: f64,
    /// Number of bytes per call between processes of the fleet, without the idle traffic.
    bytes: f64,
}

fn internal_traffic(fleet: &Fleet) -> (u64, u64) {
    let proxies = fleet
        .proxies
        .iter()
        .filter(|(name, _)| !name.ends_with(">service"));
    proxies
        .map(|(_, proxy)| proxy.traffic())
        .fold((0, 0), |sum, t| (sum.0 + t.chunks, sum.1 + t.bytes))
}

async fn reserve(fleet: &Fleet, seat: &str, has_key: bool) -> u16 {
    let headers = [("idempotency-key", seat)];
    let headers = if has_key { &headers[..] } else { &[] };
    let path = "/services/billet/reservations";
    let body = json!({ "seat": seat });
    let response = fleet.post(fleet.entry_addrs[0], path, headers, &body).await;
    response.map_or(0, |response| response.status)
}

async fn measure(fleet: &Fleet, name: &str, callers: usize, has_key: bool) -> Cost {
    // Measures the idle traffic, which is subtracted from that during the calls.
    let before_idle = internal_traffic(fleet);
    compio::time::sleep(Duration::from_secs(2)).await;
    let before_calls = internal_traffic(fleet);
    let idle_chunks_per_second = (before_calls.0 - before_idle.0) as f64 / 2.0;
    let idle_bytes_per_second = (before_calls.1 - before_idle.1) as f64 / 2.0;
    let start = Instant::now();
    let clients = (0..callers).map(|client| async move {
        let mut latencies = Vec::new();
        for i in 0..CALLS / callers {
            let sent_at = Instant::now();
            let status = reserve(fleet, &format!("{name}-{client}-{i}"), has_key).await;
            assert_eq!(status, 201);
            latencies.push(sent_at.elapsed());
        }
        latencies
    });
    let mut latencies = join_all(clients).await.concat();
    let seconds = start.elapsed().as_secs_f64();
    let after_calls = internal_traffic(fleet);
    latencies.sort_unstable();
    let calls = latencies.len() as f64;
    Cost {
        p50: latencies[latencies.len() / 2],
        p99: latencies[latencies.len() * 99 / 100],
        calls_per_second: calls / seconds,
        chunks: ((after_calls.0 - before_calls.0) as f64 - idle_chunks_per_second * seconds)
            / calls,
        bytes: ((after_calls.1 - before_calls.1) as f64 - idle_bytes_per_second * seconds) / calls,
    }
}

async fn start_fleet(group_commit: bool) -> Fleet {
    let config = FleetConfig::default()
        .engines(0)
        .booking_servers(2)
        .control_replicas(3);
    let mut fleet = Fleet::start(config.entries(1)).await;
    if !group_commit {
        for name in ["control-1", "control-2", "control-3"] {
            let path = fleet.folder.path().join(format!("{name}.ini"));
            let settings = std::fs::read_to_string(path).unwrap();
            let settings = format!("{settings}\ngroup_commit = no\n");
            fleet.folder.write(&format!("{name}.ini"), &settings);
            fleet.restart(name);
        }
    }
    wait_for("success of a call with a key", || async {
        (reserve(&fleet, "ready", true).await == 201).then_some(())
    })
    .await;
    fleet
}

#[test]
#[ignore = "a measurement, run by name"]
fn claim_cost() {
    block_on(async {
        println!(
            "| group commit | key | callers at once | p50 ms | p99 ms | calls/s | messages a call | bytes a call |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for group_commit in [true, false] {
            let fleet = start_fleet(group_commit).await;
            for callers in CALLERS {
                for has_key in [false, true] {
                    let name = format!("{callers}-{has_key}");
                    let cost = measure(&fleet, &name, callers, has_key).await;
                    println!(
                        "| {} | {} | {callers} | {:.1} | {:.1} | {:.0} | {:.1} | {:.0} |",
                        if group_commit { "on" } else { "off" },
                        if has_key { "yes" } else { "no" },
                        cost.p50.as_secs_f64() * 1000.0,
                        cost.p99.as_secs_f64() * 1000.0,
                        cost.calls_per_second,
                        cost.chunks,
                        cost.bytes,
                    );
                }
            }
        }
    });
}
