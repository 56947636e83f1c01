use super::*;

const SPAN: Duration = Duration::from_millis(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against answers of a process that was killed that pass for whole, and whole ones that pass for cut.
#[test]
fn is_end_of_process_by_distance() {
    let start = Instant::now();
    let mut ends = ExchangeEnds::default();
    for end in [0, 40, 42, 100] {
        ends.record_end(start + ms(end));
    }
    let ended = |at| ends.is_end_of_process(start + ms(at), SPAN);
    assert_eq!([0, 40, 42, 100].map(ended), [false, true, true, false]);
}

/// Guards against whole answers that pass for cut while the process goes on with another exchange.
#[test]
fn is_end_of_process_with_other_exchange() {
    let start = Instant::now();
    let mut ends = ExchangeEnds::default();
    let ids = [(); 3].map(|()| ends.begin(start));
    let ended_at = start + ms(40);
    ends.begin_examination(ended_at);
    ends.begin_examination(ended_at);
    assert!(!ends.is_end_of_process(ended_at, SPAN));
    // One that began later may be waiting for a connection.
    ends.begin(ended_at + ms(1));
    ends.finish(ids[2]);
    assert!(ends.is_end_of_process(ended_at, SPAN));
    ends.finish(ids[0]);
    ends.finish_examination();
    assert!(ends.is_end_of_process(ended_at, SPAN));
}

#[test]
fn record_end_keeps_newest() {
    let start = Instant::now();
    let mut ends = ExchangeEnds::default();
    for i in 0..2 * MAX_ENDS as u32 {
        ends.record_end(start + Duration::from_secs(1) * i);
    }
    let last = start + Duration::from_secs(1) * (2 * MAX_ENDS as u32 - 1);
    ends.record_end(last);
    assert!(ends.is_end_of_process(last, SPAN));
    assert_eq!(ends.ends.len(), MAX_ENDS);
}
