//! Records the software versions of each service in the control log.
//!
//! Gateways know which versions have served since they started. After all of them have restarted, only the log tells which
//! versions served before.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use laburnumlug::TargetList;
use laburnumlug_control::{Command, Replica, SoftwareChange};

/// Timeout of one submission. A change that was not logged is submitted again with the next list.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Logs changes of the software versions in the lists that the leader reads.
pub(crate) struct SoftwareRecorder {
    replica: Rc<Replica>,
    is_logging: Cell<bool>,
}

impl SoftwareRecorder {
    pub(crate) fn new(replica: Rc<Replica>) -> Rc<SoftwareRecorder> {
        Rc::new(SoftwareRecorder {
            replica,
            is_logging: Cell::new(false),
        })
    }

    /// Logs what a list shows to have changed, unless changes are being logged.
    pub(crate) fn observe(self: &Rc<Self>, list: &TargetList) {
        let changes = self.replica.software_changes(list);
        if !changes.is_empty() && !self.is_logging.replace(true) {
            compio::runtime::spawn(self.clone().log_changes(changes)).detach();
        }
    }

    async fn log_changes(self: Rc<Self>, changes: Vec<SoftwareChange>) {
        for change in changes {
            let versions = change.versions.iter().flatten().cloned();
            let versions: Vec<String> = versions.collect();
            let service = change.service.clone();
            let command = Command::RecordSoftware(change);
            let submission = self
                .replica
                .submit_within(SystemTime::now(), command, SUBMIT_TIMEOUT);
            match submission.await {
                Ok(_) => log::info!(
                    service = service.as_str(), software = versions.join(" ").as_str();
                    "recorded the software versions of a service"
                ),
                Err(err) => log::warn!(
                    service = service.as_str();
                    "the software versions of a service may not have been recorded: {err}"
                ),
            }
        }
        self.is_logging.set(false);
    }
}
