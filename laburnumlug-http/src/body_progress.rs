//! Rate at which a request's body arrives.

use std::time::{Duration, Instant};

/// Length of the window over which the rate is observed.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of bytes in a window below which a body arrives slowly; callers on mobile networks send more.
const MIN_WINDOW_BYTES: usize = 32 * 1024;

/// Counts the bytes of a body that is arriving, in the current window and in the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyProgress {
    began_at: Instant,
    window_began_at: Instant,
    bytes: usize,
    previous_bytes: usize,
}

impl BodyProgress {
    /// Creates the progress of a body that begins now.
    pub(crate) fn new(now: Instant) -> BodyProgress {
        BodyProgress {
            began_at: now,
            window_began_at: now,
            bytes: 0,
            previous_bytes: 0,
        }
    }

    /// Returns when the body began.
    pub(crate) fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Counts bytes that have arrived.
    pub(crate) fn record(&mut self, now: Instant, bytes: usize) {
        let time = now.saturating_duration_since(self.window_began_at);
        if time >= WINDOW {
            self.previous_bytes = if time < 2 * WINDOW { self.bytes } else { 0 };
            self.bytes = 0;
            self.window_began_at = now;
        }
        self.bytes += bytes;
    }

    /// Returns the number of bytes in the last window or two if the body arrives slowly, else `None`.
    pub(crate) fn slow_bytes(&self, now: Instant) -> Option<usize> {
        let bytes = match now.saturating_duration_since(self.window_began_at) {
            time if time < WINDOW => self.previous_bytes + self.bytes,
            time if time < 2 * WINDOW => self.bytes,
            _ => 0,
        };
        let is_new = now.saturating_duration_since(self.began_at) < 2 * WINDOW;
        (!is_new && bytes < MIN_WINDOW_BYTES).then_some(bytes)
    }
}

#[cfg(test)]
#[path = "body_progress_tests.rs"]
mod tests;
