//! Identity of what a request asks for, which is the same for repeats with another request id.

use hyper::header::{AUTHORIZATION, HOST};
use hyper::{HeaderMap, Method, Uri};
use laburnumlug::{CustomerId, StreamId};
use laburnumlug_policy::ContentId;
use sha2::{Digest, Sha256};

/// Returns the hash of a method, a host, a path with its query, the caller's credentials and a body.
///
/// The hash is cryptographic, so that no caller can choose a content with the id of another caller's.
pub(crate) fn content_id(
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> ContentId {
    let header = |name| headers.get(name).map_or(&[][..], |value| value.as_bytes());
    let path = path.to_string();
    let fields = [
        method.as_str().as_bytes(),
        header(HOST),
        path.as_bytes(),
        header(AUTHORIZATION),
        body,
    ];
    hash(&fields)
}

/// Returns the id of the stream that a request with this id begins.
pub(crate) fn stream_id(request_id: &str) -> StreamId {
    hash(&[request_id.as_bytes()])
}

/// Returns the id of the customer with this name.
#[allow(dead_code, reason = "used once requests have customers")]
pub(crate) fn customer_id(name: &str) -> CustomerId {
    hash(&[name.as_bytes()])
}

/// Returns a hash that is the same in all builds, as gateways exchange it.
fn hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for field in fields {
        // The length separates a field from the next one.
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let hash = hasher.finalize();
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |id, byte| id << 8 | u64::from(*byte))
}

#[cfg(test)]
#[path = "request_content_tests.rs"]
mod tests;
