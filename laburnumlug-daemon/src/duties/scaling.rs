//! Orders of numbers of targets from the platform.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use laburnumlug::{FencingToken, ServiceName, TargetList, VmName, ZoneName};
use laburnumlug_control::{
    Command, DutyHolder, LoggedOrder, Outcome, Replica, ServerChange, ServerStatus,
};
use laburnumlug_platform::{DutyClient, DutyTicket};
use laburnumlug_policy::{
    DemandMeter, ReportResult, ReportSchedule, ServerCount, ServerOrder, ServiceLoad,
};

use super::scaling_view::{OrderTimes, ScaledServices, zone_targets};
use crate::leadership::{HandoverTime, Leadership};

/// Interval between checks whether an order waits to be sent; targets start within seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a command to be committed.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(900);

type LoggedOrders = BTreeMap<ServiceName, BTreeMap<ZoneName, LoggedOrder>>;

/// What this replica has observed since it leads.
#[derive(Default)]
struct Observations {
    /// Time since which it leads.
    since: Option<Instant>,
    counts: HashMap<ServiceName, ServerCount>,
    times: OrderTimes,
}

/// Decides numbers of targets, keeps them in the control log and orders them from the platform, while this replica leads.
pub(crate) struct ScalingDuty {
    replica: Rc<Replica>,
    client: Rc<dyn DutyClient>,
    /// Name of this replica's VM.
    holder: VmName,
    leadership: Leadership,
    schedule: RefCell<ReportSchedule>,
    services: RefCell<ScaledServices>,
    observations: RefCell<Observations>,
    /// Whether decisions are being logged; others are made once these are known.
    is_logging: Cell<bool>,
}

impl ScalingDuty {
    /// Starts the task that sends the orders.
    pub(crate) fn start(
        replica: Rc<Replica>,
        client: Rc<dyn DutyClient>,
        holder: &str,
        handover: Rc<HandoverTime>,
    ) -> Rc<ScalingDuty> {
        let duty = Rc::new(ScalingDuty {
            leadership: Leadership::new(replica.clone(), handover),
            replica,
            client,
            holder: holder.to_string(),
            schedule: RefCell::default(),
            services: RefCell::default(),
            observations: RefCell::default(),
            is_logging: Cell::new(false),
        });
        compio::runtime::spawn(duty.clone().run_ordering()).detach();
        duty
    }

    /// Decides by a list of targets that was just read, while this replica leads.
    pub(crate) fn observe(self: &Rc<Self>, now: Instant, list: &TargetList, demand: &DemandMeter) {
        let Some(since) = self.leadership.leading_since(now) else {
            return;
        };
        let mut observations = self.observations.borrow_mut();
        if observations.since != Some(since) {
            *observations = Observations {
                since: Some(since),
                ..Observations::default()
            };
        }
        let Observations { counts, times, .. } = &mut *observations;
        let orders = self.replica.server_orders();
        times.retain_orders(orders.values().flat_map(BTreeMap::values));
        let mut services = self.services.borrow_mut();
        let services = services.update(&self.replica.fleet());
        counts.retain(|name, _| services.iter().any(|service| service.name == *name));
        let (mut changes, mut status) = (Vec::new(), Vec::new());
        for service in services {
            let logged = orders.get(&service.name);
            let zones = zone_targets(now, &service.name, list, logged, times);
            let load = ServiceLoad {
                scaling: &service.scaling,
                drain_time: service.drain_time,
                demand: &service.demand(now, demand),
                reporters: demand.reporters(),
            };
            let count = counts.entry(service.name.clone()).or_default();
            let decided = count.plan(now, load, &zones);
            changes.extend(decided.into_iter().map(|order| {
                let last = logged.and_then(|zones| zones.get(&order.zone));
                server_change(&service.name, order, last)
            }));
            status.extend(zones.into_iter().map(|zone| ServerStatus {
                service: service.name.clone(),
                present: zone.present,
                starting: zone.missing(),
                zone: zone.zone,
            }));
        }
        self.replica.set_server_status(status);
        let may_decide = self.leadership.acting_term(now).is_some() && !self.is_logging.get();
        if may_decide && !changes.is_empty() {
            self.is_logging.set(true);
            compio::runtime::spawn(self.clone().log_changes(changes)).detach();
        }
    }

    /// Keeps decisions in the control log, from which they are sent.
    async fn log_changes(self: Rc<Self>, changes: Vec<ServerChange>) {
        for change in changes {
            let submission = self.replica.submit_within(
                SystemTime::now(),
                Command::OrderServers(change.clone()),
                SUBMIT_TIMEOUT,
            );
            match submission.await {
                Ok(Outcome::ServersOrdered(true)) => log::info!(
                    service = change.service.as_str(), target_zone = change.zone.as_str(),
                    desired = change.desired, previous = change.previous, reason = change.reason.as_str();
                    "decided to order a number of targets"
                ),
                Ok(_) => log::info!(
                    service = change.service.as_str(), target_zone = change.zone.as_str();
                    "dropped a decision about the number of targets: another one came before"
                ),
                Err(err) => log::warn!(
                    service = change.service.as_str(), target_zone = change.zone.as_str();
                    "a decision about the number of targets may not have been logged: {err}"
                ),
            }
        }
        self.is_logging.set(false);
    }

