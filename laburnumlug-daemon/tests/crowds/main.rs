//! Crowds of clients that do not finish their requests, at each listener of a process.
//!
//! A process must live, stay within the memory and the descriptors of its machine, and answer ordinary callers afterwards.
//! Bytes that have arrived and were not read count towards the memory of the machine.
//!
//! These tests are a target of their own and run one at a time, as each loads the machine.

#[path = "../it/client.rs"]
mod client;
mod crowd;
#[path = "../it/harness.rs"]
mod harness;
mod machine;
#[path = "../it/platform_fleet.rs"]
mod platform_fleet;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use laburnumlug_http::{Limits, Request, Response, Server, full_body};
use serde_json::json;

use crate::crowd::{Crowd, Script, head, send, send_part};
use crate::harness::{
    Fleet, FleetConfig, Folder, MESH_KEY, Process, block_on, free_addr, wait_for,
};
use crate::machine::{MB, Peak, Sampler};
use crate::platform_fleet::config;

/// Setting `memory_budget_mb`, which is by default a quarter of a machine's memory.
const BUDGET_MB: usize = 24;

/// Memory of the machine that the settings describe.
const MACHINE_BYTES: usize = 4 * BUDGET_MB * MB;

/// Limit on the descriptors of each process.
const MAX_DESCRIPTORS: usize = 700;

/// Descriptors that the platform keeps for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// Longest body that callers may send.
const MAX_BODY: usize = MB;

/// Clients of a crowd, more than there are descriptors.
const CLIENTS: usize = 900;

/// Time that a crowd has for sending.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Path of the route of all requests.
const PATH: &str = "/p/x";

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a test while no other one runs.
fn run_alone<F>(test: F)
where
    F: Future<Output = ()>,
{
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(test);
}

/// Control replica and gateway, and the server of the only route.
struct System {
    _folder: Folder,
    control: Process,
    control_mesh_addr: SocketAddr,
    operator_addr: SocketAddr,
    control_metrics_addr: SocketAddr,
    gateway: Process,
    caller_addr: SocketAddr,
    ready_addr: SocketAddr,
    gateway_mesh_addr: SocketAddr,
}

