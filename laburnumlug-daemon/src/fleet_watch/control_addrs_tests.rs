use super::*;

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7410))
}

fn addrs(numbers: &[usize]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| addr(*number)).collect()
}

fn polls(numbers_and_addrs: &[(usize, usize)]) -> Vec<Poll> {
    let polls = numbers_and_addrs.iter().map(|(number, a)| Poll {
        number: *number,
        addr: addr(*a),
    });
    polls.collect()
}

/// Guards against a process that never finds the voters, as its settings name only a process without a replica.
#[test]
fn record_referral_to_unknown_replicas() {
    let now = Instant::now();
    let mut known = ControlAddrs::default();
    assert_eq!(known.set_seeds(now, &addrs(&[1])), polls(&[(0, 1)]));
    assert_eq!(known.replicas(now, None), addrs(&[1]));
    let added = known.record_referral(now, addr(1), &addrs(&[2, 3]));
    assert_eq!(added, polls(&[(1, 2), (2, 3)]));
    assert_eq!(known.replicas(now, None), addrs(&[2, 3]));
    // Replica 2 is a voter, and so is 4.
    let added = known.record_voters(now, 7, &addrs(&[2, 4]));
    assert_eq!(added, polls(&[(3, 4)]));
    assert_eq!(known.record_referral(now, addr(1), &addrs(&[2, 3])), []);
    assert_eq!(known.replicas(now, None), addrs(&[2, 4, 3]));
}

/// Guards against a seed that is never tried again after its machine was replaced by one with a disk.
#[test]
fn record_answer_after_referral() {
    let now = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(now, &addrs(&[1]));
    known.record_referral(now, addr(1), &[]);
    assert_eq!(known.replicas(now, None), []);
    known.record_answer(now, addr(1));
    assert_eq!(known.replicas(now, None), addrs(&[1]));
}

#[test]
fn end_if_unneeded_silent_if_neither_seed_nor_voter() {
    let start = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(start, &addrs(&[1]));
    known.record_voters(start, 1, &addrs(&[2]));
    known.record_referral(start, addr(1), &addrs(&[3]));
    let before = start + MAX_SILENCE - Duration::from_millis(1);
    assert!(!known.end_if_unneeded(before, addr(3)));
    known.record_answer(before, addr(3));
    let silent = start + MAX_SILENCE;
    assert!(!known.end_if_unneeded(silent, addr(3)));
    let silent = before + MAX_SILENCE;
    assert!(known.end_if_unneeded(silent, addr(3)));
    for named in [1, 2] {
        assert!(!known.end_if_unneeded(silent, addr(named)));
    }
    assert_eq!(known.replicas(silent, None), addrs(&[2]));
    // A voter that was replaced is no longer named, but one of the membership before still is by a replica that lags.
    known.record_voters(silent, 2, &addrs(&[4]));
    assert!(known.end_if_unneeded(silent, addr(2)));
    assert_eq!(
        known.record_voters(silent, 1, &addrs(&[2])),
        polls(&[(1, 2)])
    );
    assert!(known.end_if_unneeded(silent + MAX_SILENCE, addr(2)));
    assert!(!known.end_if_unneeded(silent + MAX_SILENCE, addr(4)));
}

/// Guards against seeds that take effect only at the next start, and against former ones that are polled for ever.
#[test]
fn set_seeds_replaced() {
    let start = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(start, &addrs(&[1, 2]));
    known.record_answer(start, addr(2));
    let added = known.set_seeds(start, &addrs(&[2, 3]));
    assert_eq!(added, polls(&[(2, 3)]));
    assert!(!known.end_if_unneeded(start, addr(1)));
    let silent = start + MAX_SILENCE;
    assert!(known.end_if_unneeded(silent, addr(1)));
    assert!(!known.end_if_unneeded(silent, addr(2)));
    assert!(!known.end_if_unneeded(silent, addr(3)));
    // A seed that is named again is polled again.
    assert_eq!(known.set_seeds(silent, &addrs(&[1])), polls(&[(0, 1)]));
}

