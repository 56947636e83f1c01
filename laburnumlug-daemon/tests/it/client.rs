//! HTTP clients of entries and of the operator interface.

// Each test binary that includes this module uses only a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;

use serde_json::Value;

/// HTTP response to a caller.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    /// `laburnumlug-verdict` header; empty if there was none.
    pub verdict: String,
    /// `laburnumlug-request-id` header; empty if there was none.
    pub request_id: String,
    /// `Retry-After` header in seconds; `None` if it is absent or not a number.
    pub retry_after: Option<u64>,
    pub body: String,
}

impl Response {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the text of a completion that was not streamed.
    pub fn completion_text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    /// Returns the text of a streamed completion, and whether it ends with `[DONE]`.
    pub fn streamed_completion(&self) -> (String, bool) {
        let mut text = String::new();
        let mut is_done = false;
        for data in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if data == "[DONE]" {
                is_done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap();
            text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        }
        (text, is_done)
    }
}

/// Sends a POST request and returns the response, or `None` if none arrived completely.
pub async fn post(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    // A new client for each request means a new connection: a pooled client might resend the request.
    let client = cyper::Client::new().unwrap();
    let mut req = client.post(format!("http://{addr}{path}")).unwrap();
    for (name, value) in headers {
        req = req.header(*name, *value).unwrap();
    }
    let resp = req.body(body.to_string()).send().await.ok()?;
    let header = |name: &str| {
        let value = resp.headers().get(name);
        value
            .map_or("", |value| value.to_str().unwrap())
            .to_string()
    };
    let status = resp.status().as_u16();
    let verdict = header("laburnumlug-verdict");
    let request_id = header("laburnumlug-request-id");
    let retry_after = header("retry-after").parse().ok();
    let body = resp.text().await.ok()?;
    Some(Response {
        status,
        verdict,
        request_id,
        retry_after,
        body,
    })
}

/// Submits a fleet document to a control replica and returns the status and body, or `None` without a response.
pub async fn put_document(
    addr: SocketAddr,
    base: u64,
    key: &str,
    document: &str,
) -> Option<(u16, Value)> {
    let client = cyper::Client::new().unwrap();
    let req = client.put(format!("http://{addr}/fleet")).unwrap();
    let req = req.bearer_auth("dev").unwrap();
    let req = req.header("if-match", base.to_string()).unwrap();
    let req = req.header("idempotency-key", key).unwrap();
    let resp = req.body(document.to_string()).send().await.ok()?;
    let status = resp.status().as_u16();
    let body = resp.text().await.ok()?;
    Some((status, serde_json::from_str(&body).unwrap_or(Value::Null)))
}

/// Returns the version and content of the document in force at a control replica, or `None` if it serves none.
pub async fn get_document(addr: SocketAddr) -> Option<(u64, Value)> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}/fleet")).unwrap();
    let resp = req.bearer_auth("dev").unwrap().send().await.ok()?;
    let version = resp.headers().get("etag")?.to_str().ok()?;
    let version = version.trim_matches('"').parse().ok()?;
    let body = resp.text().await.ok()?;
    Some((version, serde_json::from_str(&body).ok()?))
}

/// Sends a GET request with the operator token and returns the status and body, or `None` without a response.
pub async fn get_status_and_body(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}{path}")).unwrap();
    let resp = req.bearer_auth("dev").unwrap().send().await.ok()?;
    let status = resp.status().as_u16();
    Some((status, resp.text().await.ok()?))
}

/// Sends a GET request with the operator token and returns the body, or `None` without a response.
pub async fn get_body(addr: SocketAddr, path: &str) -> Option<String> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}{path}")).unwrap();
    let req = req.bearer_auth("dev").unwrap();
    req.send().await.ok()?.text().await.ok()
}

/// Returns the audit records of a control replica, or `None` without a response.
pub async fn get_audit(addr: SocketAddr) -> Option<Vec<Value>> {
    let body = get_body(addr, "/audit").await?;
    body.lines()
        .map(|line| serde_json::from_str(line).ok())
        .collect()
}
