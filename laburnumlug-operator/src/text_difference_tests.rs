use quickcheck::quickcheck;
use serde_json::json;

use super::*;

/// Returns a document that the bytes describe: lists with and without names, rows that repeat, and other members.
fn document(bytes: &[u8]) -> Value {
    let rows = |bytes: &[u8]| -> Vec<Value> {
        let rows = bytes.iter().map(|byte| match byte % 7 {
            0 => json!(byte / 64),
            1 => json!({ "host": byte / 64 }),
            _ => json!({ "name": format!("n\"{}", byte % 5), "weight": byte / 64, "shares": [byte / 128] }),
        });
        rows.collect()
    };
    let (routes, others) = bytes.split_at(bytes.len() / 2);
    match bytes.first() {
        Some(byte) if byte % 13 == 0 => json!([1, byte]),
        Some(byte) if byte % 5 == 0 => json!({ "routes": rows(routes), "limits": { "n": byte } }),
        _ => json!({ "routes": rows(routes), "others": rows(others), "name": bytes.len() % 3 }),
    }
}

quickcheck! {
    /// All replicas keep the same audit trail, also those of versions that parse both documents as a whole.
    fn diff_texts_equals_diff_documents(before: Vec<u8>, after: Vec<u8>, is_pretty: bool) -> bool {
        let (before, after) = (document(&before), document(&after));
        let text = match is_pretty {
            true => format!("{after:#}"),
            false => after.to_string(),
        };
        diff_texts(&before.to_string(), &text) == diff_documents(&before, &after)
    }
}

#[test]
fn diff_texts_cases() {
    let cases = [
        ("{}", "{}"),
        ("{}", r#"{"routes":[]}"#),
        (r#"{"routes":[{"name":"a"}]}"#, "{}"),
        (
            r#"{"routes":[{"name":"a","x":1}]}"#,
            r#"{"routes":[{"x":1,"name":"a"}]}"#,
        ),
        (
            r#"{"routes":[{"name":null}]}"#,
            r#"{"routes":[{"name":"a"}]}"#,
        ),
        (
            r#"{"routes":[{"name":"a"},{"name":"a"}]}"#,
            r#"{"routes":[{"name":"a"}]}"#,
        ),
        (
            r#"{"origin":{"number":1,"text":"x"}}"#,
            r#"{"origin":{"number":2,"text":"y"}}"#,
        ),
        ("no JSON", "{}"),
        ("{}", "[1]"),
        (r#"{"a":1,"a":2}"#, r#"{"a":2}"#),
    ];
    for (before, after) in cases {
        let expected = diff_documents(&parse(before), &parse(after));
        assert_eq!(diff_texts(before, after), expected, "{before} {after}");
    }
}
