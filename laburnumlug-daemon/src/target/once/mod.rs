//! Calls that may run at most once.
//!
//! Each such call runs in a task of its own that goes on when the entry hangs up, so what became of it
//! stays known for as long as this process lives. A call with a key is claimed in the control log before
//! it runs; a call without one is remembered under the connection that brought it.

mod claims;
mod run;
mod sessions;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use laburnumlug::{Incarnation, Verdict};
use laburnumlug_mesh::{
    ClaimId, ClaimSequence, Connection, Fingerprint, Message, PlainRequest, RefusalReason,
    SessionId, WorkMessage, WorkPayload, WorkRequest,
};
use laburnumlug_service::Call;

use self::run::Run;
pub(super) use self::sessions::{Session, Sessions};
use super::{InFlight, Peer, TargetProcess};
use crate::control_client::ControlClient;

/// Shortest time for which a call's answer is awaited.
///
/// It may exceed the caller's deadline: a late answer is of no use to that caller, but it settles the
/// claim, so that a resend learns the truth.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which a call's answer is awaited; it ends well before the claim's retention.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(60 * 60);

/// When an entry may try again after a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Most claimed calls whose result is not in the control log yet.
const MAX_UNSETTLED: usize = 1024;

/// Calls that may run at most once, as one life of a target process knows them.
pub(super) struct Once {
    /// This life of the process.
    incarnation: Incarnation,
    control: Rc<ControlClient>,
    sessions: Sessions,
    /// Calls whose claim this process has, or is asking for, by what identifies them.
    ///
    /// A call stays here until the control log holds its result, so it never runs again in between.
    claimed: RefCell<HashMap<ClaimId, Claimed>>,
    /// Number of the next try at any claim.
    next_turn: Cell<ClaimSequence>,
}

/// A call that this process has claimed or is claiming.
#[derive(Clone)]
struct Claimed {
    fingerprint: Fingerprint,
    run: Rc<Run>,
}

impl Once {
    pub(super) fn new(control: Rc<ControlClient>) -> Once {
        Once {
            incarnation: rand::random(),
            control,
            sessions: Sessions::default(),
            claimed: RefCell::default(),
            next_turn: Cell::new(1),
        }
    }

    /// Returns which life of the process this is.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the connections that brought calls.
    pub(super) fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    fn next_turn(&self) -> ClaimSequence {
        let turn = self.next_turn.get();
        self.next_turn.set(turn + 1);
        turn
    }
}

/// Why a call was not started.
enum Denial {
    /// This process does not take the call.
    Refused(RefusalReason),
    /// The key was used for another call.
    KeyReused,
}

/// Returns whether a request may run at most once.
pub(super) fn is_once(req: &WorkRequest) -> bool {
    matches!(&req.payload, WorkPayload::Plain(plain) if !plain.is_repeatable())
}

/// Serves one call; returns whether the connection can carry another.
pub(super) async fn serve(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    session: &Session,
    request_id: &str,
    req: WorkRequest,
) -> bool {
    let started = match (&req.key, req.incarnation) {
        (_, Some(meant)) if meant != process.once.incarnation => {
            Err(Denial::Refused(RefusalReason::OtherIncarnation))
        }
        (Some(_), _) => start_claimed(process, request_id, req),
        (None, _) => start_unclaimed(process, session, request_id, req),
    };
    match started {
        Ok(run) => follow(conn, process, request_id, &run).await,
        Err(Denial::KeyReused) => send(conn, request_id, WorkMessage::KeyReused).await,
        Err(Denial::Refused(reason)) => send(conn, request_id, refused(process, reason)).await,
    }
}

/// Answers what became of a call that came over a connection which has broken.
pub(super) async fn recall(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    request_id: &str,
    session: SessionId,
    incarnation: Incarnation,
) -> bool {
    let unknown = "the target process does not know the connection that brought the call";
    let known = match process.once.sessions.find(&session) {
        Some(known) if incarnation == process.once.incarnation => known,
        _ => return send(conn, request_id, failed(Verdict::MayHaveRun, unknown)).await,
    };
    known.revoke();
    match known.taken(request_id) {
        Some(run) => follow(conn, process, request_id, &run).await,
        None => {
            let answer = refused(process, RefusalReason::NotReceived);
            send(conn, request_id, answer).await
        }
    }
}

/// Starts a call without a key; the check of its connection and the start have no await in between.
fn start_unclaimed(
    process: &Rc<TargetProcess>,
    session: &Session,
    request_id: &str,
    req: WorkRequest,
) -> Result<Rc<Run>, Denial> {
    if session.is_revoked() {
        return Err(Denial::Refused(RefusalReason::NotReceived));
    }
    let held = admit(process, &req)?;
    let run = Rc::new(Run::default());
    session.take(request_id, run.clone());
    run.accept();
    let task = run_unclaimed(process.clone(), req, run.clone(), held);
    compio::runtime::spawn(task).detach();
    Ok(run)
}

