//! Estimate of true time from the clocks of several other processes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of samples kept of each source, of which the one with the shortest round trip counts: the error of a sample is
/// at most half its round trip.
const SAMPLES_PER_SOURCE: usize = 8;

/// Age, relative to the newest sample of any source, from which samples are discarded. A clock drifts by less than
/// 0.5 ms per second, so that a sample of this age is off by at most 150 ms.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(300);

/// Difference between a source's clock and the local one, measured once.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Unix time minus local time, in microseconds.
    offset_us: i64,
    round_trip: Duration,
    at: Duration,
}

/// Offset between the local clock and true time: the median over the clocks of the sources.
///
/// It bounds the effect of clock jumps on what is measured by true time: less than half of the sources with wrong clocks
/// change nothing. Local times count from any fixed moment and must include the time for which the machine is suspended.
#[derive(Clone, Debug)]
pub struct ClockOffset<K> {
    samples: BTreeMap<K, VecDeque<Sample>>,
}

impl<K> Default for ClockOffset<K> {
    fn default() -> ClockOffset<K> {
        ClockOffset {
            samples: BTreeMap::new(),
        }
    }
}

impl<K> ClockOffset<K>
where
    K: Ord,
{
    /// Records that a source stated the Unix time `unix_time` between the local times `sent_at` and `received_at`.
    pub fn record(
        &mut self,
        source: K,
        sent_at: Duration,
        received_at: Duration,
        unix_time: Duration,
    ) {
        let round_trip = received_at.saturating_sub(sent_at);
        let sample = Sample {
            offset_us: micros(unix_time).saturating_sub(micros(sent_at + round_trip / 2)),
            round_trip,
            at: received_at,
        };
        let samples = self.samples.entry(source).or_default();
        samples.truncate(SAMPLES_PER_SOURCE - 1);
        samples.push_front(sample);
        self.samples.retain(|_, samples| {
            samples.retain(|sample| sample.at + MAX_SAMPLE_AGE >= received_at);
            !samples.is_empty()
        });
    }

    /// Returns the Unix time at local time `at`, or `None` while fewer than `required` sources are known.
    pub fn unix_time(&self, at: Duration, required: usize) -> Option<Duration> {
        let best =
            |samples: &VecDeque<Sample>| samples.iter().min_by_key(|s| s.round_trip).copied();
        let mut offsets: Vec<i64> = self
            .samples
            .values()
            .filter_map(best)
            .map(|sample| sample.offset_us)
            .collect();
        if offsets.is_empty() || offsets.len() < required {
            return None;
        }
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        u64::try_from(micros(at).saturating_add(median))
            .ok()
            .map(Duration::from_micros)
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

#[cfg(test)]
#[path = "clock_offset_tests.rs"]
mod tests;
