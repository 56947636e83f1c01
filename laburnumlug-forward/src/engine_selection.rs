//! Selection of the engines that serve a prompt.

use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{EngineTraits, Role};
use laburnumlug_policy::{EngineView, LATE_PRIORITY, NoRoom, PromptView, place_prompt};
use rand::Rng;

use crate::attempt::CallerRequest;
use crate::forwarder::Forwarder;
use crate::header_codec::PromptMetadata;
use crate::registry::{TargetHandle, initial_prefill_rate};

/// Assumed share of an engine's memory that holds cached prompts; requests in progress need the rest.
const KV_CACHE_SHARE: f64 = 0.8;

/// Approximate delay that a failed attempt adds: the failure is detected and another engine prefills the prompt.
const FAILED_ATTEMPT_DELAY: Duration = Duration::from_millis(500);

/// Upper bound of the random delay that breaks ties between equal engines; two requests in progress weigh as much.
const MAX_PLACEMENT_JITTER: Duration = Duration::from_millis(1);

/// Engines selected to serve a prompt.
pub(crate) struct EngineSelection {
    /// Engine that generates the response.
    pub(crate) decode_engine: Rc<TargetHandle>,
    /// Engine that prefills the prompt, if it is not the decode engine.
    pub(crate) prefill_engine: Option<Rc<TargetHandle>>,
    /// Prompt tokens that are not cached at the engine that prefills the prompt.
    pub(crate) uncached_tokens: u64,
    /// Predicted time to first token.
    pub(crate) time_to_first_token: Duration,
    /// When the decode engine accepts the request within the rate limit that it states.
    pub(crate) send_at: Instant,
    /// Priority at the engine that prefills the prompt; 0 is the most urgent.
    pub(crate) priority: u8,
}

/// State of engines as inputs of a placement.
pub(crate) struct EngineViews {
    pub(crate) engines: Vec<EngineView>,
    /// Priorities of the prompt at these engines.
    priorities: Vec<u8>,
}

impl Forwarder {
    /// Selects the engines for a prompt from `targets`, or returns [`NoRoom`] if all of them are full.
    pub(crate) fn choose_engines(
        &self,
        now: Instant,
        targets: &[Rc<TargetHandle>],
        traits: &EngineTraits,
        request: &CallerRequest,
        prompt: &PromptMetadata,
    ) -> Result<EngineSelection, NoRoom> {
        let views = self.engine_views(now, targets, traits, request, prompt);
        let view = prompt_view(now, traits, request, prompt);
        let placement = place_prompt(&view, &views.engines)?;
        let reader = placement.prefill_engine.unwrap_or(placement.decode_engine);
        let priority = match placement.is_late(request.route.latency_objective) {
            true => LATE_PRIORITY,
            false => views.priorities[reader],
        };
        let decode_engine = targets[placement.decode_engine].clone();
        let prefill_engine = placement.prefill_engine.map(|i| targets[i].clone());
        if let Some(prefill_engine) = &prefill_engine {
            self.reserve_request(now, prefill_engine);
        }
        Ok(EngineSelection {
            send_at: self.reserve_request(now, &decode_engine),
            decode_engine,
            prefill_engine,
            uncached_tokens: placement.uncached_tokens,
            time_to_first_token: placement.time_to_first_token,
            priority,
        })
    }

    /// Returns the state of engines as inputs of the placement of a prompt.
    pub(crate) fn engine_views(
        &self,
        now: Instant,
        targets: &[Rc<TargetHandle>],
        traits: &EngineTraits,
        request: &CallerRequest,
        prompt: &PromptMetadata,
    ) -> EngineViews {
        set_peer_rates(targets);
        let slot_time = targets.first().map_or(Duration::ZERO, |target| {
            let service = &target.listing.borrow().service;
            self.engine_requests.demand.hold_time(service)
        });
        let kv_cache_tokens = (traits.memory_tokens.get() as f64 * KV_CACHE_SHARE) as u64;
        let (engines, priorities) = targets
            .iter()
            .map(|target| {
                let listing = target.listing.borrow();
                let prefill_queue = target.prefill_queue.borrow();
                let mut kv_cache = target.kv_cache.borrow_mut();
                kv_cache.resize(kv_cache_tokens);
                let matched =
                    kv_cache.match_prompt(&request.prompt_parts, &target.pending_parts.borrow());
                let estimate =
                    prefill_queue.estimate(now, request.rank, prompt.prompt_tokens, &matched);
                let view = EngineView {
                    instance: target.instance.clone(),
                    role: listing.role.unwrap_or(Role::Mixed),
                    is_same_zone: listing.zone == self.cfg.zone,
                    queue_wait: estimate.wait
                        + FAILED_ATTEMPT_DELAY.mul_f64(target.health.borrow().failure_rate()),
                    prefill_rate: prefill_queue.rate(),
                    cached_tokens: estimate.cached_tokens,
                    is_cache_known: target.is_cache_known.get(),
                    running: target.in_flight.get(),
                    slots: listing.slots.max(1),
                    memory_tokens: traits.memory_tokens.get(),
                    used_tokens: target.memory.borrow_mut().used(now),
                    slot_time,
                    limit_wait: target.status.borrow().limit.wait(now),
                    jitter: rand::rng().random_range(Duration::ZERO..MAX_PLACEMENT_JITTER),
                };
                (view, estimate.priority)
            })
            .unzip();
        EngineViews {
            engines,
            priorities,
        }
    }
}

