//! Exchange of engine events between gateways.
//!
//! In a small fleet, each gateway sends its events to all others. In a larger fleet, it sends them to the gateways of its
//! availability zone, and to one forwarder in each other zone. If a forwarder fails, another one is selected, and a new
//! session starts with a snapshot of the current state.

mod outbox;
mod receiver;
mod sender;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use event_listener::Event;
use laburnumlug::{BootTime, EngineEvent, ListedGateway, ZoneName};
use laburnumlug_forward::{EventSink, Forwarder};
use laburnumlug_mesh::{MeshKey, SessionChange, accept_connections};
use laburnumlug_policy::{EventCoverage, ExchangeLink, SenderSessions, select_exchange_links};

use self::outbox::Outbox;

/// Time without a message after which a connection is closed; the sender's keepalive interval is well below it.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of keepalive messages, which are sent while there are no events.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a forwarder that failed is not selected again.
const FORWARDER_SUSPENSION: Duration = Duration::from_secs(5);

/// State of the engines as known to this process, which the exchange reads and updates.
pub(crate) trait EngineState {
    /// Applies an event of another gateway.
    fn apply(&self, now: Instant, sender: u64, event: EngineEvent);

    /// Removes the unfinished requests of another gateway.
    fn remove_sender(&self, now: Instant, sender: u64);

    /// Returns the events that describe the unfinished requests of this gateway and, if `includes_shared_state`, the
    /// cached prompts of all engines and the ended streams that callers may resume.
    fn snapshot(&self, now: Instant, includes_shared_state: bool) -> Vec<EngineEvent>;

    /// Returns the events that describe the unfinished requests of another gateway.
    fn sender_snapshot(&self, sender: u64) -> Vec<EngineEvent>;
}

impl EngineState for Forwarder {
    fn apply(&self, now: Instant, sender: u64, event: EngineEvent) {
        self.apply_engine_event(now, sender, event);
    }

    fn remove_sender(&self, now: Instant, sender: u64) {
        Forwarder::remove_sender(self, now, sender);
    }

    fn snapshot(&self, now: Instant, includes_shared_state: bool) -> Vec<EngineEvent> {
        self.engine_snapshot(now, includes_shared_state)
    }

    fn sender_snapshot(&self, sender: u64) -> Vec<EngineEvent> {
        Forwarder::sender_snapshot(self, sender)
    }
}

/// Control replicas that this process has found, which gateways report to each other.
pub(crate) trait ControlReplicas {
    /// Returns the mesh addresses of those that have recently answered.
    fn answering(&self, now: Instant) -> Vec<SocketAddr>;

    /// Adds those that another gateway reports.
    fn add_reported(&self, now: Instant, replicas: &[SocketAddr]);
}

/// A connection to another gateway, which is replaced when it fails.
struct Link {
    route: ExchangeLink,
    outbox: RefCell<Outbox>,
    changed: Event,
}

impl Link {
    /// Queues events, and wakes the task that sends them if it may be waiting for them.
    fn queue<F>(&self, push: F)
    where
        F: FnOnce(&mut Outbox),
    {
        let mut outbox = self.outbox.borrow_mut();
        let (was_empty, was_urgent) = (outbox.is_empty(), outbox.is_urgent());
        push(&mut outbox);
        if was_empty || outbox.is_urgent() != was_urgent {
            self.changed.notify(usize::MAX);
        }
    }
}

/// Connections to and from the other gateways.
pub(crate) struct GatewayExchange {
    state: Rc<dyn EngineState>,
    control: RefCell<Option<Rc<dyn ControlReplicas>>>,
    key: MeshKey,
    own_addr: SocketAddr,
    own_zone: ZoneName,
    /// Random id of this incarnation of the process.
    sender: u64,
    gateways: RefCell<Vec<ListedGateway>>,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Times at which forwarders failed.
    forwarder_failures: RefCell<HashMap<SocketAddr, Instant>>,
    /// Number of the latest session that this gateway began.
    last_session: Cell<u64>,
    /// Number of the latest connection that was accepted.
    last_path: Cell<u64>,
    sessions: RefCell<SenderSessions>,
    coverage: RefCell<EventCoverage>,
    /// Sessions of the senders whose events this gateway forwards to its zone.
    forwarded_sessions: RefCell<HashMap<u64, u64>>,
}

