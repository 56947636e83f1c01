//! Health probes of suspected targets, and discovery of the prompts that engines have cached.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{EngineEvent, TargetName};
use laburnumlug_policy::{Decline, INSPECTION_TIMEOUT, inspection_delay, may_inspect, part_id};
use rand::Rng;

use crate::attempt::CallerRequest;
use crate::attempt_failure::AttemptFailure;
use crate::forwarder::Forwarder;
use crate::header_codec::TargetStatements;
use crate::registry::TargetHandle;

/// Interval between probes of a suspected target; each probe has a cost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of consecutive failed probes after which a target gets requests again all the same.
const MAX_PROBES: u32 = 20;

/// How long a starting process waits for the list of gateways, which divide the inspections among themselves.
const GATEWAY_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a starting process checks whether the list of gateways is known.
const GATEWAY_LIST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after an inspection for which newly connected gateways are sent its result. Gateways that start at the same time
/// inspect engines before they are connected to each other.
const INSPECTION_REPORT_TIME: Duration = Duration::from_secs(10);

/// Interval at which an inspection that is put off checks whether the engine is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A prompt part in the cache of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedPart {
    /// Model that the part was prefilled for.
    pub model: String,
    /// Id of the part.
    pub part: u64,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Answer of a target to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthAnswer {
    /// Whether the instance that was asked has answered, whatever it said.
    pub is_answered: bool,
    /// Whether the target passes the check.
    pub is_healthy: bool,
    /// Statements of the target about itself.
    pub statements: TargetStatements,
}

/// Queries targets about their health and their cached prompts.
pub trait Inspector {
    /// Returns the answer of the instance at `addr` to a health check; without one, the target does not pass.
    fn check_health(
        &self,
        addr: SocketAddr,
        instance: TargetName,
        health_path: String,
    ) -> Pin<Box<dyn Future<Output = HealthAnswer>>>;

    /// Returns the prompt parts that an engine has cached, or `None` if it does not report them.
    fn cached_parts(
        &self,
        addr: SocketAddr,
        instance: TargetName,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<CachedPart>>>>>;
}

impl Forwarder {
    /// Suspends a target until a probe succeeds or the suspicion expires, and informs the other gateways.
    pub(crate) fn suspect(self: &Rc<Self>, now: Instant, target: &Rc<TargetHandle>, reason: &str) {
        if target.health.borrow().is_suspected(now) {
            return;
        }
        log::warn!(target = target.instance.as_str(); "suspended the target until it passes a health check or the suspension expires: {reason}");
        target.mark_suspected(now);
        self.publish_health_change(target, false);
        compio::runtime::spawn(self.clone().probe_until_healthy(target.clone())).detach();
    }

    /// Suspends a target that answers neither requests nor a probe, until it sends something or a probe succeeds.
    pub(crate) fn suspect_silent(
        self: &Rc<Self>,
        now: Instant,
        target: &Rc<TargetHandle>,
        reason: &str,
    ) {
        let is_new = !target.health.borrow().is_suspected(now);
        self.suspect(now, target, reason);
        if is_new {
            target.health.borrow_mut().mark_silent(now);
        }
    }

    /// Records a failed request at a target; if this ejects the target, informs other gateways.
    pub(crate) fn record_failure(&self, now: Instant, target: &TargetHandle) {
        self.record_failed_request(now, target, false);
    }

    /// Records a request at a target whose exchange failed, and returns the failure of its attempt.
    ///
    /// An invalid answer ejects the target at once: an answer without end costs much, and a connection that fails does not
    /// look like one.
    pub(crate) fn record_failed_exchange(
        &self,
        now: Instant,
        request: &CallerRequest,
        target: &TargetHandle,
        err: &laburnumlug_http::Error,
    ) -> AttemptFailure {
        match err.as_over_budget() {
            Some(over) => {
                self.record_ended_answer(now, request, target, over);
                AttemptFailure::answer_lost(err.to_string())
            }
            None if err.is_invalid_answer() => {
                self.record_failed_request(now, target, true);
                AttemptFailure::answer_lost(err.to_string())
            }
            None => {
                target.exchange_ends.borrow_mut().record_end(now);
                self.record_failed_request(now, target, false);
                AttemptFailure::connection_broken(err.to_string())
            }
        }
    }

    /// Records a failed request like [`Forwarder::record_failure`]; one that is conclusive ejects the target at once.
    pub(crate) fn record_failed_request(
        &self,
        now: Instant,
        target: &TargetHandle,
        is_conclusive: bool,
    ) {
        let is_ejected = target
            .health
            .borrow_mut()
            .record_failure(now, is_conclusive);
        if is_ejected {
            log::info!(target = target.instance.as_str(), conclusive = is_conclusive; "ejected the target temporarily: requests to it failed");
            let target = target.instance.clone();
            self.engine_requests
                .publish(EngineEvent::TargetEjected { target });
        }
    }

