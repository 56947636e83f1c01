//! Mesh server of a control process without a replica.

use std::rc::Rc;
use std::time::Instant;

use compio::net::{TcpListener, TcpStream};
use laburnumlug_mesh::{Connection, ControlMessage, MeshKey, Message, accept_connections};

use super::service::DirectoryService;

/// Serves mesh connections of other processes until its task is cancelled: tells them which control processes are known, and
/// refers everything that only a replica can answer to the replicas.
pub async fn serve_directory(listener: TcpListener, key: MeshKey, directory: Rc<DirectoryService>) {
    let serve = |stream| serve_connection(stream, key.clone(), directory.clone());
    accept_connections(listener, serve).await;
}

async fn serve_connection(stream: TcpStream, key: MeshKey, directory: Rc<DirectoryService>) {
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
        let Message::Control(request) = message else {
            return;
        };
        let answer = match request {
            ControlMessage::FetchDirectory { sender } => {
                ControlMessage::Directory(directory.answer(Instant::now(), sender, None))
            }
            ControlMessage::RequestBootstrap { candidate } => {
                let granted = directory.grant_bootstrap(candidate);
                if granted {
                    log::info!(candidate = candidate.to_string().as_str(); "agreed to the bootstrap of a cluster");
                }
                ControlMessage::BootstrapGrant { granted }
            }
            ControlMessage::FetchFleet { .. }
            | ControlMessage::FetchTargets { .. }
            | ControlMessage::FetchIntent { .. }
            | ControlMessage::Submit { .. } => {
                let replicas = directory.referral();
                ControlMessage::Referral { replicas }
            }
            other => return log::warn!("closing a mesh connection, unexpected message: {other:?}"),
        };
        let answer = Message::Control(answer);
        if let Err(err) = conn.send(&request_id, &answer).await {
            return log::debug!("closing a mesh connection, the answer could not be sent: {err}");
        }
    }
}
