//! HTTP headers of requests from callers and of the responses to them.

use std::time::Duration;

use hyper::HeaderMap;
use laburnumlug::{CallerName, IdempotencyKey};

use crate::error::ApiError;

/// Response header with the [`Verdict`](laburnumlug::Verdict) on whether the request may have run.
pub const VERDICT_HEADER: &str = "laburnumlug-verdict";

/// Response header with the request id, as in the logs.
pub const REQUEST_ID_HEADER: &str = "laburnumlug-request-id";

/// Response header with the time after which a refused request may be retried, in milliseconds.
///
/// `Retry-After` gives the same time rounded up to whole seconds, and at least 1 s.
pub const RETRY_AFTER_MS_HEADER: &str = "laburnumlug-retry-after-ms";

/// Request header with the time left for the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "laburnumlug-deadline-ms";

/// Request header with the idempotency key of a request that may run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Request header with the name under which the caller's requests are counted.
pub const CALLER_HEADER: &str = "laburnumlug-caller";

/// Longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Maximum length of a caller name in bytes.
const MAX_CALLER_NAME_BYTES: usize = 128;

/// Parsed headers of a request from a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHeaders {
    /// Time left for the complete answer.
    pub deadline: Option<Duration>,
    /// Idempotency key of a request that may run at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Name under which the request is counted; `anonymous` if the header is absent.
    pub caller: CallerName,
}

impl CallHeaders {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails if a header is repeated, malformed or out of range.
    pub fn parse(headers: &HeaderMap) -> Result<CallHeaders, ApiError> {
        let deadline = match single_value(headers, DEADLINE_HEADER)? {
            None => None,
            Some(text) => Some(parse_deadline(text)?),
        };
        let idempotency_key = match single_value(headers, IDEMPOTENCY_HEADER)? {
            None => None,
            Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
                let allowed = format!("1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
                return Err(ApiError::bad_header(IDEMPOTENCY_HEADER, key, &allowed));
            }
            Some(key) => Some(key.to_string()),
        };
        let caller = match single_value(headers, CALLER_HEADER)? {
            None => "anonymous",
            Some(caller) if caller.is_empty() || caller.len() > MAX_CALLER_NAME_BYTES => {
                let allowed = format!("1 to {MAX_CALLER_NAME_BYTES} bytes");
                return Err(ApiError::bad_header(CALLER_HEADER, caller, &allowed));
            }
            Some(caller) => caller,
        };
        Ok(CallHeaders {
            deadline,
            idempotency_key,
            caller: caller.to_string(),
        })
    }
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(ApiError::bad_header(name, "two values", "one value")),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(ApiError::bad_header(
                name,
                "bytes that are not text",
                "ASCII text",
            )),
        },
    }
}

fn parse_deadline(text: &str) -> Result<Duration, ApiError> {
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let allowed = format!("a whole number from 1 to {MAX_DEADLINE_MS}");
            Err(ApiError::bad_header(DEADLINE_HEADER, text, &allowed))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn headers_with(name: &'static str, value: &str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(name, value.parse().unwrap());
        headers
    }

    #[test]
    fn parse_deadline_range() {
        for (text, ms) in [("1", Some(1)), ("86400000", Some(86_400_000)), ("0", None)] {
            let parsed = CallHeaders::parse(&headers_with(DEADLINE_HEADER, text));
            assert_eq!(
                parsed.ok().and_then(|h| h.deadline),
                ms.map(Duration::from_millis)
            );
        }
    }

    #[test]
    fn parse_deadline_garbage() {
        for text in ["", "-1", "soon", "1.5", "99999999999999999999", "86400001"] {
            let err = CallHeaders::parse(&headers_with(DEADLINE_HEADER, text)).unwrap_err();
            assert_eq!(err.status(), 400);
        }
    }

    #[test]
    fn parse_key_repeated() {
        let mut headers = headers_with(IDEMPOTENCY_HEADER, "a");
        headers.append(IDEMPOTENCY_HEADER, "b".parse().unwrap());
        assert!(CallHeaders::parse(&headers).is_err());
    }
}
