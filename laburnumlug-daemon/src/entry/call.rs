//! Calls of plain services, with retries of those that may be repeated.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::{HeaderName, HeaderValue};
use laburnumlug::{ServiceKind, Verdict};
use laburnumlug_caller::{ApiError, CallHeaders, VERDICT_HEADER};
use laburnumlug_http::{Response, full_body};
use laburnumlug_mesh::{Message, PlainRequest, WorkMessage, WorkPayload};

use super::Entry;
use super::at_most_once;
use super::dispatch::{AcceptedRequest, RequestContext};
use super::retry::Backoff;

/// Maximum number of attempts at a call that may be repeated.
const MAX_ATTEMPTS: u32 = 3;

/// Runs one call of a plain service: with retries if it may be repeated, otherwise at most once.
pub(super) async fn handle_call(
    entry: Rc<Entry>,
    arrived_at: Instant,
    request_id: &str,
    headers: CallHeaders,
    service: &str,
    req: PlainRequest,
) -> Result<Response, ApiError> {
    let Some(fleet) = entry.fleet.current(Instant::now()) else {
        let err = entry.unconfirmed_configuration_error();
        return Err(
            match headers.idempotency_key.is_some() && !req.is_repeatable() {
                true => err.with_unknown_outcome(),
                false => err,
            },
        );
    };
    let service = match fleet.service(service) {
        Some(found) if found.kind == ServiceKind::Plain => found,
        _ => return Err(ApiError::unknown_service(service)),
    };
    let policy = service.policy.clone().unwrap_or_default();
    let default_deadline = Duration::from_millis(policy.default_deadline_ms.get());
    let context = RequestContext {
        request_id: request_id.to_string(),
        caller: headers.caller,
        key: headers.idempotency_key,
        service: service.name.clone(),
        deadline: arrived_at + headers.deadline.unwrap_or(default_deadline),
        pieces: 1,
        shape: None,
    };
    match req.is_repeatable() {
        true => call_with_retries(&entry, &context, &req).await,
        false => at_most_once::handle_call(entry, context, req).await,
    }
}

/// Makes a call that may be repeated, again after a lost attempt if the deadline and the retry budget permit.
async fn call_with_retries(
    entry: &Entry,
    context: &RequestContext,
    req: &PlainRequest,
) -> Result<Response, ApiError> {
    let mut verdict = Verdict::NotRun;
    let mut avoided_targets = Vec::new();
    let mut backoff = Backoff::default();
    for attempt in 1..=MAX_ATTEMPTS {
        let payload = WorkPayload::Plain(req.clone());
        let (attempt_verdict, reason) = match entry
            .submit(context, attempt, payload, &avoided_targets)
            .await
        {
            Ok(accepted) => {
                let target = accepted.target.clone();
                match receive_answer(entry, context, accepted).await {
                    Ok(resp) => {
                        entry.retry_budget.record_success();
                        return Ok(resp);
                    }
                    Err(CallError::Final(err)) => return Err(err),
                    Err(CallError::Lost(attempt_verdict, reason)) => {
                        avoided_targets.push(target);
                        (attempt_verdict, reason)
                    }
                }
            }
            Err(err) if err.verdict == Verdict::MayHaveRun => (err.verdict, err.to_string()),
            Err(err) => return Err(err.to_api_error(verdict)),
        };
        verdict = verdict.combine(attempt_verdict);
        let wait = backoff.next_delay(&mut rand::rng());
        let time_left = context.deadline.saturating_duration_since(Instant::now());
        if attempt == MAX_ATTEMPTS || wait >= time_left || !entry.try_acquire_retry() {
            return Err(attempts_lost_error(verdict, &reason));
        }
        compio::time::sleep(wait).await;
    }
    Err(attempts_lost_error(verdict, "every attempt was lost"))
}

/// Failure of one attempt at a call.
enum CallError {
    /// The error is returned to the caller without another attempt.
    Final(ApiError),
    /// The attempt was lost, with the verdict on whether it ran; another attempt may follow.
    Lost(Verdict, String),
}

/// Receives the answer to an accepted call.
async fn receive_answer(
    entry: &Entry,
    context: &RequestContext,
    mut accepted: AcceptedRequest,
) -> Result<Response, CallError> {
    let time_left = context.deadline.saturating_duration_since(Instant::now());
    let received = match laburnumlug_http::timeout(time_left, accepted.conn.recv()).await {
        Ok(received) => received,
        Err(_) => {
            let err = ApiError::timed_out("the service did not answer in time");
            return Err(CallError::Final(err));
        }
    };
    match received {
        Ok((
            id,
            Message::Work(WorkMessage::PlainAnswer {
                status,
                headers,
                body,
            }),
        )) if id == context.request_id => {
            entry.pool.put(accepted.addr, accepted.conn);
            plain_response(status, headers, body).map_err(CallError::Final)
        }
        Ok((id, Message::Work(WorkMessage::Failed { verdict, reason })))
            if id == context.request_id =>
        {
            entry.pool.put(accepted.addr, accepted.conn);
            Err(CallError::Lost(verdict, reason))
        }
        Ok(_) => Err(CallError::Lost(
            Verdict::MayHaveRun,
            "the target answered out of turn".into(),
        )),
        Err(err) => Err(CallError::Lost(Verdict::MayHaveRun, err.to_string())),
    }
}

fn attempts_lost_error(verdict: Verdict, reason: &str) -> ApiError {
    match verdict {
        Verdict::NotRun => ApiError::unavailable(reason, Duration::from_secs(1)),
        _ => ApiError::broken_off(reason),
    }
}

/// Returns a plain service's answer as a response with the verdict `ran`, omitting headers that HTTP does not allow.
pub(super) fn plain_response(
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
) -> Result<Response, ApiError> {
    let mut resp = hyper::Response::new(full_body(body));
    *resp.status_mut() = hyper::StatusCode::from_u16(status)
        .map_err(|_| ApiError::broken_off("the service answered with an impossible status"))?;
    for (name, value) in headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            resp.headers_mut().append(name, value);
        }
    }
    let ran = HeaderValue::from_static(Verdict::Ran.as_str());
    resp.headers_mut().insert(VERDICT_HEADER, ran);
    Ok(resp)
}
