use super::*;
use crate::settings::SettingsFile;

fn read(line: &str) -> Result<GatewaySettings, SettingsError> {
    let path = std::env::temp_dir().join(format!("gateway-{}.ini", rand::random::<u64>()));
    let text = format!(
        "[process]\nvm = g\nzone = a\n[mesh]\nkey = k\ncontrol = 127.0.0.1:1\n[gateway]\nlisten = 127.0.0.1:0\n\
         ready = 127.0.0.1:0\nmesh_listen = 127.0.0.1:0\ntarget_list = 127.0.0.1:1\n{line}\n"
    );
    std::fs::write(&path, text).unwrap();
    let file = SettingsFile::<GatewaySettings>::open(&path);
    std::fs::remove_file(path).unwrap();
    file.map(|file| file.settings().clone())
}

/// Guards against a gateway that does not start because its template leaves the value empty, and against a malformed bound
/// that counts as none.
#[test]
fn read_max_key_age() {
    let age = |line: &str| read(line).map(|settings| settings.max_key_age);
    assert_eq!(age("").unwrap(), None);
    assert_eq!(age("max_key_age_ms =").unwrap(), None);
    assert_eq!(age("max_key_age_ms = ").unwrap(), None);
    let five_seconds = Some(Duration::from_secs(5));
    assert_eq!(age("max_key_age_ms = 5000").unwrap(), five_seconds);
    assert_eq!(age("max_key_age_ms = 5000.0").unwrap(), five_seconds);
    for malformed in ["0", "-1", "NaN", "inf", "5 s"] {
        assert!(age(&format!("max_key_age_ms = {malformed}")).is_err());
    }
}
