//! The control processes are restarted in turn after a change of the settings, in which the bound `leaseMs` is a fraction.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{Deployment, config};

/// Number of times for which the platform starts a process that ends by itself, and the pause before each.
const STARTS: usize = 4;
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Number of exits from which a machine counts, of which half of the core is one too many.
const MAX_EXITS: usize = 3;

/// Time in which a process that cannot start ends, and the time that each machine has until the next one is restarted.
const EXIT_TIME: Duration = Duration::from_secs(2);
const CATCH_UP: Duration = Duration::from_secs(5);

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    deployment.start_server(1, "i-1", "booking");
    deployment.start(1);
    let routes = [("/bookings/", "unsafe", 600, "booking")];
    if !deployment.configure(&config(1, &routes), Duration::from_secs(20))
        || !deployment.await_ready(1, Duration::from_secs(20))
    {
        return None;
    }
    if has_trouble {
        deployment.set_lease_ms("2999.5");
    }
    let mut ended = 0;
    for n in 1..=3 {
        let name = format!("control-{n}");
        deployment.stop(&name);
        let mut exits = 0;
        for _ in 0..STARTS {
            sleep(RESTART_DELAY);
            deployment.start_control(n, false);
            match deployment.await_exit(&name, EXIT_TIME) {
                Some(status) => {
                    exits += 1;
                    deployment.note(format!(
                        "{name} ended by itself, {status}: {}",
                        deployment.last_line(&name)
                    ));
                }
                None => {
                    deployment.note(format!("{name} runs"));
                    break;
                }
            }
        }
        ended += usize::from(exits >= MAX_EXITS);
        sleep(CATCH_UP);
    }
    let is_acknowledged = deployment.configure(&config(2, &routes), Duration::from_secs(10));
    deployment.note(format!(
        "a further configuration was acknowledged: {is_acknowledged}"
    ));
    let is_broken = ended >= 2;
    if is_broken {
        deployment.note(format!(
            "RULE BROKEN: processes ended by themselves three times on {ended} of 3 core machines"
        ));
    }
    Some(!is_broken)
}
