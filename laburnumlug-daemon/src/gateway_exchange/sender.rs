//! Connections to other gateways, over which events are sent.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{Either, select};
use laburnumlug_mesh::{
    Connection, Error, ForwardedEvents, GatewayMessage, Message, SessionChange,
};
use laburnumlug_policy::{event_batch_interval, sends_cache_contents};

use super::outbox::message;
use super::{GatewayExchange, KEEPALIVE_INTERVAL, Link, RECEIVE_TIMEOUT};

/// Timeout for connecting to another gateway. Handshakes are slow while many gateways start at the same time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay before the next attempt to connect to a gateway. One that has restarted is to learn within a second which
/// targets are leaving.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

impl GatewayExchange {
    /// Connects to one gateway and sends it events, reconnecting until the link is removed.
    pub(super) async fn run_link(self: Rc<Self>, link: Rc<Link>) {
        let addr = link.route.addr;
        while self.is_current(&link) {
            match Connection::connect(addr, &self.key, CONNECT_TIMEOUT).await {
                Ok(conn) => match self.send_events(&link, conn).await {
                    Ok(()) => {}
                    Err(err) => log::debug!("connection to gateway {addr} ended: {err}"),
                },
                Err(err) => log::debug!("failed to connect to gateway {addr}: {err}"),
            }
            if self.is_current(&link) && link.route.forwards {
                let now = Instant::now();
                self.forwarder_failures.borrow_mut().insert(addr, now);
                self.update_links(now);
            }
            compio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Sends a snapshot and then all further events until the connection fails, the link is removed or overflows, or a
    /// forwarder stops sending keepalives.
    async fn send_events(&self, link: &Rc<Link>, mut conn: Connection) -> Result<(), Error> {
        let session = self.last_session.get() + 1;
        self.last_session.set(session);
        let control = self.control.borrow().clone();
        let hello = GatewayMessage::Hello {
            sender: self.sender,
            session,
            forwards: link.route.forwards,
            control: control.map_or_else(Vec::new, |c| c.answering(Instant::now())),
        };
        conn.send("", &Message::Gateway(hello)).await?;
        link.outbox.borrow_mut().clear();
        let mut message = self.snapshot_message(link);
        let mut last_received_at = Instant::now();
        while self.is_current(link) && !link.outbox.borrow().has_overflowed() {
            conn.send("", &Message::Gateway(message)).await?;
            let sent_at = Instant::now();
            wait_for_events(link, &mut conn, &mut last_received_at).await?;
            if link.route.forwards && last_received_at.elapsed() > RECEIVE_TIMEOUT {
                log::info!(
                    "gateway {} is replaced as a forwarder: it sent no keepalive in time",
                    link.route.addr
                );
                return Ok(());
            }
            self.wait_for_batch(link, sent_at).await;
            message = link.outbox.borrow_mut().take();
        }
        Ok(())
    }

    /// Waits until the next batch is due after the one at `sent_at`; an urgent event may make it due earlier.
    async fn wait_for_batch(&self, link: &Link, sent_at: Instant) {
        loop {
            let changed = link.changed.listen();
            let (gateways, links) = (self.gateways.borrow().len(), self.links.borrow().len());
            let is_urgent = link.outbox.borrow().is_urgent();
            let interval = event_batch_interval(gateways, links, is_urgent);
            let time_left = interval.saturating_sub(sent_at.elapsed());
            match (time_left.is_zero(), is_urgent) {
                (true, _) => return,
                (false, true) => compio::time::sleep(time_left).await,
                (false, false) => {
                    let _ = compio::time::timeout(time_left, changed).await;
                }
            }
        }
    }

    /// Returns a snapshot of the state of this gateway and of the senders whose events it forwards over this link.
    fn snapshot_message(&self, link: &Link) -> GatewayMessage {
        let gateways = self.gateways.borrow();
        let includes_shared_state = sends_cache_contents(self.own_addr, link.route.addr, &gateways);
        let sessions = self.forwarded_sessions.borrow();
        let sessions = sessions.iter().filter(|_| link.route.is_same_zone);
        let forwarded = sessions.map(|(sender, session)| ForwardedEvents {
            sender: *sender,
            session: *session,
            change: SessionChange::Begun(self.state.sender_snapshot(*sender)),
        });
        message(
            self.state.snapshot(Instant::now(), includes_shared_state),
            forwarded.collect(),
        )
    }
}

/// Waits until an event is queued or a keepalive is due.
///
/// Also receives the keepalives of a forwarder, and sets `last_received_at` to the time of the latest one. The end of the
/// connection is an error at once, as the gateway may have restarted.
async fn wait_for_events(
    link: &Link,
    conn: &mut Connection,
    last_received_at: &mut Instant,
) -> Result<(), Error> {
    let changed = link.changed.listen();
    let is_idle = link.outbox.borrow().is_empty();
    if is_idle {
        let waiting = pin!(compio::time::timeout(KEEPALIVE_INTERVAL, changed));
        match select(waiting, pin!(conn.recv())).await {
            Either::Left(_) => {}
            Either::Right((received, _)) => {
                received?;
                *last_received_at = Instant::now();
            }
        }
    }
    while let Some(received) = conn.recv().now_or_never() {
        received?;
        *last_received_at = Instant::now();
    }
    Ok(())
}
