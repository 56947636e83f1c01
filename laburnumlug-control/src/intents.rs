//! What each target is meant to be, derived from the fleet document and the role assignments.

use std::collections::BTreeMap;
use std::fmt;

use laburnumlug::{FencingToken, FleetDocument, Role, Target, TargetName, TargetState};
use laburnumlug_mesh::{Intent, ModelVersion, RoleAssignment};
use serde::{Deserialize, Serialize};

/// Why a role assignment was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RoleRefusal {
    /// The service has no such target, or the target is leaving.
    UnknownTarget,
    /// The decision rests on a generation that is no longer in force.
    Stale {
        /// Generation in force.
        generation: FencingToken,
    },
}

impl fmt::Display for RoleRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoleRefusal::UnknownTarget => f.write_str("the service has no such target"),
            RoleRefusal::Stale { generation } => {
                write!(f, "the target is at generation {generation} by now")
            }
        }
    }
}

/// Intents of all targets that ever stood in the fleet document.
///
/// The row of a removed target stays, so that its generation goes on growing if the target comes back.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Intents {
    rows: BTreeMap<TargetName, Row>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row {
    intent: Intent,
    /// Role in the fleet document.
    document_role: Role,
    /// Role that was assigned since the document last changed the role.
    assigned_role: Option<Role>,
}

impl Row {
    /// Replaces the intent; its generation grows only if something changes.
    fn set(&mut self, mut intent: Intent) {
        intent.generation = self.intent.generation;
        if intent == self.intent {
            return;
        }
        intent.generation += 1;
        self.intent = intent;
    }
}

/// What one target is meant to be.
#[derive(Clone, Debug, Serialize)]
pub struct TargetIntent {
    /// The target.
    pub target: TargetName,
    /// What it is meant to be.
    #[serde(flatten)]
    pub intent: Intent,
}

impl Intents {
    /// Returns the intents of all targets that ever stood in the fleet document, by name.
    pub(crate) fn all(&self) -> Vec<TargetIntent> {
        let rows = self.rows.iter();
        rows.map(|(target, row)| TargetIntent {
            target: target.clone(),
            intent: row.intent.clone(),
        })
        .collect()
    }

    /// Returns the intent of a target.
    pub(crate) fn get(&self, target: &str) -> Option<&Intent> {
        self.rows.get(target).map(|row| &row.intent)
    }

    /// Follows a new fleet document.
    pub(crate) fn follow(&mut self, document: &FleetDocument) {
        for target in &document.targets {
            self.follow_target(target);
        }
        let named = |name: &TargetName| document.targets.iter().any(|target| target.name == *name);
        for (_, row) in self.rows.iter_mut().filter(|(name, _)| !named(name)) {
            let leaving = Intent {
                state: TargetState::Leaving,
                ..row.intent.clone()
            };
            row.set(leaving);
        }
    }

    fn follow_target(&mut self, target: &Target) {
        let document_role = target.role.unwrap_or(Role::Mixed);
        let Some(row) = self.rows.get_mut(&target.name) else {
            let row = Row {
                intent: Intent {
                    generation: 1,
                    ..intent(target, document_role)
                },
                document_role,
                assigned_role: None,
            };
            self.rows.insert(target.name.clone(), row);
            return;
        };
        if row.document_role != document_role || row.intent.service != target.service {
            row.document_role = document_role;
            row.assigned_role = None;
        }
        row.set(intent(target, row.assigned_role.unwrap_or(document_role)));
    }

    /// Assigns a role and returns the generation that has it.
    pub(crate) fn assign(
        &mut self,
        assignment: &RoleAssignment,
    ) -> Result<FencingToken, RoleRefusal> {
        let row = match self.rows.get_mut(&assignment.target) {
            Some(row)
                if row.intent.service == assignment.service
                    && row.intent.state != TargetState::Leaving =>
            {
                row
            }
            _ => return Err(RoleRefusal::UnknownTarget),
        };
        let generation = row.intent.generation;
        if generation != assignment.expected_generation {
            return Err(RoleRefusal::Stale { generation });
        }
        row.assigned_role = Some(assignment.role);
        let assigned = Intent {
            role: assignment.role,
            ..row.intent.clone()
        };
        row.set(assigned);
        Ok(row.intent.generation)
    }
}

