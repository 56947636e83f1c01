use std::time::Duration;

use super::super::gateway::GatewaySettings;
use super::*;

const VALID: &str = "[process]\nvm = g\nzone = a\n[mesh]\nkey = k\ncontrol = 127.0.0.1:1\n[gateway]\n\
    listen = 127.0.0.1:0\nready = 127.0.0.1:0\nmesh_listen = 127.0.0.1:0\ntarget_list = 127.0.0.1:1\n\
    grace_s = 8\nretry_slack = 58\nmax_key_age_ms = 5000\n";

/// Returns the settings of a process whose file has the content `text` at the start, or the fault.
fn open(text: &str) -> Result<SettingsFile<GatewaySettings>, SettingsError> {
    let path = std::env::temp_dir().join(format!("file-{}.ini", rand::random::<u64>()));
    std::fs::write(&path, text).unwrap();
    let file = SettingsFile::open(&path);
    std::fs::remove_file(path).unwrap();
    file
}

fn rendered(text: &str) -> String {
    text.replace("zone = a\n", "zone = a\nrendered = yes\n")
}

fn described(fault: &SettingsError) -> String {
    let text = fault.to_string();
    text.split_once(".ini").unwrap().1.to_string()
}

/// Guards against a faulty limit of the platform that keeps every process from starting, and against a mistake in a file that an
/// operator wrote that goes unnoticed.
#[test]
fn open_limit_not_allowed() {
    let text = VALID.replace("grace_s = 8", "grace_s = soon");
    let fault = open(&text).err().unwrap();
    let expected = ":12: [gateway] grace_s: found \"soon\", allowed: a number of seconds above 0";
    assert_eq!(described(&fault), expected);
    let file = open(&rendered(&text)).unwrap();
    assert_eq!(file.settings().grace_period, Duration::from_secs(8));
    assert_eq!(file.settings().retry_slack, 58.0);
    let [fault] = &file.replaced[..] else {
        panic!("one fault: {:?}", file.replaced);
    };
    assert_eq!(described(fault), expected.replace(":12:", ":13:"));
    let text = VALID.replace("max_key_age_ms = 5000", "max_key_age_ms = 0");
    assert!(open(&text).is_err());
    // Without a limit, revoked keys would be accepted for any time.
    let age = open(&rendered(&text)).unwrap().settings().max_key_age;
    assert_eq!(age, Some(Duration::from_secs(2)));
}

/// Guards against a limit that a deployment does not have and that keeps every process from starting.
#[test]
fn open_limit_empty() {
    let text = VALID.replace("retry_slack = 58", "retry_slack =");
    assert!(open(&text).is_err());
    let file = open(&rendered(&text)).unwrap();
    assert_eq!(file.settings().retry_slack, 50.0);
    assert!(file.replaced.is_empty());
}

/// Guards against mistakes other than limits, for which no default is safe, in a file that the platform filled in.
#[test]
fn open_rendered_with_other_mistakes() {
    let mistakes = [
        ("listen = 127.0.0.1:0\nready", "listen = here\nready"),
        ("control = 127.0.0.1:1", "control ="),
        ("grace_s", "grace"),
        ("[gateway]", "[gate]"),
    ];
    for (valid, mistake) in mistakes {
        let text = rendered(&VALID.replace(valid, mistake));
        assert!(open(&text).is_err(), "{mistake}");
    }
}

/// Guards against changed seeds that are lost because another line of the changed file is faulty.
#[test]
fn reload_applies_all_but_faulty_values() {
    for text in [VALID.to_string(), rendered(VALID)] {
        let mut file = open(&text).unwrap();
        let changed = text
            .replace("control = 127.0.0.1:1", "control = 127.0.0.1:2")
            .replace("grace_s = 8", "grace_s = soon")
            .replace("listen = 127.0.0.1:0\nready", "ready")
            .replace("retry_slack = 58", "retry_slack = 60.5\nunknown = 1")
            .replace("max_key_age_ms = 5000", "max_key_age_ms = -1");
        assert!(file.reload(changed));
        let settings = file.settings();
        assert_eq!(settings.mesh.control[0].port(), 2);
        assert_eq!(settings.grace_period, Duration::from_secs(8));
        assert_eq!(settings.retry_slack, 60.5);
        assert_eq!(settings.max_key_age, Some(Duration::from_secs(5)));
        // A value that was kept is kept again, and a file that cannot be read changes nothing.
        assert!(!file.reload("[process".to_string()));
        assert!(file.reload(text.replace("grace_s = 8", "grace_s = later")));
        assert_eq!(file.settings().grace_period, Duration::from_secs(8));
        assert!(file.reload(text.replace("grace_s = 8", "grace_s = 2.5")));
        assert_eq!(file.settings().grace_period, Duration::from_millis(2500));
    }
}
