//! Targets that are leaving or have left, by their own statement or by the target list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumlug::TargetName;

/// How long a target is remembered. A list that lags shows a target for some minutes after it has left.
const RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of targets that are remembered; the oldest are dropped first.
const MAX_TARGETS: usize = 1024;

struct DepartedTarget {
    /// Address, or `None` if another gateway reported the target before it was listed here.
    addr: Option<SocketAddr>,
    since: Instant,
}

/// Remembers targets that are leaving or have left, also those that are not listed.
///
/// After a restart, a gateway learns of them from the others, usually before it has the target list. The list may still
/// show them as ready.
#[derive(Default)]
pub(crate) struct DepartedTargets {
    targets: HashMap<TargetName, DepartedTarget>,
}

impl DepartedTargets {
    /// Records that a target is leaving; `addr` is its address if it is listed.
    pub(crate) fn record(&mut self, now: Instant, name: &TargetName, addr: Option<SocketAddr>) {
        match self.targets.get_mut(name) {
            Some(target) => target.addr = addr.or(target.addr),
            None => {
                self.targets
                    .retain(|_, target| now.saturating_duration_since(target.since) < RETENTION);
                if self.targets.len() >= MAX_TARGETS {
                    self.remove_oldest();
                }
                let target = DepartedTarget { addr, since: now };
                self.targets.insert(name.clone(), target);
            }
        }
    }

    /// Returns whether a target that is newly listed at `addr` is leaving. Another address belongs to another
    /// incarnation, which is not.
    pub(crate) fn contains(&self, name: &TargetName, addr: SocketAddr) -> bool {
        let target = self.targets.get(name);
        target.is_some_and(|target| target.addr.is_none_or(|known| known == addr))
    }

    /// Returns the names of all remembered targets.
    pub(crate) fn names(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.keys()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.targets.iter().min_by_key(|(_, target)| target.since);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.targets.remove(&name);
        }
    }
}

#[cfg(test)]
#[path = "departed_targets_tests.rs"]
mod tests;
