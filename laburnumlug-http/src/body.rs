//! Response bodies of the server: whole, streamed from a channel, or holding a guard.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use event_listener::Event;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use serde::Serialize;

/// Response body, whole or streamed.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Aborted>>>;

/// The sender aborted a streamed body; the connection is closed so that the response does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body aborted by its sender")
    }
}

impl std::error::Error for Aborted {}

/// Response that a [`Handler`](crate::Handler) returns.
pub type Response = hyper::Response<Body>;

/// Builder for the status and headers of a response.
pub type ResponseBuilder = hyper::http::response::Builder;

/// Number of buffered bytes from which the sender of a streamed body waits; the last chunk may exceed it.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Returns a body that holds `bytes`.
pub fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Box::pin(Full::new(bytes.into()).map_err(|err: Infallible| match err {}))
}

/// Returns a plain-text response.
pub fn text_response(status: u16, text: &str) -> Response {
    response_with_type(
        status,
        "text/plain; charset=utf-8",
        text.to_string().into_bytes(),
    )
}

/// Returns a response whose body is `value` as JSON, or the error text if `value` cannot be serialized.
pub fn json_response<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_else(|err| err.to_string().into_bytes());
    response_with_type(status, "application/json", body)
}

fn response_with_type(status: u16, content_type: &str, body: Vec<u8>) -> Response {
    let mut resp = hyper::Response::new(full_body(body));
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *resp.status_mut() = status;
    }
    if let Ok(value) = content_type.parse() {
        resp.headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    resp
}

/// Creates a streamed body and the sender that fills it.
///
/// The body buffers a bounded number of bytes, so a slow reader applies backpressure to its own sender only.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::unbounded();
    let buffer = Rc::new(BufferState::default());
    let body = ChannelBody {
        rx,
        buffer: buffer.clone(),
    };
    (BodySender { tx, buffer }, Box::pin(body))
}

/// Fill level of a streamed body, shared by its sender and its reader.
#[derive(Default)]
struct BufferState {
    bytes: Cell<usize>,
    reader_closed: Cell<bool>,
    /// Notified whenever the reader takes a chunk or drops the body.
    changed: Event,
}

/// Sending half of a streamed body.
pub struct BodySender {
    tx: mpsc::UnboundedSender<Result<Bytes, Aborted>>,
    buffer: Rc<BufferState>,
}

impl BodySender {
    /// Sends one chunk, waiting while the buffer is full.
    ///
    /// If the returned future is dropped before it completes, nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns the chunk if the reader has dropped the body.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), Bytes> {
        while self.buffer.bytes.get() >= MAX_BUFFERED_BYTES && !self.is_closed() {
            self.buffer.changed.listen().await;
        }
        if self.is_closed() {
            return Err(chunk);
        }
        let bytes = self.buffer.bytes.get() + chunk.len();
        self.buffer.bytes.set(bytes);
        match self.tx.unbounded_send(Ok(chunk)) {
            Ok(()) => Ok(()),
            Err(err) => Err(err.into_inner().unwrap_or_default()),
        }
    }

    /// Aborts the body: chunks already sent are delivered, then the connection is closed.
    pub fn abort(self) {
        // The send fails only if the reader is gone, and then there is nothing to abort.
        let _ = self.tx.unbounded_send(Err(Aborted));
    }

    /// Waits until the reader has dropped the body.
    pub async fn closed(&mut self) {
        while !self.is_closed() {
            self.buffer.changed.listen().await;
        }
    }

    /// Returns whether the reader has dropped the body.
    pub fn is_closed(&self) -> bool {
        self.buffer.reader_closed.get()
    }
}

/// Receiving half of a streamed body.
struct ChannelBody {
    rx: mpsc::UnboundedReceiver<Result<Bytes, Aborted>>,
    buffer: Rc<BufferState>,
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        self.buffer.reader_closed.set(true);
        self.buffer.changed.notify(usize::MAX);
    }
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let chunk = ready!(self.rx.poll_next_unpin(cx));
        if let Some(Ok(chunk)) = &chunk {
            let bytes = self.buffer.bytes.get() - chunk.len();
            self.buffer.bytes.set(bytes);
            self.buffer.changed.notify(usize::MAX);
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Holds `guard` until the response's body has been sent or its reader has disconnected.
pub fn hold_until_sent<G>(resp: Response, guard: G) -> Response
where
    G: 'static,
{
    resp.map(|body| -> Body {
        Box::pin(GuardedBody {
            body,
            _guard: guard,
        })
    })
}

/// Body that owns a guard, which is dropped with it.
struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G> Unpin for GuardedBody<G> {}

impl<G> hyper::body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests {
    use futures_util::FutureExt;

    use super::*;

    #[test]
    fn send_waits_at_byte_limit() {
        let (mut tx, mut body) = channel_body();
        let large = Bytes::from(vec![0; MAX_BUFFERED_BYTES]);
        assert_eq!(tx.send(large).now_or_never(), Some(Ok(())));
        assert_eq!(tx.send(Bytes::from_static(b"a")).now_or_never(), None);
        assert!(body.frame().now_or_never().is_some());
        let sent = tx.send(Bytes::from_static(b"a")).now_or_never();
        assert_eq!(sent, Some(Ok(())));
    }

    #[test]
    fn abort_after_chunk() {
        let (mut tx, mut body) = channel_body();
        let chunk = Bytes::from_static(b"a");
        assert_eq!(tx.send(chunk).now_or_never(), Some(Ok(())));
        tx.abort();
        let mut next = || body.frame().now_or_never().unwrap().unwrap();
        assert!(next().is_ok());
        assert_eq!(next().err(), Some(Aborted));
    }

    #[test]
    fn send_after_reader_dropped() {
        let (mut tx, body) = channel_body();
        drop(body);
        let chunk = Bytes::from_static(b"a");
        let sent = tx.send(chunk.clone()).now_or_never();
        assert_eq!(sent, Some(Err(chunk)));
        assert!(tx.closed().now_or_never().is_some());
    }
}
