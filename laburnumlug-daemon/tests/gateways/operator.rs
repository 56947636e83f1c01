//! Operator that replaces the configuration through a random replica, and reads it back from another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::Run;
use crate::client;
use crate::deployment::config;
use crate::harness::wait_for;

/// Time after which the operator stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Range of the delay between two changes, in milliseconds.
const CHANGE_DELAY_MS: std::ops::Range<u64> = 100..700;

/// Attempt to replace the configuration by one of a newer version.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub version: u64,
    pub acknowledged_at: Option<Instant>,
}

/// Configuration that a replica returned.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub replica: SocketAddr,
    pub sent_at: Instant,
    pub answered_at: Instant,
    pub version: u64,
}

/// Replaces the configuration until the run is over, from version 2: version 1 is in force from the start.
pub async fn run_operator(run: Rc<Run>, operators: Vec<SocketAddr>, mut rng: StdRng) {
    for version in 2.. {
        if run.load.faults_ended.load(Ordering::Relaxed) {
            return;
        }
        let addr = operators[rng.random_range(0..operators.len())];
        let text = config(version);
        run.load.newest_sent.store(version, Ordering::Relaxed);
        let response = client::post(addr, "/config/replace", &[], &text);
        let response = compio::time::timeout(RESPONSE_TIMEOUT, response).await;
        let is_acknowledged = matches!(response, Ok(Some(response)) if response.status == 200);
        run.changes.borrow_mut().push(Change {
            version,
            acknowledged_at: is_acknowledged.then(Instant::now),
        });
        let replica = operators[rng.random_range(0..operators.len())];
        let sent_at = Instant::now();
        let read = compio::time::timeout(RESPONSE_TIMEOUT, read_version(replica)).await;
        if let Ok(Some(version)) = read {
            run.reads.borrow_mut().push(Read {
                replica,
                sent_at,
                answered_at: Instant::now(),
                version,
            });
        }
        let delay_ms = rng.random_range(CHANGE_DELAY_MS);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads the version from each replica, once it has confirmed that it is the newest.
pub async fn read_all(run: &Run, operators: Vec<SocketAddr>) {
    for replica in operators {
        let sent_at = Instant::now();
        let version = wait_for("a confirmed configuration", || read_version(replica)).await;
        run.reads.borrow_mut().push(Read {
            replica,
            sent_at,
            answered_at: Instant::now(),
            version,
        });
    }
}

async fn read_version(replica: SocketAddr) -> Option<u64> {
    let (status, body) = client::get_status_and_body(replica, "/config/get").await?;
    let config: Value = serde_json::from_str(&body).ok()?;
    config["version"].as_u64().filter(|_| status == 200)
}