/// Returns a prompt as an input of its placement.
pub(crate) fn prompt_view(
    now: Instant,
    traits: &EngineTraits,
    request: &CallerRequest,
    prompt: &PromptMetadata,
) -> PromptView {
    let prompt_parts = &request.prompt_parts;
    let unshared_tokens = prompt_parts.parts().last().map_or(0, |part| part.1);
    PromptView {
        affinity_part: prompt_parts.affinity_part(),
        tokens: prompt.prompt_tokens,
        shared_tokens: prompt_parts.tokens().saturating_sub(unshared_tokens),
        output_tokens: prompt.output_tokens,
        ttft_objective: request.route.latency_objective,
        time_left: request.time_left(now),
        kv_transfer_time_per_token: kv_transfer_time_per_token(traits),
    }
}

/// Sets the peer rates of engines from the median of their measured rates.
///
/// The engines of a service are usually identical, and a gateway measures few prompts at each, mostly at prefill engines.
fn set_peer_rates(engines: &[Rc<TargetHandle>]) {
    let mut relative_rates: Vec<f64> = engines
        .iter()
        .filter_map(|engine| engine.prefill_queue.borrow().relative_rate())
        .collect();
    relative_rates.sort_by(f64::total_cmp);
    let Some(median) = relative_rates.get(relative_rates.len() / 2) else {
        return;
    };
    for engine in engines {
        let rate = initial_prefill_rate(engine.listing.borrow().role);
        let mut prefill_queue = engine.prefill_queue.borrow_mut();
        prefill_queue.set_peer_rate(rate * median);
    }
}

/// Returns the share of an engine that a prompt of `tokens` tokens holds while it decodes: of its slots or of its
/// memory, whichever is larger.
pub(crate) fn decode_share(traits: &EngineTraits, tokens: u64) -> f64 {
    let of_slots = 1.0 / f64::from(traits.slots.get());
    let of_memory = tokens as f64 / traits.memory_tokens.get() as f64;
    of_slots.max(of_memory)
}

/// Maximum number of tokens for which the time of a transfer is predicted; other gateways may report any number.
const MAX_TRANSFERRED_TOKENS: u64 = 10_000_000;

impl Forwarder {
    /// Returns the expected time until the answer to a prompt begins that is sent now, with this prefill work. Without any, an
    /// engine first transfers the KV cache from another one.
    pub(crate) fn expected_start(
        &self,
        now: Instant,
        target: &TargetHandle,
        priority: u8,
        work: u64,
        tokens: u64,
    ) -> Duration {
        let prefill_queue = target.prefill_queue.borrow();
        let listing = target.listing.borrow();
        let table = self.route_table();
        let traits = table
            .as_ref()
            .and_then(|t| t.engine_traits(&listing.service));
        match traits.and_then(kv_transfer_time_per_token) {
            _ if work > 0 => {
                prefill_queue.waiting_time(now, priority) + prefill_queue.prefill_time(work)
            }
            // The work of a server without a role is not predicted, but grows with the prompt.
            _ if listing.role.is_none() => prefill_queue.prefill_time(tokens),
            Some(per_token) => per_token.mul_f64(tokens.min(MAX_TRANSFERRED_TOKENS) as f64),
            None => Duration::ZERO,
        }
    }
}

/// Returns the time to transfer the KV cache of one token between two engines of an availability zone, or `None` if
/// engines cannot transfer KV caches.
fn kv_transfer_time_per_token(traits: &EngineTraits) -> Option<Duration> {
    let bits = traits.token_bytes as f64 * 8.0;
    let seconds = bits / (traits.link_mbps * 1e6);
    (traits.link_mbps > 0.0).then(|| Duration::from_secs_f64(seconds))
}
