//! Parsers of numbers in settings files.
//!
//! A number may be written with or without a decimal point: `3000`, `3000.0` and `3e3` are the same value.

use std::time::Duration;

/// Longest duration that is kept apart from longer ones, so that sums of durations and times cannot overflow.
const MAX_SECONDS: f64 = 1e9;

/// Shortest window in which requests are counted.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// Largest whole number that is exact as a floating-point number.
const MAX_WHOLE: f64 = 9_007_199_254_740_992.0;

/// Parses a number from 0.
pub(super) fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Parses a whole number from 0.
pub(super) fn parse_whole(text: &str) -> Option<usize> {
    match text.parse() {
        Ok(number) => Some(number),
        Err(_) => {
            let number = parse_non_negative(text)?;
            (number.fract() == 0.0 && number <= MAX_WHOLE).then_some(number as usize)
        }
    }
}

/// Parses a whole number from 1.
pub(super) fn parse_count(text: &str) -> Option<usize> {
    parse_whole(text).filter(|count| *count > 0)
}

/// Parses a size in megabytes of 1,000,000 bytes; returns the whole bytes in it, at least one.
pub(super) fn parse_megabytes(text: &str) -> Option<u64> {
    let bytes = (parse_non_negative(text)? * 1e6) as u64;
    (bytes > 0).then_some(bytes)
}

/// Parses a number of seconds above 0.
pub(super) fn parse_seconds(text: &str) -> Option<Duration> {
    duration(parse_non_negative(text)?).filter(|duration| !duration.is_zero())
}

/// Parses a number of milliseconds above 0.
pub(super) fn parse_millis(text: &str) -> Option<Duration> {
    parse_millis_from_zero(text).filter(|duration| !duration.is_zero())
}

/// Parses a number of milliseconds from 0.
pub(super) fn parse_millis_from_zero(text: &str) -> Option<Duration> {
    duration(parse_non_negative(text)? / 1000.0)
}

/// Parses the length of a window in seconds, at least a millisecond.
pub(super) fn parse_window(text: &str) -> Option<Duration> {
    parse_seconds(text).filter(|window| *window >= MIN_WINDOW)
}

fn duration(seconds: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(seconds.min(MAX_SECONDS)).ok()
}

#[cfg(test)]
#[path = "numbers_tests.rs"]
mod tests;