    async fn run_ordering(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let since = self.leadership.leading_since(now);
            let acting_term = self.leadership.acting_term(now);
            if self.replica.usage_totals().is_none() {
                self.publish_holder(since, acting_term.is_some());
            }
            if since.is_none() {
                self.replica.set_server_status(Vec::new());
            }
            let Some(term) = acting_term else {
                self.schedule.take();
                continue;
            };
            let pending = self.replica.pending_server_orders();
            let next = self.schedule.borrow_mut().next(now, pending.into_iter());
            let orders = self.replica.server_orders();
            if let Some((service, zone, order)) = next.and_then(|number| find(orders, number)) {
                self.send(term, service, zone, order).await;
            }
        }
    }

    fn publish_holder(&self, since: Option<Instant>, is_acting: bool) {
        let (term, _) = self.replica.term_and_commit_index();
        let holder = since.map(|since| DutyHolder {
            holder: self.holder.clone(),
            fence: term,
            since,
            is_acting,
        });
        self.replica.set_duty_holder(holder);
    }

    /// Sends one order, if a majority confirms that this replica leads, and logs that the platform has accepted it.
    async fn send(
        &self,
        term: FencingToken,
        service: ServiceName,
        zone: ZoneName,
        order: LoggedOrder,
    ) {
        let started_at = Instant::now();
        let Some(permit) = self.leadership.confirm(term).await else {
            log::warn!(service = service.as_str(), target_zone = zone.as_str(); "sent no order of targets: no majority of the replicas confirmed in time that this replica still leads");
            return;
        };
        let ticket = DutyTicket {
            holder: self.holder.clone(),
            fence: permit.fence,
            expires_at: permit.expires_at,
        };
        let call = self
            .client
            .order_servers(ticket, service.clone(), zone.clone(), order.desired);
        let result = call.await;
        let now = Instant::now();
        let taken_ms = now.saturating_duration_since(started_at).as_millis() as u64;
        self.replica.record_server_order(result.is_ok());
        let outcome = match &result {
            Ok(()) => ReportResult::Accepted,
            Err(err) if err.is_rejection() => ReportResult::Rejected,
            Err(_) => ReportResult::Unknown,
        };
        match &result {
            Ok(()) => {
                log::info!(
                    service = service.as_str(), target_zone = zone.as_str(), desired = order.desired,
                    reason = order.reason.as_str(), fence = permit.fence, taken_ms = taken_ms;
                    "ordered a number of targets"
                );
                self.acknowledge(&service, &zone, order.number).await;
            }
            Err(err) if err.is_rejection() => log::error!(
                service = service.as_str(), target_zone = zone.as_str(), desired = order.desired,
                fence = permit.fence, taken_ms = taken_ms;
                "the platform rejected an order of targets, which is sent again later: {err}"
            ),
            Err(err) => log::warn!(
                service = service.as_str(), target_zone = zone.as_str(), desired = order.desired,
                fence = permit.fence, taken_ms = taken_ms;
                "an order of targets may not have been accepted, and is sent again: {err}"
            ),
        }
        let mut schedule = self.schedule.borrow_mut();
        schedule.record(started_at, Instant::now(), order.number, outcome);
    }

    /// Logs that the platform has accepted an order. If that fails, the same order is sent again.
    async fn acknowledge(&self, service: &str, zone: &str, number: u64) {
        let command = Command::AcknowledgeServers { number };
        let submission = self
            .replica
            .submit_within(SystemTime::now(), command, SUBMIT_TIMEOUT);
        if let Err(err) = submission.await {
            log::warn!(service = service, target_zone = zone; "the acceptance of an order of targets may not have been logged: {err}");
        }
    }
}

fn server_change(service: &str, order: ServerOrder, last: Option<&LoggedOrder>) -> ServerChange {
    ServerChange {
        service: service.to_string(),
        zone: order.zone,
        replaces: last.map_or(0, |last| last.number),
        desired: order.desired,
        previous: order.previous,
        reason: order.reason.to_string(),
    }
}

fn find(orders: LoggedOrders, number: u64) -> Option<(ServiceName, ZoneName, LoggedOrder)> {
    let orders = orders.into_iter().flat_map(|(service, zones)| {
        let rows = zones.into_iter();
        rows.map(move |(zone, order)| (service.clone(), zone, order))
    });
    let mut found = orders.filter(|(_, _, order)| order.number == number);
    found.next()
}
