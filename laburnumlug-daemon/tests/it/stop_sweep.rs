//! Requests that arrive at any time of a planned stop, on open and on new connections.

use std::cell::RefCell;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Request, Response, Server, channel_body, text_response};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::client;
use crate::harness::{block_on, free_addr, wait_for};
use crate::platform_fleet::{Cluster, Gateway, config, readiness_status, serve_target_list};

/// Grace period of the platform.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time after the signal is sent until which the platform lets a request be cut that lasts beyond the grace period.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

/// Time that the server takes to answer, with and without `long` in the path.
const ANSWER_TIMES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(5100)];

/// Time between the head and the end of a request whose body comes in chunks.
const BODY_TIME: Duration = Duration::from_millis(500);

/// Interval between requests.
const INTERVAL: Duration = Duration::from_millis(100);

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sending {
    /// On a connection that was opened before the stop.
    Open,
    /// On a new connection.
    New,
    /// On a connection that was opened before the stop, with a chunked body that ends later than the head.
    Chunked,
}

/// What a caller saw of its request.
#[derive(Debug)]
struct Seen {
    id: String,
    /// When the request was complete.
    sent_at: Instant,
    /// Status of a complete answer.
    status: Option<u16>,
}

/// Starts a server that records the ids of its requests, and returns the list that shows it.
async fn start_server(received: Rc<RefCell<HashSet<String>>>) -> String {
    let addr = free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let handler = Rc::new(move |req: Request| {
        let id = req.headers().get("x-request-id").cloned();
        if let Some(id) = &id {
            let id = id.to_str().unwrap().to_string();
            received.borrow_mut().insert(id);
        }
        let is_long = req.uri().path().contains("long");
        let is_stream = req.uri().path().starts_with("/s/");
        async move {
            let mut resp = match is_stream {
                true => stream_response(),
                false => {
                    compio::time::sleep(ANSWER_TIMES[usize::from(is_long)]).await;
                    text_response(200, "answer")
                }
            };
            if let Some(id) = id {
                resp.headers_mut().insert("x-request-id", id);
            }
            resp
        }
    });
    compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
    let row = json!({ "id": "i-0", "service": "plain", "address": addr.to_string(), "zone": "z",
        "slots": 1000, "state": "ready" });
    json!({ "instances": [row], "next": null }).to_string()
}

/// Returns a stream that lasts about as long as a long answer.
fn stream_response() -> Response {
    let (mut tx, body) = channel_body();
    compio::runtime::spawn(async move {
        for id in 1..=34 {
            let event = format!("id: {id}\ndata: x\n\n");
            if tx.send(event.into()).await.is_err() {
                return;
            }
            compio::time::sleep(ANSWER_TIMES[1] / 34).await;
        }
    })
    .detach();
    let mut resp = hyper::Response::new(body);
    let content_type = "text/event-stream".parse().unwrap();
    resp.headers_mut().insert("content-type", content_type);
    resp
}

/// Returns the configuration: plain requests that may not be repeated, and streams that may not be resumed.
fn stop_config() -> Value {
    let mut config = config(1, 30_000);
    config["routes"][0]["kind"] = json!("unsafe");
    let mut route = config["routes"][0].clone();
    route["name"] = json!("streams");
    route["pathPrefix"] = json!("/s/");
    route["kind"] = json!("stream");
    route["resumable"] = json!(false);
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// Returns the status of an answer if it is complete.
fn complete_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.parse().ok()?,
        None => body.ends_with("0\r\n\r\n"),
    };
    head.split(' ').nth(1)?.parse().ok().filter(|_| is_complete)
}

/// Sends a request that is complete `at` the given time, and returns what its caller sees.
fn send_at(addr: SocketAddr, open: Option<TcpStream>, at: Instant, path: &str, id: String) -> Seen {
    let sleep_until =
        |at: Instant| std::thread::sleep(at.saturating_duration_since(Instant::now()));
    let is_chunked = path.contains("chunked");
    let mut seen = Seen {
        id,
        sent_at: at,
        status: None,
    };
    let lines = match is_chunked {
        true => "transfer-encoding: chunked\r\n",
        false => "content-length: 0\r\n",
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {}\r\n{lines}\r\n",
        seen.id
    );
    sleep_until(if is_chunked { at - BODY_TIME } else { at });
    let Some(mut stream) = open.or_else(|| TcpStream::connect(addr).ok()) else {
        return seen;
    };
    let _ = stream.write_all(head.as_bytes());
    if is_chunked {
        let _ = stream.write_all(b"3\r\nabc\r\n");
        sleep_until(at);
        let _ = stream.write_all(b"3\r\ndef\r\n0\r\n\r\n");
    }
    seen.sent_at = Instant::now();
    let mut answer = Vec::new();
    let _ = stream.set_read_timeout(Some(2 * GRACE_PERIOD));
    let mut chunk = [0; 4096];
    while let Ok(len @ 1..) = stream.read(&mut chunk) {
        answer.extend_from_slice(&chunk[..len]);
        seen.status = complete_status(&answer);
        if seen.status.is_some() {
            break;
        }
    }
    seen
}

