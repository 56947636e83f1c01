//! Validation of fleet documents against the JSON schema `schema/fleet.json`.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::LazyLock;

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

use crate::fault::{Fault, truncate_quoted};
use crate::redaction::is_private;

/// JSON schema of the fleet document.
const SCHEMA_JSON: &str = include_str!("../../schema/fleet.json");

/// Path of the whole document in faults.
const ROOT: &str = "document";

/// Parsed schema and its compiled validator.
struct Schema {
    value: Value,
    validator: Validator,
    /// Validators of the rows of the document's lists, by the names of the lists.
    rows: BTreeMap<String, Validator>,
}

static SCHEMA: LazyLock<Schema> = LazyLock::new(|| {
    let value: Value =
        serde_json::from_str(SCHEMA_JSON).expect("schema/fleet.json should be valid JSON");
    let validator =
        jsonschema::validator_for(&value).expect("schema/fleet.json should be a valid JSON schema");
    let rows = row_validators(&value);
    Schema {
        value,
        validator,
        rows,
    }
});

fn row_validators(schema: &Value) -> BTreeMap<String, Validator> {
    let properties = schema["properties"].as_object().into_iter().flatten();
    let lists = properties.filter_map(|(name, list)| Some((name, list.get("items")?)));
    let validators = lists.map(|(name, items)| {
        let schema = json!({ "allOf": [items], "definitions": schema["definitions"] });
        let validator = jsonschema::validator_for(&schema);
        let validator =
            validator.expect("the rows of schema/fleet.json should have a valid schema");
        (name.clone(), validator)
    });
    validators.collect()
}

/// Returns whether a document satisfies the schema; only one row of its lists is parsed at a time.
///
/// Parsed as a whole, a document with thousands of routes takes tens of megabytes.
pub(crate) fn is_valid_text(text: &str) -> bool {
    let Ok(members) = serde_json::from_str::<BTreeMap<Cow<'_, str>, &RawValue>>(text) else {
        return false;
    };
    let mut rest = Map::new();
    for (name, member) in members {
        let rows = SCHEMA.rows.get(name.as_ref());
        let rows = rows.zip(serde_json::from_str::<Vec<&RawValue>>(member.get()).ok());
        let value = match rows {
            Some((validator, rows)) => rows
                .iter()
                .all(|row| parse(row).is_some_and(|row| validator.is_valid(&row)))
                .then(|| json!([])),
            None => parse(member),
        };
        match value {
            Some(value) => rest.insert(name.into_owned(), value),
            None => return false,
        };
    }
    SCHEMA.validator.is_valid(&Value::Object(rest))
}

fn parse(raw: &RawValue) -> Option<Value> {
    serde_json::from_str(raw.get()).ok()
}

/// Violation of the schema by a part of a document.
pub(crate) struct SchemaFault {
    pub(crate) fault: Fault,
    /// JSON pointers of the members whose removal clears the validation fault.
    pub(crate) removable: Vec<String>,
}

/// Returns all schema violations of `document`.
pub(crate) fn check_schema(document: &Value) -> Vec<SchemaFault> {
    SCHEMA
        .validator
        .iter_errors(document)
        .map(|err| to_schema_fault(&err))
        .collect()
}

fn to_schema_fault(err: &ValidationError<'_>) -> SchemaFault {
    let pointer = err.instance_path().as_str().to_string();
    let path = path_of_pointer(&pointer);
    let found = match is_private(&path) {
        true => describe_type(err.instance()).to_string(),
        false => truncate_quoted(&err.instance().to_string()),
    };
    let (found, allowed) = match err.kind() {
        ValidationErrorKind::AdditionalProperties { .. } if is_private(&path) && path != ROOT => (
            "an unknown key".to_string(),
            format!("keys {}", allowed_keys(err).join(", ")),
        ),
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let found = format!("unknown {}", unexpected.join(", "));
            (found, format!("keys {}", allowed_keys(err).join(", ")))
        }
        ValidationErrorKind::Required { property } => {
            (format!("no {property}"), format!("{property} is needed"))
        }
        ValidationErrorKind::Enum { options } => (found, describe_options(options)),
        ValidationErrorKind::Minimum { limit } => (found, format!("a number from {limit}")),
        ValidationErrorKind::Type {
            kind: TypeKind::Single(kind),
        } => (found, format!("a value of type {kind}")),
        kind => (
            found,
            format!("what the schema states as {}", kind.keyword()),
        ),
    };
    let removable = match err.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|key| format!("{pointer}/{}", escape_pointer_segment(key)))
            .collect(),
        ValidationErrorKind::Required { .. } => Vec::new(),
        _ => vec![pointer.clone()],
    };
    SchemaFault {
        fault: Fault::new(path, found, allowed),
        removable,
    }
}

/// Returns the type of a value that is not quoted.
fn describe_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}

/// Returns the keys that the schema allows in the object where `err` found an unknown one.
fn allowed_keys(err: &ValidationError<'_>) -> Vec<String> {
    let path = err.schema_path().as_str();
    let object = path.rsplit_once('/').map_or("", |(object, _)| object);
    let properties = SCHEMA.value.pointer(&format!("{object}/properties"));
    let properties = properties.and_then(Value::as_object);
    properties.map_or(Vec::new(), |keys| keys.keys().cloned().collect())
}

fn describe_options(options: &Value) -> String {
    let options = options.as_array().map_or(&[][..], Vec::as_slice);
    let names: Vec<&str> = options.iter().filter_map(Value::as_str).collect();
    format!("one of: {}", names.join(", "))
}

fn escape_pointer_segment(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

/// Converts a JSON pointer to a path, such as `/targets/2/service` to `targets[2].service`.
fn path_of_pointer(pointer: &str) -> String {
    let mut path = String::new();
    for segment in pointer.split('/').skip(1) {
        let segment = segment.replace("~1", "/").replace("~0", "~");
        match segment.parse::<usize>() {
            Ok(index) => path.push_str(&format!("[{index}]")),
            Err(_) if path.is_empty() => path = segment,
            Err(_) => path.push_str(&format!(".{segment}")),
        }
    }
    match path.is_empty() {
        true => ROOT.to_string(),
        false => path,
    }
}

#[cfg(test)]
#[path = "schema_tests.rs"]
mod tests;
