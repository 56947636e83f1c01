//! Admission queue in front of the engine, which starts completions in the order of their deadlines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use laburnumlug::{AdmissionPolicy, CallerName, Policy};
use laburnumlug_policy::{
    CallerActivity, EngineLimits, EngineRates, OutputPredictor, PrefixHashes, PrefixIndex,
    QueueView, RateMeter, Refusal, WorkItem, admission, next_to_start, prefill_wait_time,
};

/// Capacity of the index of cached prefixes, in prompt tokens.
const PREFIX_INDEX_TOKENS: u64 = 64 * 1024;

/// Maximum age of an idle engine's measured rates; older ones are discarded.
const MAX_IDLE_RATES_AGE: Duration = Duration::from_secs(10);

/// Minimum share of the predicted answer tokens that counts as remaining, also after the prediction was exceeded, but
/// never more tokens than the output limit leaves.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// A completion for which admission is requested.
pub(super) struct QueueRequest {
    pub(super) caller: CallerName,
    pub(super) deadline: Instant,
    /// KV cache that the completion needs, in pieces of 1,024 tokens.
    pub(super) pieces: u64,
    pub(super) prompt: PrefixHashes,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    /// Number of answer tokens that the caller has from earlier attempts.
    pub(super) resume_at: u64,
}

/// An admitted completion that has not ended.
struct Completion {
    id: u64,
    caller: CallerName,
    deadline: Instant,
    pieces: u64,
    prompt: PrefixHashes,
    /// Tokens that need prefill: the prompt without its cached prefix, and the answer tokens before this attempt.
    uncached_tokens: u64,
    max_tokens: u64,
    /// `uncached_tokens` as used in predictions, at least 1.
    prefill_tokens: f64,
    /// Predicted answer tokens from the start of this attempt.
    decode_tokens: f64,
    started_at: Option<Instant>,
    /// Whether other prompts were in prefill at the same time, so the prefill rate cannot be measured.
    concurrent_prefill: bool,
    last_chunk_at: Option<Instant>,
    /// Answer tokens generated so far, including those before this attempt.
    generated_tokens: u64,
    /// Notifies the ticket that the completion has started or was dropped; `None` once used.
    start_tx: Option<oneshot::Sender<Result<(), DeadlineUnreachable>>>,
}

/// Error of an admitted completion that was dropped before it started, because it can no longer meet its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct DeadlineUnreachable;

struct QueueState {
    policy: Policy,
    limits: EngineLimits,
    completions: Vec<Completion>,
    next_id: u64,
    rate_meter: RateMeter,
    /// When the rates were last measured, which is when the last chunk was recorded.
    measured_at: Option<Instant>,
    predictor: OutputPredictor,
    prefixes: PrefixIndex,
    caller_activity: CallerActivity,
}

/// Admission queue in front of an engine.
pub(super) struct WorkQueue {
    state: RefCell<QueueState>,
}

/// The queue's part of a load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLoad {
    /// Predicted time until the prefill of one more prompt would start.
    pub(super) prefill_wait: Duration,
    pub(super) rates: EngineRates,
}

impl WorkQueue {
    pub(super) fn new() -> Rc<WorkQueue> {
        let state = QueueState {
            policy: Policy::default(),
            limits: EngineLimits {
                capacity_pieces: 0,
                prompts_at_once: 1,
            },
            completions: Vec::new(),
            next_id: 0,
            rate_meter: RateMeter::new(),
            measured_at: None,
            predictor: OutputPredictor::default(),
            prefixes: PrefixIndex::new(PREFIX_INDEX_TOKENS),
            caller_activity: CallerActivity::default(),
        };
        Rc::new(WorkQueue {
            state: RefCell::new(state),
        })
    }

    /// Admits a completion under the service's policy and enqueues it.
    ///
    /// # Errors
    ///
    /// Returns why the completion is refused; it is not enqueued then.
    pub(super) fn enqueue(
        self: &Rc<WorkQueue>,
        now: Instant,
        policy: &Policy,
        capacity_pieces: u64,
        request: QueueRequest,
    ) -> Result<Ticket, Refusal> {
        let mut state = self.state.borrow_mut();
        state.policy = policy.clone();
        state.discard_stale_rates(now);
        state.limits = engine_limits(policy, capacity_pieces);
        let active_callers = state.caller_activity.record_request(now, &request.caller);
        // A resumed answer has been admitted before, so it only has to fit into the target's capacity.
        let already_admitted = request.resume_at > 0 && request.pieces <= capacity_pieces;
        let mut completion = state.new_completion(request);
        let work_items = state.work_items(now);
        let view = QueueView {
            rates: state.rate_meter.rates(),
            limits: state.limits,
            items: &work_items,
            active_callers,
        };
        if !already_admitted {
            admission(policy).decide(now, &completion.to_work_item(now, &view.rates), &view)?;
        }
        let (tx, rx) = oneshot::channel();
        completion.start_tx = Some(tx);
        let id = completion.id;
        state.completions.push(completion);
        state.start_ready(now);
        Ok(Ticket {
            queue: self.clone(),
            id,
            start_rx: RefCell::new(Some(rx)),
        })
    }

