//! The platform's list shows entries of another writer for a moment: entries of a service that is not named in the configuration,
//! which bear the ids of servers that are listed as ready, too.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::Record;
use crate::traffic::{SERVERS, Traffic};

/// Service of the other writer's entries.
const FOREIGN_SERVICE: &str = "unnamed";
/// Time of the traffic before the entries appear, for which they stay, and after that.
const BEFORE: Duration = Duration::from_secs(5);
const LISTED_FOR: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(50);

/// Returns whether the rule held.
pub fn run(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let traffic = Traffic::start(folder, record.clone())?;
    sleep(BEFORE);
    traffic.log("before the entries");
    if has_trouble {
        let servers = traffic.servers.iter();
        let entries = servers.map(|server| server.row(FOREIGN_SERVICE, "draining"));
        traffic.list(&["ready"; SERVERS], entries.collect());
        record.add("entries of another writer are listed beside those of the servers");
        sleep(LISTED_FOR);
        traffic.list(&["ready"; SERVERS], Vec::new());
        record.add("the list is as before");
    }
    Ok(traffic.end_after(AFTER))
}
