//! Estimate of the prompts that an engine still has to read.

use std::time::{Duration, Instant};

/// Weight of the newest prompt in an engine's measured rate.
const RATE_WEIGHT: f64 = 0.1;

/// Least work of a prompt whose reading time tells something of the rate.
const MIN_MEASURED_WORK: u64 = 1_000;

/// Bounds of a measured rate relative to the first estimate, so that one odd answer cannot mislead for long.
const RATE_BOUNDS: (f64, f64) = (0.2, 3.0);

/// Time in which the observed delay of an engine loses two thirds of its weight.
const DELAY_DECAY: Duration = Duration::from_millis(300);

/// Largest share of the prompt being read that is taken as done.
const MAX_PROGRESS: f64 = 0.9;

/// Share by which reading a token takes longer for each token before it: attention over a prompt of 50,000 tokens costs
/// about as much as the rest of the network.
const CONTEXT_COST: f64 = 2e-5;

/// A prompt on its way through an engine: its sender and the sender's number for it.
pub type ReadId = (u64, u64);

/// Returns the work of reading the last `unread` of `tokens` tokens, in tokens of an empty context.
pub fn reading_work(unread: u64, tokens: u64) -> u64 {
    let before = tokens as f64 - unread as f64 / 2.0;
    (unread as f64 * (1.0 + CONTEXT_COST * before)) as u64
}

/// Work of the smallest prompts, which are the most urgent ones at an engine.
const SMALL_WORK: u64 = 1_000;

/// Most levels of urgency that the size of a prompt decides.
const SIZE_LEVELS: u32 = 6;

/// Lowest urgency, of prompts that are late in any case.
pub const LATE_PRIORITY: u8 = 9;

/// Returns the urgency of a prompt at an engine; 0 goes first.
///
/// Engines read one prompt after another. Letting short ones pass keeps most of them on time, and the long ones lose
/// little by it; the rank of the route decides between prompts of about the same size.
pub fn reading_priority(rank: u32, work: u64) -> u8 {
    let level = (work / SMALL_WORK).checked_ilog2().map_or(0, |log| log + 1);
    let priority = level.min(SIZE_LEVELS) + rank.min(2);
    (priority as u8).min(LATE_PRIORITY - 1)
}

#[derive(Clone, Debug)]
struct Read {
    id: ReadId,
    priority: u8,
    work: u64,
    sent_at: Instant,
    /// Whether nothing else was being read when it was sent.
    alone: bool,
}

/// Prompts that were sent to an engine and are not known to be read, in the order in which they were sent.
#[derive(Clone, Debug)]
pub struct ReadingQueue {
    /// Work a second that the engine does, as first estimated and as measured.
    base_rate: f64,
    rate: f64,
    reads: Vec<Read>,
    /// The prompt that is taken to be read now, and since when.
    active: Option<(ReadId, Instant)>,
    /// By how much the last first event came later than predicted, and when.
    delay: (Duration, Instant),
}

impl ReadingQueue {
    /// Creates an empty queue of an engine that reads about `rate` tokens a second.
    pub fn new(now: Instant, rate: f64) -> ReadingQueue {
        ReadingQueue {
            base_rate: rate,
            rate,
            reads: Vec::new(),
            active: None,
            delay: (Duration::ZERO, now),
        }
    }

    /// Returns the measured rate in work a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the work that is not done.
    pub fn work(&self) -> u64 {
        self.reads.iter().map(|read| read.work).sum()
    }

    /// Notes a prompt whose reading is `work`.
    pub fn start(&mut self, now: Instant, id: ReadId, priority: u8, work: u64) {
        self.reads.push(Read {
            id,
            priority,
            work,
            sent_at: now,
            alone: self.reads.is_empty(),
        });
        self.activate(now);
    }

    /// Takes the most urgent prompt as read from now on, where none is.
    fn activate(&mut self, now: Instant) {
        if self.active.is_none() {
            // The first of the most urgent ones, as they stand in the order in which they were sent.
            let next = self.reads.iter().min_by_key(|read| read.priority);
            self.active = next.map(|read| (read.id, now));
        }
    }

    /// Notes that a prompt was read; its first event came `overhead` later.
    pub fn finish(&mut self, now: Instant, id: ReadId, overhead: Duration) {
        let Some(read) = self.remove(now, id) else {
            return;
        };
        let taken = now.saturating_duration_since(read.sent_at);
        let reading = taken.saturating_sub(overhead);
        if read.alone && read.work >= MIN_MEASURED_WORK && !reading.is_zero() {
            let measured = read.work as f64 / reading.as_secs_f64();
            let bounds = (
                self.base_rate * RATE_BOUNDS.0,
                self.base_rate * RATE_BOUNDS.1,
            );
            self.rate += RATE_WEIGHT * (measured.clamp(bounds.0, bounds.1) - self.rate);
        }
    }

