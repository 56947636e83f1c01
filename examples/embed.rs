//! Embeds the control log and its quorum confirmation in a program, without running the daemons.
//!
//! Three replicas of the control log run in this process. After a document is accepted, a node confirms with a
//! majority that it holds the newest version; the confirmation fails once a newer change is logged. Of two role
//! assignments that expect the same generation of a target, one is accepted. Finally, the verdict on a request
//! decides whether it may be retried.
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

/// Result of the second of two role assignments that expect the same generation.
const STALE_GENERATION: &str = "refused, the target is at generation 2 by now";

/// Number of replicas of the control log.
const REPLICA_COUNT: usize = 3;

/// Timeout for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to wait for the first leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a change is submitted again until there is a leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> Result<(), Error> {
    let data_dir = std::env::temp_dir().join(format!("laburnumlug-embed-{}", std::process::id()));
    let runtime = compio::runtime::Runtime::new()?;
    let result = runtime.block_on(run(&data_dir));
    std::fs::remove_dir_all(&data_dir)?;
    result
}

async fn run(data_dir: &Path) -> Result<(), Error> {
    let key = MeshKey::new("a key that all processes share");
    let (replicas, addrs) = start_replicas(data_dir, &key).await?;
    let mut node = Node::new(addrs, key);

    let version = accept_document(&replicas[0], 0, "first").await?;
    println!("version {version} is accepted");

    node.query_replicas().await?;
    println!("the node holds version {}", node.version);
    assert!(node.is_confirmed(), "a majority has logged nothing newer");

    // The node queries again while it holds the older version: a majority has logged a newer change by now.
    let version = accept_document(&replicas[1], version, "second").await?;
    let old_applied = node.applied;
    node.query_replicas().await?;
    assert_eq!(node.confirmation.confirmed_at(old_applied), None);
    println!("the older version is not confirmed, the node now holds version {version}");
    assert!(node.is_confirmed());

    // Two planners have both seen order 1 of the target; only one of them succeeds in replacing it.
    let first = assign_role(&replicas[1], Role::Prefill, 1).await?;
    println!("first role assignment that expects order 1: {first}");
    let second = assign_role(&replicas[2], Role::Decode, 1).await?;
    println!("second role assignment that expects order 1: {second}");
    assert_eq!(
        (first.as_str(), second.as_str()),
        ("accepted as order 2", STALE_GENERATION)
    );

    // A booking must not run twice, so it may be sent to another target only if it did not run.
    let is_repeatable = false;
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let retry = verdict.permits_retry(is_repeatable);
        println!("a booking that {verdict}: retry {retry}");
    }
    Ok(())
}

/// Starts the replicas, each with its own data directory and listener.
async fn start_replicas(
    data_dir: &Path,
    key: &MeshKey,
) -> Result<(Vec<Rc<Replica>>, Vec<SocketAddr>), Error> {
    let mut listeners = Vec::new();
    let mut members = Vec::new();
    for i in 0..REPLICA_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let name = format!("control-{}", i + 1);
        let addr = listener.local_addr()?;
        listeners.push(listener);
        members.push(PeerReplica { name, addr });
    }
    let mut replicas = Vec::new();
    for (own, listener) in members.iter().zip(listeners) {
        let peers = members
            .iter()
            .filter(|peer| *peer != own)
            .cloned()
            .collect();
        let replica_dir = data_dir.join(&own.name);
        let cfg = ReplicaConfig::new(&own.name, &replica_dir, key.clone()).peers(peers);
        let replica = Replica::open(cfg).await?;
        compio::runtime::spawn(serve_mesh(listener, key.clone(), replica.clone())).detach();
        replicas.push(replica);
    }
    let addrs = members.iter().map(|replica| replica.addr).collect();
    Ok((replicas, addrs))
}

/// Returns a fleet document with one engine.
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

/// Assigns a role to the engine if `expected_generation` is still that of its newest order.
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
        other => Err(format!("expected the outcome of a role assignment, found {other:?}").into()),
    }
}

/// Submits a document to a replica until it is accepted, and returns its version.
async fn accept_document(
    replica: &Rc<Replica>,
    base: FleetVersion,
    name: &str,
) -> Result<FleetVersion, Error> {
    let document = document(name);
    // With an idempotency key the change can be submitted again although the last attempt may have succeeded.
    let change = FleetChange::new("anna", base, &document).key(Some(name.to_string()));
    let start = Instant::now();
    loop {
        let command = Command::Fleet(change.clone());
        match replica.submit(SystemTime::now(), command).await {
            Ok(Outcome::Fleet(accepted)) => {
                return Ok(accepted.map_err(|err| err.to_string())?.version);
            }
            Ok(other) => {
                return Err(
                    format!("expected the outcome of a fleet change, found {other:?}").into(),
                );
            }
            Err(err) if start.elapsed() > START_TIMEOUT => return Err(err.into()),
            Err(_) => compio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// A process that acts on its document only while a majority confirms that there is no newer one.
struct Node {
    addrs: Vec<SocketAddr>,
    key: MeshKey,
    confirmation: QuorumConfirmation,
    version: FleetVersion,
    /// Log index of the newest change that the document includes.
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

    /// Queries each replica once for a document newer than the node's, and records the replies.
    async fn query_replicas(&mut self) -> Result<(), Error> {
        for (i, addr) in self.addrs.iter().enumerate() {
            let mut conn = Connection::connect(*addr, &self.key, CONNECT_TIMEOUT).await?;
            let asked_at = Instant::now();
            let request = ControlMessage::FetchFleet {
                known: self.version,
                usage: None,
            };
            conn.send("", &Message::Control(request)).await?;
            let (_, reply) = conn.recv().await?;
            let Message::Control(ControlMessage::Fleet {
                voting_status,
                logged_change,
                applied_change,
                version,
                ..
            }) = reply
            else {
                return Err(format!("expected a fleet message, found {reply:?}").into());
            };
            self.confirmation
                .record_answer(i, asked_at, logged_change, voting_status);
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
