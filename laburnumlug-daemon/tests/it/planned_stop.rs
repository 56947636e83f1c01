//! Planned stops while requests are on their way.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use hyper::header::HeaderValue;
use laburnumlug_http::{Limits, Request, Server, text_response};
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::client;
use crate::harness::{Fleet, FleetConfig, Process, block_on, free_addr, wait_for};
use crate::platform_fleet::{Cluster, Gateway, config, readiness_status, serve_target_list};

/// Time that the server takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Time between the signals, or between a signal and a request.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the first signal at which the gateway no longer accepts every request: half of its grace period of 4 s.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Starts a server that counts its requests and answers each after `answer_time`, and returns the list that shows it.
async fn start_listed_server(answer_time: Duration, received: Rc<Cell<usize>>) -> String {
    let addr = free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let handler = Rc::new(move |req: Request| {
        received.set(received.get() + 1);
        async move {
            compio::time::sleep(answer_time).await;
            let mut resp = text_response(200, "answer");
            if let Some(id) = req.headers().get("x-request-id") {
                resp.headers_mut().insert("x-request-id", id.clone());
            }
            resp
        }
    });
    compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
    let row = json!({ "id": "i-0", "service": "plain", "address": addr.to_string(), "zone": "z",
        "slots": 64, "state": "ready" });
    json!({ "instances": [row], "next": null }).to_string()
}

/// Starts a gateway in front of a server, with a route whose requests time out after 30 s.
async fn start_gateway(cluster: &Cluster, answer_time: Duration) -> Gateway {
    start_counted_gateway(cluster, answer_time, Rc::default()).await
}

/// Starts a gateway like [`start_gateway`], in front of a server that counts its requests in `received`.
async fn start_counted_gateway(
    cluster: &Cluster,
    answer_time: Duration,
    received: Rc<Cell<usize>>,
) -> Gateway {
    let list = start_listed_server(answer_time, received).await;
    let list_addr = serve_target_list(list).await;
    let gateway = Gateway::start_with_list(&cluster.folder, "g", list_addr, &cluster.seeds());
    cluster.replace_config(0, 1, 30_000).await;
    wait_for("a ready gateway", || async {
        (readiness_status(gateway.ready_addr).await? == 200).then_some(())
    })
    .await;
    gateway
}

fn send_request(stream: &mut TcpStream, path: &str) -> bool {
    send_head(stream, path, "")
}

/// Sends the head of a request with further header lines.
fn send_head(stream: &mut TcpStream, path: &str, lines: &str) -> bool {
    let head = format!("GET {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: r\r\n{lines}\r\n");
    stream.write_all(head.as_bytes()).is_ok()
}

/// Reads one answer and returns its head; it is empty if the connection ends before the answer does.
fn read_answer(stream: &mut TcpStream) -> String {
    let (mut answer, mut chunk) = (String::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return String::new(),
            Ok(len) => answer.push_str(&String::from_utf8_lossy(&chunk[..len])),
        }
        let Some((head, body)) = answer.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        if length.is_some_and(|length| body.len() >= length.parse().unwrap()) {
            return head.to_string();
        }
    }
}

/// Reads one answer in another thread, so that the servers of the test can run.
async fn read_answer_async(mut stream: TcpStream) -> String {
    let reading = compio::runtime::spawn_blocking(move || read_answer(&mut stream));
    reading.await.unwrap()
}

/// Sends requests on new and on kept connections until connecting is refused, and returns how many got no answer.
fn send_until_refused(addr: SocketAddr, answers: &AtomicUsize) -> usize {
    let mut cut_off = 0;
    while let Ok(mut stream) = TcpStream::connect(addr) {
        for _ in 0..5 {
            let is_sent = send_request(&mut stream, "/p/x");
            let head = read_answer(&mut stream);
            cut_off += usize::from(!is_sent || head.is_empty());
            answers.fetch_add(1, Ordering::Relaxed);
            if head.is_empty() || head.contains("connection: close") {
                break;
            }
        }
    }
    cut_off
}

