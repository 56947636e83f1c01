use std::collections::BTreeMap;

use quickcheck::quickcheck;

use super::*;

/// Returns the address of the process with this number.
pub(super) fn addr(number: u16) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 8443).into()
}

pub(super) fn contact(number: u16, holds_replica: bool) -> ControlContact {
    ControlContact {
        mesh: addr(number),
        operators: ([10, 0, (number >> 8) as u8, number as u8], 8080).into(),
        holds_replica,
    }
}

pub(super) fn voter(number: u16) -> ReplicaId {
    ReplicaId {
        name: addr(number).to_string(),
        incarnation: u64::MAX - u64::from(number),
    }
}

/// Returns the answer of a process that names these voters and no other processes.
fn report(
    own: ControlContact,
    readiness: Readiness,
    membership: u64,
    voters: &[u16],
) -> DirectoryReport {
    DirectoryReport {
        own,
        readiness,
        membership,
        voters: voters.iter().map(|number| voter(*number)).collect(),
        others: Vec::new(),
    }
}

/// Returns the contacts of process 0, which holds no replica.
fn contacts(now: Instant, seeds: &[u16]) -> Contacts {
    Contacts::new(now, contact(0, false), seeds.iter().map(|seed| addr(*seed)))
}

fn addrs(numbers: &[u16]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| addr(*number)).collect()
}

/// The bounds hold after any messages, and neither seeds nor voters are ever removed.
#[test]
fn bounds_after_any_messages() {
    fn check(messages: Vec<(u16, bool, u16)>, seeds: Vec<u16>, voters: Vec<u16>) -> bool {
        let mut now = Instant::now();
        let mut contacts = contacts(now, &seeds);
        let voters: BTreeSet<u16> = voters.into_iter().take(7).collect();
        let voters: Vec<u16> = voters.into_iter().collect();
        let named = report(contact(1, true), Readiness::Ready, 5, &voters);
        contacts.record_report(now, now, addr(1), &named);
        for (number, holds_replica, delay_ms) in messages {
            for other in 0..8 {
                let other = contact(number.wrapping_mul(8).wrapping_add(other), holds_replica);
                contacts.record_message(now, other);
            }
            now += Duration::from_millis(u64::from(delay_ms));
        }
        let is_kept = |number: &u16| *number == 0 || contacts.entries.contains_key(&addr(*number));
        let keeps_named = seeds.iter().chain(&voters).all(is_kept);
        let named = seeds.len() + voters.len();
        let requests = contacts.next_requests(now, false);
        let unique: BTreeSet<SocketAddr> = requests.iter().copied().collect();
        keeps_named
            && contacts.entries.len() <= MAX_CONTACTS + named
            && contacts.reported(now).len() <= MAX_REPORTED
            && contacts.referral().len() <= MAX_REFERRED.max(voters.len())
            && requests.len() <= MAX_REQUESTS
            && unique.len() == requests.len()
            && !unique.contains(&addr(0))
    }
    quickcheck(check as fn(Vec<(u16, bool, u16)>, Vec<u16>, Vec<u16>) -> bool);
}

/// The processes that have sent no message for longest are removed first.
#[test]
fn evict_oldest() {
    let start = Instant::now();
    let mut contacts = contacts(start, &[1]);
    for number in 2..(MAX_CONTACTS as u16 + 12) {
        let now = start + Duration::from_millis(u64::from(number));
        contacts.record_message(now, contact(number, false));
    }
    assert_eq!(contacts.entries.len(), MAX_CONTACTS + 1);
    let first_kept = contacts.entries.keys().nth(1);
    assert_eq!(first_kept, Some(&addr(12)));
    let later = start + CONTACT_LIFETIME + Duration::from_millis(600);
    contacts.record_message(later, contact(700, false));
    assert_eq!(contacts.all(), addrs(&[1, 700]));
}

/// Successive reports name all processes, and each of them names the replicas.
#[test]
fn reported_in_turn() {
    let now = Instant::now();
    let mut contacts = contacts(now, &[]);
    for number in 1..101 {
        contacts.record_message(now, contact(number, number % 20 == 0));
    }
    let mut named = BTreeSet::new();
    for _ in 0..95_usize.div_ceil(MAX_REPORTED - 5) {
        let reported = contacts.reported(now);
        let replicas = reported.iter().filter(|r| r.contact.holds_replica);
        assert_eq!((reported.len(), replicas.count()), (MAX_REPORTED, 5));
        named.extend(reported.iter().map(|r| r.contact.mesh));
    }
    assert_eq!(named.len(), 100);
}

#[test]
fn seeds_replaced() {
    let now = Instant::now();
    let mut contacts = contacts(now, &[1, 2, 3]);
    contacts.record_message(now, contact(2, false));
    contacts.set_seeds(addrs(&[0, 4]));
    contacts.record_message(now, contact(5, true));
    // The former seed that has sent a message stays.
    assert_eq!(contacts.all(), addrs(&[5, 2, 4]));
}

