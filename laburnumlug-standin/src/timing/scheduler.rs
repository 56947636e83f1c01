//! Scheduler of the timing model: admits, batches and advances completions in wall time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use laburnumlug::{Role, pieces_for_tokens};
use laburnumlug_engine::CompletionRequest;

use super::cache::{CacheEvent, PrefixCache};
use super::model::TimingModel;
use crate::completion::prompt_tokens;

/// Maximum wall time between two sends of newly decoded tokens.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum wall time for which the scheduler sleeps unless a new completion or a role change wakes it.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Wall time after which an idle scheduler checks whether its engine has been dropped.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of load samples that are retained for lagging load reports.
const MAX_LOAD_SAMPLES: usize = 512;

/// Number of tokens below which a remainder counts as zero; also the shortest step of the model, in seconds of model
/// time.
const EPSILON: f64 = 1e-6;

/// A waiting or running completion.
struct Job {
    id: u64,
    priority: i64,
    kv_pieces: u64,
    prompt: String,
    /// Prompt tokens still to prefill.
    remaining_prefill_tokens: f64,
    /// Number of tokens to generate.
    tokens: u64,
    /// Tokens decoded so far, including the fraction of the current one.
    decoded_tokens: f64,
    /// Whole tokens sent so far.
    sent_tokens: u64,
    tx: UnboundedSender<u64>,
}

impl Job {
    fn is_prefilling(&self) -> bool {
        self.remaining_prefill_tokens > 0.0
    }

    fn remaining_decode_tokens(&self) -> f64 {
        self.tokens as f64 - self.decoded_tokens
    }
}

/// Numbers of running and waiting completions at one time.
#[derive(Clone, Copy, Default)]
struct LoadSample {
    running: usize,
    waiting: usize,
}

struct State {
    role: Role,
    /// New role, and when the role change ends and the engine is available again.
    pending_role_change: Option<(Role, Instant)>,
    waiting: Vec<Job>,
    running: Vec<Job>,
    cache: PrefixCache,
    load_samples: VecDeque<(Instant, LoadSample)>,
    /// Time up to which the model has been advanced.
    advanced_to: Instant,
    role_changes: u64,
}

/// Continuous-batching scheduler that runs completions according to a timing model.
pub(crate) struct Scheduler {
    model: TimingModel,
    state: RefCell<State>,
    wakeup: Event,
    next_id: Cell<u64>,
}

impl Scheduler {
    /// Starts the scheduler in the current runtime; it stops when the last reference is dropped.
    pub(crate) fn start(model: TimingModel, now: Instant) -> Rc<Scheduler> {
        let state = State {
            role: Role::Mixed,
            pending_role_change: None,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(model.prefix_cache_tokens),
            load_samples: VecDeque::new(),
            advanced_to: now,
            role_changes: 0,
        };
        let scheduler = Rc::new(Scheduler {
            model,
            state: RefCell::new(state),
            wakeup: Event::new(),
            next_id: Cell::new(0),
        });
        compio::runtime::spawn(run(Rc::downgrade(&scheduler))).detach();
        scheduler
    }

    /// Submits a completion that ends after `tokens` tokens, counted from the start of the completion.
    pub(crate) fn submit(
        self: &Rc<Scheduler>,
        now: Instant,
        req: &CompletionRequest,
        tokens: u64,
    ) -> GenerationHandle {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (tx, rx) = unbounded();
        let prompt_tokens = prompt_tokens(&req.prompt);
        self.advance(now);
        let mut state = self.state.borrow_mut();
        state.waiting.push(Job {
            id,
            priority: req.priority,
            kv_pieces: pieces_for_tokens(prompt_tokens + req.max_tokens),
            prompt: req.prompt.clone(),
            // The earlier tokens of a resumed completion are prefilled like a prompt.
            remaining_prefill_tokens: (prompt_tokens + req.resume_at).max(1) as f64,
            tokens: tokens.saturating_sub(req.resume_at),
            decoded_tokens: 0.0,
            sent_tokens: 0,
            tx,
        });
        state.admit_waiting(&self.model);
        drop(state);
        self.wakeup.notify(1);
        GenerationHandle {
            scheduler: self.clone(),
            id,
            rx,
        }
    }

