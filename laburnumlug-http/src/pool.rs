//! HTTP/1.1 client with a pool of keep-alive connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;

use crate::body_reader::{Framing, next_held_chunk, read_whole_body};
use crate::client::check_status;
use crate::connection::{Connection, RequestTag};
use crate::error::Error;
use crate::held_bytes::{HeldBytes, OverBudget};
use crate::idle_limit::IdleLimit;
use crate::unexpected_data::UnexpectedData;

/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 16;

/// Fraction of a peer's keep-alive timeout after which a connection is no longer reused, as the peer's timer is not
/// synchronised with the pool's.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Maximum time for which an idle connection is kept, whatever its peer states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3600);

/// Time after a send within which a stale connection fails; a round trip within a region takes a few milliseconds.
const STALE_DETECTION_TIME: Duration = Duration::from_millis(50);

/// Error of [`ConnectionPool::send`].
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    NotSent(Error),
    /// No byte of the request was written, as the caller of the pool has withdrawn it.
    Withdrawn,
    /// At least a part of the request was written, so the peer may have seen it.
    Sent(Error),
}

struct IdleConnection {
    conn: Connection,
    /// Whether the peer has answered on it; before that, the kernel alone may have accepted it.
    has_answered: bool,
    idle_since: Instant,
    expires_at: Instant,
}

/// Pool of keep-alive connections to peers.
///
/// The pool never resends a request of which anything was written; [`SendError`] states whether that was the case.
///
/// A peer may send an answer twice, the second time on a connection that has been reused. A connection with unread data
/// is therefore not reused, nor is one that has carried a request with the same id. So a copy that arrives later still
/// bears the id of another request than the one that it seems to answer.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// Idle timeout for connections whose peer sends no `Keep-Alive` timeout.
    idle_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_limit: RefCell<IdleLimit>,
    unexpected_data: Rc<UnexpectedData>,
    /// Hashes request ids.
    tag_hasher: RandomState,
}

