//! Renders the settings templates of `deploy/` as the platform does.

use serde_json::Value;

/// Fills in the placeholders and sections of `text` from `fields`.
pub fn render(text: &str, fields: &Value) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{") {
        let (tag, after) = after.split_once("}}").expect("a closed placeholder");
        out.push_str(before);
        rest = match tag.split_at(1) {
            ("#" | "^", name) => {
                let (inner, after) = after.split_once(&format!("{{{{/{name}}}}}")).unwrap();
                let value = field(fields, name);
                match (&tag[..1], value) {
                    ("#", Some(Value::Array(items))) => {
                        items
                            .iter()
                            .for_each(|item| out.push_str(&render(inner, item)));
                    }
                    ("#", Some(Value::Bool(false)) | None) => {}
                    ("#", Some(_)) | ("^", Some(Value::Bool(false)) | None) => {
                        out.push_str(&render(inner, fields));
                    }
                    _ => {}
                }
                after
            }
            _ => {
                out.push_str(&field(fields, tag).map(written).unwrap_or_default());
                after
            }
        };
    }
    out + rest
}

/// Returns the value at a path such as `a.b` or `a.0`; `.` is the whole value.
fn field<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    let value = match path {
        "." => Some(fields),
        _ => fields.pointer(&format!("/{}", path.replace('.', "/"))),
    };
    value.filter(|value| !value.is_null())
}

fn written(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(written).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
