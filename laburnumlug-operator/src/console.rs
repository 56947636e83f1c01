//! Static files of the web console, which edits and submits the fleet document.

/// Static file of the web console.
#[derive(Clone, Copy, Debug)]
pub struct ConsoleAsset {
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Contents of the file.
    pub body: &'static str,
}

/// Returns the console file that is served at the request path.
///
/// # Examples
///
/// ```
/// let page = laburnumlug_operator::console_asset("/").unwrap();
/// assert!(page.body.starts_with("<!doctype html>"));
/// assert!(laburnumlug_operator::console_asset("/none").is_none());
/// ```
pub fn console_asset(path: &str) -> Option<ConsoleAsset> {
    let (content_type, body) = match path {
        "/" => (
            "text/html; charset=utf-8",
            include_str!("../console/index.html"),
        ),
        "/console/fleet.json" => ("application/json", include_str!("../../schema/fleet.json")),
        "/console.css" => (
            "text/css; charset=utf-8",
            include_str!("../console/console.css"),
        ),
        "/console/api.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/api.js")),
        "/console/dom.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/dom.js")),
        "/console/faults.js" => (
            JAVASCRIPT_CONTENT_TYPE,
            include_str!("../console/faults.js"),
        ),
        "/console/fields.js" => (
            JAVASCRIPT_CONTENT_TYPE,
            include_str!("../console/fields.js"),
        ),
        "/console/forms.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/forms.js")),
        "/console/main.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/main.js")),
        "/console/page.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/page.js")),
        "/console/state.js" => (JAVASCRIPT_CONTENT_TYPE, include_str!("../console/state.js")),
        _ => return None,
    };
    Some(ConsoleAsset { content_type, body })
}

/// Content type of the console scripts.
const JAVASCRIPT_CONTENT_TYPE: &str = "text/javascript; charset=utf-8";
