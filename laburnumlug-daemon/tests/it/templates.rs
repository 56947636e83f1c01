//! Processes whose settings the platform fills in from the templates of `deploy/`.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::harness::Folder;
use crate::template::render;

/// Time in which a process starts, or ends if its settings are not allowed.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Log message of a process whose settings file has changed.
const CHANGED: &str = "the settings file has changed";

/// Number of processes that run at the same time.
const PROCESSES: usize = 4;

/// Returns the fields that the platform gives to a process, on a machine with its own address.
fn node() -> Value {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, a | 0x80, b, host);
    let listen = |port: u16| SocketAddr::from((ip, port));
    let (front, ready, control) = (listen(10_001), listen(10_002), listen(10_003));
    json!({
        "node": "front-a-1", "ip": ip, "zone": "a",
        "listen": { "front": front, "ready": ready, "control": control },
        "internalPorts": [10_004, 10_005],
        "seeds": [control], "bootstrap": true, "limits": { "diskMb": 64 },
        "faultTolerance": { "machines": 1, "zones": 0, "regions": 0 },
        "bounds": {
            "graceS": 8, "configMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
            "leaseMs": 3000, "windowS": 5, "usageLateS": 10, "revokeClosed": true, "revokeMs": 5000
        },
        "cloud": { "address": "127.0.0.1:1", "duties": ["usage_report"] }
    })
}

/// Process with rendered settings, killed on drop.
struct Rendered {
    folder: Folder,
    role: &'static str,
    fields: Value,
    /// Address that accepts connections as soon as the process serves.
    addr: SocketAddr,
    child: Child,
}