/// Guards against a redirect to a process that has come without a replica to the address of one, and the reverse.
#[test]
fn replica_replaced_at_its_address() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut contacts = contacts(now, &[]);
    let named = report(contact(1, true), Readiness::Ready, 5, &[1, 2]);
    contacts.record_report(now, now, addr(1), &named);
    assert_eq!(contacts.replicas(), addrs(&[1, 2]));
    contacts.record_message(later(10), contact(2, false));
    assert_eq!(contacts.replicas(), addrs(&[1]));
    assert!(contacts.holds_no_replica(addr(2)));
    // An older statement that another process passes on changes nothing.
    let mut named = report(contact(1, true), Readiness::Ready, 5, &[1, 2]);
    let reported = ReportedContact {
        contact: contact(2, true),
        age_ms: 60,
    };
    named.others.push(reported);
    contacts.record_report(later(50), later(50), addr(1), &named);
    assert_eq!(contacts.replicas(), addrs(&[1]));
    contacts.record_message(later(100), contact(2, true));
    assert_eq!(contacts.replicas(), addrs(&[1, 2]));
}

/// Guards against processes that are gone and yet never forgotten, as each report that passes them on makes them look more recent.
#[test]
fn ages_never_decrease_on_the_way() {
    let mut now = Instant::now();
    let last_message_at = now;
    let (mut asked, mut asking) = (contacts(now, &[]), contacts(now, &[]));
    asked.record_message(now, contact(9, true));
    for _ in 0..1000 {
        let sent_at = now;
        now += Duration::from_micros(2300);
        let mut answer = report(contact(1, false), Readiness::Unready, 0, &[]);
        answer.others = asked.reported(now);
        now += Duration::from_micros(2300);
        asking.record_report(now, sent_at, addr(1), &answer);
        std::mem::swap(&mut asked, &mut asking);
        let known_at = asked.entries[&addr(9)].last_message_at.unwrap();
        assert!(known_at <= last_message_at);
    }
}

/// Guards against a process that was paused and takes an answer from before the pause for a replica that is ready now.
#[test]
fn record_report_after_pause() {
    let start = Instant::now();
    let mut contacts = contacts(start, &[1]);
    let now = start + Duration::from_secs(60);
    let named = report(contact(1, true), Readiness::Ready, 5, &[1]);
    contacts.record_report(now, start, addr(1), &named);
    assert!(contacts.time_without_replica(now) >= READY_TIMEOUT);
    contacts.next_requests(now, false);
    assert!(contacts.is_searching());
}

/// Guards against voters of a newer membership that was logged, but never committed, and which nobody corrects.
#[test]
fn record_report_uncommitted_membership() {
    let now = Instant::now();
    let mut contacts = contacts(now, &[1]);
    let uncommitted = report(contact(1, true), Readiness::CaughtUp, 9, &[1, 8]);
    contacts.record_report(now, now, addr(1), &uncommitted);
    assert_eq!(contacts.membership().0, 9);
    let older = report(contact(3, true), Readiness::CaughtUp, 7, &[1, 2, 3]);
    contacts.record_report(now, now, addr(3), &older);
    assert_eq!(contacts.membership().0, 9);
    let ready = report(contact(2, true), Readiness::Ready, 7, &[1, 2, 3]);
    contacts.record_report(now, now, addr(2), &ready);
    assert_eq!(contacts.referral(), addrs(&[1, 2, 3]));
    assert!(!contacts.entries.contains_key(&addr(8)));
}

/// Guards against a search that asks hundreds of other processes before it returns to the replicas that it knows.
#[test]
fn next_requests_replicas_in_long_search() {
    let mut now = Instant::now();
    let mut contacts = contacts(now, &[]);
    for number in 1..251 {
        contacts.record_message(now, contact(number, number <= 7));
    }
    now += Duration::from_secs(60);
    let mut asked = BTreeMap::new();
    for second in 0..70 {
        let requests = contacts.next_requests(now, false);
        // The first request after a pause begins the search.
        assert_eq!(requests.len(), MAX_REQUESTS, "in second {second}");
        for addr in requests {
            let last = asked.insert(addr, now).unwrap_or(now);
            let is_replica = contacts.entries[&addr].contact.unwrap().holds_replica;
            assert!(!is_replica || now - last <= Duration::from_secs(3));
        }
        now += LONG_SEARCH_INTERVAL;
    }
    assert_eq!(asked.len(), 250);
}

/// A process that holds a replica that is ready asks one other process in 5 s, so that processes that nobody knows are connected.
#[test]
fn next_requests_settled() {
    let start = Instant::now();
    let mut contacts = contacts(start, &[]);
    for number in 1..4 {
        contacts.record_message(start, contact(number, false));
    }
    let rounds = (0..120).map(|round| start + CHECK_STEP * 5 * round);
    let requests: usize = rounds
        .map(|now| contacts.next_requests(now, true).len())
        .sum();
    assert_eq!(requests, 12);
}

/// Guards against a process whose seeds know nobody, and which those that have it as a seed ask only after all others.
#[test]
fn next_requests_unconfirmed_seed() {
    let start = Instant::now();
    let mut contacts = contacts(start, &[300]);
    for number in 1..251 {
        contacts.record_message(start, contact(number, number <= 7));
        contacts.entries.get_mut(&addr(number)).unwrap().asked_at = Some(start);
    }
    contacts.entries.get_mut(&addr(300)).unwrap().asked_at = Some(start);
    let rounds = (1..60).map(|round| start + CHECK_STEP * 5 * round);
    let requests = rounds.map(|now| contacts.next_requests(now, true));
    let asked = requests.filter(|requests| requests.contains(&addr(300)));
    assert!(asked.count() >= 29);
}

/// Interval between simulated rounds.
pub(super) const CHECK_STEP: Duration = Duration::from_millis(100);
