//! The operators' HTTP interface and the console that it serves.

use std::net::SocketAddr;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use serde_json::{Value, json};

use crate::client::get_body;
use crate::harness::{Fleet, FleetConfig, Folder, Process, block_on, free_addr, wait_for};

/// Limit on open connections to the operator interface.
const MAX_CONNECTIONS: usize = 64;

/// Limit on the size of a fleet document.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

struct Response {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

impl Response {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    fn lines(&self) -> Vec<Value> {
        let lines = self.body.lines();
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

async fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let client = cyper::Client::new().unwrap();
    let method = method.parse().unwrap();
    let mut req = client
        .request(method, format!("http://{addr}{path}"))
        .unwrap();
    for (name, value) in headers {
        req = req.header(*name, *value).unwrap();
    }
    let resp = req.body(body.to_string()).send().await.unwrap();
    let headers = resp.headers().iter();
    let headers = headers
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_string()))
        .collect();
    Response {
        status: resp.status().as_u16(),
        headers,
        body: resp.text().await.unwrap(),
    }
}

/// Header with the operator token `dev`.
const DEV_TOKEN_HEADER: (&str, &str) = ("authorization", "Bearer dev");

/// Starts a fleet and returns it with the address of its operator interface.
async fn start_fleet() -> (Fleet, SocketAddr) {
    let config = FleetConfig::default()
        .entries(1)
        .engines(1)
        .booking_servers(0);
    let fleet = Fleet::start(config).await;
    let addr = fleet.operator_addrs[0];
    (fleet, addr)
}

