//! Body of a request that a server receives.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::requests_in_progress::RequestsInProgress;

/// Body of a request, whose progress its connection observes.
pub struct RequestBody {
    incoming: Incoming,
    requests: Rc<RequestsInProgress>,
}

impl RequestBody {
    /// Creates the body of a request that begins now.
    pub(crate) fn new(
        now: Instant,
        incoming: Incoming,
        requests: Rc<RequestsInProgress>,
    ) -> RequestBody {
        if !incoming.is_end_stream() {
            requests.begin_body(now);
        }
        RequestBody { incoming, requests }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) if !self.incoming.is_end_stream() => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.requests.record_body(Instant::now(), bytes);
            }
            Poll::Ready(_) => self.requests.end_body(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
