//! Checks that `docs/SETTINGS.md` lists exactly the keys of the settings.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns the text between the first `start` and the next `end`, and the text after that.
fn split_between<'a>(text: &'a str, start: &str, end: &str) -> Option<(&'a str, &'a str)> {
    let (_, rest) = text.split_once(start)?;
    rest.split_once(end)
}

/// Returns the keys in the section tables of the sources, as `[section] key`.
fn source_keys() -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/settings");
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let text = std::fs::read_to_string(entry.unwrap().path()).unwrap();
        let code = text.split("#[cfg(test)]").next().unwrap();
        let mut rest = code;
        while let Some((_, after)) = rest.split_once(": Section = Section {") {
            let (section, after) = split_between(after, "name: \"", "\"").unwrap();
            let (keys, after) = split_between(after, "keys: &[", "]").unwrap();
            for key in keys.split('"').skip(1).step_by(2) {
                found.insert(format!("[{section}] {key}"));
            }
            rest = after;
        }
    }
    found
}

/// Returns the keys in the tables of the page, as `[section] key`.
fn documented_keys() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/SETTINGS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let mut section = "";
    let mut found = BTreeSet::new();
    for line in text.lines() {
        if let Some(heading) = line.strip_prefix("## ") {
            section = heading;
        } else if let Some((key, _)) = split_between(&line.replace("` † |", "` |"), "| `", "` |")
        {
            found.insert(format!("{section} {key}"));
        }
    }
    found
}

#[test]
fn settings_page_names_each_key() {
    let sources = source_keys();
    assert!(sources.contains("[entry] listen"), "{sources:?}");
    assert_eq!(documented_keys(), sources);
}
