//! Changes the roles of engines, at the leader of the control replicas.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use laburnumlug::{LiveTarget, TargetList, TargetName};
use laburnumlug_control::Replica;
use laburnumlug_platform::RoleAssigner;
use laburnumlug_policy::{RoleChange, plan_roles};

/// Time from the moment at which an engine is told to others as changing to the order; gateways ask twice a second.
const ANNOUNCE_TIME: Duration = Duration::from_millis(700);

/// Time from an order to the moment at which the list must show its effect; it includes the lag of the list.
const EFFECT_TIME: Duration = Duration::from_secs(6);

/// Margin on top of the time in which two holders may not take turns.
const TURN_MARGIN: Duration = Duration::from_millis(500);

/// How long the proof of leadership may take.
const PROOF_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which the engines of the list must stay the same before roles are planned; engines appear one by one at the
/// start and during a release.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// A change that is under way.
struct Pending {
    change: RoleChange,
    announced_at: Instant,
    ordered_at: Option<Instant>,
}

/// Plans and orders the roles of engines.
pub(crate) struct RolePlanner {
    replica: Rc<Replica>,
    orders: Rc<dyn RoleAssigner>,
    holder: String,
    /// Time in which orders of two holders may not follow each other.
    turn_time: Duration,
    pending: RefCell<HashMap<TargetName, Pending>>,
    /// Instances of the engines that do not leave, and since when they are the same.
    settled: RefCell<Option<(BTreeSet<TargetName>, Instant)>>,
    /// Term in which this replica leads, and since when it is known to.
    leading: RefCell<Option<(u64, Instant)>>,
}

impl RolePlanner {
    pub(crate) fn new(
        replica: Rc<Replica>,
        orders: Rc<dyn RoleAssigner>,
        holder: &str,
        turn_time: Duration,
    ) -> RolePlanner {
        RolePlanner {
            replica,
            orders,
            holder: holder.to_string(),
            turn_time,
            pending: RefCell::default(),
            settled: RefCell::default(),
            leading: RefCell::default(),
        }
    }

    /// Plans for a list that was just read, marks the engines that change in it, and gives the orders that are due.
    pub(crate) fn plan(self: &Rc<Self>, now: Instant, list: &mut TargetList) {
        let Some(since) = self.leading_since(now) else {
            self.pending.borrow_mut().clear();
            return;
        };
        let mut pending = self.pending.borrow_mut();
        pending.retain(|engine, pending| {
            let row = list.targets.iter().find(|row| row.instance == *engine);
            let holds = row.is_none_or(|row| row.role == Some(pending.change.role) || row.leaving);
            let is_over = pending
                .ordered_at
                .is_some_and(|at| now.saturating_duration_since(at) > EFFECT_TIME);
            !holds && !is_over
        });
        if self.is_settled(now, list) {
            for change in changes(list) {
                if !pending.contains_key(&change.engine)
                    && pending.values().all(|p| p.ordered_at.is_none())
                {
                    log::info!(target = change.engine.as_str(); "the engine is to become {}", change.role);
                    let engine = change.engine.clone();
                    pending.insert(
                        engine,
                        Pending {
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
        if now.saturating_duration_since(since) < self.turn_time + TURN_MARGIN {
            return;
        }
        for (engine, pending) in pending.iter_mut() {
            let announced = now.saturating_duration_since(pending.announced_at);
            let row = list.targets.iter().find(|row| row.instance == *engine);
            if let (None, true, Some(row)) = (pending.ordered_at, announced >= ANNOUNCE_TIME, row) {
                pending.ordered_at = Some(now);
                let task = self.clone().order(row.clone(), pending.change.clone());
                compio::runtime::spawn(task).detach();
            }
        }
    }

    /// Returns whether the engines that do not leave have been the same for a while.
    fn is_settled(&self, now: Instant, list: &TargetList) -> bool {
        let staying = list
            .targets
            .iter()
            .filter(|row| row.role.is_some() && !row.leaving);
        let engines: BTreeSet<TargetName> = staying.map(|row| row.instance.clone()).collect();
        let mut settled = self.settled.borrow_mut();
        match &*settled {
            Some((held, since)) if *held == engines => {
                now.saturating_duration_since(*since) >= SETTLE_TIME
            }
            _ => {
                *settled = Some((engines, now));
                false
            }
        }
    }

    /// Returns since when this replica leads in the present term.
    fn leading_since(&self, now: Instant) -> Option<Instant> {
        let mut leading = self.leading.borrow_mut();
        let (term, _) = self.replica.term_and_commit_index();
        *leading = match (self.replica.is_leader(now), *leading) {
            (true, Some((held, since))) if held == term => Some((term, since)),
            (true, _) => Some((term, now)),
            (false, _) => None,
        };
        leading.map(|(_, since)| since)
    }

    async fn order(self: Rc<Self>, engine: LiveTarget, change: RoleChange) {
        let (term, _) = self.replica.term_and_commit_index();
        // A leader that was frozen may have a successor, whose orders must not be followed by its own.
        if !self.replica.confirm_leadership(term, PROOF_TIMEOUT).await {
            log::warn!(target = engine.instance.as_str(); "no order: this replica may no longer lead");
            return;
        }
        let instance = engine.instance.clone();
        let ordered = self
            .orders
            .assign_role(engine, change.role, self.holder.clone(), term);
        match ordered.await {
            Ok(()) => log::info!(
                target = instance.as_str(), fence = term; "the engine was ordered to become {}", change.role
            ),
            Err(err) => log::warn!(
                target = instance.as_str(), fence = term;
                "the order to become {} was not confirmed: {err}", change.role
            ),
        }
    }
}

fn changes(list: &TargetList) -> Vec<RoleChange> {
    let mut services: BTreeMap<&str, Vec<LiveTarget>> = BTreeMap::new();
    for row in list.targets.iter().filter(|row| row.role.is_some()) {
        services.entry(&row.service).or_default().push(row.clone());
    }
    services
        .values()
        .flat_map(|engines| plan_roles(engines))
        .collect()
}
