//! Load generator that sends the requests of a trace as callers would and records their results.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_standin::expected_completion;

use crate::client::{self, AttemptOutcome, CompletionCall, DeltaArrival};
use crate::config::Config;
use crate::fleet::MODEL;
use crate::outcome::{Outcome, RequestResult};
use crate::trace::Request;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u64 = 8;

/// Minimum wall-clock time from a retry to the deadline; a retry that would leave less is not made.
const MIN_RETRY_TIME: Duration = Duration::from_millis(10);

/// State shared by the request tasks of one run.
pub(crate) struct LoadGenerator {
    config: Config,
    start: Instant,
    entries: Vec<SocketAddr>,
    results: RefCell<Vec<RequestResult>>,
}

impl LoadGenerator {
    pub(crate) fn new(
        config: &Config,
        start: Instant,
        entries: Vec<SocketAddr>,
    ) -> Rc<LoadGenerator> {
        Rc::new(LoadGenerator {
            config: config.clone(),
            start,
            entries,
            results: RefCell::default(),
        })
    }

    /// Returns the number of finished requests.
    pub(crate) fn finished_requests(&self) -> usize {
        self.results.borrow().len()
    }

    /// Removes and returns the results of the finished requests.
    pub(crate) fn take_results(&self) -> Vec<RequestResult> {
        self.results.take()
    }

    /// Sends a request immediately and records its result; after a refusal that states a delay, retries at the next
    /// entry, up to [`MAX_ATTEMPTS`] attempts.
    pub(crate) async fn send(self: Rc<LoadGenerator>, index: usize, req: Request) {
        let sent_at = Instant::now();
        let due = sent_at + self.config.to_wall_clock(req.deadline);
        let prompt = req.prompt();
        let mut result = RequestResult {
            outcome: Outcome::Refused,
            sent_at: self.to_simulated(sent_at - self.start),
            caller: req.caller.clone(),
            time_to_first_token: None,
            inter_token_times: Vec::new(),
            refusal_times: Vec::new(),
            attempts: 0,
            failure: None,
        };
        while result.attempts < MAX_ATTEMPTS {
            let entry = self.entries[(index + result.attempts as usize) % self.entries.len()];
            result.attempts += 1;
            let attempt_start = Instant::now();
            let call = CompletionCall {
                model: MODEL,
                caller: &req.caller,
                prompt: &prompt,
                max_tokens: req.max_tokens,
                deadline: due.saturating_duration_since(attempt_start),
            };
            match client::request_completion(entry, &call).await {
                AttemptOutcome::Refused {
                    retry_after,
                    message,
                } => {
                    result.failure = Some(message);
                    result.refusal_times.push(attempt_start.elapsed());
                    if !wait_for_retry(retry_after, due).await {
                        break;
                    }
                }
                AttemptOutcome::Failed { message } => {
                    result.outcome = Outcome::MayHaveRun;
                    result.failure = Some(message);
                    break;
                }
                AttemptOutcome::Complete { text, deltas } => {
                    result.failure = None;
                    let in_time = Instant::now() <= due;
                    let is_correct = text == expected_completion(&prompt, req.completion_tokens);
                    result.outcome = match (is_correct, in_time) {
                        (false, _) => Outcome::Wrong,
                        (true, true) => Outcome::InTime,
                        (true, false) => Outcome::Late,
                    };
                    self.record_times(
                        &mut result,
                        sent_at,
                        &deltas,
                        text.len(),
                        req.completion_tokens,
                    );
                    break;
                }
            }
        }
        self.results.borrow_mut().push(result);
    }

    fn record_times(
        &self,
        result: &mut RequestResult,
        sent_at: Instant,
        deltas: &[DeltaArrival],
        completion_bytes: usize,
        completion_tokens: u64,
    ) {
        result.time_to_first_token = deltas
            .first()
            .map(|first| self.to_simulated(first.received_at - sent_at));
        let bytes_per_token = completion_bytes as f64 / completion_tokens as f64;
        result.inter_token_times = deltas
            .windows(2)
            .map(|pair| {
                let tokens = pair[1].bytes as f64 / bytes_per_token;
                self.to_simulated(pair[1].received_at - pair[0].received_at)
                    .div_f64(tokens)
            })
            .collect();
    }

    fn to_simulated(&self, time: Duration) -> Duration {
        time.mul_f64(self.config.compression)
    }
}

/// Waits for the delay stated by a refusal and returns true, or returns false at once if the refusal states none or
/// the delay would leave less than [`MIN_RETRY_TIME`].
async fn wait_for_retry(retry_after: Option<Duration>, due: Instant) -> bool {
    let Some(after) = retry_after else {
        return false;
    };
    if Instant::now() + after + MIN_RETRY_TIME >= due {
        return false;
    }
    compio::time::sleep(after).await;
    true
}
