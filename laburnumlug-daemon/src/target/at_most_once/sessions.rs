//! Connections from entries and the calls that they brought.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use laburnumlug::RequestId;
use laburnumlug_mesh::SessionId;

use super::call_state::Run;

/// Most ended connections that are remembered.
const MAX_ENDED: usize = 1024;

/// Most bytes of answers that are remembered for ended connections.
const MAX_ENDED_BYTES: usize = 16 * 1024 * 1024;

/// A connection and the last call that it brought.
#[derive(Default)]
pub(crate) struct Session {
    /// Whether an entry has given the connection up, so that nothing more is taken from it.
    revoked: Cell<bool>,
    /// The last call, which is the only one that its entry can be unsure of.
    taken: RefCell<Option<Taken>>,
}

struct Taken {
    request_id: RequestId,
    run: Rc<Run>,
}

impl Session {
    /// Notes a call that was taken.
    pub(super) fn take(&self, request_id: &str, run: Rc<Run>) {
        let request_id = request_id.to_string();
        *self.taken.borrow_mut() = Some(Taken { request_id, run });
    }

    /// Returns the call if it was taken from this connection.
    pub(super) fn taken(&self, request_id: &str) -> Option<Rc<Run>> {
        let taken = self.taken.borrow();
        let taken = taken.as_ref().filter(|t| t.request_id == request_id)?;
        Some(taken.run.clone())
    }

    /// Lets nothing more be taken from this connection.
    pub(super) fn revoke(&self) {
        self.revoked.set(true);
    }

    /// Returns whether nothing more may be taken from this connection.
    pub(super) fn is_revoked(&self) -> bool {
        self.revoked.get()
    }

    fn bytes(&self) -> usize {
        self.taken.borrow().as_ref().map_or(0, |t| t.run.bytes())
    }
}

/// All open connections and the newest of the ended ones.
#[derive(Default)]
pub(crate) struct Sessions {
    known: RefCell<HashMap<SessionId, Rc<Session>>>,
    ended: RefCell<VecDeque<SessionId>>,
}

impl Sessions {
    /// Adds a new connection.
    pub(crate) fn open(&self, id: &str) -> Rc<Session> {
        let session = Rc::new(Session::default());
        self.known
            .borrow_mut()
            .insert(id.to_string(), session.clone());
        session
    }

    /// Notes that a connection has ended.
    ///
    /// What is dropped here is no longer known at all, which proves nothing about its calls.
    pub(crate) fn close(&self, id: &str) {
        let mut known = self.known.borrow_mut();
        let mut ended = self.ended.borrow_mut();
        ended.push_back(id.to_string());
        let bytes = |id: &SessionId| known.get(id).map_or(0, |session| session.bytes());
        let mut sum: usize = ended.iter().map(bytes).sum();
        while ended.len() > MAX_ENDED || sum > MAX_ENDED_BYTES {
            let Some(oldest) = ended.pop_front() else {
                return;
            };
            sum -= known.remove(&oldest).map_or(0, |session| session.bytes());
        }
    }

    /// Returns a connection that is open or ended not long ago.
    pub(super) fn find(&self, id: &str) -> Option<Rc<Session>> {
        self.known.borrow().get(id).cloned()
    }
}

#[cfg(test)]
mod tests {
    use laburnumlug_mesh::WorkMessage;

    use super::*;

    fn finished_run(bytes: usize) -> Rc<Run> {
        let run = Run::default();
        run.finish(WorkMessage::PlainAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; bytes],
        });
        Rc::new(run)
    }

    #[test]
    fn taken_other_request() {
        let sessions = Sessions::default();
        let session = sessions.open("s");
        session.take("r-1", finished_run(0));
        assert!(session.taken("r-1").is_some());
        assert!(session.taken("r-2").is_none());
    }

    #[test]
    fn close_keeps_newest() {
        let sessions = Sessions::default();
        for i in 0..=MAX_ENDED {
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
            session.take("r", finished_run(MAX_ENDED_BYTES));
            sessions.close(id);
        }
        assert!(sessions.find("a").is_none());
        assert!(sessions.find("b").is_some());
    }
}
