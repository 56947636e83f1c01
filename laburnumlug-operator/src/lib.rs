/*!
The operator interface: validation, diff and merge of fleet documents, the audit trail and the web console.

```
use laburnumlug_operator::validate_document;

let text = r#"{
    "name": "gulvdans",
    "models": [{ "name": "digest", "versions": ["1"] }],
    "services": [{ "name": "skriver", "kind": "engine", "models": ["summary"] }],
    "targets": []
}"#;
let faults = validate_document(text).unwrap_err();
assert_eq!(faults[0].path, "services[0].models[0]");
assert_eq!(faults[0].allowed, "one of: digest");
```

# Overview

[`validate_document`] reports all validation faults of a document at once, each with its path, the value found and
the values allowed. [`parse_document`] reads a document that has already been validated, without the cost of the
checks.

[`diff_documents`] lists the differences between two documents, and [`merge_documents`] does a three-way merge; both
match list rows by name.

An [`AuditLog`] keeps [`AuditRecord`]s within [`AUDIT_RETENTION_RECORDS`] and [`AUDIT_RETENTION_BYTES`];
an [`AuditFilter`] selects among them.
*/

mod audit;
mod check;
mod console;
mod difference;
mod document;
mod fault;
mod merge;
mod redaction;
mod schema;
mod text_difference;

pub use crate::audit::{
    AUDIT_RETENTION_BYTES, AUDIT_RETENTION_RECORDS, AuditFilter, AuditLog, AuditRecord, AuditResult,
};
pub use crate::check::check_document;
pub use crate::console::{ConsoleAsset, console_asset};
pub use crate::difference::{Difference, diff_documents};
pub use crate::document::{parse_document, validate_document};
pub use crate::fault::Fault;
pub use crate::merge::{MergeOutcome, merge_documents};
pub use crate::redaction::redact_document;
pub use crate::text_difference::diff_texts;
