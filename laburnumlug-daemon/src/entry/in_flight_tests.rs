use quickcheck::quickcheck;

use super::*;

#[test]
fn admit_one_caller_at_limit() {
    let limiter = Rc::<InFlightLimiter>::default();
    let permits: Vec<InFlightPermit> = (0..MAX_REQUESTS_PER_CALLER)
        .map(|_| limiter.admit("anna").unwrap())
        .collect();
    assert_eq!(limiter.admit("anna").err().map(|e| e.status()), Some(429));
    assert!(limiter.admit("bent").is_ok());
    drop(permits);
    assert!(limiter.admit("anna").is_ok());
}

quickcheck! {
    fn drop_releases_everything(callers: Vec<u8>) -> bool {
        let limiter = Rc::<InFlightLimiter>::default();
        let permits: Vec<InFlightPermit> = callers
            .iter()
            .filter_map(|caller| limiter.admit(&caller.to_string()).ok())
            .collect();
        let exact = limiter.in_flight.borrow().requests == permits.len();
        drop(permits);
        let in_flight = limiter.in_flight.borrow();
        exact && in_flight.requests == 0 && in_flight.by_caller.is_empty()
    }
}
