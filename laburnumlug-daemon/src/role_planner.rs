//! Role planner: the leading control replica decides which engines change role and sends them the orders.

use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{LiveTarget, ServiceName, TargetList, TargetName};
use laburnumlug_control::Replica;
use laburnumlug_platform::RoleAssigner;
use laburnumlug_policy::{Demand, DemandMeter, RoleChange, plan_roles};

use crate::leadership::{HandoverTime, Leadership};

/// Delay between announcing that an engine is changing and ordering the change. Gateways poll twice a second.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(700);

/// Time after an order within which the list of live targets must show its effect, including the lag of the list.
/// After it, the engine is planned again.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which the set of engines must stay the same before roles are planned. Engines appear one by one at startup
/// and during a release.
const STABLE_TIME: Duration = Duration::from_millis(1500);

/// A role change that was announced in the list of live targets and that the list does not show as done yet.
struct PendingChange {
    change: RoleChange,
    announced_at: Instant,
    ordered_at: Option<Instant>,
}

/// Plans the roles of engines and sends the orders to change them.
pub(crate) struct RolePlanner {
    replica: Rc<Replica>,
    role_assigner: Rc<dyn RoleAssigner>,
    /// Name of this replica's VM, which orders carry as the holder of their fencing token.
    holder: String,
    leadership: Leadership,
    pending: RefCell<HashMap<TargetName, PendingChange>>,
    /// Instances of the engines that are not leaving, and the time since which this set is unchanged.
    observed_engines: RefCell<Option<(BTreeSet<TargetName>, Instant)>>,
    /// Demand for the engines, sampled since this replica became the leader.
    demand: RefCell<DemandMeter>,
}

impl RolePlanner {
    pub(crate) fn new(
        replica: Rc<Replica>,
        role_assigner: Rc<dyn RoleAssigner>,
        holder: &str,
        handover: Rc<HandoverTime>,
    ) -> RolePlanner {
        RolePlanner {
            leadership: Leadership::new(replica.clone(), handover),
            replica,
            role_assigner,
            holder: holder.to_string(),
            pending: RefCell::default(),
            observed_engines: RefCell::default(),
            demand: RefCell::default(),
        }
    }

    /// Returns the demand for the engines, as of the last list.
    pub(crate) fn demand_meter(&self) -> Ref<'_, DemandMeter> {
        self.demand.borrow()
    }

    /// Plans role changes for a list that was just read, marks the changing engines in it and sends the orders due.
    ///
    /// A replica that does not lead only discards its pending changes. A new leader sends no order before the handover
    /// from its predecessor is over.
    pub(crate) fn plan(self: &Rc<Self>, now: Instant, list: &mut TargetList) {
        if self.leadership.leading_since(now).is_none() {
            self.pending.borrow_mut().clear();
            self.demand.take();
            return;
        }
        let mut demand = self.demand.borrow_mut();
        demand.update(now, &self.replica.demand_reports());
        let mut pending = self.pending.borrow_mut();
        pending.retain(|engine, pending| {
            let row = list.targets.iter().find(|row| row.instance == *engine);
            let is_complete =
                row.is_none_or(|row| row.role == Some(pending.change.role) || row.leaving);
            let has_expired = pending
                .ordered_at
                .is_some_and(|at| now.saturating_duration_since(at) > EFFECT_TIMEOUT);
            !is_complete && !has_expired
        });
        let is_ordering = pending.values().any(|pending| pending.ordered_at.is_some());
        if self.is_stable(now, list) && !is_ordering {
            for (service, demand, mut changes) in planned_changes(now, list, &demand) {
                changes.retain(|change| !pending.contains_key(&change.engine));
                if !changes.is_empty() {
                    log::info!(service = service.as_str(), changes = changes.len(); "planned role changes for {demand}");
                }
                for change in changes {
                    log::info!(target = change.engine.as_str(); "planned to change the engine to role {}", change.role);
                    let engine = change.engine.clone();
                    pending.insert(
                        engine,
                        PendingChange {
                            change,
                            announced_at: now,
                            ordered_at: None,
                        },
                    );
                }
            }
        }
        for row in &mut list.targets {
            row.changing = pending.contains_key(&row.instance);
        }
        if self.leadership.acting_term(now).is_none() {
            return;
        }
        for (engine, pending) in pending.iter_mut() {
            let announced_for = now.saturating_duration_since(pending.announced_at);
            let row = list.targets.iter().find(|row| row.instance == *engine);
            if let (None, true, Some(row)) =
                (pending.ordered_at, announced_for >= ANNOUNCE_DELAY, row)
            {
                pending.ordered_at = Some(now);
                let task = self.clone().send_order(row.clone(), pending.change.clone());
                compio::runtime::spawn(task).detach();
            }
        }
    }

    /// Returns whether the set of engines that are not leaving has been stable for [`STABLE_TIME`].
    fn is_stable(&self, now: Instant, list: &TargetList) -> bool {
        let staying = list
            .targets
            .iter()
            .filter(|row| row.role.is_some() && !row.leaving);
        let engines: BTreeSet<TargetName> = staying.map(|row| row.instance.clone()).collect();
        let mut observed_engines = self.observed_engines.borrow_mut();
        match &*observed_engines {
            Some((observed, since)) if *observed == engines => {
                now.saturating_duration_since(*since) >= STABLE_TIME
            }
            _ => {
                *observed_engines = Some((engines, now));
                false
            }
        }
    }

    /// Orders an engine to change its role, if a majority of the replicas confirms that this replica still leads.
    async fn send_order(self: Rc<Self>, engine: LiveTarget, change: RoleChange) {
        let (term, _) = self.replica.term_and_commit_index();
        if self.leadership.confirm(term).await.is_none() {
            log::warn!(target = engine.instance.as_str(); "sent no order to the engine: no majority of the replicas confirmed in time that this replica still leads");
            return;
        }
        let instance = engine.instance.clone();
        let submission =
            self.role_assigner
                .assign_role(engine, change.role, self.holder.clone(), term);
        match submission.await {
            Ok(()) => log::info!(
                target = instance.as_str(), fence = term; "the engine accepted the order to change to role {}", change.role
            ),
            Err(err) => log::warn!(
                target = instance.as_str(), fence = term;
                "the engine is not known to have accepted role {}: {err}", change.role
            ),
        }
    }
}

/// Returns the demand for each service and the role changes that the policy plans for it.
fn planned_changes(
    now: Instant,
    list: &TargetList,
    demand: &DemandMeter,
) -> Vec<(ServiceName, Demand, Vec<RoleChange>)> {
    let mut services: BTreeMap<&ServiceName, Vec<LiveTarget>> = BTreeMap::new();
    for row in list.targets.iter().filter(|row| row.role.is_some()) {
        services.entry(&row.service).or_default().push(row.clone());
    }
    let planned = services.into_iter().map(|(service, engines)| {
        let demand = demand.demand(now, service);
        let changes = plan_roles(&engines, &demand);
        (service.clone(), demand, changes)
    });
    planned.collect()
}
