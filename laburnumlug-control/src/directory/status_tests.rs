use std::time::Instant;

use laburnumlug_mesh::{ControlContact, DirectoryReport, Readiness, ReportedContact};

use super::*;
use crate::directory::contacts::Contacts;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn contact(port: u16, holds_replica: bool) -> ControlContact {
    ControlContact {
        mesh: addr(port),
        operators: addr(port + 1000),
        holds_replica,
    }
}

#[test]
fn status_of_seeds_and_others() {
    let start = Instant::now();
    let seeds = [addr(2), addr(3), addr(4)];
    let mut contacts = Contacts::new(start, contact(1, false), seeds);
    let other = ReportedContact {
        contact: contact(3, true),
        age_ms: 0,
    };
    let report = DirectoryReport {
        own: contact(2, false),
        readiness: Readiness::Unready,
        membership: 7,
        voters: Vec::new(),
        others: vec![other],
    };
    contacts.record_report(start, start, addr(2), &report);
    let now = start + Duration::from_secs(2);
    let status = contacts.status(now);
    assert_eq!((status.direct, status.reported), (1, 1));
    assert_eq!((status.replicas, status.membership), (1, 7));
    assert_eq!(status.time_without_replica, Duration::from_secs(2));
    let seeds = status.seeds.iter().map(ToString::to_string);
    let expected = [
        "127.0.0.1:2 (no replica, 2 s ago)",
        "127.0.0.1:3 (replica, no message)",
        "127.0.0.1:4 (unknown, no message)",
    ];
    assert_eq!(seeds.collect::<Vec<String>>(), expected);
    contacts.record_message(now, contact(3, true));
    let status = contacts.status(now);
    assert_eq!((status.direct, status.reported), (2, 0));
}