impl ConnectionPool {
    /// Creates an empty pool; `idle_timeout` applies to connections whose peer sends no `Keep-Alive` timeout.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            connect_timeout,
            idle_timeout,
            idle: RefCell::default(),
            idle_limit: RefCell::default(),
            unexpected_data: Rc::default(),
            tag_hasher: RandomState::new(),
        }
    }

    /// Sends one request like [`ConnectionPool::send_if`], whatever happens before it is written.
    ///
    /// # Errors
    ///
    /// [`SendError`] states whether the peer may have seen the request.
    pub async fn send(
        &self,
        now: Instant,
        addr: SocketAddr,
        id: &str,
        req: hyper::Request<Full<Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        self.send_if(now, addr, id, req, || true).await
    }

    /// Sends one request and waits for the head of its response, whose id the calling method compares to `id`.
    ///
    /// `may_send` is called whenever the request is about to be written, which may be some time after the call, as a
    /// connection may have to be opened. If it returns `false`, the request is not sent.
    ///
    /// Dropping the returned future, or the response before its body has been read to the end, closes the connection.
    ///
    /// # Errors
    ///
    /// [`SendError`] states whether the peer may have seen the request.
    pub async fn send_if<F>(
        &self,
        now: Instant,
        addr: SocketAddr,
        id: &str,
        mut req: hyper::Request<Full<Bytes>>,
        may_send: F,
    ) -> Result<PooledResponse, SendError>
    where
        F: Fn() -> bool,
    {
        if !may_send() {
            return Err(SendError::Withdrawn);
        }
        let tag = self.tag_hasher.hash_one(id);
        while let Some((conn, idle_for)) = self.take_idle(now, addr, tag) {
            let sent_at = Instant::now();
            match exchange(addr, conn, tag, req).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::NotSent(returned)) => req = *returned,
                Err(ExchangeError::Sent(err)) => {
                    // A stale connection fails at once; a later failure occurred while the peer was processing.
                    if sent_at.elapsed() < STALE_DETECTION_TIME {
                        self.idle_limit
                            .borrow_mut()
                            .record_stale_reuse(addr, idle_for);
                    }
                    return Err(SendError::Sent(err));
                }
            }
        }
        let conn = self.connect(addr).await.map_err(SendError::NotSent)?;
        if !may_send() {
            let expires_at = now + self.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
            self.add_idle(Instant::now(), addr, conn, false, expires_at);
            return Err(SendError::Withdrawn);
        }
        let exchanged = exchange(addr, conn, tag, req).await;
        self.idle_limit
            .borrow_mut()
            .record_new_connection(Instant::now(), addr, exchanged.is_ok());
        match exchanged {
            Ok(response) => Ok(response),
            Err(ExchangeError::NotSent(_)) => {
                let err = std::io::ErrorKind::ConnectionReset.into();
                Err(SendError::NotSent(Error::connect(err)))
            }
            Err(ExchangeError::Sent(err)) => Err(SendError::Sent(err)),
        }
    }

    /// Returns the connection of a response to the pool.
    ///
    /// The connection is closed instead if the body was not read to its end, if the peer sent `Connection: close` or,
    /// recently, unexpected data, or if the pool holds enough connections to this peer. Unexpected data on an idle
    /// connection closes it, too.
    pub fn recycle(&self, now: Instant, response: PooledResponse) {
        let close_requested = response
            .headers
            .get_all(hyper::header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .any(|value| value.to_ascii_lowercase().contains("close"));
        if !response.is_complete || close_requested {
            return;
        }
        let keep_alive = keep_alive_timeout(&response.headers);
        let keep_alive = keep_alive.unwrap_or(self.idle_timeout).min(MAX_IDLE_TIME);
        let expires_at = now + keep_alive.mul_f64(IDLE_TIMEOUT_FRACTION);
        self.add_idle(now, response.addr, response.conn, true, expires_at);
    }

    /// Opens a connection and adds it to the pool.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be established.
    pub async fn connect_idle(&self, now: Instant, addr: SocketAddr) -> Result<(), Error> {
        let conn = self.connect(addr).await?;
        let expires_at = now + self.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        self.add_idle(now, addr, conn, false, expires_at);
        Ok(())
    }

    /// Returns whether an idle connection is open on which a peer has answered, so that the process of the peer has not ended.
    pub fn has_open_connection(&self, addr: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let mut conns = idle.get(&addr).into_iter().flatten();
        conns.any(|idle| idle.has_answered && idle.conn.is_open())
    }

    /// Closes all idle connections to a peer that sent an answer to another request, and reuses none to it for a while.
    pub fn record_wrong_answer(&self, now: Instant, addr: SocketAddr) {
        self.unexpected_data.record(now, addr);
        self.idle.borrow_mut().remove(&addr);
    }

    fn add_idle(
        &self,
        now: Instant,
        addr: SocketAddr,
        mut conn: Connection,
        has_answered: bool,
        expires_at: Instant,
    ) {
        if conn.is_used_up() || self.unexpected_data.is_recent(now, addr) {
            return;
        }
        conn.set_idle();
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_PEER {
            conns.push(IdleConnection {
                conn,
                has_answered,
                idle_since: now,
                expires_at,
            });
        }
    }

    /// Closes the idle connections whose peer `keep` rejects, and those that are closed or past their idle timeout.
    pub fn retain<F>(&self, now: Instant, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, conns| {
            conns.retain(|idle| idle.expires_at > now && !idle.conn.sender.is_closed());
            keep(addr) && !conns.is_empty()
        });
    }

    /// Takes the most recently used idle connection that may carry a request, and returns it with its idle time.
    fn take_idle(
        &self,
        now: Instant,
        addr: SocketAddr,
        tag: RequestTag,
    ) -> Option<(Connection, Duration)> {
        let max_idle = self.idle_limit.borrow().max_idle(now);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        while let Some(i) = conns.iter().rposition(|idle| idle.conn.accepts(tag)) {
            let mut idle = conns.remove(i);
            if idle.conn.has_unread_data() {
                self.unexpected_data.record(now, addr);
                conns.clear();
                return None;
            }
            let idle_for = now.saturating_duration_since(idle.idle_since);
            let is_within_limit = max_idle.is_none_or(|limit| idle_for <= limit);
            if idle.expires_at > now && idle.conn.is_ready() && is_within_limit {
                return Some((idle.conn, idle_for));
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        Connection::open(addr, self.connect_timeout, self.unexpected_data.clone()).await
    }
}

/// A failed exchange on one connection.
enum ExchangeError {
    /// Nothing of the request was written; it is returned for another connection.
    NotSent(Box<hyper::Request<Full<Bytes>>>),
    /// At least a part of the request was written.
    Sent(Error),
}

async fn exchange(
    addr: SocketAddr,
    mut conn: Connection,
    tag: RequestTag,
    mut req: hyper::Request<Full<Bytes>>,
) -> Result<PooledResponse, ExchangeError> {
    conn.begin_request(tag, &mut req);
    let method = req.method().clone();
    match conn.sender.try_send_request(req).await {
        Ok(head) => {
            conn.record_head();
            let (parts, body) = head.into_parts();
            check_status(parts.status).map_err(ExchangeError::Sent)?;
            Ok(PooledResponse {
                addr,
                framing: Framing::of(&method, parts.status, &parts.headers),
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
                held: HeldBytes::default(),
                is_complete: false,
                conn,
            })
        }
        Err(mut err) => match err.take_message() {
            Some(req) => Err(ExchangeError::NotSent(Box::new(req))),
            None => Err(ExchangeError::Sent(Error::exchange(err.into_error()))),
        },
    }
}

/// Returns the timeout of the `Keep-Alive` header, which is a number of seconds.
fn keep_alive_timeout(headers: &hyper::HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|item| item.trim().strip_prefix("timeout="))?;
    Duration::try_from_secs_f64(seconds.trim().parse().ok()?).ok()
}

