use super::*;

/// A request that failed inside the engine may have produced tokens, so its failure must not claim that it has not run.
#[test]
fn verdict_by_status() {
    for status in [400, 404, 422, 429, 503] {
        let err = Error::refused(status, String::new());
        assert_eq!(err.verdict(), Verdict::NotRun, "{status}");
    }
    for status in [201, 302, 499, 500, 502, 504] {
        let err = Error::refused(status, String::new());
        assert_eq!(err.verdict(), Verdict::MayHaveRun, "{status}");
    }
}
