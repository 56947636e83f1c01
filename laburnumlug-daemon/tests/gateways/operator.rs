//! Operator that replaces the configuration through a random replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::Run;
use crate::client;
use crate::deployment::config;

/// Time after which the operator stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Range of the delay between two changes, in milliseconds.
const CHANGE_DELAY_MS: std::ops::Range<u64> = 100..700;

/// Attempt to replace the configuration by one of a newer version.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub version: u64,
    pub acknowledged: bool,
}

/// Replaces the configuration until the run is over, from version 2: version 1 is in force from the start.
pub async fn run_operator(run: Rc<Run>, operators: Vec<SocketAddr>, mut rng: StdRng) {
    for version in 2.. {
        if run.faults_ended.get() {
            return;
        }
        let addr = operators[rng.random_range(0..operators.len())];
        let text = config(version);
        let response = client::post(addr, "/config/replace", &[], &text);
        let response = compio::time::timeout(RESPONSE_TIMEOUT, response).await;
        let acknowledged = matches!(response, Ok(Some(response)) if response.status == 200);
        run.changes.borrow_mut().push(Change {
            version,
            acknowledged,
        });
        let delay_ms = rng.random_range(CHANGE_DELAY_MS);
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
