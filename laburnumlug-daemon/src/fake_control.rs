//! Control processes of tests, whose answers a closure decides.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use laburnumlug_mesh::{
    CompressedText, Connection, ControlMessage, MeshKey, Message, ReplicaId, VotingStatus,
    accept_connections,
};

use crate::settings::MeshSettings;

const DOCUMENT: &str = r#"{"name":"g","models":[],"services":[],"targets":[]}"#;

/// Returns settings that name these control processes.
pub(crate) fn mesh_settings(control: &[SocketAddr]) -> MeshSettings {
    MeshSettings {
        key: MeshKey::new("key"),
        control: control.to_vec(),
    }
}

/// Binds a listener of a control process that is served later.
pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Answers requests on `listener`; a connection is closed where `answer` returns `None`.
pub(crate) fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(ControlMessage) -> Option<ControlMessage> + 'static,
{
    let answer = Rc::new(answer);
    let accepting = accept_connections(listener, move |stream| {
        serve_connection(stream, answer.clone())
    });
    compio::runtime::spawn(accepting).detach();
}

async fn serve_connection<F>(stream: TcpStream, answer: Rc<F>)
where
    F: Fn(ControlMessage) -> Option<ControlMessage>,
{
    let Ok(mut conn) = Connection::accept(stream, &mesh_settings(&[]).key).await else {
        return;
    };
    while let Ok((_, Message::Control(request))) = conn.recv().await {
        let Some(answer) = answer(request) else {
            return;
        };
        if conn.send("", &Message::Control(answer)).await.is_err() {
            return;
        }
    }
}

/// Returns the voting status of the replica at `own`, which is one of `voters`.
pub(crate) fn voting_status(own: SocketAddr, voters: &[SocketAddr]) -> VotingStatus {
    let id = |addr: &SocketAddr| ReplicaId {
        name: addr.to_string(),
        incarnation: 1,
    };
    VotingStatus {
        replica: id(&own),
        verified: true,
        membership: 1,
        voters: voters.iter().map(id).collect(),
    }
}

/// Returns the answer of the replica at `own` to a request for the fleet document.
pub(crate) fn fleet(own: SocketAddr, voters: &[SocketAddr]) -> ControlMessage {
    ControlMessage::Fleet {
        voting_status: voting_status(own, voters),
        logged_change: 1,
        applied_change: 1,
        version: 1,
        document: Some(CompressedText::compress(DOCUMENT)),
        time_ms: None,
    }
}
