//! Body readers that the client and the server share.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, StatusCode};

use crate::body_buffer::BodyBuffer;
use crate::error::Error;
use crate::held_bytes::HeldBytes;

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

/// Reads a response body to its end, up to `limit` bytes, which `held` holds until it is dropped.
///
/// A body without a length or chunks is whole when its connection is closed in an orderly way.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, its connection breaks, its transfer coding is not supported, or it is ended
/// by the memory budget.
pub(crate) async fn read_whole_body<B>(
    framing: Framing,
    body: B,
    limit: usize,
    held: &HeldBytes,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    match framing {
        Framing::Unsupported => Err(Error::unsupported_coding()),
        Framing::Framed | Framing::Unframed => read_held_body(body, limit, held).await,
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

/// Returns the next chunk like [`next_chunk`], unless `held` has to end.
pub(crate) async fn next_held_chunk<B>(
    body: &mut B,
    held: &HeldBytes,
) -> Result<Option<Bytes>, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut next = pin!(next_chunk(body));
    poll_fn(|cx| match held.poll_ended(cx) {
        Poll::Ready(over) => Poll::Ready(Err(Error::over_budget(over))),
        Poll::Pending => next.as_mut().poll(cx),
    })
    .await
}

/// Reads a body to its end, up to `limit` bytes, which count towards the memory budget only while they arrive.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, its connection breaks, or it is ended by the memory budget.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    read_held_body(body, limit, &HeldBytes::default()).await
}

/// Reads a body to its end, up to `limit` bytes, which `held` holds until it is dropped or the read fails.
///
/// # Errors
///
/// Fails when the body is longer than `limit`, its connection breaks, or it is ended by the memory budget.
pub async fn read_held_body<B>(mut body: B, limit: usize, held: &HeldBytes) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(Error::body_too_large(limit));
    }
    let mut buf = BodyBuffer::new(declared);
    loop {
        let added = match next_held_chunk(&mut body, held).await {
            Ok(Some(chunk)) => add_chunk(&mut buf, &chunk, limit, held),
            Ok(None) => {
                held.mark_whole();
                return Ok(buf.freeze());
            }
            Err(err) => Err(err),
        };
        if let Err(err) = added {
            drop(buf);
            held.release();
            return Err(err);
        }
    }
}

fn add_chunk(
    buf: &mut BodyBuffer,
    chunk: &[u8],
    limit: usize,
    held: &HeldBytes,
) -> Result<(), Error> {
    let len = buf.len() + chunk.len();
    if len > limit {
        return Err(Error::body_too_large(limit));
    }
    held.resize(len).map_err(Error::over_budget)?;
    buf.extend_from_slice(chunk);
    Ok(())
}
