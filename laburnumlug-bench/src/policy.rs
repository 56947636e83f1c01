//! Policies compared by the benchmark.

use laburnumlug::Role;
use serde_json::{Value, json};

/// Policy under test: the policy section of the fleet document and the initial roles of the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BenchPolicy {
    name: &'static str,
    admission: &'static str,
    routing: &'static str,
    planner: &'static str,
    /// Maximum number of prompts that an engine prefills concurrently.
    prompts_at_once: u32,
    /// Whether half of the engines start in the prefill role and half in the decode role.
    split_roles: bool,
}

const POLICIES: [BenchPolicy; 6] = [
    BenchPolicy {
        name: "mixed",
        admission: "capacity",
        routing: "least-queue",
        planner: "fixed",
        prompts_at_once: 1,
        split_roles: false,
    },
    BenchPolicy {
        name: "fixed-split",
        admission: "capacity",
        routing: "by-role",
        planner: "fixed",
        prompts_at_once: 1,
        split_roles: true,
    },
    BenchPolicy {
        name: "deadline",
        admission: "deadline",
        routing: "least-queue",
        planner: "fixed",
        prompts_at_once: 1,
        split_roles: false,
    },
    BenchPolicy {
        name: "predicted",
        admission: "deadline",
        routing: "predicted-finish",
        planner: "fixed",
        prompts_at_once: 1,
        split_roles: false,
    },
    BenchPolicy {
        name: "predicted-2",
        admission: "deadline",
        routing: "predicted-finish",
        planner: "fixed",
        prompts_at_once: 2,
        split_roles: false,
    },
    BenchPolicy {
        name: "predicted-split",
        admission: "deadline",
        routing: "predicted-finish",
        planner: "fixed",
        prompts_at_once: 1,
        split_roles: true,
    },
];

impl BenchPolicy {
    /// Returns the policy called `name`.
    pub fn by_name(name: &str) -> Option<BenchPolicy> {
        POLICIES.into_iter().find(|policy| policy.name == name)
    }

    /// Returns the names of all policies.
    pub fn names() -> Vec<&'static str> {
        POLICIES.iter().map(|policy| policy.name).collect()
    }

    /// Returns the name by which [`BenchPolicy::by_name`] finds the policy.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the policy section of the fleet document.
    pub(crate) fn policy_section(&self) -> Value {
        json!({ "admission": self.admission, "routing": self.routing, "planner": self.planner,
            "prompts_at_once": self.prompts_at_once,
        })
    }

    /// Returns the role with which the engine with index `engine` starts.
    pub(crate) fn initial_role(&self, engine: usize) -> Role {
        match (self.split_roles, engine % 2) {
            (false, _) => Role::Mixed,
            (true, 0) => Role::Prefill,
            (true, _) => Role::Decode,
        }
    }
}
