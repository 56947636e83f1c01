//! Three-way merge of fleet documents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Outcome of a three-way merge.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MergeOutcome {
    /// Merged document.
    pub document: Value,
    /// Paths at which both sides made different changes; the value of `ours` was taken.
    pub overruled: Vec<String>,
}

/// Merges `ours` and `theirs`, which are both derived from `base`.
///
/// A value that only one side changed is taken from that side. List rows are matched by their `name`; rows added by
/// `ours` come last. If both sides changed the same value, or one removed what the other changed, `ours` wins and
/// the path is reported.
///
/// # Examples
///
/// ```
/// use laburnumlug_operator::merge_documents;
/// use serde_json::json;
///
/// let base = json!({ "targets": [{ "name": "a", "state": "serving" }] });
/// let ours = json!({ "targets": [{ "name": "a", "state": "leaving" }] });
/// let theirs = json!({ "targets": [{ "name": "a", "state": "serving" }, { "name": "b" }] });
/// let merged = merge_documents(&base, &ours, &theirs);
/// let expected = json!({ "targets": [{ "name": "a", "state": "leaving" }, { "name": "b" }] });
/// assert_eq!(merged.document, expected);
/// assert!(merged.overruled.is_empty());
/// ```
pub fn merge_documents(base: &Value, ours: &Value, theirs: &Value) -> MergeOutcome {
    let mut overruled = Vec::new();
    let merged = merge_values("", Some(base), Some(ours), Some(theirs), &mut overruled);
    MergeOutcome {
        document: merged.unwrap_or(Value::Null),
        overruled,
    }
}

fn merge_values(
    path: &str,
    base: Option<&Value>,
    ours: Option<&Value>,
    theirs: Option<&Value>,
    overruled: &mut Vec<String>,
) -> Option<Value> {
    if ours == base || ours == theirs {
        return theirs.cloned();
    }
    if theirs == base {
        return ours.cloned();
    }
    if let (Some(Value::Object(ours)), Some(Value::Object(theirs))) = (ours, theirs) {
        let base = base.and_then(Value::as_object);
        return Some(merge_members(path, base, ours, theirs, overruled));
    }
    if let (Some(base), Some(ours), Some(theirs)) =
        (named_rows(base), named_rows(ours), named_rows(theirs))
    {
        return Some(merge_rows(path, &base, &ours, &theirs, overruled));
    }
    overruled.push(path.to_string());
    ours.cloned()
}

fn merge_members(
    path: &str,
    base: Option<&Map<String, Value>>,
    ours: &Map<String, Value>,
    theirs: &Map<String, Value>,
    overruled: &mut Vec<String>,
) -> Value {
    let added = ours.keys().filter(|key| !theirs.contains_key(*key));
    let mut merged = Map::new();
    for key in theirs.keys().chain(added) {
        let path = match path.is_empty() {
            true => key.clone(),
            false => format!("{path}.{key}"),
        };
        let before = base.and_then(|base| base.get(key));
        let value = merge_values(&path, before, ours.get(key), theirs.get(key), overruled);
        if let Some(value) = value {
            merged.insert(key.clone(), value);
        }
    }
    Value::Object(merged)
}

/// Rows of a list by name, with their order.
struct NamedRows<'a> {
    order: Vec<&'a str>,
    by_name: BTreeMap<&'a str, &'a Value>,
}

/// Returns the rows of a list, or `None` if the value is not a list of uniquely named rows.
///
/// A missing list is treated as empty.
fn named_rows(list: Option<&Value>) -> Option<NamedRows<'_>> {
    let list = match list {
        None => &[][..],
        Some(list) => list.as_array()?,
    };
    let has_name = |row: &'_ Value| row.get("name").and_then(Value::as_str).is_some();
    if !list.iter().all(has_name) {
        return None;
    }
    let named = list
        .iter()
        .filter_map(|row| Some((row["name"].as_str()?, row)));
    let by_name: BTreeMap<&str, &Value> = named.clone().collect();
    let order: Vec<&str> = named.map(|(name, _)| name).collect();
    (by_name.len() == order.len()).then_some(NamedRows { order, by_name })
}

