//! The command `laburnumlug` against real processes.

use std::cell::RefCell;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use laburnumlug_standin::{EngineTiming, Fault, FaultProxy, expected_completion};
use serde_json::{Value, json};

use crate::harness::{Fleet, FleetConfig, block_on, wait_for};

pub struct CliOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CliOutput {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap()
    }
}

fn start_cli(control: &str, args: &[&str]) -> Child {
    let path = assert_cmd::cargo::cargo_bin("laburnumlug");
    assert!(
        path.exists(),
        "{} is missing; build it with `cargo build --workspace`",
        path.display()
    );
    Command::new(path)
        .args(args)
        .env("LABURNUMLUG_CONTROL", control)
        .env("LABURNUMLUG_TOKEN", "dev")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Waits for the command without blocking the runtime, in which proxies and stand-ins run.
async fn finish_cli(child: Child) -> CliOutput {
    let child = RefCell::new(child);
    wait_for("exit of the command", || async {
        child.borrow_mut().try_wait().unwrap()
    })
    .await;
    let output = child.into_inner().wait_with_output().unwrap();
    CliOutput {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs a command at the control processes in `control`.
pub async fn cli(control: &str, args: &[&str]) -> CliOutput {
    finish_cli(start_cli(control, args)).await
}

fn small_fleet() -> FleetConfig {
    FleetConfig::default()
        .entries(1)
        .engines(2)
        .booking_servers(0)
}

#[test]
fn fleet_show_diff_apply() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        // Nothing listens at the first address of the list.
        let control = format!("127.255.255.1:1,{}", fleet.operator_addrs[0]);
        let show = cli(&control, &["fleet", "show", "--json"]).await;
        assert_eq!(show.code, Some(0), "{}", show.stderr);
        assert_eq!(show.json()["version"], 1);
        let mut document = show.json()["document"].clone();
        document["name"] = json!("second");
        let file = fleet.folder.write("second.json", &document.to_string());
        let file = file.to_str().unwrap();
        let diff = cli(&control, &["fleet", "diff", file]).await;
        assert!(
            diff.stdout
                .contains("~ name: \"test\" -> \"second\"\n1 differences")
        );
        let apply = cli(
            &control,
            &["fleet", "apply", "--base", "1", "--key", "k", file],
        )
        .await;
        assert_eq!(apply.code, Some(0), "{}", apply.stderr);
        assert_eq!(apply.stdout, "version 2 is in force\n");
        // Resending the same submission returns the recorded result.
        let again = cli(
            &control,
            &[
                "fleet", "apply", "--base", "1", "--key", "k", "--json", file,
            ],
        )
        .await;
        assert_eq!(again.json(), json!({ "version": 2 }));
        let conflict = cli(&control, &["fleet", "apply", "--base", "1", file]).await;
        assert_eq!(conflict.code, Some(3));
        assert!(
            conflict.stderr.contains("dev's change won: version 2"),
            "{}",
            conflict.stderr
        );
        let without_base = cli(&control, &["fleet", "apply", file]).await;
        assert_eq!(without_base.code, Some(2));
        let forced = cli(&control, &["fleet", "apply", "--force-base", file]).await;
        assert_eq!(forced.stdout, "version 3 is in force\n");
    });
}

#[test]
fn apply_made_once_after_lost_response() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        let proxy = FaultProxy::start(fleet.operator_addrs[0]).await.unwrap();
        let control = format!("{},{}", proxy.addr(), fleet.operator_addrs[0]);
        let mut document = fleet.document.clone();
        document["name"] = json!("second");
        let file = fleet.folder.write("second.json", &document.to_string());
        proxy.set_fault(Fault::PartitionBackward);
        let child = start_cli(
            &control,
            &["fleet", "apply", "--base", "1", file.to_str().unwrap()],
        );
        wait_for("the change whose response is lost", || async {
            let fleet = fleet.get_control_json(0, "/fleet").await?;
            (fleet["name"] == "second").then_some(())
        })
        .await;
        // The response is lost, so the command resends to the next address with the same key.
        proxy.set_fault(Fault::Disconnect);
        let apply = finish_cli(child).await;
        assert_eq!(apply.code, Some(0), "{}", apply.stderr);
        assert_eq!(apply.stdout, "version 2 is in force\n");
        let audit = cli(&control, &["audit", "--json", "--result", "accepted"]).await;
        assert_eq!(audit.stdout.lines().count(), 2, "{}", audit.stdout);
    });
}

