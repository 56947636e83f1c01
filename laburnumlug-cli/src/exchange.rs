//! One HTTP exchange on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use laburnumlug::Verdict;
use laburnumlug_http::ClientResponse;
use serde_json::Value;

use crate::failure::Failure;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a whole exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request to be sent, maybe more than once.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    pub(crate) fn new(method: &'static str, path: &str) -> Call {
        Call {
            method,
            path: path.to_string(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Call {
        self.headers.push((name, value.to_string()));
        self
    }

    pub(crate) fn body(mut self, body: &str) -> Call {
        self.body = body.to_string();
        self
    }

    fn request(&self, addr: SocketAddr) -> Result<hyper::Request<Full<Bytes>>, Failure> {
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

    /// Sends the request and waits for the head of the answer.
    pub(crate) async fn start(
        &self,
        addr: SocketAddr,
    ) -> Result<Result<ClientResponse, Lost>, Failure> {
        let req = self.request(addr)?;
        let sending = laburnumlug_http::send(addr, req, CONNECT_TIMEOUT).await;
        Ok(sending.map_err(|err| Lost::new(addr, &err)))
    }

    /// Sends the request and waits for the whole answer.
    pub(crate) async fn send(&self, addr: SocketAddr) -> Result<Result<Answer, Lost>, Failure> {
        let exchange = async {
            let mut incoming = match self.start(addr).await? {
                Ok(incoming) => incoming,
                Err(lost) => return Ok(Err(lost)),
            };
            let body = incoming.bytes(MAX_ANSWER_BYTES).await;
            Ok(body
                .map_err(|err| Lost::new(addr, &err))
                .map(|body| Answer::new(&incoming, &body)))
        };
        match compio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Ok(Err(Lost {
                message: format!("{addr}: no answer in {} s", EXCHANGE_TIMEOUT.as_secs()),
                verdict: Verdict::MayHaveRun,
            })),
        }
    }
}

/// An exchange that gave no answer.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) message: String,
    /// Whether the request may have taken effect.
    pub(crate) verdict: Verdict,
}

impl Lost {
    fn new(addr: SocketAddr, err: &laburnumlug_http::Error) -> Lost {
        Lost {
            message: format!("{addr}: {err}"),
            verdict: match err.is_connect() {
                true => Verdict::NotRun,
                false => Verdict::MayHaveRun,
            },
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) etag: Option<String>,
    pub(crate) body: String,
}

impl Answer {
    fn new(incoming: &ClientResponse, body: &[u8]) -> Answer {
        let etag = incoming.headers().get("etag");
        Answer {
            status: incoming.status(),
            etag: etag.and_then(|value| Some(value.to_str().ok()?.trim_matches('"').to_string())),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// Returns the body as JSON; `null` where it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns what an error answer says.
    pub(crate) fn message(&self) -> String {
        match self.json()["error"]["message"].as_str() {
            Some(message) => message.to_string(),
            None => format!("status {}: {}", self.status, self.body.trim()),
        }
    }

    /// Returns whether the request may have taken effect although the answer is no success.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdict = self.json()["error"]["verdict"].as_str().map(str::parse);
        match verdict {
            Some(Ok(verdict)) => verdict,
            _ if self.status < 500 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}
