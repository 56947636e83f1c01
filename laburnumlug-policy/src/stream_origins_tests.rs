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
    origins.record_not_begun(now, STREAM, &version("v1"));
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
    origins.record_not_begun(now, STREAM, &version("v2"));
    origins.record_not_begun(now, STREAM, &None);
    assert_eq!(origins.software(now, STREAM), Some(&None));
}

#[test]
fn resumable_complete_streams() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record_begun(now, STREAM, version("v1"));
    origins.record_begun(now, STREAM + 1, version("v1"));
    origins.record_complete(now, STREAM);
    origins.record_complete(now, STREAM + 2);
    assert_eq!(origins.resumable(now + SECOND).count(), 2);
    let later = now + COMPLETE_REPORT_TIME;
    let remaining: Vec<StreamId> = origins.resumable(later).map(|(stream, _)| stream).collect();
    assert_eq!(remaining, [STREAM + 1]);
    assert_eq!(origins.software(later, STREAM), Some(&version("v1")));
}
