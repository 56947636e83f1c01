//! Remembers the software version at which each stream began.

use std::time::{Duration, Instant};

use laburnumlug::{SoftwareVersion, StreamId};

use crate::recent_map::RecentMap;

/// Maximum number of streams of one generation.
const MAX_STREAMS: usize = 32_768;

/// Time after its end for which a complete stream is reported to gateways that start; its caller may have lost the end.
const COMPLETE_REPORT_TIME: Duration = Duration::from_secs(2);

/// Time after its last change for which a stream is reported to gateways that start.
const REPORT_TIME: Duration = Duration::from_secs(60);

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The request was sent to an engine.
    Sent,
    /// The request was sent to engines of several versions, and it is not known which of them began the stream.
    Ambiguous,
    /// The first event has arrived.
    Begun,
    /// The stream is complete.
    Complete,
}

/// Software version at which a stream began.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    software: Option<SoftwareVersion>,
    progress: Progress,
    updated_at: Instant,
}

/// Software versions at which recent streams began; `None` is the version of engines that state none.
///
/// A broken stream may only be resumed at an engine of the version that began it, by any gateway.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    origins: RecentMap<StreamId, Origin>,
}

impl Default for StreamOrigins {
    fn default() -> StreamOrigins {
        StreamOrigins {
            origins: RecentMap::new(MAX_STREAMS),
        }
    }
}

impl StreamOrigins {
    /// Records that a request for a stream was sent to an engine, unless the stream has already begun.
    pub fn record_sent(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: Option<SoftwareVersion>,
    ) {
        let progress = match self.origins.get(now, &stream) {
            Some(origin) if is_begun(origin) => return,
            Some(origin) if origin.software != software => Progress::Ambiguous,
            Some(origin) => origin.progress,
            None => Progress::Sent,
        };
        self.insert(now, stream, software, progress);
    }

    /// Records that the first event of a stream has arrived, unless an earlier attempt began it.
    pub fn record_begun(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: Option<SoftwareVersion>,
    ) {
        let begun = self.origins.get(now, &stream).filter(|o| is_begun(o));
        let software = begun.map_or(software, |origin| origin.software.clone());
        self.insert(now, stream, software, Progress::Begun);
    }

    /// Records that an attempt at an engine of this version ended without an event.
    pub fn record_not_begun(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: &Option<SoftwareVersion>,
    ) {
        let is_only_attempt =
            |origin: &Origin| origin.progress == Progress::Sent && origin.software == *software;
        if self.origins.get(now, &stream).is_some_and(is_only_attempt) {
            self.origins.remove(&stream);
        }
    }

    /// Records that a stream is complete.
    pub fn record_complete(&mut self, now: Instant, stream: StreamId) {
        if let Some(origin) = self.origins.get(now, &stream) {
            let software = origin.software.clone();
            self.insert(now, stream, software, Progress::Complete);
        }
    }

    /// Returns the version at which a stream began, or `None` if that is not known.
    pub fn software(&self, now: Instant, stream: StreamId) -> Option<&Option<SoftwareVersion>> {
        let origin = self.origins.get(now, &stream)?;
        (origin.progress != Progress::Ambiguous).then_some(&origin.software)
    }

    /// Returns the streams that callers may still resume, and the versions at which they began.
    pub fn resumable(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (StreamId, &Option<SoftwareVersion>)> {
        let origins = self.origins.iter(now).filter(move |(_, origin)| {
            let age = now.saturating_duration_since(origin.updated_at);
            match origin.progress {
                Progress::Complete => age < COMPLETE_REPORT_TIME,
                Progress::Ambiguous => false,
                Progress::Sent | Progress::Begun => age < REPORT_TIME,
            }
        });
        origins.map(|(stream, origin)| (*stream, &origin.software))
    }

    fn insert(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: Option<SoftwareVersion>,
        progress: Progress,
    ) {
        let origin = Origin {
            software,
            progress,
            updated_at: now,
        };
        self.origins.insert(now, stream, origin);
    }
}

fn is_begun(origin: &Origin) -> bool {
    matches!(origin.progress, Progress::Begun | Progress::Complete)
}

#[cfg(test)]
#[path = "stream_origins_tests.rs"]
mod tests;
