//! Open connections of a server, to close one that waits for its client when there are too many.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use crate::requests_in_progress::RequestsInProgress;

/// Requests of each open connection.
#[derive(Default)]
pub(crate) struct OpenConnections {
    connections: RefCell<Vec<Weak<RequestsInProgress>>>,
}

impl OpenConnections {
    /// Adds a connection, until its requests are dropped.
    pub(crate) fn add(&self, requests: &Rc<RequestsInProgress>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Rc::downgrade(requests));
    }

    /// Closes the connection whose client lets it wait most, unless all are in use or for less than `min_time` without a request;
    /// returns whether there was one.
    pub(crate) fn close_for_new(&self, now: Instant, min_time: Duration) -> bool {
        let connections = self.connections.borrow();
        let replaceable = connections.iter().filter_map(|connection| {
            let requests = connection.upgrade()?;
            Some((requests.replaceable(now, min_time)?, requests))
        });
        match replaceable.min_by_key(|(replaceable, _)| *replaceable) {
            Some((_, requests)) => {
                requests.close();
                true
            }
            None => false,
        }
    }
}
