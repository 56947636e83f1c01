//! Removal of engine events whose kind a later version has introduced.

use ciborium::Value;
use laburnumlug::EngineEvent;

/// Names of the fields and variants of gateway messages that hold lists of engine events.
const EVENT_LISTS: [&str; 4] = ["Engines", "events", "Begun", "Continued"];

/// Removes the events of unknown kinds from an encoded gateway message, and returns their number.
///
/// Gateways of several versions run beside each other during an upgrade, and must not lose the events that both know.
pub(crate) fn remove_unknown_events(message: &mut Value) -> usize {
    match message {
        Value::Map(entries) => entries
            .iter_mut()
            .map(|(key, value)| match value {
                Value::Array(events) if is_event_list(key) => {
                    let before = events.len();
                    events.retain(|event| event.deserialized::<EngineEvent>().is_ok());
                    before - events.len()
                }
                value => remove_unknown_events(value),
            })
            .sum(),
        Value::Array(items) => items.iter_mut().map(remove_unknown_events).sum(),
        _ => 0,
    }
}

fn is_event_list(key: &Value) -> bool {
    let key = key.as_text();
    key.is_some_and(|key| EVENT_LISTS.contains(&key))
}

#[cfg(test)]
#[path = "unknown_events_tests.rs"]
mod tests;
