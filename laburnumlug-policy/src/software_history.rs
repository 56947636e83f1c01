//! Tracks whether targets of several software versions serve beside each other.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use laburnumlug::{SoftwareRecord, SoftwareVersion};

/// Time by which gateways may differ in learning of a version from the platform's list.
const LISTING_SKEW: Duration = Duration::from_secs(3);

/// Time for which origins are reported although only one version is known, as a resumption may need them.
const UNCERTAIN_TIME: Duration = Duration::from_secs(60);

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
    /// Time before which targets of versions that this process does not know of may have served; `None` if there were none.
    unknown_before: Option<Instant>,
}

impl SoftwareHistory {
    /// Sets the versions of the targets that are or were recently listed; an empty list says nothing about versions.
    pub fn update(&mut self, now: Instant, versions: BTreeSet<Option<SoftwareVersion>>) {
        if versions.is_empty() || versions == self.versions {
            return;
        }
        if self.versions.is_empty() {
            self.unknown_before = Some(now);
        }
        if self.versions.len() == 1 {
            self.only_until = self.versions.pop_first().map(|version| (version, now));
        }
        self.versions = versions;
    }

    /// Extends what is known of the time before this process started by the record of the control replicas at `now`, which is
    /// `None` if they have never seen several versions at once. A record of other versions than those listed is ignored.
    pub fn add_record(&mut self, now: Instant, record: Option<&SoftwareRecord>) {
        let known_since = match record {
            None => None,
            Some(record) if record.versions == self.versions => {
                now.checked_sub(Duration::from_millis(record.unchanged_ms))
            }
            Some(_) => return,
        };
        let earlier = |before: Instant| known_since.map(|since| before.min(since));
        self.unknown_before = self.unknown_before.and_then(earlier);
    }

    /// Returns whether there are targets of several versions.
    fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns whether the origins of streams matter: there are targets of several versions, or there may have been shortly
    /// before this process started.
    pub fn needs_origins(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < UNCERTAIN_TIME;
        self.is_mixed() || self.unknown_before.is_some_and(is_recent)
    }

    /// Returns where a stream began that nobody has reported, and that is at most `max_age` old.
    pub fn assumed_origin(&self, now: Instant, max_age: Duration) -> AssumedOrigin {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < max_age + LISTING_SKEW;
        match &self.only_until {
            _ if self.unknown_before.is_some_and(is_recent) => AssumedOrigin::Unknown,
            _ if !self.is_mixed() => AssumedOrigin::Any,
            Some((version, until)) if is_recent(*until) => AssumedOrigin::Version(version.clone()),
            _ => AssumedOrigin::Unknown,
        }
    }
}

#[cfg(test)]
#[path = "software_history_tests.rs"]
mod tests;