/// Guards against requests that a stopping gateway accepts late and cuts at its exit, among them those that may not be
/// repeated: each gets a whole answer, or a refusal that is true. The process is late by `delay` when it gets the signal.
fn assert_stop_cuts_no_late_request(delay: Duration) {
    // Each has hundreds of callers, each with a thread.
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|err| err.into_inner());
    block_on(async {
        let cluster = Cluster::start();
        let received = Rc::new(RefCell::new(HashSet::new()));
        let list_addr = serve_target_list(start_server(received.clone()).await).await;
        let mut gateway = Gateway::start_with_grace(
            &cluster.folder,
            "g",
            list_addr,
            &cluster.seeds(),
            GRACE_PERIOD,
        );
        let operator_addr = cluster.replicas[0].operator_addr;
        let text = stop_config().to_string();
        wait_for("an accepted configuration", || async {
            let resp = client::post(operator_addr, "/config/replace", &[], &text).await?;
            (resp.status == 200).then_some(())
        })
        .await;
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
        let addr = gateway.caller_addr;
        let count = (GRACE_PERIOD.as_millis() / INTERVAL.as_millis()) as u32;
        let kinds = [
            (Sending::Open, "/p/short"),
            (Sending::Open, "/p/long"),
            (Sending::New, "/p/long"),
            (Sending::Open, "/s/stream"),
            (Sending::Chunked, "/p/chunked"),
            (Sending::Chunked, "/p/chunked-long"),
        ];
        let signal_at = Instant::now() + Duration::from_secs(1);
        let mut callers: Vec<JoinHandle<Seen>> = Vec::new();
        for (kind, (sending, path)) in kinds.into_iter().enumerate() {
            for i in 0..count {
                let open = (sending != Sending::New).then(|| TcpStream::connect(addr).unwrap());
                let at = signal_at + INTERVAL * i + INTERVAL / 5 * kind as u32;
                let id = format!("{kind}-{i}");
                callers.push(std::thread::spawn(move || {
                    send_at(addr, open, at, path, id)
                }));
            }
        }
        compio::time::sleep_until(signal_at).await;
        if !delay.is_zero() {
            gateway.process.signal(Signal::STOP);
        }
        let signalled_at = Instant::now();
        gateway.process.signal(Signal::TERM);
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
            gateway.process.signal(Signal::CONT);
        }
        compio::time::sleep_until(signal_at + GRACE_PERIOD).await;
        gateway.process.kill();
        let reading = compio::runtime::spawn_blocking(move || {
            let seen = callers.into_iter().map(|caller| caller.join().unwrap());
            seen.collect::<Vec<Seen>>()
        });
        let all = reading.await.unwrap();
        let answered = all.iter().filter(|seen| seen.status == Some(200)).count();
        assert!(answered > 100, "{answered} of {} were answered", all.len());
        for seen in &all {
            let has_run = received.borrow().contains(&seen.id);
            match seen.status {
                Some(503) => assert!(!has_run, "refused as not run: {seen:?}"),
                Some(200) => {}
                // The answer was lost, or nothing was sent.
                _ if has_run => {
                    let sent_after = seen.sent_at.saturating_duration_since(signalled_at);
                    assert!(sent_after <= EXCUSED_TIME, "cut: {seen:?}, {sent_after:?}");
                }
                _ => {}
            }
        }
    });
}

#[test]
fn gateway_stop_at_each_tenth_of_second() {
    assert_stop_cuts_no_late_request(Duration::ZERO);
}

/// Guards against requests that a process accepts which was paused for longer than its margin when it was asked to stop.
#[test]
fn gateway_stop_after_pause() {
    assert_stop_cuts_no_late_request(Duration::from_millis(1500));
}

#[test]
fn gateway_stop_with_late_signal() {
    assert_stop_cuts_no_late_request(Duration::from_millis(200));
}
