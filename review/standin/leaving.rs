//! A server leaves while others read prompts for it.

use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, Record};
use crate::http::{call, find};
use crate::servers::{Arrivals, Behaviour, List, Server, config, start_server};

/// Time in which a prompt of 93,100 tokens is read, the longest that the site file has.
const PREFILL_TIME: Duration = Duration::from_millis(4_200);

/// Time after the requests were sent at which the platform's list shows that a server leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which the leaving server goes on: `drainMs` and some seconds.
const LEAVING_TIME: Duration = Duration::from_millis(5_500);

const PREFILL_SERVERS: usize = 6;
const SERVERS: usize = 9;
const LEAVING: &str = "i-7";
const REQUESTS: usize = 12;

/// Events of a stream: 2.85 s with pauses of 150 ms.
fn event_count(_path: &str) -> usize {
    20
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let list = List::start().map_err(|err| format!("the platform's list: {err}"))?;
    let arrivals = Arrivals::default();
    for number in 0..SERVERS {
        let stage = if number < PREFILL_SERVERS { "prefill" } else { "decode" };
        let server = Server { number, id: format!("i-{number}"), stage, is_draining: false, has_ended: false };
        let behaviour = Behaviour { prefill_time: PREFILL_TIME, event_count };
        start_server(record, &list, server, behaviour, &arrivals).map_err(|err| err.to_string())?;
    }
    let deployment = Deployment::start(record, &config()).ok_or("the system did not start")?;
    sleep(Duration::from_secs(5));
    let complete = Arc::new(Mutex::new(0));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, complete, front) = (record.clone(), complete.clone(), deployment.front(number % 3));
            thread::spawn(move || {
                sleep(Duration::from_millis(20 * number as u64));
                let id = format!("b{number:015x}");
                let prefix = format!("{:x}:39900,{:x}:53200", 0x5c1e_0000 + number, 0xe440_0000_u64 + number as u64);
                let headers = [
                    ("x-request-id", id.as_str()),
                    ("x-deadline-ms", "8000"),
                    ("x-model", "m"),
                    ("x-token-counts", "93100,20"),
                    ("x-prompt-prefix", prefix.as_str()),
                ];
                record.add(format!("client: sends request {id}, deadline 8000 ms"));
                match call(front, "POST", "/digest/1", &headers, "prompt") {
                    Ok(answer) => {
                        record.add(format!(
                            "client: request {id} is answered {}, seal {:?}, {} events, complete: {}",
                            answer.status,
                            find(&answer.headers, "x-server-seal"),
                            answer.body.matches("data:").count(),
                            answer.is_complete
                        ));
                        *complete.lock().unwrap() += usize::from(answer.is_complete && answer.status == 200);
                    }
                    Err(err) => record.add(format!("client: request {id} gets no answer: {err}")),
                }
            })
        })
        .collect();
    sleep(LEAVES_AFTER);
    let shown_at = Instant::now();
    if has_trouble {
        record.add(format!("the platform's list shows that {LEAVING} is draining"));
        list.set_draining(LEAVING);
        sleep(LEAVING_TIME);
        list.end(LEAVING);
        record.add(format!("{LEAVING} ends, {} ms later", LEAVING_TIME.as_millis()));
    }
    for client in clients {
        let _ = client.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let decoded = arrivals.iter().filter(|arrival| !arrival.is_prefill);
    let late: Vec<_> = decoded
        .filter(|arrival| arrival.server == LEAVING && arrival.at > shown_at + DRAIN)
        .collect();
    for arrival in &late {
        record.add(format!(
            "request {} reached {LEAVING} {} ms after the list had shown that it is draining; drainMs is {}",
            arrival.request,
            arrival.at.duration_since(shown_at).as_millis(),
            DRAIN.as_millis()
        ));
    }
    record.add(format!("{} of {REQUESTS} requests have a complete answer", complete.lock().unwrap()));
    Ok(!has_trouble || late.is_empty())
}