#[test]
fn drain_and_cancel() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        let control = fleet.operator_addrs[0].to_string();
        let drain = cli(&control, &["drain", "skriver-1"]).await;
        assert_eq!(drain.stdout, "version 2 is in force\n", "{}", drain.stderr);
        let again = cli(&control, &["drain", "skriver-1", "--json"]).await;
        assert_eq!(again.json(), json!({ "version": 2 }));
        // Draining the last target that is not leaving is refused.
        let last = cli(&control, &["drain", "skriver-2"]).await;
        assert_eq!(last.code, Some(2));
        assert!(
            last.stderr
                .contains("services[0]: found all 2 targets leaving"),
            "{}",
            last.stderr
        );
        let unknown = cli(&control, &["drain", "skriver-9"]).await;
        assert_eq!(unknown.code, Some(2));
        assert!(unknown.stderr.contains("one of: skriver-1, skriver-2"));
        let status = cli(&control, &["status"]).await;
        let row = status
            .stdout
            .lines()
            .find(|line| line.starts_with("skriver-1"));
        assert!(
            row.is_some_and(|row| row.contains("leaving")),
            "{}",
            status.stdout
        );
        let cancel = cli(&control, &["drain", "--cancel", "skriver-1"]).await;
        assert_eq!(cancel.stdout, "version 3 is in force\n");
    });
}

#[test]
fn control_replace_row() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        let control = fleet.operator_addrs[0].to_string();
        let mut document = fleet.document.clone();
        document["control"] = json!([
            { "name": "control-1", "zone": "vest-a", "address": "10.0.0.1:7410" },
            { "name": "control-2", "zone": "vest-b", "address": "10.0.0.2:7410" },
        ]);
        let response = fleet
            .put_document(0, 1, "list", &document.to_string())
            .await;
        assert_eq!(response.unwrap().0, 200);
        let replace = |old: &'static str, name: &'static str, address: &'static str| {
            let args = [
                "control",
                "replace",
                old,
                "--name",
                name,
                "--address",
                address,
            ];
            finish_cli(start_cli(&control, &args))
        };
        let done = replace("control-2", "control-3", "10.0.0.3:7410").await;
        assert_eq!(done.stdout, "version 3 is in force\n", "{}", done.stderr);
        let row = json!({ "name": "control-3", "zone": "vest-b", "address": "10.0.0.3:7410" });
        let document = fleet.get_control_json(0, "/fleet").await.unwrap();
        assert_eq!(document["control"][1], row);
        assert_eq!(
            replace("control-2", "control-4", "10.0.0.4:7410")
                .await
                .code,
            Some(2)
        );
        let taken = replace("control-3", "control-1", "10.0.0.1:7410").await;
        assert_eq!(taken.code, Some(2));
        assert!(taken.stderr.contains("control[1].name"), "{}", taken.stderr);
        assert!(
            taken.stderr.contains("control[1].address"),
            "{}",
            taken.stderr
        );
    });
}

#[test]
fn status_and_audit_tables() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        let control = fleet.operator_addrs[0].to_string();
        wait_for("reported versions", || async {
            let status = cli(&control, &["status"]).await;
            assert_eq!(status.code, Some(0), "{}", status.stderr);
            let rows = ["skriver-1", "skriver-2", "entry-1"];
            let reported = |name: &&str| {
                let mut lines = status.stdout.lines();
                lines.any(|line| line.starts_with(name) && line.ends_with("  1"))
            };
            let is_carried_out = status
                .stdout
                .matches("mixed  digest@1  1 carried-out")
                .count()
                == 2;
            (rows.iter().all(reported) && is_carried_out).then_some(())
        })
        .await;
        let audit = cli(&control, &["audit", "--since", "1h"]).await;
        assert_eq!(audit.code, Some(0), "{}", audit.stderr);
        assert!(audit.stdout.contains("accepted"), "{}", audit.stdout);
        let no_records = cli(&control, &["audit", "--operator", "no body", "--json"]).await;
        assert_eq!((no_records.code, no_records.stdout.as_str()), (Some(0), ""));
    });
}

