//! Polls the platform's list of live targets at the leading control replica, for all processes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_control::Replica;
use laburnumlug_platform::TargetSource;

use crate::role_planner::RolePlanner;

/// Interval between reads of the list while this replica leads; calls to the platform are limited.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for reading the list once.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list, lets the role planner update it and publishes it, repeatedly while this replica leads.
pub(crate) async fn run(
    replica: Rc<Replica>,
    source: Rc<dyn TargetSource>,
    planner: Rc<RolePlanner>,
) {
    let mut is_failing = false;
    loop {
        let requested_at = Instant::now();
        if replica.is_leader(requested_at) {
            let result = source.fetch(READ_TIMEOUT).await;
            match (&result, is_failing) {
                (Err(err), false) => {
                    log::warn!("failed to read the list of live targets from the platform: {err}")
                }
                (Ok(_), true) => {
                    log::info!("reading the list of live targets from the platform succeeds again")
                }
                _ => {}
            }
            is_failing = result.is_err();
            if let Ok(mut list) = result {
                planner.plan(Instant::now(), &mut list);
                replica.publish_targets(requested_at, list);
            }
        }
        compio::time::sleep(READ_INTERVAL).await;
    }
}
