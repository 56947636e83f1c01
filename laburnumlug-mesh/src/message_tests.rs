use std::collections::BTreeMap;

use laburnumlug::ReplicaId;

use super::*;
use crate::connection::{decode_message, encode};

/// Messages about the fleet document as the version before usage reports had encoded them.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierMessage {
    Control(EarlierControlMessage),
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierControlMessage {
    FetchFleet {
        known: FleetVersion,
    },
    Fleet {
        standing: VotingStatus,
        logged_change: u64,
        applied_change: u64,
        version: FleetVersion,
        document: Option<CompressedText>,
    },
}

fn voting_status() -> VotingStatus {
    let replica = ReplicaId {
        name: "a".to_string(),
        incarnation: 1,
    };
    VotingStatus {
        verified: true,
        membership: 1,
        voters: vec![replica.clone()],
        replica,
    }
}

fn earlier_fleet() -> EarlierMessage {
    EarlierMessage::Control(EarlierControlMessage::Fleet {
        standing: voting_status(),
        logged_change: 3,
        applied_change: 2,
        version: 1,
        document: None,
    })
}

fn fleet(time_ms: Option<u64>) -> Message {
    Message::Control(ControlMessage::Fleet {
        voting_status: voting_status(),
        logged_change: 3,
        applied_change: 2,
        version: 1,
        document: None,
        time_ms,
    })
}

fn fetch(usage: Option<UsageReport>) -> Message {
    Message::Control(ControlMessage::FetchFleet { known: 7, usage })
}

/// Encodes one message and decodes it with the types of another version.
fn reencode<T, U>(message: &T) -> U
where
    T: Serialize,
    U: for<'a> Deserialize<'a>,
{
    let value = ciborium::Value::serialized(message).unwrap();
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    ciborium::from_reader(bytes.as_slice()).unwrap()
}

/// Processes of the earlier version must be able to read requests with counts, and answers with a time.
#[test]
fn messages_read_by_earlier_version() {
    let usage = UsageReport {
        sender: u64::MAX,
        window_ms: 5000,
        window_ns: 0,
        time_ms: Some(1_767_225_600_123),
        counted_until_ms: Some(1_767_225_600_000),
        counts: BTreeMap::from([(353_445_120, BTreeMap::from([("hule".to_string(), 412)]))]),
    };
    let earlier_fetch = EarlierMessage::Control(EarlierControlMessage::FetchFleet { known: 7 });
    assert_eq!(
        reencode::<_, EarlierMessage>(&fetch(Some(usage.clone()))),
        earlier_fetch
    );
    assert_eq!(
        reencode::<_, EarlierMessage>(&fleet(Some(1))),
        earlier_fleet()
    );
    let bytes = encode("r", &fetch(Some(usage.clone()))).unwrap();
    assert_eq!(decode_message(&bytes).unwrap().1, fetch(Some(usage)));
}

/// Messages of processes of the earlier version must be read, and without the setting the same bytes must be sent.
#[test]
fn messages_of_earlier_version() {
    let earlier_fetch = EarlierMessage::Control(EarlierControlMessage::FetchFleet { known: 7 });
    assert_eq!(reencode::<_, Message>(&earlier_fetch), fetch(None));
    assert_eq!(reencode::<_, Message>(&earlier_fleet()), fleet(None));
    assert_eq!(
        encode("r", &earlier_fetch).unwrap(),
        encode("r", &fetch(None)).unwrap()
    );
    assert_eq!(
        encode("r", &earlier_fleet()).unwrap(),
        encode("r", &fleet(None)).unwrap()
    );
}
