use super::*;

const MAX_READS_PER_TURN: u32 = 8;

fn read(turn: &mut ReadTurn, reads: u32) {
    for _ in 0..reads {
        assert!(!turn.must_yield(MAX_READS_PER_TURN));
        turn.record_read();
    }
}

/// Guards against a task that reads without end from a connection that always has data.
#[test]
fn must_yield_after_reads_in_a_row() {
    let mut turn = ReadTurn::default();
    for _ in 0..3 {
        read(&mut turn, MAX_READS_PER_TURN);
        assert!(turn.must_yield(MAX_READS_PER_TURN));
    }
}

/// Guards against a needless wake-up in an exchange whose task waits for its peer between the reads.
#[test]
fn must_yield_not_after_pause() {
    let mut turn = ReadTurn::default();
    for _ in 0..3 {
        read(&mut turn, MAX_READS_PER_TURN);
        turn.record_pause();
    }
    read(&mut turn, 1);
}
