//! An open connection to a peer, with the ids of the requests that it has carried.

use std::cell::Cell;
use std::collections::HashSet;
use std::error::Error as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use rustix::io::Errno;
use rustix::net::RecvFlags;

use crate::client::handshake;
use crate::error::Error;
use crate::fair_stream::HeadLimit;
use crate::socket;
use crate::unexpected_data::UnexpectedData;

/// Number of requests after which a connection is closed; bounds the ids that are kept for it to 2 KB.
const MAX_REQUESTS: usize = 256;

/// Hash of a request id.
pub(crate) type RequestTag = u64;

/// An open connection and the task that drives it; dropping it closes the connection.
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    /// Second handle of the socket that the driver reads.
    socket: TcpStream,
    head_limit: HeadLimit,
    carried: HashSet<RequestTag>,
    is_idle: Rc<Cell<bool>>,
    _driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to a peer; data that arrives while the connection is idle is recorded in `unexpected_data`.
    pub(crate) async fn open(
        addr: SocketAddr,
        timeout: Duration,
        unexpected_data: Rc<UnexpectedData>,
    ) -> Result<Connection, Error> {
        let socket = socket::connect(addr, timeout).await?;
        let head_limit = HeadLimit::default();
        let (sender, conn) = handshake(socket.clone(), head_limit.clone()).await?;
        let is_idle = Rc::new(Cell::new(false));
        let was_idle = is_idle.clone();
        let driver = compio::runtime::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("connection to {addr} failed: {err}");
                // An I/O error has a source; an error of an idle connection without one is unexpected data.
                if was_idle.get() && err.source().is_none() {
                    unexpected_data.record(Instant::now(), addr);
                }
            }
        });
        Ok(Connection {
            sender,
            socket,
            head_limit,
            carried: HashSet::new(),
            is_idle,
            _driver: driver,
        })
    }

    /// Returns whether the connection may carry a request.
    ///
    /// A late copy of an answer bears the id of a request that the connection has carried. It can be told from the answer
    /// to a later request only if that one has another id.
    pub(crate) fn accepts(&self, tag: RequestTag) -> bool {
        !self.carried.contains(&tag)
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub(crate) fn is_used_up(&self) -> bool {
        self.carried.len() >= MAX_REQUESTS
    }

    /// Records that the connection carries a request, which is sent next.
    pub(crate) fn begin_request<B>(&mut self, tag: RequestTag, req: &mut hyper::Request<B>) {
        self.is_idle.set(false);
        self.head_limit.begin(req);
        self.carried.insert(tag);
    }

    /// Records that the head of the answer to the request has arrived.
    pub(crate) fn record_head(&self) {
        self.head_limit.end();
    }

    /// Records that the connection carries no request.
    pub(crate) fn set_idle(&mut self) {
        self.is_idle.set(true);
    }

    /// Returns whether a request can be written now.
    pub(crate) fn is_ready(&mut self) -> bool {
        matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }

    /// Returns whether the peer has neither closed the connection nor sent data that the driver has not read yet.
    pub(crate) fn is_open(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let received = rustix::net::recv(&self.socket, &mut [0_u8], flags);
        matches!(received, Err(Errno::AGAIN))
    }

    /// Returns whether the peer has sent data that the driver has not read yet, as it has not run since.
    ///
    /// The end of the connection counts as no data.
    pub(crate) fn has_unread_data(&self) -> bool {
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        matches!(
            rustix::net::recv(&self.socket, &mut byte, flags),
            Ok((1.., _))
        )
    }
}
