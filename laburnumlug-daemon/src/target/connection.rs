//! Connections from entries.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use laburnumlug::RequestId;
use laburnumlug_mesh::{Connection, Message, WorkMessage, WorkRequest, accept_connections};

use super::TargetProcess;
use super::admission::Declined;
use super::once::{self, Session};
use super::output::{Output, OutputReceiver, output_channel};
use super::work;

/// How long an entry may leave a message unread before its request is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves entries for as long as its task runs.
pub(super) async fn serve(listener: TcpListener, process: Rc<TargetProcess>) {
    accept_connections(listener, |stream| serve_connection(stream, process.clone())).await;
}

async fn serve_connection(stream: TcpStream, process: Rc<TargetProcess>) {
    let incarnation = Some(process.once.incarnation());
    let key = &process.settings.mesh.key;
    let mut conn = match Connection::accept_with_incarnation(stream, key, incarnation).await {
        Ok(conn) => conn,
        Err(err) => return log::warn!("refused a mesh connection: {err}"),
    };
    let session = process.once.sessions().open(conn.session_id());
    serve_requests(&mut conn, &process, &session).await;
    process.once.sessions().close(conn.session_id());
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
            )) => match once::recall(conn, process, &request_id, session, incarnation).await {
                true => continue,
                false => return,
            },
            Ok((_, other)) => return log::warn!("unexpected message from an entry: {other:?}"),
            Err(err) if err.is_closed() => return,
            Err(err) => return log::debug!("connection from an entry ended: {err}"),
        };
        let goes_on = match once::is_once(&req) {
            true => once::serve(conn, process, session, &request_id, req).await,
            false => serve_request(conn, process, request_id, req).await,
        };
        if !goes_on {
            return;
        }
    }
}

/// Serves one request; returns whether the connection can carry another.
async fn serve_request(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    request_id: RequestId,
    req: WorkRequest,
) -> bool {
    let now = Instant::now();
    let pieces = work::pieces(&req);
    let ticket = match process.take(now, &request_id, &req, pieces) {
        Ok(ticket) => ticket,
        Err(declined) => {
            process
                .metrics
                .count_attempt(&process.settings.name, "refused");
            return refuse(conn, process, now, &request_id, declined).await;
        }
    };
    let held = process.hold(pieces);
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
    // The work runs in a task of its own: what must not be cut goes on without this connection.
    let task = work::run(process.clone(), request_id.clone(), req, ticket, tx);
    compio::runtime::spawn(async move {
        task.await;
        drop(held);
    })
    .detach();
    relay(conn, &request_id, &mut rx).await
}

async fn refuse(
    conn: &mut Connection,
    process: &TargetProcess,
    now: Instant,
    request_id: &str,
    declined: Declined,
) -> bool {
    let refused = WorkMessage::Refused {
        reason: declined.reason,
        retry_after_ms: declined.retry_after_ms(),
        load: process.load(now),
    };
    conn.send(request_id, &Message::Work(refused)).await.is_ok()
}

/// Relays output until its end; dropping `rx` tells the work that the entry has hung up.
async fn relay(conn: &mut Connection, request_id: &str, rx: &mut OutputReceiver) -> bool {
    loop {
        let output = {
            let next = pin!(rx.next());
            let incoming = pin!(conn.recv());
            match select(next, incoming).await {
                Either::Left((output, _)) => output,
                // An entry that says anything before the end has hung up or lost its way.
                Either::Right(_) => return false,
            }
        };
        let Some(Output { message, last }) = output else {
            return false;
        };
        let message = Message::Work(message);
        let sending = conn.send(request_id, &message);
        match compio::time::timeout(SEND_TIMEOUT, sending).await {
            Ok(Ok(())) if last => return true,
            Ok(Ok(())) => {}
            Ok(Err(_)) => return false,
            Err(_) => {
                log::warn!(request_id = request_id; "the entry does not read its answer");
                return false;
            }
        }
    }
}
