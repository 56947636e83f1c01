//! Requests for the fleet document: read, check, merge and replace.

use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use laburnumlug::{FleetVersion, IdempotencyKey, Verdict};
use laburnumlug_http::{
    HeldBytes, Request, Response, discard_body, full_body, json_response, memory_budget,
    read_held_body,
};
use laburnumlug_operator::{diff_documents, merge_documents, validate_document};
use serde::Deserialize;
use serde_json::{Value, json};

use super::response::{error_body, error_response, error_with_verdict, header_text};
use super::{Requester, Shared};
use crate::command::{Command, FleetChange, FleetRefusal, Outcome};

/// Size limit of a fleet document in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Size limit of the body of a merge request, which contains two documents, in bytes.
const MAX_MERGE_BYTES: usize = 2 * MAX_DOCUMENT_BYTES + 1024;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

impl Shared {
    /// Returns the document in force.
    pub(super) fn get_fleet(&self) -> Response {
        let fleet = self.replica.fleet();
        if fleet.version == 0 {
            return error_response(404, "no_fleet", "no fleet document was accepted yet");
        }
        let mut resp = hyper::Response::new(full_body(fleet.document.to_string()));
        let json = hyper::header::HeaderValue::from_static("application/json");
        resp.headers_mut().insert("content-type", json);
        with_etag(resp, fleet.version)
    }

    /// Returns the validation faults of a document and its differences from the one in force.
    pub(super) async fn check_fleet(&self, req: Request) -> Response {
        let (text, _held) = match read_document(req).await {
            Ok(received) => received,
            Err(response) => return response,
        };
        let faults = validate_document(&text).err().unwrap_or_default();
        let fleet = self.replica.fleet();
        let before = match fleet.version {
            0 => json!({}),
            _ => serde_json::from_str(&fleet.document).unwrap_or(Value::Null),
        };
        let differences = match serde_json::from_str::<Value>(&text) {
            Ok(after) => diff_documents(&before, &after),
            Err(_) => Vec::new(),
        };
        let body = json!({
            "version": fleet.version, "faults": faults, "differences": differences,
        });
        json_response(200, &body)
    }

    /// Merges the requester's edits of an older version into the document in force, and returns the result.
    pub(super) async fn merge_fleet(&self, req: Request) -> Response {
        let (text, _held) = match read_text(req, MAX_MERGE_BYTES).await {
            Ok(received) => received,
            Err(response) => return response,
        };
        let edits: Edits = match serde_json::from_str(&text) {
            Ok(edits) => edits,
            Err(err) => return error_response(400, "bad_request", &err.to_string()),
        };
        let fleet = self.replica.fleet();
        let theirs = match fleet.version {
            0 => json!({}),
            _ => serde_json::from_str(&fleet.document).unwrap_or(Value::Null),
        };
        let merged = merge_documents(&edits.base, &edits.edited, &theirs);
        let body = json!({
            "version": fleet.version, "in_force": theirs,
            "document": merged.document, "overruled": merged.overruled,
        });
        json_response(200, &body)
    }

    /// Replaces the document if the change is based on the version in force.
    pub(super) async fn put_fleet(&self, requester: Requester, req: Request) -> Response {
        let base = match base_version(req.headers()) {
            Ok(base) => base,
            Err(message) => return error_response(428, "base_needed", &message),
        };
        let key = match idempotency_key(req.headers()) {
            Ok(key) => key,
            Err(message) => return error_response(400, "bad_request", &message),
        };
        let (document, _held) = match read_document(req).await {
            Ok(received) => received,
            Err(response) => return response,
        };
        let change = FleetChange::new(&requester.operator, base, &document)
            .key(key)
            .client_addr(&requester.client_addr);
        let submission = self
            .replica
            .submit(SystemTime::now(), Command::Fleet(change));
        match submission.await {
            Ok(Outcome::Fleet(Ok(accepted))) => {
                let body = json!({ "version": accepted.version });
                with_etag(json_response(200, &body), accepted.version)
            }
            Ok(Outcome::Fleet(Err(refusal))) => refusal_response(&refusal),
            Ok(_) => error_response(500, "internal", "crossed outcome"),
            Err(err) if err.is_too_large() => {
                error_with_verdict(413, "too_large", &err.to_string(), err.verdict())
            }
            Err(err) => {
                let status = match err.verdict() {
                    Verdict::NotRun => 503,
                    _ => 504,
                };
                error_with_verdict(status, "not_confirmed", &err.to_string(), err.verdict())
            }
        }
    }
}

