//! Reads the platform's list of live targets for all processes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_control::Replica;
use laburnumlug_platform::TargetSource;

use crate::role_planner::RolePlanner;

/// Time between two reads while this replica leads; calls to the platform are rationed.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list again and again while this replica leads.
pub(crate) async fn run(
    replica: Rc<Replica>,
    source: Rc<dyn TargetSource>,
    planner: Rc<RolePlanner>,
) {
    let mut failing = false;
    loop {
        let asked_at = Instant::now();
        if replica.is_leader(asked_at) {
            let result = source.fetch(READ_TIMEOUT).await;
            match (&result, failing) {
                (Err(err), false) => log::warn!("the list of targets is not to be had: {err}"),
                (Ok(_), true) => log::info!("the list of targets is to be had again"),
                _ => {}
            }
            failing = result.is_err();
            if let Ok(mut list) = result {
                planner.plan(Instant::now(), &mut list);
                replica.publish_targets(asked_at, list);
            }
        }
        compio::time::sleep(READ_INTERVAL).await;
    }
}
