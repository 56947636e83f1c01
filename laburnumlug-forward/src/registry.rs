//! Registry of live targets, with the state that this process tracks for each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use laburnumlug::{LiveTarget, Role, ServiceName, TargetList, TargetName};
use laburnumlug_policy::{
    EngineActivity, EngineMemory, ExchangeEnds, ExchangeId, KvCacheEstimate, PendingParts,
    PrefillQueue, RecentSuspects, RunningRequests, TargetHealth, TargetStatus,
};

use crate::departed_targets::DepartedTargets;
use crate::unframed::RunCheck;

/// Initial estimate of an engine's prefill rate, until measurements replace it; about the rate of a current
/// accelerator node with a model of 70 billion parameters.
const INITIAL_PREFILL_TOKENS_PER_SECOND: f64 = 45_000.0;

/// Prefill rate of an engine that also decodes, relative to [`INITIAL_PREFILL_TOKENS_PER_SECOND`]: it prefills in small
/// chunks between the decode steps of other requests.
const DECODE_ENGINE_PREFILL_SHARE: f64 = 0.36;

/// Returns the initial prefill rate of an engine in this role, in tokens per second.
pub(crate) fn initial_prefill_rate(role: Option<Role>) -> f64 {
    match role {
        Some(Role::Prefill) => INITIAL_PREFILL_TOKENS_PER_SECOND,
        _ => INITIAL_PREFILL_TOKENS_PER_SECOND * DECODE_ENGINE_PREFILL_SHARE,
    }
}

/// How long the state of a target is kept after it was last listed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Assumed KV cache capacity of an engine until the service's configured memory is applied, in tokens.
const DEFAULT_KV_CACHE_TOKENS: u64 = 500_000;

/// State tracked for one instance of a target.
pub(crate) struct TargetHandle {
    pub(crate) instance: TargetName,
    /// Latest entry of the target list.
    pub(crate) listing: RefCell<LiveTarget>,
    /// Unfinished requests, both of this process and as reported by other gateways.
    pub(crate) in_flight: Cell<u32>,
    /// Unfinished requests of this process, if the target is an engine.
    pub(crate) own_requests: Cell<u32>,
    /// Streams of this process whose next event is awaited.
    pub(crate) streams: Cell<u32>,
    pub(crate) activity: RefCell<EngineActivity>,
    /// Whether the engine has been silent for too long, so that new prompts are sent elsewhere.
    pub(crate) is_doubted: Cell<bool>,
    /// Whether a probe of the doubted engine is running or scheduled.
    pub(crate) is_probed: Cell<bool>,
    pub(crate) health: RefCell<TargetHealth>,
    /// Notified when the target is suspected to be unreachable.
    pub(crate) suspected: Event,
    pub(crate) prefill_queue: RefCell<PrefillQueue>,
    pub(crate) memory: RefCell<EngineMemory>,
    pub(crate) kv_cache: RefCell<KvCacheEstimate>,
    /// Parts that the prompts in the prefill queue will add to the cache.
    pub(crate) pending_parts: RefCell<PendingParts>,
    /// Whether the cached prompts that the engine held when it was discovered are known.
    pub(crate) is_cache_known: Cell<bool>,
    /// When this process fetched the cached prompts, or `None` if it did not.
    pub(crate) inspected_at: Cell<Option<Instant>>,
    /// Statements of the target about the requests that it accepts.
    pub(crate) status: RefCell<TargetStatus>,
    /// Whether a check for a crash is running.
    pub(crate) is_checked_for_crash: Cell<bool>,
    /// Notified when a check for a crash has ended.
    pub(crate) crash_checked: Event,
    /// Whether the last check found that the target had crashed.
    pub(crate) has_crashed: Cell<bool>,
    /// Exchanges of this process, and those that the target ended without saying that it was finished.
    pub(crate) exchange_ends: RefCell<ExchangeEnds>,
    /// Check whether the target runs that was started last, which answers that end together share.
    pub(crate) run_check: RefCell<Option<RunCheck>>,
    /// Suspects of requests that ended while the target was beginning to run them, and when.
    pub(crate) unfinished_requests: RefCell<RecentSuspects>,
    /// Requests that the target runs and that may crash it, of this process and of other gateways.
    pub(crate) running: RefCell<RunningRequests>,
}