#[test]
fn replicas_order() {
    let start = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(start, &addrs(&[3, 1, 2]));
    assert_eq!(known.replicas(start, None), addrs(&[3, 1, 2]));
    let later = start + MAX_ANSWER_AGE;
    for answering in [1, 2] {
        known.record_answer(later, addr(answering));
    }
    assert_eq!(known.replicas(later, None), addrs(&[1, 2, 3]));
    assert_eq!(known.replicas(later, Some(addr(2))), addrs(&[2, 1, 3]));
    // A preferred replica that does not answer is not tried before those that do.
    assert_eq!(known.replicas(later, Some(addr(3))), addrs(&[1, 2, 3]));
}

/// Guards against one clock that counts as two, as its replica is polled again under another number, and against the samples of
/// two clocks under one number.
#[test]
fn number_kept_by_address() {
    let start = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(start, &addrs(&[1]));
    known.record_referral(start, addr(1), &addrs(&[2]));
    let silent = start + MAX_SILENCE;
    assert!(known.end_if_unneeded(silent, addr(2)));
    assert_eq!(
        known.record_referral(silent, addr(1), &addrs(&[3, 2])),
        polls(&[(2, 3), (1, 2)])
    );
    let ended = silent + MAX_SILENCE;
    for addr in addrs(&[2, 3]) {
        assert!(known.end_if_unneeded(ended, addr));
    }
    let free = silent + NUMBER_LIFETIME;
    assert_eq!(
        known.record_referral(free, addr(1), &addrs(&[4])),
        polls(&[(1, 4)])
    );
}

#[test]
fn processes_bounded() {
    let mut now = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(now, &addrs(&[0]));
    let others: Vec<usize> = (1..=2 * MAX_LEARNED).collect();
    known.record_referral(now, addr(0), &addrs(&others));
    assert_eq!(known.replicas(now, None).len(), MAX_LEARNED);
    // Voters are polled beside them.
    let voter = addr(2 * MAX_LEARNED);
    assert_eq!(known.record_voters(now, 1, &[voter]).len(), 1);
    // Another set of addresses that never answer each minute.
    let first = 1000;
    for round in 0..100 {
        now += MAX_SILENCE;
        for addr in known.replicas(now, None) {
            known.end_if_unneeded(now, addr);
        }
        let others: Vec<usize> = (0..MAX_LEARNED)
            .map(|i| first + round * MAX_LEARNED + i)
            .collect();
        known.record_referral(now, addr(0), &addrs(&others));
    }
    let rounds = NUMBER_LIFETIME.as_secs() / MAX_SILENCE.as_secs() + 2;
    assert!(known.processes.len() <= MAX_LEARNED * rounds as usize);
}

#[test]
fn answering_recent_replicas() {
    let start = Instant::now();
    let mut known = ControlAddrs::default();
    known.set_seeds(start, &addrs(&[1, 2]));
    known.record_referral(start, addr(1), &addrs(&[3]));
    assert_eq!(known.answering(start), []);
    known.record_answer(start, addr(3));
    assert_eq!(known.answering(start + MAX_ANSWER_AGE), addrs(&[3]));
    let later = start + MAX_ANSWER_AGE + Duration::from_millis(1);
    assert_eq!(known.answering(later), []);
    let reported: Vec<usize> = (10..10 + 2 * MAX_REPORTED).collect();
    let added = known.record_reported(later, &addrs(&reported));
    assert_eq!(added.len(), MAX_REPORTED);
    // One that does not answer is dropped, as those of referrals are.
    assert!(known.end_if_unneeded(later + MAX_SILENCE, addr(10)));
}

/// Guards against former seeds without a replica that are polled for ever, and take the places of replicas in referrals.
#[test]
fn end_if_unneeded_without_replica() {
    let now = Instant::now();
    let mut known = ControlAddrs::default();
    let former: Vec<usize> = (0..=MAX_LEARNED).collect();
    known.set_seeds(now, &addrs(&former));
    known.set_seeds(now, &addrs(&[100]));
    for addr in addrs(&former) {
        known.record_referral(now, addr, &[]);
        // They are a way to find replicas until one answers.
        assert!(!known.end_if_unneeded(now, addr));
    }
    known.record_answer(now, addr(100));
    for addr in addrs(&former) {
        assert!(known.end_if_unneeded(now, addr));
    }
    assert_eq!(
        known.record_referral(now, addr(100), &addrs(&[101])).len(),
        1
    );
    // A seed without a replica is still polled.
    assert!(!known.end_if_unneeded(now, addr(100)));
}