/// Response whose body is still arriving, on a connection that can be returned to the pool afterwards.
pub struct PooledResponse {
    addr: SocketAddr,
    framing: Framing,
    status: u16,
    headers: hyper::HeaderMap,
    body: hyper::body::Incoming,
    /// What is held of the body.
    held: HeldBytes,
    is_complete: bool,
    conn: Connection,
}

impl PooledResponse {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &hyper::HeaderMap {
        &self.headers
    }

    /// Returns whether the body has a length or chunks, so that its end is told from the end of its connection.
    pub fn is_framed(&self) -> bool {
        self.framing == Framing::Framed
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the body, or when what [`PooledResponse::hold`] has stated is
    /// ended by the memory budget.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let chunk = next_held_chunk(&mut self.body, &self.held).await?;
        self.is_complete |= chunk.is_none();
        Ok(chunk)
    }

    /// Returns the whole body, of at most `limit` bytes. It counts towards the memory budget as long as this response, or
    /// what [`PooledResponse::take_held`] returns.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than `limit`, its connection breaks, its transfer coding is not supported, or it is
    /// ended by the memory budget.
    pub async fn bytes(&mut self, limit: usize) -> Result<Bytes, Error> {
        let bytes = read_whole_body(self.framing, &mut self.body, limit, &self.held).await?;
        self.is_complete = true;
        Ok(bytes)
    }

    /// States how many bytes are kept of the chunks that were read.
    ///
    /// # Errors
    ///
    /// Fails when they have to be dropped, as the process exceeds its memory budget and no exchange holds more.
    pub fn hold(&self, bytes: usize) -> Result<(), OverBudget> {
        self.held.resize(bytes)
    }

    /// Returns what is held of the body, so that it is held for longer than this response.
    pub fn take_held(&mut self) -> HeldBytes {
        std::mem::take(&mut self.held)
    }

    /// Returns what is held of the body.
    pub fn held(&self) -> &HeldBytes {
        &self.held
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