/// Guards against requests that are cut off without an answer when a gateway under load stops, also when it is asked to
/// stop twice.
#[test]
fn gateway_stop_twice_under_load() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = start_gateway(&cluster, ANSWER_TIME).await;
        let (addr, answers) = (gateway.caller_addr, Arc::new(AtomicUsize::new(0)));
        let callers = (0..8).map(|_| {
            let answers = answers.clone();
            std::thread::spawn(move || send_until_refused(addr, &answers))
        });
        let callers: Vec<_> = callers.collect();
        for _ in 0..2 {
            compio::time::sleep(SIGNAL_INTERVAL).await;
            gateway.process.signal(Signal::TERM);
        }
        assert_eq!(gateway.process.wait().await.code(), Some(0));
        let cut_off: usize = callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum();
        assert!(answers.load(Ordering::Relaxed) > 50);
        assert_eq!(cut_off, 0);
    });
}

/// A caller whose answer is not complete at the end of the grace period is told so.
#[test]
fn gateway_stop_answers_at_end_of_grace() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = start_gateway(&cluster, Duration::from_secs(60)).await;
        let mut stream = TcpStream::connect(gateway.caller_addr).unwrap();
        assert!(send_request(&mut stream, "/p/x"));
        compio::time::sleep(SIGNAL_INTERVAL).await;
        gateway.process.signal(Signal::TERM);
        let started_at = Instant::now();
        let head = read_answer_async(stream).await;
        assert!(head.starts_with("HTTP/1.1 502 "), "{head:?}");
        assert!(started_at.elapsed() > Duration::from_secs(2));
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}

