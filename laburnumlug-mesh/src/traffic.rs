//! Process-wide counters of sent mesh messages.

use std::sync::atomic::{AtomicU64, Ordering};

static SENT_MESSAGES: AtomicU64 = AtomicU64::new(0);
static SENT_BYTES: AtomicU64 = AtomicU64::new(0);

/// Messages and bytes sent over all mesh connections of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes of the encoded messages, excluding framing.
    pub bytes: u64,
}

/// Returns the messages and bytes that this process has sent so far.
pub fn sent_traffic() -> Traffic {
    Traffic {
        messages: SENT_MESSAGES.load(Ordering::Relaxed),
        bytes: SENT_BYTES.load(Ordering::Relaxed),
    }
}

pub(crate) fn count_sent_message(bytes: usize) {
    SENT_MESSAGES.fetch_add(1, Ordering::Relaxed);
    SENT_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}
