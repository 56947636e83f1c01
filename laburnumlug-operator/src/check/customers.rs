//! Checks of customers: the form of their keys, and that no two customers share one.

use std::collections::HashMap;

use laburnumlug::FleetDocument;

use crate::fault::Fault;

/// Length of a SHA-256 in hexadecimal.
const KEY_HASH_CHARS: usize = 64;

/// Checks the keys of all customers; the faults name places, never keys.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<Fault>) {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    for (i, customer) in document.customers.iter().flatten().enumerate() {
        for (j, key) in customer.keys.iter().enumerate() {
            let path = format!("customers[{i}].keys[{j}]");
            match seen.insert(key, i) {
                _ if !is_key_hash(key) => faults.push(Fault::new(
                    path,
                    "something else",
                    "the SHA-256 of a key in lower-case hexadecimal",
                )),
                Some(first) if first != i => faults.push(Fault::new(
                    path,
                    format!("a key that customers[{first}] has"),
                    "a key of its own",
                )),
                _ => {}
            }
        }
    }
}

fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_CHARS
        && text
            .chars()
            .all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c))
}
