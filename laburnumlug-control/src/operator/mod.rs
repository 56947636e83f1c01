//! HTTP interface for operators: fleet document, status, audit trail, metrics and console.

mod audit;
mod fleet;
mod origin;
mod response;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug_http::{
    Handler, Limits, PeerAddr, Request, Response, json_response, text_response,
};
use laburnumlug_operator::console_asset;
use serde_json::json;

use self::response::{error_response, header_text, with_security_headers};
use crate::replica::Replica;
use crate::state::State;
use crate::token::OperatorTokens;

/// Limit on simultaneous connections.
const MAX_CONNECTIONS: usize = 64;

/// Size limit of a request's headers in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Timeout for receiving a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a request after which a connection is closed for a new one beyond the limit.
const REPLACEABLE_AFTER: Duration = Duration::from_secs(1);

/// Maximum lifetime of a connection.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(120);

/// HTTP interface for operators, a handler for a [`laburnumlug_http::Server`].
pub struct OperatorInterface {
    shared: Rc<Shared>,
}

/// Function that returns all metrics of the process in the Prometheus text format.
type MetricsRenderer = Rc<dyn Fn() -> String>;

struct Shared {
    replica: Rc<Replica>,
    tokens: OperatorTokens,
    metrics: Option<MetricsRenderer>,
}

impl OperatorInterface {
    /// Creates the interface to a replica, for the operators with a token in `tokens`.
    pub fn new(replica: Rc<Replica>, tokens: OperatorTokens) -> OperatorInterface {
        OperatorInterface {
            shared: Rc::new(Shared {
                replica,
                tokens,
                metrics: None,
            }),
        }
    }

    /// Serves the text that `render` returns at `/metrics`.
    pub fn metrics<F>(self, render: F) -> OperatorInterface
    where
        F: Fn() -> String + 'static,
    {
        OperatorInterface {
            shared: Rc::new(Shared {
                replica: self.shared.replica.clone(),
                tokens: self.shared.tokens.clone(),
                metrics: Some(Rc::new(render)),
            }),
        }
    }

    /// Returns the connection limits for the HTTP server of this interface.
    pub fn limits() -> Limits {
        Limits::default()
            .connections(MAX_CONNECTIONS)
            .replaceable_after(REPLACEABLE_AFTER)
            .header_bytes(MAX_HEADER_BYTES)
            .header_timeout(HEADER_TIMEOUT)
            .lifetime(CONNECTION_LIFETIME)
    }
}

impl Handler for OperatorInterface {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        let shared = self.shared.clone();
        Box::pin(async move { with_security_headers(shared.respond(req).await) })
    }
}

/// Authenticated operator who sent a request, and the address it came from.
struct Requester {
    operator: String,
    /// Address of the client's end of the connection, or empty if the server provided none.
    client_addr: String,
}

impl Shared {
    async fn respond(&self, req: Request) -> Response {
        let method = req.method().as_str().to_string();
        let path = req.uri().path().to_string();
        let client_addr = client_addr(&req);
        if !origin::is_same_origin(req.headers()) {
            log::warn!(
                "refused {method} {path} of {client_addr}: it came from another site's page"
            );
            return error_response(403, "foreign_origin", "requests of other sites are refused");
        }
        // The console's static files are public; all data that the console shows requires a token.
        if let ("GET", Some(asset)) = (method.as_str(), console_asset(&path)) {
            return response::asset_response(&asset);
        }
        let is_read = method == "GET" && matches!(path.as_str(), "/health" | "/fleet" | "/audit");
        if is_read && !self.replica.is_caught_up() {
            let message = "this replica does not know yet what is in force; ask another one";
            return error_response(503, "catching_up", message);
        }
        if (method.as_str(), path.as_str()) == ("GET", "/health") {
            return json_response(200, &json!({ "status": "ok" }));
        }
        let authorization = header_text(req.headers(), "authorization");
        let Some(operator) = self.tokens.authenticate(authorization) else {
            log::warn!("refused {method} {path} of {client_addr}: no valid token");
            return response::unauthorized();
        };
        let requester = Requester {
            operator,
            client_addr,
        };
        match (method.as_str(), path.as_str()) {
            ("GET", "/fleet") => self.get_fleet(),
            ("PUT", "/fleet") => self.put_fleet(requester, req).await,
            ("POST", "/fleet/check") => self.check_fleet(req).await,
            ("POST", "/fleet/merge") => self.merge_fleet(req).await,
            ("GET", "/status") => self.status(),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/audit") => self.audit(req.uri().query().unwrap_or("")),
            (_, "/fleet") => response::method_not_allowed("GET, PUT"),
            (_, "/fleet/check" | "/fleet/merge") => response::method_not_allowed("POST"),
            (_, "/status" | "/audit" | "/health" | "/metrics") => {
                response::method_not_allowed("GET")
            }
            (_, path) if console_asset(path).is_some() => response::method_not_allowed("GET"),
            _ => error_response(404, "not_found", "nothing stands here"),
        }
    }

    fn metrics(&self) -> Response {
        match &self.metrics {
            Some(render) => text_response(200, &render()),
            None => error_response(404, "not_found", "this replica serves no metrics"),
        }
    }

    fn status(&self) -> Response {
        let now = Instant::now();
        let voters = self.replica.voter_status(now);
        let contacts = voters.contacts.as_ref();
        let fleet = self.replica.fleet();
        let voting_status = self.replica.voting_status();
        let (term, committed) = self.replica.term_and_commit_index();
        json_response(
            200,
            &json!({
                "version": fleet.version,
                "replica": voting_status.replica,
                "is_voter": voting_status.verified,
                "voters": voting_status.voters,
                "voters_wanted": voters.wanted,
                "voters_responsive": contacts.map(|contacts| contacts.responsive),
                "voters_silent": contacts.map(|contacts| &contacts.silent),
                "learners": contacts.map(|contacts| &contacts.learners),
                "leader": self.replica.leader(),
                "term": term,
                "committed": committed,
                "nodes": self.replica.nodes(),
                "intents": self.replica.with_state(State::intents),
                "orders": self.replica.orders(),
                "duties": self.replica.duties_json(now),
            }),
        )
    }
}

/// Returns the address of the client that sent a request, or an empty string if the server provided none.
fn client_addr(req: &Request) -> String {
    let peer = req.extensions().get::<PeerAddr>();
    peer.map_or(String::new(), |peer| peer.0.to_string())
}