async fn request_status(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> u16 {
    send(addr, method, path, headers, "").await.status
}

#[test]
fn console_served_without_token() {
    block_on(async {
        let (_fleet, addr) = start_fleet().await;
        let page = send(addr, "GET", "/", &[], "").await;
        assert_eq!(page.status, 200);
        assert_eq!(page.header("content-type"), "text/html; charset=utf-8");
        let policy = page.header("content-security-policy");
        assert!(policy.contains("default-src 'none'"), "{policy}");
        assert!(policy.contains("script-src 'self';"), "{policy}");
        assert!(policy.contains("frame-ancestors 'none'"), "{policy}");
        assert_eq!(page.header("x-content-type-options"), "nosniff");
        // The page has no inline script, and every script that it loads is served.
        assert_eq!(page.body.matches("<script").count(), 1);
        assert!(page.body.contains(r#"src="/console/main.js"></script>"#));
        assert!(!page.body.contains("style=") && !page.body.contains("onclick"));
        let scripts = [
            "api", "dom", "faults", "fields", "forms", "main", "page", "state",
        ];
        for name in scripts {
            let script = send(addr, "GET", &format!("/console/{name}.js"), &[], "").await;
            assert_eq!(script.status, 200, "{name}");
            assert_eq!(
                script.header("content-type"),
                "text/javascript; charset=utf-8"
            );
            for markup in [
                "innerHTML",
                "outerHTML",
                "insertAdjacentHTML",
                "document.write",
                "eval(",
            ] {
                assert!(!script.body.contains(markup), "{name}.js has {markup}");
            }
            for import in script.body.lines().filter(|line| line.contains(" from \"")) {
                let known = scripts
                    .iter()
                    .any(|s| import.contains(&format!("\"/console/{s}.js\"")));
                assert!(known, "{import}");
            }
        }
        assert_eq!(request_status(addr, "GET", "/console.css", &[]).await, 200);
        let schema = send(addr, "GET", "/console/fleet.json", &[], "")
            .await
            .json();
        assert_eq!(schema["title"], "FleetDocument");
    });
}

#[test]
fn operators_refused_without_telling_why() {
    block_on(async {
        let (_fleet, addr) = start_fleet().await;
        let expected = send(addr, "GET", "/fleet", &[], "").await;
        assert_eq!(expected.status, 401);
        assert_eq!(expected.header("www-authenticate"), "Bearer");
        for header in [
            "Bearer",
            "Bearer ",
            "Bearer dev2",
            "bearer x",
            "Basic ZGV2OmRldg==",
            "dev",
        ] {
            for (method, path) in [
                ("GET", "/fleet"),
                ("PUT", "/fleet"),
                ("POST", "/fleet/check"),
                ("GET", "/status"),
                ("GET", "/audit"),
                ("GET", "/none"),
            ] {
                let response = send(addr, method, path, &[("authorization", header)], "").await;
                assert_eq!(response.status, 401, "{header} {method} {path}");
                assert_eq!(response.body, expected.body, "{header} {method} {path}");
            }
        }
    });
}

#[test]
fn operators_refused_from_other_sites() {
    block_on(async {
        let (_fleet, addr) = start_fleet().await;
        for origin in ["http://evil.example", "null", "http://127.0.0.1:1"] {
            for (method, path) in [("GET", "/fleet"), ("PUT", "/fleet"), ("GET", "/")] {
                let status =
                    request_status(addr, method, path, &[DEV_TOKEN_HEADER, ("origin", origin)])
                        .await;
                assert_eq!(status, 403, "{origin} {method} {path}");
            }
        }
        let own = format!("http://{addr}");
        assert_eq!(
            request_status(addr, "GET", "/fleet", &[DEV_TOKEN_HEADER, ("origin", &own)]).await,
            200
        );
    });
}

/// Method, path, headers and body of a request, and the expected status.
type BadRequest<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16);

#[test]
fn operators_bad_requests() {
    block_on(async {
        let (fleet, addr) = start_fleet().await;
        let document = fleet.document.to_string();
        let large = "x".repeat(MAX_DOCUMENT_BYTES + 1);
        let long_key = "k".repeat(129);
        let base = ("if-match", "\"1\"");
        let cases: &[BadRequest<'_>] = &[
            ("GET", "/none", &[DEV_TOKEN_HEADER], "", 404),
            ("DELETE", "/fleet", &[DEV_TOKEN_HEADER], "", 405),
            ("GET", "/fleet/check", &[DEV_TOKEN_HEADER], "", 405),
            ("POST", "/status", &[DEV_TOKEN_HEADER], "", 405),
            ("GET", "/audit?colour=red", &[DEV_TOKEN_HEADER], "", 400),
            ("GET", "/audit?limit=few", &[DEV_TOKEN_HEADER], "", 400),
            ("PUT", "/fleet", &[DEV_TOKEN_HEADER], &document, 428),
            (
                "PUT",
                "/fleet",
                &[DEV_TOKEN_HEADER, ("if-match", "*")],
                &document,
                428,
            ),
            (
                "PUT",
                "/fleet",
                &[DEV_TOKEN_HEADER, base, ("idempotency-key", &long_key)],
                &document,
                400,
            ),
            (
                "PUT",
                "/fleet",
                &[DEV_TOKEN_HEADER, base, ("idempotency-key", "")],
                &document,
                400,
            ),
            ("PUT", "/fleet", &[DEV_TOKEN_HEADER, base], &large, 413),
            ("POST", "/fleet/check", &[DEV_TOKEN_HEADER], &large, 413),
            ("PUT", "/fleet", &[DEV_TOKEN_HEADER, base], "{", 422),
        ];
        for (method, path, headers, body, status) in cases {
            let response = send(addr, method, path, headers, body).await;
            assert_eq!(response.status, *status, "{method} {path} {headers:?}");
            assert!(response.json()["error"]["message"].is_string());
        }
        let fleet = send(addr, "GET", "/fleet", &[DEV_TOKEN_HEADER], "").await;
        assert_eq!(fleet.header("etag"), "\"1\"");
    });
}

#[test]
fn operators_connection_limit() {
    block_on(async {
        let (_fleet, addr) = start_fleet().await;
        let mut idle_conns = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            idle_conns.push(TcpStream::connect(addr).await.unwrap());
        }
        // Connections count once they are accepted, so this one, above the limit, is refused.
        let mut conn = TcpStream::connect(addr).await.unwrap();
        let get = "GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        conn.write_all(get).await.0.unwrap();
        let (_, response) = conn.read_to_end(Vec::new()).await.unwrap();
        let response = String::from_utf8(response).unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        drop(idle_conns);
        wait_for("a connection below the limit", || async {
            (request_status(addr, "GET", "/health", &[]).await == 200).then_some(())
        })
        .await;
    });
}

#[test]
fn fleet_check_faults_and_differences() {
    block_on(async {
        let (fleet, addr) = start_fleet().await;
        let mut document = fleet.document.clone();
        document["targets"][0]["state"] = json!("leaving");
        document["targets"][0]["capacity_pieces"] = json!(0);
        let response = send(
            addr,
            "POST",
            "/fleet/check",
            &[DEV_TOKEN_HEADER],
            &document.to_string(),
        )
        .await;
        assert_eq!(response.status, 200);
        let body = response.json();
        assert_eq!(body["version"], 1);
        let paths = |items: &Value| -> Vec<String> {
            let items = items.as_array().unwrap().iter();
            items
                .map(|item| item["path"].as_str().unwrap().to_string())
                .collect()
        };
        let expected = ["targets[0].capacity_pieces", "services[0]"];
        assert_eq!(paths(&body["faults"]), expected);
        let expected = [
            "targets[skriver-1].capacity_pieces",
            "targets[skriver-1].state",
        ];
        assert_eq!(paths(&body["differences"]), expected);
        let fleet = send(addr, "GET", "/fleet", &[DEV_TOKEN_HEADER], "").await;
        assert_eq!(fleet.header("etag"), "\"1\"");
    });
}

#[test]
fn fleet_merge_of_older_edits() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(2)
            .booking_servers(0);
        let fleet = Fleet::start(config).await;
        let addr = fleet.operator_addrs[0];
        let base = fleet.document.clone();
        let mut concurrent = base.clone();
        concurrent["targets"][1]["zone"] = json!("vest-x");
        concurrent["name"] = json!("theirs");
        let body = fleet
            .put_document(0, 1, "theirs", &concurrent.to_string())
            .await;
        assert_eq!(body.unwrap().0, 200);
        let mut edited = base.clone();
        edited["targets"][0]["state"] = json!("leaving");
        edited["name"] = json!("ours");
        let body = json!({ "base": base, "edited": edited }).to_string();
        let response = send(addr, "POST", "/fleet/merge", &[DEV_TOKEN_HEADER], &body).await;
        assert_eq!(response.status, 200);
        let merged = response.json();
        assert_eq!(merged["version"], 2);
        assert_eq!(merged["in_force"], concurrent);
        let mut expected = concurrent;
        expected["targets"][0]["state"] = json!("leaving");
        expected["name"] = json!("ours");
        assert_eq!(merged["document"], expected);
        assert_eq!(merged["overruled"], json!(["name"]));
        let response = send(addr, "POST", "/fleet/merge", &[DEV_TOKEN_HEADER], "{}").await;
        assert_eq!(response.status, 400);
    });
}

