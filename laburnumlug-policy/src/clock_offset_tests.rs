use quickcheck::quickcheck;

use super::*;

const UNIX: Duration = Duration::from_secs(1_767_225_600);

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

quickcheck! {
    /// A minority of clocks that are wrong by any amount, or jump between answers, must not change the estimate.
    fn unix_time_minority_of_wrong_clocks(sources: u8, jumps: Vec<u64>) -> bool {
        let sources = u64::from(sources % 9) + 1;
        let wrong = (sources - 1) / 2;
        let mut clock = ClockOffset::default();
        for round in 0..4 {
            let local = secs(10 + round);
            for source in 0..sources {
                let jump = jumps.get((source + round * 3) as usize % jumps.len().max(1)).copied();
                let time = match source < wrong {
                    true => Duration::from_millis(jump.unwrap_or(0)),
                    false => UNIX + local,
                };
                clock.record(source, local, local, time);
            }
        }
        clock.unix_time(secs(100), sources as usize) == Some(UNIX + secs(100))
    }
}

#[test]
fn unix_time_until_enough_sources() {
    let mut clock = ClockOffset::default();
    clock.record(1, ms(0), ms(0), UNIX);
    assert_eq!(clock.unix_time(ms(0), 2), None);
    clock.record(2, ms(0), ms(0), UNIX);
    assert_eq!(clock.unix_time(ms(0), 2), Some(UNIX));
}

/// An answer that was delayed on a slow link must not move the estimate by half of the delay.
#[test]
fn unix_time_delayed_answer() {
    let mut clock = ClockOffset::default();
    clock.record(1, ms(0), ms(10), UNIX + ms(5));
    clock.record(1, ms(500), ms(1400), UNIX + ms(501));
    assert_eq!(clock.unix_time(ms(2000), 1), Some(UNIX + ms(2000)));
}

/// A clock that was set must count as set after a few answers, even if these are slower than the earlier ones.
#[test]
fn unix_time_corrected_clock() {
    let mut clock = ClockOffset::default();
    clock.record(1, ms(0), ms(0), UNIX);
    for i in 1..=8 {
        clock.record(1, secs(i), secs(i), UNIX + secs(60 + i));
    }
    assert_eq!(clock.unix_time(secs(9), 1), Some(UNIX + secs(69)));
}

/// Replicas that were replaced long ago must not outvote those that answer.
#[test]
fn unix_time_replaced_sources() {
    let mut clock = ClockOffset::default();
    for source in 0..3 {
        clock.record(source, ms(0), ms(0), UNIX + secs(50));
    }
    clock.record(3, secs(301), secs(301), UNIX + secs(301));
    assert_eq!(clock.unix_time(secs(302), 1), Some(UNIX + secs(302)));
}

#[test]
fn record_impossible_time() {
    let mut clock = ClockOffset::default();
    clock.record(1, ms(5), ms(5), Duration::from_millis(u64::MAX));
    clock.record(1, ms(5), ms(5), Duration::ZERO);
    assert_eq!(clock.unix_time(ms(4), 1), None);
}
