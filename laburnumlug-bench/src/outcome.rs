//! Outcomes of the requests of a run.

use std::time::Duration;

/// Outcome of a request as seen by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole, correct completion arrived in time.
    InTime,
    /// The whole, correct completion arrived late.
    Late,
    /// The request was refused and did not run.
    Refused,
    /// The request failed and may have run.
    MayHaveRun,
    /// The whole completion arrived, but its text was wrong.
    Wrong,
}

/// Outcome and timings of a request, in simulated time unless stated otherwise.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    pub(crate) outcome: Outcome,
    /// Time at which the request was first sent, from the start of the run.
    pub(crate) sent_at: Duration,
    pub(crate) caller: String,
    /// Time from the first attempt to the first delta.
    pub(crate) time_to_first_token: Option<Duration>,
    /// Mean time per token of each delta after the first.
    pub(crate) inter_token_times: Vec<Duration>,
    /// Latency of each refusal, in wall-clock time.
    pub(crate) refusal_times: Vec<Duration>,
    pub(crate) attempts: u64,
    /// Message of the last refusal or failure; `None` if the whole completion arrived.
    pub(crate) failure: Option<String>,
}
