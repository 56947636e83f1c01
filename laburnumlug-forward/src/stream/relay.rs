//! Relay of an open stream to its caller, with resumption at another engine.

use std::rc::Rc;
use std::time::Instant;

use futures_util::FutureExt;
use laburnumlug_http::BodySender;

use super::attempt::{ENDED_INSIDE_EVENT, EVENT_TOO_LONG};
use super::{OpenStream, StreamAttempt, StreamRequest};
use crate::events::EventSplitter;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;

impl Forwarder {
    /// Relays events until the stream ends, the caller disconnects or the deadline passes; resumes broken streams.
    pub(super) async fn relay(
        self: Rc<Self>,
        mut stream: StreamRequest,
        open: OpenStream,
        mut tx: BodySender,
    ) {
        let OpenStream {
            mut response,
            mut splitter,
            first_events,
            mut in_flight,
            mut engine_request,
        } = open;
        let id = stream.request.metadata.id.clone();
        if tx.send(first_events).await.is_err() {
            return;
        }
        loop {
            let time_left = stream.request.time_left(Instant::now());
            let next = {
                let _waiting = engine_request.await_event();
                let mut chunk = Box::pin(response.chunk()).fuse();
                let mut closed = Box::pin(tx.closed()).fuse();
                let mut expired = Box::pin(compio::time::sleep(time_left)).fuse();
                futures_util::select_biased! {
                    chunk = chunk => Some(chunk),
                    () = closed => return,
                    () = expired => None,
                }
            };
            let break_reason = match next {
                Some(Ok(Some(chunk))) => {
                    self.record_event(Instant::now(), &in_flight.target);
                    let events = splitter.push(&chunk).unwrap_or_default();
                    if !events.is_empty() && tx.send(events).await.is_err() {
                        return;
                    }
                    if !splitter.has_overflowed() {
                        continue;
                    }
                    EVENT_TOO_LONG.to_string()
                }
                Some(Ok(None)) if splitter.is_inside_event() => ENDED_INSIDE_EVENT.to_string(),
                Some(Ok(None)) => {
                    engine_request.mark_complete(Instant::now());
                    drop(engine_request);
                    let blank_lines = splitter.take_partial();
                    if !blank_lines.is_empty() && tx.send(blank_lines).await.is_err() {
                        return;
                    }
                    self.pool.recycle(Instant::now(), response);
                    return;
                }
                Some(Err(err)) => err.to_string(),
                None => {
                    log::info!(request_id = id.as_str(), cause = FailureCause::TimedOut.as_str();
                        "stream aborted: the deadline passed");
                    self.observe(|observer| observer.stream_aborted());
                    return tx.abort();
                }
            };
            let target = in_flight.target.clone();
            self.record_failure(Instant::now(), &target);
            drop(engine_request);
            self.check_for_crash(&target);
            splitter.drop_partial();
            let resumed = self.resume(&mut stream, &splitter).await;
            log::info!(
                request_id = id.as_str(), target = target.instance.as_str(),
                content = format!("{:x}", stream.request.content).as_str(),
                prompt_parts = stream.shareable_parts().as_str(), resumed = resumed.is_some(),
                software = target.listing.borrow().software.as_deref();
                "the stream from the target broke: {break_reason}"
            );
            let Some(next) = resumed else {
                self.observe(|observer| observer.stream_aborted());
                return tx.abort();
            };
            response = next.response;
            in_flight = next.in_flight;
            engine_request = next.engine_request;
            let last_id = next.splitter.last_id().or(splitter.last_id()).cloned();
            splitter = next.splitter;
            splitter.set_last_id(last_id);
            if tx.send(next.first_events).await.is_err() {
                return;
            }
        }
    }

    /// Resumes a broken stream at another target, after the last complete event.
    async fn resume(
        self: &Rc<Self>,
        stream: &mut StreamRequest,
        splitter: &EventSplitter,
    ) -> Option<OpenStream> {
        let last_id = splitter.last_id()?.clone();
        if !stream.request.route.is_repeatable() {
            return None;
        }
        while self.try_acquire_attempt(stream).await {
            match self.attempt_stream(stream, Some(last_id.clone())).await {
                Ok(StreamAttempt::Stream(open)) => return Some(*open),
                // A response that is not a stream cannot continue one.
                Ok(StreamAttempt::Buffered(_)) => return None,
                Err(failure) if failure.is_final() => return None,
                Err(_) => {}
            }
        }
        None
    }
}
