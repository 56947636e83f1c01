//! Tracks whether targets of several software versions serve beside each other.

use std::collections::BTreeSet;
use std::time::Duration;

use laburnumlug::{BootTime, SoftwareRecord, SoftwareVersion};

/// Time by which gateways may differ in learning of a version from the platform's list.
const LISTING_SKEW: Duration = Duration::from_secs(3);

/// Time for which origins are reported although only one version is known, as a resumption may need them.
const UNCERTAIN_TIME: Duration = Duration::from_secs(60);

/// Age of the newest list from which targets of other versions may have joined unnoticed. Gateways read a list twice a
/// second.
const MAX_LIST_AGE: Duration = Duration::from_millis(1500);

/// Time between two lists from which a version may have joined and left unnoticed. Targets stay listed for some seconds after
/// they have begun to leave.
const MAX_LIST_GAP: Duration = Duration::from_secs(6);

/// Software version at which a stream began whose origin nobody has reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssumedOrigin {
    /// No target is known, so that any will do.
    Any,
    /// The version that was the only one when the stream began.
    Version(Option<SoftwareVersion>),
    /// Any of several versions may have begun the stream.
    Unknown,
}

/// Software versions of the targets of one service; `None` is the version of targets that state none.
///
/// Gateways report the origins of streams only while they know of several versions. A stream that none has reported was
/// therefore begun by a gateway that knew of one version. That holds only as long as this process has read the lists and
/// received the reports: one that was frozen or cut off may have missed both.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Versions of the targets that are or were recently listed.
    versions: BTreeSet<Option<SoftwareVersion>>,
    /// When the newest list was read.
    listed_at: Option<BootTime>,
    /// The last version that was the only one, and until when, if others have been seen since.
    only_until: Option<(Option<SoftwareVersion>, BootTime)>,
    /// Time before which targets of versions that this process does not know of may have served; `None` if there were none.
    unknown_before: Option<BootTime>,
}

impl SoftwareHistory {
    /// Sets the versions of the targets that are or were recently listed in a list read at `read_at`, and returns whether other
    /// versions may have served before.
    ///
    /// An empty list says nothing about versions. An older list than the newest is ignored.
    pub fn update(
        &mut self,
        read_at: BootTime,
        versions: BTreeSet<Option<SoftwareVersion>>,
    ) -> bool {
        if versions.is_empty() || self.listed_at.is_some_and(|newest| read_at < newest) {
            return false;
        }
        let previous = self.listed_at.replace(read_at);
        let is_gap = |at| read_at.saturating_duration_since(at) > MAX_LIST_GAP;
        let has_gap = previous.is_none_or(is_gap);
        if has_gap {
            self.unknown_before = Some(read_at);
        }
        if versions != self.versions {
            if self.versions.len() == 1 {
                // The other versions may have joined right after the previous list was read.
                let until = previous.unwrap_or(read_at);
                self.only_until = self.versions.pop_first().map(|version| (version, until));
            }
            self.versions = versions;
        }
        has_gap
    }

    /// Records that a list read at `read_at` showed the same targets as the one before, and returns the same as
    /// [`SoftwareHistory::update`].
    pub fn confirm(&mut self, read_at: BootTime) -> bool {
        self.update(read_at, self.versions.clone())
    }

    /// Extends what is known of the time before this process started, or in which it read no list, by the record of the control
    /// replicas at `now`, which is `None` if they have never seen several versions at once. A record of other versions than
    /// those listed is ignored.
    pub fn add_record(&mut self, now: BootTime, record: Option<&SoftwareRecord>) {
        let known_since = match record {
            None => None,
            Some(record) if record.versions == self.versions => {
                let unchanged = Duration::from_millis(record.unchanged_ms);
                (unchanged < now.since_boot()).then(|| now.saturating_sub(unchanged))
            }
            Some(_) => return,
        };
        let earlier = |before: BootTime| known_since.map(|since| before.min(since));
        self.unknown_before = self.unknown_before.and_then(earlier);
    }

    /// Returns whether there are targets of several versions.
    fn is_mixed(&self) -> bool {
        self.versions.len() > 1
    }

    /// Returns whether another version was the only one within the last `time`, and all its targets have been replaced.
    ///
    /// A target that starts again under its name with another version leaves no trace of the former in the lists.
    fn is_replaced(&self, now: BootTime, time: Duration) -> bool {
        let is_former = |(version, until): &(Option<SoftwareVersion>, BootTime)| {
            !self.versions.contains(version) && now.saturating_duration_since(*until) < time
        };
        self.only_until.as_ref().is_some_and(is_former)
    }

    /// Returns whether the origins of streams matter: there are targets of several versions, or there may have been shortly
    /// before, of which this process may not know.
    pub fn needs_origins(&self, now: BootTime) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < UNCERTAIN_TIME;
        self.is_mixed()
            || self.is_replaced(now, UNCERTAIN_TIME)
            || self.unknown_before.is_some_and(is_recent)
    }

    /// Returns whether the newest list is recent enough to show all targets that may have begun a stream.
    pub fn is_current(&self, now: BootTime) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.versions.is_empty() || self.listed_at.is_some_and(|at| age(at) <= MAX_LIST_AGE)
    }

    /// Returns where a stream began that nobody has reported, and that is at most `max_age` old.
    ///
    /// `reports_missing_at` is the latest time at which reports of other gateways may not have arrived, or `None` if all have.
    pub fn assumed_origin(
        &self,
        now: BootTime,
        max_age: Duration,
        reports_missing_at: Option<BootTime>,
    ) -> AssumedOrigin {
        let window = max_age + LISTING_SKEW;
        let is_recent = |at: BootTime| now.saturating_duration_since(at) < window;
        let are_reports_missing =
            |since: BootTime| reports_missing_at.is_some_and(|at| at >= since);
        match (&self.only_until, self.versions.first()) {
            (_, None) => AssumedOrigin::Any,
            _ if !self.is_current(now) => AssumedOrigin::Unknown,
            _ if self.unknown_before.is_some_and(is_recent) => AssumedOrigin::Unknown,
            _ if self.is_replaced(now, window) => AssumedOrigin::Unknown,
            (_, Some(version)) if !self.is_mixed() => AssumedOrigin::Version(version.clone()),
            (Some((version, until)), _) if is_recent(*until) && !are_reports_missing(*until) => {
                AssumedOrigin::Version(version.clone())
            }
            _ => AssumedOrigin::Unknown,
        }
    }
}

#[cfg(test)]
#[path = "software_history_tests.rs"]
mod tests;
