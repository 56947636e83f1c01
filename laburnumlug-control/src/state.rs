//! Replicated state machine of the control log: fleet document, intents, claims, node reports and audit trail.

mod fleet_change;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use laburnumlug::{FencingToken, FleetVersion, IdempotencyKey, TargetName};
use laburnumlug_mesh::{
    Intent, NodeCommand, NodeOutcome, NodeReport, OrderReport, OrderResult, RoleAssignment,
};
use laburnumlug_operator::{AuditLog, AuditRecord, AuditResult};
use serde::{Deserialize, Serialize};

use self::fleet_change::KeyedChange;
use crate::claims::Claims;
use crate::command::{Command, Outcome};
use crate::intents::{Intents, RoleRefusal, TargetIntent};
use crate::load_queue::LoadQueue;
use crate::scaling::ServerLedger;
use crate::software::SoftwareLedger;
use crate::usage::UsageLedger;

/// Operator and client address in the audit records of changes that the system itself makes.
const SYSTEM_ACTOR: &str = "-";

/// The fleet document in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetSnapshot {
    /// Version of the document, or 0 before the first document.
    pub version: FleetVersion,
    /// Document as JSON, or empty before the first.
    pub document: Rc<str>,
}

/// Record of the log: a command and the time of its submission.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Record {
    /// Unix time of the submission in milliseconds.
    pub(crate) time_ms: u64,
    pub(crate) command: Command,
}

