use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A new leader must wait out the calls of its predecessor, also when it is elected again for a later term.
#[test]
fn acting_term_after_handover() {
    let start = Instant::now();
    let mut turn = DutyTurn::default();
    assert_eq!(turn.observe(start, Some(7)), Some(start));
    assert_eq!(turn.observe(start + ms(3499), Some(7)), Some(start));
    assert_eq!(turn.acting_term(start + ms(3499), ms(3000)), None);
    assert_eq!(turn.acting_term(start + ms(3500), ms(3000)), Some(7));
    turn.observe(start + ms(3600), Some(9));
    assert_eq!(turn.acting_term(start + ms(3600), ms(3000)), None);
    assert_eq!(turn.acting_term(start + ms(7100), ms(3000)), Some(9));
}

/// A leader that lost contact with the majority for a while must wait again, even in the same term.
#[test]
fn acting_term_after_lost_contact() {
    let start = Instant::now();
    let mut turn = DutyTurn::default();
    turn.observe(start, Some(7));
    turn.observe(start + ms(4000), None);
    assert_eq!(turn.acting_term(start + ms(4000), ms(3000)), None);
    turn.observe(start + ms(4100), Some(7));
    assert_eq!(turn.acting_term(start + ms(4200), ms(3000)), None);
}

/// A call that was suspended after its confirmation must not be made.
#[test]
fn permit_expires() {
    let permit = CallPermit::new(7, ms(5000));
    assert_eq!(permit.time_left(ms(5400)), ms(600));
    assert!(permit.time_left(ms(6000)).is_zero());
}