    /// Sets the role immediately, without the duration of a role change.
    pub(crate) fn set_role(&self, now: Instant, role: Role) {
        self.advance(now);
        self.state.borrow_mut().role = role;
    }

    /// Starts a role change and returns its duration, during which no completion makes progress.
    pub(crate) fn change_role(&self, now: Instant, role: Role) -> Duration {
        self.advance(now);
        let time = self.model.to_wall_time(self.model.role_change_time);
        let mut state = self.state.borrow_mut();
        state.pending_role_change = Some((role, now + time));
        state.role_changes += 1;
        drop(state);
        self.wakeup.notify(1);
        time
    }

    /// Returns the role, which stays the old one during a role change.
    pub(crate) fn role(&self) -> Role {
        self.state.borrow().role
    }

    /// Returns the number of role changes started so far.
    pub(crate) fn role_changes(&self) -> u64 {
        self.state.borrow().role_changes
    }

    /// Returns the number of prompt tokens served from the prefix cache.
    pub(crate) fn hit_tokens(&self) -> u64 {
        self.state.borrow().cache.hit_tokens()
    }

    /// Returns the numbers of running and waiting completions from the newest sample that is at least the report lag
    /// old, or zeros if there is none.
    pub(crate) fn reported_load(&self, now: Instant) -> (usize, usize) {
        let lag = self.model.to_wall_time(self.model.report_lag);
        let state = self.state.borrow();
        let newest_first = state.load_samples.iter().rev();
        let sample = newest_first
            .map(|(at, sample)| (now.saturating_duration_since(*at), sample))
            .find_map(|(age, sample)| (age >= lag).then_some(*sample))
            .unwrap_or_default();
        (sample.running, sample.waiting)
    }

    /// Returns the cache events after sequence number `after`, with the model's lag and drops.
    pub(crate) fn cache_events(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        let lag = self.model.to_wall_time(self.model.cache_event_lag);
        let drop_interval = self.model.cache_event_drop_interval;
        self.state
            .borrow()
            .cache
            .events(now, after, lag, drop_interval)
    }

    fn advance(&self, now: Instant) {
        self.state.borrow_mut().advance(&self.model, now);
    }

    fn cancel(&self, now: Instant, id: u64) {
        self.advance(now);
        let mut state = self.state.borrow_mut();
        state.waiting.retain(|job| job.id != id);
        state.running.retain(|job| job.id != id);
        state.admit_waiting(&self.model);
    }

    /// Returns how long the scheduler may sleep, or `None` if nothing is running and no role change is pending.
    fn sleep_time(&self) -> Option<Duration> {
        let state = self.state.borrow();
        if let Some((_, available_at)) = state.pending_role_change {
            return Some(
                available_at
                    .saturating_duration_since(state.advanced_to)
                    .max(MIN_SLEEP),
            );
        }
        let next = state.seconds_to_next_event(&self.model)?;
        let next = next.min(state.seconds_to_first_token(&self.model));
        let wall_time = self.model.to_wall_time(Duration::from_secs_f64(next));
        Some(wall_time.clamp(MIN_SLEEP, MAX_SEND_INTERVAL))
    }
}

async fn run(scheduler: Weak<Scheduler>) {
    loop {
        let Some(strong) = scheduler.upgrade() else {
            return;
        };
        let woken = strong.wakeup.listen();
        let time = strong.sleep_time().unwrap_or(IDLE_POLL_INTERVAL);
        drop(strong);
        let _ = compio::time::timeout(time, woken).await;
        if let Some(strong) = scheduler.upgrade() {
            strong.advance(Instant::now());
        }
    }
}

impl State {
    /// Advances the model to `now` and sends the tokens decoded meanwhile; during a role change only time passes.
    fn advance(&mut self, model: &TimingModel, now: Instant) {
        if let Some((role, available_at)) = self.pending_role_change {
            self.advanced_to = now.min(available_at).max(self.advanced_to);
            if now < available_at {
                return;
            }
            self.role = role;
            self.pending_role_change = None;
        }
        let wall_time = now.saturating_duration_since(self.advanced_to);
        self.advanced_to = self.advanced_to.max(now);
        let mut remaining = wall_time.as_secs_f64() * model.time_compression;
        while remaining > 0.0 {
            let Some(next) = self.seconds_to_next_event(model) else {
                break;
            };
            let step = next.min(remaining);
            self.step(model, step);
            remaining -= step;
            self.finish_prefills(now);
            self.send_new_tokens();
            self.admit_waiting(model);
        }
        self.record_load(now);
    }

