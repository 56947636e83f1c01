//! Answers to entries, target processes and other replicas.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use compio::net::{TcpListener, TcpStream};
use laburnumlug::{FencingNumber, FleetVersion, Verdict};
use laburnumlug_mesh::{
    CompressedText, Connection, ControlMessage, MeshKey, Message, NodeCommand, accept_connections,
};

use crate::command::{Command, Outcome};
use crate::replica::Replica;

/// How long a node's command may take; shorter than the time after which a node asks another replica.
const NODE_SUBMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// The newest document that was sent, so that it is compressed once for all who ask.
type LastDocument = Rc<RefCell<Option<(FleetVersion, CompressedText)>>>;

/// Serves the system's other processes for as long as its task runs.
pub async fn serve_mesh(listener: TcpListener, key: MeshKey, replica: Rc<Replica>) {
    let last = LastDocument::default();
    let serve = |stream| serve_connection(stream, key.clone(), replica.clone(), last.clone());
    accept_connections(listener, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    key: MeshKey,
    replica: Rc<Replica>,
    last: LastDocument,
) {
    let mut conn = match Connection::accept(stream, &key).await {
        Ok(conn) => conn,
        Err(err) => return log::warn!("refused a mesh connection: {err}"),
    };
    while let Ok((request_id, message)) = conn.recv().await {
        let answer = match message {
            Message::Control(ControlMessage::FetchFleet { known }) => {
                Some(fleet(&replica, &last, known))
            }
            Message::Control(ControlMessage::Submit { command }) => {
                Some(submit(&replica, command).await)
            }
            Message::Control(ControlMessage::FetchTargets {
                known,
                gateway_addr,
            }) => {
                let report = replica.targets_report(Instant::now(), known, gateway_addr);
                Some(Message::Control(ControlMessage::Targets(report)))
            }
            Message::Replica { body } => replica.answer_peer(&body).await,
            Message::Control(ControlMessage::FetchIntent { target, known }) => {
                Some(intent(&replica, &target, known))
            }
            other => return log::warn!("unexpected message on a control connection: {other:?}"),
        };
        let Some(answer) = answer else {
            return;
        };
        if let Err(err) = conn.send(&request_id, &answer).await {
            return log::debug!("mesh connection ended: {err}");
        }
    }
}

fn fleet(replica: &Replica, last: &LastDocument, known: FleetVersion) -> Message {
    let fleet = replica.fleet();
    let document = (fleet.version > known).then(|| {
        let mut last = last.borrow_mut();
        match &*last {
            Some((version, document)) if *version == fleet.version => document.clone(),
            _ => {
                let document = CompressedText::compress(&fleet.document);
                *last = Some((fleet.version, document.clone()));
                document
            }
        }
    });
    let applied_change = replica.with_state(|state| state.fleet_index());
    Message::Control(ControlMessage::Fleet {
        standing: replica.standing(),
        logged_change: replica.logged_change(applied_change, Command::concerns_fleet),
        applied_change,
        version: fleet.version,
        document,
    })
}

async fn submit(replica: &Replica, command: NodeCommand) -> Message {
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

fn intent(replica: &Replica, target: &str, known: FencingNumber) -> Message {
    let (applied_change, intent) =
        replica.with_state(|state| (state.intents_index(), state.intent(target).cloned()));
    Message::Control(ControlMessage::Intent {
        standing: replica.standing(),
        logged_change: replica.logged_change(applied_change, Command::concerns_intents),
        applied_change,
        intent: intent.filter(|intent| intent.generation > known),
    })
}
