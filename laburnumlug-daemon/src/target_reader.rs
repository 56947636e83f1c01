//! Polls the platform's list of live targets at the leading control replica, which publishes it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_control::Replica;
use laburnumlug_platform::TargetSource;

use crate::duties::ScalingDuty;
use crate::role_planner::RolePlanner;

/// Interval between reads of the list while this replica leads; calls to the platform are limited.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one read; after it, the last published list stays until the next read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list while this replica leads; the role planner marks changing engines in it before it is published.
pub(crate) async fn run(
    replica: Rc<Replica>,
    source: Rc<dyn TargetSource>,
    planner: Rc<RolePlanner>,
    scaling: Option<Rc<ScalingDuty>>,
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
                    log::info!("the list of live targets can be read from the platform again")
                }
                _ => {}
            }
            is_failing = result.is_err();
            if let Ok(mut list) = result {
                let now = Instant::now();
                planner.plan(now, &mut list);
                if let Some(scaling) = &scaling {
                    scaling.observe(now, &list, &planner.demand_meter());
                }
                replica.publish_targets(requested_at, list);
            }
        }
        compio::time::sleep(READ_INTERVAL).await;
    }
}
