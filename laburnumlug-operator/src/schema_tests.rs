use super::*;

/// Returns the places of all values in `value`, as JSON pointers.
fn places(value: &Value, place: &str, out: &mut Vec<String>) {
    out.push(place.to_string());
    match value {
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(i, item)| places(item, &format!("{place}/{i}"), out));
        }
        Value::Object(members) => {
            let members = members.iter();
            members.for_each(|(key, member)| places(member, &format!("{place}/{key}"), out));
        }
        _ => {}
    }
}

/// Guards against a document that one way of checking it accepts and the other refuses: replicas of two versions would then
/// hold different documents.
#[test]
fn is_valid_text_equals_check_schema() {
    let good: Value = serde_json::from_str(include_str!("../tests/data/good.json")).unwrap();
    let mut all = Vec::new();
    places(&good, "", &mut all);
    let odd = [
        json!(null),
        json!(-1),
        json!(0),
        json!(1.5),
        json!("x"),
        json!(true),
        json!([]),
        json!([{}]),
        json!({ "odd": 1 }),
    ];
    let mut invalid = 0;
    for place in &all {
        for value in &odd {
            let mut changed = good.clone();
            *changed.pointer_mut(place).unwrap() = value.clone();
            let is_valid = check_schema(&changed).is_empty();
            invalid += usize::from(!is_valid);
            assert_eq!(
                is_valid_text(&changed.to_string()),
                is_valid,
                "{place}: {value}"
            );
        }
    }
    assert!(is_valid_text(&good.to_string()));
    assert!(
        all.len() > 50 && invalid > all.len(),
        "{invalid} of {}",
        all.len()
    );
}

#[test]
fn is_valid_text_not_json() {
    for text in ["", "{", "[]", "7", r#"{"name":}"#] {
        assert!(!is_valid_text(text), "{text}");
    }
}

#[test]
fn path_of_pointer_cases() {
    assert_eq!(path_of_pointer(""), "document");
    assert_eq!(path_of_pointer("/targets/2/service"), "targets[2].service");
    assert_eq!(path_of_pointer("/a~1b/c"), "a/b.c");
}