async fn run_unclaimed(process: Rc<TargetProcess>, req: WorkRequest, run: Rc<Run>, held: InFlight) {
    let message = call(&process, &req).await;
    run.finish(message);
    drop(held);
}

/// Starts a call with a key, or finds it running.
fn start_claimed(
    process: &Rc<TargetProcess>,
    request_id: &str,
    req: WorkRequest,
) -> Result<Rc<Run>, Denial> {
    let (Some(key), WorkPayload::Plain(plain)) = (&req.key, &req.payload) else {
        return Err(Denial::Refused(RefusalReason::WrongTarget));
    };
    let fingerprint = Fingerprint::of(plain);
    let id = ClaimId {
        service: req.service.clone(),
        caller: req.caller.clone(),
        key: key.clone(),
    };
    let known = process.once.claimed.borrow().get(&id).cloned();
    match known {
        Some(known) if known.fingerprint != fingerprint => return Err(Denial::KeyReused),
        Some(known) => {
            log::info!(request_id; "joins the call {id}, which runs or has run here");
            process.metrics.count_claim("joined");
            return Ok(known.run);
        }
        None => {}
    }
    let held = admit(process, &req)?;
    if process.once.claimed.borrow().len() >= MAX_UNSETTLED {
        return Err(Denial::Refused(RefusalReason::Full));
    }
    let run = Rc::new(Run::default());
    let claimed = Claimed {
        fingerprint,
        run: run.clone(),
    };
    process
        .once
        .claimed
        .borrow_mut()
        .insert(id.clone(), claimed);
    let task = claims::ClaimedCall {
        process: process.clone(),
        request_id: request_id.to_string(),
        id,
        fingerprint,
        turn: process.once.next_turn(),
        run: run.clone(),
    };
    compio::runtime::spawn(async move {
        task.run(&req).await;
        drop(held);
    })
    .detach();
    Ok(run)
}

/// Takes the call into the load.
fn admit(process: &Rc<TargetProcess>, req: &WorkRequest) -> Result<InFlight, Denial> {
    match process.admit(Instant::now(), req, 1) {
        Ok(()) => Ok(process.hold(1)),
        Err(reason) => Err(Denial::Refused(reason)),
    }
}

/// Makes the call at the service, once.
async fn call(process: &TargetProcess, req: &WorkRequest) -> WorkMessage {
    let (Peer::Service(service), WorkPayload::Plain(plain)) = (&process.peer, &req.payload) else {
        return failed(Verdict::NotRun, "this target serves other work");
    };
    let PlainRequest {
        method,
        path,
        headers,
        body,
    } = plain.clone();
    let call = Call::new(&method, &path).headers(headers).body(body);
    let left = Duration::from_millis(req.deadline_ms);
    let timeout = left.clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
    match service.call(call, timeout).await {
        Ok(answer) => WorkMessage::PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err(err) => failed(err.verdict(), &err.to_string()),
    }
}

/// Tells the entry what becomes of a call; returns whether the connection can carry another.
async fn follow(
    conn: &mut Connection,
    process: &TargetProcess,
    request_id: &str,
    run: &Run,
) -> bool {
    if !still_there_at(conn, run.accepted()).await {
        return false;
    }
    if run.is_accepted() {
        let accepted = WorkMessage::Accepted {
            load: process.load(Instant::now()),
        };
        if !send(conn, request_id, accepted).await || !still_there_at(conn, run.finished()).await {
            return false;
        }
    }
    match run.outcome() {
        Some(message) => send(conn, request_id, message).await,
        None => false,
    }
}

/// Waits for `state`; returns `false` if the entry hung up before.
async fn still_there_at<F>(conn: &mut Connection, state: F) -> bool
where
    F: Future<Output = ()>,
{
    let state = pin!(state);
    let incoming = pin!(conn.recv());
    // An entry that says anything in between has hung up or lost its way.
    matches!(select(state, incoming).await, Either::Left(_))
}

async fn send(conn: &mut Connection, request_id: &str, message: WorkMessage) -> bool {
    conn.send(request_id, &Message::Work(message)).await.is_ok()
}

fn refused(process: &TargetProcess, reason: RefusalReason) -> WorkMessage {
    WorkMessage::Refused {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
        load: process.load(Instant::now()),
    }
}

fn failed(verdict: Verdict, reason: &str) -> WorkMessage {
    WorkMessage::Failed {
        verdict,
        reason: reason.to_string(),
    }
}
