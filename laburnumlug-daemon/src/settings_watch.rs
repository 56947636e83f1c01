//! Watches the settings file for changes while the process runs.

use std::path::PathBuf;
use std::time::Duration;

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the file and calls `reload` whenever its content has changed.
pub(crate) async fn run<F>(path: PathBuf, reload: F)
where
    F: Fn(),
{
    let mut last_content = std::fs::read(&path).ok();
    loop {
        compio::time::sleep(POLL_INTERVAL).await;
        match std::fs::read(&path) {
            Ok(content) if last_content.as_ref() != Some(&content) => {
                log::info!("the settings file has changed");
                last_content = Some(content);
                reload();
            }
            Ok(_) => {}
            Err(err) => log::debug!(
                "failed to read the settings file, keeping the previous settings: {err}"
            ),
        }
    }
}
