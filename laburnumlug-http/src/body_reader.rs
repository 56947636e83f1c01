//! Body readers that the client and the server share.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, StatusCode};

use crate::error::Error;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By its length or by its last chunk.
    Framed,
    /// By the end of the connection; a connection that is reset instead breaks the body off.
    Unframed,
    /// By a transfer coding that is not decoded here, so that the bytes are not the body.
    Unsupported,
}

impl Framing {
    /// Returns the framing of the response to a request with this method.
    pub(crate) fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
        let has_no_body = method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let is_chunked = coding.is_some_and(|value| {
            let value = value.as_bytes().to_ascii_lowercase();
            value.trim_ascii_end().ends_with(b"chunked")
        });
        match coding {
            _ if has_no_body || is_chunked => Framing::Framed,
            Some(_) => Framing::Unsupported,
            None if headers.contains_key(CONTENT_LENGTH) => Framing::Framed,
            None => Framing::Unframed,
        }
    }
}

/// Reads a response body to its end, up to `limit` bytes.
///
/// A body without a length or chunks is whole when its connection is closed in an orderly way.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, its connection breaks, or its transfer coding is not supported.
pub(crate) async fn read_whole_body<B>(
    framing: Framing,
    body: B,
    limit: usize,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    match framing {
        Framing::Unsupported => Err(Error::unsupported_coding()),
        Framing::Framed | Framing::Unframed => read_body(body, limit).await,
    }
}

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
