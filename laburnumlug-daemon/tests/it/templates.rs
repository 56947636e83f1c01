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

/// Number of processes that run at the same time.
const PROCESSES: usize = 4;

/// Returns the fields that the platform gives to a process, on a machine with an address of its own.
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

    /// Returns what the process has logged last about `key` of its limits.
    fn limit(&self, key: &str) -> Option<f64> {
        let log = self.log();
        let lines = log.lines().rev();
        let mut lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let line = lines.find(|line| line["message"] == "limits in force");
        let line = line.expect("a line about the limits");
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

/// Form of a field, and the limit that the process then obeys.
type Form = (Value, Option<f64>);

/// Field of the platform that a template fills in.
struct Field {
    role: &'static str,
    path: &'static str,
    /// Name of the limit in the log.
    key: &'static str,
    /// Forms that are allowed.
    forms: Vec<Form>,
    /// Forms that make no sense and are replaced.
    odd: Vec<Form>,
}

/// Returns all fields that have a default.
fn fields() -> Vec<Field> {
    let form = |value: Value, limit: f64| (value, Some(limit));
    // Forms of a time in a unit of that many milliseconds, with the default in milliseconds.
    let time = |unit: f64, default: f64| {
        let numbers = [json!(3), json!(4.0), json!(2.5), json!(9.9996), json!(0.5)];
        let forms = numbers.map(|n| (n.clone(), Some(n.as_f64().unwrap() * unit)));
        let odd = [json!(-1), json!("soon"), json!(true)].map(|value| form(value, default));
        (forms.to_vec(), odd.to_vec())
    };
    let with =
        |(mut forms, mut odd): (Vec<Form>, Vec<Form>), more: Vec<Form>, odd_more: Vec<Form>| {
            forms.extend(more);
            odd.extend(odd_more);
            (forms, odd)
        };
    let missing = |limit| (Value::Null, limit);
    let no_window = vec![
        (json!(0), None),
        (json!(0.0001), None),
        (json!(-1), None),
        (json!("a"), None),
    ];
    let windows = vec![
        form(json!(10.0), 10_000.0),
        form(json!(9.9996), 9999.6),
        missing(None),
    ];
    let ratio = vec![
        form(json!(0), 0.0),
        form(json!(1), 1.0),
        form(json!(0.25), 0.25),
    ];
    let mut fields = Vec::new();
    let mut add = |role, path, key, (forms, odd)| {
        fields.push(Field {
            role,
            path,
            key,
            forms,
            odd,
        });
    };
    let lease = with(
        time(1.0, 3000.0),
        vec![
            form(json!(2999.5), 2999.5),
            form(json!(0), 0.0),
            missing(Some(3000.0)),
        ],
        vec![],
    );
    add("control", "bounds.leaseMs", "order_turn_ms", lease);
    let late = with(
        time(1000.0, 10_000.0),
        vec![],
        vec![form(json!(0), 10_000.0), missing(Some(10_000.0))],
    );
    add("control", "bounds.usageLateS", "usage_late_ms", late);
    add(
        "control",
        "bounds.windowS",
        "usage_window_ms",
        (vec![form(json!(2.5), 2500.0)], no_window.clone()),
    );
    let disk = vec![
        form(json!(64.0), 64e6),
        form(json!(64.5), 64.5e6),
        form(json!(0.5), 5e5),
        missing(None),
    ];
    add(
        "control",
        "limits.diskMb",
        "disk_bytes",
        (disk, vec![(json!(0), None), (json!("a"), None)]),
    );
    let losses = vec![form(json!(1.0), 1.0), form(json!(0), 0.0), missing(None)];
    add(
        "control",
        "faultTolerance.machines",
        "losses",
        (losses, vec![(json!(1.5), None), (json!(-1), None)]),
    );
    let bootstrap = vec![
        form(json!(true), 1.0),
        form(json!(false), 0.0),
        missing(Some(0.0)),
    ];
    add(
        "control",
        "bootstrap",
        "may_found",
        (bootstrap, vec![form(json!("maybe"), 0.0)]),
    );
    add(
        "gateway",
        "bounds.windowS",
        "usage_window_ms",
        (windows, no_window),
    );
    for (path, key, default) in [
        ("bounds.graceS", "grace_ms", 8000.0),
        ("bounds.budgetWindowS", "retry_window_ms", 10_000.0),
    ] {
        let odd = vec![form(json!(0), default)];
        add(
            "gateway",
            path,
            key,
            with(time(1000.0, default), vec![missing(Some(default))], odd),
        );
    }
    for (path, key, default) in [
        ("bounds.retryBudgetRatio", "retry_ratio", 0.1),
        ("bounds.budgetSlack", "retry_slack", 50.0),
    ] {
        let forms = [ratio.clone(), vec![missing(Some(default))]].concat();
        add(
            "gateway",
            path,
            key,
            (
                forms,
                vec![form(json!(-1), default), form(json!("a"), default)],
            ),
        );
    }
    for (path, key, default) in [
        ("bounds.configMs", "max_route_age_ms", Some(2000.0)),
        ("bounds.revokeMs", "max_key_age_ms", None),
    ] {
        let odd = vec![form(json!(0), 2000.0)];
        add(
            "gateway",
            path,
            key,
            with(time(1.0, 2000.0), vec![missing(default)], odd),
        );
    }
    fields
}

/// Guards against control processes, or gateways, none of which starts with a limit in a form that the platform allows, and
/// against a limit that the process then does not obey.
#[test]
fn template_each_field_in_each_form() {
    let mut cases = Vec::new();
    for field in fields() {
        let forms = field.forms.into_iter().map(|form| (form, false));
        let odd = field.odd.into_iter().map(|form| (form, true));
        for ((value, limit), is_odd) in forms.chain(odd) {
            cases.push((field.role, field.path, field.key, value, limit, is_odd));
        }
    }
    check_each(cases, |(role, path, key, value, limit, is_odd)| {
        let mut process = Rendered::start(role, path, value);
        let served = process.served();
        let log = process.log();
        assert!(served.is_ok(), "{path} = {value}: {served:?}\n{log}");
        let found = process.limit(key);
        let is_near = |(a, b): (f64, f64)| (a - b).abs() < 1e-6;
        let is_same = found.zip(*limit).map_or(found == *limit, is_near);
        assert!(is_same, "{path} = {value}: {found:?}, not {limit:?}\n{log}");
        let faults = log
            .lines()
            .filter(|line| line.contains("a setting is not allowed"));
        assert_eq!(
            faults.count(),
            usize::from(*is_odd),
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
    let fields = fields();
    for role in ["gateway", "control"] {
        let template = template(role);
        let tags = template.split("{{").skip(1);
        for tag in tags.map(|rest| rest.split("}}").next().unwrap()) {
            let name = tag.trim_start_matches(['#', '^', '/']);
            let is_tested = fields.iter().any(|f| (f.role, f.path) == (role, name));
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
    let mut process = Rendered::start("gateway", "bounds.graceS", &json!(8));
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
    assert_eq!(process.limit("grace_ms"), Some(2000.0));
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
        let start = Instant::now();
        while !process.log().contains("the settings file has changed") {
            assert!(start.elapsed() < START_TIMEOUT, "{}", process.log());
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(
            process.limit(key),
            Some(*limit),
            "{path}\n{}",
            process.log()
        );
    });
}
