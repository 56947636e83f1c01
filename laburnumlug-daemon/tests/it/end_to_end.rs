//! Requests end to end: caller, entry, target process, engine or service.

use std::time::Duration;

use futures_util::future::join_all;
use laburnumlug_standin::{EngineRecord, EngineTiming, Fault, expected_completion};
use rustix::process::Signal;
use serde_json::json;

use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

/// Number of concurrent callers.
const CALLERS: usize = 200;

#[test]
fn completions_many_callers_own_answers() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default().engines(3)).await;
        let calls = (0..CALLERS).map(|i| {
            let addr = fleet.entry_addrs[i % fleet.entry_addrs.len()];
            let fleet = &fleet;
            async move {
                let prompt = format!("question {i}");
                let tokens = 1 + i as u64 % 40;
                let stream = i % 2 == 0;
                let body = json!({
                    "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": stream,
                });
                let response = fleet
                    .post(addr, "/v1/completions", &[], &body)
                    .await
                    .unwrap();
                assert_eq!(
                    (response.status, response.verdict.as_str()),
                    (200, "ran"),
                    "{response:?}"
                );
                let text = match stream {
                    true => {
                        let (text, is_done) = response.streamed_completion();
                        assert!(is_done);
                        text
                    }
                    false => response.completion_text(),
                };
                assert_eq!(text, expected_completion(&prompt, tokens));
            }
        });
        join_all(calls).await;
    });
}

#[test]
fn completions_chat_format() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default().entries(1).engines(1)).await;
        let body = json!({
            "model": "digest", "max_tokens": 3,
            "messages": [{ "role": "user", "content": "hello" }],
        });
        let response = fleet
            .post(fleet.entry_addrs[0], "/v1/chat/completions", &[], &body)
            .await;
        let content = response.unwrap().json()["choices"][0]["message"]["content"].clone();
        assert_eq!(content, expected_completion("user: hello", 3));
    });
}

#[test]
fn completions_target_slow_to_connect() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default().engines(1)).await;
        // More calls than idle connections, so some open new ones, whose handshake takes about a second.
        fleet.proxies[">skriver-1"].set_fault(Fault::Delay(Duration::from_millis(200)));
        let body = json!({ "model": "digest", "prompt": "slow", "max_tokens": 1 });
        let calls = (0..4).map(|_| fleet.post(fleet.entry_addrs[0], "/v1/completions", &[], &body));
        for response in join_all(calls).await {
            let response = response.unwrap();
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(response.completion_text(), expected_completion("slow", 1));
        }
    });
}

#[test]
fn callers_bad_input() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default().entries(1).engines(1)).await;
        let addr = fleet.entry_addrs[0];
        let valid = r#"{"model":"digest","prompt":"a","max_tokens":1}"#;
        let large = "x".repeat(5 * 1024 * 1024);
        let deadline = "laburnumlug-deadline-ms";
        type Headers<'a> = &'a [(&'a str, &'a str)];
        let cases: &[(&str, Headers<'_>, &str, u16)] = &[
            ("/v1/completions", &[], "{", 400),
            (
                "/v1/completions",
                &[],
                r#"{"model":"none","prompt":"a"}"#,
                404,
            ),
            ("/v1/completions", &[(deadline, "0")], valid, 400),
            ("/v1/completions", &[(deadline, "soon")], valid, 400),
            ("/v1/completions", &[], &large, 413),
            ("/v1/nothing", &[], valid, 404),
            ("/services/none/x", &[], "", 404),
            ("/services/skriver/x", &[], "", 404),
            (
                "/services/billet/reservations",
                &[("idempotency-key", "")],
                "{}",
                400,
            ),
        ];
        for (path, headers, body, status) in cases {
            let response = fleet.post_text(addr, path, headers, body).await.unwrap();
            assert_eq!(response.status, *status, "{path} {headers:?}");
            assert_eq!(response.verdict, "not-run", "{path} {headers:?}");
            assert!(response.json()["error"]["message"].is_string());
        }
        let response = fleet
            .post_text(addr, "/v1/completions", &[], valid)
            .await
            .unwrap();
        assert_eq!(response.status, 200);
    });
}

#[test]
fn completions_caller_hangs_up() {
    block_on(async {
        let timing = EngineTiming::instant().token_time(Duration::from_millis(20));
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .engine_timing(timing);
        let fleet = Fleet::start(config).await;
        let body = json!({
            "model": "digest", "prompt": "long", "max_tokens": 100_000, "stream": true,
        });
        let call = fleet.post(fleet.entry_addrs[0], "/v1/completions", &[], &body);
        let result = compio::time::timeout(Duration::from_millis(300), call).await;
        assert!(result.is_err());
        wait_for("cancelled generation", || async {
            let records = fleet.engines[0].records();
            records
                .iter()
                .any(|r| matches!(r, EngineRecord::Cancelled { .. }))
                .then_some(())
        })
        .await;
    });
}

#[test]
fn stop_finishes_work_in_flight() {
    block_on(async {
        let timing = EngineTiming::instant().token_time(Duration::from_millis(20));
        let config = FleetConfig::default()
            .entries(1)
            .engines(1)
            .engine_timing(timing);
        let mut fleet = Fleet::start(config).await;
        let body = json!({ "model": "digest", "prompt": "last", "max_tokens": 50 });
        let response = {
            let call = fleet.post(fleet.entry_addrs[0], "/v1/completions", &[], &body);
            let stop = async {
                wait_for("running generation", || async {
                    let records = fleet.engines[0].records();
                    let last = records.last().cloned();
                    matches!(last, Some(EngineRecord::Started { .. })).then_some(())
                })
                .await;
                fleet.processes["entry-1"].signal(Signal::TERM);
                fleet.processes["skriver-1"].signal(Signal::TERM);
            };
            futures_util::future::join(call, stop).await.0.unwrap()
        };
        assert_eq!(response.completion_text(), expected_completion("last", 50));
        for name in ["entry-1", "skriver-1"] {
            let status = fleet.processes.get_mut(name).unwrap().wait().await;
            assert_eq!(status.code(), Some(0), "{name}");
        }
    });
}
