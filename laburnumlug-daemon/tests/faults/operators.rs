//! Operators that submit competing changes on the same base version.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::Run;
use crate::client::{get_document, put_document};
use crate::history::{Addresses, Change};

/// Targets whose state the operators change; the others stay serving.
const CHANGED_TARGETS: [&str; 2] = ["skriver-1", "skriver-2"];

/// Time after which the operator stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of submissions of one change under one idempotency key.
const MAX_SUBMISSIONS: usize = 10;

/// Delay before a change is submitted again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Upper bound of the random delay before each change, in milliseconds.
const MAX_CHANGE_DELAY_MS: u64 = 6000;

/// Changes the fleet document until the run is over.
pub async fn run_operator(run: Rc<Run>, addresses: Rc<Addresses>, name: String, mut rng: StdRng) {
    for number in 0.. {
        let delay = Duration::from_millis(rng.random_range(0..MAX_CHANGE_DELAY_MS));
        compio::time::sleep(delay).await;
        if run.is_over() {
            return;
        }
        let replica = pick_replica(&addresses, &mut rng);
        let response = compio::time::timeout(RESPONSE_TIMEOUT, get_document(replica)).await;
        let Ok(Some((base_version, mut document))) = response else {
            continue;
        };
        let target = CHANGED_TARGETS[rng.random_range(0..CHANGED_TARGETS.len())].to_string();
        let is_leaving = toggle_state(&mut document, &target);
        let submission = Submission {
            key: format!("{name}-{number}"),
            base_version,
            document,
        };
        submit(&run, &addresses, &mut rng, submission, target, is_leaving).await;
    }
}

fn pick_replica(addresses: &Addresses, rng: &mut StdRng) -> SocketAddr {
    addresses.replicas[rng.random_range(0..addresses.replicas.len())]
}

/// Toggles a target's state between serving and leaving, and returns whether it is leaving now.
fn toggle_state(document: &mut Value, target: &str) -> bool {
    let rows = document["targets"]
        .as_array_mut()
        .expect("the fleet document has targets");
    let row = rows
        .iter_mut()
        .find(|row| row["name"] == target)
        .expect("the fleet document has the changed target");
    let is_leaving = row["state"] == "serving";
    row["state"] = json!(if is_leaving { "leaving" } else { "serving" });
    is_leaving
}

/// Change that an operator submits.
struct Submission {
    /// Idempotency key.
    key: String,
    base_version: u64,
    document: Value,
}

async fn submit(
    run: &Run,
    addresses: &Addresses,
    rng: &mut StdRng,
    submission: Submission,
    target: String,
    is_leaving: bool,
) {
    let sent_at = Instant::now();
    let text = submission.document.to_string();
    for _ in 0..MAX_SUBMISSIONS {
        let replica = pick_replica(addresses, rng);
        let response = put_document(replica, submission.base_version, &submission.key, &text);
        match compio::time::timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Some((200, body))) => {
                let change = Change {
                    key: submission.key,
                    version: body["version"]
                        .as_u64()
                        .expect("an accepted change has a version"),
                    target,
                    is_leaving,
                    sent_at,
                    acknowledged_at: Instant::now(),
                };
                run.history.changes.borrow_mut().push(change);
                return;
            }
            Ok(Some((412, _))) => {
                run.history.counts.borrow_mut().conflicts += 1;
                return;
            }
            _ => compio::time::sleep(RESEND_DELAY).await,
        }
    }
    *run.history.unknown_changes.borrow_mut() += 1;
}