#[test]
fn status_of_each_replica() {
    block_on(async {
        let config = FleetConfig::default()
            .control_replicas(3)
            .entries(1)
            .engines(1)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        let addrs: Vec<String> = fleet
            .operator_addrs
            .iter()
            .map(|addr| addr.to_string())
            .collect();
        let control = addrs.join(",");
        let states = |text: &str| -> Vec<String> {
            let lines = text
                .lines()
                .filter(|line| addrs.iter().any(|addr| line.contains(addr)));
            let state =
                |line: &str| ["leader", "follower", "no answer"].map(|s| (s, line.contains(s)));
            let known = lines.filter_map(|line| state(line).into_iter().find(|(_, found)| *found));
            known.map(|(state, _)| state.to_string()).collect()
        };
        wait_for("one leader and two followers", || async {
            let status = cli(&control, &["status"]).await;
            let mut states = states(&status.stdout);
            states.sort_unstable();
            (states == ["follower", "follower", "leader"]).then_some(())
        })
        .await;
        fleet.processes.get_mut("control-1").unwrap().kill();
        wait_for("a leader among the remaining replicas", || async {
            let status = cli(&control, &["status"]).await;
            let states = states(&status.stdout);
            assert_eq!(states[0], "no answer", "{}", status.stdout);
            let is_led = states.iter().any(|state| state == "leader");
            (is_led && status.stdout.contains("voters of unknown state: control-1")).then_some(())
        })
        .await;
        let json = cli(&control, &["status", "--json"]).await.json();
        assert!(json["replicas"][0]["error"].is_string());
        assert_eq!(json["document"]["name"], "test");
    });
}

#[test]
fn operator_commands_refused_token() {
    block_on(async {
        let fleet = Fleet::start(small_fleet()).await;
        let control = fleet.operator_addrs[0].to_string();
        let file = fleet.folder.write("token", "wrong\n");
        let args = ["fleet", "show", "--token-file", file.to_str().unwrap()];
        let refused = cli(&control, &args).await;
        assert_eq!(refused.code, Some(1));
        let file = fleet.folder.write("token", "dev\n");
        let args = ["fleet", "show", "--token-file", file.to_str().unwrap()];
        assert_eq!(cli(&control, &args).await.code, Some(0));
    });
}

#[test]
fn ask_exit_codes() {
    block_on(async {
        let timing = EngineTiming::instant().token_time(Duration::from_millis(2));
        let mut fleet = Fleet::start(small_fleet().engines(1).engine_timing(timing)).await;
        let proxy = FaultProxy::start(fleet.entry_addrs[0]).await.unwrap();
        let entry = proxy.addr().to_string();
        let ask_args = [
            "ask",
            "--entry",
            &entry,
            "--model",
            "digest",
            "--max-tokens",
        ];
        let complete = cli(
            "127.255.255.1:1",
            &[&ask_args[..], &["20", "hello"]].concat(),
        )
        .await;
        assert_eq!(complete.code, Some(0), "{}", complete.stderr);
        assert_eq!(
            complete.stdout.trim_end(),
            expected_completion("hello", 20).trim_end()
        );
        let unknown_model = ["ask", "--entry", &entry, "--model", "none", "hello"];
        let refused = cli("127.255.255.1:1", &unknown_model).await;
        assert_eq!(refused.code, Some(1), "{}", refused.stderr);
        assert!(refused.stderr.contains("not-run"), "{}", refused.stderr);
        let bytes_before = proxy.traffic().bytes;
        let child = start_cli(
            "127.255.255.1:1",
            &[&ask_args[..], &["100000", "hello"]].concat(),
        );
        wait_for("start of the stream", || async {
            (proxy.traffic().bytes > bytes_before + 2000).then_some(())
        })
        .await;
        fleet.processes.get_mut("entry-1").unwrap().kill();
        let interrupted = finish_cli(child).await;
        assert_eq!(interrupted.code, Some(4), "{}", interrupted.stderr);
    });
}
