//! The servers of a service are drained, ended and started again one after the other, each under the id and at the address that it
//! had.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::Record;
use crate::traffic::{SERVERS, Traffic};

/// Time for which a server serves after it was listed as `draining`: `drainMs` and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(3500);
/// Time between the end of a server and its next start.
const RESTART_TIME: Duration = Duration::from_millis(1000);
/// Time between the start of a server and the draining of the next one.
const GAP: Duration = Duration::from_millis(1500);
/// Lag of the platform's list.
const LAG: Duration = Duration::from_millis(800);
/// Time of the traffic before the release and after it.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(60);

/// Returns whether the rule held.
pub fn run(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut traffic = Traffic::start(folder, record.clone())?;
    sleep(BEFORE);
    traffic.log("before the release");
    for i in 0..SERVERS {
        if !has_trouble {
            break;
        }
        let mut states = ["ready"; SERVERS];
        states[i] = "draining";
        traffic.list(&states, Vec::new());
        record.add(&format!("server i-{i} is listed as draining"));
        sleep(LAG + DRAIN_TIME);
        traffic.servers[i].end();
        record.add(&format!("server i-{i} has ended"));
        states[i] = "";
        traffic.list(&states, Vec::new());
        sleep(RESTART_TIME);
        traffic.servers[i].start_again()?;
        sleep(LAG);
        traffic.list(&["ready"; SERVERS], Vec::new());
        record.add(&format!("server i-{i} runs again and is listed as ready"));
        sleep(GAP);
        traffic.log("meanwhile");
    }
    Ok(traffic.end_after(AFTER))
}