    /// Notes by how much a first event came later than predicted.
    pub fn note_delay(&mut self, now: Instant, delay: Duration) {
        self.delay = (delay.max(self.recent_delay(now) / 2), now);
    }

    /// Forgets a prompt that is not answered.
    pub fn cancel(&mut self, now: Instant, id: ReadId) {
        self.remove(now, id);
    }

    /// Forgets all prompts of one sender.
    pub fn forget_sender(&mut self, now: Instant, sender: u64) {
        let ids: Vec<ReadId> = self.reads.iter().map(|read| read.id).collect();
        for id in ids.into_iter().filter(|id| id.0 == sender) {
            self.remove(now, id);
        }
    }

    /// Predicts how long a prompt of this urgency waits that is sent now.
    pub fn waiting_time(&self, now: Instant, priority: u8) -> Duration {
        let is_active = |read: &&Read| self.active.is_some_and(|(id, _)| id == read.id);
        let ahead = self
            .reads
            .iter()
            .filter(|read| is_active(read) || read.priority <= priority);
        let queued = self.reading_time(ahead.map(|read| read.work).sum());
        let progress = match (self.reads.iter().find(is_active), self.active) {
            (Some(read), Some((_, since))) => {
                let longest = self.reading_time(read.work).mul_f64(MAX_PROGRESS);
                now.saturating_duration_since(since).min(longest)
            }
            _ => Duration::ZERO,
        };
        queued.saturating_sub(progress) + self.recent_delay(now)
    }

    /// Predicts how long the engine takes for `work`.
    pub fn reading_time(&self, work: u64) -> Duration {
        Duration::from_secs_f64(work as f64 / self.rate)
    }

    fn remove(&mut self, now: Instant, id: ReadId) -> Option<Read> {
        let position = self.reads.iter().position(|read| read.id == id)?;
        let read = self.reads.remove(position);
        if self.active.is_some_and(|(active, _)| active == id) {
            self.active = None;
            self.activate(now);
        }
        Some(read)
    }

    /// Returns the delay that was last observed, which loses weight with its age.
    fn recent_delay(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.delay.1).as_secs_f64();
        self.delay
            .0
            .mul_f64((-age / DELAY_DECAY.as_secs_f64()).exp())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Pattern: a long prompt is ahead of a short one.
    #[test]
    fn waiting_time_long_prompt_ahead() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        assert_eq!(queue.waiting_time(now, 9), Duration::ZERO);
        queue.start(now, (0, 1), 5, 50_000);
        assert_eq!(queue.waiting_time(now, 9), Duration::from_secs(1));
        let later = now + Duration::from_millis(400);
        assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(600));
        queue.start(later, (1, 1), 5, 5_000);
        assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(700));
        queue.cancel(later, (0, 1));
        assert_eq!(queue.waiting_time(later, 9), Duration::from_millis(100));
    }

    /// Pattern: a short question comes while long prompts queue.
    #[test]
    fn waiting_time_urgent_passes_queue() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        queue.start(now, (0, 1), 5, 10_000);
        queue.start(now, (0, 2), 5, 50_000);
        // What is being read is not interrupted.
        assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(200));
        queue.start(now, (0, 3), 0, 5_000);
        assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(300));
        assert_eq!(queue.waiting_time(now, 5), Duration::from_millis(1300));
        queue.finish(now, (0, 1), Duration::ZERO);
        assert_eq!(queue.waiting_time(now, 0), Duration::from_millis(100));
    }

    #[test]
    fn reading_priority_size_then_rank() {
        assert_eq!(reading_priority(0, 900), 0);
        assert_eq!(reading_priority(2, 900), 2);
        assert!(reading_priority(0, 3_000) < reading_priority(0, 9_000));
        assert!(reading_priority(9, 1_000_000) < LATE_PRIORITY);
    }

    #[test]
    fn waiting_time_after_delay() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        queue.note_delay(now, Duration::from_millis(400));
        assert_eq!(queue.waiting_time(now, 9), Duration::from_millis(400));
        assert!(queue.waiting_time(now + 4 * DELAY_DECAY, 9) < Duration::from_millis(10));
    }

    #[test]
    fn finish_measures_rate() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        for number in 0..100 {
            queue.start(now, (0, number), 5, 10_000);
            queue.finish(
                now + Duration::from_millis(400),
                (0, number),
                Duration::ZERO,
            );
        }
        assert!((queue.rate() - 25_000.0).abs() < 1_000.0);
    }

    #[test]
    fn forget_sender_leaves_others() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        queue.start(now, (1, 1), 5, 100);
        queue.start(now, (2, 1), 5, 200);
        queue.forget_sender(now, 1);
        assert_eq!(queue.work(), 200);
    }

    #[test]
    fn reading_work_long_context() {
        assert_eq!(reading_work(0, 10_000), 0);
        assert!(reading_work(1_000, 1_000) < 1_020);
        assert!(reading_work(1_000, 50_000) > 1_900);
    }
}
