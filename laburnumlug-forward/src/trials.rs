//! Requests that test whether what is blocked does crash targets.

use std::rc::Rc;
use std::time::Instant;

use laburnumlug::EngineEvent;
use laburnumlug_policy::TrialId;

use crate::attempt::CallerRequest;
use crate::crash_reports::split_suspects;
use crate::forwarder::Forwarder;

/// Ends the trial of a request's suspects when it is dropped.
pub(crate) struct TrialGuard {
    forwarder: Rc<Forwarder>,
    id: TrialId,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut crash_attribution = self.forwarder.crash_attribution.borrow_mut();
        crash_attribution.end_trial(Instant::now(), self.id);
    }
}

impl Forwarder {
    /// Records that a request for a service has arrived. If it is blocked, it may become the trial of its suspects, until the
    /// returned guard is dropped.
    pub(crate) fn begin_trial(
        self: &Rc<Self>,
        now: Instant,
        service: &str,
        request: &CallerRequest,
    ) -> Option<TrialGuard> {
        let suspects = request.suspects();
        let mut crash_attribution = self.crash_attribution.borrow_mut();
        crash_attribution.record_request(service, &suspects);
        let (id, tested) = crash_attribution.begin_trial(now, service, &suspects)?;
        drop(crash_attribution);
        request.trial.set(Some(id));
        let (parts, contents) = split_suspects(&tested);
        log::warn!(
            request_id = request.metadata.id.as_str(), parts = hex(&parts).as_str(),
            contents = hex(&contents).as_str();
            "a request tests whether what is blocked crashes targets, as most requests have it"
        );
        let event = EngineEvent::SuspectsTested { parts, contents };
        self.engine_requests.publish(event);
        Some(TrialGuard {
            forwarder: self.clone(),
            id,
        })
    }
}

/// Returns ids as hexadecimal numbers, separated by spaces.
fn hex(ids: &[u64]) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(" ")
}
