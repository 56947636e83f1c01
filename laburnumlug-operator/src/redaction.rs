//! Texts of fleet documents without API keys and their hashes.

use serde_json::{Map, Value, json};

/// Returns a document for display: keys of customers as their number, and the text it was translated from as its size.
///
/// A short key can be found from its hash, and the text may hold the keys in clear.
///
/// # Examples
///
/// ```
/// use laburnumlug_operator::redact_document;
/// use serde_json::json;
///
/// let document = json!({ "name": "g", "customers": [{ "name": "a", "keys": ["5e88"], "rank": 1 }] });
/// assert_eq!(
///     redact_document(&document),
///     json!({ "name": "g", "customers": [{ "name": "a", "keys": 1, "rank": 1 }] })
/// );
/// ```
pub fn redact_document(document: &Value) -> Value {
    let Value::Object(members) = document else {
        return redact_keys(document);
    };
    let redacted = members
        .iter()
        .map(|(key, value)| (key.clone(), redact_at(key, value)));
    Value::Object(redacted.collect())
}

/// Returns the value at a path of a document for display, with list rows in the path identified by name or index.
pub(crate) fn redact_at(path: &str, value: &Value) -> Value {
    let (list, rest) = path.split_at(path.find(['[', '.']).unwrap_or(path.len()));
    match (list, value) {
        ("customers", Value::Array(rows)) if rest.is_empty() => {
            rows.iter().map(redact_customer).collect()
        }
        ("customers", Value::Object(_)) if rest.ends_with(']') => redact_customer(value),
        ("customers", _) if path.ends_with("].name") || path.ends_with("].rank") => value.clone(),
        ("customers", _) => redact_keys(value),
        ("origin", Value::Object(members)) if rest.is_empty() => {
            let number = members.get("number").cloned().unwrap_or_default();
            let text = members.get("text").map(redact_text);
            json!({ "number": number, "text": text })
        }
        ("origin", _) if rest != ".number" => redact_text(value),
        _ => value.clone(),
    }
}

/// Returns whether values at a path may be keys, their hashes, or texts with keys.
pub(crate) fn is_private(path: &str) -> bool {
    let list = path.split(['[', '.']).next().unwrap_or_default();
    matches!(list, "customers" | "origin" | "document")
}

fn redact_customer(customer: &Value) -> Value {
    let Value::Object(members) = customer else {
        return redact_keys(customer);
    };
    let shown = members
        .iter()
        .filter_map(|(key, value)| match key.as_str() {
            "name" | "rank" => Some((key.clone(), value.clone())),
            "keys" => Some((key.clone(), redact_keys(value))),
            _ => None,
        });
    Value::Object(shown.collect::<Map<String, Value>>())
}

fn redact_keys(keys: &Value) -> Value {
    match keys {
        Value::Array(keys) => json!(keys.len()),
        Value::Null => Value::Null,
        _ => json!("not shown"),
    }
}

fn redact_text(text: &Value) -> Value {
    match text {
        Value::String(text) => json!(format!("{} bytes", text.len())),
        _ => json!("not shown"),
    }
}

#[cfg(test)]
#[path = "redaction_tests.rs"]
mod tests;
