//! Models the prefill queue of an engine from the prompts that were sent to it.

use std::time::{Duration, Instant};

use crate::kv_cache::CacheMatch;

/// Minimum weight of the newest prompt in the moving average of an engine's prefill rate. The first prompts weigh more,
/// as the initial estimate may be far off.
const MIN_NEWEST_RATE_WEIGHT: f64 = 0.1;

/// Minimum work of a prompt whose prefill time is a rate sample. The time of shorter ones is mostly overhead.
const MIN_MEASURED_WORK: u64 = 4_000;

/// Bounds of a measured rate relative to the initial estimate, which limit the effect of an outlier.
const RATE_BOUNDS: (f64, f64) = (0.2, 3.0);

/// Range of the ratio of the measured rate to the peer rate within which the peer rate is used.
const PEER_RATE_BOUNDS: (f64, f64) = (0.6, 1.6);

/// Time constant of the decay of an observed delay, which drops to about a third in this time.
const DELAY_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Maximum fraction of the active prompt that is assumed to be done.
const MAX_ACTIVE_PROGRESS: f64 = 0.9;

/// Time after the predicted end of the active prompt's prefill from which the engine counts as paused. It covers the time
/// until the first token arrives, and until another gateway reports it.
const OVERDUE_GRACE: Duration = Duration::from_millis(120);

/// Maximum time that an overdue prompt adds to the predicted wait. Engines that are silent for longer are probed.
const MAX_OVERDUE: Duration = Duration::from_secs(2);

/// Relative increase of a token's prefill time for each token before it. Attention over a prompt of 50,000 tokens costs
/// about as much as the rest of the network.
const ATTENTION_COST_PER_TOKEN: f64 = 2e-5;

/// Identifies a prompt in a prefill queue by its sender and the sender's sequence number.
pub type PrefillId = (u64, u64);

/// Returns the work of prefilling the last `uncached` of `tokens` tokens, in units of a token with an empty context.
pub fn prefill_work(uncached: u64, tokens: u64) -> u64 {
    let mean_context = tokens as f64 - uncached as f64 / 2.0;
    (uncached as f64 * (1.0 + ATTENTION_COST_PER_TOKEN * mean_context)) as u64
}

/// Work below which a prompt gets the highest priority for its size. Each doubling from there lowers the priority by 1.
const SMALL_PROMPT_WORK: u64 = 1_000;

/// Maximum priority value that results from the size of a prompt.
const MAX_SIZE_PRIORITY: u32 = 6;

/// Lowest priority, for prompts that are predicted to miss their latency objective anyway.
pub const LATE_PRIORITY: u8 = 9;

/// Returns the priority of a prompt in an engine's prefill queue, where 0 goes first.
///
/// Engines prefill one prompt after another. Letting short prompts overtake keeps most of them on time and delays the
/// long ones only a little. The rank of the route orders prompts of about the same size; ranks above 2 count as 2.
pub fn prefill_priority(rank: u32, work: u64) -> u8 {
    let size_priority = (work / SMALL_PROMPT_WORK)
        .checked_ilog2()
        .map_or(0, |log| log + 1);
    let priority = size_priority.min(MAX_SIZE_PRIORITY) + rank.min(2);
    (priority as u8).min(LATE_PRIORITY - 1)
}

/// Predicted prefill of a prompt that is not sent yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimate {
    /// Time until the engine starts the prefill.
    pub wait: Duration,
    /// Leading tokens that it has cached by then.
    pub cached_tokens: u64,
    /// Priority that the prompt needs for that.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct QueuedPrompt {
    id: PrefillId,
    priority: u8,
    work: u64,
    sent_at: Instant,
    /// Whether no other prompt was queued or in prefill when this one was sent.
    queue_was_empty: bool,
    /// Work of the prompts of more urgent priorities that were sent after this one, before its prefill.
    overtaken_by: u64,
}

/// Prompts that were sent to an engine and whose prefill is not known to have completed, in the order of sending.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    /// Initial estimate of the rate, in work per second.
    initial_rate: f64,
    /// Moving average of the measured rates, in work per second; starts at `initial_rate`.
    rate: f64,
    /// Number of rate samples.
    rate_samples: u32,
    /// Typical rate of the engines with the same service and role.
    peer_rate: Option<f64>,
    prompts: Vec<QueuedPrompt>,
    /// Prompt that is assumed to be in prefill, and since when.
    active: Option<(PrefillId, Instant)>,
    /// When the engine last completed a prefill, or when this queue was created.
    last_completed_at: Instant,
    /// Delay of a first token beyond its prediction, and when it was recorded.
    delay: (Duration, Instant),
}

impl PrefillQueue {
    /// Creates an empty queue of an engine that prefills about `rate` tokens per second.
    pub fn new(now: Instant, rate: f64) -> PrefillQueue {
        PrefillQueue {
            initial_rate: rate,
            rate,
            rate_samples: 0,
            peer_rate: None,
            prompts: Vec::new(),
            active: None,
            last_completed_at: now,
            delay: (Duration::ZERO, now),
        }
    }

