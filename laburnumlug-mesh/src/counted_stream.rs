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

/// Stream that counts the bytes read from it, so that a slow transfer can be told from a peer that has stopped responding.
pub(crate) struct CountedStream<S> {
    inner: S,
    received_bytes: Rc<Cell<u64>>,
    turn: ReadTurn,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, received_bytes: Rc<Cell<u64>>) -> CountedStream<S> {
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
                let received = self.received_bytes.get() + count as u64;
                self.received_bytes.set(received);
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
