//! Body readers that the client and the server share.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, StatusCode};
use serde::de::IgnoredAny;

use crate::error::Error;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By its length or by its last chunk.
    Framed,
    /// By the end of the connection, which may also have been broken off. A whole JSON object or array shows its end.
    Unframed { is_json: bool },
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
        let has_length = coding.is_none() && headers.contains_key(CONTENT_LENGTH);
        match has_no_body || is_chunked || has_length {
            true => Framing::Framed,
            false => Framing::Unframed {
                is_json: has_json_type(headers),
            },
        }
    }
}

fn has_json_type(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let essence = content_type.and_then(|value| value.split(';').next());
    let essence = essence.unwrap_or("").trim().to_ascii_lowercase();
    essence == "application/json" || essence.ends_with("+json")
}

/// Reads a response body to its end, up to `limit` bytes.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, its connection breaks, or nothing shows that it is whole.
pub(crate) async fn read_whole_body<B>(
    framing: Framing,
    body: B,
    limit: usize,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let bytes = read_body(body, limit).await?;
    let is_whole = match framing {
        Framing::Framed => true,
        Framing::Unframed { is_json } => is_json && is_json_container(&bytes),
    };
    match is_whole {
        true => Ok(bytes),
        false => Err(Error::unframed()),
    }
}

/// Returns whether a text is a whole JSON object or array; a part of one is not.
fn is_json_container(text: &[u8]) -> bool {
    let first = text.trim_ascii_start().first();
    matches!(first, Some(b'{' | b'[')) && serde_json::from_slice::<IgnoredAny>(text).is_ok()
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
