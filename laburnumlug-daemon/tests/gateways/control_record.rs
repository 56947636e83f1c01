//! What happened to control processes, and what the operator got from them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::control_fleet::{ControlFleet, Redirect};

/// Time by which the operator's list of control processes lags.
const LIST_LAG: Duration = Duration::from_secs(3);

/// Control process as the operator's list has it; the index is that of the member.
#[derive(Clone, Debug)]
pub struct Listed {
    pub addr: SocketAddr,
    pub has_disk: bool,
    listed_at: Instant,
    removed_at: Option<Instant>,
}

impl Listed {
    /// Returns whether the process was removed for good.
    pub fn is_removed(&self) -> bool {
        self.removed_at.is_some()
    }
}

/// Interval in which a control process did not run or was suspended.
#[derive(Clone, Debug)]
pub struct Outage {
    pub member: usize,
    pub from: Instant,
    /// `None` while it lasts.
    pub until: Option<Instant>,
}

/// Call of the operator, with the redirects that it followed.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Control process at which the call began.
    pub member: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub redirects: Vec<Redirect>,
    /// Why the call failed.
    pub error: Option<String>,
}

/// Record of a run's control processes.
#[derive(Default)]
pub struct ControlRecord {
    pub listed: RefCell<Vec<Listed>>,
    pub outages: RefCell<Vec<Outage>>,
    pub attempts: RefCell<Vec<Attempt>>,
}

impl ControlRecord {
    /// Lists the control processes with which the run begins.
    pub fn list_all(&self, control: &ControlFleet, now: Instant) {
        let members = control.members.iter();
        self.listed.borrow_mut().extend(members.map(|m| Listed {
            addr: m.operator_addr,
            has_disk: m.has_disk,
            listed_at: now,
            removed_at: None,
        }));
    }

    /// Records a member that was added and will be started at `starts_at`.
    pub fn add(&self, control: &ControlFleet, member: usize, starts_at: Instant) {
        self.listed.borrow_mut().push(Listed {
            addr: control.members[member].operator_addr,
            has_disk: control.members[member].has_disk,
            listed_at: starts_at + LIST_LAG,
            removed_at: None,
        });
    }

    pub fn remove(&self, member: usize, now: Instant) {
        self.listed.borrow_mut()[member].removed_at = Some(now);
    }

    /// Returns the members that are on the operator's list, and their addresses.
    pub fn on_list(&self, now: Instant) -> Vec<(usize, SocketAddr)> {
        let listed = self.listed.borrow();
        let on_list = listed.iter().enumerate().filter(|(_, listed)| {
            listed.listed_at <= now && listed.removed_at.is_none_or(|at| now < at + LIST_LAG)
        });
        on_list.map(|(i, listed)| (i, listed.addr)).collect()
    }

    /// Returns whether no control process began or ended an outage in `stable_time` before `at`, and at most `losses` with a disk were
    /// out.
    pub fn was_stable(&self, at: Instant, stable_time: Duration, losses: usize) -> bool {
        let listed = self.listed.borrow();
        let outages = self.outages.borrow();
        let is_recent = |time: Instant| time <= at && at < time + stable_time;
        let lasting = outages.iter().filter(|outage| {
            let process = &listed[outage.member];
            process.has_disk
                && process.removed_at.is_none_or(|removed| at < removed)
                && outage.from <= at
                && outage.until.is_none_or(|until| at < until)
        });
        lasting.count() <= losses
            && !outages
                .iter()
                .any(|outage| is_recent(outage.from) || outage.until.is_some_and(is_recent))
    }

    /// Describes the outages, with the time of day as in the logs of the processes.
    pub fn describe_outages(&self) -> Vec<String> {
        let listed = self.listed.borrow();
        let outages = self.outages.borrow();
        let describe = |outage: &Outage| {
            let process = &listed[outage.member];
            let (disk, addr) = (process.has_disk, process.addr);
            let until = outage.until.map_or("-".to_string(), time_of_day);
            format!(
                "outage of control process {} at {addr} (disk: {disk}) from {} to {until}",
                outage.member,
                time_of_day(outage.from)
            )
        };
        outages.iter().map(describe).collect()
    }

    pub fn begin_outage(&self, member: usize, from: Instant) {
        let mut outages = self.outages.borrow_mut();
        if !outages
            .iter()
            .any(|o| o.member == member && o.until.is_none())
        {
            outages.push(Outage {
                member,
                from,
                until: None,
            });
        }
    }

    pub fn end_outage(&self, member: usize, until: Instant) {
        let mut outages = self.outages.borrow_mut();
        let lasting = outages
            .iter_mut()
            .find(|o| o.member == member && o.until.is_none());
        if let Some(outage) = lasting {
            outage.until = Some(until);
        }
    }
}

/// Returns the time of day of an instant in the past, in UTC.
fn time_of_day(at: Instant) -> String {
    let time = SystemTime::now() - at.elapsed();
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (seconds, millis) = (since_epoch.as_secs() % 86_400, since_epoch.subsec_millis());
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}
