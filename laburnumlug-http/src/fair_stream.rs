//! Byte stream of a connection that yields to other tasks, and bounds what a peer sends before the head of an answer ends.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncBufRead, AsyncWrite};
use hyper::ext::on_informational;
use hyper::rt::ReadBufCursor;
use laburnumlug::ReadTurn;

use crate::requests_in_progress::RequestsInProgress;

/// Maximum number of bytes of one head of an answer.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes that are read until the head of an answer has ended: those of interim responses, of the head, and the
/// first ones of the body, which are read with it.
const MAX_BYTES_BEFORE_HEAD: usize = 2 * MAX_HEAD_BYTES;

/// Maximum number of interim responses to one request; those that arrive with one read may exceed it.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Number of reads in a row after which a task yields; a read brings at most 8 KB.
const MAX_READS_PER_TURN: u32 = 8;

/// Number of reads in a row after which a task yields while it awaits a head, and the bytes of one of them: to parse interim
/// responses of 25 bytes takes much longer than to copy a body.
const MAX_HEAD_READS_PER_TURN: u32 = 2;
const MAX_HEAD_READ_BYTES: usize = 2 * 1024;

/// Bounds what a peer sends until the head of an answer has ended.
#[derive(Clone, Default)]
pub(crate) struct HeadLimit {
    /// Number of bytes that may still be read, or `None` while no head is awaited.
    left: Rc<Cell<Option<usize>>>,
    /// Number of interim responses to the request.
    interim: Arc<AtomicU32>,
}

impl HeadLimit {
    /// Awaits the head of the answer to a request that is sent now.
    pub(crate) fn begin<B>(&self, req: &mut hyper::Request<B>) {
        self.left.set(Some(MAX_BYTES_BEFORE_HEAD));
        self.interim.store(0, Ordering::Relaxed);
        let interim = self.interim.clone();
        on_informational(req, move |_| {
            interim.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Records that the head has arrived.
    pub(crate) fn end(&self) {
        self.left.set(None);
    }

    /// Returns whether a head is awaited.
    fn is_awaiting(&self) -> bool {
        self.left.get().is_some()
    }

    /// Counts bytes that were read, and fails if the peer has sent too much.
    fn record(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes);
        if left.is_none() || self.interim.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES {
            return Err(too_long());
        }
        self.left.set(left);
        Ok(())
    }
}

fn too_long() -> io::Error {
    let detail = "more interim responses, or longer heads, than an answer may have";
    io::Error::new(io::ErrorKind::InvalidData, detail)
}

/// Byte stream of a connection.
pub(crate) struct FairStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    /// Whether data is left that was received with the last read.
    has_buffered: bool,
    turn: ReadTurn,
    head_limit: HeadLimit,
    /// Requests of the connection, which observe whether the peer reads.
    requests: Option<Rc<RequestsInProgress>>,
}

impl FairStream {
    /// Creates the stream of a connection; `head_limit` is that of the answers which its peer sends.
    pub(crate) fn new(stream: TcpStream, head_limit: HeadLimit) -> FairStream {
        FairStream {
            inner: Box::pin(AsyncStream::new(stream)),
            has_buffered: false,
            turn: ReadTurn::default(),
            head_limit,
            requests: None,
        }
    }

    /// Sets the requests of the connection, which observe whether the peer reads.
    pub(crate) fn observed_by(mut self, requests: Rc<RequestsInProgress>) -> FairStream {
        self.requests = Some(requests);
        self
    }

    /// Checks that the peer has ended its data, which a read of 0 bytes does not prove.
    ///
    /// A socket reports its error once. If a write in flight took the error, the next read returns 0, as it does after a FIN.
    /// `EPIPE` does not count: the kernel reports it for a reset that arrived after a FIN, when the data was complete.
    ///
    /// A pending write took no error, as the driver stores the result of a completed operation before a later read returns.
    fn check_end(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.inner.as_mut().poll_flush(cx) {
            Poll::Ready(Err(err)) if err.kind() != io::ErrorKind::BrokenPipe => Err(err),
            Poll::Ready(_) | Poll::Pending => Ok(()),
        }
    }

    /// Records whether a write waits for the peer, and returns its result.
    fn record_write<T>(&self, polled: Poll<T>) -> Poll<T> {
        if let Some(requests) = &self.requests {
            requests.record_write(polled.is_pending(), Instant::now);
        }
        polled
    }
}

impl hyper::rt::Read for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let is_awaiting = this.head_limit.is_awaiting();
        let (max_reads, max_len) = match is_awaiting {
            true => (MAX_HEAD_READS_PER_TURN, MAX_HEAD_READ_BYTES),
            false => (MAX_READS_PER_TURN, usize::MAX),
        };
        // On an idle connection, data must be passed on once it has been received: the pool looks for unread data in the socket.
        let may_yield = is_awaiting || !this.has_buffered;
        if may_yield && this.turn.must_yield(max_reads) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Poll::Ready(filled) = this.inner.as_mut().poll_fill_buf(cx) else {
            this.turn.record_pause();
            return Poll::Pending;
        };
        let filled = filled?;
        if filled.is_empty() {
            return Poll::Ready(this.check_end(cx));
        }
        let len = filled.len().min(buf.remaining()).min(max_len);
        buf.put_slice(&filled[..len]);
        this.has_buffered = len < filled.len();
        this.inner.as_mut().consume(len);
        this.turn.record_read();
        Poll::Ready(this.head_limit.record(len))
    }
}

impl hyper::rt::Write for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.inner.as_mut().poll_write(cx, buf);
        self.record_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.inner.as_mut().poll_write_vectored(cx, bufs);
        self.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = self.inner.as_mut().poll_flush(cx);
        self.record_write(polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_close(cx)
    }
}
