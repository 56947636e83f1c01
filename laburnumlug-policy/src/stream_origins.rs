//! Remembers the software version at which each stream began.

use std::time::{Duration, Instant};

use laburnumlug::{SoftwareVersion, StreamId};

use crate::recent_map::RecentMap;

/// Maximum number of streams of one generation.
const MAX_STREAMS: usize = 32_768;

/// Time after its end for which a complete stream is reported to gateways that start; its caller may have lost the end.
const COMPLETE_REPORT_TIME: Duration = Duration::from_secs(2);

/// Time after it broke for which a stream is reported to gateways that start; callers resume streams soon.
const BROKEN_REPORT_TIME: Duration = Duration::from_secs(10);

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
    /// When the last attempt ended, or `None` while one runs.
    ended_at: Option<Instant>,
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
    /// Records that a request for a stream was sent to an engine. A stream that has already begun keeps its origin.
    pub fn record_sent(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: Option<SoftwareVersion>,
    ) {
        let (software, progress) = match self.origins.get(now, &stream) {
            Some(origin) if is_begun(origin) => (origin.software.clone(), origin.progress),
            Some(origin) if origin.software != software => (software, Progress::Ambiguous),
            Some(origin) => (software, origin.progress),
            None => (software, Progress::Sent),
        };
        self.insert(now, stream, software, progress, None);
    }

    /// Records that the first event of an attempt has arrived, which begins the stream unless an earlier attempt did.
    pub fn record_begun(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: Option<SoftwareVersion>,
    ) {
        let begun = self.origins.get(now, &stream).filter(|o| is_begun(o));
        let software = begun.map_or(software, |origin| origin.software.clone());
        self.insert(now, stream, software, Progress::Begun, None);
    }

    /// Records that an attempt at an engine of this version ended; if it did not begin the stream, another attempt may.
    pub fn record_end(
        &mut self,
        now: Instant,
        stream: StreamId,
        software: &Option<SoftwareVersion>,
        is_complete: bool,
    ) {
        let Some(origin) = self.origins.get(now, &stream).cloned() else {
            return;
        };
        let progress = match origin.progress {
            Progress::Sent if origin.software == *software => {
                return self.origins.remove(&stream);
            }
            Progress::Begun | Progress::Complete if is_complete => Progress::Complete,
            progress => progress,
        };
        self.insert(now, stream, origin.software, progress, Some(now));
    }

    /// Records that the gateway of a stream is lost.
    pub fn record_lost(&mut self, now: Instant, stream: StreamId) {
        if let Some(origin) = self.origins.get(now, &stream).cloned() {
            self.insert(now, stream, origin.software, origin.progress, Some(now));
        }
    }

    /// Returns the version at which a stream began, or `None` if that is not known.
    pub fn software(&self, now: Instant, stream: StreamId) -> Option<&Option<SoftwareVersion>> {
        let origin = self.origins.get(now, &stream)?;
        (origin.progress != Progress::Ambiguous).then_some(&origin.software)
    }

    /// Returns the streams that have ended and that callers may still resume, and the versions at which they began.
    pub fn resumable(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (StreamId, &Option<SoftwareVersion>)> {
        let origins = self.origins.iter(now).filter(move |(_, origin)| {
            let age = origin.ended_at.map(|at| now.saturating_duration_since(at));
            match (origin.progress, age) {
                (Progress::Ambiguous, _) | (_, None) => false,
                (Progress::Complete, Some(age)) => age < COMPLETE_REPORT_TIME,
                (Progress::Sent | Progress::Begun, Some(age)) => age < BROKEN_REPORT_TIME,
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
        ended_at: Option<Instant>,
    ) {
        let origin = Origin {
            software,
            progress,
            ended_at,
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
