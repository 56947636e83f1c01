use super::*;

/// Guards against keys in clear text on the wire and in the memory of gateways.
#[test]
fn sent_document_with_customers() {
    let text = r#"{"name":"g","customers":[{"name":"a","keys":[]}],"origin":{"number":7,"text":"{\"keys\":[\"secret\"]}"},
        "models":[],"services":[],"targets":[]}"#;
    let sent: Value = serde_json::from_str(&sent_document(text)).unwrap();
    let mut expected: Value = serde_json::from_str(text).unwrap();
    expected.as_object_mut().unwrap().remove("origin");
    assert_eq!(sent, expected);
    assert!(!sent.to_string().contains("secret"));
}

#[test]
fn sent_document_without_customers() {
    for customers in ["", r#""customers": null, "#] {
        let text = format!(r#"{{ {customers}"origin": {{ "number": 7, "text": "t" }} }}"#);
        assert_eq!(sent_document(&text), text);
    }
}
