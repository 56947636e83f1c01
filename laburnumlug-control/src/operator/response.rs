//! HTTP responses to operators.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use laburnumlug::Verdict;
use laburnumlug_http::{Response, full_body, json_response};
use laburnumlug_operator::ConsoleAsset;
use serde::Serialize;
use serde_json::{Value, json};

/// Content security policy of the console's pages: they load nothing from other servers.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
    img-src 'self' data:; connect-src 'self'; form-action 'none'; base-uri 'none'; frame-ancestors 'none'";

/// Returns the value of a header if it is visible ASCII text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the JSON body of an error response.
pub(super) fn error_body(code: &str, message: &str) -> Value {
    json!({ "error": { "code": code, "message": message } })
}

/// Returns an error response.
pub(super) fn error_response(status: u16, code: &str, message: &str) -> Response {
    json_response(status, &error_body(code, message))
}

/// Returns an error response with the verdict whether the change may have been accepted nevertheless.
pub(super) fn error_with_verdict(
    status: u16,
    code: &str,
    message: &str,
    verdict: Verdict,
) -> Response {
    let mut body = error_body(code, message);
    body["error"]["verdict"] = json!(verdict);
    json_response(status, &body)
}

/// Returns the response to a request without a valid token, which is the same whatever is wrong with the token.
pub(super) fn unauthorized() -> Response {
    let mut resp = error_response(401, "unauthorized", "a valid operator token is needed");
    set_header(&mut resp, "www-authenticate", "Bearer");
    resp
}

/// Returns the response to a request whose path does not support its method.
pub(super) fn method_not_allowed(allowed: &'static str) -> Response {
    let message = format!("allowed: {allowed}");
    let mut resp = error_response(405, "method_not_allowed", &message);
    set_header(&mut resp, "allow", allowed);
    resp
}

/// Returns the response with a static file of the console.
pub(super) fn asset_response(asset: &ConsoleAsset) -> Response {
    let mut resp = hyper::Response::new(full_body(asset.body));
    set_header(&mut resp, "content-type", asset.content_type);
    resp
}

/// Returns the response with records as JSON lines.
pub(super) fn json_lines_response<T>(records: &[T]) -> Response
where
    T: Serialize,
{
    let mut body = String::new();
    for record in records {
        body.push_str(&json!(record).to_string());
        body.push('\n');
    }
    let mut resp = hyper::Response::new(full_body(body));
    set_header(&mut resp, "content-type", "application/x-ndjson");
    resp
}

/// Adds the headers that restrict what a browser may do with a response.
pub(super) fn with_security_headers(mut resp: Response) -> Response {
    set_header(
        &mut resp,
        "content-security-policy",
        CONTENT_SECURITY_POLICY,
    );
    set_header(&mut resp, "x-content-type-options", "nosniff");
    set_header(&mut resp, "referrer-policy", "no-referrer");
    set_header(&mut resp, "cache-control", "no-store");
    resp
}

fn set_header(resp: &mut Response, name: &'static str, value: &'static str) {
    resp.headers_mut()
        .insert(name, HeaderValue::from_static(value));
}
