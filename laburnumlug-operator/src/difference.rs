//! Differences between two fleet documents.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::fault::truncate_quoted;
use crate::redaction::{redact_at, redact_document};

/// One value that differs between two fleet documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Path in the document, with list rows identified by name, as in `targets[skriver-2].state`.
    pub path: String,
    /// Old value as JSON, truncated if it is long; `None` if the value was added.
    pub before: Option<String>,
    /// New value as JSON, truncated if it is long; `None` if the value was removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (None, None) => write!(f, "= {}", self.path),
        }
    }
}

/// Returns the differences between `before` and `after`.
///
/// List rows are matched by their `name`, so a row that only moved does not count as a difference.
///
/// # Examples
///
/// ```
/// use laburnumlug_operator::diff_documents;
/// use serde_json::json;
///
/// let before = json!({ "targets": [{ "name": "a", "state": "serving" }, { "name": "b" }] });
/// let after = json!({ "targets": [{ "name": "b" }, { "name": "a", "state": "leaving" }] });
/// let differences = diff_documents(&before, &after);
/// assert_eq!(differences[0].to_string(), r#"~ targets[a].state: "serving" -> "leaving""#);
/// assert_eq!(differences.len(), 1);
/// ```
pub fn diff_documents(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    diff_values("", Some(before), Some(after), &mut differences);
    differences
}

pub(crate) fn diff_values(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(before)), Some(Value::Object(after))) = (before, after) {
        return diff_members(path, before, after, differences);
    }
    if let (Some(before), Some(after)) = (rows_by_name(before), rows_by_name(after))
        && !(before.is_empty() && after.is_empty())
    {
        return diff_rows(path, &before, &after, differences);
    }
    let describe = |value: &Value| {
        let shown = match path {
            "" => redact_document(value),
            _ => redact_at(path, value),
        };
        truncate_quoted(&shown.to_string())
    };
    differences.push(Difference {
        path: path.to_string(),
        before: before.map(describe),
        after: after.map(describe),
    });
}

fn diff_members(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    differences: &mut Vec<Difference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let path = match path.is_empty() {
            true => key.clone(),
            false => format!("{path}.{key}"),
        };
        diff_values(&path, before.get(key), after.get(key), differences);
    }
}

fn diff_rows(
    path: &str,
    before: &BTreeMap<&str, &Value>,
    after: &BTreeMap<&str, &Value>,
    differences: &mut Vec<Difference>,
) {
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        let path = format!("{path}[{name}]");
        diff_values(
            &path,
            before.get(name).copied(),
            after.get(name).copied(),
            differences,
        );
    }
}

/// Returns the rows of a list by name, or `None` if the value is not a list of uniquely named rows.
///
/// A missing list is treated as empty.
fn rows_by_name(list: Option<&Value>) -> Option<BTreeMap<&str, &Value>> {
    let Some(list) = list else {
        return Some(BTreeMap::new());
    };
    let rows = list.as_array()?;
    let by_name: BTreeMap<&str, &Value> = rows
        .iter()
        .filter_map(|row| Some((row.get("name")?.as_str()?, row)))
        .collect();
    (by_name.len() == rows.len()).then_some(by_name)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn formatted_differences(before: Value, after: Value) -> Vec<String> {
        let differences = diff_documents(&before, &after);
        differences.iter().map(Difference::to_string).collect()
    }

    #[test]
    fn diff_documents_cases() {
        let cases = [
            (json!({}), json!({}), vec![]),
            (
                json!({ "name": "a" }),
                json!({ "name": "b" }),
                vec![r#"~ name: "a" -> "b""#],
            ),
            (
                json!({}),
                json!({ "targets": [{ "name": "a" }] }),
                vec![r#"+ targets[a]: {"name":"a"}"#],
            ),
            (
                json!({ "services": [{ "name": "s", "floors": { "decode": 1 } }] }),
                json!({ "services": [{ "name": "s" }] }),
                vec![r#"- services[s].floors: {"decode":1}"#],
            ),
            (
                json!({ "targets": [{ "name": "a", "adapters": ["x"] }] }),
                json!({ "targets": [{ "name": "a", "adapters": ["x", "y"] }] }),
                vec![r#"~ targets[a].adapters: ["x"] -> ["x","y"]"#],
            ),
        ];
        for (before, after, expected) in cases {
            assert_eq!(formatted_differences(before, after), expected);
        }
    }

    #[test]
    fn diff_documents_long_value() {
        let differences = diff_documents(
            &json!({ "name": "a" }),
            &json!({ "name": "é".repeat(1000) }),
        );
        assert!(differences[0].after.as_ref().unwrap().chars().count() < 200);
    }
}
