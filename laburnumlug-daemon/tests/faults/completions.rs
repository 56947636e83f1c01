//! Callers that request completions.

use std::rc::Rc;
use std::time::Duration;

use laburnumlug_standin::expected_completion;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::Run;
use crate::client::{Response, post};
use crate::history::{Addresses, RefusedCompletion};

/// Time after which the caller stops waiting for a response and closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: &str = "15000";

/// Delay between two requests of one caller.
const REQUEST_DELAY: Duration = Duration::from_millis(20);

/// Requests completions until the run is over.
pub async fn run_caller(run: Rc<Run>, addresses: Rc<Addresses>, mut rng: StdRng) {
    while !run.is_over() {
        let addr = addresses.entries[rng.random_range(0..addresses.entries.len())];
        let prompt = format!("question {:016x}", rng.random::<u64>());
        let tokens = rng.random_range(1..60);
        let stream = rng.random_bool(0.5);
        let body = json!({
            "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let text = body.to_string();
        let headers = [("laburnumlug-deadline-ms", DEADLINE_MS)];
        let response = post(addr, "/v1/completions", &headers, &text);
        match compio::time::timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Some(response)) => check_response(&run, &prompt, tokens, stream, &response),
            _ => run.history.counts.borrow_mut().incomplete += 1,
        }
        compio::time::sleep(REQUEST_DELAY).await;
    }
}

fn check_response(run: &Run, prompt: &str, tokens: u64, stream: bool, response: &Response) {
    let history = &run.history;
    if response.status != 200 {
        history.counts.borrow_mut().refused += 1;
        if response.verdict == "not-run" {
            let refused = RefusedCompletion {
                request_id: response.request_id.clone(),
            };
            history.refused_completions.borrow_mut().push(refused);
        }
        return;
    }
    let (text, is_complete) = match stream {
        true => response.streamed_completion(),
        false => (response.completion_text(), true),
    };
    let expected = expected_completion(prompt, tokens);
    match is_complete {
        true if text == expected => history.counts.borrow_mut().complete += 1,
        true => history.record_violation(format!(
            "{prompt:?} got the completion {text:?}, expected {expected:?}"
        )),
        // A partial completion must still be a prefix of the expected one.
        false if expected.starts_with(&text) => history.counts.borrow_mut().incomplete += 1,
        false => history.record_violation(format!(
            "{prompt:?} got the partial completion {text:?}, expected a prefix of {expected:?}"
        )),
    }
}
