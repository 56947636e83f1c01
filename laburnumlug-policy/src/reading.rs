//! Estimate of the prompts that an engine still has to read.

use std::time::{Duration, Instant};

/// Weight of the newest prompt in an engine's measured rate.
const RATE_WEIGHT: f64 = 0.1;

/// Fewest tokens of a prompt whose reading time tells something of the rate.
const MIN_MEASURED_TOKENS: u64 = 1_000;

/// Bounds of a measured rate relative to the first estimate, so that one odd answer cannot mislead for long.
const RATE_BOUNDS: (f64, f64) = (0.2, 3.0);

/// Time in which the observed delay of an engine loses two thirds of its weight.
const DELAY_DECAY: Duration = Duration::from_millis(500);

/// Number of one prompt that an engine reads.
pub type ReadId = u64;

#[derive(Clone, Debug)]
struct Read {
    id: ReadId,
    tokens: u64,
    sent_at: Instant,
    /// Whether nothing else was being read when it was sent.
    alone: bool,
}

/// Prompts that were sent to an engine and whose first event has not arrived.
#[derive(Clone, Debug)]
pub struct ReadingQueue {
    /// Tokens a second that the engine reads, as first estimated and as measured.
    base_rate: f64,
    rate: f64,
    reads: Vec<Read>,
    next_id: ReadId,
    /// By how much the last first event came later than predicted, and when.
    delay: (Duration, Instant),
    /// Tokens that other senders have told of.
    foreign_tokens: u64,
}

impl ReadingQueue {
    /// Creates an empty queue of an engine that reads about `rate` tokens a second.
    pub fn new(now: Instant, rate: f64) -> ReadingQueue {
        ReadingQueue {
            base_rate: rate,
            rate,
            reads: Vec::new(),
            next_id: 0,
            delay: (Duration::ZERO, now),
            foreign_tokens: 0,
        }
    }

    /// Returns the measured rate in tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the number of prompts that were sent from here and are not read.
    pub fn len(&self) -> usize {
        self.reads.len()
    }

    /// Returns whether nothing that was sent from here is unread.
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }

    /// Returns the tokens that were sent from here and are not read.
    pub fn own_tokens(&self) -> u64 {
        self.reads.iter().map(|read| read.tokens).sum()
    }

    /// Sets the tokens that other senders have unread at this engine.
    pub fn set_foreign_tokens(&mut self, tokens: u64) {
        self.foreign_tokens = tokens;
    }

    /// Notes a prompt of which the engine has to read `tokens` tokens.
    pub fn start(&mut self, now: Instant, tokens: u64) -> ReadId {
        self.next_id += 1;
        self.reads.push(Read {
            id: self.next_id,
            tokens,
            sent_at: now,
            alone: self.reads.is_empty() && self.foreign_tokens == 0,
        });
        self.next_id
    }

    /// Notes the first event of a prompt's answer.
    pub fn finish(&mut self, now: Instant, id: ReadId, overhead: Duration) {
        let Some(position) = self.reads.iter().position(|read| read.id == id) else {
            return;
        };
        let read = self.reads.remove(position);
        let taken = now.saturating_duration_since(read.sent_at);
        let reading = taken.saturating_sub(overhead);
        if read.alone && read.tokens >= MIN_MEASURED_TOKENS && !reading.is_zero() {
            let measured = read.tokens as f64 / reading.as_secs_f64();
            let bounds = (self.base_rate * RATE_BOUNDS.0, self.base_rate * RATE_BOUNDS.1);
            let measured = measured.clamp(bounds.0, bounds.1);
            self.rate += RATE_WEIGHT * (measured - self.rate);
        }
        let ahead: u64 = self.reads.iter().filter(|r| r.id < id).map(|r| r.tokens).sum();
        let expected = Duration::from_secs_f64((ahead + read.tokens) as f64 / self.rate) + overhead;
        self.delay = (taken.saturating_sub(expected), now);
    }

    /// Forgets a prompt that is not answered.
    pub fn cancel(&mut self, id: ReadId) {
        self.reads.retain(|read| read.id != id);
    }

    /// Predicts how long a prompt waits that is sent now.
    pub fn waiting_time(&self, now: Instant) -> Duration {
        let tokens = self.own_tokens() + self.foreign_tokens;
        let queued = Duration::from_secs_f64(tokens as f64 / self.rate);
        // The oldest prompt has been read in part; at most half of it is taken as done.
        let progress = match self.reads.first() {
            Some(read) => {
                let half = Duration::from_secs_f64(read.tokens as f64 / self.rate / 2.0);
                now.saturating_duration_since(read.sent_at).min(half)
            }
            None => Duration::ZERO,
        };
        queued.saturating_sub(progress).max(self.recent_delay(now))
    }

    /// Predicts how long the engine takes to read `tokens` tokens.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate)
    }

    /// Returns the delay that was last observed, which loses weight with its age.
    fn recent_delay(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.delay.1).as_secs_f64();
        self.delay.0.mul_f64((-age / DELAY_DECAY.as_secs_f64()).exp())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waiting_time_long_prompt_ahead() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        assert_eq!(queue.waiting_time(now), Duration::ZERO);
        let id = queue.start(now, 50_000);
        assert_eq!(queue.waiting_time(now), Duration::from_secs(1));
        queue.cancel(id);
        assert_eq!(queue.waiting_time(now), Duration::ZERO);
    }

    #[test]
    fn finish_later_than_predicted() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        queue.set_foreign_tokens(1);
        let id = queue.start(now, 5_000);
        let later = now + Duration::from_millis(600);
        queue.finish(later, id, Duration::ZERO);
        queue.set_foreign_tokens(0);
        assert!(queue.waiting_time(later) >= Duration::from_millis(400));
        assert!(queue.waiting_time(later + 4 * DELAY_DECAY) < Duration::from_millis(50));
    }

    #[test]
    fn finish_measures_rate() {
        let now = Instant::now();
        let mut queue = ReadingQueue::new(now, 50_000.0);
        for _ in 0..100 {
            let id = queue.start(now, 10_000);
            queue.finish(now + Duration::from_millis(400), id, Duration::ZERO);
        }
        assert!((queue.rate() - 25_000.0).abs() < 1_000.0);
    }
}
