//! Differences between the texts of two fleet documents.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::difference::{Difference, diff_documents, diff_values};

/// Members of a document, or rows of a list by name, as they are written.
type RawMap<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

/// Name of a row; other members are skipped.
#[derive(Deserialize)]
struct RowName<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// Returns the differences between the documents `before` and `after`, which are the same as those of [`diff_documents`].
///
/// Only what is written differently is parsed: a document with thousands of routes takes tens of megabytes when it is parsed
/// as a whole, and successive documents differ in a few rows. Text that is no JSON counts as null.
pub fn diff_texts(before: &str, after: &str) -> Vec<Difference> {
    let (Some(before), Some(after)) = (raw_members(before), raw_members(after)) else {
        return diff_documents(&parse(before), &parse(after));
    };
    let mut differences = Vec::new();
    diff_raw(
        &before,
        &after,
        &mut differences,
        |key, before, after, out| match (raw_rows(before), raw_rows(after)) {
            (Some(before), Some(after)) if !(before.is_empty() && after.is_empty()) => {
                diff_raw(&before, &after, out, |name, before, after, out| {
                    diff_parsed(&format!("{key}[{name}]"), before, after, out);
                });
            }
            _ => diff_parsed(key, before, after, out),
        },
    );
    differences
}

/// Calls `diff` for each entry that is written differently in the two maps.
fn diff_raw<F>(before: &RawMap<'_>, after: &RawMap<'_>, out: &mut Vec<Difference>, diff: F)
where
    F: Fn(&str, Option<&RawValue>, Option<&RawValue>, &mut Vec<Difference>),
{
    let keys: BTreeSet<&str> = before.keys().chain(after.keys()).map(Cow::as_ref).collect();
    for key in keys {
        let (before, after) = (before.get(key).copied(), after.get(key).copied());
        if before.map(RawValue::get) != after.map(RawValue::get) {
            diff(key, before, after, out);
        }
    }
}

fn diff_parsed(
    path: &str,
    before: Option<&RawValue>,
    after: Option<&RawValue>,
    out: &mut Vec<Difference>,
) {
    let before = before.map(|raw| parse(raw.get()));
    let after = after.map(|raw| parse(raw.get()));
    diff_values(path, before.as_ref(), after.as_ref(), out);
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or(Value::Null)
}

/// Returns the members of an object, or `None` if the text is none.
fn raw_members(text: &str) -> Option<RawMap<'_>> {
    serde_json::from_str(text).ok()
}

/// Returns the rows of a list by name, or `None` if the value is not a list of uniquely named rows; a missing list is empty.
fn raw_rows(list: Option<&RawValue>) -> Option<RawMap<'_>> {
    let Some(list) = list else {
        return Some(RawMap::new());
    };
    let rows: Vec<&RawValue> = serde_json::from_str(list.get()).ok()?;
    let mut by_name = RawMap::new();
    for row in &rows {
        let name: RowName<'_> = serde_json::from_str(row.get()).ok()?;
        by_name.insert(name.name, *row);
    }
    (by_name.len() == rows.len()).then_some(by_name)
}

#[cfg(test)]
#[path = "text_difference_tests.rs"]
mod tests;
