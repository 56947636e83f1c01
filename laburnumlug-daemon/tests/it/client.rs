//! Clients of entries and control replicas, as tests use them.

// Each test uses what it needs of the clients.
#![allow(dead_code)]

use std::net::SocketAddr;

use serde_json::Value;

/// Answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub verdict: String,
    pub request_id: String,
    /// Seconds after which the caller may try again.
    pub retry_after: Option<u64>,
    pub body: String,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the text of a whole completion.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    /// Returns the text of a streamed completion, and whether it has the usual end mark.
    pub fn streamed_text(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        for data in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap();
            text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        }
        (text, done)
    }
}

/// Sends a request to an entry; `None` where no whole answer came.
pub async fn post(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    // Each request has a client, and so a connection, of its own: a pooled client might resend.
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
    Some(Answer {
        status,
        verdict,
        request_id,
        retry_after,
        body,
    })
}

/// Sends a document to a control replica and returns status and answer; `None` where no answer came.
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

/// Returns the version in force and its document at a control replica; `None` where it tells neither.
pub async fn get_document(addr: SocketAddr) -> Option<(u64, Value)> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}/fleet")).unwrap();
    let resp = req.bearer_auth("dev").unwrap().send().await.ok()?;
    let version = resp.headers().get("etag")?.to_str().ok()?;
    let version = version.trim_matches('"').parse().ok()?;
    let body = resp.text().await.ok()?;
    Some((version, serde_json::from_str(&body).ok()?))
}

/// Asks a control replica for a page and returns status and body; `None` where no answer came.
pub async fn get_status_and_page(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}{path}")).unwrap();
    let resp = req.bearer_auth("dev").unwrap().send().await.ok()?;
    let status = resp.status().as_u16();
    Some((status, resp.text().await.ok()?))
}

/// Asks a control replica for a page; `None` where no answer came.
pub async fn get_page(addr: SocketAddr, path: &str) -> Option<String> {
    let client = cyper::Client::new().unwrap();
    let req = client.get(format!("http://{addr}{path}")).unwrap();
    let req = req.bearer_auth("dev").unwrap();
    req.send().await.ok()?.text().await.ok()
}

/// Returns the audit trail at a control replica; `None` where no answer came.
pub async fn get_audit(addr: SocketAddr) -> Option<Vec<Value>> {
    let body = get_page(addr, "/audit").await?;
    body.lines()
        .map(|line| serde_json::from_str(line).ok())
        .collect()
}
