use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Id of the stream of all tests.
const STREAM: StreamId = 7;

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(name.to_string())
}

/// A gateway is lost between the first event of a stream and its report. The engine that got the request began it.
#[test]
fn software_of_stream_that_was_sent() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record_sent(now, STREAM, version("v1"));
    assert_eq!(origins.software(now, STREAM), Some(&version("v1")));
    assert_eq!(origins.software(now, STREAM + 1), None);
}

#[test]
fn software_of_stream_sent_to_two_versions() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for software in ["v1", "v2", "v2"] {
        origins.record_sent(now, STREAM, version(software));
    }
    assert_eq!(origins.software(now, STREAM), None);
    assert_eq!(origins.resumable(now).count(), 0);
    origins.record_begun(now, STREAM, version("v2"));
    assert_eq!(origins.software(now, STREAM), Some(&version("v2")));
}

/// The first attempt ends without an event, and the second one begins the stream.
#[test]
fn software_after_failed_attempt() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record_sent(now, STREAM, version("v1"));
    origins.record_end(now, STREAM, &version("v1"), false);
    assert_eq!(origins.software(now, STREAM), None);
    origins.record_sent(now, STREAM, version("v2"));
    assert_eq!(origins.software(now, STREAM), Some(&version("v2")));
}

/// What begins a stream stays its origin, whatever later attempts are reported.
#[test]
fn software_of_begun_stream_stays() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record_begun(now, STREAM, None);
    origins.record_sent(now, STREAM, version("v2"));
    origins.record_begun(now, STREAM, version("v2"));
    origins.record_end(now, STREAM, &version("v2"), false);
    origins.record_end(now, STREAM, &None, false);
    assert_eq!(origins.software(now, STREAM), Some(&None));
}

/// Gateways that start are told only of streams that have ended; the others are reported by the gateways that run them.
#[test]
fn resumable_ended_streams() {
    let now = Instant::now();
    let software = version("v1");
    let mut origins = StreamOrigins::default();
    for stream in 0..5 {
        origins.record_begun(now, stream, software.clone());
    }
    origins.record_sent(now, 5, software.clone());
    origins.record_end(now, 0, &software, true);
    origins.record_end(now, 1, &software, false);
    origins.record_end(now, 2, &software, false);
    origins.record_sent(now, 2, software.clone());
    origins.record_lost(now, 3);
    origins.record_lost(now, 5);
    origins.record_lost(now, 6);
    let resumable = |at| {
        let mut streams: Vec<StreamId> = origins.resumable(at).map(|(s, _)| s).collect();
        streams.sort_unstable();
        streams
    };
    assert_eq!(resumable(now + SECOND), [0, 1, 3, 5]);
    assert_eq!(resumable(now + COMPLETE_REPORT_TIME), [1, 3, 5]);
    assert!(resumable(now + BROKEN_REPORT_TIME).is_empty());
    let later = now + BROKEN_REPORT_TIME;
    for stream in 0..6 {
        assert_eq!(origins.software(later, stream), Some(&software), "{stream}");
    }
}
