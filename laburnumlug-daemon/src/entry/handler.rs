//! HTTP handler for callers' requests: admission, body reading and dispatch by operation.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Body;
use laburnumlug_caller::{ApiError, CallHeaders, Operation, REQUEST_ID_HEADER, VERDICT_HEADER};
use laburnumlug_http::{
    Handler, HeldBytes, Request, RequestBody, Response, discard_body, hold_until_sent,
    memory_budget, read_held_body, text_response,
};
use laburnumlug_mesh::PlainRequest;

use super::in_flight::InFlightPermit;
use super::{Entry, call, generate};

/// Retry delay suggested to callers while this process is starting or stopping.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Hop-by-hop headers and headers that this system sets itself, which are not forwarded to targets.
const NON_FORWARDED_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Handles callers' HTTP requests at an entry.
pub(super) struct EntryHandler {
    entry: Rc<Entry>,
}

impl EntryHandler {
    pub(super) fn new(entry: Rc<Entry>) -> EntryHandler {
        EntryHandler { entry }
    }
}

impl Handler for EntryHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        let entry = self.entry.clone();
        Box::pin(async move { handle_request(entry, req).await })
    }
}

/// Handles one request and records it in the log and the metrics.
async fn handle_request(entry: Rc<Entry>, req: Request) -> Response {
    let arrived_at = Instant::now();
    let request_id = format!("{:032x}", rand::random::<u128>());
    let operation = operation_label(req.uri().path());
    let result = dispatch_operation(entry.clone(), arrived_at, &request_id, req).await;
    let mut resp = match result {
        Ok(resp) => resp,
        Err(err) => {
            log::info!(
                request_id = request_id.as_str(), verdict = err.verdict().as_str();
                "request refused with status {}: {err}", err.status()
            );
            entry.metrics.count_refusal(err.code());
            err.to_response()
        }
    };
    if let Ok(value) = request_id.parse() {
        resp.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    let verdict = resp
        .headers()
        .get(VERDICT_HEADER)
        .and_then(|value| value.to_str().ok());
    let status = resp.status().as_u16();
    entry.metrics.count_request(
        operation,
        status,
        verdict.unwrap_or(""),
        arrived_at.elapsed(),
    );
    resp
}

/// Admits a request and passes it to the handler of its operation.
async fn dispatch_operation(
    entry: Rc<Entry>,
    arrived_at: Instant,
    request_id: &str,
    req: Request,
) -> Result<Response, ApiError> {
    let (parts, body) = req.into_parts();
    let operation = Operation::parse(parts.method.as_str(), parts.uri.path(), parts.uri.query())?;
    if operation == Operation::Health {
        return Ok(entry.health(Instant::now()));
    }
    let headers = CallHeaders::parse(&parts.headers)?;
    let is_keyed_call =
        headers.idempotency_key.is_some() && matches!(operation, Operation::Call { .. });
    let expects_continue = parts.headers.contains_key(hyper::header::EXPECT);
    let (body, guards) = match entry
        .admit_and_read_body(&headers, body, expects_continue)
        .await
    {
        Ok(received) => received,
        Err(err) if is_keyed_call => return Err(err.with_unknown_outcome()),
        Err(err) => return Err(err),
    };
    let result = match operation {
        Operation::Generate(format) => {
            generate::handle_generation(entry, arrived_at, request_id, headers, format, &body).await
        }
        Operation::Call { service, path } => {
            let req = PlainRequest {
                method: parts.method.as_str().to_string(),
                path,
                headers: forwarded_headers(&parts.headers),
                body: body.to_vec(),
            };
            call::handle_call(entry, arrived_at, request_id, headers, &service, req).await
        }
        Operation::Health => Ok(entry.health(Instant::now())),
    };
    result.map(|resp| hold_until_sent(resp, guards))
}

impl Entry {
    /// Returns the error for requests that arrive while no majority of the control replicas confirms that the fleet
    /// document of this entry is the newest.
    pub(super) fn unconfirmed_configuration_error(&self) -> ApiError {
        ApiError::unavailable("the configuration is not confirmed", RETRY_AFTER)
    }

    /// Admits a request before its body is read, unless the declared body size exceeds the limit.
    fn admit(
        &self,
        now: Instant,
        headers: &CallHeaders,
        declared_bytes: Option<u64>,
    ) -> Result<InFlightPermit, ApiError> {
        if self.stopping.get() {
            return Err(ApiError::unavailable("this entry is stopping", RETRY_AFTER));
        }
        if self.fleet.current(now).is_none() {
            return Err(self.unconfirmed_configuration_error());
        }
        let limit = self.settings.max_body_bytes;
        let declared_bytes = declared_bytes.unwrap_or(0);
        match usize::try_from(declared_bytes).unwrap_or(usize::MAX) > limit {
            true => Err(ApiError::too_large(limit)),
            false => self.in_flight_limiter.admit(&headers.caller),
        }
    }

    /// Admits a request and reads its body; the rest of the body of a refused request is discarded in the background.
    async fn admit_and_read_body(
        &self,
        headers: &CallHeaders,
        mut body: RequestBody,
        expects_continue: bool,
    ) -> Result<(Bytes, (InFlightPermit, HeldBytes)), ApiError> {
        let declared_bytes = body.size_hint().exact();
        let err = match self.admit(Instant::now(), headers, declared_bytes) {
            Ok(permit) => match self.read_body(&mut body).await {
                Ok((bytes, held)) => return Ok((bytes, (permit, held))),
                Err(err) => err,
            },
            // A caller that expects `100 Continue` sends no body without it, so there is nothing to discard.
            Err(err) if expects_continue => return Err(err),
            Err(err) => err,
        };
        discard_body(body);
        Err(err)
    }

    /// Reads the body of a request, and returns it with its share of the memory budget.
    async fn read_body(&self, body: &mut RequestBody) -> Result<(Bytes, HeldBytes), ApiError> {
        let limit = self.settings.max_body_bytes;
        let held = HeldBytes::default();
        let reading = read_held_body(body, limit.min(memory_budget()), &held);
        match laburnumlug_http::timeout(BODY_TIMEOUT, reading).await {
            // Nothing has run yet, so the caller may come back.
            Ok(Ok(_)) if !held.mark_whole() => Err(no_memory()),
            Ok(Ok(body)) => Ok((body, held)),
            Ok(Err(err)) if err.is_body_too_large() => Err(ApiError::too_large(limit)),
            Ok(Err(err)) if err.as_over_budget().is_some() => Err(no_memory()),
            Ok(Err(err)) => Err(ApiError::bad_body(&err.to_string())),
            Err(_) => Err(ApiError::body_timed_out(BODY_TIMEOUT)),
        }
    }

    fn health(&self, now: Instant) -> Response {
        match self.fleet.current(now) {
            Some(_) if !self.stopping.get() => text_response(200, "ok"),
            Some(_) => text_response(503, "stopping"),
            None => text_response(503, "the configuration is not confirmed"),
        }
    }
}

/// Returns the error for a request whose body exceeds the memory that is left.
fn no_memory() -> ApiError {
    ApiError::overloaded("too many bytes of requests are in flight", RETRY_AFTER)
}

fn operation_label(path: &str) -> &'static str {
    match path {
        "/v1/completions" | "/v1/chat/completions" => "generate",
        path if path.starts_with("/services/") => "call",
        _ => "other",
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !NON_FORWARDED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            Some((name.as_str().to_string(), value.to_str().ok()?.to_string()))
        })
        .collect()
}
