//! Identity of what a request asks for, which is the same for repeats with another request id.

use hyper::header::HOST;
use hyper::{HeaderMap, Method, Uri};
use laburnumlug::{CustomerId, StreamId};
use laburnumlug_policy::ContentId;
use sha2::{Digest, Sha256};

/// Returns the hash of a method, a host, a path with its query, the identity of the caller and a body.
///
/// The hash is cryptographic, so that no caller can choose a content with the id of another caller's. It is logged and sent
/// to other gateways, so `caller` is the customer's name, and never an API key, where the fleet document lists customers.
pub(crate) fn content_id(
    method: &Method,
    path: &Uri,
    headers: &HeaderMap,
    caller: &[u8],
    body: &[u8],
) -> ContentId {
    let host = headers.get(HOST);
    let path = path.to_string();
    let fields = [
        method.as_str().as_bytes(),
        host.map_or(&[][..], |value| value.as_bytes()),
        path.as_bytes(),
        caller,
        body,
    ];
    hash(&fields)
}

/// Returns the id of the stream that a request with this id begins.
pub(crate) fn stream_id(request_id: &str) -> StreamId {
    hash(&[request_id.as_bytes()])
}

/// Returns the id of the customer with this name.
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
