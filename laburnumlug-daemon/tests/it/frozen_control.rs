//! Streams that callers resume while all control replicas are frozen, so that the gateway's list of targets grows old.

use std::time::Duration;

use rustix::process::Signal;

use crate::harness::block_on;
use crate::restart_of_all::Deployment;

/// Time without lists from control after which the gateway's own is too old to tell where a stream began.
const FREEZE_TIME: Duration = Duration::from_millis(2000);

/// Starts all processes, freezes the control replicas, and waits until the gateway's list is old.
async fn start_with_frozen_control() -> Deployment {
    let mut deployment = Deployment::start().await;
    assert_eq!(deployment.resume().await.1, 1);
    for name in ["control-1", "control-2", "control-3"] {
        let fleet = &mut deployment.processes.fleet;
        fleet.process(name).signal(Signal::STOP);
    }
    compio::time::sleep(FREEZE_TIME).await;
    deployment
}

/// Guards against resumptions that are refused for an old list although there is one software version only: the gateway
/// reads the platform's list itself.
#[test]
fn frozen_control_resumes_stream() {
    block_on(async {
        let deployment = start_with_frozen_control().await;
        assert_eq!(deployment.resume().await.1, 2);
    });
}

/// Guards against streams joined from two software versions: another one has replaced that of the stream, and the gateway's
/// old list does not show it.
#[test]
fn frozen_control_after_release() {
    block_on(async {
        let deployment = start_with_frozen_control().await;
        deployment.set_versions(&["v2"]);
        assert_eq!(deployment.resume().await, (Some(503), 1));
    });
}
