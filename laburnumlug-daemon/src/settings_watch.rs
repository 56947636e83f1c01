//! Watches the settings file for changes while the process runs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::settings::{RoleSettings, SettingsFile};

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the content must stay the same before it is applied, as its writer may not have finished.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Maximum number of reads of a file that keeps changing.
const MAX_READS: usize = 4;

/// Applies changes of the settings file.
pub(crate) struct SettingsWatch<T> {
    file: RefCell<SettingsFile<T>>,
    apply: Box<dyn Fn(&T)>,
}

impl<T> SettingsWatch<T>
where
    T: RoleSettings + 'static,
{
    /// Starts to poll `file`; `apply` is called with changed settings.
    pub(crate) fn start<F>(file: SettingsFile<T>, apply: F) -> Rc<SettingsWatch<T>>
    where
        F: Fn(&T) + 'static,
    {
        let watch = Rc::new(SettingsWatch {
            file: RefCell::new(file),
            apply: Box::new(apply),
        });
        compio::runtime::spawn(watch.clone().run()).detach();
        watch
    }

    async fn run(self: Rc<Self>) {
        loop {
            compio::time::sleep(POLL_INTERVAL).await;
            self.check().await;
        }
    }

    /// Applies what has changed since the last check.
    pub(crate) async fn check(&self) {
        let Some(mut text) = self.read_changed() else {
            return;
        };
        for _ in 0..MAX_READS {
            compio::time::sleep(SETTLE_TIME).await;
            match self.read_changed() {
                Some(settled) if settled == text => break,
                Some(changed) => text = changed,
                None => return,
            }
        }
        if self.file.borrow_mut().reload(text) {
            (self.apply)(self.file.borrow().settings());
        }
    }

    /// Returns the content of the file if it has changed since it was applied.
    fn read_changed(&self) -> Option<String> {
        let file = self.file.borrow();
        match std::fs::read_to_string(file.path()) {
            Ok(text) => (text != file.text()).then_some(text),
            Err(err) => {
                log::debug!(
                    "failed to read the settings file, keeping the previous settings: {err}"
                );
                None
            }
        }
    }
}
