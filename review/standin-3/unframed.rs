//! A server that leaves is gone two seconds after its notice, in the middle of answers without a length.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{Deployment, config, request};
use crate::http::call;
use crate::server::{PARTS, part};

/// Number of servers, of which one is lost: fewer than the shares of the site file, 0.13 that leave and 0.17 that crash.
pub const SERVERS: u8 = 8;

/// Number of requests, so that each server has some of both kinds.
const REQUESTS: usize = 48;

/// Time from the notice until the server is gone.
const NOTICE: Duration = Duration::from_secs(2);

/// Runs the case and returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    for number in 1..=SERVERS {
        deployment.start_server(number, &format!("i-{number}"), "booking");
    }
    run_calls(&deployment, || {
        if has_trouble {
            if std::env::var("NOTICE").as_deref() != Ok("0") {
                deployment.announce_leaving("i-1");
            }
            sleep(NOTICE);
            deployment.kill("i-1");
            deployment.change_list(|rows| rows.retain(|row| row.id != "i-1"));
        }
    })
}

/// Starts the system, sends requests, causes the trouble while they are answered, and returns whether each client got a whole
/// answer or one that does not look complete.
pub fn run_calls<F>(deployment: &Deployment, cause_trouble: F) -> Option<bool>
where
    F: FnOnce(),
{
    deployment.start(1);
    let routes = [
        ("/bookings/", "unsafe", 8000, "booking"),
        ("/streams/", "stream", 8000, "booking"),
    ];
    if !deployment.configure(&config(1, &routes), Duration::from_secs(20))
        || !deployment.await_ready(1, Duration::from_secs(20))
    {
        return None;
    }
    sleep(Duration::from_secs(1));
    let front = deployment.front(1);
    let calls: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let is_event = i % 2 == 1;
            let id = format!("request-{i}");
            let path = match is_event {
                true => "/streams/events",
                false => "/bookings/whole",
            };
            deployment.note(format!("client sends {id}: POST {path}"));
            let bytes = request("POST", path, &id, 8000);
            let call = std::thread::spawn(move || call(front, &bytes, Duration::from_secs(10)));
            (id, is_event, call)
        })
        .collect();
    sleep(Duration::from_millis(300));
    cause_trouble();
    let mut is_kept = true;
    for (id, is_event, call) in calls {
        let answer = call.join().ok()?;
        let whole: String = (1..=PARTS)
            .map(|number| part(&id, number, is_event))
            .collect();
        let is_whole = answer.body == whole.as_bytes();
        let is_broken = answer.status == 200 && answer.is_complete && !is_whole;
        deployment.note(format!(
            "client of {id} got {} bytes, the server's whole body has {}, {}: {} {}",
            answer.body.len(),
            whole.len(),
            match answer.is_complete {
                true => "an answer that looks complete",
                false => "an answer that is broken off",
            },
            answer.head,
            answer.error
        ));
        if is_broken {
            deployment.note(format!(
                "RULE BROKEN: the success of {id} looks complete and is not the server's whole body"
            ));
        }
        is_kept &= !is_broken;
    }
    deployment.note_logs(1);
    Some(is_kept)
}
