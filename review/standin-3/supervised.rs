//! A server crashes in the middle of answers without a length, while its supervisor keeps its listening socket for the next one.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::unframed;

/// Time until the supervisor starts the next server.
const RESTART: Duration = Duration::from_millis(500);

/// Runs the case and returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    let socket = deployment.listen(1);
    let socket_of_first = socket.try_clone().ok()?;
    deployment.start_server_on(socket_of_first, 1, "i-1", "booking");
    for number in 2..=unframed::SERVERS {
        deployment.start_server(number, &format!("i-{number}"), "booking");
    }
    unframed::run_calls(&deployment, || {
        if has_trouble {
            sleep(Duration::from_secs(2));
            deployment.kill("i-1");
            sleep(RESTART);
            deployment.change_list(|rows| rows.retain(|row| row.id != "i-1"));
            if let Ok(socket) = socket.try_clone() {
                deployment.start_server_on(socket, 1, "i-9", "booking");
            }
        }
    })
}