/// State machine of the log, built by applying its records in order.
#[derive(Deserialize, Serialize)]
pub(crate) struct State {
    /// Index of the log entry that is being applied or was applied last.
    index: u64,
    /// Index of the last entry that could change the fleet document.
    fleet_index: u64,
    /// Index of the last entry that could change an intent.
    intents_index: u64,
    fleet: FleetSnapshot,
    /// Names of the control replicas that the fleet document lists.
    control_names: Vec<String>,
    audit: AuditLog,
    /// Operator who created the version in force.
    changed_by: String,
    /// Accepted changes by idempotency key, to answer duplicates.
    by_key: HashMap<IdempotencyKey, KeyedChange>,
    /// Latest report of each process, by process name.
    nodes: BTreeMap<String, NodeReport>,
    /// Latest report of an order to each target.
    orders: BTreeMap<TargetName, OrderReport>,
    /// Queue of targets for loading weights.
    loads: LoadQueue,
    intents: Intents,
    /// Claims on calls that may run at most once.
    claims: Claims,
    /// Usage of customers by window; missing in snapshots of earlier versions.
    #[serde(default)]
    usage: UsageLedger,
    /// Last orders of targets; missing in snapshots of earlier versions.
    #[serde(default)]
    servers: ServerLedger,
    /// Software versions of services; missing in snapshots of earlier versions.
    #[serde(default)]
    software: SoftwareLedger,
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
            loads: LoadQueue::default(),
            intents: Intents::default(),
            claims: Claims::default(),
            usage: UsageLedger::default(),
            servers: ServerLedger::default(),
            software: SoftwareLedger::default(),
        }
    }

    pub(crate) fn fleet(&self) -> &FleetSnapshot {
        &self.fleet
    }

    pub(crate) fn audit(&self) -> &AuditLog {
        &self.audit
    }

    /// Returns whether the fleet document allows a control replica to vote; a document that lists none allows all.
    pub(crate) fn may_vote(&self, replica: &str) -> bool {
        self.control_names.is_empty() || self.control_names.iter().any(|name| name == replica)
    }

    /// Returns about how many bytes a snapshot of the state takes, without encoding it.
    pub(crate) fn approximate_bytes(&self) -> u64 {
        (self.fleet.document.len() + self.audit.text_bytes()) as u64
    }

    /// Returns the index of the last entry that could change the fleet document.
    pub(crate) fn fleet_index(&self) -> u64 {
        self.fleet_index
    }

    /// Applies the log entry at `index`.
    pub(crate) fn apply_entry(&mut self, index: u64, record: Record) -> Outcome {
        self.index = index;
        if record.command.may_change_fleet() {
            self.fleet_index = index;
        }
        if record.command.may_change_intents() {
            self.intents_index = index;
        }
        self.apply(record)
    }

    /// Returns the index of the last entry that could change an intent.
    pub(crate) fn intents_index(&self) -> u64 {
        self.intents_index
    }

    /// Returns the intent of a target.
    pub(crate) fn intent(&self, target: &str) -> Option<&Intent> {
        self.intents.get(target)
    }

    /// Returns the intents of all targets that the fleet document ever listed, sorted by name.
    pub(crate) fn intents(&self) -> Vec<TargetIntent> {
        self.intents.all()
    }

    /// Applies a record; the outcome is determined by this and the earlier records alone.
    pub(crate) fn apply(&mut self, record: Record) -> Outcome {
        match record.command {
            Command::Fleet(change) => Outcome::Fleet(self.change_fleet(record.time_ms, change)),
            Command::Node(command) => Outcome::Node(self.apply_node(record.time_ms, command)),
            Command::AssignRole(assignment) => {
                Outcome::AssignRole(self.assign_role(record.time_ms, &assignment))
            }
            Command::FixUsage(fix) => Outcome::UsageFix(self.usage.fix(fix)),
            Command::AcknowledgeUsage { window } => {
                Outcome::UsageAcknowledged(self.usage.acknowledge(window))
            }
            Command::OrderServers(change) => {
                Outcome::ServersOrdered(self.servers.order(record.time_ms, change))
            }
            Command::AcknowledgeServers { number } => {
                Outcome::ServersAcknowledged(self.servers.acknowledge(record.time_ms, number))
            }
            Command::RecordSoftware(change) => {
                Outcome::SoftwareRecorded(self.software.record(record.time_ms, change))
            }
        }
    }

    /// Returns the windows of usage that are fixed.
    pub(crate) fn usage(&self) -> &UsageLedger {
        &self.usage
    }

    /// Returns the software versions of services.
    pub(crate) fn software(&self) -> &SoftwareLedger {
        &self.software
    }

    /// Returns the last orders of targets.
    pub(crate) fn servers(&self) -> &ServerLedger {
        &self.servers
    }

    /// Returns the latest report of each process, sorted by name.
    pub(crate) fn nodes(&self) -> Vec<NodeReport> {
        self.nodes.values().cloned().collect()
    }

    /// Returns the latest report of an order to each target, sorted by name.
    pub(crate) fn orders(&self) -> Vec<OrderReport> {
        self.orders.values().cloned().collect()
    }

    fn assign_role(
        &mut self,
        time_ms: u64,
        assignment: &RoleAssignment,
    ) -> Result<FencingToken, RoleRefusal> {
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
        self.audit_system_change(time_ms, outcome);
        result
    }

    /// Stores the result of an order; a duplicate report adds no second audit record.
    fn record_order(&mut self, time_ms: u64, report: OrderReport) -> NodeOutcome {
        if self.orders.get(&report.target) != Some(&report) {
            let outcome = AuditResult::Order {
                target: report.target.clone(),
                generation: report.generation,
                carried_out: report.result == OrderResult::CarriedOut,
            };
            self.audit_system_change(time_ms, outcome);
            self.orders.insert(report.target.clone(), report);
        }
        NodeOutcome::OrderRecorded
    }

    /// Adds an audit record for a change that the system itself made.
    fn audit_system_change(&mut self, time_ms: u64, outcome: AuditResult) {
        self.audit.append(AuditRecord {
            number: 0,
            time_ms,
            operator: SYSTEM_ACTOR.to_string(),
            client_addr: SYSTEM_ACTOR.to_string(),
            key: None,
            base: self.fleet.version,
            outcome,
        });
    }

    fn apply_node(&mut self, time_ms: u64, command: NodeCommand) -> NodeOutcome {
        match command {
            NodeCommand::Register(report) => self.register(report),
            NodeCommand::ReportOrder(report) => self.record_order(time_ms, report),
            NodeCommand::Claim(command) => NodeOutcome::Claim(self.claims.apply(time_ms, command)),
            NodeCommand::RequestWeightLoad(req) => NodeOutcome::WeightLoad {
                granted: self.loads.request(time_ms, &req),
            },
            NodeCommand::FinishWeightLoad { target } => {
                self.loads.release(&target);
                NodeOutcome::WeightLoadFinished
            }
        }
    }

    fn register(&mut self, report: NodeReport) -> NodeOutcome {
        let recency = |report: &NodeReport| (report.started_ms, report.incarnation, report.version);
        match self.nodes.get(&report.process) {
            Some(current) if recency(current) >= recency(&report) => {}
            _ => {
                self.nodes.insert(report.process.clone(), report);
            }
        }
        NodeOutcome::Registered
    }
}

#[cfg(test)]
mod tests;
