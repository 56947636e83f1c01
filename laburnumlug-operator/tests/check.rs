//! Validation faults; each case makes one change to a valid document.

use laburnumlug_operator::validate_document;
use serde_json::{Value, json};

fn valid_document() -> Value {
    serde_json::from_str(include_str!("data/good.json")).unwrap()
}

/// A change of the valid document and the paths of the faults that it causes.
struct Case {
    name: String,
    pointer: String,
    value: Value,
    paths: Vec<String>,
}

fn cases() -> Vec<Case> {
    let cases: Value = serde_json::from_str(include_str!("data/faults.json")).unwrap();
    let text = |value: &Value| value.as_str().unwrap().to_string();
    cases
        .as_array()
        .unwrap()
        .iter()
        .map(|case| Case {
            name: text(&case["name"]),
            pointer: text(&case["set"]),
            value: case["to"].clone(),
            paths: case["faults"]
                .as_array()
                .unwrap()
                .iter()
                .map(text)
                .collect(),
        })
        .collect()
}

/// Sets a member, which is added if it is missing.
fn set_member(document: &mut Value, pointer: &str, value: Value) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Object(members) => {
            members.insert(key.to_string(), value);
        }
        Value::Array(items) => match key.parse::<usize>().unwrap() {
            i if i < items.len() => items[i] = value,
            _ => items.push(value),
        },
        other => panic!("{parent} is {other}"),
    }
}

#[test]
fn validate_document_valid() {
    let document = validate_document(&valid_document().to_string()).unwrap();
    assert_eq!(document.targets.len(), 3);
}

#[test]
fn validate_document_each_fault() {
    for case in cases() {
        let mut document = valid_document();
        set_member(&mut document, &case.pointer, case.value);
        let faults = validate_document(&document.to_string()).unwrap_err();
        let mut paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
        paths.sort_unstable();
        assert_eq!(paths, case.paths, "{}: {faults:#?}", case.name);
        for fault in faults {
            assert!(!fault.found.is_empty(), "{}", case.name);
            assert!(!fault.allowed.is_empty(), "{}", case.name);
        }
    }
}

#[test]
fn validate_document_all_faults_at_once() {
    let mut document = valid_document();
    set_member(&mut document, "/targets/0/state", json!("gone"));
    set_member(&mut document, "/targets/0/capacity_pieces", json!(0));
    set_member(&mut document, "/targets/1/colour", json!("red"));
    set_member(&mut document, "/targets/2/service", json!("none"));
    set_member(
        &mut document,
        "/services/0/policy",
        json!({ "change_price_seconds": -1 }),
    );
    set_member(&mut document, "/services/1/models", json!(["digest"]));
    let faults = validate_document(&document.to_string()).unwrap_err();
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    for expected in [
        "targets[0].state",
        "targets[0].capacity_pieces",
        "targets[1]",
        "services[0].policy.change_price_seconds",
    ] {
        assert!(paths.contains(&expected), "{expected} is not in {paths:?}");
    }
    // Removing the invalid state leaves a required member missing, so the rules beyond the schema were not checked.
    assert!(!paths.contains(&"targets[2].service"));
    set_member(&mut document, "/targets/0/state", json!("serving"));
    let faults = validate_document(&document.to_string()).unwrap_err();
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    for expected in ["targets[1]", "targets[2].service", "services[1].models[0]"] {
        assert!(paths.contains(&expected), "{expected} is not in {paths:?}");
    }
}

#[test]
fn validate_document_not_json() {
    for text in ["", "{", "[]", "null", "{\"name\": 1, \"name\": 2}"] {
        assert!(validate_document(text).is_err(), "{text}");
    }
}

#[test]
fn validate_document_number_out_of_range() {
    let mut document = valid_document();
    set_member(
        &mut document,
        "/targets/0/capacity_pieces",
        json!(1u64 << 40),
    );
    let faults = validate_document(&document.to_string()).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
}

/// A member that is written twice counts once, as it did when documents were parsed as a whole.
#[test]
fn validate_document_member_twice() {
    let text = valid_document().to_string();
    let twice = text.replacen('{', r#"{"name":7,"#, 1);
    assert_eq!(
        validate_document(&twice).unwrap(),
        validate_document(&text).unwrap()
    );
    let last_is_odd = text.replacen('}', r#","name":7}"#, usize::MAX);
    assert!(validate_document(&last_is_odd).is_err());
}
