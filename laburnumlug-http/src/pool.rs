//! HTTP/1.1 client on connections that are kept for further requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::client::conn::http1;

use crate::body_reader::{next_chunk, read_body};
use crate::error::Error;
use crate::idle_limit::RestLimit;
use crate::socket;

/// Most idle connections that are kept for one peer.
const MAX_IDLE_PER_PEER: usize = 16;

/// Share of a peer's stated idle time after which a connection is not used again; the peer's clock runs apart.
const IDLE_SHARE: f64 = 0.7;

/// Time from a send within which a dead connection shows; a round trip within a region takes a few milliseconds.
const DEAD_TIME: Duration = Duration::from_millis(50);

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was written.
    NotSent(Error),
    /// It was written at least in part, so the peer may have seen it.
    Sent(Error),
}

/// An open connection with its driver; dropping it closes the connection.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
}

struct Idle {
    conn: Connection,
    since: Instant,
    until: Instant,
}

/// Connections to peers, kept for further requests.
///
/// A request is never sent twice: the pool only tells whether anything of it was written.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// How long a connection is kept whose peer states no time.
    idle_time: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    rest_limit: RefCell<RestLimit>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(connect_timeout: Duration, idle_time: Duration) -> ConnectionPool {
        ConnectionPool {
            connect_timeout,
            idle_time,
            idle: RefCell::default(),
            rest_limit: RefCell::default(),
        }
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// Dropping the returned future, or the answer before its end, closes the connection.
    ///
    /// # Errors
    ///
    /// [`SendError`] tells whether the peer can have seen the request.
    pub async fn send(
        &self,
        now: Instant,
        addr: SocketAddr,
        mut req: hyper::Request<Full<Bytes>>,
    ) -> Result<Answer, SendError> {
        while let Some((conn, rested)) = self.take_idle(now, addr) {
            let sent_at = Instant::now();
            match exchange(addr, conn, req).await {
                Ok(answer) => return Ok(answer),
                Err(Unsent::Returned(returned)) => req = *returned,
                Err(Unsent::Lost(err)) => {
                    // A connection that was dead already breaks at once, others break while the peer works.
                    if sent_at.elapsed() < DEAD_TIME {
                        self.rest_limit.borrow_mut().note_dead(addr, rested);
                    }
                    return Err(SendError::Sent(err));
                }
            }
        }
        let conn = self.connect(addr).await.map_err(SendError::NotSent)?;
        let exchanged = exchange(addr, conn, req).await;
        self.rest_limit
            .borrow_mut()
            .note_new(Instant::now(), addr, exchanged.is_ok());
        match exchanged {
            Ok(answer) => Ok(answer),
            Err(Unsent::Returned(_)) => {
                let err = std::io::ErrorKind::ConnectionReset.into();
                Err(SendError::NotSent(Error::connect(err)))
            }
            Err(Unsent::Lost(err)) => Err(SendError::Sent(err)),
        }
    }

    /// Keeps the connection of an answer that was read to its end.
    ///
    /// A connection whose peer asked to close it, or on which anything else arrived, is closed.
    pub fn keep(&self, now: Instant, answer: Answer) {
        let closes = answer
            .headers
            .get_all(hyper::header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .any(|value| value.to_ascii_lowercase().contains("close"));
        if !answer.ended || closes {
            return;
        }
        let stated = stated_idle_time(&answer.headers);
        let until = now + stated.unwrap_or(self.idle_time).mul_f64(IDLE_SHARE);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(answer.addr).or_default();
        if conns.len() < MAX_IDLE_PER_PEER {
            let conn = answer.conn;
            conns.push(Idle {
                conn,
                since: now,
                until,
            });
        }
    }

    /// Closes the idle connections to peers that `keep` does not want, and all that have been idle for too long.
    pub fn retain<F>(&self, now: Instant, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, conns| {
            conns.retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
            keep(addr) && !conns.is_empty()
        });
    }

    /// Takes the connection that was used last, and tells how long it has rested.
    fn take_idle(&self, now: Instant, addr: SocketAddr) -> Option<(Connection, Duration)> {
        let longest_rest = self.rest_limit.borrow().longest(now);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&addr)?;
        while let Some(idle) = conns.pop() {
            let mut conn = idle.conn;
            let is_ready = matches!(conn.sender.ready().now_or_never(), Some(Ok(())));
            let rested = now.saturating_duration_since(idle.since);
            let is_fresh = longest_rest.is_none_or(|longest| rested <= longest);
            if idle.until > now && is_ready && is_fresh {
                return Some((conn, rested));
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Error> {
        let stream = socket::connect(addr, self.connect_timeout).await?;
        let (sender, conn) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(Error::exchange)?;
        let driver = compio::runtime::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("connection to {addr} ended: {err}");
            }
        });
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }
}

/// A request without an answer.
enum Unsent {
    /// Nothing of it was written.
    Returned(Box<hyper::Request<Full<Bytes>>>),
    Lost(Error),
}

async fn exchange(
    addr: SocketAddr,
    mut conn: Connection,
    req: hyper::Request<Full<Bytes>>,
) -> Result<Answer, Unsent> {
    match conn.sender.try_send_request(req).await {
        Ok(head) => {
            let (parts, body) = head.into_parts();
            Ok(Answer {
                addr,
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
                ended: false,
                conn,
            })
        }
        Err(mut err) => match err.take_message() {
            Some(req) => Err(Unsent::Returned(Box::new(req))),
            None => Err(Unsent::Lost(Error::exchange(err.into_error()))),
        },
    }
}

/// Reads the time in whole seconds that a peer keeps an idle connection.
fn stated_idle_time(headers: &hyper::HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Answer whose body is still arriving, on a connection that can be kept afterwards.
pub struct Answer {
    addr: SocketAddr,
    status: u16,
    headers: hyper::HeaderMap,
    body: hyper::body::Incoming,
    ended: bool,
    conn: Connection,
}

impl Answer {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &hyper::HeaderMap {
        &self.headers
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let chunk = next_chunk(&mut self.body).await?;
        self.ended |= chunk.is_none();
        Ok(chunk)
    }

    /// Returns the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than `limit` or its connection breaks.
    pub async fn bytes(&mut self, limit: usize) -> Result<Bytes, Error> {
        let bytes = read_body(&mut self.body, limit).await?;
        self.ended = true;
        Ok(bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stated_idle_time_forms() {
        let stated = |value: &str| {
            let mut headers = hyper::HeaderMap::new();
            headers.insert("keep-alive", value.parse().unwrap());
            stated_idle_time(&headers)
        };
        assert_eq!(stated("timeout=5"), Some(Duration::from_secs(5)));
        assert_eq!(stated("max=3, timeout=12"), Some(Duration::from_secs(12)));
        assert_eq!(stated("timeout=soon"), None);
    }
}