/// Body of a merge request: edits of a version that may no longer be in force.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Edits {
    /// Document before the edits.
    base: Value,
    /// Document after the edits.
    edited: Value,
}

/// Reads the document in the body of a request, or returns the error response.
async fn read_document(req: Request) -> Result<(String, HeldBytes), Response> {
    read_text(req, MAX_DOCUMENT_BYTES).await
}

/// Reads a text body of at most `limit` bytes with its share of the memory budget, or returns the error response.
async fn read_text(req: Request, limit: usize) -> Result<(String, HeldBytes), Response> {
    let held = HeldBytes::default();
    let mut body = req.into_body();
    let reading = read_held_body(&mut body, limit.min(memory_budget()), &held);
    let result = laburnumlug_http::timeout(BODY_TIMEOUT, reading).await;
    let refusal = match result {
        Ok(Ok(bytes)) if held.mark_whole() => {
            return match String::from_utf8(bytes.to_vec()) {
                Ok(text) => Ok((text, held)),
                Err(_) => {
                    let message = "the document is not UTF-8";
                    Err(error_response(400, "bad_request", message))
                }
            };
        }
        Ok(Ok(_)) => no_memory(),
        Ok(Err(err)) if err.as_over_budget().is_some() => no_memory(),
        Ok(Err(err)) if err.is_body_too_large() => {
            error_response(413, "too_large", &err.to_string())
        }
        Ok(Err(err)) => error_response(400, "bad_request", &err.to_string()),
        Err(_) => error_response(408, "timeout", "the document came too slowly"),
    };
    discard_body(body);
    Err(refusal)
}

/// Returns the response to a document that exceeds the memory that is left.
fn no_memory() -> Response {
    let message = "too many bytes of requests are in progress";
    error_with_verdict(503, "no_memory", message, Verdict::NotRun)
}

/// Returns the version on which a change is based, from the header `If-Match`.
fn base_version(headers: &HeaderMap) -> Result<FleetVersion, String> {
    let Some(text) = header_text(headers, "if-match") else {
        return Err("header If-Match must name the version that the change is based on".into());
    };
    text.trim_matches('"')
        .parse()
        .map_err(|_| format!("header If-Match: found {text:?}, allowed: a version number"))
}

/// Returns the idempotency key of a change, from the header `Idempotency-Key`.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, String> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_string())),
        _ => Err(format!(
            "header Idempotency-Key: allowed: 1 to {MAX_KEY_BYTES} visible ASCII characters"
        )),
    }
}

fn with_etag(mut resp: Response, version: FleetVersion) -> Response {
    if let Ok(value) = format!("\"{version}\"").parse() {
        resp.headers_mut().insert("etag", value);
    }
    resp
}

fn refusal_response(refusal: &FleetRefusal) -> Response {
    let (status, code) = match refusal {
        FleetRefusal::Invalid(_) => (422, "invalid_document"),
        FleetRefusal::Conflict { .. } => (412, "conflict"),
        FleetRefusal::KeyReused { .. } => (409, "idempotency_conflict"),
    };
    let mut body = error_body(code, &refusal.to_string());
    match refusal {
        FleetRefusal::Invalid(faults) => body["error"]["faults"] = json!(faults),
        FleetRefusal::Conflict {
            version,
            changed_by,
            ..
        } => {
            body["error"]["version"] = json!(version);
            body["error"]["changed_by"] = json!(changed_by);
        }
        FleetRefusal::KeyReused { .. } => {}
    }
    body["error"]["verdict"] = json!(Verdict::NotRun);
    json_response(status, &body)
}
