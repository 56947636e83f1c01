//! Callers that make bookings, with and without an idempotency key.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::Run;
use crate::client::post;
use crate::history::{Addresses, Booking, Verdict};

/// Time after which the caller stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: &str = "6000";

/// Maximum number of submissions of one booking with an idempotency key.
const MAX_SUBMISSIONS: usize = 4;

/// Delay after each submission.
const SUBMISSION_DELAY: Duration = Duration::from_millis(50);

/// Makes bookings until the run is over.
///
/// Every other booking has an idempotency key and is resent until it is known to have run, up to
/// [`MAX_SUBMISSIONS`] times.
pub async fn run_caller(run: Rc<Run>, addresses: Rc<Addresses>, name: String, mut rng: StdRng) {
    for number in 0.. {
        if run.is_over() {
            return;
        }
        let id = format!("{name}-{number}");
        let has_key = number % 2 == 0;
        let mut verdicts = Vec::new();
        let submissions = if has_key { MAX_SUBMISSIONS } else { 1 };
        for _ in 0..submissions {
            let addr = addresses.entries[rng.random_range(0..addresses.entries.len())];
            let text = json!({ "booking": id }).to_string();
            let mut headers = vec![("laburnumlug-deadline-ms", DEADLINE_MS)];
            if has_key {
                headers.push(("idempotency-key", id.as_str()));
            }
            let response = post(addr, "/services/billet/reservations", &headers, &text);
            let verdict = match compio::time::timeout(RESPONSE_TIMEOUT, response).await {
                Ok(Some(response)) => Verdict::from_header(&response.verdict),
                _ => Verdict::Unknown,
            };
            verdicts.push(verdict.clone());
            compio::time::sleep(SUBMISSION_DELAY).await;
            if verdict == Verdict::Ran {
                break;
            }
        }
        run.history
            .bookings
            .borrow_mut()
            .push(Booking { id, verdicts });
    }
}