impl TargetHandle {
    fn new(now: Instant, listing: LiveTarget) -> TargetHandle {
        let rate = initial_prefill_rate(listing.role);
        TargetHandle {
            instance: listing.instance.clone(),
            listing: RefCell::new(listing),
            in_flight: Cell::new(0),
            own_requests: Cell::new(0),
            streams: Cell::new(0),
            activity: RefCell::new(EngineActivity::new(now)),
            is_doubted: Cell::new(false),
            is_probed: Cell::new(false),
            health: RefCell::default(),
            suspected: Event::new(),
            prefill_queue: RefCell::new(PrefillQueue::new(now, rate)),
            memory: RefCell::default(),
            kv_cache: RefCell::new(KvCacheEstimate::new(DEFAULT_KV_CACHE_TOKENS)),
            pending_parts: RefCell::default(),
            is_cache_known: Cell::new(false),
            inspected_at: Cell::default(),
            status: RefCell::default(),
            is_checked_for_crash: Cell::new(false),
            crash_checked: Event::new(),
            has_crashed: Cell::new(false),
            exchange_ends: RefCell::default(),
            run_check: RefCell::default(),
            unfinished_requests: RefCell::default(),
            running: RefCell::default(),
        }
    }

    /// Converts a prefill time at this engine to that of an engine that only runs prefill.
    pub(crate) fn prefill_engine_time(&self, time: Duration) -> Duration {
        match self.listing.borrow().role {
            Some(Role::Prefill) => time,
            _ => time.mul_f64(DECODE_ENGINE_PREFILL_SHARE),
        }
    }

    /// Marks the target as suspected to be unreachable, and wakes the requests that wait for it.
    pub(crate) fn mark_suspected(&self, now: Instant) {
        self.health.borrow_mut().mark_suspected(now);
        self.is_doubted.set(false);
        self.suspected.notify(usize::MAX);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        let exchange = self.exchange_ends.borrow_mut().begin(Instant::now());
        InFlightGuard {
            target: self.clone(),
            exchange,
        }
    }
}

/// Counts one request in flight at a target.
pub(crate) struct InFlightGuard {
    pub(crate) target: Rc<TargetHandle>,
    exchange: ExchangeId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.target.exchange_ends.borrow_mut().finish(self.exchange);
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}

/// Live targets, by instance and by service.
#[derive(Default)]
pub(crate) struct TargetRegistry {
    /// When the newest list was read, or `None` before the first.
    read_at: Option<Instant>,
    by_instance: HashMap<TargetName, Rc<TargetHandle>>,
    services: HashMap<ServiceName, Vec<Rc<TargetHandle>>>,
    /// Targets that are no longer listed, and since when; a list may lack a target by mistake.
    unlisted: HashMap<TargetName, (Instant, Rc<TargetHandle>)>,
    pub(crate) departed: DepartedTargets,
}

impl TargetRegistry {
    /// Replaces the targets by a list that was read at `read_at`, unless a newer list is already in place.
    ///
    /// Returns the newly discovered targets; an instance whose address has changed counts as one.
    pub(crate) fn update(&mut self, read_at: Instant, list: TargetList) -> Vec<Rc<TargetHandle>> {
        let mut discovered = Vec::new();
        if self.read_at.is_some_and(|newest| read_at <= newest) {
            return discovered;
        }
        let is_first = self.read_at.replace(read_at).is_none();
        if is_first {
            // One line per target would delay the start on a slow machine.
            log::info!("discovered {} targets", list.targets.len());
        }
        let mut by_instance = HashMap::new();
        for mut listing in list.targets {
            let unlisted = self.unlisted.remove(&listing.instance);
            let known = self.by_instance.remove(&listing.instance);
            let handle = match known.or(unlisted.map(|(_, handle)| handle)) {
                Some(handle) if handle.listing.borrow().addr == listing.addr => {
                    // Leaving is final, although an older page of the list may still show the target as ready.
                    listing.leaving |= handle.listing.borrow().leaving;
                    if listing.leaving && !handle.listing.borrow().leaving {
                        log::info!(target = listing.instance.as_str(); "the target list shows the target as leaving: it gets no new requests");
                    }
                    if handle.listing.borrow().role != listing.role {
                        handle.prefill_queue.replace(PrefillQueue::new(
                            read_at,
                            initial_prefill_rate(listing.role),
                        ));
                    }
                    handle.listing.replace(listing);
                    handle
                }
                _ => {
                    if !is_first {
                        log::info!(
                            target = listing.instance.as_str(), addr = listing.addr.to_string().as_str();
                            "discovered a target of service {}", listing.service
                        );
                    }
                    let is_leaving = self.departed.contains(&listing.instance, listing.addr);
                    let handle = Rc::new(TargetHandle::new(read_at, listing));
                    if is_leaving {
                        log::info!(target = handle.instance.as_str(); "the newly listed target is leaving, as it or another gateway has stated: it gets no requests");
                        handle.status.borrow_mut().record_leaving(read_at);
                    }
                    discovered.push(handle.clone());
                    handle
                }
            };
            let (addr, leaving) = {
                let listing = handle.listing.borrow();
                (listing.addr, listing.leaving)
            };
            if leaving {
                self.departed.record(read_at, &handle.instance, Some(addr));
            }
            by_instance.insert(handle.instance.clone(), handle);
        }
        for (removed, handle) in self.by_instance.drain() {
            log::info!(target = removed.as_str(); "removed the target: it is no longer listed");
            self.unlisted.insert(removed, (read_at, handle));
        }
        self.unlisted
            .retain(|_, (since, _)| read_at.saturating_duration_since(*since) < UNLISTED_RETENTION);
        let mut services: HashMap<ServiceName, Vec<Rc<TargetHandle>>> = HashMap::new();
        for handle in by_instance.values() {
            let service = handle.listing.borrow().service.clone();
            services.entry(service).or_default().push(handle.clone());
        }
        for handles in services.values_mut() {
            handles.sort_by(|a, b| a.instance.cmp(&b.instance));
        }
        self.by_instance = by_instance;
        self.services = services;
        discovered
    }

