//! Parsing and validation of fleet documents.

use laburnumlug::FleetDocument;
use serde_json::Value;

use crate::check::check_document;
use crate::fault::Fault;
use crate::schema::{SchemaFault, check_schema, is_valid_text};

/// Parses a fleet document that has already been validated.
///
/// # Errors
///
/// Fails with the position and cause of the first part that does not fit the schema;
/// [`validate_document`] reports all of them.
pub fn parse_document(text: &str) -> Result<FleetDocument, Fault> {
    serde_json::from_str(text).map_err(|err| syntax_fault(&err))
}

/// Parses a fleet document and checks it against the schema and the rules that the schema cannot express.
///
/// # Errors
///
/// Fails with all validation faults at once, or with a single one if the text is not JSON. Parts that violate the
/// schema are removed before the other rules are checked. If the rest lacks a required part, those rules are not
/// checked, and only the schema faults are reported.
///
/// # Examples
///
/// ```
/// let text = r#"{ "name": "g", "models": [], "services": [], "targets": [
///     { "name": "a", "service": "x", "zone": "z", "address": "here", "state": "gone" }
/// ] }"#;
/// let faults = laburnumlug_operator::validate_document(text).unwrap_err();
/// assert_eq!(faults[0].path, "targets[0].state");
/// assert_eq!(faults[0].allowed, "one of: arriving, serving, leaving");
/// ```
pub fn validate_document(text: &str) -> Result<FleetDocument, Vec<Fault>> {
    match serde_json::from_str::<FleetDocument>(text) {
        Ok(document) if is_valid_text(text) => {
            let faults = check_document(&document);
            match faults.is_empty() {
                true => Ok(document),
                false => Err(faults),
            }
        }
        _ => validate_parsed(text),
    }
}

/// Validates a document that violates the schema, or that has a member twice, of which the last one counts.
fn validate_parsed(text: &str) -> Result<FleetDocument, Vec<Fault>> {
    let value: Value = serde_json::from_str(text).map_err(|err| vec![syntax_fault(&err)])?;
    let schema_faults = check_schema(&value);
    let remaining = remove_faulty_members(value, &schema_faults);
    let document = serde_json::from_value::<FleetDocument>(remaining);
    let mut faults: Vec<Fault> = schema_faults.into_iter().map(|f| f.fault).collect();
    match document {
        Ok(document) => {
            faults.extend(check_document(&document));
            match faults.is_empty() {
                true => Ok(document),
                false => Err(faults),
            }
        }
        // The generated types accept a smaller range of numbers than the schema.
        Err(err) if faults.is_empty() => Err(vec![type_fault(&err)]),
        Err(_) => Err(faults),
    }
}

/// Removes the members that violate the schema, so that the rest can still be checked.
fn remove_faulty_members(mut document: Value, faults: &[SchemaFault]) -> Value {
    for pointer in faults.iter().flat_map(|fault| &fault.removable) {
        let Some((parent, key)) = pointer.rsplit_once('/') else {
            continue;
        };
        if let Some(Value::Object(members)) = document.pointer_mut(parent) {
            members.remove(&key.replace("~1", "/").replace("~0", "~"));
        }
    }
    document
}

fn syntax_fault(err: &serde_json::Error) -> Fault {
    let position = format!("line {}, column {}", err.line(), err.column());
    Fault::new(
        position,
        err.to_string(),
        "a document that schema/fleet.json describes",
    )
}

fn type_fault(err: &serde_json::Error) -> Fault {
    Fault::new(
        "document",
        err.to_string(),
        "a document that schema/fleet.json describes",
    )
}
