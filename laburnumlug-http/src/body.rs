//! Response bodies of the server: whole, streamed from a channel, or holding a guard.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use event_listener::Event;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use serde::Serialize;

use crate::held_bytes::{HeldBytes, OverBudget};

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
    let queue = Rc::new(ChunkQueue::default());
    let body = ChannelBody {
        queue: queue.clone(),
    };
    (BodySender { queue }, Box::pin(body))
}

/// Unread chunks of a streamed body, shared by its sender and its reader.
#[derive(Default)]
struct ChunkQueue {
    chunks: RefCell<VecDeque<Bytes>>,
    bytes: Cell<usize>,
    /// Size of the chunk that the sender waits to add.
    waiting_bytes: Cell<usize>,
    held: HeldBytes,
    /// Set once the body was ended by the memory budget.
    over_budget: Cell<Option<OverBudget>>,
    sender_state: Cell<SenderState>,
    reader_closed: Cell<bool>,
    /// Task of the reader that waits for a chunk.
    reader: RefCell<Option<Waker>>,
    /// Notified whenever the reader takes a chunk or drops the body.
    changed: Event,
}

#[derive(Clone, Copy, Default, Eq, PartialEq)]
enum SenderState {
    #[default]
    Open,
    Finished,
    Aborted,
}

impl ChunkQueue {
    /// Ends the body for its reader; an aborted body keeps its unread chunks.
    fn finish(&self, state: SenderState) {
        if self.sender_state.get() == SenderState::Open {
            self.sender_state.set(state);
            self.wake_reader();
        }
    }

    /// Aborts the body because of the memory budget, and drops its unread chunks.
    fn end(&self, over: OverBudget) {
        self.over_budget.set(Some(over));
        self.chunks.borrow_mut().clear();
        self.bytes.set(0);
        self.waiting_bytes.set(0);
        self.finish(SenderState::Aborted);
        self.held.release();
    }

    /// Reserves what is held now of the memory budget.
    fn hold(&self) -> Result<(), OverBudget> {
        self.held
            .resize(self.bytes.get() + self.waiting_bytes.get())
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    /// Waits until the reader has taken a chunk or dropped the body, or the body was ended by the memory budget.
    async fn changed(&self) {
        let mut changed = pin!(self.changed.listen());
        poll_fn(|cx| match self.held.poll_ended(cx) {
            Poll::Ready(over) => {
                self.end(over);
                Poll::Ready(())
            }
            Poll::Pending => changed.as_mut().poll(cx),
        })
        .await;
    }
}

/// Sending half of a streamed body.
pub struct BodySender {
    queue: Rc<ChunkQueue>,
}

impl BodySender {
    /// Sends one chunk, waiting while the buffer is full.
    ///
    /// If the returned future is dropped before it completes, nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns the chunk if the reader has dropped the body, or if the body was ended by the memory budget.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), Bytes> {
        let queue = &self.queue;
        if self.is_closed() {
            return Err(chunk);
        }
        // The chunk is held while it waits, too.
        queue.waiting_bytes.set(chunk.len());
        if let Err(over) = queue.hold() {
            queue.end(over);
            return Err(chunk);
        }
        while queue.bytes.get() >= MAX_BUFFERED_BYTES && !self.is_closed() {
            queue.changed().await;
        }
        queue.waiting_bytes.set(0);
        if self.is_closed() {
            return Err(chunk);
        }
        queue.bytes.set(queue.bytes.get() + chunk.len());
        queue.chunks.borrow_mut().push_back(chunk);
        queue.wake_reader();
        Ok(())
    }

    /// Aborts the body: chunks already sent are delivered, then the connection is closed.
    pub fn abort(self) {
        self.queue.finish(SenderState::Aborted);
    }

    /// Returns a handle with which another owner aborts the body.
    pub fn handle(&self) -> BodyHandle {
        BodyHandle {
            queue: self.queue.clone(),
        }
    }

    /// Waits until the reader has dropped the body, or the body was ended by the memory budget.
    pub async fn closed(&mut self) {
        while !self.is_closed() {
            self.queue.changed().await;
        }
    }

    /// Returns whether the reader has dropped the body, or the body was ended by the memory budget.
    pub fn is_closed(&self) -> bool {
        self.queue.reader_closed.get() || self.queue.sender_state.get() != SenderState::Open
    }
}

/// Aborts a streamed body whose [`BodySender`] has another owner.
pub struct BodyHandle {
    queue: Rc<ChunkQueue>,
}

impl BodyHandle {
    /// Aborts the body like [`BodySender::abort`], unless it has ended.
    pub fn abort(&self) {
        self.queue.finish(SenderState::Aborted);
    }

    /// Returns the state of the memory budget if the body was ended because of it.
    pub fn over_budget(&self) -> Option<OverBudget> {
        self.queue.over_budget.get()
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.queue.finish(SenderState::Finished);
    }
}

/// Receiving half of a streamed body.
struct ChannelBody {
    queue: Rc<ChunkQueue>,
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        self.queue.chunks.borrow_mut().clear();
        self.queue.held.release();
        self.queue.reader_closed.set(true);
        self.queue.changed.notify(usize::MAX);
    }
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let queue = &self.queue;
        let chunk = queue.chunks.borrow_mut().pop_front();
        match (chunk, queue.sender_state.get()) {
            (Some(chunk), _) => {
                queue.bytes.set(queue.bytes.get() - chunk.len());
                // Fewer bytes never exceed the budget.
                let _ = queue.hold();
                queue.changed.notify(usize::MAX);
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            (None, SenderState::Open) => {
                queue.reader.replace(Some(cx.waker().clone()));
                Poll::Pending
            }
            (None, SenderState::Finished) => Poll::Ready(None),
            (None, SenderState::Aborted) => Poll::Ready(Some(Err(Aborted))),
        }
    }
}

/// Holds `guard` until the response's body has been sent or its reader has disconnected.
pub fn hold_until_sent<G>(resp: Response, guard: G) -> Response
where
    G: 'static,
{
    resp.map(|body| guarded_body(body, guard))
}

/// Body that owns a guard, which is dropped with it.
struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

/// Returns a body that owns `guard`, which is dropped with it.
pub(crate) fn guarded_body<G>(body: Body, guard: G) -> Body
where
    G: 'static,
{
    Box::pin(GuardedBody {
        body,
        _guard: guard,
    })
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
#[path = "body_tests.rs"]
mod tests;
