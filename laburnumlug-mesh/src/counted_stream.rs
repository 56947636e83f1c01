//! Byte stream that counts what it receives, and yields to other tasks.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_util::{AsyncRead, AsyncWrite};
use laburnumlug::ReadTurn;

/// Number of reads in a row after which a task yields; a read brings at most 4 KB.
const MAX_READS_PER_TURN: u32 = 8;

/// Bytes that a connection has received, and how many it may.
pub(crate) struct ReceivedBytes {
    count: Cell<u64>,
    limit: Cell<u64>,
}

impl ReceivedBytes {
    /// Creates the count of a connection that may receive `limit` bytes.
    pub(crate) fn with_limit(limit: u64) -> ReceivedBytes {
        ReceivedBytes {
            count: Cell::new(0),
            limit: Cell::new(limit),
        }
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Lets the connection receive any number of bytes.
    pub(crate) fn remove_limit(&self) {
        self.limit.set(u64::MAX);
    }

    fn add(&self, bytes: u64) -> io::Result<()> {
        self.count.set(self.count.get() + bytes);
        match self.count.get() > self.limit.get() {
            true => Err(io::Error::other("the peer has sent more than a handshake")),
            false => Ok(()),
        }
    }
}

/// Stream that counts the bytes read from it, so that a slow transfer can be told from a peer that has stopped
/// responding, and that ends at a limit.
pub(crate) struct CountedStream<S> {
    inner: S,
    received_bytes: Rc<ReceivedBytes>,
    turn: ReadTurn,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, received_bytes: Rc<ReceivedBytes>) -> CountedStream<S> {
        CountedStream {
            inner,
            received_bytes,
            turn: ReadTurn::default(),
        }
    }
}

impl<S> AsyncRead for CountedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn.must_yield(MAX_READS_PER_TURN) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read {
            Poll::Pending => self.turn.record_pause(),
            Poll::Ready(Ok(count)) => {
                self.turn.record_read();
                self.received_bytes.add(count as u64)?;
            }
            Poll::Ready(Err(_)) => {}
        }
        read
    }
}

impl<S> AsyncWrite for CountedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
