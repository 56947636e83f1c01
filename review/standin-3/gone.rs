//! A server crashes in the middle of streams that may be resumed, and their clients leave while the gateway resumes them.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{Deployment, config, request};
use crate::server::unix_millis;

const STREAMS: usize = 8;

/// Time from the crash until the clients leave, and that in which a server may still be at work afterwards.
const STAY: Duration = Duration::from_millis(150);
const ALLOWED_WORK_MS: u128 = 500;

pub fn run(record: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::new(record);
    deployment.start_server(1, "i-1", "booking");
    deployment.start(1);
    let routes = [("/streams/", "resumable", 8000, "booking")];
    if !deployment.configure(&config(1, &routes), Duration::from_secs(20))
        || !deployment.await_ready(1, Duration::from_secs(20))
    {
        return None;
    }
    // The core has to be stable for a while, so that the gateway is in touch.
    sleep(Duration::from_secs(4));
    let front = deployment.front(1);
    let mut streams = Vec::new();
    for i in 0..STREAMS {
        let mut stream = TcpStream::connect(front).ok()?;
        stream
            .write_all(&request(
                "POST",
                "/streams/resumable",
                &format!("request-{i}"),
                8000,
            ))
            .ok()?;
        streams.push(stream);
    }
    for stream in &mut streams {
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        if stream.read(&mut [0; 4096]).ok()? == 0 {
            return None;
        }
    }
    deployment.note(format!(
        "{STREAMS} clients have the first event of their streams"
    ));
    deployment.start_server(2, "i-2", "booking");
    sleep(Duration::from_secs(2));
    if has_trouble {
        deployment.kill("i-1");
    }
    sleep(STAY);
    drop(streams);
    let left_at = unix_millis();
    deployment.note(format!(
        "all clients have closed their connections, at {left_at}"
    ));
    sleep(Duration::from_secs(5));
    let log = std::fs::read_to_string(deployment.server_log()).unwrap_or_default();
    let mut last_work: HashMap<&str, u128> = HashMap::new();
    for line in log.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let (Some(id), Some(at)) = (
            words.get(3),
            words.last().and_then(|at| at.parse::<u128>().ok()),
        ) else {
            continue;
        };
        let last = last_work.entry(*id).or_default();
        *last = at.max(*last);
    }
    let is_late = |at: &&u128| **at > left_at + ALLOWED_WORK_MS;
    let late = last_work.values().filter(is_late).count();
    for (id, at) in &last_work {
        deployment.note(format!(
            "a server ended its work on {id} {} ms after the client had left",
            *at as i128 - left_at as i128
        ));
    }
    deployment.note_logs(1);
    // The retry budget does not let all streams go on; those that have ended would not have lasted.
    let lasting = last_work.values().filter(|at| **at >= left_at).count();
    deployment.note(format!("servers were at work over {ALLOWED_WORK_MS} ms later on {late} of {lasting} streams that lasted"));
    let is_broken = late * 4 > lasting;
    if is_broken {
        deployment.note("RULE BROKEN: that is more than a quarter");
    }
    Some(!is_broken)
}
