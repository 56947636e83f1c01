//! Fair-share accounting between callers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use laburnumlug::CallerName;

use crate::work::WorkItem;

/// Multiple of an equal share of the capacity in use that a caller may hold before it is above its fair share.
const FAIR_SHARE_FACTOR: f64 = 2.0;

/// Share of a target's capacity in use up to which no caller is above its fair share.
const MIN_FAIR_SHARE: f64 = 0.25;

/// Time for which a caller counts as active after its last request.
const ACTIVE_TIME: Duration = Duration::from_secs(30);

/// Maximum number of callers that are tracked.
const MAX_TRACKED_CALLERS: usize = 1024;

/// Returns whether admitting `item` would put `caller` above its fair share of a target's work.
///
/// Shares are measured in capacity pieces. A sole active caller is never above its share, and neither is a caller that
/// has no work at the target yet.
pub(crate) fn is_above_fair_share(
    caller: &str,
    item: &WorkItem,
    items: &[WorkItem],
    active_callers: usize,
) -> bool {
    if active_callers < 2 {
        return false;
    }
    let total: u64 = items.iter().map(|item| item.pieces).sum();
    let own = items.iter().filter(|item| item.caller == caller);
    let own: u64 = own.map(|item| item.pieces).sum();
    let share = (FAIR_SHARE_FACTOR / active_callers as f64).max(MIN_FAIR_SHARE);
    own > 0 && (own + item.pieces) as f64 > share * (total + item.pieces) as f64
}

/// Tracks the callers that have sent requests recently.
#[derive(Clone, Debug, Default)]
pub struct CallerActivity {
    last_seen: HashMap<CallerName, Instant>,
}

impl CallerActivity {
    /// Records a request from `caller` and returns the number of active callers, including this one, but at most 1,024.
    pub fn record_request(&mut self, now: Instant, caller: &str) -> usize {
        self.last_seen
            .retain(|_, seen| now.saturating_duration_since(*seen) <= ACTIVE_TIME);
        if self.last_seen.len() < MAX_TRACKED_CALLERS || self.last_seen.contains_key(caller) {
            self.last_seen.insert(caller.to_string(), now);
        }
        self.last_seen.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn item(caller: &str, pieces: u64) -> WorkItem {
        WorkItem {
            caller: caller.into(),
            deadline: Instant::now(),
            pieces,
            prefill_tokens: 1.0,
            decode_tokens: 1.0,
            started: false,
        }
    }

    #[test]
    fn is_above_fair_share_alone() {
        let items = vec![item("a", 1); 9];
        assert!(!is_above_fair_share("a", &item("a", 1), &items, 1));
    }

    #[test]
    fn is_above_fair_share_first_request() {
        assert!(!is_above_fair_share("a", &item("a", 9), &[], 50));
        assert!(!is_above_fair_share(
            "a",
            &item("a", 9),
            &[item("b", 1)],
            50
        ));
    }

    #[test]
    fn is_above_fair_share_flood() {
        let items = [item("a", 4), item("b", 1), item("c", 1)];
        assert!(is_above_fair_share("a", &item("a", 1), &items, 4));
        assert!(!is_above_fair_share("b", &item("b", 1), &items, 4));
    }

    #[test]
    fn record_request_forgets_after_active_time() {
        let now = Instant::now();
        let mut activity = CallerActivity::default();
        assert_eq!(activity.record_request(now, "a"), 1);
        assert_eq!(activity.record_request(now + ACTIVE_TIME, "b"), 2);
        let later = now + ACTIVE_TIME + Duration::from_millis(1);
        assert_eq!(activity.record_request(later, "b"), 1);
    }
}
