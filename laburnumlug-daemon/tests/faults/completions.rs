//! Callers that ask for completions.

use std::rc::Rc;
use std::time::Duration;

use laburnumlug_standin::expected_completion;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::Run;
use crate::client::{Response, post};
use crate::ledger::{Addresses, RefusedCompletion};

/// Longest wait for an answer; beyond it the caller hangs up.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time that the caller states for the whole answer, in milliseconds.
const DEADLINE_MS: &str = "15000";

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Asks for completions until the run is over.
pub async fn call(run: Rc<Run>, addresses: Rc<Addresses>, mut rng: StdRng) {
    while !run.is_over() {
        let addr = addresses.callers[rng.random_range(0..addresses.callers.len())];
        let prompt = format!("question {:016x}", rng.random::<u64>());
        let tokens = rng.random_range(1..60);
        let stream = rng.random_bool(0.5);
        let body = json!({
            "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let text = body.to_string();
        let headers = [("laburnumlug-deadline-ms", DEADLINE_MS)];
        let call = post(addr, "/v1/completions", &headers, &text);
        match compio::time::timeout(PATIENCE, call).await {
            Ok(Some(answer)) => judge(&run, &prompt, tokens, stream, &answer),
            _ => run.ledger.counts.borrow_mut().unfinished += 1,
        }
        compio::time::sleep(PAUSE).await;
    }
}

fn judge(run: &Run, prompt: &str, tokens: u64, stream: bool, answer: &Response) {
    let ledger = &run.ledger;
    if answer.status != 200 {
        ledger.counts.borrow_mut().refused += 1;
        if answer.verdict == "not-run" {
            let refused = RefusedCompletion {
                request_id: answer.request_id.clone(),
            };
            ledger.refused_completions.borrow_mut().push(refused);
        }
        return;
    }
    let (text, whole) = match stream {
        true => answer.streamed_completion(),
        false => (answer.completion_text(), true),
    };
    let expected = expected_completion(prompt, tokens);
    match whole {
        true if text == expected => ledger.counts.borrow_mut().whole += 1,
        true => ledger.violation(format!("{prompt:?} got a wrong answer {text:?}")),
        // What came of an answer that was not completed must be its beginning all the same.
        false if expected.starts_with(&text) => ledger.counts.borrow_mut().unfinished += 1,
        false => ledger.violation(format!("{prompt:?} got wrong pieces {text:?}")),
    }
}
