use super::*;
use crate::{diff_documents, validate_document};

/// Text that may not be shown, in place of keys and hashes.
const SECRET: &str = "5ec7e7";

/// Returns documents with the secret in the places of keys, and in places where an operator may put them by mistake.
fn documents_with_secret() -> Vec<Value> {
    let customers = [
        json!([{ "name": "a", "keys": [SECRET] }]),
        json!([{ "name": "a", "keys": SECRET }]),
        json!([{ "name": "a", "keys": [{ "key": SECRET }] }]),
        json!([{ "name": "a", "keys": [], "key": SECRET }]),
        json!([SECRET]),
        json!([[SECRET]]),
        json!(SECRET),
        json!({ "a": { "keys": [SECRET] } }),
    ];
    let with = |member: &str, value: Value| {
        let mut document = json!({ "name": "g", "models": [], "services": [], "targets": [] });
        document[member] = value;
        document
    };
    let origin = [
        json!({ "number": 1, "text": SECRET }),
        json!({ "number": 1, "text": [SECRET] }),
        json!(SECRET),
    ];
    let customers = customers.into_iter().map(|value| with("customers", value));
    let origin = origin.into_iter().map(|value| with("origin", value));
    customers.chain(origin).chain([json!([SECRET])]).collect()
}

/// Guards against keys and hashes that reach the audit trail, logs and operators' terminals by differences and faults.
#[test]
fn differences_and_faults_show_no_keys() {
    let documents = documents_with_secret();
    let base = json!({ "name": "g", "models": [], "services": [], "targets": [] });
    let empty_row =
        json!({ "name": "g", "customers": [{ "name": "a" }], "origin": { "number": 0 } });
    for document in &documents {
        for before in documents.iter().chain([&base, &empty_row, &Value::Null]) {
            if document.is_object() {
                let differences = diff_documents(before, document);
                assert!(
                    !format!("{differences:?}").contains(SECRET),
                    "{differences:?}"
                );
            }
        }
        if let Err(faults) = validate_document(&document.to_string()) {
            assert!(!format!("{faults:?}").contains(SECRET), "{faults:?}");
        }
    }
}

#[test]
fn diff_documents_customers() {
    let before =
        json!({ "customers": [{ "name": "a", "keys": ["x"] }, { "name": "b", "keys": [] }] });
    let after = json!({ "customers": [{ "name": "a", "keys": ["y", "z"], "rank": 1 }] });
    let differences = diff_documents(&before, &after);
    let shown: Vec<String> = differences.iter().map(ToString::to_string).collect();
    let expected = [
        "~ customers[a].keys: 1 -> 2",
        "+ customers[a].rank: 1",
        r#"- customers[b]: {"keys":0,"name":"b"}"#,
    ];
    assert_eq!(shown, expected);
}
