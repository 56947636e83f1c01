//! Sessions of connections from entries, each with the last call that came on it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use laburnumlug::RequestId;
use laburnumlug_mesh::SessionId;

use super::call_state::CallState;

/// Maximum number of closed sessions that are kept.
const MAX_CLOSED_SESSIONS: usize = 1024;

/// Maximum size of the answers of closed sessions that are kept, in bytes.
const MAX_CLOSED_BYTES: usize = 16 * 1024 * 1024;

/// Session of one connection, with the last call that came on it.
#[derive(Default)]
pub(crate) struct Session {
    /// Whether an entry has abandoned the connection, so that no further call from it is started.
    revoked: Cell<bool>,
    /// The last call, the only one whose outcome the entry may not know.
    last_call: RefCell<Option<LastCall>>,
}

struct LastCall {
    request_id: RequestId,
    call_state: Rc<CallState>,
}

impl Session {
    /// Records a call that is started from this connection.
    pub(super) fn record_call(&self, request_id: &str, call_state: Rc<CallState>) {
        let request_id = request_id.to_string();
        *self.last_call.borrow_mut() = Some(LastCall {
            request_id,
            call_state,
        });
    }

    /// Returns the state of the last call if it has this request ID.
    pub(super) fn find_call(&self, request_id: &str) -> Option<Rc<CallState>> {
        let last_call = self.last_call.borrow();
        let last_call = last_call
            .as_ref()
            .filter(|call| call.request_id == request_id)?;
        Some(last_call.call_state.clone())
    }

    /// Prevents further calls from this connection from being started.
    pub(super) fn revoke(&self) {
        self.revoked.set(true);
    }

    /// Returns whether calls from this connection are no longer started.
    pub(super) fn is_revoked(&self) -> bool {
        self.revoked.get()
    }

    fn answer_bytes(&self) -> usize {
        self.last_call
            .borrow()
            .as_ref()
            .map_or(0, |call| call.call_state.body_bytes())
    }
}

/// Open sessions and the most recently closed ones.
#[derive(Default)]
pub(crate) struct Sessions {
    by_id: RefCell<HashMap<SessionId, Rc<Session>>>,
    /// Closed sessions, the oldest first.
    closed: RefCell<VecDeque<SessionId>>,
}

impl Sessions {
    /// Opens the session of a new connection.
    pub(crate) fn open(&self, id: &str) -> Rc<Session> {
        let session = Rc::new(Session::default());
        self.by_id
            .borrow_mut()
            .insert(id.to_string(), session.clone());
        session
    }

    /// Closes a session, and evicts the oldest closed ones beyond the limits.
    ///
    /// The absence of an evicted session proves nothing about its calls: they may have run.
    pub(crate) fn close(&self, id: &str) {
        let mut by_id = self.by_id.borrow_mut();
        let mut closed = self.closed.borrow_mut();
        closed.push_back(id.to_string());
        let answer_bytes =
            |id: &SessionId| by_id.get(id).map_or(0, |session| session.answer_bytes());
        let mut total_bytes: usize = closed.iter().map(answer_bytes).sum();
        while closed.len() > MAX_CLOSED_SESSIONS || total_bytes > MAX_CLOSED_BYTES {
            let Some(oldest) = closed.pop_front() else {
                return;
            };
            total_bytes -= by_id
                .remove(&oldest)
                .map_or(0, |session| session.answer_bytes());
        }
    }

    /// Returns a session that is open or was closed recently.
    pub(super) fn find(&self, id: &str) -> Option<Rc<Session>> {
        self.by_id.borrow().get(id).cloned()
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug_mesh::WorkMessage;

    use super::*;

    fn finished_call(bytes: usize) -> Rc<CallState> {
        let call_state = CallState::default();
        call_state.finish(WorkMessage::PlainAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; bytes],
        });
        Rc::new(call_state)
    }

    #[test]
    fn find_call_other_request() {
        let sessions = Sessions::default();
        let session = sessions.open("s");
        session.record_call("r-1", finished_call(0));
        assert!(session.find_call("r-1").is_some());
        assert!(session.find_call("r-2").is_none());
    }

    #[test]
    fn close_keeps_newest() {
        let sessions = Sessions::default();
        for i in 0..=MAX_CLOSED_SESSIONS {
            let id = i.to_string();
            sessions.open(&id);
            sessions.close(&id);
        }
        assert!(sessions.find("0").is_none());
        assert!(sessions.find("1").is_some());
    }

    #[test]
    fn close_bounds_bytes() {
        let sessions = Sessions::default();
        for id in ["a", "b"] {
            let session = sessions.open(id);
            session.record_call("r", finished_call(MAX_CLOSED_BYTES));
            sessions.close(id);
        }
        assert!(sessions.find("a").is_none());
        assert!(sessions.find("b").is_some());
    }
}
