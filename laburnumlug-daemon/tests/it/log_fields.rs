//! Checks that `docs/OPERATIONS.md` lists exactly the structured fields of the log records.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Collects the Rust files below `folder`, except in folders named `target`, `tests`, `journal` or `.git` and in
/// `*_tests.rs`.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        match path.is_dir() {
            true if !matches!(name.as_str(), "target" | "tests" | "journal" | ".git") => {
                collect_sources(&path, found);
            }
            false if name.ends_with(".rs") && !name.ends_with("_tests.rs") => found.push(path),
            _ => {}
        }
    }
}

/// Returns the text before the first `end` outside string literals and nested brackets.
fn text_before(text: &str, end: char) -> Option<&str> {
    let (mut depth, mut in_string, mut last) = (0_i32, false, ' ');
    for (i, c) in text.char_indices() {
        match c {
            '"' if last != '\\' => in_string = !in_string,
            _ if in_string => {}
            c if c == end && depth == 0 => return Some(&text[..i]),
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        last = c;
    }
    None
}

/// Returns the keys of the structured fields in all log macro calls.
fn source_fields() -> BTreeSet<String> {
    let mut files = Vec::new();
    collect_sources(&workspace_root(), &mut files);
    let mut found = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap();
        for call in text.split("log::").skip(1) {
            let levels = ["error!(", "warn!(", "info!(", "debug!("];
            let Some(call) = levels.iter().find_map(|level| call.strip_prefix(level)) else {
                continue;
            };
            let arguments = text_before(call, ')').unwrap();
            let Some(mut pairs) = text_before(arguments, ';') else {
                continue;
            };
            while !pairs.trim().is_empty() {
                let pair = text_before(pairs, ',').unwrap_or(pairs);
                let key = pair.split('=').next().unwrap().trim();
                found.insert(key.to_string());
                pairs = pairs[pair.len()..].trim_start_matches(',');
            }
        }
    }
    found
}

/// Returns the first column of the table under the heading `Log fields`.
fn documented_fields() -> BTreeSet<String> {
    let page = std::fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).unwrap();
    let (_, section) = page.split_once("### Log fields\n").unwrap();
    let section = section.split("\n#").next().unwrap();
    let names = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    names.map(|(name, _)| name.to_string()).collect()
}

#[test]
fn operations_page_names_each_log_field() {
    let fields = source_fields();
    assert!(fields.contains("request_id"), "{fields:?}");
    assert_eq!(documented_fields(), fields);
}