    /// Returns whether a target passes a health check within the probe timeout, and records what it states there.
    ///
    /// One that has asked for no requests for some time has just answered, and is not probed. One that is leaving is probed,
    /// as it may be gone, and passes although it refuses the check.
    pub(crate) async fn is_healthy(&self, target: &TargetHandle) -> bool {
        let decline = target.status.borrow().decline(Instant::now());
        if let Some((Decline::RetryAfter, _)) = decline {
            return true;
        }
        let listing = target.listing.borrow().clone();
        let path = self.health_path(&listing.service);
        let probe = self
            .inspector
            .check_health(listing.addr, listing.instance, path);
        let Ok(answer) = laburnumlug_http::timeout(PROBE_TIMEOUT, probe).await else {
            return false;
        };
        let now = Instant::now();
        // An answer to a health check that states no limit does not end one.
        self.record_decline(now, target, answer.statements);
        answer.is_healthy || answer.statements.declines_requests()
    }

    /// Probes a suspected target until it is healthy, is no longer listed or has used up its probes.
    async fn probe_until_healthy(self: Rc<Self>, target: Rc<TargetHandle>) {
        for _ in 0..MAX_PROBES {
            compio::time::sleep(PROBE_INTERVAL).await;
            let is_suspected = target.health.borrow().is_suspected(Instant::now());
            if !is_suspected || self.live_target(&target.instance).is_none() {
                return;
            }
            if self.is_healthy(&target).await {
                break;
            }
        }
        self.end_suspicion(
            &target,
            "it passed a health check, or all its probes failed",
        );
        self.record_sign_of_life(Instant::now(), &target);
    }

    /// Sends requests to a suspected target again, and informs the other gateways.
    pub(crate) fn end_suspicion(&self, target: &TargetHandle, reason: &str) {
        log::info!(target = target.instance.as_str(); "ended the suspension of the target: {reason}");
        target.health.borrow_mut().clear_suspicion();
        self.publish_health_change(target, true);
    }

    pub(crate) fn publish_health_change(&self, target: &TargetHandle, serves: bool) {
        let engine = target.instance.clone();
        self.engine_requests
            .publish(EngineEvent::HealthChanged { engine, serves });
    }

    /// Fetches the cached prompt parts of a newly discovered engine, unless another gateway reports them first.
    pub(crate) fn fetch_cached_parts(self: &Rc<Self>, target: Rc<TargetHandle>) {
        let forwarder = self.clone();
        compio::runtime::spawn(async move {
            forwarder.wait_for_inspection_turn(&target.instance).await;
            let mut waited = Duration::ZERO;
            while !may_inspect(waited, target.prefill_queue.borrow().pending_work() > 0)
                && !target.is_cache_known.get()
            {
                compio::time::sleep(IDLE_POLL_INTERVAL).await;
                waited += IDLE_POLL_INTERVAL;
            }
            let declines = target.status.borrow().decline(Instant::now()).is_some();
            if target.is_cache_known.get() || declines {
                return;
            }
            let listing = target.listing.borrow().clone();
            let fetch = forwarder.inspector.cached_parts(listing.addr, listing.instance);
            match laburnumlug_http::timeout(INSPECTION_TIMEOUT, fetch).await {
                Ok(Some(parts)) => forwarder.record_cached_parts(&target, &parts),
                _ => log::info!(target = target.instance.as_str(); "the engine did not report its cached prompts: those from before its discovery stay unknown"),
            }
        })
        .detach();
    }

    /// Waits until the gateways with a lower rendezvous rank for a target have had time to inspect it.
    async fn wait_for_inspection_turn(&self, instance: &str) {
        let mut waited = Duration::ZERO;
        let rank = loop {
            match self.rendezvous_rank(instance) {
                None if waited < GATEWAY_LIST_TIMEOUT => {
                    compio::time::sleep(GATEWAY_LIST_POLL_INTERVAL).await;
                }
                rank => break rank,
            }
            waited += GATEWAY_LIST_POLL_INTERVAL;
        };
        let sample = rand::rng().random_range(0.0..1.0);
        compio::time::sleep(inspection_delay(rank, sample)).await;
    }

    /// Returns whether this process inspected a target within [`INSPECTION_REPORT_TIME`].
    pub(crate) fn has_recent_inspection(&self, now: Instant, target: &TargetHandle) -> bool {
        let inspected_at = target.inspected_at.get();
        inspected_at.is_some_and(|at| now.saturating_duration_since(at) < INSPECTION_REPORT_TIME)
    }

    fn record_cached_parts(self: &Rc<Self>, target: &Rc<TargetHandle>, parts: &[CachedPart]) {
        target.is_cache_known.set(true);
        target.inspected_at.set(Some(Instant::now()));
        let cached_parts = parts
            .iter()
            .map(|part| (part_id(&part.model, part.part), part.tokens));
        let cached_parts: Vec<(u64, u64)> = cached_parts.collect();
        log::info!(
            target = target.instance.as_str(), parts = cached_parts.len();
            "the engine reported its cached prompts"
        );
        let mut kv_cache = target.kv_cache.borrow_mut();
        for (part, tokens) in &cached_parts {
            kv_cache.insert_least_recent(*part, *tokens);
        }
        drop(kv_cache);
        self.report_cached_parts(&target.instance, cached_parts);
    }
}