#[test]
fn audit_of_each_submission() {
    block_on(async {
        let (mut fleet, addr) = start_fleet().await;
        let mut document = fleet.document.clone();
        document["name"] = json!("second");
        let text = document.to_string();
        for _ in 0..2 {
            let (status, body) = fleet.put_document(0, 1, "key-2", &text).await.unwrap();
            assert_eq!((status, &body["version"]), (200, &json!(2)));
        }
        let (status, body) = fleet.put_document(0, 1, "key-3", &text).await.unwrap();
        assert_eq!((status, &body["error"]["changed_by"]), (412, &json!("dev")));
        let (status, _) = fleet.put_document(0, 2, "key-4", "{}").await.unwrap();
        assert_eq!(status, 422);
        // The audit records are part of the log, so they survive a restart.
        fleet.restart("control-1");
        wait_for("restarted control replica", || async {
            let client = cyper::Client::new().unwrap();
            let req = client.get(format!("http://{addr}/health")).unwrap();
            req.send().await.ok()
        })
        .await;
        // The audit also records the system's own orders, which the filter by operator excludes.
        let records = send(
            addr,
            "GET",
            "/audit?after=1&operator=dev",
            &[DEV_TOKEN_HEADER],
            "",
        )
        .await
        .lines();
        let results: Vec<&Value> = records.iter().map(|record| &record["result"]).collect();
        assert_eq!(results, ["accepted", "conflict", "invalid"]);
        let accepted = &records[0];
        assert_eq!(accepted["operator"], "dev");
        assert_eq!(accepted["key"], "key-2");
        assert_eq!(accepted["base"], 1);
        assert_eq!(accepted["version"], 2);
        let change = json!([{ "path": "name", "before": "\"test\"", "after": "\"second\"" }]);
        assert_eq!(accepted["differences"], change);
        let origin: SocketAddr = accepted["origin"].as_str().unwrap().parse().unwrap();
        assert_ne!(origin, addr, "the origin is the client's address");
        assert_eq!(records[1]["changed_by"], "dev");
        assert_eq!(records[2]["faults"].as_array().unwrap().len(), 4);
        let count = |query: &'static str| async move {
            let path = format!("/audit?{query}");
            send(addr, "GET", &path, &[DEV_TOKEN_HEADER], "")
                .await
                .lines()
                .len()
        };
        assert_eq!(count("result=accepted").await, 2);
        assert_eq!(count("operator=nobody").await, 0);
        assert_eq!(count("limit=1").await, 1);
        assert_eq!(count("until_ms=1").await, 0);
    });
}

#[test]
fn metrics_of_a_control_replica() {
    block_on(async {
        let folder = Folder::new();
        let [listen, operators, metrics] = [free_addr(), free_addr(), free_addr()];
        let data = folder.path().join("data");
        let text = format!(
            "[process]\nvm = c1\nzone = a\n[mesh]\nkey = k\ncontrol = {listen}\n\
             [metrics]\nlisten = {metrics}\n[control]\nname = control-1\nlisten = {listen}\n\
             operators = {operators}\ndata = {}\ntokens = dev:{}\n",
            data.display(),
            "0".repeat(64),
        );
        let _process = Process::start("control", &folder.write("control-1.ini", &text));
        wait_for("a leader's gauges", || async {
            let client = cyper::Client::new().unwrap();
            let req = client.get(format!("http://{metrics}/metrics")).unwrap();
            let text = req.send().await.ok()?.text().await.ok()?;
            let is_one = |name: &str| {
                let mut lines = text.lines().filter(|line| line.starts_with(name));
                lines.any(|line| line.ends_with(" 1"))
            };
            let gauges = ["is_leader", "knows_leader", "is_voter"];
            let all = gauges
                .iter()
                .all(|g| is_one(&format!("laburnumlug_control_{g}{{")));
            all.then_some(())
        })
        .await;
    });
}

#[test]
fn metrics_for_operators() {
    block_on(async {
        let fleet = Fleet::start(
            FleetConfig::default()
                .entries(1)
                .engines(1)
                .booking_servers(0),
        )
        .await;
        let addr = fleet.operator_addrs[0];
        let page = get_body(addr, "/metrics").await.unwrap();
        assert!(page.contains("laburnumlug_control_is_leader"), "{page}");
        let refused = send(addr, "GET", "/metrics", &[], "").await;
        assert_eq!(refused.status, 401);
    });
}
