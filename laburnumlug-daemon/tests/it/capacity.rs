//! Slopes of processor time, memory and traffic, from which `docs/CAPACITY.md` works out the target size.
//!
//! Not a test: it asserts nothing about speed and runs by name only, see `record/capacity.md`.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{Either, join_all, select};
use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message};
use laburnumlug_standin::EngineTiming;
use serde_json::{Value, json};

use crate::client::post;
use crate::harness::{Fleet, FleetConfig, MESH_KEY, block_on, wait_for};

/// Processes whose figures are printed.
const PROCESSES: [&str; 5] = [
    "control-1",
    "control-2",
    "control-3",
    "entry-1",
    "skriver-1",
];

/// How long each idle state is watched.
const WATCH: Duration = Duration::from_secs(10);

/// How often a node asks each control replica.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Clock ticks of the kernel in one second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_ms: f64,
    resident_kib: u64,
}

fn usage(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
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
        cpu_ms: ticks * 1000.0 / TICKS_PER_SECOND,
        resident_kib,
    }
}

fn usages(fleet: &Fleet) -> Vec<Usage> {
    let pid = |name: &&str| fleet.processes[*name].pid();
    PROCESSES.iter().map(|name| usage(pid(name))).collect()
}

/// Bytes that have passed the links whose names begin with `prefix`.
fn bytes(fleet: &Fleet, prefix: &str) -> u64 {
    let links = fleet
        .proxies
        .iter()
        .filter(|(name, _)| name.starts_with(prefix));
    links.map(|(_, proxy)| proxy.traffic().bytes).sum()
}

/// Prints what each process used between two states, for each of `units`.
fn print(what: &str, before: &[Usage], after: &[Usage], units: f64) {
    for ((name, before), after) in PROCESSES.iter().zip(before).zip(after) {
        println!(
            "| {what} | {name} | {:.4} | {} |",
            (after.cpu_ms - before.cpu_ms) / units,
            after.resident_kib
        );
    }
}

async fn fleet(timing: EngineTiming) -> Fleet {
    let config = FleetConfig::default().controls(3).entries(1).engines(1);
    Fleet::start(config.bookings(0).engine_timing(timing)).await
}

/// Adds `rows` targets that take no work to the document and waits until it is in force.
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
    put(fleet, 1, &document).await;
}

/// Replaces version `base` of the document and waits until the entry and the target process report the new one.
async fn put(fleet: &Fleet, base: u64, document: &Value) {
    let text = document.to_string();
    let key = format!("version-{base}");
    let accepted = wait_for("acceptance", || async {
        let (status, answer) = fleet.put_document(0, base, &key, &text).await?;
        (status == 200).then(|| answer["version"].as_u64().unwrap())
    })
    .await;
    wait_for("version in force", || async {
        let status = fleet.ask_operators(0, "/status").await?;
        let nodes = status["nodes"].as_array()?.clone();
        let current = nodes.iter().filter(|node| node["version"] == accepted);
        (current.count() == 2).then_some(())
    })
    .await;
}

async fn watch_idle(fleet: &Fleet, what: &str) {
    let before = usages(fleet);
    let entry = bytes(fleet, "entry-1>control");
    let control = bytes(fleet, "control-");
    compio::time::sleep(WATCH).await;
    let seconds = WATCH.as_secs_f64();
    print(what, &before, &usages(fleet), seconds);
    println!(
        "| {what} | bytes a second | entry to control {:.0} | between replicas {:.0} |",
        (bytes(fleet, "entry-1>control") - entry) as f64 / seconds,
        (bytes(fleet, "control-") - control) as f64 / seconds
    );
}

