//! Callers that read slowly, disconnect early or send malformed HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use laburnumlug_standin::{BookingTiming, EngineRecord, EngineTiming};
use serde_json::json;

use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Timeout of one read from a raw connection.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// TCP connection to an entry, without an HTTP client.
struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    /// Connects to `addr` and sends `request`.
    async fn open(addr: SocketAddr, request: &str) -> RawConnection {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let BufResult(result, _) = stream.write_all(request.as_bytes().to_vec()).await;
        result.unwrap();
        RawConnection { stream }
    }

    /// Reads until the peer closes the connection or `is_complete` accepts the text so far.
    async fn read_until<F>(&mut self, is_complete: F) -> String
    where
        F: Fn(&str) -> bool,
    {
        let mut text = String::new();
        loop {
            let read = self.stream.read(Vec::with_capacity(READ_BUFFER_BYTES));
            let Ok(BufResult(result, buf)) = compio::time::timeout(READ_TIMEOUT, read).await else {
                panic!("timed out reading from the connection after {text:?}");
            };
            text.push_str(&String::from_utf8_lossy(&buf));
            if !matches!(result, Ok(count) if count > 0) || is_complete(&text) {
                return text;
            }
        }
    }

    async fn read_to_end(&mut self) -> String {
        self.read_until(|_| false).await
    }
}

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn wait_for_cancelled_completion(fleet: &Fleet) {
    wait_for("cancelled generation", || async {
        let records = fleet.engines[0].records();
        records
            .iter()
            .any(|record| matches!(record, EngineRecord::Cancelled { .. }))
            .then_some(())
    })
    .await;
}

/// Guards against a caller that occupies an engine because it does not read the response.
#[test]
fn slow_caller_frees_engine() {
    block_on(async {
        let timing = EngineTiming::instant().token_time(Duration::from_millis(1));
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let fleet = Fleet::start(config.engine_timing(timing)).await;
        let body = json!({
            "model": "digest", "prompt": "long", "max_tokens": 120_000, "stream": true,
        });
        let deadline = "laburnumlug-deadline-ms: 600000\r\n";
        let req = post("/v1/completions", &body.to_string()).replacen(
            "host: x\r\n",
            &format!("host: x\r\n{deadline}"),
            1,
        );
        let mut conn = RawConnection::open(fleet.entry_addrs[0], &req).await;
        wait_for_cancelled_completion(&fleet).await;
        let text = conn.read_to_end().await;
        assert!(text.starts_with("HTTP/1.1 200"));
        assert!(text.contains("event: error"));
        assert!(!text.contains("[DONE]"));
    });
}

#[test]
fn hang_up_before_head_cancels_generation() {
    block_on(async {
        // The prefill of the prompt takes an hour, so no response head ever arrives.
        let timing = EngineTiming::instant().prefill_tokens_per_second(1);
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let fleet = Fleet::start(config.engine_timing(timing)).await;
        for stream in [true, false] {
            let records_before = fleet.engines[0].records().len();
            let body = json!({
                "model": "digest", "prompt": "x".repeat(4 * 3600), "max_tokens": 1, "stream": stream,
            });
            let deadline = "laburnumlug-deadline-ms: 7200000\r\n";
            let req = post("/v1/completions", &body.to_string()).replacen(
                "host: x\r\n",
                &format!("host: x\r\n{deadline}"),
                1,
            );
            let conn = RawConnection::open(fleet.entry_addrs[0], &req).await;
            let more_records_than = |count: usize| {
                let fleet = &fleet;
                async move { (fleet.engines[0].records().len() > count).then_some(()) }
            };
            wait_for("start of the completion", || {
                more_records_than(records_before)
            })
            .await;
            drop(conn);
            wait_for("end of the completion", || {
                more_records_than(records_before + 1)
            })
            .await;
            let last = fleet.engines[0].records().pop();
            assert!(matches!(last, Some(EngineRecord::Cancelled { .. })));
        }
    });
}

#[test]
fn malformed_requests_get_defined_status() {
    block_on(async {
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .booking_servers(1);
        let fleet = Fleet::start(config).await;
        let body = r#"{"model":"digest","prompt":"a","max_tokens":1}"#;
        let lines = |lines: &[&str]| format!("{}\r\n\r\n{body}", lines.join("\r\n"));
        let post = |headers: &[&str]| {
            let head = [
                "POST /v1/completions HTTP/1.1",
                "host: x",
                "connection: close",
            ];
            lines(&[&head, headers].concat())
        };
        let length = format!("content-length: {}", body.len());
        let length = length.as_str();
        let chunked = "transfer-encoding: chunked";
        let deadline = "laburnumlug-deadline-ms: 5";
        let booking_list = "/services/billet/reservations HTTP/1.1";
        let close = "connection: close";
        let cases = [
            ("garbage", "\u{1}\u{2}\r\n\r\n".to_string(), 400),
            ("two lengths", post(&[length, "content-length: 1"]), 400),
            ("bad length", post(&["content-length: -1"]), 400),
            ("bad chunk", post(&[chunked]), 400),
            ("unknown coding", post(&["transfer-encoding: gzip"]), 400),
            ("length and coding", post(&[length, chunked]), 400),
            ("two deadlines", post(&[length, deadline, deadline]), 400),
            ("too many headers", post(&["a: b"; 100]), 431),
            (
                "absolute form",
                lines(&["GET http://x/health HTTP/1.1", "host: x", close]),
                200,
            ),
            (
                "HEAD",
                lines(&[&format!("HEAD {booking_list}"), "host: x", close]),
                404,
            ),
            (
                "CONNECT",
                lines(&["CONNECT x:1 HTTP/1.1", "host: x", close]),
                404,
            ),
            ("100-continue", post(&[length, "expect: 100-continue"]), 100),
            (
                "100-continue of too much",
                post(&["expect: 100-continue", "content-length: 999999999"]),
                413,
            ),
        ];
        for (name, text, expected) in cases {
            let mut conn = RawConnection::open(fleet.entry_addrs[0], &text).await;
            let response = conn.read_to_end().await;
            let status = format!("HTTP/1.1 {expected}");
            assert!(response.starts_with(&status), "{name}: {response}");
            // Bytes after the request must not be parsed as a second request (request smuggling).
            let ok_responses = response.matches("HTTP/1.1 200").count();
            assert!(ok_responses <= 1, "{name}: {response}");
        }
    });
}

#[test]
fn half_closed_connection_counts_as_hang_up() {
    block_on(async {
        let timing = BookingTiming::default().run_time(Duration::from_millis(500));
        let config = FleetConfig::default()
            .entries(1)
            .engines(0)
            .booking_servers(1);
        let fleet = Fleet::start(config.booking_timing(timing)).await;
        let req = post("/services/billet/reservations", r#"{"seat":"A1"}"#);
        let mut conn = RawConnection::open(fleet.entry_addrs[0], &req).await;
        conn.stream.shutdown().await.unwrap();
        assert_eq!(conn.read_to_end().await, "");
        // The entry still serves other callers, and the call has run at most once.
        let body = json!({ "seat": "A2" });
        let path = "/services/billet/reservations";
        wait_for("response to another caller", || async {
            let response = fleet.post(fleet.entry_addrs[0], path, &[], &body).await?;
            (response.status == 201).then_some(())
        })
        .await;
        let runs = fleet.booking_servers[0].bookings().len();
        assert!(runs <= 2, "{runs}");
    });
}