/// Returns the intent that the document's row states, without a generation.
fn intent(target: &Target, role: Role) -> Intent {
    Intent {
        generation: 0,
        service: target.service.clone(),
        role,
        models: target
            .models
            .iter()
            .map(|loaded| ModelVersion {
                model: loaded.model.clone(),
                version: loaded.version.clone(),
            })
            .collect(),
        adapters: target.adapters.clone(),
        state: target.state,
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug_operator::parse_document;
    use quickcheck::quickcheck;

    use super::*;

    /// Returns a document with a target for each character of `states`: s, l or a for its state.
    fn document(states: &str) -> FleetDocument {
        let targets: Vec<String> = states
            .chars()
            .enumerate()
            .map(|(i, state)| {
                let state = match state {
                    's' => "serving",
                    'l' => "leaving",
                    _ => "arriving",
                };
                format!(
                    r#"{{"name":"t{i}","service":"skriver","zone":"a","address":"127.0.0.1:{i}",
                        "state":"{state}","models":[{{"model":"digest","version":"1"}}]}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"name":"g","models":[],"services":[],"targets":[{}]}}"#,
            targets.join(",")
        );
        parse_document(&text).unwrap()
    }

    fn assignment(role: Role, expected_generation: FencingToken) -> RoleAssignment {
        RoleAssignment {
            service: "skriver".into(),
            target: "t0".into(),
            role,
            reason: "prompts grow".into(),
            expected_generation,
        }
    }

    #[test]
    fn follow_unchanged_target_keeps_generation() {
        let mut intents = Intents::default();
        intents.follow(&document("ss"));
        intents.follow(&document("sl"));
        assert_eq!(intents.get("t0").unwrap().generation, 1);
        assert_eq!(intents.get("t1").unwrap().generation, 2);
    }

    #[test]
    fn follow_removed_target_leaves() {
        let mut intents = Intents::default();
        intents.follow(&document("ss"));
        intents.follow(&document("s"));
        let removed = intents.get("t1").unwrap().clone();
        assert_eq!(
            (removed.state, removed.generation),
            (TargetState::Leaving, 2)
        );
        intents.follow(&document("ss"));
        assert_eq!(intents.get("t1").unwrap().generation, 3);
    }

    #[test]
    fn assign_stale_expectation() {
        let mut intents = Intents::default();
        intents.follow(&document("s"));
        assert_eq!(intents.assign(&assignment(Role::Prefill, 1)), Ok(2));
        let stale = Err(RoleRefusal::Stale { generation: 2 });
        assert_eq!(intents.assign(&assignment(Role::Decode, 1)), stale);
        assert_eq!(intents.get("t0").unwrap().role, Role::Prefill);
    }

    #[test]
    fn assign_survives_other_changes_of_document() {
        let mut intents = Intents::default();
        intents.follow(&document("s"));
        intents.assign(&assignment(Role::Prefill, 1)).unwrap();
        intents.follow(&document("ss"));
        assert_eq!(intents.get("t0").unwrap().role, Role::Prefill);
        assert_eq!(intents.get("t0").unwrap().generation, 2);
    }

    #[test]
    fn assign_leaving_target() {
        let mut intents = Intents::default();
        intents.follow(&document("l"));
        let refused = intents.assign(&assignment(Role::Prefill, 1));
        assert_eq!(refused, Err(RoleRefusal::UnknownTarget));
    }

    quickcheck! {
        /// One generation never names two intents, whatever documents and assignments come.
        fn follow_generation_names_one_intent(steps: Vec<(u8, bool)>) -> bool {
            let mut intents = Intents::default();
            let mut seen: BTreeMap<FencingToken, Intent> = BTreeMap::new();
            for (step, assign) in steps {
                match assign {
                    true => {
                        let role = [Role::Mixed, Role::Prefill, Role::Decode][step as usize % 3];
                        let _ = intents.assign(&assignment(role, u64::from(step % 8)));
                    }
                    false => intents.follow(&document(["", "s", "l", "a"][step as usize % 4])),
                }
                let Some(intent) = intents.get("t0") else { continue };
                let newest = seen.keys().next_back().copied().unwrap_or(0);
                let known = seen.entry(intent.generation).or_insert_with(|| intent.clone());
                if *known != *intent || intent.generation < newest {
                    return false;
                }
            }
            true
        }
    }
}
