//! Startup with invalid settings, which fails before the process listens.

use std::process::Output;

use assert_cmd::Command;

use crate::harness::Folder;

const VALID_SETTINGS: &str = "[process]\nvm = e1\nzone = a\n[mesh]\nkey = k\ncontrol = 127.0.0.1:1\n\
                    [entry]\nlisten = 127.0.0.1:0\n";

fn run_entry(text: &str) -> Output {
    let folder = Folder::new();
    let path = folder.write("entry.ini", text);
    let mut command = Command::cargo_bin("laburnumlugd").unwrap();
    command
        .arg("entry")
        .arg("--settings")
        .arg(path)
        .output()
        .unwrap()
}

#[test]
fn settings_refused() {
    let cases = [
        (
            VALID_SETTINGS.replace("listen", "lisen"),
            ":8: [entry] lisen: found key lisen",
        ),
        (
            VALID_SETTINGS.replace("127.0.0.1:0", "here"),
            ":8: [entry] listen: found \"here\"",
        ),
        (
            VALID_SETTINGS.replace("[mesh]\nkey = k\ncontrol = 127.0.0.1:1\n", ""),
            "[mesh] key: found nothing",
        ),
        (
            VALID_SETTINGS.replace("[entry]", "[exit]"),
            "[exit]: found section [exit]",
        ),
        (
            format!("{VALID_SETTINGS}max_body_bytes = 0\n"),
            ":9: [entry] max_body_bytes: found \"0\"",
        ),
        (
            VALID_SETTINGS.replace("[process]", "[process"),
            "entry.ini:1",
        ),
    ];
    for (text, expected) in cases {
        let output = run_entry(&text);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}\n{stderr}");
        assert!(stderr.contains(expected), "{stderr}\nlacks {expected}");
        assert!(stderr.contains("allowed: "), "{stderr}");
    }
}

#[test]
fn settings_unreadable_file() {
    let mut command = Command::cargo_bin("laburnumlugd").unwrap();
    let output = command
        .args(["entry", "--settings", "/nonexistent/entry.ini"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nonexistent/entry.ini"));
}
