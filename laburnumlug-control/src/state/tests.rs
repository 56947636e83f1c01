//! Tests of the replicated state.

use super::*;
use crate::command::{Accepted, FleetChange, FleetRefusal};

const DOCUMENT: &str = r#"{"name":"g","models":[],"services":[],"targets":[]}"#;

fn submit(state: &mut State, change: FleetChange) -> Result<Accepted, FleetRefusal> {
    let record = Record {
        time_ms: 0,
        command: Command::Fleet(change),
    };
    match state.apply(record) {
        Outcome::Fleet(result) => result,
        other => panic!("unexpected outcome: {other:?}"),
    }
}

#[test]
fn apply_register_earlier_incarnation() {
    let mut state = State::new();
    let report = |started_ms, version| NodeReport {
        process: "entry-1".into(),
        incarnation: started_ms,
        started_ms,
        version,
    };
    for report in [report(2, 5), report(1, 9), report(2, 4)] {
        let command = Command::Node(NodeCommand::Register(report));
        state.apply(Record {
            time_ms: 0,
            command,
        });
    }
    assert_eq!(state.nodes(), vec![report(2, 5)]);
}

#[test]
fn apply_first_of_equal_bases_wins() {
    let mut state = State::new();
    let anna = submit(&mut state, FleetChange::new("anna", 0, DOCUMENT));
    assert_eq!(anna, Ok(Accepted { version: 1 }));
    let bent = submit(&mut state, FleetChange::new("bent", 0, DOCUMENT));
    let conflict = FleetRefusal::Conflict {
        base: 0,
        version: 1,
        changed_by: "anna".into(),
    };
    assert_eq!(bent, Err(conflict));
}

#[test]
fn apply_duplicate_gets_first_answer() {
    let mut state = State::new();
    let change = FleetChange::new("anna", 0, DOCUMENT).key(Some("k".into()));
    assert_eq!(
        submit(&mut state, change.clone()),
        Ok(Accepted { version: 1 })
    );
    submit(&mut state, FleetChange::new("bent", 1, DOCUMENT)).unwrap();
    assert_eq!(submit(&mut state, change), Ok(Accepted { version: 1 }));
}

#[test]
fn apply_key_of_another_change() {
    let mut state = State::new();
    let key = Some("k".to_string());
    submit(
        &mut state,
        FleetChange::new("anna", 0, DOCUMENT).key(key.clone()),
    )
    .unwrap();
    let other = FleetChange::new("anna", 1, DOCUMENT).key(key);
    assert_eq!(
        submit(&mut state, other),
        Err(FleetRefusal::KeyReused { key: "k".into() })
    );
}

#[test]
fn apply_audits_each_result() {
    let mut state = State::new();
    let change = FleetChange::new("anna", 0, DOCUMENT).key(Some("k".into()));
    submit(&mut state, change.clone()).unwrap();
    submit(&mut state, change).unwrap();
    submit(&mut state, FleetChange::new("bent", 0, DOCUMENT)).unwrap_err();
    submit(&mut state, FleetChange::new("bent", 1, "{}")).unwrap_err();
    let other = FleetChange::new("anna", 1, DOCUMENT).key(Some("k".into()));
    submit(&mut state, other).unwrap_err();
    let records: Vec<(&str, &str)> = state
        .audit()
        .records()
        .map(|record| (record.operator.as_str(), record.outcome.name()))
        .collect();
    let expected = [
        ("anna", "accepted"),
        ("bent", "conflict"),
        ("bent", "invalid"),
        ("anna", "key-reused"),
    ];
    assert_eq!(records, expected);
}

/// A replica that is upgraded must read the snapshot of an earlier version, which has no usage, no orders of targets and no
/// software versions.
#[test]
fn decode_without_duties() {
    let mut state = State::new();
    submit(&mut state, FleetChange::new("anna", 0, DOCUMENT)).unwrap();
    let ciborium::Value::Map(mut fields) = ciborium::Value::serialized(&state).unwrap() else {
        panic!("the state is not a map");
    };
    let fields_before = fields.len();
    let added = ["usage", "servers", "software"].map(ciborium::Value::from);
    fields.retain(|(name, _)| !added.contains(name));
    assert_eq!(fields.len() + added.len(), fields_before);
    let decoded: State = ciborium::Value::Map(fields).deserialized().unwrap();
    assert_eq!(decoded.fleet().version, 1);
    assert_eq!(decoded.usage().pending().count(), 0);
    assert!(decoded.servers().orders().is_empty());
    assert!(decoded.software().records(0).is_empty());
}
