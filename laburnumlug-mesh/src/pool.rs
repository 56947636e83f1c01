//! Pool of idle mesh connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::FutureExt;

use crate::connection::{Connection, HANDSHAKE_TIMEOUT};
use crate::error::Error;
use crate::handshake::MeshKey;

/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 8;

/// Maximum number of connections to one peer that are being established at once.
const MAX_CONNECTING_PER_PEER: usize = 4;

/// Connection pool for any number of peers.
///
/// A connection carries one exchange at a time. It is returned to the pool only after its exchange has
/// completed as the protocol requires.
#[derive(Clone)]
pub struct Pool {
    key: MeshKey,
    connect_timeout: Duration,
    peers: Rc<RefCell<HashMap<SocketAddr, PeerState>>>,
}

/// Connections to one peer.
#[derive(Default)]
struct PeerState {
    idle: Vec<Connection>,
    /// Number of connections that are being established.
    connecting: usize,
    /// Timeout of the next handshake, by how long the last one took.
    handshake_timeout: Option<Duration>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(key: MeshKey, connect_timeout: Duration) -> Pool {
        Pool {
            key,
            connect_timeout,
            peers: Rc::default(),
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
        match self.take_idle(addr) {
            Some(conn) => Ok(conn),
            None => self.connect(addr).await,
        }
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
            let mut conn = self.peers.borrow_mut().get_mut(&addr)?.idle.pop()?;
            // A peer sends nothing on an idle connection, so readable data means that it has closed it.
            if conn.recv().now_or_never().is_none() {
                return Some(conn);
            }
        }
    }

    /// Closes all idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&addr) {
            peer.idle.clear();
        }
    }

    /// Establishes a new connection to `addr`.
    ///
    /// The handshake has a separate timeout, which follows how long earlier ones took: it has several round trips, and
    /// a slow peer could never be reached otherwise. The handshake goes on if the returned future is dropped, and its
    /// connection is idle then.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established, or if too many are being established to this peer.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        let timed_out = || Error::connect(std::io::ErrorKind::TimedOut.into());
        if !self.begin_connecting(addr) {
            return Err(timed_out());
        }
        let (tx, rx) = oneshot::channel();
        let pool = self.clone();
        compio::runtime::spawn(async move {
            let result = pool.connect_with_timeouts(addr).await;
            pool.update_peer(addr, |peer| peer.connecting -= 1);
            if let Err(Ok(conn)) = tx.send(result) {
                pool.put(addr, conn);
            }
        })
        .detach();
        rx.await.unwrap_or_else(|_| Err(timed_out()))
    }

    async fn connect_with_timeouts(&self, addr: SocketAddr) -> Result<Connection, Error> {
        let timed_out = || Error::connect(std::io::ErrorKind::TimedOut.into());
        let connecting = TcpStream::connect(addr);
        let stream = match compio::time::timeout(self.connect_timeout, connecting).await {
            Ok(stream) => stream.map_err(Error::connect)?,
            Err(_) => return Err(timed_out()),
        };
        let first_timeout = self.connect_timeout;
        let timeout =
            self.update_peer(addr, |peer| peer.handshake_timeout.unwrap_or(first_timeout));
        let started_at = Instant::now();
        let handshake = Connection::handshake(stream, addr, &self.key);
        let result = match compio::time::timeout(timeout, handshake).await {
            Ok(Err(err)) => return Err(err),
            Ok(Ok(conn)) => Ok(conn),
            Err(_) => Err(timed_out()),
        };
        let longest = HANDSHAKE_TIMEOUT.max(first_timeout);
        let next = (2 * started_at.elapsed()).clamp(first_timeout, longest);
        self.update_peer(addr, |peer| peer.handshake_timeout = Some(next));
        result
    }

    /// Counts a connection that is being established; returns `false` if there are too many to this peer.
    fn begin_connecting(&self, addr: SocketAddr) -> bool {
        self.update_peer(addr, |peer| {
            let may_connect = peer.connecting < MAX_CONNECTING_PER_PEER;
            peer.connecting += usize::from(may_connect);
            may_connect
        })
    }

    fn update_peer<T, F>(&self, addr: SocketAddr, update: F) -> T
    where
        F: FnOnce(&mut PeerState) -> T,
    {
        update(self.peers.borrow_mut().entry(addr).or_default())
    }

    /// Returns a connection to the pool after its exchange has completed; drops it if 8 are already idle for `addr`.
    pub fn put(&self, addr: SocketAddr, conn: Connection) {
        self.update_peer(addr, |peer| {
            if peer.idle.len() < MAX_IDLE_PER_PEER {
                peer.idle.push(conn);
            }
        });
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
