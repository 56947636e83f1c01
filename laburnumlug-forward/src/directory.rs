//! Live targets and what this process knows of each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use laburnumlug::{LiveTarget, Role, ServiceName, TargetList, TargetName};
use laburnumlug_policy::{KvCacheEstimate, PrefillQueue, TargetHealth};

/// Tokens a second that an engine reads before any was measured; a current accelerator node reads a 70-billion
/// parameter model's prompt at about this rate.
const FIRST_READ_RATE: f64 = 45_000.0;

/// Share of that rate at which an engine reads that also answers: it reads small pieces between the tokens of other
/// requests.
const ANSWERING_READ_SHARE: f64 = 0.36;

fn first_rate(role: Option<Role>) -> f64 {
    match role {
        Some(Role::Prefill) => FIRST_READ_RATE,
        _ => FIRST_READ_RATE * ANSWERING_READ_SHARE,
    }
}

/// Tokens that an engine is taken to hold before its service tells.
const UNKNOWN_MEMORY: u64 = 500_000;

/// One life of a target.
pub(crate) struct TargetHandle {
    pub(crate) instance: TargetName,
    pub(crate) row: RefCell<LiveTarget>,
    /// Requests of this process that it has not answered.
    pub(crate) running: Cell<u32>,
    pub(crate) health: RefCell<TargetHealth>,
    pub(crate) reading: RefCell<PrefillQueue>,
    pub(crate) cache: RefCell<KvCacheEstimate>,
    /// Whether it is known what it held when it was found.
    pub(crate) is_inspected: Cell<bool>,
}

impl TargetHandle {
    fn new(now: Instant, row: LiveTarget) -> TargetHandle {
        let rate = first_rate(row.role);
        TargetHandle {
            instance: row.instance.clone(),
            row: RefCell::new(row),
            running: Cell::new(0),
            health: RefCell::default(),
            reading: RefCell::new(PrefillQueue::new(now, rate)),
            cache: RefCell::new(KvCacheEstimate::new(UNKNOWN_MEMORY)),
            is_inspected: Cell::new(false),
        }
    }

    /// Counts a request until the returned guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        Running {
            target: self.clone(),
        }
    }
}

/// Counts one request at a target.
pub(crate) struct Running {
    pub(crate) target: Rc<TargetHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.target.running.set(self.target.running.get() - 1);
    }
}

/// Live targets by service.
#[derive(Default)]
pub(crate) struct Directory {
    /// When the newest list was read; `None` before the first.
    read_at: Option<Instant>,
    by_instance: HashMap<TargetName, Rc<TargetHandle>>,
    services: HashMap<ServiceName, Vec<Rc<TargetHandle>>>,
}

impl Directory {
    /// Takes a list that was read at `read_at`; an older one changes nothing.
    ///
    /// Returns the targets that were not known.
    pub(crate) fn update(&mut self, read_at: Instant, list: TargetList) -> Vec<Rc<TargetHandle>> {
        let mut found = Vec::new();
        if self.read_at.is_some_and(|newest| read_at <= newest) {
            return found;
        }
        self.read_at = Some(read_at);
        let mut by_instance = HashMap::new();
        for mut row in list.targets {
            let handle = match self.by_instance.remove(&row.instance) {
                Some(handle) if handle.row.borrow().addr == row.addr => {
                    // A target that leaves never stays after all; an older page may still show it as ready.
                    row.leaving |= handle.row.borrow().leaving;
                    if row.leaving && !handle.row.borrow().leaving {
                        log::info!(target = row.instance.as_str(); "the target leaves");
                    }
                    if handle.row.borrow().role != row.role {
                        handle
                            .reading
                            .replace(PrefillQueue::new(read_at, first_rate(row.role)));
                    }
                    handle.row.replace(row);
                    handle
                }
                _ => {
                    log::info!(
                        target = row.instance.as_str(), addr = row.addr.to_string().as_str();
                        "a target of service {} was found", row.service
                    );
                    let handle = Rc::new(TargetHandle::new(read_at, row));
                    found.push(handle.clone());
                    handle
                }
            };
            by_instance.insert(handle.instance.clone(), handle);
        }
        for gone in self.by_instance.keys() {
            log::info!(target = gone.as_str(); "the target is no longer listed");
        }
        let mut services: HashMap<ServiceName, Vec<Rc<TargetHandle>>> = HashMap::new();
        for handle in by_instance.values() {
            let service = handle.row.borrow().service.clone();
            services.entry(service).or_default().push(handle.clone());
        }
        for handles in services.values_mut() {
            handles.sort_by(|a, b| a.instance.cmp(&b.instance));
        }
        self.by_instance = by_instance;
        self.services = services;
        found
    }

    /// Notes that a list read at `read_at` equals the one held.
    pub(crate) fn confirm(&mut self, read_at: Instant) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Returns when the newest list was read.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Returns the targets of a service that may get new work.
    pub(crate) fn serving(&self, service: &str) -> Vec<Rc<TargetHandle>> {
        let handles = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let serving = handles.iter().filter(|handle| {
            let row = handle.row.borrow();
            !row.leaving && !row.changing
        });
        serving.cloned().collect()
    }