/// Guards against requests that a stopping gateway accepts although they may last beyond its exit, which cuts them: those
/// on kept connections, and those whose body arrives late. They are refused as not run. A request that ends before the exit is
/// served.
#[test]
fn gateway_stop_refuses_requests_that_outlast_exit() {
    block_on(async {
        let cluster = Cluster::start();
        let received = Rc::new(Cell::new(0));
        let mut gateway = start_counted_gateway(&cluster, ANSWER_TIME, received.clone()).await;
        let addr = gateway.caller_addr;
        let mut streams: Vec<_> = (0..3).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for stream in &mut streams[..2] {
            assert!(send_request(stream, "/p/x"));
            let head = read_answer_async(stream.try_clone().unwrap()).await;
            assert!(head.starts_with("HTTP/1.1 200 "), "{head:?}");
        }
        let received_before = received.get();
        gateway.process.signal(Signal::TERM);
        assert!(send_head(&mut streams[2], "/p/x", "content-length: 4\r\n"));
        compio::time::sleep(NOTICE_TIME + SIGNAL_INTERVAL).await;
        gateway.process.signal(Signal::TERM);
        assert!(send_request(&mut streams[0], "/p/x"));
        assert!(send_head(&mut streams[1], "/p/x", "x-deadline-ms: 500\r\n"));
        streams[2].write_all(b"body").unwrap();
        let mut heads = Vec::new();
        for stream in streams {
            heads.push(read_answer_async(stream).await);
        }
        assert!(heads[0].starts_with("HTTP/1.1 503 "), "{heads:?}");
        assert!(heads[1].starts_with("HTTP/1.1 200 "), "{heads:?}");
        assert!(heads[2].starts_with("HTTP/1.1 503 "), "{heads:?}");
        assert!(heads.iter().all(|head| head.contains("connection: close")));
        assert_eq!(received.get() - received_before, 1);
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}

/// A caller whose request no server has got at the end of the grace period is told that it has not run, so that it may be
/// sent again.
#[test]
fn gateway_stop_refuses_unsent_requests_at_end_of_grace() {
    block_on(async {
        let cluster = Cluster::start();
        let mut gateway = start_gateway(&cluster, ANSWER_TIME).await;
        let mut stream = TcpStream::connect(gateway.caller_addr).unwrap();
        assert!(send_head(&mut stream, "/p/x", "content-length: 4\r\n"));
        compio::time::sleep(SIGNAL_INTERVAL).await;
        gateway.process.signal(Signal::TERM);
        let head = read_answer_async(stream).await;
        assert!(head.starts_with("HTTP/1.1 503 "), "{head:?}");
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}

/// Time that a server of [`start_refusing_server`] takes to refuse a request.
const REFUSAL_TIME: Duration = Duration::from_millis(2000);

/// Starts a server that refuses each request once after [`REFUSAL_TIME`], and then takes a minute to answer it, and returns its
/// row in the list. The ids of the requests are added to `received`.
async fn start_refusing_server(id: &str, received: Rc<RefCell<Vec<String>>>) -> Value {
    let addr = free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let handler = Rc::new(move |req: Request| {
        let request_id = req.headers().get("x-request-id").cloned();
        let text = request_id.as_ref().map_or("", |id| id.to_str().unwrap());
        let is_first = !received.borrow().iter().any(|id| id == text);
        if !text.is_empty() {
            received.borrow_mut().push(text.to_string());
        }
        async move {
            let mut resp = text_response(503, "full");
            if let Some(id) = request_id {
                let not_executed = HeaderValue::from_static("true");
                resp.headers_mut().insert("x-not-executed", not_executed);
                resp.headers_mut().insert("x-request-id", id);
                compio::time::sleep(if is_first {
                    REFUSAL_TIME
                } else {
                    30 * REFUSAL_TIME
                })
                .await;
            }
            resp
        }
    });
    compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
    json!({ "id": id, "service": "plain", "address": addr.to_string(), "zone": "z", "slots": 64,
        "state": "ready" })
}

/// Guards against requests that arrive in time, wait until the gateway accepts no others, and are then sent to a server which
/// may not answer before the exit: nothing has run them, so they are refused.
#[test]
fn gateway_stop_refuses_waiting_requests_that_outlast_exit() {
    block_on(async {
        let cluster = Cluster::start();
        let received = Rc::new(RefCell::new(Vec::new()));
        let mut rows = Vec::new();
        for id in ["i-0", "i-1"] {
            rows.push(start_refusing_server(id, received.clone()).await);
        }
        let list = json!({ "instances": rows, "next": null }).to_string();
        let list_addr = serve_target_list(list).await;
        let mut gateway =
            Gateway::start_with_list(&cluster.folder, "g", list_addr, &cluster.seeds());
        gateway.process.kill();
        let path = cluster.folder.path().join("g.ini");
        let text = std::fs::read_to_string(path).unwrap();
        let settings = format!("{text}retry_slack = 100\n");
        cluster.folder.write("g.ini", &settings);
        gateway.restart(&cluster.folder);
        let mut config = config(1, 30_000);
        config["routes"][0]["kind"] = json!("unsafe");
        config["routes"][0]["maxAttempts"] = json!(2);
        let mut stream_route = config["routes"][0].clone();
        stream_route["name"] = json!("streams");
        stream_route["pathPrefix"] = json!("/s/");
        stream_route["kind"] = json!("stream");
        config["routes"].as_array_mut().unwrap().push(stream_route);
        let operator_addr = cluster.replicas[0].operator_addr;
        wait_for("an accepted configuration", || async {
            let text = config.to_string();
            let resp = client::post(operator_addr, "/config/replace", &[], &text).await?;
            (resp.status == 200).then_some(())
        })
        .await;
        wait_for("a ready gateway", || async {
            (readiness_status(gateway.ready_addr).await? == 200).then_some(())
        })
        .await;
        let mut streams = Vec::new();
        gateway.process.signal(Signal::TERM);
        for (id, path) in [("plain", "/p/x"), ("stream", "/s/x")] {
            let mut stream = TcpStream::connect(gateway.caller_addr).unwrap();
            let head =
                format!("GET {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            streams.push(stream);
        }
        for stream in streams {
            let head = read_answer_async(stream).await;
            assert!(head.starts_with("HTTP/1.1 503 "), "{head:?}");
        }
        assert_eq!(received.borrow().len(), 2, "{received:?}");
        assert_eq!(gateway.process.wait().await.code(), Some(0));
    });
}

/// Opens a connection, asks the process to stop twice, sends a request on the connection and checks that it is answered.
async fn assert_stop_answers_request(process: &mut Process, addr: SocketAddr) {
    let mut stream = TcpStream::connect(addr).unwrap();
    compio::time::sleep(SIGNAL_INTERVAL).await;
    for _ in 0..2 {
        process.signal(Signal::TERM);
        compio::time::sleep(SIGNAL_INTERVAL / 3).await;
    }
    assert!(send_request(&mut stream, "/health"));
    let head = read_answer_async(stream).await;
    assert!(head.starts_with("HTTP/1.1 "), "{head:?}");
    assert_eq!(process.wait().await.code(), Some(0));
}

/// Control replicas and entries answer a request whose connection they have accepted before they were asked to stop.
#[test]
fn control_and_entry_stop_answer_accepted_connections() {
    block_on(async {
        let mut fleet = Fleet::start(FleetConfig::default().entries(1)).await;
        let (entry_addr, operator_addr) = (fleet.entry_addrs[0], fleet.operator_addrs[0]);
        assert_stop_answers_request(fleet.process("entry-1"), entry_addr).await;
        assert_stop_answers_request(fleet.process("control-1"), operator_addr).await;
    });
}
