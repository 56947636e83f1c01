//! One of the three control machines is lost at the first start of the whole system.

use std::path::Path;
use std::time::Duration;

use crate::deployment::{Deployment, config};

/// Time in which the first configuration is sent again and again; `ackMs` is 4 s, `stableWindowMs` 3 s.
const TIME: Duration = Duration::from_secs(40);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    deployment.start_server(1, "i-1", "booking");
    for n in 1..=3 {
        deployment.start_control(n, true);
    }
    deployment.note("started three control processes, with bootstrap and empty disks");
    if has_trouble {
        deployment.kill("control-3");
    }
    let routes = [("/bookings/", "unsafe", 600, "booking")];
    let is_acknowledged = deployment.configure(&config(1, &routes), TIME);
    if !is_acknowledged {
        deployment.note("RULE BROKEN: the first configuration is not acknowledged, though two of three core machines run undisturbed");
    }
    Some(is_acknowledged)
}