    /// Returns the rate in work per second.
    ///
    /// This is the peer rate, unless the measured rate differs from it by a large factor. Measured rates of identical
    /// engines differ slightly, as they depend on the lengths of the measured prompts, and all short prompts would be
    /// placed at the engines with the highest ones. Without a peer rate, it is the measured rate, or the initial estimate
    /// if no prompt has been measured.
    pub fn rate(&self) -> f64 {
        let is_similar = |peer_rate: f64| {
            let bounds = peer_rate * PEER_RATE_BOUNDS.0..=peer_rate * PEER_RATE_BOUNDS.1;
            self.rate_samples == 0 || bounds.contains(&self.rate)
        };
        match self.peer_rate {
            Some(peer_rate) if is_similar(peer_rate) => peer_rate,
            _ => self.rate,
        }
    }

    /// Returns the ratio of the measured rate to the initial estimate, or `None` without rate samples.
    pub fn relative_rate(&self) -> Option<f64> {
        (self.rate_samples > 0).then(|| self.rate / self.initial_rate)
    }

    /// Returns the measured rate in whole tokens of work per second, or `None` without rate samples.
    pub fn measured_rate(&self) -> Option<u64> {
        (self.rate_samples > 0).then_some(self.rate as u64)
    }

    /// Records the rate that another process has measured, unless this process knows one.
    ///
    /// It counts as one sample, so that own measurements soon outweigh it. It is clamped to the bounds of a measurement, and 0
    /// is ignored, as no engine can have that rate.
    pub fn record_reported_rate(&mut self, tokens_per_second: u64) {
        if tokens_per_second > 0 && self.rate_samples == 0 {
            self.rate_samples = 1;
            self.rate = self.clamp_rate(tokens_per_second as f64);
        }
    }

    /// Sets the typical rate of the engines with the same service and role.
    pub fn set_peer_rate(&mut self, rate: f64) {
        self.peer_rate = Some(rate);
    }

    /// Returns the total work of the prompts in the queue.
    pub fn pending_work(&self) -> u64 {
        self.prompts.iter().map(|prompt| prompt.work).sum()
    }

