//! At-most-once execution of calls.
//!
//! Each such call runs in its own task, which continues when the entry disconnects, so that this process
//! knows its outcome for as long as it lives. A call with an idempotency key is claimed in the control log
//! before it runs. A call without one is recorded in the session of the connection that it came on.

mod call_state;
mod claims;
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

use self::call_state::CallState;
pub(super) use self::sessions::{Session, Sessions};
use super::{Backend, InFlightGuard, TargetProcess};
use crate::control_client::ControlClient;

/// Minimum timeout for the answer to a call.
///
/// It may exceed the caller's deadline: a late answer is of no use to that caller, but it completes the
/// claim, so that a resend gets the outcome.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum timeout for the answer to a call, well below the retention time of claims.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(60 * 60);

/// Time after which an entry may retry a refused call, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Maximum number of claimed calls whose result is not in the control log yet; further calls are refused.
const MAX_UNRECORDED_CLAIMS: usize = 1024;

/// At-most-once calls known to one incarnation of a target process.
pub(super) struct AtMostOnce {
    incarnation: Incarnation,
    control: Rc<ControlClient>,
    sessions: Sessions,
    /// Calls whose claim this process holds or has requested.
    ///
    /// A call stays here until the control log has its result, so that it does not run again in the meantime.
    active_claims: RefCell<HashMap<ClaimId, ActiveClaim>>,
    /// Number of the next claim attempt for any call.
    next_sequence: Cell<ClaimSequence>,
}

/// A call whose claim this process holds or has requested.
#[derive(Clone)]
struct ActiveClaim {
    fingerprint: Fingerprint,
    call_state: Rc<CallState>,
}

impl AtMostOnce {
    pub(super) fn new(control: Rc<ControlClient>) -> AtMostOnce {
        AtMostOnce {
            incarnation: rand::random(),
            control,
            sessions: Sessions::default(),
            active_claims: RefCell::default(),
            next_sequence: Cell::new(1),
        }
    }

    /// Returns the random number that distinguishes this process from earlier ones of the same target.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the sessions of the connections from entries.
    pub(super) fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    fn next_sequence(&self) -> ClaimSequence {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        sequence
    }
}

/// Why a call was not started.
enum StartError {
    /// The call was not admitted.
    Refused(RefusalReason),
    /// The key was used for another call.
    KeyReused,
}

/// Returns whether a request must run at most once.
pub(super) fn applies_to(req: &WorkRequest) -> bool {
    matches!(&req.payload, WorkPayload::Plain(plain) if !plain.is_repeatable())
}

/// Serves one call; returns whether the connection can carry another.
pub(super) async fn serve_call(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    session: &Session,
    request_id: &str,
    req: WorkRequest,
) -> bool {
    let started = match (&req.key, req.incarnation) {
        (_, Some(expected)) if expected != process.at_most_once.incarnation => {
            Err(StartError::Refused(RefusalReason::OtherIncarnation))
        }
        (Some(_), _) => start_claimed(process, request_id, req),
        (None, _) => start_unclaimed(process, session, request_id, req),
    };
    match started {
        Ok(call_state) => relay_outcome(conn, process, request_id, &call_state).await,
        Err(StartError::KeyReused) => send_message(conn, request_id, WorkMessage::KeyReused).await,
        Err(StartError::Refused(reason)) => {
            send_message(conn, request_id, refusal_message(process, reason)).await
        }
    }
}

/// Reports the outcome of a call that came on a broken connection; returns whether the connection can carry another.
///
/// The broken connection's session is revoked, so that a call still on its way there is not started later.
pub(super) async fn reattach(
    conn: &mut Connection,
    process: &Rc<TargetProcess>,
    request_id: &str,
    session: SessionId,
    incarnation: Incarnation,
) -> bool {
    let unknown = "the target process does not know the connection that brought the call";
    let old_session = match process.at_most_once.sessions.find(&session) {
        Some(old_session) if incarnation == process.at_most_once.incarnation => old_session,
        _ => {
            return send_message(
                conn,
                request_id,
                failure_message(Verdict::MayHaveRun, unknown),
            )
            .await;
        }
    };
    old_session.revoke();
    match old_session.find_call(request_id) {
        Some(call_state) => relay_outcome(conn, process, request_id, &call_state).await,
        None => {
            let answer = refusal_message(process, RefusalReason::NotReceived);
            send_message(conn, request_id, answer).await
        }
    }
}

/// Starts a call without an idempotency key.
///
/// There is no await between the check that its session is not revoked and the start, so no reattachment can come in
/// between.
fn start_unclaimed(
    process: &Rc<TargetProcess>,
    session: &Session,
    request_id: &str,
    req: WorkRequest,
) -> Result<Rc<CallState>, StartError> {
    if session.is_revoked() {
        return Err(StartError::Refused(RefusalReason::NotReceived));
    }
    let in_flight = admit(process, &req)?;
    let call_state = Rc::new(CallState::default());
    session.record_call(request_id, call_state.clone());
    call_state.accept();
    let task = run_unclaimed(process.clone(), req, call_state.clone(), in_flight);
    compio::runtime::spawn(task).detach();
    Ok(call_state)
}

