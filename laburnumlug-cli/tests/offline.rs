//! Tests of commands that need no running fleet.

use assert_cmd::Command;
use std::process::Output;

fn run(args: &[&str], stdin: &str) -> Output {
    let mut command = Command::cargo_bin("laburnumlug").unwrap();
    command
        .env_remove("LABURNUMLUG_CONTROL")
        .env_remove("LABURNUMLUG_TOKEN");
    command.args(args).write_stdin(stdin).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn template_passes_check() {
    let template = run(&["fleet", "template"], "");
    assert_eq!(template.status.code(), Some(0));
    let check = run(&["fleet", "check", "/dev/stdin"], &stdout(&template));
    assert_eq!(check.status.code(), Some(0), "{}", stderr(&check));
}

#[test]
fn check_prints_all_faults() {
    let text = r#"{ "name": "", "models": [], "services": [{ "name": "s", "kind": "engine" }],
        "targets": [{ "name": "t", "service": "none", "zone": "z", "address": "x", "state": "serving" }] }"#;
    let check = run(&["fleet", "check", "/dev/stdin"], text);
    assert_eq!(check.status.code(), Some(2));
    for path in [
        "name:",
        "services[0].models:",
        "targets[0].service:",
        "targets[0].address:",
    ] {
        assert!(stderr(&check).contains(path), "{path}: {}", stderr(&check));
    }
    let check = run(&["fleet", "check", "--json", "/dev/stdin"], text);
    let report: serde_json::Value = serde_json::from_str(&stdout(&check)).unwrap();
    assert_eq!(report["faults"].as_array().unwrap().len(), 4);
    assert_eq!(check.status.code(), Some(2));
}

#[test]
fn usage_faults() {
    let cases: &[&[&str]] = &[
        &[],
        &["none"],
        &["fleet", "apply"],
        &["fleet", "check", "/nonexistent.json"],
        &["fleet", "show", "--control", "localhost"],
        &["fleet", "show", "--token-file", "/nonexistent"],
        &["audit", "--since", "soon"],
        &["ask", "--model", "m", "--entry", "here", "hello"],
        &["token", "a:b"],
    ];
    for args in cases {
        let output = run(args, "");
        assert_eq!(
            output.status.code(),
            Some(2),
            "{args:?}: {}",
            stderr(&output)
        );
        assert!(!output.stderr.is_empty(), "{args:?}");
    }
}

#[test]
fn help_states_exit_codes_and_examples() {
    for args in [&["--help"][..], &["fleet", "apply", "--help"]] {
        let help = run(args, "");
        assert_eq!(help.status.code(), Some(0));
        for part in ["Examples:", "Error codes:", "3 another change came first"] {
            assert!(stdout(&help).contains(part), "{part}: {}", stdout(&help));
        }
    }
}

#[test]
fn token_hash_of_known_token() {
    let from_stdin = run(&["token", "dev", "--stdin"], "dev\n");
    let expected = "dev:ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567\n";
    assert_eq!(stdout(&from_stdin), expected);
    let generated = run(&["token", "anna"], "");
    let generated = stdout(&generated);
    let lines: Vec<&str> = generated.lines().collect();
    assert_eq!(lines[0].len(), 64);
    let rehashed = run(&["token", "anna", "--stdin"], lines[0]);
    assert_eq!(stdout(&rehashed).trim(), lines[1]);
}

#[test]
fn unreachable_control_is_a_failure() {
    // No process listens on port 1 of this loopback address.
    let show = run(&["fleet", "show", "--control", "127.255.255.1:1"], "");
    assert_eq!(show.status.code(), Some(1), "{}", stderr(&show));
    assert!(stderr(&show).contains("127.255.255.1:1"));
}
