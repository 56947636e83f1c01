use quickcheck::quickcheck;

use super::*;

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8443).into()
}

/// Guards against two clusters: at most one candidate ever gets the agreement, and none while a cluster is known.
#[test]
fn request_at_most_one_candidate() {
    fn check(is_allowed: bool, requests: Vec<(u8, bool)>) -> bool {
        let mut grant = BootstrapGrant::new(is_allowed);
        let mut granted = Vec::new();
        for (candidate, knows_cluster) in requests {
            if grant.request(addr(candidate), knows_cluster) {
                granted.push((candidate, knows_cluster));
            }
        }
        let first = granted.first().copied();
        let is_safe = |grant: &(u8, bool)| is_allowed && !grant.1 && Some(*grant) == first;
        granted.iter().all(is_safe)
    }
    quickcheck(check as fn(bool, Vec<(u8, bool)>) -> bool);
}

/// A candidate whose answer was lost asks again.
#[test]
fn request_repeated() {
    let mut grant = BootstrapGrant::new(true);
    assert!(grant.request(addr(1), false));
    assert!(!grant.request(addr(2), false));
    assert!(grant.request(addr(1), false));
    assert!(!grant.request(addr(1), true));
}

/// A candidate that is refused because of a known cluster does not take the agreement.
#[test]
fn request_refused_leaves_grant() {
    let mut grant = BootstrapGrant::new(true);
    assert!(!grant.request(addr(1), true));
    assert!(grant.request(addr(2), false));
}
