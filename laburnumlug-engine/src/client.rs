//! HTTP client of one engine: completions and the admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use laburnumlug_http::ClientResponse;
use serde::de::DeserializeOwned;

use crate::admin::{EngineState, Order};
use crate::error::Error;
use crate::event::{CompletionEvent, EventParser};
use crate::request::CompletionRequest;

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the message of an engine's error response; the rest of a longer one is not read.
const MAX_ERROR_BODY_BYTES: usize = 16 * 1024;

/// Maximum time for reading the message of an error response, whose status is known before.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response of the admin interface.
const MAX_ADMIN_RESPONSE_BYTES: usize = 1024 * 1024;

/// Sends completions and orders to one engine, each on a new connection.
#[derive(Clone, Debug)]
pub struct EngineClient {
    addr: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `addr`.
    pub fn new(addr: SocketAddr) -> EngineClient {
        EngineClient { addr }
    }

    /// Starts a streamed completion.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] states whether the engine may have started the completion.
    pub async fn complete(&self, req: &CompletionRequest) -> Result<CompletionStream, Error> {
        let body = serde_json::to_vec(req).map_err(Error::malformed)?;
        let req = hyper::Request::post("/v1/completions")
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(Error::malformed)?;
        let mut response = laburnumlug_http::send(self.addr, req, CONNECT_TIMEOUT)
            .await
            .map_err(Error::http)?;
        if response.status() != 200 {
            let message = read_error_message(&mut response).await;
            return Err(Error::refused(response.status(), message));
        }
        Ok(CompletionStream {
            response,
            parser: EventParser::default(),
        })
    }

    /// Sends an order and returns the engine's state once the order has been applied.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] states whether the engine may have started to apply the order; [`EngineClient::state`] then
    /// returns the outcome.
    pub async fn send_order(&self, order: &Order, timeout: Duration) -> Result<EngineState, Error> {
        let body = serde_json::to_vec(order).map_err(Error::malformed)?;
        let req = hyper::Request::post("/admin/orders").header("content-type", "application/json");
        self.admin_request(req, body, timeout).await
    }

    /// Returns the engine's actual state.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    pub async fn state(&self, timeout: Duration) -> Result<EngineState, Error> {
        let req = hyper::Request::get("/admin/state");
        self.admin_request(req, Vec::new(), timeout).await
    }

    async fn admin_request<T>(
        &self,
        req: hyper::http::request::Builder,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let req = req
            .header("host", self.addr.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(Error::malformed)?;
        let exchange = async {
            let mut response = laburnumlug_http::send(self.addr, req, CONNECT_TIMEOUT)
                .await
                .map_err(Error::http)?;
            let body = response
                .bytes(MAX_ADMIN_RESPONSE_BYTES)
                .await
                .map_err(Error::http)?;
            match response.status() {
                200 => serde_json::from_slice(&body).map_err(Error::malformed),
                status => {
                    let message = String::from_utf8_lossy(&body).into_owned();
                    Err(Error::refused(status, message))
                }
            }
        };
        match laburnumlug_http::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::timed_out()),
        }
    }
}

/// Returns the message of an error response, as far as it arrives and fits.
async fn read_error_message(response: &mut ClientResponse) -> String {
    let mut body = Vec::new();
    let reading = async {
        while body.len() < MAX_ERROR_BODY_BYTES
            && let Ok(Some(chunk)) = response.chunk().await
        {
            body.extend_from_slice(&chunk);
        }
    };
    // The status tells the verdict, so an incomplete message is not an error.
    let _ = laburnumlug_http::timeout(ERROR_BODY_TIMEOUT, reading).await;
    body.truncate(MAX_ERROR_BODY_BYTES);
    String::from_utf8_lossy(&body).into_owned()
}

/// Event stream of a running completion; dropping it cancels the generation.
pub struct CompletionStream {
    response: ClientResponse,
    parser: EventParser,
}

impl CompletionStream {
    /// Returns the next event, or `None` after the end marker.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or closes before the end marker, or when an event is malformed.
    pub async fn next(&mut self) -> Result<Option<CompletionEvent>, Error> {
        loop {
            if let Some(event) = self.parser.next_event()? {
                return Ok(Some(event));
            }
            if self.parser.is_done() {
                return Ok(None);
            }
            match self.response.chunk().await.map_err(Error::http)? {
                Some(chunk) => self.parser.push(&chunk)?,
                None => return Err(Error::truncated()),
            }
        }
    }
}
