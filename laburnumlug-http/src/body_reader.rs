//! Body readers that the client and the server share.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::error::Error;

/// Returns the next non-empty chunk of a body, or `None` at its end; skips trailers.
pub(crate) async fn next_chunk<B>(body: &mut B) -> Result<Option<Bytes>, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    while let Some(frame) = body.frame().await {
        match frame.map_err(Error::exchange)?.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            _ => {}
        }
    }
    Ok(None)
}

/// Reads a body to its end, up to `limit` bytes.
///
/// # Errors
///
/// Fails when the body is longer than `limit` or its connection breaks.
pub async fn read_body<B>(mut body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body).await? {
        if buf.len() + chunk.len() > limit {
            return Err(Error::body_too_large(limit));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
