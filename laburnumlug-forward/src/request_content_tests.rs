use hyper::header::AUTHORIZATION;

use super::*;

fn id(method: &str, path: &str, rows: &[(&'static str, &str)], body: &str) -> ContentId {
    let mut headers = HeaderMap::new();
    for (name, value) in rows {
        headers.insert(*name, value.parse().unwrap());
    }
    let method = method.parse().unwrap();
    let caller = headers
        .get(AUTHORIZATION)
        .map_or(&[][..], |value| value.as_bytes());
    let path = path.parse().unwrap();
    content_id(&method, &path, &headers, caller, body.as_bytes())
}

#[test]
fn content_id_of_repeats() {
    let first = id(
        "POST",
        "/a?b=1",
        &[("host", "h"), ("x-request-id", "1")],
        "x",
    );
    let repeat = id(
        "POST",
        "/a?b=1",
        &[("host", "h"), ("x-request-id", "2")],
        "x",
    );
    assert_eq!(first, repeat);
}

#[test]
fn content_id_of_other_requests() {
    let host = [("host", "h")];
    let ids = [
        id("POST", "/a", &host, "x"),
        id("GET", "/a", &host, "x"),
        id("POST", "/b", &host, "x"),
        id("POST", "/a?b", &host, "x"),
        id("POST", "/a", &[("host", "i")], "x"),
        id("POST", "/a", &[("host", "h"), ("authorization", "k")], "x"),
        id("POST", "/a", &host, "y"),
        id("POST", "/ax", &host, ""),
    ];
    for (i, id) in ids.iter().enumerate() {
        assert!(!ids[..i].contains(id), "{i}");
    }
}

/// Gateways of several builds exchange the ids, so that an input keeps its id.
#[test]
fn content_id_is_stable() {
    assert_eq!(id("GET", "/a", &[("host", "h")], ""), 0x0b55_1620_7523_d9f7);
}

/// Gateways of several builds exchange the ids of customers.
#[test]
fn customer_id_is_stable() {
    assert_eq!(customer_id("fida11"), 0x9c75_59e2_3f7f_a92f);
}
