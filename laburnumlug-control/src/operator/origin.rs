//! Protection against cross-site request forgery, by the `Origin` header.

use hyper::HeaderMap;

use super::response::header_text;

/// Returns whether a request has no `Origin` header or comes from a page of this server, such as the console.
pub(super) fn is_same_origin(headers: &HeaderMap) -> bool {
    let Some(origin) = headers.get("origin") else {
        return true;
    };
    let origin = origin.to_str().unwrap_or_default();
    let host = header_text(headers, "host").unwrap_or_default();
    let origin_host = origin.split_once("://").map(|(_, host)| host);
    !host.is_empty() && origin_host == Some(host)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_same_origin_cases() {
        let cases = [
            (None, true),
            (Some("http://10.0.0.1:7401"), true),
            (Some("http://evil.example"), false),
            (Some("http://10.0.0.1:7400"), false),
            (Some("null"), false),
            (Some(""), false),
        ];
        for (origin, expected) in cases {
            let mut headers = HeaderMap::new();
            headers.insert("host", "10.0.0.1:7401".parse().unwrap());
            if let Some(origin) = origin {
                headers.insert("origin", origin.parse().unwrap());
            }
            assert_eq!(is_same_origin(&headers), expected, "{origin:?}");
        }
    }
}
