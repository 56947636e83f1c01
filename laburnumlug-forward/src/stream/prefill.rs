//! Prefill of a prompt at one engine on behalf of another.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug::Verdict;

use super::StreamRequest;
use super::attempt::{MAX_RESPONSE_BYTES, probe_delay};
use crate::attempt::AttemptOptions;
use crate::attempt_failure::AttemptFailure;
use crate::engine_request_guard::EngineRequestGuard;
use crate::engine_selection::EngineSelection;
use crate::forwarder::Forwarder;
use crate::header_codec::AttemptStage;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

impl Forwarder {
    /// Prefills the prompt at one engine and returns the decode stage for another.
    pub(super) async fn prefill(
        self: &Rc<Self>,
        stream: &StreamRequest,
        prefill_engine: &Rc<TargetHandle>,
        selection: &EngineSelection,
    ) -> Result<AttemptStage, AttemptFailure> {
        let expected = selection.time_to_first_token;
        let request = &stream.request;
        let _in_flight = prefill_engine.track_request();
        let mut engine_request = EngineRequestGuard::start(
            self,
            Instant::now(),
            prefill_engine,
            request,
            selection.uncached_tokens,
            selection.priority,
            None,
        );
        let result = async {
            let options = AttemptOptions {
                service: &stream.service,
                probe_after: probe_delay(expected),
                // The decode engine can prefill the prompt itself.
                may_abandon: &|_| true,
                priority: Some(selection.priority),
            };
            let sent = self
                .send_attempt(
                    request,
                    prefill_engine,
                    AttemptStage::Prefill,
                    None,
                    options,
                )
                .await;
            let mut response = sent?;
            let status = response.status();
            let body = self
                .read_body(request, prefill_engine, &mut response, MAX_RESPONSE_BYTES)
                .await?;
            self.pool.recycle(Instant::now(), response);
            match self.header_codec.parse_prompt_handle(&body) {
                Some(handle) if status == 200 => Ok(handle),
                _ => Err(AttemptFailure::answer_lost(format!(
                    "no prompt was kept, status {status}"
                ))),
            }
        };
        match self.unless_lost(prefill_engine, result, |_| true).await {
            Ok(handle) => {
                engine_request.mark_prefilled(Instant::now());
                prefill_engine.health.borrow_mut().record_success();
                let source = prefill_engine.listing.borrow().addr;
                Ok(AttemptStage::DecodeFrom { source, handle })
            }
            Err(failure) => {
                self.record_refusal(Instant::now(), prefill_engine, &failure);
                log::info!(
                    request_id = request.metadata.id.as_str(), target = prefill_engine.instance.as_str(),
                    cause = failure.cause.as_str(); "prefill failed: {}", failure.detail
                );
                // A prefill alone does not count as execution, so another engine may repeat it.
                Err(AttemptFailure {
                    verdict: Verdict::NotRun,
                    cause: match failure.cause {
                        FailureCause::Stopping => FailureCause::Stopping,
                        _ => FailureCause::Unreachable,
                    },
                    at_prefill: true,
                    ..failure
                })
            }
        }
    }

    /// Counts a refusal as a failure of the engine.
    ///
    /// An engine that changes its role refuses all requests until it has, and after a restart of all processes this
    /// gateway may not know that it does.
    pub(super) fn record_refusal(
        &self,
        now: Instant,
        engine: &TargetHandle,
        failure: &AttemptFailure,
    ) {
        if failure.cause == FailureCause::TargetRefused {
            self.record_failure(now, engine);
        }
    }
}
