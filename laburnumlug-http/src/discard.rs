//! Discarding of the bodies of rejected requests.

use std::time::Duration;

use crate::body_reader::next_chunk;
use crate::request_body::RequestBody;

/// Maximum number of bytes of a rejected request's body that are discarded.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Maximum time for discarding the body of a rejected request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Discards the rest of a rejected request's body in the background, up to a number of bytes and a time limit.
///
/// Closing a connection while its client is still sending resets it, and the client then loses the response.
pub fn discard_body(body: RequestBody) {
    compio::runtime::spawn(async move {
        let _ = crate::timeout(DISCARD_TIMEOUT, drain_body(body)).await;
    })
    .detach();
}

async fn drain_body(mut body: RequestBody) {
    let mut remaining = MAX_DISCARDED_BYTES;
    while let Ok(Some(chunk)) = next_chunk(&mut body).await {
        match remaining.checked_sub(chunk.len()) {
            Some(rest) => remaining = rest,
            None => return,
        }
    }
}
