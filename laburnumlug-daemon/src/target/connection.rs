//! Mesh connections from entries.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use laburnumlug::RequestId;
use laburnumlug_mesh::{Connection, Message, WorkMessage, WorkRequest, accept_connections};

use super::TargetProcess;
use super::admission::RequestRefusal;
use super::at_most_once::{self, Session};
use super::output::{Output, OutputReceiver, output_channel};
use super::work;

/// Timeout for sending one message to an entry; after it, the request is abandoned.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts and serves connections from entries for as long as its task runs.
pub(super) async fn serve(listener: TcpListener, process: Rc<TargetProcess>) {
    accept_connections(listener, |stream| serve_connection(stream, process.clone())).await;
}

async fn serve_connection(stream: TcpStream, process: Rc<TargetProcess>) {
    let incarnation = Some(process.at_most_once.incarnation());
    let key = &process.settings.mesh.key;
    let mut conn = match Connection::accept_with_incarnation(stream, key, incarnation).await {
        Ok(conn) => conn,
        Err(err) => return log::warn!("the target process refused a mesh connection: {err}"),
    };
    let session = process.at_most_once.sessions().open(conn.session_id());
    serve_requests(&mut conn, &process, &session).await;
    process.at_most_once.sessions().close(conn.session_id());
}

/// Serves the requests of one connection until it ends.
async fn serve_requests(conn: &mut Connection, process: &Rc<TargetProcess>, session: &Session) {
    loop {
        let (request_id, req) = match conn.recv().await {
            Ok((request_id, Message::Work(WorkMessage::Submit(req)))) => (request_id, req),
            Ok((
                request_id,
                Message::Work(WorkMessage::Reattach {
                    session,
                    incarnation,
                }),
            )) => {
                match at_most_once::reattach(conn, process, &request_id, session, incarnation).await
                {
                    true => continue,
                    false => return,
                }
            }
            Ok((_, other)) => {
                return log::warn!(
                    "closed a connection from an entry: unexpected message {other:?}"
                );
            }
            Err(err) if err.is_closed() => return,
            Err(err) => return log::debug!("connection from an entry failed: {err}"),
        };
        let is_reusable = match at_most_once::applies_to(&req) {
            true => at_most_once::serve_call(conn, process, session, &request_id, req).await,
            false => serve_repeatable_request(conn, process, request_id, req).await,
        };
        if !is_reusable {
            return;
        }
    }
}

/// Serves one request that may be repeated; returns whether the connection can carry another.
///
/// Other requests go to [`at_most_once::serve_call`].
async fn serve_repeatable_request(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    request_id: RequestId,
    req: WorkRequest,
) -> bool {
    let now = Instant::now();
    let pieces = work::required_pieces(&req);
    let ticket = match process.admit_and_enqueue(now, &request_id, &req, pieces) {
        Ok(ticket) => ticket,
        Err(refusal) => {
            process
                .metrics
                .count_attempt(&process.settings.name, "refused");
            return refuse(conn, process, now, &request_id, refusal).await;
        }
    };
    let in_flight = process.track_in_flight(pieces);
    process
        .metrics
        .count_attempt(&process.settings.name, "accepted");
    let accepted = WorkMessage::Accepted {
        load: process.load(now),
    };
    if conn
        .send(&request_id, &Message::Work(accepted))
        .await
        .is_err()
    {
        return false;
    }
    let (tx, mut rx) = output_channel();
    // The request runs in its own task, so that a plain call continues if this connection ends.
    let task = work::run(process.clone(), request_id.clone(), req, ticket, tx);
    compio::runtime::spawn(async move {
        task.await;
        drop(in_flight);
    })
    .detach();
    relay_output(conn, &request_id, &mut rx).await
}

/// Sends a refusal; returns whether the connection can carry another request.
async fn refuse(
    conn: &mut Connection,
    process: &TargetProcess,
    now: Instant,
    request_id: &str,
    refusal: RequestRefusal,
) -> bool {
    let refused = WorkMessage::Refused {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms(),
        load: process.load(now),
    };
    conn.send(request_id, &Message::Work(refused)).await.is_ok()
}

/// Relays a request's output to the entry; returns whether the connection can carry another request.
///
/// Dropping `rx` signals to the request's task that the entry has disconnected.
async fn relay_output(conn: &mut Connection, request_id: &str, rx: &mut OutputReceiver) -> bool {
    loop {
        let output = {
            let next = pin!(rx.next());
            let incoming = pin!(conn.recv());
            match select(next, incoming).await {
                Either::Left((output, _)) => output,
                // An entry sends nothing before the end, so a message or an error ends the connection.
                Either::Right(_) => return false,
            }
        };
        let Some(Output { message, is_last }) = output else {
            return false;
        };
        let message = Message::Work(message);
        let sending = conn.send(request_id, &message);
        match compio::time::timeout(SEND_TIMEOUT, sending).await {
            Ok(Ok(())) if is_last => return true,
            Ok(Ok(())) => {}
            Ok(Err(_)) => return false,
            Err(_) => {
                log::warn!(request_id = request_id; "the target process abandoned the request: the entry did not read the answer in time");
                return false;
            }
        }
    }
}
