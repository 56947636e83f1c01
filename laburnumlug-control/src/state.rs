//! State that the control log's records build.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use laburnumlug::{FencingNumber, FleetDocument, FleetVersion, IdempotencyKey, TargetName};
use laburnumlug_mesh::{
    Intent, NodeCommand, NodeOutcome, NodeReport, OrderReport, OrderResult, RoleAssignment,
};
use laburnumlug_operator::{
    AuditLog, AuditRecord, AuditResult, Difference, difference, validate_document,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::claims::Claims;
use crate::command::{Accepted, Command, FleetChange, FleetRefusal, Outcome};
use crate::intents::{Intents, RoleRefusal, TargetIntent};
use crate::load_plan::LoadPlan;

/// Stands in the audit trail for the operator and origin of changes that the system itself makes.
const SYSTEM: &str = "-";

/// Number of versions for which the key of an accepted change is kept at least.
const KEY_RETENTION_VERSIONS: u64 = 10_000;

/// The fleet document in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetSnapshot {
    /// Version; 0 before the first document.
    pub version: FleetVersion,
    /// The document as JSON; empty before the first.
    pub document: Rc<str>,
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Record {
    /// Unix time in milliseconds at which the command was submitted.
    pub(crate) time_ms: u64,
    pub(crate) command: Command,
}

/// Accepted change that bore a key.
#[derive(Deserialize, Serialize)]
struct KeyedChange {
    base: FleetVersion,
    /// SHA-256 of the document.
    digest: [u8; 32],
    version: FleetVersion,
}

/// What to do with a change of the fleet document.
enum Decision {
    /// It is a resend of a change that was accepted.
    Resend(Accepted),
    /// It is acceptable; this is its document.
    Accept(Box<FleetDocument>),
}

/// State that the log's records build.
#[derive(Deserialize, Serialize)]
pub(crate) struct State {
    /// Index of the log entry that is being applied, or was last.
    index: u64,
    /// Index of the last entry that could change the fleet document.
    fleet_index: u64,
    /// Index of the last entry that could change what a target is meant to be.
    intents_index: u64,
    fleet: FleetSnapshot,
    /// Names of the control replicas that the document lists.
    control_names: Vec<String>,
    audit: AuditLog,
    /// Operator who made the version in force.
    changed_by: String,
    /// Changes that bore a key, for the answer to a resend.
    by_key: HashMap<IdempotencyKey, KeyedChange>,
    /// Latest report of each process, by its name.
    nodes: BTreeMap<String, NodeReport>,
    /// Latest report of an order to each target.
    orders: BTreeMap<TargetName, OrderReport>,
    /// Which target may load weights.
    loads: LoadPlan,
    intents: Intents,
    /// Claims of calls that may run at most once.
    claims: Claims,
}

impl State {
    pub(crate) fn new() -> State {
        State {
            index: 0,
            fleet_index: 0,
            intents_index: 0,
            fleet: FleetSnapshot {
                version: 0,
                document: Rc::from(""),
            },
            control_names: Vec::new(),
            audit: AuditLog::new(),
            changed_by: String::new(),
            by_key: HashMap::new(),
            nodes: BTreeMap::new(),
            orders: BTreeMap::new(),
            loads: LoadPlan::default(),
            intents: Intents::default(),
            claims: Claims::default(),
        }
    }

    pub(crate) fn fleet(&self) -> &FleetSnapshot {
        &self.fleet
    }

    pub(crate) fn audit(&self) -> &AuditLog {
        &self.audit
    }

    /// Returns whether the document lets a control replica vote; one without a list lets all.
    pub(crate) fn lets_vote(&self, replica: &str) -> bool {
        self.control_names.is_empty() || self.control_names.iter().any(|name| name == replica)
    }

    /// Returns the index of the last entry that could change the fleet document.
    pub(crate) fn fleet_index(&self) -> u64 {
        self.fleet_index
    }

    /// Applies the log entry at `index`.
    pub(crate) fn apply_at(&mut self, index: u64, record: Record) -> Outcome {
        self.index = index;
        if record.command.concerns_fleet() {
            self.fleet_index = index;
        }
        if record.command.concerns_intents() {
            self.intents_index = index;
        }
        self.apply(record)
    }

    /// Returns the index of the last entry that could change what a target is meant to be.
    pub(crate) fn intents_index(&self) -> u64 {
        self.intents_index
    }

    /// Returns what a target is meant to be.
    pub(crate) fn intent(&self, target: &str) -> Option<&Intent> {
        self.intents.get(target)
    }

    /// Returns what each target that ever stood in the fleet document is meant to be, by name.
    pub(crate) fn intents(&self) -> Vec<TargetIntent> {
        self.intents.all()
    }

    /// Applies a record; the outcome depends on nothing but the records before it.
    pub(crate) fn apply(&mut self, record: Record) -> Outcome {
        match record.command {
            Command::Fleet(change) => Outcome::Fleet(self.change_fleet(record.time_ms, change)),
            Command::Node(command) => Outcome::Node(self.apply_node(record.time_ms, command)),
            Command::AssignRole(assignment) => {
                Outcome::AssignRole(self.assign_role(record.time_ms, &assignment))
            }
        }
    }

    /// Returns the latest report of each process, by name.
    pub(crate) fn nodes(&self) -> Vec<NodeReport> {
        self.nodes.values().cloned().collect()
    }

    /// Returns the latest report of an order to each target, by name.
    pub(crate) fn orders(&self) -> Vec<OrderReport> {
        self.orders.values().cloned().collect()
    }

    fn assign_role(
        &mut self,
        time_ms: u64,
        assignment: &RoleAssignment,
    ) -> Result<FencingNumber, RoleRefusal> {
        let result = self.intents.assign(assignment);
        let outcome = match &result {
            Ok(generation) => AuditResult::RoleChanged {
                target: assignment.target.clone(),
                role: assignment.role,
                generation: *generation,
                reason: assignment.reason.clone(),
            },
            Err(refusal) => AuditResult::RoleRefused {
                target: assignment.target.clone(),
                role: assignment.role,
                reason: refusal.to_string(),
            },
        };
        self.record_own(time_ms, outcome);
        result
    }

    /// Notes what came of an order; the same report again leaves no second record.
    fn note_order(&mut self, time_ms: u64, report: OrderReport) -> NodeOutcome {
        if self.orders.get(&report.target) != Some(&report) {
            let outcome = AuditResult::Order {
                target: report.target.clone(),
                generation: report.generation,
                carried_out: report.result == OrderResult::CarriedOut,
            };
            self.record_own(time_ms, outcome);
            self.orders.insert(report.target.clone(), report);
        }
        NodeOutcome::OrderRecorded
    }

    /// Records a change that the system itself made.
    fn record_own(&mut self, time_ms: u64, outcome: AuditResult) {
        self.audit.append(AuditRecord {
            number: 0,
            time_ms,
            operator: SYSTEM.to_string(),
            origin: SYSTEM.to_string(),
            key: None,
            base: self.fleet.version,
            outcome,
        });
    }

    fn apply_node(&mut self, time_ms: u64, command: NodeCommand) -> NodeOutcome {
        match command {
            NodeCommand::Register(report) => self.register(report),
            NodeCommand::ReportOrder(report) => self.note_order(time_ms, report),
            NodeCommand::Claim(command) => NodeOutcome::Claim(self.claims.apply(time_ms, command)),
            NodeCommand::RequestWeightLoad(req) => NodeOutcome::WeightLoad {
                granted: self.loads.request(time_ms, &req),
            },
            NodeCommand::FinishWeightLoad { target } => {
                self.loads.finish(&target);
                NodeOutcome::WeightLoadFinished
            }
        }
    }

    fn register(&mut self, report: NodeReport) -> NodeOutcome {
        let order = |report: &NodeReport| (report.started_ms, report.incarnation, report.version);
        match self.nodes.get(&report.process) {
            Some(held) if order(held) >= order(&report) => {}
            _ => {
                self.nodes.insert(report.process.clone(), report);
            }
        }
        NodeOutcome::Registered
    }

    /// Applies a change and records what came of it; a resend leaves no second record.
    fn change_fleet(
        &mut self,
        time_ms: u64,
        change: FleetChange,
    ) -> Result<Accepted, FleetRefusal> {
        match self.decide(&change) {
            Ok(Decision::Resend(accepted)) => Ok(accepted),
            Ok(Decision::Accept(document)) => Ok(self.accept(time_ms, change, &document)),
            Err(refusal) => {
                self.record(time_ms, &change, refusal.audit_result());
                Err(refusal)
            }
        }
    }

    /// Returns what to do with a change.
    fn decide(&self, change: &FleetChange) -> Result<Decision, FleetRefusal> {
        match self.earlier_answer(change)? {
            Some(accepted) => Ok(Decision::Resend(accepted)),
            None => self
                .check(change)
                .map(|document| Decision::Accept(Box::new(document))),
        }
    }

    fn accept(&mut self, time_ms: u64, change: FleetChange, document: &FleetDocument) -> Accepted {
        self.intents.follow(document);
        self.control_names = document.control.iter().map(|vm| vm.name.clone()).collect();
        let version = self.fleet.version + 1;
        let differences = self.differences(&change.document);
        self.fleet = FleetSnapshot {
            version,
            document: Rc::from(change.document.as_str()),
        };
        self.changed_by = change.operator.clone();
        self.record(
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
            self.forget_old_keys(version);
        }
        Accepted { version }
    }

    fn record(&mut self, time_ms: u64, change: &FleetChange, outcome: AuditResult) {
        self.audit.append(AuditRecord {
            number: 0,
            time_ms,
            operator: change.operator.clone(),
            origin: change.origin.clone(),
            key: change.key.clone(),
            base: change.base,
            outcome,
        });
    }

    /// Returns how `document` differs from the one in force.
    fn differences(&self, document: &str) -> Vec<Difference> {
        let value = |text: &str| serde_json::from_str(text).unwrap_or(Value::Null);
        let before = match self.fleet.document.is_empty() {
            true => Value::Object(Map::new()),
            false => value(&self.fleet.document),
        };
        difference(&before, &value(document))
    }

    /// Forgets the keys of changes that are older than the retention, many at a time.
    fn forget_old_keys(&mut self, version: FleetVersion) {
        if self.by_key.len() as u64 >= 2 * KEY_RETENTION_VERSIONS {
            self.by_key
                .retain(|_, keyed| keyed.version + KEY_RETENTION_VERSIONS > version);
        }
    }

    /// Returns the first answer where `change` is a resend.
    fn earlier_answer(&self, change: &FleetChange) -> Result<Option<Accepted>, FleetRefusal> {
        let Some(key) = &change.key else {
            return Ok(None);
        };
        match self.by_key.get(key) {
            None => Ok(None),
            Some(first)
                if first.digest == digest(&change.document) && first.base == change.base =>
            {
                Ok(Some(Accepted {
                    version: first.version,
                }))
            }
            Some(_) => Err(FleetRefusal::KeyReused { key: key.clone() }),
        }
    }

    /// Returns the parsed document where the change is acceptable.
    fn check(&self, change: &FleetChange) -> Result<FleetDocument, FleetRefusal> {
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

#[cfg(test)]
mod tests;
