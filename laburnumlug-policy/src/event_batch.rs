//! Decides how long a gateway collects engine events before it sends them to other gateways.

use std::time::Duration;

use crate::exchange::MAX_DIRECT_PEERS;

/// Maximum number of messages per second that a gateway sends to the others, all together.
const MAX_MESSAGES_PER_SECOND: u32 = 1000;

/// Maximum time for which events are collected; forwarded events are collected twice. With stale state, gateways send
/// bursts of prompts to the same engines.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the minimum time between two messages that a gateway among `gateways` gateways sends over one of its `links`.
///
/// Without batching, the number of messages grows with the number of gateways, and handling them takes most of the
/// processor time in a large fleet. Small fleets send each event at once.
///
/// A batch is urgent if it announces a prompt that was sent to an engine, since other gateways may otherwise select the
/// same engine. Other batches are sent after the maximum interval.
pub fn event_batch_interval(gateways: usize, links: usize, is_urgent: bool) -> Duration {
    match gateways <= MAX_DIRECT_PEERS + 1 {
        true => Duration::ZERO,
        false if !is_urgent => MAX_BATCH_INTERVAL,
        false => {
            let links = u32::try_from(links).unwrap_or(u32::MAX);
            let interval = (Duration::from_secs(1) / MAX_MESSAGES_PER_SECOND).saturating_mul(links);
            interval.min(MAX_BATCH_INTERVAL)
        }
    }
}

#[cfg(test)]
#[path = "event_batch_tests.rs"]
mod tests;
