use futures_util::FutureExt;

use super::*;

fn is_ended(permit: &mut HandshakePermit) -> bool {
    permit.ended().now_or_never().is_some()
}

/// Guards against strangers whose handshakes take all descriptors.
#[test]
fn begin_beyond_limit_ends_oldest() {
    let mut permits: Vec<_> = (0..MAX_HANDSHAKES)
        .map(|_| HandshakePermit::begin())
        .collect();
    assert!(!is_ended(&mut permits[0]));
    let mut newest = HandshakePermit::begin();
    assert!(is_ended(&mut permits[0]));
    assert!(!is_ended(&mut permits[1]) && !is_ended(&mut newest));
}

#[test]
fn begin_after_others_are_complete() {
    let mut first = HandshakePermit::begin();
    for _ in 0..2 * MAX_HANDSHAKES {
        drop(HandshakePermit::begin());
    }
    assert!(!is_ended(&mut first));
}
