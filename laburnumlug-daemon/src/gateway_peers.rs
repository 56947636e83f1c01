//! Exchange of engine events between gateways.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use event_listener::Event;
use laburnumlug::EngineEvent;
use laburnumlug_forward::{EventSink, Forwarder};
use laburnumlug_mesh::{Connection, GatewayMessage, MeshKey, Message, accept_connections};

/// How long a connection to another gateway may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait before another connection is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Longest silence of a connection; an empty message is sent well before.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Time without events after which an empty message shows that the sender lives.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Most events that wait for one gateway; with more, the connection is made anew and begins with a whole view.
const MAX_WAITING: usize = 4096;

/// Events that wait for one gateway.
#[derive(Default)]
struct Outbox {
    events: RefCell<Vec<EngineEvent>>,
    overflowed: std::cell::Cell<bool>,
    changed: Event,
}

/// The other gateways.
pub(crate) struct GatewayPeers {
    forwarder: Rc<Forwarder>,
    key: MeshKey,
    own: SocketAddr,
    /// Number of this life of the process.
    sender: u64,
    outboxes: RefCell<HashMap<SocketAddr, Rc<Outbox>>>,
}

impl GatewayPeers {
    /// Starts to take events of other gateways on a bound listener at `own`.
    pub(crate) fn start(
        forwarder: Rc<Forwarder>,
        key: MeshKey,
        own: SocketAddr,
        listener: TcpListener,
    ) -> Rc<GatewayPeers> {
        let peers = Rc::new(GatewayPeers {
            forwarder: forwarder.clone(),
            key,
            own,
            sender: rand::random::<u64>().max(1),
            outboxes: RefCell::default(),
        });
        forwarder.set_event_sink(peers.clone());
        let hearing = peers.clone();
        let accepting = accept_connections(listener, move |stream| hearing.clone().hear(stream));
        compio::runtime::spawn(accepting).detach();
        peers
    }

    /// Returns the address at which events are taken.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Speaks to exactly these gateways from now on.
    pub(crate) fn set_gateways(self: &Rc<Self>, gateways: &[SocketAddr]) {
        let mut outboxes = self.outboxes.borrow_mut();
        outboxes.retain(|addr, outbox| {
            let keeps = gateways.contains(addr);
            if !keeps {
                outbox.changed.notify(usize::MAX);
            }
            keeps
        });
        for addr in gateways.iter().filter(|addr| **addr != self.own) {
            if !outboxes.contains_key(addr) {
                let outbox = Rc::<Outbox>::default();
                outboxes.insert(*addr, outbox.clone());
                compio::runtime::spawn(self.clone().speak(*addr, outbox)).detach();
            }
        }
    }

    fn is_wanted(&self, addr: &SocketAddr, outbox: &Rc<Outbox>) -> bool {
        let outboxes = self.outboxes.borrow();
        outboxes
            .get(addr)
            .is_some_and(|wanted| Rc::ptr_eq(wanted, outbox))
    }

    /// Tells one gateway all events for as long as it is wanted.
    async fn speak(self: Rc<Self>, addr: SocketAddr, outbox: Rc<Outbox>) {
        while self.is_wanted(&addr, &outbox) {
            match Connection::connect(addr, &self.key, CONNECT_TIMEOUT).await {
                Ok(conn) => {
                    if let Err(err) = self.tell(addr, &outbox, conn).await {
                        log::debug!("gateway {addr} is not told any more: {err}");
                    }
                }
                Err(err) => log::debug!("gateway {addr}: {err}"),
            }
            compio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn tell(
        &self,
        addr: SocketAddr,
        outbox: &Rc<Outbox>,
        mut conn: Connection,
    ) -> Result<(), laburnumlug_mesh::Error> {
        let sender = self.sender;
        conn.send("", &Message::Gateway(GatewayMessage::Hello { sender }))
            .await?;
        outbox.overflowed.set(false);
        outbox.events.borrow_mut().clear();
        let mut events = self.forwarder.engine_events(addr);
        while self.is_wanted(&addr, outbox) && !outbox.overflowed.get() {
            conn.send("", &Message::Gateway(GatewayMessage::Engines(events)))
                .await?;
            let changed = outbox.changed.listen();
            if outbox.events.borrow().is_empty() {
                // Without events the deadline passes, and an empty message follows.
                let _ = compio::time::timeout(IDLE_INTERVAL, changed).await;
            }
            events = std::mem::take(&mut *outbox.events.borrow_mut());
        }
        Ok(())
    }

    /// Takes the events of one gateway until its connection ends.
    async fn hear(self: Rc<Self>, stream: TcpStream) {
        let mut conn = match Connection::accept(stream, &self.key).await {
            Ok(conn) => conn,
            Err(err) => return log::warn!("refused a connection of a gateway: {err}"),
        };
        let sender = match conn.recv().await {
            Ok((_, Message::Gateway(GatewayMessage::Hello { sender }))) => sender,
            _ => return,
        };
        self.forwarder.forget_sender(Instant::now(), sender);
        loop {
            match compio::time::timeout(SILENCE_LIMIT, conn.recv()).await {
                Ok(Ok((_, Message::Gateway(GatewayMessage::Engines(events))))) => {
                    let now = Instant::now();
                    for event in events {
                        self.forwarder.note_engine_event(now, sender, event);
                    }
                }
                Ok(Ok(_)) => break log::warn!("a gateway sent an unexpected message"),
                Ok(Err(err)) => break log::debug!("a gateway's connection ended: {err}"),
                Err(_) => break log::debug!("a gateway fell silent"),
            }
        }
        self.forwarder.forget_sender(Instant::now(), sender);
    }
}

impl EventSink for GatewayPeers {
    fn tell(&self, event: EngineEvent) {
        for outbox in self.outboxes.borrow().values() {
            let mut events = outbox.events.borrow_mut();
            match events.len() < MAX_WAITING {
                true => events.push(event.clone()),
                false => outbox.overflowed.set(true),
            }
            outbox.changed.notify(usize::MAX);
        }
    }
}
