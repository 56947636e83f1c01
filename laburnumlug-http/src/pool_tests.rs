use super::*;

#[test]
fn keep_alive_timeout_forms() {
    let keep_alive = |value: &str| {
        let mut headers = hyper::HeaderMap::new();
        headers.insert("keep-alive", value.parse().unwrap());
        keep_alive_timeout(&headers)
    };
    assert_eq!(keep_alive("timeout=5"), Some(Duration::from_secs(5)));
    assert_eq!(
        keep_alive("max=3, timeout=12"),
        Some(Duration::from_secs(12))
    );
    assert_eq!(keep_alive("timeout=5.0"), Some(Duration::from_secs(5)));
    for malformed in ["timeout=soon", "timeout=-1", "timeout=inf"] {
        assert_eq!(keep_alive(malformed), None);
    }
}
