//! A gateway is stopped; a client sends its next request on a connection that it has kept open.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, Record};
use crate::http::{Client, find};
use crate::servers::{Arrivals, Behaviour, List, Server, config, start_server};

/// Time after SIGTERM at which the client sends. The rule excuses requests that are sent up to 3 s after it.
const SEND_AFTER: Duration = Duration::from_millis(3_400);

/// Events of a short and of a long stream; with a pause of 150 ms the long one takes 5.1 s of the 8 s that it has.
fn event_count(path: &str) -> usize {
    if path.ends_with("long") { 35 } else { 3 }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let list = List::start().map_err(|err| format!("the platform's list: {err}"))?;
    let arrivals = Arrivals::default();
    for number in 0..4 {
        let stage = if number < 2 { "prefill" } else { "decode" };
        let server = Server { number, id: format!("i-{number}"), stage, is_draining: false, has_ended: false };
        let behaviour = Behaviour { prefill_time: Duration::from_millis(100), event_count };
        start_server(record, &list, server, behaviour, &arrivals).map_err(|err| err.to_string())?;
    }
    let deployment = Deployment::start(record, &config()).ok_or("the system did not start")?;
    sleep(Duration::from_secs(5));
    let mut client = Client::connect(deployment.front(0)).map_err(|err| err.to_string())?;
    let first = send(record, &mut client, "a000000000000001", "/digest/short").map_err(|err| err.to_string())?;
    if !first {
        return Err("the first request failed".to_string());
    }
    let stopped_at = Instant::now();
    if has_trouble {
        record.add("SIGTERM to the gateway; it has 8 s (graceS)");
        deployment.gateways[0].signal("-TERM");
    }
    sleep(SEND_AFTER.saturating_sub(stopped_at.elapsed()));
    let result = send(record, &mut client, "a000000000000002", "/digest/long");
    record.add(format!("the last request ended {} ms after SIGTERM", stopped_at.elapsed().as_millis()));
    let was_passed_on = arrivals.lock().unwrap().iter().any(|arrival| arrival.request == "a000000000000002");
    let is_broken = was_passed_on && !matches!(result, Ok(true));
    Ok(!is_broken)
}

/// Sends a request and returns whether its answer is complete; an error if the connection ended without an answer.
fn send(record: &Record, client: &mut Client, id: &str, path: &str) -> std::io::Result<bool> {
    record.add(format!("client: sends request {id}, {path}, deadline 8000 ms, on its connection"));
    let headers = [
        ("x-request-id", id),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-token-counts", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ];
    let answer = client.call("POST", path, &headers, "prompt", Duration::from_secs(10));
    match &answer {
        Ok(answer) => record.add(format!(
            "client: request {id} is answered {}, seal {:?}, {} events, complete: {}",
            answer.status,
            find(&answer.headers, "x-server-seal"),
            answer.body.matches("data:").count(),
            answer.is_complete
        )),
        Err(err) => record.add(format!("client: request {id} gets no answer: {err}")),
    }
    answer.map(|answer| answer.is_complete && answer.status == 200)
}
