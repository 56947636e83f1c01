use super::*;

const SECTIONS: &[Section] = &[Section {
    name: "entry",
    keys: &["listen", "limit"],
}];

fn read(text: &str) -> Result<Reader, SettingsError> {
    Reader::parse(Path::new("entry.ini"), text.to_string(), SECTIONS, None)
}

fn error_text<T>(result: Result<T, SettingsError>) -> String {
    result.err().map(|err| err.to_string()).unwrap_or_default()
}

#[test]
fn parse_unknown_key() {
    let text = "[entry]\nlisten = 127.0.0.1:1\nlisten_on = x\n";
    assert!(error_text(read(text)).starts_with("entry.ini:3: [entry] listen_on: found key"));
}

#[test]
fn parse_unknown_section() {
    assert!(error_text(read("[entry]\n[exit]\na = 1\n")).starts_with("entry.ini:2: [exit]: found"));
}

#[test]
fn parse_key_outside_section() {
    assert!(error_text(read("listen = 1\n")).contains("keys below a [section]"));
}

#[test]
fn parse_key_twice() {
    assert!(error_text(read("[entry]\nlisten = a\nlisten = b\n")).contains("key listen twice"));
}

#[test]
fn required_missing() {
    let reader = read("\n[entry]\nlimit = 1\n").unwrap();
    let result = reader.required("entry", "listen", "IP:PORT", parse_addr);
    assert_eq!(
        error_text(result),
        "entry.ini:2: [entry] listen: found nothing, allowed: IP:PORT"
    );
}

#[test]
fn required_wrong_type() {
    let reader = read("[entry]\nlisten = localhost\n").unwrap();
    let result = reader.required("entry", "listen", "IP:PORT", parse_addr);
    assert_eq!(
        error_text(result),
        "entry.ini:2: [entry] listen: found \"localhost\", allowed: IP:PORT"
    );
}