    /// Returns the queue's part of a load report.
    pub(super) fn load(&self, now: Instant) -> QueueLoad {
        let state = self.state.borrow();
        let rates = state.rate_meter.rates();
        let work_items = state.work_items(now);
        QueueLoad {
            prefill_wait: prefill_wait_time(&rates, &state.limits, &work_items),
            rates,
        }
    }
}

/// Returns the limits under which completions start.
///
/// Without admission by deadline, every admitted completion goes to the engine at once.
fn engine_limits(policy: &Policy, capacity_pieces: u64) -> EngineLimits {
    match policy.admission {
        AdmissionPolicy::Capacity => EngineLimits {
            capacity_pieces,
            prompts_at_once: usize::MAX,
        },
        AdmissionPolicy::Deadline => EngineLimits {
            capacity_pieces,
            prompts_at_once: policy.prompts_at_once.get() as usize,
        },
    }
}

impl QueueState {
    /// Discards old rates of an idle engine, so that a wrong rate cannot refuse all requests forever.
    fn discard_stale_rates(&mut self, now: Instant) {
        let is_stale = |at: Instant| now.saturating_duration_since(at) > MAX_IDLE_RATES_AGE;
        if self.completions.is_empty() && self.measured_at.is_some_and(is_stale) {
            self.rate_meter = RateMeter::new();
            self.measured_at = None;
        }
    }

    /// Predicts the prefill and decode work of a request and returns it as a completion that is not queued yet.
    fn new_completion(&mut self, request: QueueRequest) -> Completion {
        let id = self.next_id;
        self.next_id += 1;
        let matched = self.prefixes.matched_tokens(&request.prompt);
        let spread = self.policy.output_spread;
        let predicted = self
            .predictor
            .predict(&request.caller, request.max_tokens, spread);
        // The existing tokens of a resumed answer go through prefill like a prompt.
        let uncached = request.prompt_tokens.saturating_sub(matched) + request.resume_at;
        Completion {
            id,
            caller: request.caller,
            deadline: request.deadline,
            pieces: request.pieces,
            prompt: request.prompt,
            uncached_tokens: uncached,
            max_tokens: request.max_tokens,
            prefill_tokens: uncached.max(1) as f64,
            decode_tokens: (predicted - request.resume_at as f64).max(1.0),
            started_at: None,
            concurrent_prefill: false,
            last_chunk_at: None,
            generated_tokens: request.resume_at,
            start_tx: None,
        }
    }

    fn work_items(&self, now: Instant) -> Vec<WorkItem> {
        let rates = self.rate_meter.rates();
        self.completions
            .iter()
            .map(|completion| completion.to_work_item(now, &rates))
            .collect()
    }

    /// Starts all completions that may start and drops waiting completions that can no longer meet their deadline.
    fn start_ready(&mut self, now: Instant) {
        if self.policy.admission == AdmissionPolicy::Deadline {
            self.drop_unreachable_completions(now);
        }
        loop {
            let work_items = self.work_items(now);
            let Some(i) = next_to_start(&self.limits, work_items.iter()) else {
                return;
            };
            let prefilling = work_items.iter().any(WorkItem::is_prefilling);
            if prefilling {
                for completion in self
                    .completions
                    .iter_mut()
                    .filter(|completion| completion.is_prefilling())
                {
                    completion.concurrent_prefill = true;
                }
            }
            let completion = &mut self.completions[i];
            completion.started_at = Some(now);
            completion.concurrent_prefill = prefilling;
            self.prefixes.insert(&completion.prompt);
            // A dropped ticket removes its completion from the queue, so a failed send needs no handling.
            if let Some(start_tx) = completion.start_tx.take() {
                let _ = start_tx.send(Ok(()));
            }
        }
    }

    /// Drops waiting completions that even an idle engine could no longer finish by their deadline.
    fn drop_unreachable_completions(&mut self, now: Instant) {
        let rates = self.rate_meter.rates();
        self.completions.retain_mut(|completion| {
            let is_unreachable = completion.started_at.is_none()
                && completion.min_run_time(&rates) > completion.time_left(now);
            if is_unreachable && let Some(start_tx) = completion.start_tx.take() {
                let _ = start_tx.send(Err(DeadlineUnreachable));
            }
            !is_unreachable
        });
    }

