//! Tests of `laburnumlug explain` on recorded logs.

use std::process::Output;

use assert_cmd::Command;

fn explain(args: &[&str]) -> Output {
    let log_dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let mut command = Command::cargo_bin("laburnumlug").unwrap();
    command
        .current_dir(log_dir)
        .arg("explain")
        .args(args)
        .output()
        .unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn explain_lost_target() {
    let output = explain(&["aa01", "gateway-1.log", "gateway-2.log"]);
    assert_eq!(output.status.code(), Some(0));
    let text = stdout(&output);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "request aa01, handled by gateway front-a");
    assert!(
        lines[1].contains("gateway front-b: the target gets no requests for now"),
        "{text}"
    );
    assert!(
        lines[2].starts_with(">       0 ms") && lines[2].contains("no answer in time"),
        "{text}"
    );
    assert!(
        lines[3].contains("answered with 504") && lines[3].contains("waited_ms=6002"),
        "{text}"
    );
    assert!(
        !text.contains("bb02") && !text.contains("i-other"),
        "{text}"
    );
}

/// A caller's complaint about refused keys must be told apart: keys that were not confirmed, and a key that is not listed.
#[test]
fn explain_revoked_key() {
    let output = explain(&["41f7be03d52c9a68", "revoked-key.log"]);
    assert_eq!(output.status.code(), Some(0));
    let text = stdout(&output);
    let refusals: Vec<&str> = text.lines().filter(|line| line.starts_with('>')).collect();
    assert!(
        refusals[0].contains("status 503: the API keys are not confirmed (cause=outdated-keys, customer=revoked-customer"),
        "{text}"
    );
    let last = refusals.last().unwrap();
    assert!(last.contains("status 401") && last.contains("cause=unauthorized"));
    assert!(!last.contains("customer"), "{text}");
}

#[test]
fn explain_truncated_line() {
    let output = explain(&["aa01", "gateway-1.log", "cut.log"]);
    assert_eq!(output.status.code(), Some(0));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("skipped lines that are not complete JSON log records: 1\n"),
        "{stderr}"
    );
}

#[test]
fn explain_unknown_id_or_file() {
    let output = explain(&["nobody", "gateway-1.log"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("no record of request nobody among")
    );
    let output = explain(&["aa01", "missing.log"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("missing.log")
    );
}