fn merge_rows(
    path: &str,
    base: &NamedRows<'_>,
    ours: &NamedRows<'_>,
    theirs: &NamedRows<'_>,
    overruled: &mut Vec<String>,
) -> Value {
    let added = ours.order.iter();
    let added = added.filter(|name| !theirs.by_name.contains_key(*name));
    let mut merged = Vec::new();
    for name in theirs.order.iter().chain(added) {
        let row = |rows: &NamedRows<'_>| rows.by_name.get(name).map(|row| (*row).clone());
        let (base, ours, theirs) = (row(base), row(ours), row(theirs));
        let path = format!("{path}[{name}]");
        let row = merge_values(
            &path,
            base.as_ref(),
            ours.as_ref(),
            theirs.as_ref(),
            overruled,
        );
        merged.extend(row);
    }
    Value::Array(merged)
}

#[cfg(test)]
mod tests {
    use quickcheck::{Arbitrary, Gen, quickcheck};
    use serde_json::json;

    use super::*;

    /// Small document, so that changes of two documents often conflict.
    #[derive(Clone, Debug)]
    struct Document(Value);

    impl Arbitrary for Document {
        fn arbitrary(g: &mut Gen) -> Document {
            let mut rows = Vec::new();
            for name in ["a", "b", "c"] {
                if bool::arbitrary(g) {
                    let state = if bool::arbitrary(g) {
                        "serving"
                    } else {
                        "leaving"
                    };
                    rows.push(json!({ "name": name, "state": state, "zone": bool::arbitrary(g) }));
                }
            }
            Document(json!({ "name": u8::arbitrary(g) % 3, "targets": rows }))
        }
    }

    #[test]
    fn merge_documents_cases() {
        let base = json!({ "targets": [{ "name": "a", "x": 1 }, { "name": "b", "x": 1 }] });
        let cases = [
            // Each side changed a different row.
            (
                json!({ "targets": [{ "name": "a", "x": 2 }, { "name": "b", "x": 1 }] }),
                json!({ "targets": [{ "name": "b", "x": 3 }, { "name": "a", "x": 1 }] }),
                json!({ "targets": [{ "name": "b", "x": 3 }, { "name": "a", "x": 2 }] }),
                vec![],
            ),
            // `ours` removed a row, `theirs` added one.
            (
                json!({ "targets": [{ "name": "a", "x": 1 }] }),
                json!({ "targets": [{ "name": "a", "x": 1 }, { "name": "b", "x": 1 }, { "name": "c" }] }),
                json!({ "targets": [{ "name": "a", "x": 1 }, { "name": "c" }] }),
                vec![],
            ),
            // Both sides changed the same value.
            (
                json!({ "targets": [{ "name": "a", "x": 2 }, { "name": "b", "x": 1 }] }),
                json!({ "targets": [{ "name": "a", "x": 3 }, { "name": "b", "x": 1 }] }),
                json!({ "targets": [{ "name": "a", "x": 2 }, { "name": "b", "x": 1 }] }),
                vec!["targets[a].x"],
            ),
            // `ours` changed a row that `theirs` removed.
            (
                json!({ "targets": [{ "name": "a", "x": 2 }, { "name": "b", "x": 1 }] }),
                json!({ "targets": [{ "name": "b", "x": 1 }] }),
                json!({ "targets": [{ "name": "b", "x": 1 }, { "name": "a", "x": 2 }] }),
                vec!["targets[a]"],
            ),
        ];
        for (ours, theirs, expected, overruled) in cases {
            let merged = merge_documents(&base, &ours, &theirs);
            assert_eq!(merged.document, expected);
            assert_eq!(merged.overruled, overruled);
        }
    }

    quickcheck! {
        fn merge_documents_one_side_changed(base: Document, changed: Document) -> bool {
            let (base, changed) = (base.0, changed.0);
            let ours = merge_documents(&base, &changed, &base);
            let theirs = merge_documents(&base, &base, &changed);
            ours.document == changed && theirs.document == changed
                && ours.overruled.is_empty() && theirs.overruled.is_empty()
        }

        fn merge_documents_same_rows_either_way(base: Document, a: Document, b: Document) -> bool {
            let one = merge_documents(&base.0, &a.0, &b.0);
            let other = merge_documents(&base.0, &b.0, &a.0);
            // Without a conflict only the order of the rows depends on which side is `ours`.
            !one.overruled.is_empty()
                || crate::diff_documents(&one.document, &other.document).is_empty()
        }

        fn merge_documents_again_changes_nothing(base: Document, a: Document, b: Document) -> bool {
            let once = merge_documents(&base.0, &a.0, &b.0).document;
            merge_documents(&b.0, &once, &b.0).document == once
        }
    }
}
