//! `docs/OPERATIONS.md` names each field that log lines bear, and no other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns all source files of the packages, tests left out.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_string();
        match path.is_dir() {
            true if !matches!(name.as_str(), "target" | "tests" | "journal" | ".git") => {
                sources(&path, found);
            }
            false if name.ends_with(".rs") && !name.ends_with("_tests.rs") => found.push(path),
            _ => {}
        }
    }
}

/// Returns the text up to the `end` that stands outside of strings and of further brackets.
fn up_to(text: &str, end: char) -> Option<&str> {
    let (mut depth, mut in_text, mut last) = (0_i32, false, ' ');
    for (i, c) in text.char_indices() {
        match c {
            '"' if last != '\\' => in_text = !in_text,
            _ if in_text => {}
            c if c == end && depth == 0 => return Some(&text[..i]),
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        last = c;
    }
    None
}

/// Returns the keys of all structured fields in calls of the log macros.
fn fields_of_sources() -> BTreeSet<String> {
    let mut files = Vec::new();
    sources(&root(), &mut files);
    let mut found = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap();
        for call in text.split("log::").skip(1) {
            let levels = ["error!(", "warn!(", "info!(", "debug!("];
            let Some(call) = levels.iter().find_map(|level| call.strip_prefix(level)) else {
                continue;
            };
            let arguments = up_to(call, ')').unwrap();
            let Some(mut pairs) = up_to(arguments, ';') else {
                continue;
            };
            while !pairs.trim().is_empty() {
                let pair = up_to(pairs, ',').unwrap_or(pairs);
                let key = pair.split('=').next().unwrap().trim();
                found.insert(key.to_string());
                pairs = pairs[pair.len()..].trim_start_matches(',');
            }
        }
    }
    found
}

/// Returns the first column of the table under the heading `Log fields`.
fn fields_of_page() -> BTreeSet<String> {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let (_, section) = page.split_once("### Log fields\n").unwrap();
    let section = section.split("\n#").next().unwrap();
    let names = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    names.map(|(name, _)| name.to_string()).collect()
}

#[test]
fn operations_page_names_each_log_field() {
    let fields = fields_of_sources();
    assert!(fields.contains("request_id"), "{fields:?}");
    assert_eq!(fields_of_page(), fields);
}
