//! Limits of a listener.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    pub(crate) connections: usize,
    pub(crate) header_bytes: usize,
    pub(crate) header_count: usize,
    pub(crate) header_timeout: Duration,
    pub(crate) lifetime: Option<Duration>,
    pub(crate) replaceable_after: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_bytes: 32 * 1024,
            header_count: 64,
            header_timeout: Duration::from_secs(10),
            lifetime: None,
            replaceable_after: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// Returns the limits of a listener for probes and collectors, of which there are few.
    pub fn for_probes() -> Limits {
        Limits::default().connections(64)
    }

    /// Sets how many connections may be open at once, unless the process has [fewer](crate::set_memory_budget).
    ///
    /// A further connection replaces one that waits for its client; while there is none, its request gets a 503.
    pub fn connections(mut self, connections: usize) -> Limits {
        self.connections = connections;
        self
    }

    /// Sets the time without a request after which a connection may be closed for a new one beyond the limit, 1 s by default.
    ///
    /// A connection may also be closed while the body of a request arrives slowly, but not once it has arrived.
    pub fn replaceable_after(mut self, time: Duration) -> Limits {
        self.replaceable_after = time;
        self
    }

    /// Sets the maximum size of a request's head in bytes.
    pub fn header_bytes(mut self, bytes: usize) -> Limits {
        self.header_bytes = bytes;
        self
    }

    /// Sets how long a client may stay idle or take to send a request's head.
    pub fn header_timeout(mut self, timeout: Duration) -> Limits {
        self.header_timeout = timeout;
        self
    }

    /// Sets the lifetime of a connection; it is unlimited by default.
    ///
    /// After this time no further request is read. A response still in progress gets the same time again, after which
    /// the connection is closed.
    pub fn lifetime(mut self, lifetime: Duration) -> Limits {
        self.lifetime = Some(lifetime);
        self
    }
}

/// Changes the limits of a [`Server`](crate::Server) for connections that are accepted later.
#[derive(Clone)]
pub struct LimitsHandle {
    limits: Rc<RefCell<Limits>>,
}

impl LimitsHandle {
    pub(crate) fn new(limits: Limits) -> LimitsHandle {
        LimitsHandle {
            limits: Rc::new(RefCell::new(limits)),
        }
    }

    pub(crate) fn get(&self) -> Limits {
        self.limits.borrow().clone()
    }

    /// Replaces the limits; open connections keep the previous ones.
    pub fn set(&self, limits: Limits) {
        *self.limits.borrow_mut() = limits;
    }
}
