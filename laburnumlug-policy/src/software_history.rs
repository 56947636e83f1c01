//! Tracks whether targets of several software versions serve beside each other.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use laburnumlug::SoftwareVersion;

/// Time by which gateways may differ in learning of a version from the platform's list.
const LISTING_SKEW: Duration = Duration::from_secs(3);

/// Software version at which a stream began whose origin nobody has reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssumedOrigin {
    /// All targets have one version, so that any will do.
    Any,
    /// The version that was the only one when the stream began.
    Version(Option<SoftwareVersion>),
    /// Any of several versions may have begun the stream.
    Unknown,
}

/// Software versions of the targets of one service; `None` is the version of targets that state none.
///
/// Gateways report the origins of streams only while they know of several versions. A stream that none has reported was
/// therefore begun by a gateway that knew of one version.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Versions of the targets that are or were recently listed.
    versions: BTreeSet<Option<SoftwareVersion>>,
    /// The last version that was the only one, and until when, if others have been seen since.
    only_until: Option<(Option<SoftwareVersion>, Instant)>,
}

impl SoftwareHistory {
    /// Sets the versions of the targets that are or were recently listed; an empty list says nothing about versions.
    pub fn update(&mut self, now: Instant, versions: BTreeSet<Option<SoftwareVersion>>) {
        if versions.is_empty() || versions == self.versions {
            return;
        }
        if self.versions.len() == 1 {
            self.only_until = self.versions.pop_first().map(|version| (version, now));
        }
        self.versions = versions;
    }

    /// Returns whether there are targets of several versions.
    pub fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns where a stream began that nobody has reported, and that is at most `max_age` old.
    pub fn assumed_origin(&self, now: Instant, max_age: Duration) -> AssumedOrigin {
        match &self.only_until {
            _ if !self.is_mixed() => AssumedOrigin::Any,
            Some((version, until))
                if now.saturating_duration_since(*until) < max_age + LISTING_SKEW =>
            {
                AssumedOrigin::Version(version.clone())
            }
            _ => AssumedOrigin::Unknown,
        }
    }
}

#[cfg(test)]
#[path = "software_history_tests.rs"]
mod tests;
