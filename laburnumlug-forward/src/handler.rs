//! HTTP handler: routing of a request, and the error response if it is refused.

use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::body::Body;
use hyper::header::AUTHORIZATION;
use laburnumlug::{BootTime, Repetition};
use laburnumlug_http::{
    Handler, HeldBytes, Request, RequestBody, Response, discard_body, memory_budget, read_held_body,
};
use laburnumlug_policy::PromptParts;
use rand::Rng;

use crate::attempt::CallerRequest;
use crate::customers::UNCONFIRMED_RETRY_AFTER;
use crate::forwarder::Forwarder;
use crate::header_codec::RequestMetadata;
use crate::refusal::{FailureCause, Refusal};
use crate::request_content::content_id;
use crate::route_basis::RouteBasis;
use crate::routes::{RouteEntry, RouteTable};

/// Timeout for a caller to send the request body; its deadline may be earlier.
const REQUEST_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a request waits for the first routes and targets, and one with an API key for the first confirmation of the
/// routes; after most starts they are known within that time.
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// How long a request waits for routes to be confirmed again. A process that was busy or suspended has to read the answers of the
/// replicas first.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a waiting request checks whether that is known.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Deadline of requests that state none; the timeout of the route may be shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// HTTP server handler that forwards requests through a [`Forwarder`].
pub struct ForwardHandler {
    forwarder: Rc<Forwarder>,
}

impl ForwardHandler {
    /// Creates a handler that passes all its requests to `forwarder`.
    pub fn new(forwarder: Rc<Forwarder>) -> ForwardHandler {
        ForwardHandler { forwarder }
    }
}

/// A request whose body has not been read yet.
struct RequestHead {
    arrived_at: Instant,
    metadata: RequestMetadata,
    parts: hyper::http::request::Parts,
    /// Set once a target may have run the request.
    may_have_run: Rc<Cell<bool>>,
    /// What is held of the body.
    held: Rc<HeldBytes>,
}

impl RequestHead {
    /// Returns when the timeout of the caller or of the route expires, whichever is earlier.
    fn deadline(&self, route: &RouteEntry) -> Instant {
        let timeout = self.metadata.time_left.unwrap_or(DEFAULT_DEADLINE);
        self.arrived_at + timeout.min(route.timeout)
    }
}

impl Handler for ForwardHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        Box::pin(self.forwarder.clone().handle(req))
    }
}

impl Forwarder {
    async fn handle(self: Rc<Self>, req: Request) -> Response {
        let arrived_at = Instant::now();
        let (parts, mut body) = req.into_parts();
        let metadata = self.header_codec.parse_request(&parts.headers);
        let id = metadata
            .as_ref()
            .map_or(String::new(), |metadata| metadata.id.clone());
        let time_left = metadata
            .as_ref()
            .ok()
            .and_then(|metadata| metadata.time_left);
        let may_have_run = Rc::new(Cell::new(false));
        let result = match metadata {
            Ok(metadata) => {
                let held = Rc::new(HeldBytes::default());
                let head = RequestHead {
                    held: held.clone(),
                    arrived_at,
                    metadata,
                    parts,
                    may_have_run: may_have_run.clone(),
                };
                let forwarding = self.clone().forward(head, &mut body);
                let exiting = pin!(self.exiting(&may_have_run));
                let body_ended = pin!(self.request_body_ended(&id, &held, &may_have_run));
                match select(pin!(forwarding), select(exiting, body_ended)).await {
                    Either::Left((result, _)) => result,
                    Either::Right((Either::Left((refusal, _)), _))
                    | Either::Right((Either::Right((refusal, _)), _)) => Err(refusal),
                }
            }
            Err(reason) => Err(Refusal::new(FailureCause::BadRequest, reason)),
        };
        let mut resp = match result {
            Ok(resp) => resp,
            Err(refusal) => {
                let waited = arrived_at.elapsed();
                let retry_after_ms = refusal.retry_after.map(|time| time.as_millis() as u64);
                let basis = self.route_basis(BootTime::now());
                log::info!(
                    request_id = id.as_str(), cause = refusal.cause.as_str(),
                    waited_ms = waited.as_millis() as u64, retry_after_ms = retry_after_ms,
                    customer = refusal.customer.as_deref().unwrap_or_default(),
                    routes = basis.version, routes_age_ms = basis.confirmation_age_ms(),
                    newer_logged = basis.contact.newer_logged;
                    "request refused with status {}: {}", refusal.cause.status(), refusal.detail
                );
                self.observe(|observer| {
                    observer.refused(refusal.cause.status(), refusal.cause.as_str());
                });
                let remaining = time_left.unwrap_or(DEFAULT_DEADLINE).saturating_sub(waited);
                if !body.is_end_stream() {
                    discard_body(body);
                }
                let mut resp = refusal.response(remaining);
                self.header_codec.set_request_id(resp.headers_mut(), &id);
                resp
            }
        };
        if self.closes_connections() {
            let close = hyper::header::HeaderValue::from_static("close");
            resp.headers_mut().insert(hyper::header::CONNECTION, close);
        }
        resp
    }

