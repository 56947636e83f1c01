//! Routing of a request's method and path to an operation.

use laburnumlug::ServiceName;

use crate::answer::AnswerFormat;
use crate::error::ApiError;

/// Operation that a caller requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Generates text with an engine.
    Generate(AnswerFormat),
    /// Calls a plain service.
    Call {
        /// Name of the service.
        service: ServiceName,
        /// Path and query that the service receives.
        path: String,
    },
    /// Reports the health of this process.
    Health,
}

impl Operation {
    /// Returns the operation for a method, path and query.
    ///
    /// # Errors
    ///
    /// Fails if the path does not exist or does not support the method.
    pub fn parse(method: &str, path: &str, query: Option<&str>) -> Result<Operation, ApiError> {
        match (method, path) {
            ("POST", "/v1/completions") => Ok(Operation::Generate(AnswerFormat::Completion)),
            ("POST", "/v1/chat/completions") => Ok(Operation::Generate(AnswerFormat::Chat)),
            ("GET", "/health") => Ok(Operation::Health),
            (_, "/v1/completions" | "/v1/chat/completions") => {
                Err(ApiError::method_not_allowed(method, "POST"))
            }
            (_, "/health") => Err(ApiError::method_not_allowed(method, "GET")),
            _ => parse_service_path(path, query),
        }
    }
}

fn parse_service_path(path: &str, query: Option<&str>) -> Result<Operation, ApiError> {
    let Some(rest) = path.strip_prefix("/services/") else {
        return Err(ApiError::not_found(path));
    };
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(ApiError::not_found(path));
    }
    let path = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok(Operation::Call {
        service: service.to_string(),
        path,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_service_call() {
        let op = Operation::parse("POST", "/services/billet/reservations", Some("a=1")).unwrap();
        let expected = Operation::Call {
            service: "billet".into(),
            path: "/reservations?a=1".into(),
        };
        assert_eq!(op, expected);
    }

    #[test]
    fn parse_wrong_method() {
        assert_eq!(
            Operation::parse("GET", "/v1/completions", None)
                .unwrap_err()
                .status(),
            405
        );
    }

    #[test]
    fn parse_unknown_path() {
        for path in ["/", "/services", "/services/", "/v2/completions"] {
            assert_eq!(
                Operation::parse("POST", path, None).unwrap_err().status(),
                404
            );
        }
    }
}
