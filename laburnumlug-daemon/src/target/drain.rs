//! Drain timeout: when admission has been closed for that long, running completions migrate to other engines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;

use super::TargetProcess;

/// How often the drain state is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Progress from the closing of admission to the migration of running completions.
#[derive(Default)]
pub(super) struct Drain {
    /// When admission was closed; `None` while it is open.
    closed_at: Cell<Option<Instant>>,
    /// Whether running completions must migrate to other engines.
    migrating: Cell<bool>,
    /// Notified when migration starts.
    migration_started: Event,
}

impl Drain {
    /// Starts migration once admission has been closed for `timeout`; ends it when admission reopens.
    fn update(&self, now: Instant, closed: bool, timeout: Duration) {
        let closed_at = match closed {
            true => Some(self.closed_at.get().unwrap_or(now)),
            false => None,
        };
        self.closed_at.set(closed_at);
        let migrating =
            closed_at.is_some_and(|closed_at| now.saturating_duration_since(closed_at) >= timeout);
        if migrating && !self.migrating.replace(migrating) {
            log::info!(
                "the drain timeout elapsed: running completions of this target migrate to other engines"
            );
            self.migration_started.notify(usize::MAX);
        }
        self.migrating.set(migrating);
    }

    /// Waits until running completions must migrate.
    pub(super) async fn migration_required(&self) {
        loop {
            let listener = self.migration_started.listen();
            if self.migrating.get() {
                return;
            }
            listener.await;
        }
    }
}

/// Updates the drain state for as long as the process runs.
pub(super) async fn run(process: Rc<TargetProcess>) {
    loop {
        let now = Instant::now();
        let timeout = process.settings.drain_timeout;
        process
            .drain
            .update(now, process.admission_closed_reason(now).is_some(), timeout);
        compio::time::sleep(UPDATE_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMEOUT: Duration = Duration::from_secs(10);

    #[test]
    fn update_timeout_elapsed() {
        let drain = Drain::default();
        let start = Instant::now();
        drain.update(start, true, TIMEOUT);
        assert!(!drain.migrating.get());
        drain.update(start + TIMEOUT, true, TIMEOUT);
        assert!(drain.migrating.get());
    }

    #[test]
    fn update_reopened() {
        let drain = Drain::default();
        let start = Instant::now();
        drain.update(start, true, TIMEOUT);
        drain.update(start + TIMEOUT / 2, false, TIMEOUT);
        drain.update(start + TIMEOUT, true, TIMEOUT);
        assert!(!drain.migrating.get());
    }
}
