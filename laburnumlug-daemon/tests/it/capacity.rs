//! Benchmarks of CPU time, memory and traffic, from whose slopes `docs/CAPACITY.md` derives the target size.
//!
//! They assert nothing about speed and run by name only, see `record/capacity.md`.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{Either, join_all, select};
use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message};
use laburnumlug_standin::EngineTiming;
use serde_json::{Value, json};

use crate::client::post;
use crate::harness::{Fleet, FleetConfig, MESH_KEY, block_on, wait_for};

/// Processes whose usage is printed.
const MEASURED_PROCESSES: [&str; 5] = [
    "control-1",
    "control-2",
    "control-3",
    "entry-1",
    "skriver-1",
];

/// Duration of the measurement without requests.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Interval at which a node polls each control replica.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Kernel clock ticks per second, the unit of CPU times in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// CPU time and resident memory of a process.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_ms: f64,
    resident_kib: u64,
}

fn process_usage(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    // User and system time, the 14th and 15th field of the line; the first two end with the parenthesis.
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = resident
        .unwrap()
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .unwrap();
    Usage {
        cpu_ms: ticks * 1000.0 / CLOCK_TICKS_PER_SECOND,
        resident_kib,
    }
}

fn process_usages(fleet: &Fleet) -> Vec<Usage> {
    let pid = |name: &&str| fleet.processes[*name].pid();
    MEASURED_PROCESSES
        .iter()
        .map(|name| process_usage(pid(name)))
        .collect()
}

/// Returns the number of bytes that the proxies whose names start with `prefix` have relayed so far.
fn link_bytes(fleet: &Fleet, prefix: &str) -> u64 {
    let links = fleet
        .proxies
        .iter()
        .filter(|(name, _)| name.starts_with(prefix));
    links.map(|(_, proxy)| proxy.traffic().bytes).sum()
}

/// Prints each process's CPU time between two measurements, divided by `units`, and its memory.
fn print_usage(what: &str, before: &[Usage], after: &[Usage], units: f64) {
    for ((name, before), after) in MEASURED_PROCESSES.iter().zip(before).zip(after) {
        println!(
            "| {what} | {name} | {:.4} | {} |",
            (after.cpu_ms - before.cpu_ms) / units,
            after.resident_kib
        );
    }
}

async fn start_fleet(timing: EngineTiming) -> Fleet {
    let config = FleetConfig::default()
        .control_replicas(3)
        .entries(1)
        .engines(1);
    Fleet::start(config.booking_servers(0).engine_timing(timing)).await
}

/// Adds `rows` targets in state `arriving`, which get no requests, and waits until the document is in force.
async fn add_rows(fleet: &Fleet, rows: usize) {
    let mut document = fleet.document.clone();
    let targets = document["targets"].as_array_mut().unwrap();
    for i in 0..rows {
        targets.push(json!({
            "name": format!("arriving-{i}"), "service": "skriver", "zone": "vest-a",
            "address": format!("127.1.{}.{}:7420", i / 250, i % 250 + 1), "state": "arriving",
            "models": [{ "model": "digest", "version": "1" }],
        }));
    }
    put_document_and_wait(fleet, 1, &document).await;
}

/// Replaces version `base` of the document and waits until the entry and the target process report the new version.
async fn put_document_and_wait(fleet: &Fleet, base: u64, document: &Value) {
    let text = document.to_string();
    let key = format!("version-{base}");
    let accepted = wait_for("acceptance of the document", || async {
        let (status, body) = fleet.put_document(0, base, &key, &text).await?;
        (status == 200).then(|| body["version"].as_u64().unwrap())
    })
    .await;
    wait_for(
        "the version in force at the entry and the target process",
        || async {
            let status = fleet.get_control_json(0, "/status").await?;
            let nodes = status["nodes"].as_array()?.clone();
            let current = nodes.iter().filter(|node| node["version"] == accepted);
            (current.count() == 2).then_some(())
        },
    )
    .await;
}

async fn measure_idle(fleet: &Fleet, what: &str) {
    let before = process_usages(fleet);
    let entry_bytes = link_bytes(fleet, "entry-1>control");
    let control_bytes = link_bytes(fleet, "control-");
    compio::time::sleep(IDLE_DURATION).await;
    let seconds = IDLE_DURATION.as_secs_f64();
    print_usage(what, &before, &process_usages(fleet), seconds);
    println!(
        "| {what} | bytes a second | entry to control {:.0} | between replicas {:.0} |",
        (link_bytes(fleet, "entry-1>control") - entry_bytes) as f64 / seconds,
        (link_bytes(fleet, "control-") - control_bytes) as f64 / seconds
    );
}

