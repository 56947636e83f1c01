//! Selects the prefill and decode engines of a prompt by the predicted time to first token (TTFT).

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use laburnumlug::Role;

use crate::kv_cache::PartId;
use crate::prefill_queue::prefill_work;
use crate::request_limit::max_limit_wait;
use crate::room::{NoRoom, has_memory, may_wait_at, slot_wait};

/// Time from the end of prefill until the caller receives the first token.
pub const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(20);

/// Cost of a KV cache transfer, expressed as engine time: the prompt occupies memory on both engines.
const KV_TRANSFER_PENALTY: Duration = Duration::from_millis(20);

/// Fraction of the TTFT objective up to which a prediction counts as on time, since predictions are uncertain.
const SAFE_OBJECTIVE_FRACTION: f64 = 0.6;

/// Weight of the predicted TTFT relative to engine time.
const TTFT_WEIGHT: f64 = 0.3;

/// Additional weight of the predicted TTFT beyond [`SAFE_OBJECTIVE_FRACTION`] of the objective.
const LATENESS_WEIGHT: f64 = 3.0;

/// Fraction of a prompt's shared tokens that its affinity engine is credited with. It is assumed to have them cached if its
/// cache is not known; otherwise the credit lowers only the cost of the placement, and not the predicted TTFT.
const AFFINITY_CACHED_FRACTION: f64 = 0.3;

/// Maximum time by which a separate prefill is assumed to be delayed by an engine's rate limit.
const MAX_PREFILL_LIMIT_WAIT: Duration = Duration::from_millis(100);

/// State of an engine as an input of [`place_prompt`].
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Instance name, which is an input of rendezvous hashing.
    pub instance: String,
    /// Whether the engine runs prefill, decode or both.
    pub role: Role,
    /// Whether the engine is in the availability zone of this process.
    pub is_same_zone: bool,
    /// Predicted time until the engine starts prefill of a new prompt.
    pub queue_wait: Duration,
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// Leading tokens of the prompt that the engine is known to have cached.
    pub cached_tokens: u64,
    /// Whether `cached_tokens` includes what the engine had cached before this process started.
    pub is_cache_known: bool,
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests that the engine processes at once; further ones wait.
    pub slots: u32,
    /// Tokens that the engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens of its memory that requests use or may use, those that wait for a slot included.
    pub used_tokens: u64,
    /// Mean time that a request holds a slot.
    pub slot_time: Duration,
    /// Time until the engine accepts a request within the rate limit that it states, if it does.
    pub limit_wait: Duration,
    /// Random addition to the predicted TTFT at this engine, with a new sample for each placement.
    ///
    /// It spreads prompts over equal engines, as several processes place prompts concurrently and learn of each other's
    /// placements with a delay.
    pub jitter: Duration,
}

/// A prompt as an input of [`place_prompt`].
#[derive(Clone, Copy, Debug)]
pub struct PromptView {
    /// Last part that is shared with other requests, which selects the affinity engine.
    pub affinity_part: Option<PartId>,
    /// Number of tokens in the whole prompt.
    pub tokens: u64,
    /// Number of tokens in the parts that are shared with other requests.
    pub shared_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u64,
    /// Latency objective for the time to first token.
    pub ttft_objective: Duration,
    /// Time until the deadline, by which the first token must arrive to be of use.
    pub time_left: Duration,
    /// Time to transfer the KV cache of one token between engines of a zone, or `None` if transfers are not possible.
    pub kv_transfer_time_per_token: Option<Duration>,
}

impl PromptView {
    /// Returns the tokens that the request may use in the memory of the engine that generates the answer.
    pub(crate) fn decode_tokens(&self) -> u64 {
        self.tokens.saturating_add(self.output_tokens)
    }
}

/// Engines that were selected for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the engine that generates the answer.
    pub decode_engine: usize,
    /// Index of the engine that runs prefill, or `None` if the decode engine does.
    pub prefill_engine: Option<usize>,
    /// Predicted time to first token.
    pub time_to_first_token: Duration,
    /// Prompt tokens that are not cached and need prefill.
    pub uncached_tokens: u64,
    /// Engine time that the placement consumes.
    engine_time: Duration,
}

impl Placement {
    /// Returns whether the predicted time to first token exceeds the objective.
    pub fn is_late(&self, ttft_objective: Duration) -> bool {
        self.time_to_first_token > ttft_objective
    }
}