    /// Returns the model time in seconds until the next prefill or completion ends.
    fn seconds_to_next_event(&self, model: &TimingModel) -> Option<f64> {
        let (prefill_rate, decode_rate) = self.rates(model);
        self.running
            .iter()
            .map(|job| match job.is_prefilling() {
                true => job.remaining_prefill_tokens / prefill_rate,
                false => job.remaining_decode_tokens() / decode_rate,
            })
            .min_by(f64::total_cmp)
            .map(|seconds| seconds.max(EPSILON))
    }

    /// Returns the model time in seconds until the next first token of a completion, or infinity.
    fn seconds_to_first_token(&self, model: &TimingModel) -> f64 {
        let (_, decode_rate) = self.rates(model);
        let first = self
            .running
            .iter()
            .filter(|job| !job.is_prefilling() && job.sent_tokens == 0);
        first
            .map(|job| (1.0 - job.decoded_tokens).max(0.0) / decode_rate)
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the prefill rate of each prefilling job and the decode rate of each decoding one, in tokens per second.
    fn rates(&self, model: &TimingModel) -> (f64, f64) {
        let prefilling_jobs = self
            .running
            .iter()
            .filter(|job| job.is_prefilling())
            .count();
        let decoding_jobs = self.running.len() - prefilling_jobs;
        let prefill_rate = model.prefill_rate(self.role) / prefilling_jobs.max(1) as f64;
        let decode_rate = model.decode_rate(self.role, decoding_jobs, prefilling_jobs > 0);
        (prefill_rate, decode_rate)
    }

    fn step(&mut self, model: &TimingModel, seconds: f64) {
        let (prefill_rate, decode_rate) = self.rates(model);
        for job in &mut self.running {
            match job.is_prefilling() {
                true => job.remaining_prefill_tokens -= prefill_rate * seconds,
                false => job.decoded_tokens += decode_rate * seconds,
            }
        }
    }

    fn finish_prefills(&mut self, now: Instant) {
        for job in &mut self.running {
            if job.is_prefilling() && job.remaining_prefill_tokens <= EPSILON {
                job.remaining_prefill_tokens = 0.0;
                self.cache.store(now, &job.prompt);
            }
        }
    }

    /// Sends newly decoded whole tokens and removes completed jobs and those whose receiver is gone.
    fn send_new_tokens(&mut self) {
        self.running.retain_mut(|job| {
            if job.is_prefilling() {
                return true;
            }
            let generated = ((job.decoded_tokens + EPSILON) as u64).min(job.tokens);
            let new_tokens = generated - job.sent_tokens;
            job.sent_tokens = generated;
            if new_tokens > 0 && job.tx.unbounded_send(new_tokens).is_err() {
                return false;
            }
            job.sent_tokens < job.tokens
        });
    }

    /// Admits waiting completions in order of priority until one exceeds the KV cache capacity; an idle engine admits
    /// any.
    fn admit_waiting(&mut self, model: &TimingModel) {
        self.waiting
            .sort_by_key(|job| (std::cmp::Reverse(job.priority), job.id));
        let mut used_pieces: u64 = self.running.iter().map(|job| job.kv_pieces).sum();
        while let Some(job) = self.waiting.first() {
            if used_pieces > 0 && used_pieces + job.kv_pieces > model.kv_pieces {
                return;
            }
            let mut job = self.waiting.remove(0);
            used_pieces += job.kv_pieces;
            let hit_tokens = self.cache.lookup(&job.prompt) as f64;
            job.remaining_prefill_tokens = (job.remaining_prefill_tokens - hit_tokens).max(1.0);
            self.running.push(job);
        }
    }

    fn record_load(&mut self, now: Instant) {
        let sample = LoadSample {
            running: self.running.len(),
            waiting: self.waiting.len(),
        };
        self.load_samples.push_back((now, sample));
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
    }
}

/// Handle of a submitted completion; dropping it cancels the completion.
pub(crate) struct GenerationHandle {
    scheduler: Rc<Scheduler>,
    id: u64,
    rx: UnboundedReceiver<u64>,
}

impl GenerationHandle {
    /// Waits for new tokens and returns their number, or `None` at the end of the completion.
    pub(crate) async fn next(&mut self) -> Option<u64> {
        self.rx.next().await
    }
}

impl Drop for GenerationHandle {
    fn drop(&mut self) {
        self.scheduler.cancel(Instant::now(), self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state() -> State {
        State {
            role: Role::Decode,
            pending_role_change: None,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(64 * 1024),
            load_samples: VecDeque::new(),
            advanced_to: Instant::now(),
            role_changes: 0,
        }
    }

    fn job(id: u64, kv_pieces: u64, prompt_tokens: usize, tokens: u64) -> Job {
        Job {
            id,
            priority: 0,
            kv_pieces,
            prompt: "p".repeat(4 * prompt_tokens),
            remaining_prefill_tokens: prompt_tokens as f64,
            tokens,
            decoded_tokens: 0.0,
            sent_tokens: 0,
            tx: unbounded().0,
        }
    }

    fn model() -> TimingModel {
        TimingModel::default()
            .prefill_tokens_per_second(1000.0)
            .token_time(Duration::from_millis(8), Duration::from_millis(1))
            .kv_pieces(4)
    }

    #[test]
    fn rates_batch_slows_tokens() {
        let model = model();
        let alone = model.decode_rate(Role::Decode, 1, false);
        let eight = model.decode_rate(Role::Decode, 8, false);
        assert!(eight < alone && 8.0 * eight > alone);
    }

    #[test]
    fn rates_prefills_share() {
        let mut state = state();
        state.role = Role::Prefill;
        state.running = vec![job(1, 1, 100, 1), job(2, 1, 100, 1)];
        assert_eq!(state.rates(&model()).0, 500.0);
    }

    #[test]
    fn rates_roles_favour_their_phase() {
        let model = model();
        assert!(model.prefill_rate(Role::Prefill) > model.prefill_rate(Role::Mixed));
        assert!(model.prefill_rate(Role::Mixed) > model.prefill_rate(Role::Decode));
        let decode = |role, prefilling| model.decode_rate(role, 4, prefilling);
        assert!(decode(Role::Decode, true) > decode(Role::Mixed, false));
        assert!(decode(Role::Mixed, false) > decode(Role::Mixed, true));
        assert!(decode(Role::Mixed, true) > decode(Role::Prefill, true));
    }

    #[test]
    fn admit_waiting_capacity_exact_and_above() {
        let mut state = state();
        state.waiting = vec![job(1, 3, 10, 1), job(2, 1, 10, 1), job(3, 1, 10, 1)];
        state.admit_waiting(&model());
        assert_eq!((state.running.len(), state.waiting.len()), (2, 1));
    }

    #[test]
    fn advance_whole_answer() {
        let mut state = state();
        state.role = Role::Prefill;
        let (tx, mut rx) = unbounded();
        let mut job = job(1, 1, 1000, 3);
        job.tx = tx;
        state.running = vec![job];
        // The prefill takes one second, each token 9 ms at 0.3 of the full rate.
        state.advance(&model(), state.advanced_to + Duration::from_millis(1040));
        assert_eq!(rx.try_recv().ok(), Some(1));
        state.advance(&model(), state.advanced_to + Duration::from_millis(60));
        assert!(state.running.is_empty());
    }

    #[test]
    fn advance_during_role_change() {
        let mut state = state();
        let available_at = state.advanced_to + Duration::from_secs(1);
        state.pending_role_change = Some((Role::Prefill, available_at));
        state.running = vec![job(1, 1, 1000, 3)];
        state.advance(&model(), available_at - Duration::from_millis(1));
        assert_eq!(state.running[0].remaining_prefill_tokens, 1000.0);
        state.advance(&model(), available_at + Duration::from_millis(500));
        assert_eq!(state.role, Role::Prefill);
        assert!((state.running[0].remaining_prefill_tokens - 500.0).abs() < 1.0);
    }
}
