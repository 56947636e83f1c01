//! Embeds the coordination parts in a program of one's own, without the daemons.
//!
//! Three replicas of the control log run in this process. A document is accepted, a node proves against a
//! majority that it holds the newest one, and loses that proof once a newer change is logged. Of two orders that
//! rest on the same picture of a target one is accepted. Last, a verdict decides about a retry.
//!
//! Run it with `cargo run --example embed`.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use compio::net::TcpListener;
use laburnumlug::{FencingToken, FleetVersion, QuorumConfirmation, Role, Verdict};
use laburnumlug_control::{
    Command, FleetChange, Outcome, PeerReplica, Replica, ReplicaConfig, serve_mesh,
};
use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message, RoleAssignment};

type Error = Box<dyn std::error::Error>;

/// Answer to the second of two orders that rest on the same picture.
const REFUSED: &str = "refused, the target is at generation 2 by now";

/// Number of replicas.
const REPLICAS: usize = 3;

/// How long a connection to a replica may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an election at the start may take.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a change is tried before there is a leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> Result<(), Error> {
    let folder = std::env::temp_dir().join(format!("laburnumlug-embed-{}", std::process::id()));
    let runtime = compio::runtime::Runtime::new()?;
    let result = runtime.block_on(run(&folder));
    std::fs::remove_dir_all(&folder)?;
    result
}

async fn run(folder: &Path) -> Result<(), Error> {
    let key = MeshKey::new("a key that all processes share");
    let (replicas, addrs) = start_replicas(folder, &key).await?;
    let mut node = Node::new(addrs, key);

    let version = accept_document(&replicas[0], 0, "first").await?;
    println!("version {version} is accepted");

    node.ask_all().await?;
    println!("a node holds version {}", node.version);
    assert!(node.is_confirmed(), "a majority has logged nothing newer");

    // The node asks again while it holds the older version: a majority now knows a newer one.
    let version = accept_document(&replicas[1], version, "second").await?;
    let held = node.applied;
    node.ask_all().await?;
    assert_eq!(node.confirmation.confirmed_at(held), None);
    println!("a view of the older version is refused, version {version} is taken over");
    assert!(node.is_confirmed());

    // Two planners have seen the first order to the target; only one of them gets the second through.
    let first = assign_role(&replicas[1], Role::Prefill, 1).await?;
    println!("an order after order 1: {first}");
    let second = assign_role(&replicas[2], Role::Decode, 1).await?;
    println!("another one after order 1: {second}");
    assert_eq!(
        (first.as_str(), second.as_str()),
        ("accepted as order 2", REFUSED)
    );

    // A booking may be sent elsewhere only if it did not run.
    let is_repeatable = false;
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let retry = verdict.permits_retry(is_repeatable);
        println!("a booking that {verdict}: retry {retry}");
    }
    Ok(())
}

/// Starts the replicas, each with a data folder and a listener of its own.
async fn start_replicas(
    folder: &Path,
    key: &MeshKey,
) -> Result<(Vec<Rc<Replica>>, Vec<SocketAddr>), Error> {
    let mut listeners = Vec::new();
    let mut all = Vec::new();
    for i in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let name = format!("control-{}", i + 1);
        let addr = listener.local_addr()?;
        listeners.push(listener);
        all.push(PeerReplica { name, addr });
    }
    let mut replicas = Vec::new();
    for (own, listener) in all.iter().zip(listeners) {
        let peers = all.iter().filter(|peer| *peer != own).cloned().collect();
        let data = folder.join(&own.name);
        let cfg = ReplicaConfig::new(&own.name, &data, key.clone()).peers(peers);
        let replica = Replica::open(cfg).await?;
        compio::runtime::spawn(serve_mesh(listener, key.clone(), replica.clone())).detach();
        replicas.push(replica);
    }
    let addrs = all.iter().map(|replica| replica.addr).collect();
    Ok((replicas, addrs))
}

/// Returns a document with one engine.
fn document(name: &str) -> String {
    format!(
        r#"{{
            "name": "{name}",
            "models": [{{ "name": "digest", "versions": ["1"] }}],
            "services": [{{ "name": "skriver", "kind": "engine", "models": ["digest"] }}],
            "targets": [{{
                "name": "skriver-1", "service": "skriver", "zone": "vest-a",
                "address": "127.0.0.1:7420", "state": "serving",
                "models": [{{ "model": "digest", "version": "1" }}]
            }}]
        }}"#
    )
}

/// Orders a role for the engine, if `expected_generation` is still its newest order.
async fn assign_role(
    replica: &Rc<Replica>,
    role: Role,
    expected_generation: FencingToken,
) -> Result<String, Error> {
    let assignment = RoleAssignment {
        service: "skriver".to_string(),
        target: "skriver-1".to_string(),
        role,
        reason: "prompts grow".to_string(),
        expected_generation,
    };
    let command = Command::AssignRole(assignment);
    match replica.submit(SystemTime::now(), command).await? {
        Outcome::AssignRole(Ok(generation)) => Ok(format!("accepted as order {generation}")),
        Outcome::AssignRole(Err(refusal)) => Ok(format!("refused, {refusal}")),
        other => Err(format!("crossed outcome {other:?}").into()),
    }
}

/// Has a document accepted at any replica, and returns its version.
async fn accept_document(
    replica: &Rc<Replica>,
    base: FleetVersion,
    name: &str,
) -> Result<FleetVersion, Error> {
    let document = document(name);
    // The key makes it safe to try again whatever became of the last try.
    let change = FleetChange::new("anna", base, &document).key(Some(name.to_string()));
    let start = Instant::now();
    loop {
        let command = Command::Fleet(change.clone());
        match replica.submit(SystemTime::now(), command).await {
            Ok(Outcome::Fleet(accepted)) => {
                return Ok(accepted.map_err(|err| err.to_string())?.version);
            }
            Ok(other) => return Err(format!("crossed outcome {other:?}").into()),
            Err(err) if start.elapsed() > START_TIMEOUT => return Err(err.into()),
            Err(_) => compio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// A process that acts on the document only while it can prove that it holds the newest.
struct Node {
    addrs: Vec<SocketAddr>,
    key: MeshKey,
    confirmation: QuorumConfirmation,
    version: FleetVersion,
    /// Index of the newest change that the held document takes into account.
    applied: u64,
}

impl Node {
    fn new(addrs: Vec<SocketAddr>, key: MeshKey) -> Node {
        Node {
            confirmation: QuorumConfirmation::new(addrs.len()),
            addrs,
            key,
            version: 0,
            applied: 0,
        }
    }

    /// Asks each replica once for the newest document.
    async fn ask_all(&mut self) -> Result<(), Error> {
        for (i, addr) in self.addrs.iter().enumerate() {
            let mut conn = Connection::connect(*addr, &self.key, CONNECT_TIMEOUT).await?;
            let asked_at = Instant::now();
            let question = ControlMessage::FetchFleet {
                known: self.version,
            };
            conn.send("", &Message::Control(question)).await?;
            let (_, answer) = conn.recv().await?;
            let Message::Control(ControlMessage::Fleet {
                standing,
                logged_change,
                applied_change,
                version,
                ..
            }) = answer
            else {
                return Err("crossed answer".into());
            };
            self.confirmation
                .record_answer(i, asked_at, logged_change, standing);
            if version > self.version {
                (self.version, self.applied) = (version, applied_change);
            }
        }
        Ok(())
    }

    fn is_confirmed(&self) -> bool {
        self.confirmation.confirmed_at(self.applied).is_some()
    }
}
