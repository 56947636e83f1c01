//! Validation rules for fleet documents that the JSON schema cannot express.

mod control;
mod customers;
mod names;
mod routes;
mod services;
mod targets;

use std::collections::BTreeSet;

use laburnumlug::FleetDocument;

use crate::fault::Fault;

/// Returns all violations of the rules that the schema cannot express.
pub fn check_document(document: &FleetDocument) -> Vec<Fault> {
    let mut faults = Vec::new();
    names::check(document, &mut faults);
    services::check(document, &mut faults);
    targets::check(document, &mut faults);
    control::check(document, &mut faults);
    routes::check(document, &mut faults);
    customers::check(document, &mut faults);
    faults
}

/// Describes the names that a reference may contain.
fn describe_allowed_names<'a, I>(names: I) -> String
where
    I: IntoIterator<Item = &'a String>,
{
    let names: BTreeSet<&str> = names.into_iter().map(String::as_str).collect();
    match names.is_empty() {
        true => "none, as the document has none".to_string(),
        false => format!(
            "one of: {}",
            names.into_iter().collect::<Vec<_>>().join(", ")
        ),
    }
}
