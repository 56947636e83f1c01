//! HTTP client of one application server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;

use crate::call::{Call, Response};
use crate::error::Error;

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body; a call with a longer one fails.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Sends calls to one application server, each on a new connection.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    addr: SocketAddr,
}

impl ServiceClient {
    /// Creates a client of the server at `addr`.
    pub fn new(addr: SocketAddr) -> ServiceClient {
        ServiceClient { addr }
    }

    /// Sends a call once, without retries, and returns its whole response.
    ///
    /// Response headers whose value is not visible ASCII are left out.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] states whether the call may have run.
    pub async fn call(&self, call: Call, timeout: Duration) -> Result<Response, Error> {
        match laburnumlug_http::timeout(timeout, self.call_without_timeout(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::timed_out()),
        }
    }

    async fn call_without_timeout(&self, call: Call) -> Result<Response, Error> {
        let mut req = hyper::Request::builder()
            .method(call.method.as_str())
            .uri(call.path)
            .header("host", self.addr.to_string());
        for (name, value) in &call.headers {
            req = req.header(name, value);
        }
        let req = req
            .body(Full::new(Bytes::from(call.body)))
            .map_err(Error::request)?;
        let mut response = laburnumlug_http::send(self.addr, req, CONNECT_TIMEOUT)
            .await
            .map_err(Error::http)?;
        let body = response
            .bytes(MAX_RESPONSE_BYTES)
            .await
            .map_err(Error::http)?
            .to_vec();
        let headers = response
            .headers()
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_string(), value.to_str().ok()?.to_string()))
            })
            .collect();
        Ok(Response {
            status: response.status(),
            headers,
            body,
        })
    }
}