impl Drop for Rendered {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Rendered {
    /// Starts a process with the fields of the platform, of which the one at `path` is `value`, or missing if that is null.
    fn start(role: &'static str, path: &str, value: &Value) -> Rendered {
        let folder = Folder::new();
        let mut fields = node();
        fields["dataDir"] = json!(folder.path().join("data"));
        if let Some(field) = fields.pointer_mut(&format!("/{}", path.replace('.', "/"))) {
            *field = value.clone();
        }
        write_settings(&folder, role, &fields);
        let log = File::create(folder.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_laburnumlugd"))
            .args([role, "--settings"])
            .arg(folder.path().join("node.ini"))
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let listener = if role == "gateway" {
            "ready"
        } else {
            "control"
        };
        Rendered {
            addr: fields["listen"][listener]
                .as_str()
                .unwrap()
                .parse()
                .unwrap(),
            folder,
            role,
            fields,
            child,
        }
    }

    /// Waits until the process serves; returns how it exited if it does instead.
    fn served(&mut self) -> Result<(), ExitStatus> {
        let start = Instant::now();
        while TcpStream::connect(self.addr).is_err() {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Err(status);
            }
            assert!(start.elapsed() < START_TIMEOUT, "{}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Returns what the process has logged last about `key` of its limits, once it has logged them after `message`, if any.
    fn limit_after(&self, message: Option<&str>, key: &str) -> Option<f64> {
        let start = Instant::now();
        let is_limits = |line: &Value| line["message"] == "limits in force";
        let line = loop {
            let log = self.log();
            let log = match message {
                Some(message) => log.rsplit_once(message).map_or("", |(_, log)| log),
                None => log.as_str(),
            };
            let mut lines = log
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            if let Some(line) = lines.rfind(is_limits) {
                break line;
            }
            assert!(start.elapsed() < START_TIMEOUT, "{}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        };
        let text = line["attributes"][key].as_str().unwrap().to_string();
        let text = text.trim_start_matches("Some(").trim_end_matches(')');
        match text {
            "true" => Some(1.0),
            "false" => Some(0.0),
            _ => text.parse().ok(),
        }
    }

    /// Changes a field, and the settings file with it.
    fn change(&mut self, path: &str, value: Value) {
        *self
            .fields
            .pointer_mut(&format!("/{}", path.replace('.', "/")))
            .unwrap() = value;
        write_settings(&self.folder, self.role, &self.fields);
    }
}

fn write_settings(folder: &Folder, role: &str, fields: &Value) {
    folder.write("node.ini", &render(&template(role), fields));
}

/// Returns the template of a role's settings.
fn template(role: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("../deploy/{role}.ini"));
    std::fs::read_to_string(path).unwrap()
}

/// Runs `check` for each of `cases`, several at a time.
fn check_each<T, F>(cases: Vec<T>, check: F)
where
    T: Send + Sync,
    F: Fn(&T) + Sync,
{
    let chunk = cases.len().div_ceil(PROCESSES);
    std::thread::scope(|scope| {
        for cases in cases.chunks(chunk) {
            scope.spawn(|| cases.iter().for_each(&check));
        }
    });
}

/// Fields of the platform that have a default, by role.
///
/// Each line has the path of the field, the name of the limit in the log and the factor between them, the limit if the field is
/// missing and that if it makes no sense (`-` for none), the forms that are allowed, and those that are replaced with an error
/// line. `null` stands for a missing field.
const FIELDS: [(&str, &str); 2] = [
    (
        "control",
        r#"
        bounds.leaseMs          order_turn_ms     1        3000   3000  : 3 4.0 2.5 9.9996 0.5 0 2999.5 null : -1 "soon" true
        bounds.windowS          usage_window_ms   1000     -      -     : 2.5 9.9996 : 0 0.0001 -1 "soon"
        bounds.usageLateS       usage_late_ms     1000     10000  10000 : 3 4.0 2.5 9.9996 0.5 : 0 -1 "soon" true null
        limits.diskMb           disk_bytes        1000000  -      -     : 64.0 64.5 0.5 null : 0 "soon"
        faultTolerance.machines losses            1        -      -     : 1.0 0 null : 1.5 -1
        bootstrap               may_found         1        0      0     : true false null : "soon""#,
    ),
    (
        "gateway",
        r#"
        bounds.windowS          usage_window_ms   1000     -      -     : 10.0 9.9996 null : 0 0.0001 -1 "soon"
        bounds.graceS           grace_ms          1000     8000   8000  : 3 4.0 2.5 9.9996 0.5 null : 0 -1 "soon" true
        bounds.budgetWindowS    retry_window_ms   1000     10000  10000 : 3 4.0 2.5 9.9996 0.5 null : 0 -1 "soon" true
        bounds.retryBudgetRatio retry_ratio       1        0.1    0.1   : 0 1 0.25 1.0 null : -1 "soon"
        bounds.budgetSlack      retry_slack       1        50     50    : 0 1 0.25 58.0 null : -1 "soon"
        bounds.configMs         max_route_age_ms  1        2000   2000  : 3 4.0 2.5 9.9996 0.5 null : 0 -1 "soon" true
        bounds.revokeMs         max_key_age_ms    1        -      2000  : 3 4.0 2.5 9.9996 0.5 null : 0 -1 "soon" true"#,
    ),
];

/// A field in one form, and the limit that the process then obeys.
struct Case {
    role: &'static str,
    path: &'static str,
    /// Name of the limit in the log.
    key: &'static str,
    value: Value,
    limit: Option<f64>,
    /// Whether the value makes no sense and is replaced.
    is_replaced: bool,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    let lines = FIELDS
        .iter()
        .flat_map(|(role, lines)| lines.trim().lines().map(move |line| (*role, line)));
    for (role, line) in lines {
        let parts: Vec<&str> = line.split(" : ").collect();
        let columns: Vec<&str> = parts[0].split_whitespace().collect();
        let [path, key, factor, missing, substitute] = columns[..] else {
            panic!("five columns: {line}");
        };
        let number = |text: &str| text.parse::<f64>().ok();
        let limit = |value: &Value| match value {
            Value::Null => number(missing),
            Value::Bool(is_set) => Some(f64::from(u8::from(*is_set))),
            value => value
                .as_f64()
                .zip(number(factor))
                .map(|(n, factor)| n * factor),
        };
        for (forms, is_replaced) in [(parts[1], false), (parts[2], true)] {
            for form in forms.split_whitespace() {
                let value: Value = serde_json::from_str(form).unwrap();
                cases.push(Case {
                    role,
                    path,
                    key,
                    limit: if is_replaced {
                        number(substitute)
                    } else {
                        limit(&value)
                    },
                    value,
                    is_replaced,
                });
            }
        }
    }
    cases
}

/// Guards against control processes, or gateways, none of which starts with a limit in a form that the platform allows, and
/// against a limit that the process then does not obey.
#[test]
fn template_each_field_in_each_form() {
    check_each(cases(), |case| {
        let (path, value) = (case.path, &case.value);
        let mut process = Rendered::start(case.role, path, value);
        let served = process.served();
        assert!(
            served.is_ok(),
            "{path} = {value}: {served:?}\n{}",
            process.log()
        );
        let found = process.limit_after(None, case.key);
        let log = process.log();
        let is_near = |(a, b): (f64, f64)| (a - b).abs() < 1e-6;
        let is_same = found.zip(case.limit).map_or(found == case.limit, is_near);
        assert!(
            is_same,
            "{path} = {value}: {found:?}, not {:?}\n{log}",
            case.limit
        );
        let faults = log
            .lines()
            .filter(|line| line.contains("a setting is not allowed"));
        assert_eq!(
            faults.count(),
            usize::from(case.is_replaced),
            "{path} = {value}\n{log}"
        );
    });
}

/// Guards against a new field whose forms nobody has thought of.
#[test]
fn template_names_known_fields_only() {
    // Names, addresses and lists, which every deployment has.
    let others = [
        "node",
        "zone",
        "ip",
        "seeds",
        "dataDir",
        "listen.front",
        "listen.ready",
        "listen.control",
        "internalPorts.0",
        "internalPorts.1",
        "cloud.address",
        "cloud.duties",
        "bounds.revokeClosed",
        ".",
    ];
    let cases = cases();
    for role in ["gateway", "control"] {
        let template = template(role);
        let tags = template.split("{{").skip(1);
        for tag in tags.map(|rest| rest.split("}}").next().unwrap()) {
            let name = tag.trim_start_matches(['#', '^', '/']);
            let is_tested = cases
                .iter()
                .any(|case| (case.role, case.path) == (role, name));
            assert!(is_tested || others.contains(&name), "{role}: {name}");
        }
    }
}

/// Guards against a mistake for which no default is safe and that does not end the process with one line.
#[test]
fn template_without_seeds_or_list() {
    let cases = vec![
        ("control", "seeds", json!([]), "[mesh] control: found \"\""),
        (
            "gateway",
            "seeds",
            json!(null),
            "[mesh] control: found \"\"",
        ),
        (
            "control",
            "cloud.address",
            json!("here"),
            "[control] target_list: found \"here\"",
        ),
        (
            "gateway",
            "cloud.address",
            json!(""),
            "[gateway] target_list: found \"\"",
        ),
    ];
    check_each(cases, |(role, path, value, line)| {
        let mut process = Rendered::start(role, path, value);
        let status = process.served().expect_err("it must not serve");
        let log = process.log();
        assert_eq!(status.code(), Some(2), "{log}");
        assert_eq!(
            (log.lines().count(), log.contains(line)),
            (1, true),
            "{log}"
        );
    });
}

/// Guards against requests in flight that are cut because the platform kills a gateway after a grace period that was shortened
/// while the gateway ran.
#[test]
fn template_grace_period_shortened_before_stop() {
    // Without windows of usage, whose last counts a stopping gateway reports until shortly before its exit.
    let mut process = Rendered::start("gateway", "bounds.windowS", &json!(null));
    process.served().unwrap();
    // The change is not followed by a poll before the request to stop.
    process.change("bounds.graceS", json!(2));
    let stopped_at = Instant::now();
    kill_process(Pid::from_child(&process.child), Signal::TERM).unwrap();
    let status = process.child.wait().unwrap();
    let taken = stopped_at.elapsed();
    assert!(
        status.success() && taken < Duration::from_secs(2),
        "{status} after {taken:?}"
    );
    assert_eq!(process.limit_after(Some(CHANGED), "grace_ms"), Some(2000.0));
}

/// Guards against limits that stay those of the start until the process is restarted.
#[test]
fn template_changes_reach_running_processes() {
    let changes = vec![
        (
            "gateway",
            "bounds.budgetSlack",
            json!(20.5),
            "retry_slack",
            20.5,
        ),
        (
            "gateway",
            "bounds.configMs",
            json!(2500.0),
            "max_route_age_ms",
            2500.0,
        ),
        (
            "gateway",
            "bounds.revokeMs",
            json!(3000),
            "max_key_age_ms",
            3000.0,
        ),
        (
            "control",
            "bounds.leaseMs",
            json!(4500.5),
            "order_turn_ms",
            4500.5,
        ),
        // A shorter time waits for the next start, as other replicas may still obey the longer one.
        (
            "control",
            "bounds.leaseMs",
            json!(500),
            "order_turn_ms",
            3000.0,
        ),
    ];
    check_each(changes, |(role, path, value, key, limit)| {
        let mut process = Rendered::start(role, "none", &json!(null));
        process.served().unwrap();
        process.change(path, value.clone());
        let found = process.limit_after(Some(CHANGED), key);
        assert_eq!(found, Some(*limit), "{path}\n{}", process.log());
    });
}