    /// Updates the measured rates with a chunk, and starts waiting completions if it ends a prefill.
    fn record_chunk(&mut self, now: Instant, id: u64, tokens: u64) {
        let decoding = self
            .completions
            .iter()
            .filter(|completion| completion.last_chunk_at.is_some())
            .count();
        let Some(completion) = self
            .completions
            .iter_mut()
            .find(|completion| completion.id == id)
        else {
            return;
        };
        completion.generated_tokens += tokens;
        self.measured_at = Some(now);
        let (started_at, previous) = (completion.started_at, completion.last_chunk_at.replace(now));
        match (started_at, previous) {
            (_, Some(previous)) => self
                .rate_meter
                .record_tokens(decoding, tokens, now - previous),
            (Some(started_at), None) => {
                if !completion.concurrent_prefill {
                    // The first chunk arrives one token time after the end of prefill.
                    let token_time = self.rate_meter.rates().token_time(decoding + 1);
                    let prefill_time = (now - started_at).saturating_sub(token_time);
                    let min_time = (now - started_at) / 2;
                    self.rate_meter.record_prefill(
                        completion.uncached_tokens.max(1),
                        prefill_time.max(min_time),
                    );
                }
                self.start_ready(now);
            }
            (None, None) => {}
        }
    }

    /// Removes a completion, and starts waiting ones that its end permits.
    fn remove(&mut self, now: Instant, id: u64) {
        self.completions.retain(|completion| completion.id != id);
        self.start_ready(now);
    }
}

impl Completion {
    fn is_prefilling(&self) -> bool {
        self.started_at.is_some() && self.last_chunk_at.is_none()
    }

    /// Returns the time until the completion's deadline.
    fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the predicted time to prefill and decode the whole completion on an otherwise idle engine.
    fn min_run_time(&self, rates: &EngineRates) -> Duration {
        let prefill_seconds = self.prefill_tokens / rates.prefill_tokens_per_second;
        Duration::from_secs_f64(prefill_seconds) + rates.token_time(1).mul_f64(self.decode_tokens)
    }

    /// Returns the work that remains of the completion, as input to admission and scheduling.
    fn to_work_item(&self, now: Instant, rates: &EngineRates) -> WorkItem {
        let prefill_tokens = match (self.started_at, self.last_chunk_at) {
            (_, Some(_)) => 0.0,
            (None, None) => self.prefill_tokens,
            (Some(started_at), None) => {
                let prefilled = (now - started_at).as_secs_f64() * rates.prefill_tokens_per_second;
                (self.prefill_tokens - prefilled).max(1.0)
            }
        };
        let decode_tokens = (self.decode_tokens - self.generated_tokens as f64)
            .max(MIN_REMAINING_SHARE * self.decode_tokens)
            .min(self.max_tokens.saturating_sub(self.generated_tokens) as f64);
        WorkItem {
            caller: self.caller.clone(),
            deadline: self.deadline,
            pieces: self.pieces,
            prefill_tokens,
            decode_tokens,
            started: self.started_at.is_some(),
        }
    }
}

/// A place in the queue; dropping it removes the completion from the queue.
pub(super) struct Ticket {
    queue: Rc<WorkQueue>,
    id: u64,
    start_rx: RefCell<Option<oneshot::Receiver<Result<(), DeadlineUnreachable>>>>,
}

impl Ticket {
    /// Waits until the completion may be sent to the engine.
    ///
    /// # Errors
    ///
    /// Fails if the completion was dropped because it can no longer meet its deadline; it has not run then.
    pub(super) async fn wait_started(&self) -> Result<(), DeadlineUnreachable> {
        let start_rx = self.start_rx.take();
        match start_rx {
            Some(start_rx) => start_rx.await.unwrap_or(Err(DeadlineUnreachable)),
            None => Ok(()),
        }
    }

    /// Records a chunk of `tokens` tokens from the engine.
    pub(super) fn record_chunk(&self, now: Instant, tokens: u64) {
        self.queue
            .state
            .borrow_mut()
            .record_chunk(now, self.id, tokens);
    }

    /// Records the complete answer of `tokens` tokens as input to the prediction of answer lengths.
    pub(super) fn record_completion(&self, tokens: u64) {
        let mut state = self.queue.state.borrow_mut();
        let QueueState {
            completions,
            predictor,
            ..
        } = &mut *state;
        if let Some(completion) = completions
            .iter()
            .find(|completion| completion.id == self.id)
        {
            predictor.record(&completion.caller, completion.max_tokens, tokens);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue
            .state
            .borrow_mut()
            .remove(Instant::now(), self.id);
    }
}

#[cfg(test)]
mod tests;
