//! Mesh server of a control replica, for entry and target processes, gateways and other replicas.

use std::borrow::Cow;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use compio::net::{TcpListener, TcpStream};
use laburnumlug::{FencingToken, FleetVersion, ListedGateway, Verdict};
use laburnumlug_mesh::{
    CompressedText, Connection, ControlContact, ControlMessage, MeshKey, Message, NodeCommand,
    accept_connections,
};
use serde_json::Value;

use crate::command::{Command, Outcome};
use crate::replica::{Replica, unix_millis};

/// Timeout for a node's command; shorter than the time after which the node tries another replica.
const NODE_SUBMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Member of a fleet document that lists the customers.
const CUSTOMERS: &str = "customers";

/// Member of a fleet document with the text that it was translated from.
const ORIGIN: &str = "origin";

/// Version and compressed form of the newest document that was sent, so that each version is compressed only once.
type DocumentCache = Rc<RefCell<Option<(FleetVersion, CompressedText)>>>;

/// Serves mesh connections of the system's other processes until its task is cancelled.
pub async fn serve_mesh(listener: TcpListener, key: MeshKey, replica: Rc<Replica>) {
    let document_cache = DocumentCache::default();
    let serve =
        |stream| serve_connection(stream, key.clone(), replica.clone(), document_cache.clone());
    accept_connections(listener, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    key: MeshKey,
    replica: Rc<Replica>,
    document_cache: DocumentCache,
) {
    let peer = stream
        .peer_addr()
        .map_or(String::new(), |addr| addr.to_string());
    let accepted_at = Instant::now();
    let mut conn = match Connection::accept(stream, &key).await {
        Ok(conn) => conn,
        Err(err) => {
            return log::warn!(
                peer = peer.as_str(), taken_ms = accepted_at.elapsed().as_millis() as u64;
                "refused a mesh connection: {err}"
            );
        }
    };
    while let Ok((request_id, message)) = conn.recv().await {
        let answer = match message {
            Message::Control(ControlMessage::FetchFleet { known, usage }) => {
                if let Some(report) = &usage {
                    replica.record_usage(Instant::now(), report);
                }
                let time = usage.map(|_| SystemTime::now());
                Some(fleet_message(&replica, &document_cache, known, time))
            }
            Message::Control(ControlMessage::Submit { command }) => {
                Some(submit_command(&replica, command).await)
            }
            Message::Control(ControlMessage::FetchTargets {
                known,
                gateway_addr,
                gateway_zone: zone,
                demand,
            }) => {
                let gateway = gateway_addr.map(|addr| (ListedGateway { addr, zone }, demand));
                let (now, unix_now) = (Instant::now(), SystemTime::now());
                let report = replica.targets_report(now, unix_now, known, gateway);
                Some(Message::Control(ControlMessage::Targets(report)))
            }
            Message::Control(ControlMessage::FetchDirectory { sender }) => {
                directory_message(&replica, sender)
            }
            Message::Control(ControlMessage::RequestBootstrap { .. }) => {
                Some(Message::Control(ControlMessage::BootstrapGrant {
                    granted: false,
                }))
            }
            Message::Replica { body } => replica.answer_peer(&body).await,
            Message::Control(ControlMessage::FetchIntent { target, known }) => {
                Some(intent_message(&replica, &target, known))
            }
            other => return log::warn!("closing a mesh connection, unexpected message: {other:?}"),
        };
        let Some(answer) = answer else {
            return;
        };
        if let Err(err) = conn.send(&request_id, &answer).await {
            return log::debug!("closing a mesh connection, the answer could not be sent: {err}");
        }
    }
}

fn fleet_message(
    replica: &Replica,
    document_cache: &DocumentCache,
    known: FleetVersion,
    time: Option<SystemTime>,
) -> Message {
    let fleet = replica.fleet();
    let document = (fleet.version > known).then(|| {
        let mut cached = document_cache.borrow_mut();
        match &*cached {
            Some((version, document)) if *version == fleet.version => document.clone(),
            _ => {
                let document = CompressedText::compress(&sent_document(&fleet.document));
                *cached = Some((fleet.version, document.clone()));
                document
            }
        }
    });
    let applied_change = replica.with_state(|state| state.fleet_index());
    Message::Control(ControlMessage::Fleet {
        voting_status: replica.voting_status(),
        logged_change: replica.logged_change(applied_change, Command::may_change_fleet),
        applied_change,
        version: fleet.version,
        document,
        time_ms: time.map(unix_millis),
    })
}

/// Returns a document as other processes receive it.
///
/// Where it lists customers, it is sent without the text that it was translated from, which has their API keys in clear.
/// All other documents are sent as they are.
fn sent_document(text: &str) -> Cow<'_, str> {
    match serde_json::from_str::<Value>(text) {
        Ok(Value::Object(mut members)) if members.get(CUSTOMERS).is_some_and(|c| !c.is_null()) => {
            members.remove(ORIGIN);
            Cow::Owned(Value::Object(members).to_string())
        }
        _ => Cow::Borrowed(text),
    }
}

async fn submit_command(replica: &Replica, command: NodeCommand) -> Message {
    let command = Command::Node(command);
    let now = SystemTime::now();
    let result = replica
        .submit_within(now, command, NODE_SUBMIT_TIMEOUT)
        .await;
    Message::Control(match result {
        Ok(Outcome::Node(outcome)) => ControlMessage::Outcome(outcome),
        Ok(other) => ControlMessage::NotLogged {
            verdict: Verdict::MayHaveRun,
            reason: format!("crossed outcome {other:?}"),
        },
        Err(err) => ControlMessage::NotLogged {
            verdict: err.verdict(),
            reason: err.to_string(),
        },
    })
}

/// Returns the directory of this replica; `None` if it has none. A sender that holds a replica becomes known to the leader.
fn directory_message(replica: &Rc<Replica>, sender: Option<ControlContact>) -> Option<Message> {
    let directory = replica.directory()?;
    if let Some(sender) = sender.filter(|sender| sender.holds_replica) {
        replica.add_peer(&sender.mesh.to_string());
    }
    let now = Instant::now();
    let report = directory.answer(now, sender, Some(replica.replica_state(now)));
    Some(Message::Control(ControlMessage::Directory(report)))
}

fn intent_message(replica: &Replica, target: &str, known: FencingToken) -> Message {
    let (applied_change, intent) =
        replica.with_state(|state| (state.intents_index(), state.intent(target).cloned()));
    Message::Control(ControlMessage::Intent {
        voting_status: replica.voting_status(),
        logged_change: replica.logged_change(applied_change, Command::may_change_intents),
        applied_change,
        intent: intent.filter(|intent| intent.generation > known),
    })
}

#[cfg(test)]
#[path = "mesh_tests.rs"]
mod tests;
