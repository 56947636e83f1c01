//! Desired state of each target, derived from the fleet document and the role assignments.

use std::collections::BTreeMap;
use std::fmt;

use laburnumlug::{FencingToken, FleetDocument, Role, Target, TargetName, TargetState};
use laburnumlug_mesh::{Intent, ModelVersion, RoleAssignment};
use serde::{Deserialize, Serialize};

/// Reason for which a role assignment was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RoleRefusal {
    /// The service has no such target, or the target is leaving.
    UnknownTarget,
    /// The assignment expected a generation that is no longer in force.
    Stale {
        /// Generation of the intent that is in force now.
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

/// Intents of all targets that the fleet document ever listed.
///
/// The row of a removed target is retained, so that its generation stays monotonic if the target is added again.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Intents {
    rows: BTreeMap<TargetName, IntentRow>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct IntentRow {
    intent: Intent,
    /// Role that the fleet document states.
    document_role: Role,
    /// Role that was assigned after the document last changed the target's role or service.
    assigned_role: Option<Role>,
}

impl IntentRow {
    /// Replaces the intent, and increments its generation if the intent differs.
    fn update(&mut self, mut intent: Intent) {
        intent.generation = self.intent.generation;
        if intent == self.intent {
            return;
        }
        intent.generation += 1;
        self.intent = intent;
    }
}

/// Intent of one target, with the target's name.
#[derive(Clone, Debug, Serialize)]
pub struct TargetIntent {
    /// Name of the target.
    pub target: TargetName,
    /// Desired state of the target.
    #[serde(flatten)]
    pub intent: Intent,
}

impl Intents {
    /// Returns the intents of all targets that the fleet document ever listed, sorted by name.
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

    /// Updates the intents from a new fleet document; targets that it does not list become leaving.
    pub(crate) fn apply_document(&mut self, document: &FleetDocument) {
        for target in &document.targets {
            self.apply_target(target);
        }
        let is_listed =
            |name: &TargetName| document.targets.iter().any(|target| target.name == *name);
        for (_, row) in self.rows.iter_mut().filter(|(name, _)| !is_listed(name)) {
            let leaving = Intent {
                state: TargetState::Leaving,
                ..row.intent.clone()
            };
            row.update(leaving);
        }
    }

    fn apply_target(&mut self, target: &Target) {
        let document_role = target.role.unwrap_or(Role::Mixed);
        let Some(row) = self.rows.get_mut(&target.name) else {
            let row = IntentRow {
                intent: Intent {
                    generation: 1,
                    ..document_intent(target, document_role)
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
        row.update(document_intent(
            target,
            row.assigned_role.unwrap_or(document_role),
        ));
    }

    /// Assigns a role to a target and returns the generation of the new intent.
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
        row.update(assigned);
        Ok(row.intent.generation)
    }
}

/// Returns the intent of a target with `role` and otherwise as the document states, at generation 0.
fn document_intent(target: &Target, role: Role) -> Intent {
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

    /// Returns a document with one target per character of `states`: `s` serving, `l` leaving, `a` arriving.
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
    fn apply_document_keeps_generation_of_unchanged_target() {
        let mut intents = Intents::default();
        intents.apply_document(&document("ss"));
        intents.apply_document(&document("sl"));
        assert_eq!(intents.get("t0").unwrap().generation, 1);
        assert_eq!(intents.get("t1").unwrap().generation, 2);
    }

    #[test]
    fn apply_document_without_target() {
        let mut intents = Intents::default();
        intents.apply_document(&document("ss"));
        intents.apply_document(&document("s"));
        let removed = intents.get("t1").unwrap().clone();
        assert_eq!(
            (removed.state, removed.generation),
            (TargetState::Leaving, 2)
        );
        intents.apply_document(&document("ss"));
        assert_eq!(intents.get("t1").unwrap().generation, 3);
    }

    #[test]
    fn assign_stale_generation() {
        let mut intents = Intents::default();
        intents.apply_document(&document("s"));
        assert_eq!(intents.assign(&assignment(Role::Prefill, 1)), Ok(2));
        let stale = Err(RoleRefusal::Stale { generation: 2 });
        assert_eq!(intents.assign(&assignment(Role::Decode, 1)), stale);
        assert_eq!(intents.get("t0").unwrap().role, Role::Prefill);
    }

    #[test]
    fn assign_persists_across_unrelated_document_change() {
        let mut intents = Intents::default();
        intents.apply_document(&document("s"));
        intents.assign(&assignment(Role::Prefill, 1)).unwrap();
        intents.apply_document(&document("ss"));
        assert_eq!(intents.get("t0").unwrap().role, Role::Prefill);
        assert_eq!(intents.get("t0").unwrap().generation, 2);
    }

    #[test]
    fn assign_leaving_target() {
        let mut intents = Intents::default();
        intents.apply_document(&document("l"));
        let refused = intents.assign(&assignment(Role::Prefill, 1));
        assert_eq!(refused, Err(RoleRefusal::UnknownTarget));
    }

    quickcheck! {
        /// Generations never decrease, and no two intents of a target share one.
        fn apply_document_generation_identifies_intent(steps: Vec<(u8, bool)>) -> bool {
            let mut intents = Intents::default();
            let mut seen: BTreeMap<FencingToken, Intent> = BTreeMap::new();
            for (step, assign) in steps {
                match assign {
                    true => {
                        let role = [Role::Mixed, Role::Prefill, Role::Decode][step as usize % 3];
                        let _ = intents.assign(&assignment(role, u64::from(step % 8)));
                    }
                    false => intents.apply_document(&document(["", "s", "l", "a"][step as usize % 4])),
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
