//! Bodies and responses of the server side.

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

/// Body of a response, whole or streamed.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Aborted>>>;

/// The sender of a streamed body gave up; the connection is closed so that the answer does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Aborted {}

/// Response that a [`Handler`](crate::Handler) returns.
pub type Response = hyper::Response<Body>;

/// Builder of a response's status and headers.
pub type ResponseBuilder = hyper::http::response::Builder;

/// Most bytes that a streamed body holds before its sender waits.
const BODY_BYTES: usize = 256 * 1024;

/// Returns a body of known content.
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

/// Returns a response whose body is `value` as JSON.
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
/// The body holds a bounded number of bytes, so a slow reader slows the sender and nothing else.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::unbounded();
    let buffered = Rc::new(Buffered::default());
    let body = ChannelBody {
        rx,
        buffered: buffered.clone(),
    };
    (BodySender { tx, buffered }, Box::pin(body))
}

/// What a streamed body holds.
#[derive(Default)]
struct Buffered {
    bytes: Cell<usize>,
    hung_up: Cell<bool>,
    /// Notified whenever the reader takes a chunk or hangs up.
    changed: Event,
}

/// Fills a streamed body.
pub struct BodySender {
    tx: mpsc::UnboundedSender<Result<Bytes, Aborted>>,
    buffered: Rc<Buffered>,
}

impl BodySender {
    /// Sends one chunk, waiting while the reader is behind.
    ///
    /// Dropping the returned future sends nothing.
    ///
    /// # Errors
    ///
    /// Gives the chunk back when the reader has hung up.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), Bytes> {
        while self.buffered.bytes.get() >= BODY_BYTES && !self.is_closed() {
            self.buffered.changed.listen().await;
        }
        if self.is_closed() {
            return Err(chunk);
        }
        let bytes = self.buffered.bytes.get() + chunk.len();
        self.buffered.bytes.set(bytes);
        match self.tx.unbounded_send(Ok(chunk)) {
            Ok(()) => Ok(()),
            Err(err) => Err(err.into_inner().unwrap_or_default()),
        }
    }

    /// Breaks the body off: what was sent is delivered, and then the connection is closed.
    pub fn abort(self) {
        // Without a reader there is nothing to break off.
        let _ = self.tx.unbounded_send(Err(Aborted));
    }

    /// Waits until the reader has hung up.
    pub async fn closed(&mut self) {
        while !self.is_closed() {
            self.buffered.changed.listen().await;
        }
    }

    /// Returns whether the reader has hung up.
    pub fn is_closed(&self) -> bool {
        self.buffered.hung_up.get()
    }
}

/// Body that is read from a channel.
struct ChannelBody {
    rx: mpsc::UnboundedReceiver<Result<Bytes, Aborted>>,
    buffered: Rc<Buffered>,
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        self.buffered.hung_up.set(true);
        self.buffered.changed.notify(usize::MAX);
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
            let bytes = self.buffered.bytes.get() - chunk.len();
            self.buffered.bytes.set(bytes);
            self.buffered.changed.notify(usize::MAX);
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Keeps `guard` until the response's body has been sent or its reader has hung up.
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

/// Body that keeps something as long as it lives.
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
        let large = Bytes::from(vec![0; BODY_BYTES]);
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
    fn send_after_hang_up() {
        let (mut tx, body) = channel_body();
        drop(body);
        let chunk = Bytes::from_static(b"a");
        let sent = tx.send(chunk.clone()).now_or_never();
        assert_eq!(sent, Some(Err(chunk)));
        assert!(tx.closed().now_or_never().is_some());
    }
}
