//! Changes of the settings file while the process runs.

use std::path::PathBuf;
use std::time::Duration;

/// How often the file is looked at; it may change without any signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Signal number of SIGHUP.
const SIGHUP: i32 = 1;

/// Calls `reload` whenever the content of the file has changed.
pub(crate) async fn run<F>(path: PathBuf, reload: F)
where
    F: Fn(),
{
    compio::runtime::spawn(ignore_hang_ups()).detach();
    let mut held = std::fs::read(&path).ok();
    loop {
        compio::time::sleep(LOOK_INTERVAL).await;
        match std::fs::read(&path) {
            Ok(content) if held.as_ref() != Some(&content) => {
                log::info!("the settings have changed");
                held = Some(content);
                reload();
            }
            Ok(_) => {}
            Err(err) => log::debug!("the settings cannot be read again: {err}"),
        }
    }
}

/// Keeps SIGHUP from ending the process; the file is looked at all the same.
async fn ignore_hang_ups() {
    while compio::signal::unix::signal(SIGHUP).await.is_ok() {
        log::info!("SIGHUP: the settings are looked at");
    }
}
