//! Software versions at which streams began, so that broken streams are resumed at the same version only.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use laburnumlug::{
    BootTime, EngineEvent, Role, ServiceName, SoftwareRecord, SoftwareVersion, StreamOrigin,
};
use laburnumlug_policy::{AssumedOrigin, SoftwareHistory};

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::refusal::FailureCause;
use crate::registry::TargetHandle;

/// Maximum time for which the resumption of a stream of unknown origin waits for a recent list of targets, and for the report
/// of the control replicas on which software versions they have recorded.
const RECORDS_WAIT: Duration = Duration::from_millis(400);

/// Interval at which such a resumption checks whether the report has arrived.
const RECORDS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Software version of the targets that may generate a stream, where `None` is that of targets that state none.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequiredSoftware(pub(crate) Option<SoftwareVersion>);

impl RequiredSoftware {
    /// Returns whether a target may take part in a stream: prefill engines generate no events.
    pub(crate) fn allows(&self, target: &TargetHandle) -> bool {
        let listing = target.listing.borrow();
        listing.role == Some(Role::Prefill) || listing.software == self.0
    }
}

impl Forwarder {
    /// Records that a request for a stream was sent to an engine.
    pub(crate) fn record_stream_sent(&self, now: Instant, origin: &StreamOrigin) {
        let mut stream_origins = self.stream_origins.borrow_mut();
        stream_origins.record_sent(now, origin.stream, origin.software.clone());
    }

    /// Records that the first event of a stream has arrived.
    pub(crate) fn record_stream_begun(&self, now: Instant, origin: &StreamOrigin) {
        let mut stream_origins = self.stream_origins.borrow_mut();
        stream_origins.record_begun(now, origin.stream, origin.software.clone());
    }

    /// Records that the request for a stream has ended.
    pub(crate) fn record_stream_end(&self, now: Instant, origin: &StreamOrigin, is_complete: bool) {
        let mut stream_origins = self.stream_origins.borrow_mut();
        stream_origins.record_end(now, origin.stream, &origin.software, is_complete);
    }

    /// Records that the gateway of a stream is lost.
    pub(crate) fn record_stream_lost(&self, now: Instant, origin: &StreamOrigin) {
        let mut stream_origins = self.stream_origins.borrow_mut();
        stream_origins.record_lost(now, origin.stream);
    }

    /// Returns the events that describe the ended streams which callers may resume.
    ///
    /// They are announced as prompts for no engine, which add nothing to the load of any.
    pub(crate) fn stream_events(&self, now: Instant) -> Vec<EngineEvent> {
        let stream_origins = self.stream_origins.borrow();
        let event = |(stream, software): (_, &Option<SoftwareVersion>)| EngineEvent::PromptSent {
            number: 0,
            engine: String::new(),
            work: 0,
            priority: 0,
            parts: Vec::new(),
            output_tokens: 0,
            stream: Some(StreamOrigin {
                stream,
                software: software.clone(),
            }),
            customer: None,
        };
        stream_origins.resumable(now).map(event).collect()
    }

    /// Returns the software version that a request needs because it resumes a stream, or `None` if any will do.
    ///
    /// Waits a short time if this process has only just started, or has been without lists of targets, as one that was frozen
    /// or cut off: reports on where streams began arrive meanwhile, too.
    ///
    /// # Errors
    ///
    /// Fails if it is not known at which of several versions the stream began.
    pub(crate) async fn required_software(
        &self,
        request: &CallerRequest,
        service: &str,
    ) -> Result<Option<RequiredSoftware>, AttemptFailure> {
        loop {
            let now = Instant::now();
            let waited = now.saturating_duration_since(request.arrived_at);
            match self.known_software(now, request, service) {
                Err(_)
                    if waited < RECORDS_WAIT && self.awaits_versions(BootTime::now(), service) => {}
                result => return result,
            }
            compio::time::sleep(RECORDS_POLL_INTERVAL).await;
        }
    }

    /// Returns whether more about the versions of a service is about to be learned, and asks for it.
    fn awaits_versions(&self, now: BootTime, service: &str) -> bool {
        let histories = self.software_histories.borrow();
        let is_current = |history: &SoftwareHistory| history.is_current(now);
        let is_current = histories.get(service).is_none_or(is_current);
        if !is_current {
            self.recent_list_needed.notify(usize::MAX);
        }
        !is_current || !self.knows_software_records.get()
    }

    /// Waits until a request needs a more recent list of targets than is known.
    pub async fn recent_list_needed(&self) {
        self.recent_list_needed.listen().await;
    }

    /// Returns the software version that a resumption needs by what is known now, like [`Forwarder::required_software`].
    fn known_software(
        &self,
        now: Instant,
        request: &CallerRequest,
        service: &str,
    ) -> Result<Option<RequiredSoftware>, AttemptFailure> {
        if request.metadata.resumption.is_none() {
            return Ok(None);
        }
        let stream_origins = self.stream_origins.borrow();
        if let Some(software) = stream_origins.software(now, request.stream_id()) {
            return Ok(Some(RequiredSoftware(software.clone())));
        }
        let histories = self.software_histories.borrow();
        let (boot_now, max_age) = (BootTime::now(), request.route.timeout);
        let reports_missing_at = self.engine_requests.reports_missing_at(boot_now);
        let assumed = histories
            .get(service)
            .map_or(AssumedOrigin::Any, |history| {
                history.assumed_origin(boot_now, max_age, reports_missing_at)
            });
        match assumed {
            AssumedOrigin::Any => Ok(None),
            AssumedOrigin::Version(software) => Ok(Some(RequiredSoftware(software))),
            AssumedOrigin::Unknown => Err(AttemptFailure::unsent(
                FailureCause::OriginUnknown,
                "it is not known at which software version the stream began",
            )),
        }
    }

    /// Returns whether the origins of the streams of a service matter, as its targets may have several software versions.
    pub(crate) fn needs_origins(&self, now: BootTime, service: &str) -> bool {
        let histories = self.software_histories.borrow();
        histories
            .get(service)
            .is_some_and(|history| history.needs_origins(now))
    }

    /// Sets what the control replicas have recorded at `now`: the software versions of each service that has run several at
    /// once.
    pub fn set_software_records(&self, now: BootTime, records: &[SoftwareRecord]) {
        self.knows_software_records.set(true);
        for (service, history) in self.software_histories.borrow_mut().iter_mut() {
            let record = records.iter().find(|record| record.service == *service);
            history.add_record(now, record);
        }
    }

    /// Updates the software versions of each service from the targets that are or were recently listed, after a list was read at
    /// `read_at`.
    pub(crate) fn update_software(&self, read_at: BootTime) {
        let mut versions: HashMap<ServiceName, BTreeSet<Option<SoftwareVersion>>> = HashMap::new();
        for target in self.recent_targets() {
            let listing = target.listing.borrow();
            let versions = versions.entry(listing.service.clone()).or_default();
            versions.insert(listing.software.clone());
        }
        let mut histories = self.software_histories.borrow_mut();
        for (service, versions) in versions {
            let history = histories.entry(service).or_default();
            if history.update(read_at, versions) {
                self.knows_software_records.set(false);
            }
        }
    }

    /// Records that a list read at `read_at` showed the same targets.
    pub(crate) fn confirm_software(&self, read_at: BootTime) {
        for history in self.software_histories.borrow_mut().values_mut() {
            if history.confirm(read_at) {
                self.knows_software_records.set(false);
            }
        }
    }
}
