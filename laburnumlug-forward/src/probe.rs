//! Questions to targets about themselves.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{EngineEvent, TargetName};
use laburnumlug_policy::part_id;
use rand::Rng;

use crate::directory::TargetHandle;
use crate::forwarder::Forwarder;

/// Time between two probes of a suspected target; probes are priced.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Most probes of one target in a row; afterwards it gets requests again.
const MAX_PROBES: u32 = 20;

/// How long a process that has just started waits to learn of the others, which divide the inspections.
const MEMBERS_WAIT: Duration = Duration::from_millis(800);

/// Time between two looks at that.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which each process leaves an inspection to the one before it; the first that knows tells the others.
const INSPECTION_TURN: Duration = Duration::from_millis(150);

/// Most turns that are waited for.
const MAX_TURNS: usize = 6;

/// How long an engine may take to tell what it holds.
const INSPECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// A part of a prompt that an engine holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldPart {
    /// Model for which it was read.
    pub model: String,
    /// Id of the part.
    pub part: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Asks targets about themselves.
pub trait Inspector {
    /// Returns whether the target of this instance answers its health check.
    fn serves(
        &self,
        addr: SocketAddr,
        instance: TargetName,
        health_path: String,
    ) -> Pin<Box<dyn Future<Output = bool>>>;

    /// Returns the prompt parts that an engine holds; `None` where it does not tell.
    fn held_parts(
        &self,
        addr: SocketAddr,
        instance: TargetName,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<HeldPart>>>>>;
}

impl Forwarder {
    /// Keeps requests from a target to which nothing gets through until a probe does, here and at other gateways.
    pub(crate) fn suspect(self: &Rc<Self>, now: Instant, target: &Rc<TargetHandle>, reason: &str) {
        if target.health.borrow().is_suspected(now) {
            return;
        }
        log::warn!(target = target.instance.as_str(); "the target gets no requests for now: {reason}");
        target.health.borrow_mut().mark_suspected(now);
        self.tell_reachable(target, false);
        compio::runtime::spawn(self.clone().probe(target.clone())).detach();
    }

    /// Notes that a request failed at a target; other processes are told where it gets none for a while.
    pub(crate) fn note_failure(&self, now: Instant, target: &TargetHandle) {
        if target.health.borrow_mut().record_failure(now, false) {
            log::info!(target = target.instance.as_str(); "the target gets no requests for a while: it fails");
            let target = target.instance.clone();
            self.ledger.tell(EngineEvent::TargetEjected { target });
        }
    }

    /// Returns whether a target answers its health check now.
    pub(crate) async fn serves(&self, target: &TargetHandle) -> bool {
        let row = target.row.borrow().clone();
        let path = self.health_path(&row.service);
        let probe = self.inspector.serves(row.addr, row.instance, path);
        matches!(compio::time::timeout(PROBE_TIMEOUT, probe).await, Ok(true))
    }

    async fn probe(self: Rc<Self>, target: Rc<TargetHandle>) {
        for _ in 0..MAX_PROBES {
            compio::time::sleep(PROBE_INTERVAL).await;
            if self.target(&target.instance).is_none() {
                return;
            }
            if self.serves(&target).await {
                break;
            }
        }
        log::info!(target = target.instance.as_str(); "the target gets requests again");
        target.health.borrow_mut().clear_suspicion();
        self.tell_reachable(&target, true);
    }

    fn tell_reachable(&self, target: &TargetHandle, serves: bool) {
        let engine = target.instance.clone();
        self.ledger
            .tell(EngineEvent::HealthChanged { engine, serves });
    }

    /// Asks an engine that was just found what it holds, unless another gateway tells first.
    pub(crate) fn inspect(self: &Rc<Self>, target: Rc<TargetHandle>) {
        let forwarder = self.clone();
        compio::runtime::spawn(async move {
            forwarder.wait_for_turn(&target.instance).await;
            if target.is_inspected.get() {
                return;
            }
            let row = target.row.borrow().clone();
            let asking = forwarder.inspector.held_parts(row.addr, row.instance);
            match compio::time::timeout(INSPECTION_TIMEOUT, asking).await {
                Ok(Some(parts)) => forwarder.note_held(&target, &parts),
                _ => log::info!(target = target.instance.as_str(); "the engine does not tell what it holds"),
            }
        })
        .detach();
    }

    /// Waits until the processes that come first for a target have had their time to inspect it.
    async fn wait_for_turn(&self, instance: &str) {
        let mut waited = Duration::ZERO;
        let rank = loop {
            match self.duty_rank(instance) {
                Some(rank) => break rank.min(MAX_TURNS),
                None if waited >= MEMBERS_WAIT => break rand::rng().random_range(0..MAX_TURNS),
                None => compio::time::sleep(MEMBERS_INTERVAL).await,
            }
            waited += MEMBERS_INTERVAL;
        };
        compio::time::sleep(INSPECTION_TURN * rank as u32).await;
    }

    fn note_held(&self, target: &Rc<TargetHandle>, parts: &[HeldPart]) {
        target.is_inspected.set(true);
        let held = parts
            .iter()
            .map(|part| (part_id(&part.model, part.part), part.tokens));
        let held: Vec<(u64, u64)> = held.collect();
        log::info!(target = target.instance.as_str(), parts = held.len(); "the engine told what it holds");
        let mut cache = target.cache.borrow_mut();
        for (part, tokens) in &held {
            cache.insert_least_recent(*part, *tokens);
        }
        let engine = target.instance.clone();
        self.ledger.tell(EngineEvent::CacheContents {
            engine,
            parts: held,
        });
    }
}
