//! Callbacks for metrics on forwarded requests.

use std::time::Duration;

use laburnumlug::Repetition;

/// Observes the outcomes of requests and of their attempts.
pub trait ForwardObserver {
    /// A request was routed; a majority of the control replicas was asked `confirmation_age` ago to confirm the routes, or has
    /// never confirmed them. `newer_logged` tells whether a replica has logged a change that they do not include.
    fn routed(&self, confirmation_age: Option<Duration>, newer_logged: bool);

    /// A target's response was forwarded; `time` runs to the complete response, or to the first event of a stream.
    fn answered(&self, repetition: Repetition, status: u16, time: Duration);

    /// The gateway itself answered a request with an error, for `cause`.
    fn refused(&self, status: u16, cause: &'static str);

    /// A stream was aborted after its first event.
    fn stream_aborted(&self);

    /// An exchange was ended because of the memory budget; `part` is what it held.
    fn memory_exceeded(&self, part: &'static str);

    /// An attempt ended; `outcome` is `answered`, or the cause of the failure.
    fn attempt_finished(&self, outcome: &'static str);

    /// A retry was requested from the retry budget, and allowed or denied.
    fn retry_requested(&self, allowed: bool);
}