    /// Returns the target of an instance.
    pub(crate) fn target(&self, instance: &str) -> Option<Rc<TargetHandle>> {
        self.by_instance.get(instance).cloned()
    }

    /// Returns all targets that are engines.
    pub(crate) fn engines(&self) -> Vec<Rc<TargetHandle>> {
        let is_engine = |target: &&Rc<TargetHandle>| target.row.borrow().role.is_some();
        self.by_instance
            .values()
            .filter(is_engine)
            .cloned()
            .collect()
    }

    /// Returns whether a target at this address is listed.
    pub(crate) fn has_addr(&self, addr: &std::net::SocketAddr) -> bool {
        self.by_instance
            .values()
            .any(|handle| handle.row.borrow().addr == *addr)
    }
}

/// Returns the targets that may be asked: the usable ones, and where none of them answers, those that are the least
/// unlikely to. Engines that only read prompts answer nothing.
pub(crate) fn usable(now: Instant, targets: Vec<Rc<TargetHandle>>) -> Vec<Rc<TargetHandle>> {
    let answers = |target: &Rc<TargetHandle>| target.row.borrow().role != Some(Role::Prefill);
    let is_usable = |target: &Rc<TargetHandle>| target.health.borrow().is_usable(now);
    let (mut usable, unusable): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_usable);
    if usable.iter().any(answers) {
        return usable;
    }
    let mut resort: Vec<Rc<TargetHandle>> = unusable.into_iter().filter(answers).collect();
    // A target that failed now and then is a better resort than one to which nothing gets through.
    let is_suspected = |target: &Rc<TargetHandle>| target.health.borrow().is_suspected(now);
    match resort.iter().all(is_suspected) {
        true => {
            resort.sort_by_key(|target| target.health.borrow().usable_at());
            resort.truncate(1);
        }
        false => resort.retain(|target| !is_suspected(target)),
    }
    usable.extend(resort);
    usable
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn row(instance: &str, leaving: bool) -> LiveTarget {
        LiveTarget {
            instance: instance.to_string(),
            service: "s".to_string(),
            addr: "10.0.0.1:80".parse().unwrap(),
            zone: "z".to_string(),
            slots: 4,
            leaving,
            changing: false,
            role: None,
        }
    }

    fn list(rows: &[LiveTarget]) -> TargetList {
        TargetList {
            targets: rows.to_vec(),
        }
    }

    #[test]
    fn update_leaving_stays_leaving() {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.update(now, list(&[row("a", false), row("b", false)]));
        assert_eq!(directory.serving("s").len(), 2);
        directory.update(
            now + Duration::from_secs(1),
            list(&[row("a", true), row("b", false)]),
        );
        directory.update(
            now + Duration::from_secs(2),
            list(&[row("a", false), row("b", false)]),
        );
        let serving = directory.serving("s");
        assert_eq!(serving.len(), 1);
        assert_eq!(serving[0].instance, "b");
    }

    #[test]
    fn update_older_list() {
        let now = Instant::now();
        let mut directory = Directory::default();
        directory.update(now + Duration::from_secs(1), list(&[row("a", false)]));
        directory.update(now, list(&[]));
        assert_eq!(directory.serving("s").len(), 1);
    }

    fn handles(now: Instant, roles: &[Role]) -> Vec<Rc<TargetHandle>> {
        let handle = |(i, role): (usize, &Role)| {
            let role = Some(*role);
            let row = row(&format!("i-{i}"), false);
            Rc::new(TargetHandle::new(now, LiveTarget { role, ..row }))
        };
        roles.iter().enumerate().map(handle).collect()
    }

    fn names(targets: &[Rc<TargetHandle>]) -> Vec<&str> {
        targets
            .iter()
            .map(|target| target.instance.as_str())
            .collect()
    }

    /// Pattern: all answering engines failed within a second, while those that read are well.
    #[test]
    fn usable_without_answering_engine() {
        let now = Instant::now();
        let targets = handles(
            now,
            &[Role::Prefill, Role::Decode, Role::Decode, Role::Decode],
        );
        for target in &targets[1..3] {
            target.health.borrow_mut().record_failure(now, true);
        }
        assert_eq!(names(&usable(now, targets.clone())), ["i-0", "i-3"]);
        targets[3].health.borrow_mut().mark_suspected(now);
        // Without this, the request was refused though two engines might have served it.
        assert_eq!(names(&usable(now, targets)), ["i-0", "i-1", "i-2"]);
    }

    #[test]
    fn usable_all_suspected() {
        let now = Instant::now();
        let targets = handles(now, &[Role::Decode, Role::Decode]);
        targets[1].health.borrow_mut().mark_suspected(now);
        targets[0]
            .health
            .borrow_mut()
            .mark_suspected(now + Duration::from_secs(1));
        assert_eq!(names(&usable(now, targets)), ["i-1"]);
    }
}