    /// Returns when the oldest prompt in the queue was sent, or `None` if it is empty.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.prompts.first().map(|prompt| prompt.sent_at)
    }

    /// Predicts how long the engine takes to prefill the longest prompt in the queue.
    pub fn longest_prefill(&self) -> Duration {
        let longest = self.prompts.iter().map(|prompt| prompt.work).max();
        self.prefill_time(longest.unwrap_or_default())
    }

    /// Adds a prompt whose prefill takes `work`.
    pub fn enqueue(&mut self, now: Instant, id: PrefillId, priority: u8, work: u64) {
        let active = self.active.map(|(id, _)| id);
        let overtaken = self
            .prompts
            .iter_mut()
            .filter(|prompt| prompt.priority > priority && Some(prompt.id) != active);
        overtaken.for_each(|prompt| prompt.overtaken_by += work);
        self.prompts.push(QueuedPrompt {
            id,
            priority,
            work,
            sent_at: now,
            queue_was_empty: self.prompts.is_empty(),
            overtaken_by: 0,
        });
        self.activate_next(now);
    }

    /// Makes the prompt with the highest priority active from now on, unless one is active.
    fn activate_next(&mut self, now: Instant) {
        if self.active.is_none() {
            // `min_by_key` returns the first minimum, so prompts of equal priority keep their order of sending.
            let next = self.prompts.iter().min_by_key(|prompt| prompt.priority);
            self.active = next.map(|prompt| (prompt.id, now));
        }
    }

    /// Removes a prompt whose first token arrived `overhead` after the end of its prefill.
    ///
    /// Also measures the rate if the prompt met an empty queue and has enough work.
    pub fn complete(&mut self, now: Instant, id: PrefillId, overhead: Duration) {
        let Some(prompt) = self.remove(now, id) else {
            return;
        };
        if prompt.work > 0 {
            self.last_completed_at = now;
        }
        let elapsed = now.saturating_duration_since(prompt.sent_at);
        let prefill_duration = elapsed.saturating_sub(overhead);
        if prompt.queue_was_empty && prompt.work >= MIN_MEASURED_WORK && !prefill_duration.is_zero()
        {
            let measured = prompt.work as f64 / prefill_duration.as_secs_f64();
            self.rate_samples += 1;
            let weight = MIN_NEWEST_RATE_WEIGHT.max(1.0 / f64::from(self.rate_samples + 1));
            self.rate += weight * (self.clamp_rate(measured) - self.rate);
        }
    }

    /// Returns the time for which a queued prompt was delayed by more urgent ones that were sent after it.
    ///
    /// No prompt that is sent now will wait for that. If it counted as a delay of the engine, one late prompt, which all
    /// others overtake, would make the engine appear busy, and those sent next would be taken for late as well.
    pub fn overtaken_time(&self, id: PrefillId) -> Duration {
        let prompt = self.prompts.iter().find(|prompt| prompt.id == id);
        self.prefill_time(prompt.map_or(0, |prompt| prompt.overtaken_by))
    }

    /// Records by how much a first token came later than predicted.
    ///
    /// The recorded delay is at least half of what remains of the previous one after its decay.
    pub fn record_delay(&mut self, now: Instant, delay: Duration) {
        self.delay = (delay.max(self.recent_delay(now) / 2), now);
    }

    /// Removes a prompt that will not be answered.
    pub fn cancel(&mut self, now: Instant, id: PrefillId) {
        self.remove(now, id);
    }

    /// Removes all prompts of one sender.
    pub fn remove_sender(&mut self, now: Instant, sender: u64) {
        let ids: Vec<PrefillId> = self.prompts.iter().map(|prompt| prompt.id).collect();
        for id in ids.into_iter().filter(|id| id.0 == sender) {
            self.remove(now, id);
        }
    }

    /// Predicts how long a prompt of this priority would wait for its prefill if it were sent now.
    ///
    /// Counts the rest of the active prompt, the prompts of the same or a more urgent priority, and the recent delay.
    pub fn waiting_time(&self, now: Instant, priority: u8) -> Duration {
        let is_active = |prompt: &&QueuedPrompt| self.active.is_some_and(|(id, _)| id == prompt.id);
        let ahead = self
            .prompts
            .iter()
            .filter(|prompt| is_active(prompt) || prompt.priority <= priority);
        let queued = self.prefill_time(ahead.map(|prompt| prompt.work).sum());
        let (progress, overdue) = match (self.prompts.iter().find(is_active), self.active) {
            (Some(prompt), Some((_, active_since))) => {
                let predicted = self.prefill_time(prompt.work);
                let elapsed = now.saturating_duration_since(active_since);
                let progress = elapsed.min(predicted.mul_f64(MAX_ACTIVE_PROGRESS));
                // The engine may have prefilled another prompt first.
                let since = active_since.max(self.last_completed_at);
                let overdue =
                    overdue_time(prompt.work, now.saturating_duration_since(since), predicted);
                (progress, overdue)
            }
            _ => (Duration::ZERO, Duration::ZERO),
        };
        queued.saturating_sub(progress) + self.recent_delay(now).max(overdue)
    }

    /// Predicts the prefill of a prompt of `tokens` tokens from a route with this rank.
    ///
    /// If queued prompts will add leading parts of it to the cache, it waits for them unless its own prefill of these parts
    /// would end sooner.
    pub fn estimate(
        &self,
        now: Instant,
        rank: u32,
        tokens: u64,
        matched: &CacheMatch,
    ) -> PrefillEstimate {
        let work = |cached: u64| prefill_work(tokens.saturating_sub(cached), tokens);
        let own_priority = prefill_priority(rank, work(matched.cached_tokens));
        let at = |priority, cached_tokens| PrefillEstimate {
            wait: self.waiting_time(now, priority),
            cached_tokens,
            priority,
        };
        let Some(pending_priority) = matched.pending_priority else {
            return at(own_priority, matched.cached_tokens);
        };
        let after_pending = at(own_priority.max(pending_priority), matched.expected_tokens);
        if pending_priority <= own_priority {
            return after_pending;
        }
        let before_pending = at(own_priority, matched.cached_tokens);
        let end = |estimate: &PrefillEstimate| {
            estimate.wait + self.prefill_time(work(estimate.cached_tokens))
        };
        match end(&before_pending) < end(&after_pending) {
            true => before_pending,
            false => after_pending,
        }
    }

    /// Predicts how long the engine takes to prefill `work`.
    pub fn prefill_time(&self, work: u64) -> Duration {
        Duration::from_secs_f64(work as f64 / self.rate())
    }

    fn remove(&mut self, now: Instant, id: PrefillId) -> Option<QueuedPrompt> {
        let index = self.prompts.iter().position(|prompt| prompt.id == id)?;
        let prompt = self.prompts.remove(index);
        if self.active.is_some_and(|(active, _)| active == id) {
            self.active = None;
            self.activate_next(now);
        }
        Some(prompt)
    }

    fn clamp_rate(&self, rate: f64) -> f64 {
        let (min, max) = RATE_BOUNDS;
        rate.clamp(self.initial_rate * min, self.initial_rate * max)
    }

    /// Returns the last recorded delay, decayed by its age.
    fn recent_delay(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.delay.1).as_secs_f64();
        self.delay
            .0
            .mul_f64((-age / DELAY_TIME_CONSTANT.as_secs_f64()).exp())
    }
}

/// Returns how much longer an engine is assumed to pause that should have prefilled a prompt by now: as long again.
///
/// A prompt without work waits for its transfer, which says nothing about the engine's prefill.
fn overdue_time(work: u64, elapsed: Duration, predicted: Duration) -> Duration {
    match work {
        0 => Duration::ZERO,
        _ => elapsed
            .saturating_sub(predicted + OVERDUE_GRACE)
            .min(MAX_OVERDUE),
    }
}

#[cfg(test)]
#[path = "prefill_queue_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "prefill_order_tests.rs"]
mod order_tests;
