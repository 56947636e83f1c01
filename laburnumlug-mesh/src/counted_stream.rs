//! Byte stream that counts what it receives.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_util::{AsyncRead, AsyncWrite};

/// Stream that counts the bytes read from it, so that a slow transfer can be told from a peer that has stopped responding.
pub(crate) struct CountedStream<S> {
    inner: S,
    received_bytes: Rc<Cell<u64>>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(inner: S, received_bytes: Rc<Cell<u64>>) -> CountedStream<S> {
        CountedStream {
            inner,
            received_bytes,
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
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            let received = self.received_bytes.get() + count as u64;
            self.received_bytes.set(received);
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
