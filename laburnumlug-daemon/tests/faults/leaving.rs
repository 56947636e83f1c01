//! Intervals in which a leaving target must not start new work.

use std::time::{Duration, Instant};

use crate::history::Change;

/// Time within which every process must apply an acknowledged change.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// Interval in which a target must not start new work.
#[derive(Clone, Debug)]
pub struct LeavingInterval {
    pub target: String,
    /// When every process must have applied the change that made the target leave.
    pub from: Instant,
    /// When the next change of the target was first sent; `None` if there was none.
    pub until: Option<Instant>,
}

impl LeavingInterval {
    /// Returns whether the interval contains `time`.
    pub fn contains(&self, time: Instant) -> bool {
        time > self.from && self.until.is_none_or(|until| time < until)
    }
}

/// Returns the intervals in which targets were leaving, according to all acknowledged changes.
///
/// A change of unknown outcome may have set any target to serving, so there are no intervals if there was such a
/// change.
pub fn leaving_intervals(changes: &[Change], unknown_changes: usize) -> Vec<LeavingInterval> {
    if unknown_changes > 0 {
        return Vec::new();
    }
    let mut changes = changes.to_vec();
    changes.sort_by_key(|change| change.version);
    let mut intervals = Vec::new();
    for (i, change) in changes.iter().enumerate() {
        if !change.is_leaving {
            continue;
        }
        let next = changes[i + 1..]
            .iter()
            .find(|later| later.target == change.target);
        intervals.push(LeavingInterval {
            target: change.target.clone(),
            from: change.acknowledged_at + MAX_PROPAGATION_TIME,
            until: next.map(|next| next.sent_at),
        });
    }
    intervals
}
