//! When a leader may act on the outside world, so that two successive leaders never act in turn.

use std::time::{Duration, Instant};

use laburnumlug::FencingToken;

/// Margin added to the handover time between two successive leaders.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);

/// Time after the confirmation of the leadership was asked for at which a call is abandoned.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);

/// Leadership of this process: the term in which it leads, and the time at which that was first seen.
///
/// A term has one leader and terms increase, so that the term serves as the fencing token of the leader's actions.
#[derive(Clone, Copy, Debug, Default)]
pub struct DutyTurn {
    leading: Option<(FencingToken, Instant)>,
}

impl DutyTurn {
    /// Records whether this process leads, and in which term; returns the time since which it leads in that term.
    pub fn observe(&mut self, now: Instant, leading: Option<FencingToken>) -> Option<Instant> {
        self.leading = match (leading, self.leading) {
            (Some(term), Some((known_term, since))) if known_term == term => Some((term, since)),
            (Some(term), _) => Some((term, now)),
            (None, _) => None,
        };
        self.leading.map(|(_, since)| since)
    }

    /// Returns the term in which this process leads, if the handover from the previous leader is over; `handover_time` is the
    /// minimum time between actions of two successive leaders.
    pub fn acting_term(&self, now: Instant, handover_time: Duration) -> Option<FencingToken> {
        let (term, since) = self.leading?;
        let elapsed = now.saturating_duration_since(since);
        (elapsed >= handover_time + HANDOVER_MARGIN).then_some(term)
    }
}

/// Permission for one call, given once a majority has confirmed the leadership.
///
/// It expires before a successor acts, even if this machine is suspended meanwhile: its times include that time, and they
/// count from the moment at which the confirmation was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallPermit {
    /// Fencing token of the call.
    pub fence: FencingToken,
    /// Time since the start of the machine at which the call is abandoned.
    pub expires_at: Duration,
}

impl CallPermit {
    /// Creates the permit for the leader in term `fence`, which asked at `asked_at` whether it still leads.
    pub fn new(fence: FencingToken, asked_at: Duration) -> CallPermit {
        CallPermit {
            fence,
            expires_at: asked_at + MAX_CALL_TIME,
        }
    }

    /// Returns the time that is left for the call.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.expires_at.saturating_sub(now)
    }
}

#[cfg(test)]
#[path = "duty_turn_tests.rs"]
mod tests;
