//! The queue of a target process before its engine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use laburnumlug::{AdmissionPolicy, CallerName, Policy};
use laburnumlug_policy::{
    CallerActivity, EngineLimits, EngineRates, OutputPredictor, PrefixHashes, PrefixIndex,
    QueueView, RateMeter, Refusal, WorkItem, admission, next_to_start, prefill_wait_time,
};

/// Prompt tokens that the index of cached prefixes remembers.
const PREFIX_INDEX_TOKENS: u64 = 64 * 1024;

/// How long an idle engine's rates are believed.
const RATES_VALID: Duration = Duration::from_secs(10);

/// Share of the predicted answer that still counts as to come once the prediction has been passed.
const OVERRUN_SHARE: f64 = 0.1;

/// A completion that a target process is asked to take.
pub(super) struct Offer {
    pub(super) caller: CallerName,
    pub(super) deadline: Instant,
    pub(super) pieces: u64,
    pub(super) prompt: PrefixHashes,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    pub(super) resume_at: u64,
}

/// A completion that was taken and has not ended.
struct Job {
    id: u64,
    caller: CallerName,
    deadline: Instant,
    pieces: u64,
    prompt: PrefixHashes,
    prompt_tokens: u64,
    max_tokens: u64,
    /// Prompt tokens that the engine has to read.
    prefill_tokens: f64,
    /// Predicted tokens of the answer from where this attempt begins.
    decode_tokens: f64,
    started_at: Option<Instant>,
    /// Whether other prompts were read at the same time.
    shared_prefill: bool,
    last_piece_at: Option<Instant>,
    generated: u64,
    start: Option<oneshot::Sender<Result<(), GivenUp>>>,
}

/// A completion that was taken and never started, since its answer can no longer be in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct GivenUp;

struct State {
    policy: Policy,
    limits: EngineLimits,
    jobs: Vec<Job>,
    next_id: u64,
    meter: RateMeter,
    /// When the last piece was measured.
    measured_at: Option<Instant>,
    predictor: OutputPredictor,
    prefixes: PrefixIndex,
    activity: CallerActivity,
}

/// The queue of a target process before its engine.
pub(super) struct WorkQueue {
    state: RefCell<State>,
}

/// What an entry learns of the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLoad {
    /// Time until a further prompt would begin to be read.
    pub(super) waiting: Duration,
    pub(super) rates: EngineRates,
}

impl WorkQueue {
    /// Creates an empty queue.
    pub(super) fn new() -> Rc<WorkQueue> {
        let state = State {
            policy: Policy::default(),
            limits: EngineLimits {
                capacity_pieces: 0,
                prompts_at_once: 1,
            },
            jobs: Vec::new(),
            next_id: 0,
            meter: RateMeter::new(),
            measured_at: None,
            predictor: OutputPredictor::default(),
            prefixes: PrefixIndex::new(PREFIX_INDEX_TOKENS),
            activity: CallerActivity::default(),
        };
        Rc::new(WorkQueue {
            state: RefCell::new(state),
        })
    }

    /// Decides on an offer under the service's policy and takes it or not.
    ///
    /// # Errors
    ///
    /// Returns why the offer is refused; it is not taken then.
    pub(super) fn offer(
        self: &Rc<WorkQueue>,
        now: Instant,
        policy: &Policy,
        capacity_pieces: u64,
        offer: Offer,
    ) -> Result<Ticket, Refusal> {
        let mut state = self.state.borrow_mut();
        state.policy = policy.clone();
        state.forget_stale_rates(now);
        state.limits = limits(policy, capacity_pieces);
        let active_callers = state.activity.record_request(now, &offer.caller);
        // The rest of an answer that has begun was promised already.
        let promised = offer.resume_at > 0 && offer.pieces <= capacity_pieces;
        let mut job = state.job(offer);
        let works = state.works(now);
        let view = QueueView {
            rates: state.meter.rates(),
            limits: state.limits,
            items: &works,
            active_callers,
        };
        if !promised {
            admission(policy).decide(now, &job.work(now, &view.rates), &view)?;
        }
        let (tx, rx) = oneshot::channel();
        job.start = Some(tx);
        let id = job.id;
        state.jobs.push(job);
        state.start_ready(now);
        Ok(Ticket {
            queue: self.clone(),
            id,
            start: RefCell::new(Some(rx)),
        })
    }

    /// Returns what entries learn of the queue.
    pub(super) fn load(&self, now: Instant) -> QueueLoad {
        let state = self.state.borrow();
        let rates = state.meter.rates();
        let works = state.works(now);
        QueueLoad {
            waiting: prefill_wait_time(&rates, &state.limits, &works),
            rates,
        }
    }
}