/// Selects the engines with the lowest cost for a prompt.
///
/// If no slot is free, a request waits at an engine: slots of many engines become free more often than a refused caller
/// can return. It is refused if its first token is predicted to come after its deadline at each engine: it would delay
/// others in vain. One that is only predicted to miss its objective is not.
///
/// # Errors
///
/// Returns [`NoRoom`] if the slots and queues or the memory of all engines are full, or the deadline would pass before the
/// first token.
///
/// Rendezvous hashing assigns each shared part an affinity engine, which is credited with having some of the shared
/// tokens cached. Requests with the same shared parts thus reach the same engine without coordination between the
/// processes that send them. If the affinity engine has a long queue, another engine has a lower cost.
pub fn place_prompt(prompt: &PromptView, engines: &[EngineView]) -> Result<Placement, NoRoom> {
    let max_wait = max_limit_wait(prompt.ttft_objective);
    let is_within_limit = |engine: &EngineView| engine.limit_wait <= max_wait;
    let has_free_slot = |engine: &EngineView| engine.running < engine.slots;
    place_at(prompt, engines, has_free_slot, is_within_limit)
        .or_else(|| {
            let has_room = |engine: &EngineView| may_wait_at(prompt, engine);
            place_at(prompt, engines, has_room, is_within_limit)
        })
        .ok_or_else(|| NoRoom::new(prompt, engines))
}

/// Selects the engines with the lowest cost among those that `has_room` admits and, to decode, `may_decode`.
///
/// The limits of engines apply to the requests that they run. A separate prefill avoids engines that have reached theirs
/// only if that costs less than [`MAX_PREFILL_LIMIT_WAIT`].
fn place_at<F, G>(
    prompt: &PromptView,
    engines: &[EngineView],
    has_room: F,
    may_decode: G,
) -> Option<Placement>
where
    F: Fn(&EngineView) -> bool,
    G: Fn(&EngineView) -> bool,
{
    let may_decode = |engine: &EngineView| {
        has_room(engine) && has_memory(engine, prompt.decode_tokens()) && may_decode(engine)
    };
    let may_prefill = |engine: &EngineView| has_room(engine) && has_memory(engine, prompt.tokens);
    let affinity_index = prompt
        .affinity_part
        .and_then(|part| affinity_engine(part, engines));
    let single_engine = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != Role::Prefill && may_decode(engine))
        .map(|(i, engine)| {
            let credit = affinity_credit(prompt, affinity_index == Some(i));
            let uncached = uncached_tokens(prompt, engine, credit);
            Placement {
                decode_engine: i,
                prefill_engine: None,
                time_to_first_token: engine
                    .queue_wait
                    .max(slot_wait(engine))
                    .max(engine.limit_wait)
                    + prefill_time(uncached, prompt, engine)
                    + FIRST_TOKEN_OVERHEAD
                    + engine.jitter,
                uncached_tokens: uncached,
                engine_time: credited_prefill_time(prompt, engine, credit),
            }
        });
    let disaggregated = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role == Role::Prefill && may_prefill(engine))
        .filter_map(|(i, engine)| {
            let credit = affinity_credit(prompt, affinity_index == Some(i));
            let uncached = uncached_tokens(prompt, engine, credit);
            let (decode_engine, transfer_time) =
                select_decode_engine(prompt, engine.is_same_zone, engines, may_decode)?;
            let prefill = prefill_time(uncached, prompt, engine);
            Some(Placement {
                decode_engine,
                prefill_engine: Some(i),
                time_to_first_token: engine
                    .queue_wait
                    .max(engine.limit_wait.min(MAX_PREFILL_LIMIT_WAIT))
                    + engine.jitter
                    + prefill
                    + FIRST_TOKEN_OVERHEAD
                    + transfer_time,
                uncached_tokens: uncached,
                engine_time: credited_prefill_time(prompt, engine, credit) + KV_TRANSFER_PENALTY,
            })
        });
    single_engine
        .chain(disaggregated)
        .filter(|placement| placement.time_to_first_token <= prompt.time_left)
        .min_by_key(|placement| cost(prompt, placement))
}

/// Returns the cost of a placement as a time: the engine time that it consumes, plus its weighted TTFT and lateness.
fn cost(prompt: &PromptView, placement: &Placement) -> Duration {
    let lateness = placement
        .time_to_first_token
        .saturating_sub(prompt.ttft_objective.mul_f64(SAFE_OBJECTIVE_FRACTION));
    placement.engine_time
        + placement.time_to_first_token.mul_f64(TTFT_WEIGHT)
        + lateness.mul_f64(LATENESS_WEIGHT)
}

