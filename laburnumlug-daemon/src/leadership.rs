//! Turn of a control replica to act on the outside world: orders to engines and calls to the platform.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{BootTime, FencingToken};
use laburnumlug_control::Replica;
use laburnumlug_policy::{CallPermit, DutyTurn};

/// Timeout for a majority of the replicas to confirm that this replica still leads.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between orders of two successive leaders.
#[derive(Debug)]
pub(crate) struct HandoverTime(Cell<Duration>);

impl HandoverTime {
    pub(crate) fn new(time: Duration) -> HandoverTime {
        HandoverTime(Cell::new(time))
    }

    /// Sets a longer time; a shorter one takes effect at the next start, as the other replicas may still obey the longer one.
    pub(crate) fn raise(&self, time: Duration) {
        let previous = self.0.get();
        self.0.set(previous.max(time));
    }

    /// Returns the time that is in force.
    pub(crate) fn get(&self) -> Duration {
        self.0.get()
    }
}

/// Leadership of the control log, as the authority to act on the outside world.
pub(crate) struct Leadership {
    replica: Rc<Replica>,
    handover: Rc<HandoverTime>,
    turn: RefCell<DutyTurn>,
}

impl Leadership {
    /// Creates the authority of a replica, which waits for `handover` after it was elected.
    pub(crate) fn new(replica: Rc<Replica>, handover: Rc<HandoverTime>) -> Leadership {
        Leadership {
            replica,
            handover,
            turn: RefCell::default(),
        }
    }

    /// Returns the time since which this replica leads in the current term, or `None` if it does not lead.
    pub(crate) fn leading_since(&self, now: Instant) -> Option<Instant> {
        let (term, _) = self.replica.term_and_commit_index();
        let leading = self.replica.is_leader(now).then_some(term);
        self.turn.borrow_mut().observe(now, leading)
    }

    /// Returns the term of this replica if it led when it was last checked, and the handover is over.
    pub(crate) fn acting_term(&self, now: Instant) -> Option<FencingToken> {
        self.turn.borrow().acting_term(now, self.handover.get())
    }

    /// Returns the permission for one call in `term`, if a majority of the replicas confirms in time that this replica still
    /// leads in it.
    ///
    /// A leader that was suspended may have been replaced. Its calls must not arrive after those of its successor.
    pub(crate) async fn confirm(&self, term: FencingToken) -> Option<CallPermit> {
        let asked_at = BootTime::now().since_boot();
        let confirmed = self
            .replica
            .confirm_leadership(term, CONFIRMATION_TIMEOUT)
            .await;
        let permit = CallPermit::new(term, asked_at);
        // After a suspension, the answers that confirm the leadership may be old.
        (confirmed && !permit.time_left(BootTime::now().since_boot()).is_zero()).then_some(permit)
    }
}