async fn run_unclaimed(
    process: Rc<TargetProcess>,
    req: WorkRequest,
    call_state: Rc<CallState>,
    in_flight: InFlightGuard,
) {
    let message = call_service(&process, &req).await;
    call_state.finish(message);
    drop(in_flight);
}

/// Starts a call with an idempotency key, or joins it if this process has already started it.
fn start_claimed(
    process: &Rc<TargetProcess>,
    request_id: &str,
    req: WorkRequest,
) -> Result<Rc<CallState>, StartError> {
    let (Some(key), WorkPayload::Plain(plain)) = (&req.key, &req.payload) else {
        return Err(StartError::Refused(RefusalReason::WrongTarget));
    };
    let fingerprint = Fingerprint::of(plain);
    let id = ClaimId {
        service: req.service.clone(),
        caller: req.caller.clone(),
        key: key.clone(),
    };
    let active = process
        .at_most_once
        .active_claims
        .borrow()
        .get(&id)
        .cloned();
    match active {
        Some(active) if active.fingerprint != fingerprint => return Err(StartError::KeyReused),
        Some(active) => {
            log::info!(request_id; "the request joins the call {id}, which this process has already started");
            process.metrics.count_claim("joined");
            return Ok(active.call_state);
        }
        None => {}
    }
    let in_flight = admit(process, &req)?;
    if process.at_most_once.active_claims.borrow().len() >= MAX_UNRECORDED_CLAIMS {
        return Err(StartError::Refused(RefusalReason::Full));
    }
    let call_state = Rc::new(CallState::default());
    let claim = ActiveClaim {
        fingerprint,
        call_state: call_state.clone(),
    };
    process
        .at_most_once
        .active_claims
        .borrow_mut()
        .insert(id.clone(), claim);
    let task = claims::ClaimedCall {
        process: process.clone(),
        request_id: request_id.to_string(),
        id,
        fingerprint,
        sequence: process.at_most_once.next_sequence(),
        call_state: call_state.clone(),
    };
    compio::runtime::spawn(async move {
        task.run(&req).await;
        drop(in_flight);
    })
    .detach();
    Ok(call_state)
}

/// Admits a call and counts it as in flight.
fn admit(process: &Rc<TargetProcess>, req: &WorkRequest) -> Result<InFlightGuard, StartError> {
    match process.admit(Instant::now(), req, 1) {
        Ok(()) => Ok(process.track_in_flight(1)),
        Err(reason) => Err(StartError::Refused(reason)),
    }
}

/// Sends the call to the service, without retries, and returns the final message about it.
///
/// The timeout is the time to the deadline, clamped between [`MIN_ANSWER_TIMEOUT`] and [`MAX_ANSWER_TIMEOUT`].
async fn call_service(process: &TargetProcess, req: &WorkRequest) -> WorkMessage {
    let (Backend::Service(service), WorkPayload::Plain(plain)) = (&process.backend, &req.payload)
    else {
        return failure_message(Verdict::NotRun, "this target serves other work");
    };
    let PlainRequest {
        method,
        path,
        headers,
        body,
    } = plain.clone();
    let call = Call::new(&method, &path).headers(headers).body(body);
    let time_left = Duration::from_millis(req.deadline_ms);
    let timeout = time_left.clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
    match service.call(call, timeout).await {
        Ok(answer) => WorkMessage::PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err(err) => failure_message(err.verdict(), &err.to_string()),
    }
}

/// Relays the acceptance and the outcome of a call to the entry; returns whether the connection can carry another.
async fn relay_outcome(
    conn: &mut Connection,
    process: &TargetProcess,
    request_id: &str,
    call_state: &CallState,
) -> bool {
    if !wait_while_connected(conn, call_state.wait_accepted()).await {
        return false;
    }
    if call_state.is_accepted() {
        let accepted = WorkMessage::Accepted {
            load: process.load(Instant::now()),
        };
        if !send_message(conn, request_id, accepted).await
            || !wait_while_connected(conn, call_state.wait_finished()).await
        {
            return false;
        }
    }
    match call_state.outcome() {
        Some(message) => send_message(conn, request_id, message).await,
        None => false,
    }
}

/// Waits for `change`; returns `false` if the entry disconnects first.
async fn wait_while_connected<F>(conn: &mut Connection, change: F) -> bool
where
    F: Future<Output = ()>,
{
    let change = pin!(change);
    let incoming = pin!(conn.recv());
    // An entry sends nothing while it waits for a call, so a message or an error ends the connection.
    matches!(select(change, incoming).await, Either::Left(_))
}

/// Sends a message to the entry; returns whether that succeeded.
async fn send_message(conn: &mut Connection, request_id: &str, message: WorkMessage) -> bool {
    conn.send(request_id, &Message::Work(message)).await.is_ok()
}

/// Returns the refusal of a call, with the process's load.
fn refusal_message(process: &TargetProcess, reason: RefusalReason) -> WorkMessage {
    WorkMessage::Refused {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
        load: process.load(Instant::now()),
    }
}

fn failure_message(verdict: Verdict, reason: &str) -> WorkMessage {
    WorkMessage::Failed {
        verdict,
        reason: reason.to_string(),
    }
}
