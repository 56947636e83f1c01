use laburnumlug::{StreamOrigin, TargetName};
use serde::{Deserialize, Serialize};

use super::*;
use crate::connection::{decode_message, encode};
use crate::{ForwardedEvents, GatewayMessage, Message, SessionChange};

/// Engine events as the landed version before streams and contents had encoded them.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierEvent {
    Sent {
        number: u64,
        engine: TargetName,
        work: u64,
        priority: u8,
        parts: Vec<(u64, u64)>,
    },
    Crashed {
        engine: TargetName,
        age_ms: u64,
        parts: Vec<u64>,
    },
}

fn reencode<T, U>(value: &T) -> U
where
    T: Serialize,
    U: for<'a> Deserialize<'a>,
{
    Value::serialized(value).unwrap().deserialized().unwrap()
}

fn leaving(target: &str) -> EngineEvent {
    EngineEvent::TargetLeaving {
        target: target.to_string(),
    }
}

fn event(kind: &str, fields: &[(&str, Value)]) -> Value {
    let fields = fields.iter();
    let fields = fields.map(|(name, value)| (Value::from(*name), value.clone()));
    let fields = Value::Map(fields.collect());
    Value::Map(vec![(Value::from(kind), fields)])
}

fn rate(tokens_per_s: Value) -> Value {
    event(
        "Rate",
        &[
            ("engine", Value::from("i-1")),
            ("tokens_per_s", tokens_per_s),
        ],
    )
}

/// Returns events that this version cannot decode: of an unknown kind, with a field missing or of another type, and values
/// that are no events.
fn unknown_events() -> Vec<Value> {
    vec![
        event("Planned", &[("target", Value::from("i-1"))]),
        event("Leaving", &[]),
        rate(Value::from(0.0)),
        rate(Value::from(f64::NAN)),
        rate(Value::from(1e308)),
        rate(Value::from(-1)),
        event("Leaving", &[("target", Value::from(5))]),
        event("Sent", &[("number", Value::from("x"))]),
        Value::from("Leaving"),
        Value::from(-1),
        Value::Null,
        Value::Bytes(vec![0xff; 8]),
        Value::Array(vec![event("Leaving", &[])]),
    ]
}

/// Inserts events that cannot be decoded at the start of each list of events.
fn insert_unknown_events(message: &mut Value) {
    match message {
        Value::Map(entries) => {
            for (key, value) in entries {
                match value {
                    Value::Array(events) if is_event_list(key) => {
                        events.splice(0..0, unknown_events());
                    }
                    value => insert_unknown_events(value),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(insert_unknown_events),
        _ => {}
    }
}

/// A message of a later version holds events that this one cannot decode, beside others.
#[test]
fn decode_message_with_unknown_events() {
    let forwarded = |change| ForwardedEvents {
        sender: 2,
        session: 1,
        change,
    };
    let message = Message::Gateway(GatewayMessage::EnginesAndForwarded {
        events: vec![leaving("i-1"), leaving("i-2")],
        forwarded: vec![
            forwarded(SessionChange::Begun(vec![leaving("i-3")])),
            forwarded(SessionChange::Continued(vec![leaving("i-4")])),
            forwarded(SessionChange::Ended),
        ],
    });
    let mut later = Value::serialized(&message).unwrap();
    insert_unknown_events(&mut later);
    let bytes = encode("r", &later).unwrap();
    assert_eq!(decode_message(&bytes).unwrap(), ("r".to_string(), message));
}

#[test]
fn decode_message_without_known_kind() {
    let fields = vec![(Value::from("Planned"), Value::Null)];
    let bytes = encode("r", &Value::Map(fields)).unwrap();
    assert!(decode_message(&bytes).is_err());
}

/// The version before reads the events of this one without their new fields, and this one reads its events.
#[test]
fn events_of_earlier_version() {
    let sent = EngineEvent::PromptSent {
        number: 7,
        engine: "i-1".to_string(),
        work: 30,
        priority: 2,
        parts: vec![(5, 40)],
        output_tokens: 250,
        stream: Some(StreamOrigin {
            stream: 9,
            software: Some("v1".to_string()),
        }),
        customer: Some(11),
    };
    let crashed = EngineEvent::TargetCrashed {
        target: "i-1".to_string(),
        age_ms: 3,
        parts: vec![5],
        contents: vec![6],
        progress: vec![700, 800],
    };
    let earlier_sent: EarlierEvent = reencode(&sent);
    let earlier_crashed: EarlierEvent = reencode(&crashed);
    let expected = EarlierEvent::Crashed {
        engine: "i-1".to_string(),
        age_ms: 3,
        parts: vec![5],
    };
    assert_eq!(earlier_crashed, expected);
    let EngineEvent::PromptSent {
        number,
        output_tokens,
        stream,
        customer,
        ..
    } = reencode(&earlier_sent)
    else {
        panic!("{earlier_sent:?}");
    };
    assert_eq!(
        (number, output_tokens, stream, customer),
        (7, 0, None, None)
    );
    let EngineEvent::TargetCrashed {
        contents, progress, ..
    } = reencode(&earlier_crashed)
    else {
        panic!("{earlier_crashed:?}");
    };
    assert!(contents.is_empty() && progress.is_empty());
}