    /// Records that a list read at `read_at` equals the current one.
    pub(crate) fn confirm_unchanged(&mut self, read_at: Instant) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Returns when the newest list was read.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the targets of a service that accept new requests.
    pub(crate) fn available_targets(&self, service: &str) -> Vec<Rc<TargetHandle>> {
        let handles = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let available = handles.iter().filter(|handle| {
            let listing = handle.listing.borrow();
            !listing.leaving && !listing.changing
        });
        available.cloned().collect()
    }

    /// Returns the targets that are listed, or were until at most [`UNLISTED_RETENTION`] ago.
    pub(crate) fn recent(&self) -> Vec<Rc<TargetHandle>> {
        let unlisted = self.unlisted.values().map(|(_, target)| target);
        self.by_instance.values().chain(unlisted).cloned().collect()
    }

    /// Returns a target if the newest list contains it.
    pub(crate) fn find(&self, instance: &str) -> Option<Rc<TargetHandle>> {
        self.by_instance.get(instance).cloned()
    }

    /// Returns all listed targets.
    pub(crate) fn all(&self) -> Vec<Rc<TargetHandle>> {
        self.by_instance.values().cloned().collect()
    }

    /// Returns the targets that have a role, as only engines do.
    pub(crate) fn engines(&self) -> Vec<Rc<TargetHandle>> {
        let is_engine = |target: &&Rc<TargetHandle>| target.listing.borrow().role.is_some();
        self.by_instance
            .values()
            .filter(is_engine)
            .cloned()
            .collect()
    }

    /// Returns whether a listed target has this address.
    pub(crate) fn has_addr(&self, addr: &std::net::SocketAddr) -> bool {
        self.by_instance
            .values()
            .any(|handle| handle.listing.borrow().addr == *addr)
    }
}

/// Returns whether a target can generate a response, as prefill engines cannot.
pub(crate) fn can_respond(target: &Rc<TargetHandle>) -> bool {
    target.listing.borrow().role != Some(Role::Prefill)
}

/// Returns the targets to which a request may be sent.
///
/// These are the healthy ones, without those that are doubted unless most are. If no healthy target can generate a
/// response, as prefill engines cannot, the least unhealthy targets that can are added as a fallback.
pub(crate) fn selectable_targets(
    now: Instant,
    targets: Vec<Rc<TargetHandle>>,
) -> Vec<Rc<TargetHandle>> {
    let is_usable = |target: &Rc<TargetHandle>| target.health.borrow().is_usable(now);
    let (mut selected, unusable): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_usable);
    if selected.iter().any(can_respond) {
        return without_doubted(selected);
    }
    let mut fallback: Vec<Rc<TargetHandle>> = unusable.into_iter().filter(can_respond).collect();
    // An ejected target, which fails some requests, is a better fallback than a suspected one, which is unreachable.
    let is_suspected = |target: &Rc<TargetHandle>| target.health.borrow().is_suspected(now);
    match fallback.iter().all(is_suspected) {
        true => {
            fallback.sort_by_key(|target| target.health.borrow().usable_at());
            fallback.truncate(1);
        }
        false => fallback.retain(|target| !is_suspected(target)),
    }
    selected.extend(fallback);
    selected
}

/// Removes the doubted targets, unless that leaves less than half or none that can generate a response.
///
/// If most engines seem silent, the cause is likely the connection of this process.
fn without_doubted(targets: Vec<Rc<TargetHandle>>) -> Vec<Rc<TargetHandle>> {
    let is_certain = |target: &&Rc<TargetHandle>| !target.is_doubted.get();
    let certain = targets.iter().filter(is_certain);
    let can_respond = certain
        .clone()
        .any(|target| target.listing.borrow().role != Some(Role::Prefill));
    match can_respond && certain.clone().count() * 2 >= targets.len() {
        true => certain.cloned().collect(),
        false => targets,
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