/// Selects the decode engine of a prompt that another engine has prefilled, or returns `None` if no engine has room.
///
/// `is_same_zone` is whether the engine that holds the prompt is in the availability zone of this process.
pub fn place_decode(
    prompt: &PromptView,
    is_same_zone: bool,
    engines: &[EngineView],
) -> Option<usize> {
    let max_wait = max_limit_wait(prompt.ttft_objective);
    let select = |has_room: &dyn Fn(&EngineView) -> bool| {
        let may_decode = |engine: &EngineView| {
            has_room(engine)
                && has_memory(engine, prompt.decode_tokens())
                && engine.limit_wait <= max_wait
        };
        select_decode_engine(prompt, is_same_zone, engines, may_decode)
    };
    let selected = select(&|engine| engine.running < engine.slots)
        .or_else(|| select(&|engine| may_wait_at(prompt, engine)));
    selected.map(|(engine, _)| engine)
}

/// Returns the best decode engine for a prompt after prefill elsewhere, and the predicted time of the transfer.
///
/// `is_same_zone` is whether the engine that prefills the prompt is in the availability zone of this process.
fn select_decode_engine<F>(
    prompt: &PromptView,
    is_same_zone: bool,
    engines: &[EngineView],
    has_room: F,
) -> Option<(usize, Duration)>
where
    F: Fn(&EngineView) -> bool,
{
    let per_token = prompt.kv_transfer_time_per_token?;
    let tokens = u32::try_from(prompt.tokens).unwrap_or(u32::MAX);
    let candidates = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.role != Role::Prefill && has_room(engine));
    candidates
        .map(|(i, engine)| {
            // A transfer between zones is assumed to take twice as long. All engines outside the zone of this process
            // count as one zone.
            let transfer_factor = if engine.is_same_zone == is_same_zone {
                1
            } else {
                2
            };
            (
                i,
                per_token * tokens * transfer_factor
                    + interference(engine)
                    + slot_wait(engine)
                    + engine.limit_wait
                    + engine.jitter,
            )
        })
        .min_by_key(|(_, time)| *time)
}

/// Predicts by how much other requests at a decode engine delay the first token after a separate prefill.
pub(crate) fn interference(engine: &EngineView) -> Duration {
    let load = f64::from(engine.running) / f64::from(engine.slots.max(1));
    // Prefill on the decode engine slows down its token generation.
    engine.queue_wait / 4 + Duration::from_millis(30).mul_f64(load)
}

/// Returns the tokens that an engine is credited with if it is the affinity engine of a prompt.
fn affinity_credit(prompt: &PromptView, is_affinity_engine: bool) -> u64 {
    match is_affinity_engine {
        true => (prompt.shared_tokens as f64 * AFFINITY_CACHED_FRACTION) as u64,
        false => 0,
    }
}

/// Returns the tokens that an engine has to prefill.
pub(crate) fn uncached_tokens(prompt: &PromptView, engine: &EngineView, credit: u64) -> u64 {
    let assumed = match engine.is_cache_known {
        true => 0,
        false => credit,
    };
    let cached = engine.cached_tokens.max(assumed);
    prompt.tokens.saturating_sub(cached).max(1)
}

/// Returns the prefill time by which the cost of an engine is compared.
fn credited_prefill_time(prompt: &PromptView, engine: &EngineView, credit: u64) -> Duration {
    let cached = engine.cached_tokens.max(credit);
    prefill_time(prompt.tokens.saturating_sub(cached).max(1), prompt, engine)
}

pub(crate) fn prefill_time(uncached: u64, prompt: &PromptView, engine: &EngineView) -> Duration {
    let work = prefill_work(uncached, prompt.tokens);
    Duration::from_secs_f64(work as f64 / engine.prefill_rate.max(1.0))
}

/// Returns the affinity engine of a prompt part, by rendezvous hashing weighted with the prefill rates.
fn affinity_engine(part: PartId, engines: &[EngineView]) -> Option<usize> {
    let score = |engine: &EngineView| {
        let mut hasher = DefaultHasher::new();
        (part, &engine.instance).hash(&mut hasher);
        // Uniform in (0, 1]. The logarithm makes each engine's share of the parts proportional to its weight.
        let uniform = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        -engine.prefill_rate / uniform.ln().min(-f64::MIN_POSITIVE)
    };
    let scores = engines.iter().map(score).enumerate();
    scores.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "first_reads_tests.rs"]
mod first_reads_tests;
