//! Changes of the fleet document: duplicates, conflicts, acceptance and the audit trail.

use std::rc::Rc;

use laburnumlug::{FleetDocument, FleetVersion};
use laburnumlug_operator::{AuditRecord, AuditResult, Difference, diff_texts, validate_document};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{FleetSnapshot, State};
use crate::command::{Accepted, FleetChange, FleetRefusal};

/// Number of versions for which the idempotency key of an accepted change is retained at least.
const KEY_RETENTION_VERSIONS: u64 = 10_000;

/// Accepted change with an idempotency key.
#[derive(Deserialize, Serialize)]
pub(super) struct KeyedChange {
    base: FleetVersion,
    /// SHA-256 of the document.
    digest: [u8; 32],
    version: FleetVersion,
}

/// Result of the evaluation of a change that is not refused.
enum Decision {
    /// The change was already accepted, with this result.
    Duplicate(Accepted),
    /// The change is new and valid; this is its parsed document.
    Accept(Box<FleetDocument>),
}

impl State {
    /// Applies a change and audits its result; a duplicate adds no second audit record.
    pub(super) fn change_fleet(
        &mut self,
        time_ms: u64,
        change: FleetChange,
    ) -> Result<Accepted, FleetRefusal> {
        match self.evaluate(&change) {
            Ok(Decision::Duplicate(accepted)) => Ok(accepted),
            Ok(Decision::Accept(document)) => Ok(self.accept(time_ms, change, &document)),
            Err(refusal) => {
                self.audit_change(time_ms, &change, refusal.audit_result());
                Err(refusal)
            }
        }
    }

    /// Returns whether a change is a duplicate or can be accepted.
    fn evaluate(&self, change: &FleetChange) -> Result<Decision, FleetRefusal> {
        match self.find_duplicate(change)? {
            Some(accepted) => Ok(Decision::Duplicate(accepted)),
            None => self
                .validate(change)
                .map(|document| Decision::Accept(Box::new(document))),
        }
    }

    fn accept(&mut self, time_ms: u64, change: FleetChange, document: &FleetDocument) -> Accepted {
        self.intents.apply_document(document);
        self.servers.apply_document(document);
        self.software.apply_document(document);
        self.control_names = document.control.iter().map(|vm| vm.name.clone()).collect();
        let version = self.fleet.version + 1;
        let differences = self.differences(&change.document);
        self.fleet = FleetSnapshot {
            version,
            document: Rc::from(change.document.as_str()),
        };
        self.changed_by = change.operator.clone();
        self.audit_change(
            time_ms,
            &change,
            AuditResult::accepted(version, differences),
        );
        if let Some(key) = change.key.clone() {
            let keyed = KeyedChange {
                base: change.base,
                digest: digest(&change.document),
                version,
            };
            self.by_key.insert(key, keyed);
            self.evict_old_keys(version);
        }
        Accepted { version }
    }

    /// Adds an audit record for a change that an operator submitted.
    fn audit_change(&mut self, time_ms: u64, change: &FleetChange, outcome: AuditResult) {
        self.audit.append(AuditRecord {
            number: 0,
            time_ms,
            operator: change.operator.clone(),
            client_addr: change.client_addr.clone(),
            key: change.key.clone(),
            base: change.base,
            outcome,
        });
    }

    /// Returns the differences between the document in force and `document`.
    fn differences(&self, document: &str) -> Vec<Difference> {
        match self.fleet.document.is_empty() {
            true => diff_texts("{}", document),
            false => diff_texts(&self.fleet.document, document),
        }
    }

    /// Evicts the idempotency keys past their retention, in batches of at least [`KEY_RETENTION_VERSIONS`].
    fn evict_old_keys(&mut self, version: FleetVersion) {
        if self.by_key.len() as u64 >= 2 * KEY_RETENTION_VERSIONS {
            self.by_key
                .retain(|_, keyed| keyed.version + KEY_RETENTION_VERSIONS > version);
        }
    }

    /// Returns the result of the earlier submission if `change` is a duplicate.
    fn find_duplicate(&self, change: &FleetChange) -> Result<Option<Accepted>, FleetRefusal> {
        let Some(key) = &change.key else {
            return Ok(None);
        };
        match self.by_key.get(key) {
            None => Ok(None),
            Some(original)
                if original.digest == digest(&change.document) && original.base == change.base =>
            {
                Ok(Some(Accepted {
                    version: original.version,
                }))
            }
            Some(_) => Err(FleetRefusal::KeyReused { key: key.clone() }),
        }
    }

    /// Returns the parsed document if the change is based on the version in force and valid.
    fn validate(&self, change: &FleetChange) -> Result<FleetDocument, FleetRefusal> {
        if change.base != self.fleet.version {
            return Err(FleetRefusal::Conflict {
                base: change.base,
                version: self.fleet.version,
                changed_by: self.changed_by.clone(),
            });
        }
        validate_document(&change.document).map_err(FleetRefusal::Invalid)
    }
}

fn digest(document: &str) -> [u8; 32] {
    Sha256::digest(document.as_bytes()).into()
}
