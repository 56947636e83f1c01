//! Open connections of a server, to close one without a request when there are too many.

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

    /// Closes the connection that has been without a request for longest, if that is `min_time` or more; returns whether there
    /// was one.
    pub(crate) fn close_longest_unused(&self, now: Instant, min_time: Duration) -> bool {
        let connections = self.connections.borrow();
        let unused = connections.iter().filter_map(|connection| {
            let requests = connection.upgrade()?;
            let since = requests.unused_since()?;
            (now.saturating_duration_since(since) >= min_time).then_some((since, requests))
        });
        match unused.min_by_key(|(since, _)| *since) {
            Some((_, requests)) => {
                requests.close();
                true
            }
            None => false,
        }
    }
}
