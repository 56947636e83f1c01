//! Calls and their responses.

/// HTTP request to an application server.
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Creates a call without headers or body.
    pub fn new(method: &str, path: &str) -> Call {
        Call {
            method: method.to_string(),
            path: path.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Replaces the headers; the client adds `host`.
    pub fn headers(mut self, headers: Vec<(String, String)>) -> Call {
        self.headers = headers;
        self
    }

    /// Replaces the body, which is empty at first.
    pub fn body(mut self, body: Vec<u8>) -> Call {
        self.body = body;
        self
    }
}

/// Whole HTTP response of an application server.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Vec<u8>,
}
