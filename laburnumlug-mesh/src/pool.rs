//! Pool of idle mesh connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use crate::connection::Connection;
use crate::error::Error;
use crate::handshake::MeshKey;

/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 8;

/// Connection pool for any number of peers.
///
/// A connection carries one exchange at a time. It is returned to the pool only after its exchange has
/// completed as the protocol requires.
#[derive(Clone)]
pub struct Pool {
    key: MeshKey,
    connect_timeout: Duration,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(key: MeshKey, connect_timeout: Duration) -> Pool {
        Pool {
            key,
            connect_timeout,
            idle: Rc::default(),
        }
    }

    /// Returns an idle or new connection to `addr`.
    ///
    /// An idle connection that the peer has closed in the meantime is dropped, not returned.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn get(&self, addr: SocketAddr) -> Result<Connection, Error> {
        self.get_with_timeout(addr, self.connect_timeout).await
    }

    /// Returns an idle connection to `addr`, or a new one established within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn get_with_timeout(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        if let Some(conn) = self.take_idle(addr) {
            return Ok(conn);
        }
        Connection::connect(addr, &self.key, timeout).await
    }

    /// Returns an idle connection to `addr`, or `None` if there is none.
    ///
    /// An idle connection that the peer has closed in the meantime is dropped, not returned.
    pub fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        loop {
            let mut conn = self.idle.borrow_mut().get_mut(&addr)?.pop()?;
            // A peer sends nothing on an idle connection, so readable data means that it has closed it.
            if conn.recv().now_or_never().is_none() {
                return Some(conn);
            }
        }
    }

    /// Closes all idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Establishes a new connection to `addr`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        Connection::connect(addr, &self.key, self.connect_timeout).await
    }

    /// Returns a connection to the pool after its exchange has completed; drops it if 8 are already idle for `addr`.
    pub fn put(&self, addr: SocketAddr, conn: Connection) {
        let mut idle = self.idle.borrow_mut();
        let peer_idle = idle.entry(addr).or_default();
        if peer_idle.len() < MAX_IDLE_PER_PEER {
            peer_idle.push(conn);
        }
    }
}
