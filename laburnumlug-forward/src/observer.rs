//! What is told of requests, so that it can be counted.

use std::time::Duration;

use laburnumlug::Repetition;

/// Is told how requests, and single sends of them, ended.
pub trait ForwardObserver {
    /// A target's answer was passed on: `time` is that to the whole answer, or to a stream's first event.
    fn answered(&self, repetition: Repetition, status: u16, time: Duration);

    /// A request was answered by this process itself, for `cause`.
    fn refused(&self, status: u16, cause: &'static str);

    /// A stream that had begun was broken off.
    fn stream_broken(&self);

    /// A request was sent to a target; `outcome` is `answered`, or the cause of the failure.
    fn sent(&self, outcome: &'static str);

    /// A further send was wanted, and allowed or not.
    fn further_send(&self, allowed: bool);
}
