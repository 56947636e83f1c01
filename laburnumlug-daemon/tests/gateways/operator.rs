//! The operator, who changes the configuration through any replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::Run;
use crate::client;
use crate::site::config;

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Range of the pause between two changes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// One change.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub number: u64,
    pub acknowledged: bool,
}

/// Makes changes until the run is over; the first one was made before.
pub async fn change(run: Rc<Run>, operators: Vec<SocketAddr>, mut rng: StdRng) {
    for number in 2.. {
        if run.ended.get() {
            return;
        }
        let addr = operators[rng.random_range(0..operators.len())];
        let text = config(number);
        let call = client::post(addr, "/config/replace", &[], &text);
        let answer = compio::time::timeout(PATIENCE, call).await;
        let acknowledged = matches!(answer, Ok(Some(answer)) if answer.status == 200);
        run.changes.borrow_mut().push(Change {
            number,
            acknowledged,
        });
        let pause = rng.random_range(PAUSE_MS);
        compio::time::sleep(Duration::from_millis(pause)).await;
    }
}
