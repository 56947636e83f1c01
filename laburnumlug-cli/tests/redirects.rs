//! Tests of commands at control processes that redirect to a replica.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Output;
use std::sync::{Arc, Mutex};

use assert_cmd::Command;

/// A request that a process has received.
#[derive(Clone, Debug)]
struct Received {
    /// Method and path.
    target: String,
    key: String,
    body: String,
}

/// Stand-in of a control process, which runs on a separate thread.
struct ControlProcess {
    addr: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl ControlProcess {
    /// Answers each request with `response`, or closes the connection where that is empty.
    fn start(listener: TcpListener, response: String) -> ControlProcess {
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let requests = received.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                requests.lock().unwrap().push(read_request(&stream));
                let _ = stream.write_all(response.as_bytes());
            }
        });
        ControlProcess { addr, received }
    }

    fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

fn read_request(stream: &TcpStream) -> Received {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_string()),
        }
    }
    let header = |name: &str| {
        let prefix = format!("{name}: ");
        let line = head.iter().find_map(|line| line.strip_prefix(&prefix));
        line.unwrap_or_default().to_string()
    };
    let mut body = vec![0; header("content-length").parse().unwrap()];
    reader.read_exact(&mut body).unwrap();
    Received {
        target: head[0].trim_end_matches(" HTTP/1.1").to_string(),
        key: header("idempotency-key"),
        body: String::from_utf8(body).unwrap(),
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn redirect(addr: SocketAddr, path: &str) -> String {
    let location = format!("location: http://{addr}{path}\r\n");
    response("307 Temporary Redirect", &location, "")
}

fn run(control: SocketAddr, args: &[&str], stdin: &str) -> Output {
    let mut command = Command::cargo_bin("laburnumlug").unwrap();
    command
        .env("LABURNUMLUG_CONTROL", control.to_string())
        .env("LABURNUMLUG_TOKEN", "dev")
        .args(args)
        .write_stdin(stdin)
        .output()
        .unwrap()
}

fn apply(control: SocketAddr) -> Output {
    let template = run(control, &["fleet", "template"], "");
    let document = String::from_utf8(template.stdout).unwrap();
    let args = ["fleet", "apply", "--base", "1", "--key", "k", "/dev/stdin"];
    run(control, &args, &document)
}

/// Guards against commands that fail at a process without a replica.
#[test]
fn fleet_show_follows_two_redirects() {
    let ok = response("200 OK", "etag: \"7\"\r\n", r#"{"name":"g"}"#);
    let replica = ControlProcess::start(listener(), ok);
    let second = ControlProcess::start(listener(), redirect(replica.addr, "/fleet"));
    let first = ControlProcess::start(listener(), redirect(second.addr, "/fleet"));
    let show = run(first.addr, &["fleet", "show"], "");
    assert_eq!(show.status.code(), Some(0), "{show:?}");
    assert_eq!(String::from_utf8(show.stderr).unwrap(), "version 7\n");
    assert_eq!(replica.received()[0].target, "GET /fleet");
}

#[test]
fn fleet_apply_follows_redirect() {
    let ok = response("200 OK", "", r#"{"version":2}"#);
    let replica = ControlProcess::start(listener(), ok);
    let first = ControlProcess::start(listener(), redirect(replica.addr, "/fleet"));
    let apply = apply(first.addr);
    assert_eq!(apply.status.code(), Some(0), "{apply:?}");
    let (sent, received) = (first.received(), replica.received());
    assert_eq!((sent.len(), received.len()), (1, 1));
    assert_eq!(received[0].target, "PUT /fleet");
    assert_eq!(received[0].key, "k");
    assert_eq!(received[0].body, sent[0].body);
}

/// Guards against a change whose outcome is unknown that is sent without its key, or that is reported as not made: the replica
/// closes the connection instead of a response.
#[test]
fn fleet_apply_unknown_outcome_after_redirect() {
    let replica = ControlProcess::start(listener(), String::new());
    let first = ControlProcess::start(listener(), redirect(replica.addr, "/fleet"));
    let apply = apply(first.addr);
    assert_eq!(apply.status.code(), Some(4), "{apply:?}");
    let received = replica.received();
    // Each round sends it once to each address that the operator named, and thus once to the replica.
    assert_eq!(received.len(), first.received().len());
    assert!(received.iter().all(|request| request.key == "k"));
}

/// Guards against redirects that are followed for ever, and against a change that is reported as possibly made although every
/// process has redirected it.
#[test]
fn fleet_apply_redirected_in_circle() {
    let listener = listener();
    let addr = listener.local_addr().unwrap();
    let process = ControlProcess::start(listener, redirect(addr, "/fleet"));
    let apply = apply(addr);
    assert_eq!(apply.status.code(), Some(1), "{apply:?}");
    let stderr = String::from_utf8(apply.stderr).unwrap();
    assert!(stderr.contains("nothing was changed"), "{stderr}");
    // Three requests in each of four rounds.
    assert_eq!(process.received().len(), 12);
}

/// Guards against a token that is sent to an address of another form, such as a name that resolves elsewhere.
#[test]
fn fleet_show_redirect_without_address() {
    for location in [
        "http://example.test/fleet",
        "https://127.0.0.1:1/fleet",
        "/fleet",
    ] {
        let headers = format!("location: {location}\r\n");
        let redirect = response("307 Temporary Redirect", &headers, "");
        let process = ControlProcess::start(listener(), redirect);
        let show = run(process.addr, &["fleet", "show"], "");
        assert_eq!(show.status.code(), Some(1), "{show:?}");
        let stderr = String::from_utf8(show.stderr).unwrap();
        assert!(stderr.contains("redirect without an address"), "{stderr}");
    }
}