/// Polls one control replica as a node does, until the future is dropped.
async fn poll_control(addr: SocketAddr) {
    let key = MeshKey::new(MESH_KEY);
    let mut conn = Connection::connect(addr, &key, Duration::from_secs(5))
        .await
        .unwrap();
    let fetch = Message::Control(ControlMessage::FetchFleet {
        known: 1,
        usage: None,
    });
    loop {
        conn.send("", &fetch).await.unwrap();
        conn.recv().await.unwrap();
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

fn control_mesh_addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    let address = |i: usize| {
        let path = fleet.folder.path().join(format!("control-{i}.ini"));
        let text = std::fs::read_to_string(path).unwrap();
        let control_section = text.split("[control]").nth(1).unwrap().to_string();
        let line = control_section
            .lines()
            .find_map(|line| line.strip_prefix("listen = "));
        line.unwrap().parse().unwrap()
    };
    (1..=3).map(address).collect()
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_document_size() {
    block_on(async {
        for rows in [0, 200, 400, 800] {
            let fleet = start_fleet(EngineTiming::instant()).await;
            add_rows(&fleet, rows).await;
            compio::time::sleep(Duration::from_secs(3)).await;
            measure_idle(&fleet, &format!("{rows} more targets")).await;
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_changes() {
    block_on(async {
        for rows in [0, 800] {
            let fleet = start_fleet(EngineTiming::instant()).await;
            add_rows(&fleet, rows).await;
            let (_, current_document) = crate::client::get_document(fleet.operator_addrs[0])
                .await
                .unwrap();
            let before = process_usages(&fleet);
            let entry_bytes = link_bytes(&fleet, "entry-1>control");
            let control_bytes = link_bytes(&fleet, "control-");
            for i in 0..20 {
                let mut document = current_document.clone();
                document["name"] = json!(format!("change-{i}"));
                put_document_and_wait(&fleet, 2 + i, &document).await;
            }
            print_usage(
                &format!("a change, {rows} more targets"),
                &before,
                &process_usages(&fleet),
                20.0,
            );
            println!(
                "| a change, {rows} more targets | bytes | entry {} | replicas {} |",
                (link_bytes(&fleet, "entry-1>control") - entry_bytes) / 20,
                (link_bytes(&fleet, "control-") - control_bytes) / 20
            );
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_nodes() {
    block_on(async {
        let fleet = start_fleet(EngineTiming::instant()).await;
        let control_addrs = control_mesh_addrs(&fleet);
        let mut pollers = Vec::new();
        for nodes in [0, 100, 200, 400] {
            while pollers.len() < nodes * control_addrs.len() {
                let addr = control_addrs[pollers.len() % control_addrs.len()];
                pollers.push(compio::runtime::spawn(poll_control(addr)));
            }
            compio::time::sleep(Duration::from_secs(2)).await;
            measure_idle(&fleet, &format!("{nodes} more nodes")).await;
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_requests() {
    block_on(async {
        let fleet = start_fleet(EngineTiming::instant()).await;
        for (requests, tokens) in [(1000, 1), (200, 400)] {
            let before = process_usages(&fleet);
            let mesh_bytes = link_bytes(&fleet, ">skriver-1");
            let clients =
                (0..8).map(|client| send_completions(&fleet, client, requests / 8, tokens));
            join_all(clients).await;
            let what = format!("a request of {tokens} tokens");
            print_usage(&what, &before, &process_usages(&fleet), f64::from(requests));
            let mesh_bytes = (link_bytes(&fleet, ">skriver-1") - mesh_bytes) / u64::from(requests);
            println!("| {what} | bytes | entry to target process {mesh_bytes} | |");
        }
    });
}

async fn send_completions(fleet: &Fleet, client: u32, requests: u32, tokens: u64) {
    for i in 0..requests {
        let prompt = format!("question {client} {i}");
        let body = json!({
            "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let response = fleet
            .post(fleet.entry_addrs[0], "/v1/completions", &[], &body)
            .await;
        assert!(response.unwrap().streamed_completion().1);
    }
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_streams() {
    block_on(async {
        // One token per second keeps all streams open during the measurement.
        let fleet = start_fleet(EngineTiming::instant().token_time(Duration::from_secs(1))).await;
        let mut tasks = Vec::new();
        for streams in [0, 100, 200] {
            while tasks.len() < streams {
                tasks.push(compio::runtime::spawn(hold_stream(
                    fleet.entry_addrs[0],
                    tasks.len(),
                )));
            }
            wait_for("open streams", || async {
                (fleet.engines[0].running_completions() == streams as u64).then_some(())
            })
            .await;
            compio::time::sleep(Duration::from_secs(2)).await;
            measure_idle(&fleet, &format!("{streams} open answers")).await;
        }
    });
}

async fn hold_stream(addr: SocketAddr, number: usize) {
    let body = json!({
        "model": "digest", "prompt": format!("open {number}"), "max_tokens": 500, "stream": true,
    });
    let text = body.to_string();
    let headers = [("laburnumlug-deadline-ms", "1000000")];
    let call = std::pin::pin!(post(addr, "/v1/completions", &headers, &text));
    let end = std::pin::pin!(compio::time::sleep(Duration::from_secs(600)));
    if let Either::Left((response, _)) = select(call, end).await {
        println!("a stream ended early: {response:?}");
    }
}