/// Asks one control replica as a node does, until it is dropped.
async fn poll(addr: SocketAddr) {
    let key = MeshKey::new(MESH_KEY);
    let mut conn = Connection::connect(addr, &key, Duration::from_secs(5))
        .await
        .unwrap();
    let question = Message::Control(ControlMessage::FetchFleet { known: 1 });
    loop {
        conn.send("", &question).await.unwrap();
        conn.recv().await.unwrap();
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

fn control_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let address = |i: usize| {
        let path = fleet.folder.path().join(format!("control-{i}.ini"));
        let text = std::fs::read_to_string(path).unwrap();
        let control = text.split("[control]").nth(1).unwrap().to_string();
        let line = control
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
            let fleet = fleet(EngineTiming::instant()).await;
            add_rows(&fleet, rows).await;
            compio::time::sleep(Duration::from_secs(3)).await;
            watch_idle(&fleet, &format!("{rows} more targets")).await;
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_changes() {
    block_on(async {
        for rows in [0, 800] {
            let fleet = fleet(EngineTiming::instant()).await;
            add_rows(&fleet, rows).await;
            let (_, answer) = crate::client::get_document(fleet.operators[0])
                .await
                .unwrap();
            let before = usages(&fleet);
            let entry = bytes(&fleet, "entry-1>control");
            let control = bytes(&fleet, "control-");
            for i in 0..20 {
                let mut document = answer.clone();
                document["name"] = json!(format!("change-{i}"));
                put(&fleet, 2 + i, &document).await;
            }
            print(
                &format!("a change, {rows} more targets"),
                &before,
                &usages(&fleet),
                20.0,
            );
            println!(
                "| a change, {rows} more targets | bytes | entry {} | replicas {} |",
                (bytes(&fleet, "entry-1>control") - entry) / 20,
                (bytes(&fleet, "control-") - control) / 20
            );
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_nodes() {
    block_on(async {
        let fleet = fleet(EngineTiming::instant()).await;
        let controls = control_addresses(&fleet);
        let mut pollers = Vec::new();
        for nodes in [0, 100, 200, 400] {
            while pollers.len() < nodes * controls.len() {
                let addr = controls[pollers.len() % controls.len()];
                pollers.push(compio::runtime::spawn(poll(addr)));
            }
            compio::time::sleep(Duration::from_secs(2)).await;
            watch_idle(&fleet, &format!("{nodes} more nodes")).await;
        }
    });
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_requests() {
    block_on(async {
        let fleet = fleet(EngineTiming::instant()).await;
        for (requests, tokens) in [(1000, 1), (200, 400)] {
            let before = usages(&fleet);
            let mesh = bytes(&fleet, ">skriver-1");
            let lanes = (0..8).map(|lane| ask(&fleet, lane, requests / 8, tokens));
            join_all(lanes).await;
            let what = format!("a request of {tokens} tokens");
            print(&what, &before, &usages(&fleet), f64::from(requests));
            let mesh = (bytes(&fleet, ">skriver-1") - mesh) / u64::from(requests);
            println!("| {what} | bytes | entry to target process {mesh} | |");
        }
    });
}

async fn ask(fleet: &Fleet, lane: u32, requests: u32, tokens: u64) {
    for i in 0..requests {
        let prompt = format!("question {lane} {i}");
        let body = json!({
            "model": "digest", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let answer = fleet
            .post(fleet.callers[0], "/v1/completions", &[], &body)
            .await;
        assert!(answer.unwrap().streamed_text().1);
    }
}

#[test]
#[ignore = "a measurement that takes minutes and asserts nothing of speed"]
fn capacity_streams() {
    block_on(async {
        // A token a second keeps all answers open while memory is read.
        let fleet = fleet(EngineTiming::instant().token_time(Duration::from_secs(1))).await;
        let mut calls = Vec::new();
        for streams in [0, 100, 200] {
            while calls.len() < streams {
                calls.push(compio::runtime::spawn(hold_stream(
                    fleet.callers[0],
                    calls.len(),
                )));
            }
            wait_for("open answers", || async {
                (fleet.engines[0].running_completions() == streams as u64).then_some(())
            })
            .await;
            compio::time::sleep(Duration::from_secs(2)).await;
            watch_idle(&fleet, &format!("{streams} open answers")).await;
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
    if let Either::Left((answer, _)) = select(call, end).await {
        println!("an answer ended early: {answer:?}");
    }
}
