//! Reports to the control replicas which version of the fleet document is in force in this process.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use laburnumlug_mesh::{NodeCommand, NodeReport};

use crate::control_client::ControlClient;
use crate::fleet_watch::FleetWatch;

/// Interval between checks of the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one report; a retry reports the version that is in force by then.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts reporting the versions of the fleet document that come into force in this process.
pub(crate) fn start(process: &str, control: Rc<ControlClient>, fleet: FleetWatch) {
    let started_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let report = NodeReport {
        process: process.to_string(),
        incarnation: rand::random(),
        started_ms,
        version: 0,
    };
    compio::runtime::spawn(run(report, control, fleet)).detach();
}

async fn run(mut report: NodeReport, control: Rc<ControlClient>, fleet: FleetWatch) {
    loop {
        let now = Instant::now();
        let version = fleet.current(now).map_or(0, |view| view.version);
        if version > report.version {
            let next_report = NodeReport {
                version,
                ..report.clone()
            };
            let command = NodeCommand::Register(next_report.clone());
            match control.submit(now + REPORT_TIMEOUT, command).await {
                Ok(_) => report = next_report,
                Err(err) => log::warn!(
                    "failed to record in the control log that this process uses fleet document version {version}, retrying: {err} (verdict on the submission: {})",
                    err.verdict()
                ),
            }
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