/// Without admission by deadline, everything that was taken goes to the engine at once.
fn limits(policy: &Policy, capacity_pieces: u64) -> EngineLimits {
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

impl State {
    /// Forgets old rates of an idle engine, so that no wrong one refuses everything for good.
    fn forget_stale_rates(&mut self, now: Instant) {
        let is_stale = |at: Instant| now.saturating_duration_since(at) > RATES_VALID;
        if self.jobs.is_empty() && self.measured_at.is_some_and(is_stale) {
            self.meter = RateMeter::new();
            self.measured_at = None;
        }
    }

    fn job(&mut self, offer: Offer) -> Job {
        let id = self.next_id;
        self.next_id += 1;
        let matched = self.prefixes.matched_tokens(&offer.prompt);
        let spread = self.policy.output_spread;
        let predicted = self
            .predictor
            .predict(&offer.caller, offer.max_tokens, spread);
        // A resumed answer's earlier tokens are read like a prompt.
        let to_read = offer.prompt_tokens.saturating_sub(matched) + offer.resume_at;
        Job {
            id,
            caller: offer.caller,
            deadline: offer.deadline,
            pieces: offer.pieces,
            prompt: offer.prompt,
            prompt_tokens: to_read,
            max_tokens: offer.max_tokens,
            prefill_tokens: to_read.max(1) as f64,
            decode_tokens: (predicted - offer.resume_at as f64).max(1.0),
            started_at: None,
            shared_prefill: false,
            last_piece_at: None,
            generated: offer.resume_at,
            start: None,
        }
    }

    fn works(&self, now: Instant) -> Vec<WorkItem> {
        let rates = self.meter.rates();
        self.jobs.iter().map(|job| job.work(now, &rates)).collect()
    }

    /// Starts all work that may start, and gives up waiting work that can no longer be in time.
    fn start_ready(&mut self, now: Instant) {
        if self.policy.admission == AdmissionPolicy::Deadline {
            self.give_up_hopeless(now);
        }
        loop {
            let works = self.works(now);
            let Some(i) = next_to_start(&self.limits, works.iter()) else {
                return;
            };
            let reading = works.iter().any(WorkItem::is_prefilling);
            if reading {
                for job in self.jobs.iter_mut().filter(|job| job.is_prefilling()) {
                    job.shared_prefill = true;
                }
            }
            let job = &mut self.jobs[i];
            job.started_at = Some(now);
            job.shared_prefill = reading;
            self.prefixes.insert(&job.prompt);
            // A receiver that is gone has left the queue as well, or will at once.
            if let Some(start) = job.start.take() {
                let _ = start.send(Ok(()));
            }
        }
    }

    /// Gives up waiting work that even an idle engine could not answer in time any more.
    fn give_up_hopeless(&mut self, now: Instant) {
        let rates = self.meter.rates();
        self.jobs.retain_mut(|job| {
            let hopeless = job.started_at.is_none() && job.shortest_time(&rates) > job.left(now);
            if hopeless && let Some(start) = job.start.take() {
                let _ = start.send(Err(GivenUp));
            }
            !hopeless
        });
    }

    fn note_piece(&mut self, now: Instant, id: u64, tokens: u64) {
        let decodes = self
            .jobs
            .iter()
            .filter(|job| job.last_piece_at.is_some())
            .count();
        let Some(job) = self.jobs.iter_mut().find(|job| job.id == id) else {
            return;
        };
        job.generated += tokens;
        self.measured_at = Some(now);
        let (started_at, last) = (job.started_at, job.last_piece_at.replace(now));
        match (started_at, last) {
            (_, Some(last)) => self.meter.record_tokens(decodes, tokens, now - last),
            (Some(started_at), None) => {
                if !job.shared_prefill {
                    // The first piece comes one token after the prompt was read.
                    let token_time = self.meter.rates().token_time(decodes + 1);
                    let time = (now - started_at).saturating_sub(token_time);
                    let at_least = (now - started_at) / 2;
                    self.meter
                        .record_prefill(job.prompt_tokens.max(1), time.max(at_least));
                }
                self.start_ready(now);
            }
            (None, None) => {}
        }
    }

    fn remove(&mut self, now: Instant, id: u64) {
        self.jobs.retain(|job| job.id != id);
        self.start_ready(now);
    }
}

impl Job {
    fn is_prefilling(&self) -> bool {
        self.started_at.is_some() && self.last_piece_at.is_none()
    }

    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time from start to end with nothing else in the engine.
    fn shortest_time(&self, rates: &EngineRates) -> Duration {
        let reading = self.prefill_tokens / rates.prefill_tokens_per_second;
        Duration::from_secs_f64(reading) + rates.token_time(1).mul_f64(self.decode_tokens)
    }

    /// Returns the job as the decisions see it.
    fn work(&self, now: Instant, rates: &EngineRates) -> WorkItem {
        let prefill_tokens = match (self.started_at, self.last_piece_at) {
            (_, Some(_)) => 0.0,
            (None, None) => self.prefill_tokens,
            (Some(started_at), None) => {
                let read = (now - started_at).as_secs_f64() * rates.prefill_tokens_per_second;
                (self.prefill_tokens - read).max(1.0)
            }
        };
        let decode_tokens = (self.decode_tokens - self.generated as f64)
            .max(OVERRUN_SHARE * self.decode_tokens)
            .min(self.max_tokens.saturating_sub(self.generated) as f64);
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

/// A place in the queue; dropping it leaves the queue.
pub(super) struct Ticket {
    queue: Rc<WorkQueue>,
    id: u64,
    start: RefCell<Option<oneshot::Receiver<Result<(), GivenUp>>>>,
}

impl Ticket {
    /// Waits until the engine may have the completion.
    ///
    /// # Errors
    ///
    /// Fails when the completion was given up; it has not run then.
    pub(super) async fn started(&self) -> Result<(), GivenUp> {
        let start = self.start.take();
        match start {
            Some(start) => start.await.unwrap_or(Err(GivenUp)),
            None => Ok(()),
        }
    }

    /// Notes that the engine sent `tokens` tokens.
    pub(super) fn note_piece(&self, now: Instant, tokens: u64) {
        self.queue
            .state
            .borrow_mut()
            .note_piece(now, self.id, tokens);
    }

    /// Notes that the answer was whole with `tokens` tokens.
    pub(super) fn note_end(&self, tokens: u64) {
        let mut state = self.queue.state.borrow_mut();
        let State {
            jobs, predictor, ..
        } = &mut *state;
        if let Some(job) = jobs.iter().find(|job| job.id == self.id) {
            predictor.record(&job.caller, job.max_tokens, tokens);
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
