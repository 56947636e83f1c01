//! Schedules the inspections of engines, in which gateways fetch the lists of cached prompts.

use std::time::Duration;

/// Number of gateways that may inspect an engine before [`FALLBACK_DELAY`]. Each skips its inspection once it has received
/// the result of another one.
const INSPECTORS: usize = 3;

/// Timeout for an engine to list its cached prompt parts.
pub const INSPECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay between the inspections of one engine by consecutive gateways. It exceeds [`MAX_BUSY_WAIT`] and the timeout, so that
/// only a failed inspection is repeated.
const STAGGER: Duration = Duration::from_millis(1400);

/// Time for which an inspection is put off while the engine prefills prompts.
const MAX_BUSY_WAIT: Duration = Duration::from_millis(500);

/// Minimum delay of the other gateways, for the case that no result reaches them.
const FALLBACK_DELAY: Duration = Duration::from_millis(4500);

/// Returns how long a gateway with this rendezvous rank for an engine waits until it inspects it; `sample` is uniform in
/// [0, 1).
///
/// After a loss of power, all gateways start at the same time. If each inspected all engines, the lists would saturate
/// slow links and processors and delay requests. A gateway without a rank, because it does not know the others, waits for
/// a random time.
pub fn inspection_delay(rank: Option<usize>, sample: f64) -> Duration {
    match rank {
        Some(rank) if rank < INSPECTORS => STAGGER * rank as u32,
        Some(_) => FALLBACK_DELAY.mul_f64(1.0 + sample),
        None => FALLBACK_DELAY.mul_f64(sample),
    }
}

/// Returns whether an inspection that has been put off for `waited` may start now.
///
/// The list delays the prompts at the engine. After a restart of all gateways, they would all be delayed when most callers
/// wait.
pub fn may_inspect(waited: Duration, is_prefilling: bool) -> bool {
    !is_prefilling || waited >= MAX_BUSY_WAIT
}

#[cfg(test)]
#[path = "inspection_tests.rs"]
mod tests;
