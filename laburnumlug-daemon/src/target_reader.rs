//! Polls the platform's list of live targets at the leading control replica, which publishes it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_control::Replica;
use laburnumlug_platform::TargetSource;

use crate::duties::ScalingDuty;
use crate::role_planner::RolePlanner;
use crate::software_recorder::SoftwareRecorder;

/// Interval between reads of the list while this replica leads; calls to the platform are limited.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a replica checks whether it leads.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one read; after it, the last published list stays until the next read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list while this replica leads; the role planner marks changing engines in it before it is published.
pub(crate) async fn run(
    replica: Rc<Replica>,
    source: Rc<dyn TargetSource>,
    planner: Rc<RolePlanner>,
    software: Rc<SoftwareRecorder>,
    scaling: Option<Rc<ScalingDuty>>,
) {
    let mut is_failing = false;
    loop {
        let requested_at = Instant::now();
        let is_leader = replica.is_leader(requested_at);
        if is_leader {
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
                software.observe(&list);
                if let Some(scaling) = &scaling {
                    scaling.observe(now, &list, &planner.demand_meter());
                }
                replica.publish_targets(requested_at, list);
            }
        }
        // Gateways that start wait for the first list of a new leader.
        let interval = match is_leader {
            true => READ_INTERVAL,
            false => LEADERSHIP_CHECK_INTERVAL,
        };
        compio::time::sleep(interval).await;
    }
}
