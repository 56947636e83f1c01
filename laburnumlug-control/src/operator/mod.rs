//! HTTP interface to operators.

mod answer;
mod audit;
mod fleet;
mod origin;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use laburnumlug_http::{
    Handler, Limits, PeerAddr, Request, Response, json_response, text_response,
};
use laburnumlug_operator::console_asset;
use serde_json::json;

use self::answer::{error_response, header, with_security_headers};
use crate::replica::Replica;
use crate::state::State;
use crate::token::Tokens;

/// Most open connections of operators.
const MAX_CONNECTIONS: usize = 64;

/// Largest size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How long a client may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection may live.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(120);

/// HTTP interface to operators, to be run in a [`laburnumlug_http::Server`].
pub struct OperatorInterface {
    shared: Rc<Shared>,
}

/// Returns all metrics of the process in the Prometheus text format.
type MetricsText = Rc<dyn Fn() -> String>;

struct Shared {
    replica: Rc<Replica>,
    tokens: Tokens,
    metrics: Option<MetricsText>,
}

impl OperatorInterface {
    /// Creates the interface of a replica.
    pub fn new(replica: Rc<Replica>, tokens: Tokens) -> OperatorInterface {
        OperatorInterface {
            shared: Rc::new(Shared {
                replica,
                tokens,
                metrics: None,
            }),
        }
    }

    /// Serves what `text` returns at `/metrics`.
    pub fn metrics<F>(self, text: F) -> OperatorInterface
    where
        F: Fn() -> String + 'static,
    {
        OperatorInterface {
            shared: Rc::new(Shared {
                replica: self.shared.replica.clone(),
                tokens: self.shared.tokens.clone(),
                metrics: Some(Rc::new(text)),
            }),
        }
    }

    /// Returns the limits of the listener for operators.
    pub fn limits() -> Limits {
        Limits::default()
            .connections(MAX_CONNECTIONS)
            .header_bytes(MAX_HEAD_BYTES)
            .header_timeout(HEAD_TIMEOUT)
            .lifetime(CONNECTION_LIFETIME)
    }
}

impl Handler for OperatorInterface {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        let shared = self.shared.clone();
        Box::pin(async move { with_security_headers(shared.answer(req).await) })
    }
}

/// Who sent a request.
struct Sender {
    operator: String,
    /// Address of the connection's other end; empty where the server named none.
    origin: String,
}

impl Shared {
    async fn answer(&self, req: Request) -> Response {
        let method = req.method().as_str().to_string();
        let path = req.uri().path().to_string();
        let origin = peer(&req);
        if !origin::is_own(req.headers()) {
            log::warn!("refused {method} {path} of {origin}: it came from another site's page");
            return error_response(403, "foreign_origin", "requests of other sites are refused");
        }
        // The console's own files hold nothing secret; all data behind them need a token.
        if let ("GET", Some(asset)) = (method.as_str(), console_asset(&path)) {
            return answer::asset_response(&asset);
        }
        let is_read = method == "GET" && matches!(path.as_str(), "/health" | "/fleet" | "/audit");
        if is_read && !self.replica.is_caught_up() {
            let message = "this replica does not know yet what is in force; ask another one";
            return error_response(503, "catching_up", message);
        }
        if (method.as_str(), path.as_str()) == ("GET", "/health") {
            return json_response(200, &json!({ "status": "ok" }));
        }
        let authorization = header(req.headers(), "authorization");
        let Some(operator) = self.tokens.operator(authorization) else {
            log::warn!("refused {method} {path} of {origin}: no valid token");
            return answer::unauthorized();
        };
        let sender = Sender { operator, origin };
        match (method.as_str(), path.as_str()) {
            ("GET", "/fleet") => self.fleet(),
            ("PUT", "/fleet") => self.put_fleet(sender, req).await,
            ("POST", "/fleet/check") => self.check_fleet(req).await,
            ("POST", "/fleet/merge") => self.merge_fleet(req).await,
            ("GET", "/status") => self.status(),
            ("GET", "/metrics") => self.metrics(),
            ("GET", "/audit") => self.audit(req.uri().query().unwrap_or("")),
            (_, "/fleet") => answer::method_not_allowed("GET, PUT"),
            (_, "/fleet/check" | "/fleet/merge") => answer::method_not_allowed("POST"),
            (_, "/status" | "/audit" | "/health" | "/metrics") => answer::method_not_allowed("GET"),
            (_, path) if console_asset(path).is_some() => answer::method_not_allowed("GET"),
            _ => error_response(404, "not_found", "nothing stands here"),
        }
    }

    fn metrics(&self) -> Response {
        match &self.metrics {
            Some(text) => text_response(200, &text()),
            None => error_response(404, "not_found", "this replica serves no metrics"),
        }
    }

    fn status(&self) -> Response {
        let fleet = self.replica.fleet();
        let standing = self.replica.standing();
        let (term, committed) = self.replica.term_and_commit_index();
        json_response(
            200,
            &json!({
                "version": fleet.version,
                "replica": standing.replica,
                "is_voter": standing.verified,
                "voters": standing.voters,
                "leader": self.replica.leader(),
                "term": term,
                "committed": committed,
                "nodes": self.replica.nodes(),
                "intents": self.replica.with_state(State::intents),
                "orders": self.replica.orders(),
            }),
        )
    }
}

/// Returns the address from which a request came.
fn peer(req: &Request) -> String {
    let peer = req.extensions().get::<PeerAddr>();
    peer.map_or(String::new(), |peer| peer.0.to_string())
}
