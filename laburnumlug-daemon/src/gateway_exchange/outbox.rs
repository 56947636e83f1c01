//! Events queued for another gateway.

use laburnumlug::EngineEvent;
use laburnumlug_mesh::{ForwardedEvents, GatewayMessage, SessionChange};

/// Maximum number of queued events; beyond it, the connection is replaced, and the new one starts with the current
/// state.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Events queued for one gateway: those of this process and those that it forwards.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    own: Vec<EngineEvent>,
    forwarded: Vec<ForwardedEvents>,
    forwarded_count: usize,
    is_urgent: bool,
    has_overflowed: bool,
}

impl Outbox {
    /// Returns whether nothing is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.own.is_empty() && self.forwarded.is_empty()
    }

    /// Returns whether a queued event announces a prompt that was sent to an engine, or that a target is unreachable.
    pub(super) fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns whether events were dropped since the last [`Outbox::clear`].
    pub(super) fn has_overflowed(&self) -> bool {
        self.has_overflowed
    }

    /// Removes all events, also the record of an overflow.
    pub(super) fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Queues an event of this process.
    pub(super) fn push(&mut self, event: EngineEvent) {
        if self.has_room(1) {
            self.is_urgent |= is_urgent(&event);
            self.own.push(event);
        }
    }

    /// Queues a change of another gateway's session.
    pub(super) fn push_forwarded(&mut self, sender: u64, session: u64, change: SessionChange) {
        let events = match &change {
            SessionChange::Begun(events) | SessionChange::Continued(events) => events.as_slice(),
            SessionChange::Ended => &[],
        };
        let count = events.len().max(1);
        if !self.has_room(count) {
            return;
        }
        self.is_urgent |= events.iter().any(is_urgent);
        self.forwarded_count += count;
        let latest = self
            .forwarded
            .iter_mut()
            .rev()
            .find(|queued| queued.sender == sender);
        match (latest, change) {
            (
                Some(ForwardedEvents {
                    session: queued_session,
                    change: SessionChange::Begun(queued) | SessionChange::Continued(queued),
                    ..
                }),
                SessionChange::Continued(events),
            ) if *queued_session == session => queued.extend(events),
            (_, change) => self.forwarded.push(ForwardedEvents {
                sender,
                session,
                change,
            }),
        }
    }

    /// Removes all queued events and returns them as a message, which is empty if there are none.
    pub(super) fn take(&mut self) -> GatewayMessage {
        self.forwarded_count = 0;
        self.is_urgent = false;
        let events = std::mem::take(&mut self.own);
        message(events, std::mem::take(&mut self.forwarded))
    }

    /// Returns whether `count` more events fit, and records an overflow if they do not.
    fn has_room(&mut self, count: usize) -> bool {
        let queued = self.own.len() + self.forwarded_count;
        self.has_overflowed |= queued + count > MAX_QUEUED_EVENTS;
        !self.has_overflowed
    }
}

fn is_urgent(event: &EngineEvent) -> bool {
    matches!(
        event,
        EngineEvent::PromptSent { .. }
            | EngineEvent::HealthChanged { serves: false, .. }
            | EngineEvent::SuspectsTested { .. }
    )
}

/// Returns a message with events of this process and forwarded events.
///
/// Gateways of earlier versions can decode only messages without forwarded events, and get no others.
pub(super) fn message(events: Vec<EngineEvent>, forwarded: Vec<ForwardedEvents>) -> GatewayMessage {
    match forwarded.is_empty() {
        true => GatewayMessage::Engines(events),
        false => GatewayMessage::EnginesAndForwarded { events, forwarded },
    }
}