impl System {
    async fn start() -> System {
        let list_addr = start_server().await;
        let folder = Folder::new();
        let [control_mesh_addr, operator_addr, control_metrics_addr] =
            std::array::from_fn(|_| free_addr());
        let [caller_addr, ready_addr, gateway_mesh_addr] = std::array::from_fn(|_| free_addr());
        let common = format!(
            "zone = z\nmemory_budget_mb = {BUDGET_MB}\n[log]\nlevel = error\n[mesh]\nkey = {MESH_KEY}\ncontrol = {control_mesh_addr}\n"
        );
        let control = format!(
            "[process]\nvm = c\n{common}[metrics]\nlisten = {control_metrics_addr}\n[control]\nname = {control_mesh_addr}\n\
             listen = {control_mesh_addr}\noperators = {operator_addr}\ndata = {}\npeers = mesh\nlosses = 0\n\
             platform_operator = yes\n",
            folder.path().join("data").display(),
        );
        let gateway = format!(
            "[process]\nvm = g\n{common}[gateway]\nlisten = {caller_addr}\nready = {ready_addr}\n\
             mesh_listen = {gateway_mesh_addr}\ntarget_list = {list_addr}\n"
        );
        let start = |role: &str, settings: &str| {
            let path = folder.write(&format!("{role}.ini"), settings);
            Process::start_with_descriptors(role, &path, MAX_DESCRIPTORS)
        };
        let system = System {
            control: start("control", &control),
            gateway: start("gateway", &gateway),
            _folder: folder,
            control_mesh_addr,
            operator_addr,
            control_metrics_addr,
            caller_addr,
            ready_addr,
            gateway_mesh_addr,
        };
        let mut config = config(7, 20_000);
        config["limits"] = json!({
            "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        });
        wait_for("an accepted configuration", || async {
            let response =
                client::post(operator_addr, "/config/replace", &[], &config.to_string()).await?;
            (response.status == 200).then_some(())
        })
        .await;
        system.wait_for_answer().await;
        system
    }

    /// Waits until the gateway answers an ordinary request.
    async fn wait_for_answer(&self) {
        wait_for_status(self.caller_addr, "POST", PATH, 200).await;
    }

    /// Waits until the control replica answers an ordinary request of an operator.
    async fn wait_for_config(&self) {
        wait_for_status(self.operator_addr, "GET", "/config/get", 200).await;
    }

    /// Plays a crowd at the gateway's listener for callers, and checks the gateway.
    async fn play_at_gateway(&mut self, script: Script) {
        let crowd = play(&mut self.gateway, self.caller_addr, script).await;
        drop(crowd);
        self.wait_for_answer().await;
    }
}

/// Starts a server that lists itself as the only target, and answers all other requests.
async fn start_server() -> SocketAddr {
    let addr = free_addr();
    let listener = compio::net::TcpListener::bind(addr).await.unwrap();
    let handler = Rc::new(move |req: Request| async move { answer(addr, req).await });
    compio::runtime::spawn(Server::new(listener, Limits::default()).run(handler)).detach();
    addr
}

async fn answer(addr: SocketAddr, req: Request) -> Response {
    if req.uri().path() == "/instances" {
        let row = json!({ "id": "i-1", "service": "plain", "address": addr, "zone": "z", "slots": 64, "state": "ready" });
        let list = json!({ "instances": [row], "next": null });
        return hyper::Response::new(full_body(list.to_string()));
    }
    let (parts, body) = req.into_parts();
    let body = laburnumlug_http::read_body(body, MAX_BODY).await;
    let mut resp = hyper::Response::new(full_body("done"));
    if body.is_err() {
        *resp.status_mut() = hyper::StatusCode::BAD_REQUEST;
    }
    if let Some(id) = parts.headers.get("x-request-id") {
        resp.headers_mut().insert("x-request-id", id.clone());
    }
    resp
}

/// Waits until a small request is answered with `status`.
async fn wait_for_status(addr: SocketAddr, method: &str, path: &str, status: u16) {
    wait_for(&format!("status {status} of {method} {path}"), || async {
        (send(addr, method, path, 2).await == Some(status)).then_some(())
    })
    .await;
}

/// Plays a crowd at the listener at `addr` of a process, checks the process, and returns the crowd, which is still connected.
async fn play(process: &mut Process, addr: SocketAddr, script: Script) -> Crowd {
    let sampler = Sampler::start(process.pid(), addr);
    let crowd = Crowd::start(addr, CLIENTS, script);
    compio::time::sleep(CROWD_TIME).await;
    check(process, sampler.stop());
    crowd
}

fn check(process: &mut Process, peak: Peak) {
    assert!(process.exit_status().is_none(), "the process ended");
    let Peak {
        memory,
        unread,
        descriptors,
    } = peak;
    assert!(
        memory <= MACHINE_BYTES,
        "{} MB with {} MB unread, of {} MB",
        memory / MB,
        unread / MB,
        MACHINE_BYTES / MB,
    );
    let max_descriptors = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS;
    assert!(
        descriptors <= max_descriptors,
        "{descriptors} descriptors of {max_descriptors}"
    );
}

/// Plays a crowd at the gateway's listener for callers.
fn play_at_gateway(script: Script) {
    run_alone(async {
        let mut system = System::start().await;
        system.play_at_gateway(script).await;
    });
}

fn whole_body(path: &str) -> Script {
    Script::announced(path, MAX_BODY, MAX_BODY - 1, 64 * 1024)
}

fn small_body(path: &str) -> Script {
    Script::announced(path, 2048, 2047, 2047)
}

fn endless_head(path: &str) -> Script {
    let mut bytes = head(path, "X-Filler: ");
    bytes.truncate(bytes.len() - 4);
    bytes.resize(12 * 1024, b'x');
    Script::bytes(bytes)
}

fn pipelined_requests() -> Script {
    let mut request = head(PATH, "Content-Length: 2");
    request.extend_from_slice(b"hi");
    Script::repeated(PATH, "Content-Length: 0", request.repeat(100), 1000)
}

#[test]
fn gateway_whole_bodies() {
    play_at_gateway(whole_body(PATH));
}

#[test]
fn gateway_bodies_in_pieces() {
    play_at_gateway(Script::announced(PATH, MAX_BODY, MAX_BODY - 1, 4096));
}

#[test]
fn gateway_bodies_of_middle_size() {
    play_at_gateway(Script::announced(PATH, 100_000, 99_999, 99_999));
}

#[test]
fn gateway_large_chunks() {
    play_at_gateway(Script::chunked(PATH, MAX_BODY / 4, 4));
}

#[test]
fn gateway_chunks_of_one_byte() {
    play_at_gateway(Script::chunked(PATH, 1, MAX_BODY));
}

#[test]
fn gateway_announced_beyond_limit() {
    play_at_gateway(Script::announced(
        PATH,
        16 * MAX_BODY,
        16 * MAX_BODY,
        64 * 1024,
    ));
}

#[test]
fn gateway_chunks_beyond_limit() {
    play_at_gateway(Script::chunked(PATH, MAX_BODY / 4, 64));
}

#[test]
fn gateway_heads_without_end() {
    play_at_gateway(endless_head(PATH));
}

/// Guards against trailers that are kept while they arrive.
#[test]
fn gateway_trailers_without_end() {
    let mut bytes = head(PATH, "Transfer-Encoding: chunked");
    bytes.extend_from_slice(b"1\r\nx\r\n0\r\n");
    for i in 0..1000 {
        bytes.extend_from_slice(format!("X-{i}: {}\r\n", "x".repeat(1000)).as_bytes());
    }
    play_at_gateway(Script::bytes(bytes));
}

/// Guards against bytes behind a whole request that are no further one.
#[test]
fn gateway_garbage_behind_requests() {
    let garbage = format!("X-T: {}", "x".repeat(1000)).into_bytes();
    play_at_gateway(Script::repeated(
        PATH,
        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0",
        garbage,
        1000,
    ));
}

#[test]
fn gateway_chunk_extensions_without_end() {
    let mut bytes = head(PATH, "Transfer-Encoding: chunked");
    bytes.extend_from_slice(b"1;a=");
    bytes.resize(bytes.len() + MAX_BODY, b'x');
    play_at_gateway(Script::bytes(bytes));
}

/// Guards against requests behind a first one, whose bytes nobody reads, and against answers that nobody reads.
#[test]
fn gateway_pipelined_requests() {
    play_at_gateway(pipelined_requests());
}

#[test]
fn gateway_silent_connections() {
    play_at_gateway(Script::bytes(Vec::new()));
}

/// Guards against ordinary callers that get no connection for as long as a crowd stays.
#[test]
fn gateway_small_bodies_beside_ordinary_request() {
    run_alone(async {
        let mut system = System::start().await;
        let _crowd = play(&mut system.gateway, system.caller_addr, small_body(PATH)).await;
        system.wait_for_answer().await;
    });
}

/// Guards against clients that read no answer and keep ordinary callers out.
#[test]
fn gateway_unread_answers_beside_ordinary_request() {
    run_alone(async {
        let mut system = System::start().await;
        let _crowd = play(
            &mut system.gateway,
            system.caller_addr,
            pipelined_requests(),
        )
        .await;
        system.wait_for_answer().await;
    });
}

/// Guards against a body that is waited for after the deadline of its request.
#[test]
fn gateway_body_beyond_deadline() {
    run_alone(async {
        let system = System::start().await;
        let status = send_part(system.caller_addr, PATH, 500).await;
        assert_eq!(status, Some(408));
    });
}

/// Guards against memory that is free, but not for bodies of another size.
#[test]
fn gateway_second_crowd_of_other_size() {
    run_alone(async {
        let mut system = System::start().await;
        let small = Script::announced(PATH, 20_000, 19_999, 19_999);
        for script in [small, whole_body(PATH), Script::chunked(PATH, 1, MAX_BODY)] {
            system.play_at_gateway(script).await;
        }
    });
}

/// A single body of the limit is served in calm, and beside stalled ones that fill the budget.
#[test]
fn gateway_lone_body_of_limit() {
    run_alone(async {
        let system = System::start().await;
        assert_eq!(
            send(system.caller_addr, "POST", PATH, MAX_BODY).await,
            Some(200)
        );
        let _crowd = Crowd::start(system.caller_addr, 2 * BUDGET_MB, whole_body(PATH));
        compio::time::sleep(CROWD_TIME).await;
        assert_eq!(
            send(system.caller_addr, "POST", PATH, MAX_BODY).await,
            Some(200)
        );
    });
}

#[test]
fn gateway_readiness_port() {
    run_alone(async {
        let mut system = System::start().await;
        let addr = system.ready_addr;
        drop(play(&mut system.gateway, addr, endless_head("/ready")).await);
        wait_for_status(addr, "GET", "/ready", 200).await;
        system.wait_for_answer().await;
    });
}

#[test]
fn gateway_mesh_port() {
    run_alone(async {
        let mut system = System::start().await;
        let addr = system.gateway_mesh_addr;
        drop(play(&mut system.gateway, addr, endless_head("/mesh")).await);
        system.wait_for_answer().await;
    });
}

/// Plays a crowd at one listener of the control replica.
fn play_at_control<F>(addr: F, script: Script)
where
    F: FnOnce(&System) -> SocketAddr,
{
    run_alone(async {
        let mut system = System::start().await;
        let addr = addr(&system);
        drop(play(&mut system.control, addr, script).await);
        system.wait_for_config().await;
        system.wait_for_answer().await;
    });
}

#[test]
fn operators_whole_bodies() {
    let body = Script::announced("/config/replace", 4 * MB, 4 * MB - 1, 64 * 1024);
    play_at_control(|system| system.operator_addr, body);
}

#[test]
fn operators_chunks_of_one_byte() {
    let body = Script::chunked("/config/replace", 1, 4 * MB);
    play_at_control(|system| system.operator_addr, body);
}

/// Guards against operators who get no connection for as long as a crowd stays.
#[test]
fn operators_small_bodies_beside_ordinary_request() {
    run_alone(async {
        let mut system = System::start().await;
        let addr = system.operator_addr;
        let _crowd = play(&mut system.control, addr, small_body("/config/replace")).await;
        system.wait_for_config().await;
    });
}

#[test]
fn control_metrics_port() {
    play_at_control(
        |system| system.control_metrics_addr,
        endless_head("/metrics"),
    );
}

#[test]
fn control_mesh_port() {
    play_at_control(|system| system.control_mesh_addr, endless_head("/mesh"));
}

/// Plays a crowd at an entry's listener for callers.
fn play_at_entry(script: Script) {
    run_alone(async {
        let config = FleetConfig::default()
            .entries(0)
            .engines(1)
            .booking_servers(0);
        let mut fleet = Fleet::start(config).await;
        let control_addrs = fleet.control_addrs.clone();
        let settings = fleet
            .common_settings("entry-1", "vest-a", &control_addrs)
            .await;
        let process = format!("[process]\nmemory_budget_mb = {BUDGET_MB}\n");
        let addr = free_addr();
        let settings = format!(
            "{}[entry]\nlisten = {addr}\nmax_body_bytes = {MAX_BODY}\n",
            settings.replace("[process]\n", &process)
        );
        let path = fleet.folder.write("entry-1.ini", &settings);
        let mut entry = Process::start_with_descriptors("entry", &path, MAX_DESCRIPTORS);
        wait_for_completion(addr).await;
        drop(play(&mut entry, addr, script).await);
        wait_for_completion(addr).await;
    });
}

async fn wait_for_completion(addr: SocketAddr) {
    wait_for("a completion", || async {
        let body = json!({ "model": "digest", "prompt": "hi", "max_tokens": 1 });
        let response = client::post(addr, "/v1/completions", &[], &body.to_string()).await?;
        (response.status == 200).then_some(())
    })
    .await;
}

#[test]
fn entry_whole_bodies() {
    play_at_entry(whole_body("/v1/completions"));
}

#[test]
fn entry_large_chunks() {
    play_at_entry(Script::chunked("/v1/completions", MAX_BODY / 4, 4));
}
