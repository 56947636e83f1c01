//! Whole response bodies that count towards the memory budget until they are sent.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use compio::runtime::JoinHandle;
use hyper::body::{Frame, SizeHint};

use crate::body::{Aborted, Body, full_body, guarded_body};
use crate::held_bytes::{HeldBytes, OverBudget};

/// Maximum size, in bytes, of the parts in which a whole body is passed to its connection.
pub(crate) const MAX_PART_BYTES: usize = 64 * 1024;

/// Returns a body that holds `bytes` with their share of the memory budget until they are sent.
///
/// If they have to end before, they are dropped although nobody takes them, the body is aborted, and `on_end` is called.
/// A body of one part is taken as soon as its response is, and never ends.
pub fn held_body<F>(bytes: Bytes, held: HeldBytes, on_end: F) -> Body
where
    F: FnOnce(OverBudget) + 'static,
{
    if bytes.len() <= MAX_PART_BYTES {
        return guarded_body(full_body(bytes), held);
    }
    let unsent = Rc::new(RefCell::new(Some(bytes)));
    let watched = unsent.clone();
    let watch = compio::runtime::spawn(async move {
        let over = held.ended().await;
        watched.take();
        held.release();
        on_end(over);
        // The task owns the share of the budget as long as the body lasts.
        std::future::pending::<()>().await;
    });
    Box::pin(HeldBody {
        unsent,
        _watch: watch,
    })
}

/// Whole body that is sent in parts.
struct HeldBody {
    /// Bytes that are not sent yet; `None` once the body was ended by the memory budget.
    unsent: Rc<RefCell<Option<Bytes>>>,
    /// Task that owns the share of the budget; dropping it releases the share.
    _watch: JoinHandle<()>,
}

impl HeldBody {
    fn unsent_len(&self) -> usize {
        self.unsent.borrow().as_ref().map_or(1, Bytes::len)
    }
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        Poll::Ready(match &mut *self.unsent.borrow_mut() {
            None => Some(Err(Aborted)),
            Some(bytes) if bytes.is_empty() => None,
            Some(bytes) => {
                let len = bytes.len().min(MAX_PART_BYTES);
                // A part of the same allocation would keep all of it for as long as the connection has the part.
                let part = Bytes::copy_from_slice(&bytes[..len]);
                bytes.advance(len);
                Some(Ok(Frame::data(part)))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.unsent_len() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent_len() as u64)
    }
}
