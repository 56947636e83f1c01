//! HTTP exchanges, each on its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use laburnumlug::Verdict;
use laburnumlug_http::ClientResponse;
use serde_json::Value;

use crate::failure::Failure;

/// Timeout for connecting to a control replica or an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout from opening the connection to the end of the response; it does not apply to streamed responses.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;

/// Maximum size of a response body, in bytes; a longer one fails the exchange.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP request that can be sent more than once.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Request {
    pub(crate) fn new(method: &'static str, path: &str) -> Request {
        Request {
            method,
            path: path.to_string(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Request {
        self.headers.push((name, value.to_string()));
        self
    }

    pub(crate) fn body(mut self, body: &str) -> Request {
        self.body = body.to_string();
        self
    }

    fn to_hyper(&self, addr: SocketAddr) -> Result<hyper::Request<Full<Bytes>>, Failure> {
        let mut req = hyper::Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header("host", addr.to_string())
            .header("content-length", self.body.len());
        for (name, value) in &self.headers {
            let value = HeaderValue::from_str(value).map_err(|_| {
                Failure::Usage(format!("{name}: control characters are not allowed"))
            })?;
            req = req.header(*name, value);
        }
        req.body(Full::new(Bytes::from(self.body.clone())))
            .map_err(|err| Failure::Usage(err.to_string()))
    }

    /// Sends the request and waits for the head of the response.
    pub(crate) async fn send_streaming(
        &self,
        addr: SocketAddr,
    ) -> Result<Result<ClientResponse, ExchangeError>, Failure> {
        let req = self.to_hyper(addr)?;
        let response = laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await;
        Ok(response.map_err(|err| ExchangeError::new(addr, &err)))
    }

    /// Sends the request to a control process, follows redirects, and returns the response with the address that it came from.
    ///
    /// A control process that redirects a request has not run it, and each address gets the request once.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
    ) -> Result<Result<(SocketAddr, Response), ExchangeError>, Failure> {
        let (mut req, mut addr) = (self.clone(), addr);
        for _ in 0..=MAX_REDIRECTS {
            let response = match req.exchange(addr).await? {
                Ok(response) => response,
                Err(err) => return Ok(Err(err)),
            };
            match response.status {
                307 => match response.location.as_deref().and_then(parse_location) {
                    Some((redirected_addr, path)) => {
                        addr = redirected_addr;
                        req.path = path;
                    }
                    None => {
                        let message =
                            format!("{addr}: redirect without an address of the form IP:PORT");
                        return Ok(Err(ExchangeError::not_run(message)));
                    }
                },
                _ => return Ok(Ok((addr, response))),
            }
        }
        let message = format!("redirected more than {MAX_REDIRECTS} times, last to {addr}");
        Ok(Err(ExchangeError::not_run(message)))
    }

    /// Sends the request and waits for the complete response.
    async fn exchange(&self, addr: SocketAddr) -> Result<Result<Response, ExchangeError>, Failure> {
        let exchange = async {
            let mut response = match self.send_streaming(addr).await? {
                Ok(response) => response,
                Err(err) => return Ok(Err(err)),
            };
            let body = response.bytes(MAX_RESPONSE_BYTES).await;
            Ok(body
                .map_err(|err| ExchangeError::new(addr, &err))
                .map(|body| Response::new(&response, &body)))
        };
        match compio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Ok(Err(ExchangeError {
                message: format!(
                    "{addr}: no complete response within {} s",
                    EXCHANGE_TIMEOUT.as_secs()
                ),
                verdict: Verdict::MayHaveRun,
            })),
        }
    }
}

/// Returns the address and the path of a redirect to `http://IP:PORT/path`.
fn parse_location(location: &str) -> Option<(SocketAddr, String)> {
    let uri: hyper::Uri = location.parse().ok()?;
    match uri.scheme_str() {
        Some("http") => Some((
            uri.authority()?.as_str().parse().ok()?,
            uri.path_and_query()?.to_string(),
        )),
        _ => None,
    }
}

/// An exchange that ended without a complete response.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    pub(crate) message: String,
    /// Whether the request may have taken effect.
    pub(crate) verdict: Verdict,
}

impl ExchangeError {
    fn not_run(message: String) -> ExchangeError {
        ExchangeError {
            message,
            verdict: Verdict::NotRun,
        }
    }

    fn new(addr: SocketAddr, err: &laburnumlug_http::Error) -> ExchangeError {
        ExchangeError {
            message: format!("{addr}: {err}"),
            verdict: match err.is_connect() {
                true => Verdict::NotRun,
                false => Verdict::MayHaveRun,
            },
        }
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) etag: Option<String>,
    /// Where a redirect leads.
    location: Option<String>,
    pub(crate) body: String,
}

impl Response {
    fn new(response: &ClientResponse, body: &[u8]) -> Response {
        let header = |name| response.headers().get(name)?.to_str().ok();
        Response {
            status: response.status(),
            etag: header("etag").map(|etag| etag.trim_matches('"').to_string()),
            location: header("location").map(str::to_string),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// Returns the body as JSON, or `null` if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the message of an error response, or its status and body if it has none.
    pub(crate) fn message(&self) -> String {
        match self.json()["error"]["message"].as_str() {
            Some(message) => message.to_string(),
            None => format!("status {}: {}", self.status, self.body.trim()),
        }
    }

    /// Returns whether the request of an error response may have taken effect.
    ///
    /// Without a verdict in the body, a status below 500 means that it did not.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdict = self.json()["error"]["verdict"].as_str().map(str::parse);
        match verdict {
            Some(Ok(verdict)) => verdict,
            _ if self.status < 500 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}