impl GatewayExchange {
    /// Starts receiving events of other gateways on `listener`, which is bound to `own_addr`.
    pub(crate) fn start(
        state: Rc<dyn EngineState>,
        key: MeshKey,
        own_zone: &str,
        own_addr: SocketAddr,
        listener: TcpListener,
    ) -> Rc<GatewayExchange> {
        let exchange = Rc::new(GatewayExchange {
            state,
            control: RefCell::default(),
            key,
            own_addr,
            own_zone: own_zone.to_string(),
            sender: rand::random::<u64>().max(1),
            gateways: RefCell::default(),
            links: RefCell::default(),
            forwarder_failures: RefCell::default(),
            last_session: Cell::default(),
            last_path: Cell::default(),
            sessions: RefCell::default(),
            coverage: RefCell::default(),
            forwarded_sessions: RefCell::default(),
        });
        let receiver = exchange.clone();
        let accepting = accept_connections(listener, move |stream| {
            receiver.clone().receive_events(stream)
        });
        compio::runtime::spawn(accepting).detach();
        exchange
    }

    /// Sets the control replicas that this gateway reports to others, and to which it adds those that others report.
    pub(crate) fn set_control(&self, control: Rc<dyn ControlReplicas>) {
        *self.control.borrow_mut() = Some(control);
    }

    /// Returns the address and zone of this gateway.
    pub(crate) fn own_listing(&self) -> ListedGateway {
        ListedGateway {
            addr: self.own_addr,
            zone: Some(self.own_zone.clone()),
        }
    }

    /// Sets the gateways that exchange events, which may include this one.
    pub(crate) fn set_gateways(self: &Rc<Self>, now: Instant, gateways: &[ListedGateway]) {
        *self.gateways.borrow_mut() = gateways.to_vec();
        let others = gateways.iter().filter(|other| other.addr != self.own_addr);
        self.coverage
            .borrow_mut()
            .set_listed(BootTime::now(), others.count());
        self.update_links(now);
    }

    /// Opens and closes connections to match the gateways and their recent failures.
    fn update_links(self: &Rc<Self>, now: Instant) {
        let mut failures = self.forwarder_failures.borrow_mut();
        failures.retain(|_, at| now.saturating_duration_since(*at) < FORWARDER_SUSPENSION);
        let is_usable = |addr| !failures.contains_key(&addr);
        let gateways = self.gateways.borrow();
        let selected = select_exchange_links(self.own_addr, &self.own_zone, &gateways, is_usable);
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| {
            let is_kept = selected.contains(&link.route);
            if !is_kept {
                link.changed.notify(usize::MAX);
            }
            is_kept
        });
        for route in selected {
            if links.contains_key(&route.addr) {
                continue;
            }
            if route.forwards {
                log::info!(
                    "selected gateway {} to forward events to its zone",
                    route.addr
                );
            }
            let link = Rc::new(Link {
                route,
                outbox: RefCell::default(),
                changed: Event::new(),
            });
            links.insert(route.addr, link.clone());
            compio::runtime::spawn(self.clone().run_link(link)).detach();
        }
    }

    /// Returns whether a link is still in use. A gateway that is removed and added again gets a new link.
    fn is_current(&self, link: &Rc<Link>) -> bool {
        let links = self.links.borrow();
        links
            .get(&link.route.addr)
            .is_some_and(|current| Rc::ptr_eq(current, link))
    }

    /// Removes the unfinished requests of a sender whose session has ended.
    fn remove_sender(&self, sender: u64) {
        self.coverage
            .borrow_mut()
            .record_end(BootTime::now(), sender);
        self.state.remove_sender(Instant::now(), sender);
    }

    /// Forwards a change of another gateway's session to the gateways of this zone.
    fn forward(&self, sender: u64, session: u64, change: &SessionChange) {
        for link in self.links.borrow().values() {
            if link.route.is_same_zone {
                link.queue(|outbox| outbox.push_forwarded(sender, session, change.clone()));
            }
        }
    }
}

impl EventSink for GatewayExchange {
    fn publish(&self, event: EngineEvent) {
        for link in self.links.borrow().values() {
            link.queue(|outbox| outbox.push(event.clone()));
        }
    }

    fn events_missing_at(&self, now: BootTime) -> Option<BootTime> {
        self.coverage.borrow().missing_at(now)
    }
}

#[cfg(test)]
mod control_tests;
#[cfg(test)]
mod tests;
