//! Connections from other gateways, over which events are received.

use std::rc::Rc;
use std::time::Instant;

use compio::net::TcpStream;
use laburnumlug::BootTime;
use laburnumlug_mesh::{Connection, ForwardedEvents, GatewayMessage, Message, SessionChange};
use laburnumlug_policy::PathId;

use super::{GatewayExchange, KEEPALIVE_INTERVAL, RECEIVE_TIMEOUT};

/// Session of a gateway that is connected to this one.
struct IncomingSession {
    sender: u64,
    session: u64,
    path: PathId,
    /// Whether this gateway forwards the events to its zone.
    forwards: bool,
    /// Whether the snapshot of the sender's state has arrived.
    has_begun: bool,
}

impl GatewayExchange {
    /// Receives the events of one gateway until its connection ends.
    pub(super) async fn receive_events(self: Rc<Self>, stream: TcpStream) {
        let mut conn = match Connection::accept(stream, &self.key).await {
            Ok(conn) => conn,
            Err(err) => return log::warn!("refused a connection from another gateway: {err}"),
        };
        let Ok((
            _,
            Message::Gateway(GatewayMessage::Hello {
                sender,
                session,
                forwards,
                control: replicas,
            }),
        )) = conn.recv().await
        else {
            return;
        };
        let control = self.control.borrow().clone();
        if let Some(control) = control {
            control.add_reported(Instant::now(), &replicas);
        }
        let path = self.last_path.get() + 1;
        self.last_path.set(path);
        if !self.sessions.borrow_mut().begin(sender, session, path) {
            return log::debug!("closed a gateway connection: its sender has opened a newer one");
        }
        self.remove_sender(sender);
        if forwards {
            let mut forwarded_sessions = self.forwarded_sessions.borrow_mut();
            forwarded_sessions.insert(sender, session);
        }
        let incoming = IncomingSession {
            sender,
            session,
            path,
            forwards,
            has_begun: false,
        };
        self.receive_messages(&mut conn, incoming).await;
        let ended = self.sessions.borrow_mut().end_path(path);
        for sender in ended {
            self.remove_sender(sender);
        }
        self.coverage.borrow_mut().record_path_end(path);
        let mut forwarded_sessions = self.forwarded_sessions.borrow_mut();
        if forwards && forwarded_sessions.get(&sender) == Some(&session) {
            forwarded_sessions.remove(&sender);
            self.forward(sender, session, &SessionChange::Ended);
        }
    }

    async fn receive_messages(&self, conn: &mut Connection, mut incoming: IncomingSession) {
        let mut last_received_at = Instant::now();
        let mut alive_sent_at = last_received_at;
        loop {
            match compio::time::timeout(KEEPALIVE_INTERVAL, conn.recv()).await {
                Ok(Ok((_, Message::Gateway(message)))) => {
                    last_received_at = Instant::now();
                    self.coverage
                        .borrow_mut()
                        .record_message(BootTime::now(), incoming.path);
                    if !self.apply_message(last_received_at, &mut incoming, message) {
                        return log::debug!("closed a gateway connection: its session ended");
                    }
                }
                Ok(Ok(_)) => {
                    return log::warn!("closed a gateway connection: unexpected message");
                }
                Ok(Err(err)) => return log::debug!("connection from a gateway ended: {err}"),
                Err(_) if last_received_at.elapsed() > RECEIVE_TIMEOUT => {
                    return log::debug!("closed a gateway connection: no message in time");
                }
                Err(_) => {}
            }
            if incoming.forwards && alive_sent_at.elapsed() >= KEEPALIVE_INTERVAL {
                alive_sent_at = Instant::now();
                let alive = Message::Gateway(GatewayMessage::Alive);
                if let Err(err) = conn.send("", &alive).await {
                    return log::debug!("connection from a gateway ended: {err}");
                }
            }
        }
    }

    /// Applies a message, and returns false if the connection is to be closed.
    fn apply_message(
        &self,
        now: Instant,
        incoming: &mut IncomingSession,
        message: GatewayMessage,
    ) -> bool {
        let (events, forwarded) = match message {
            GatewayMessage::Engines(events) => (events, Vec::new()),
            GatewayMessage::EnginesAndForwarded { events, forwarded } => (events, forwarded),
            GatewayMessage::Hello { .. } | GatewayMessage::Alive => return false,
        };
        let (sender, session, path) = (incoming.sender, incoming.session, incoming.path);
        if !self.sessions.borrow().is_current(sender, session, path) {
            return false;
        }
        let is_first = !std::mem::replace(&mut incoming.has_begun, true);
        if incoming.forwards {
            match (is_first, events.is_empty()) {
                (true, _) => {
                    self.forward(sender, session, &SessionChange::Begun(events.clone()));
                }
                (false, true) => {}
                (false, false) => {
                    self.forward(sender, session, &SessionChange::Continued(events.clone()));
                }
            }
        }
        for event in events {
            self.state.apply(now, sender, event);
        }
        if is_first {
            self.record_snapshot(sender, path);
        }
        for events in forwarded {
            self.apply_forwarded(now, path, events);
        }
        true
    }

    fn apply_forwarded(&self, now: Instant, path: PathId, forwarded: ForwardedEvents) {
        let (sender, session) = (forwarded.sender, forwarded.session);
        let mut sessions = self.sessions.borrow_mut();
        let mut is_first = false;
        let events = match forwarded.change {
            SessionChange::Begun(events) if sessions.begin(sender, session, path) => {
                self.remove_sender(sender);
                is_first = true;
                events
            }
            SessionChange::Continued(events) if sessions.is_current(sender, session, path) => {
                events
            }
            SessionChange::Ended if sessions.end(sender, session, path) => {
                self.remove_sender(sender);
                Vec::new()
            }
            _ => Vec::new(),
        };
        for event in events {
            self.state.apply(now, sender, event);
        }
        if is_first {
            self.record_snapshot(sender, path);
        }
    }

    /// Records that the state of a sender at the beginning of its session has been applied.
    fn record_snapshot(&self, sender: u64, path: PathId) {
        self.coverage
            .borrow_mut()
            .record_snapshot(BootTime::now(), sender, path);
    }
}