    async fn forward(
        self: Rc<Self>,
        head: RequestHead,
        body: &mut RequestBody,
    ) -> Result<Response, Refusal> {
        let arrived_at = head.arrived_at;
        let (table, route) = self.route_request(arrived_at, &head.parts).await?;
        let status = self.document_status(BootTime::now(), &table);
        let basis = RouteBasis::new(&table, &status);
        basis.log_if_outdated(&head.metadata.id);
        self.observe(|o| o.routed(basis.confirmation_age, basis.contact.newer_logged));
        self.check_not_stopping(Instant::now(), head.deadline(&route))?;
        let limit = usize::try_from(table.limits.body_bytes).unwrap_or(usize::MAX);
        let reading_body = read_held_body(body, limit.min(memory_budget()), &head.held);
        let time_left = head
            .deadline(&route)
            .saturating_duration_since(Instant::now());
        let timeout = REQUEST_BODY_TIMEOUT.min(time_left);
        let body = match laburnumlug_http::timeout(timeout, reading_body).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) if err.is_body_too_large() => {
                return Err(Refusal::new(FailureCause::TooLarge, err.to_string()));
            }
            Ok(Err(err)) => {
                return Err(match err.as_over_budget() {
                    Some(over) => self.refuse_ended_body(&head.metadata.id, over, false),
                    None => Refusal::new(FailureCause::BadRequest, err.to_string()),
                });
            }
            Err(_) => {
                return Err(Refusal::new(
                    FailureCause::SlowBody,
                    "the body came too slowly",
                ));
            }
        };
        // A process that stops accepts what is complete in time, not what has begun.
        self.check_not_stopping(Instant::now(), head.deadline(&route))?;
        let request = self.caller_request(head, body, &table, (route.clone(), basis))?;
        let customer = request.customer.clone();
        let customer_name = customer.as_ref().map(|customer| customer.name.as_str());
        let sample = rand::rng().random_range(0.0..1.0);
        let Some(service) = route.pick_service(sample) else {
            let refusal = Refusal::new(FailureCause::NoTarget, "the route has no service");
            return Err(refusal.customer(customer_name));
        };
        let result = match route.repetition {
            // Boxed, as a request whose body is arriving has no use for their state yet.
            Repetition::Stream => {
                Box::pin(self.clone().forward_stream(request, service, table)).await
            }
            Repetition::Safe | Repetition::Unsafe => {
                Box::pin(self.forward_buffered(&request, service)).await
            }
        };
        let resp = result.map_err(|refusal| refusal.customer(customer_name))?;
        let time = arrived_at.elapsed();
        self.observe(|o| o.answered(route.repetition, resp.status().as_u16(), time));
        Ok(resp)
    }

    /// Authorizes a request whose body has arrived, and builds what is forwarded of it.
    fn caller_request(
        &self,
        head: RequestHead,
        body: Bytes,
        table: &Rc<RouteTable>,
        (route, basis): (Rc<RouteEntry>, RouteBasis),
    ) -> Result<CallerRequest, Refusal> {
        let deadline = head.deadline(&route);
        let RequestHead {
            arrived_at,
            metadata,
            parts,
            may_have_run,
            held,
        } = head;
        // The key may have been revoked while the caller sent the body.
        let newest_table = self.route_table().unwrap_or_else(|| table.clone());
        let customer = self.authorize(BootTime::now(), &newest_table, &route, &parts.headers)?;
        let customer_name = customer.as_ref().map(|customer| customer.name.as_str());
        let mut headers = self.header_codec.forwarded_request_headers(&parts.headers);
        let caller = match newest_table.customers {
            Some(_) => {
                self.header_codec
                    .replace_credentials(&mut headers, customer_name);
                customer_name.unwrap_or_default().as_bytes()
            }
            None => {
                let credentials = parts.headers.get(AUTHORIZATION);
                credentials.map_or(&[][..], |value| value.as_bytes())
            }
        };
        let path = parts.uri.path_and_query().cloned();
        let path = path.map_or(parts.uri, hyper::Uri::from);
        let prompt_parts = match &metadata.prompt {
            Some(prompt) => PromptParts::new(&prompt.model, prompt.parts.iter().copied()),
            None => PromptParts::default(),
        };
        let rank = customer.as_ref().and_then(|customer| customer.rank);
        Ok(CallerRequest {
            headers,
            metadata,
            content: content_id(&parts.method, &path, &parts.headers, caller, &body),
            prompt_parts,
            method: parts.method,
            path,
            body,
            held,
            arrived_at,
            deadline,
            may_have_run,
            trial: Cell::default(),
            rank: rank.unwrap_or(route.rank),
            customer,
            route,
            basis,
        })
    }

    /// Finds the route of a request and authorizes it, and waits a short time if this process has only just started.
    async fn route_request(
        &self,
        arrived_at: Instant,
        parts: &hyper::http::request::Parts,
    ) -> Result<(Rc<RouteTable>, Rc<RouteEntry>), Refusal> {
        loop {
            let waited = arrived_at.elapsed();
            let is_starting = waited < STARTUP_WAIT && self.confirmed_at().is_none();
            match self.try_route_request(BootTime::now(), parts) {
                _ if waited < STARTUP_WAIT && !self.has_view() => {}
                Err(refusal) if is_starting && refusal.cause.is_outdated() => {}
                Err(refusal)
                    if waited < CONFIRMATION_WAIT
                        && refusal.cause == FailureCause::OutdatedRoutes => {}
                result => return result,
            }
            compio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    fn try_route_request(
        &self,
        now: BootTime,
        parts: &hyper::http::request::Parts,
    ) -> Result<(Rc<RouteTable>, Rc<RouteEntry>), Refusal> {
        let table = self.route_table().ok_or_else(|| {
            Refusal::new(
                FailureCause::NoConfiguration,
                "no configuration is known yet",
            )
            .retry_after(UNCONFIRMED_RETRY_AFTER)
        })?;
        let route = self.find_route(now, &table, parts)?;
        self.authorize(now, &table, &route, &parts.headers)?;
        Ok((table, route))
    }

    fn find_route(
        &self,
        now: BootTime,
        table: &RouteTable,
        parts: &hyper::http::request::Parts,
    ) -> Result<Rc<RouteEntry>, Refusal> {
        let host = parts.headers.get(hyper::header::HOST);
        let host = host.and_then(|value| value.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or("");
        let status = self.document_status(now, table);
        let cause = match table.find(host, parts.uri.path()) {
            Some(route) if status.permits_routes() => return Ok(route),
            Some(_) => FailureCause::OutdatedRoutes,
            None if status.permits_final_refusal() => {
                return Err(Refusal::new(FailureCause::NoRoute, "no route leads there"));
            }
            None => FailureCause::NoConfiguration,
        };
        Err(Refusal::new(cause, "the routes are not confirmed")
            .retry_after(UNCONFIRMED_RETRY_AFTER))
    }
}
