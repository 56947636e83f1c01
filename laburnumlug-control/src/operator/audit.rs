//! Queries of the audit trail, answered as JSON lines.

use laburnumlug_http::Response;
use laburnumlug_operator::AuditFilter;

use super::Shared;
use super::response::{error_response, json_lines_response};

/// Keys of the allowed query parameters, for error messages.
const QUERY_KEYS: &str = "operator, result, since_ms, until_ms, after, limit";

impl Shared {
    /// Returns the audit records that match the query, oldest first.
    pub(super) fn audit(&self, query: &str) -> Response {
        match parse_filter(query) {
            Ok(filter) => json_lines_response(&self.replica.audit(&filter)),
            Err(message) => error_response(400, "bad_filter", &message),
        }
    }
}

fn parse_filter(query: &str) -> Result<AuditFilter, String> {
    let mut filter = AuditFilter::default();
    for (key, value) in form_urlencoded::parse(query.as_bytes()) {
        let number = || {
            value
                .parse::<u64>()
                .map_err(|_| format!("{key}: found {value:?}, allowed: a whole number"))
        };
        filter = match key.as_ref() {
            "operator" => filter.operator(&value),
            "result" => filter.result(&value),
            "since_ms" => filter.since_ms(number()?),
            "until_ms" => filter.until_ms(number()?),
            "after" => filter.after(number()?),
            "limit" => filter.limit(usize::try_from(number()?).unwrap_or(usize::MAX)),
            _ => return Err(format!("found parameter {key:?}, allowed: {QUERY_KEYS}")),
        };
    }
    Ok(filter)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_filter_cases() {
        assert!(parse_filter("").is_ok());
        assert!(parse_filter("operator=a%20b&since_ms=5&limit=3").is_ok());
        assert!(
            parse_filter("since_ms=soon")
                .unwrap_err()
                .contains("since_ms")
        );
        assert!(parse_filter("colour=red").unwrap_err().contains(QUERY_KEYS));
    }
}
