//! HTTP/1.1 server with limits.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use event_listener::Event;
use futures_util::future::{Either, select};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt::set_socket_send_buffer_size;

use crate::body_reader::next_chunk;
use crate::{Response, text_response};

/// Unsent bytes that the kernel holds for one connection.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Most bytes of a refused request's body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// How long the body of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Request as a [`Handler`] receives it.
pub type Request = hyper::Request<hyper::body::Incoming>;

/// Address of the client, which the server adds to the extensions of each [`Request`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAddr(pub SocketAddr);

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request.
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>>;
}

impl<F, R> Handler for F
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Response>>> {
        Box::pin(self(req))
    }
}

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    connections: usize,
    header_bytes: usize,
    headers: usize,
    header_timeout: Duration,
    lifetime: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_bytes: 32 * 1024,
            headers: 64,
            header_timeout: Duration::from_secs(10),
            lifetime: None,
        }
    }
}

impl Limits {
    /// Sets how many connections may be open at once.
    pub fn connections(mut self, connections: usize) -> Limits {
        self.connections = connections;
        self
    }

    /// Sets the largest size of a request's head, in bytes.
    pub fn header_bytes(mut self, bytes: usize) -> Limits {
        self.header_bytes = bytes;
        self
    }

    /// Sets how long a client may take to send a request's head, or stay idle.
    pub fn header_timeout(mut self, timeout: Duration) -> Limits {
        self.header_timeout = timeout;
        self
    }

    /// Sets how long a connection may live in all; without it there is no bound.
    ///
    /// After this time no further request is read; what is then unfinished is cut after as long again.
    pub fn lifetime(mut self, lifetime: Duration) -> Limits {
        self.lifetime = Some(lifetime);
        self
    }
}

/// Shared between the accept loop, its connections and the shutdown handle.
#[derive(Default)]
struct Shared {
    stopping: Cell<bool>,
    connections: Cell<usize>,
    /// Notified whenever one of the above changes.
    changed: Event,
}

impl Shared {
    async fn stopped(&self) {
        while !self.stopping.get() {
            self.changed.listen().await;
        }
    }

    async fn drained(&self) {
        while self.connections.get() > 0 {
            self.changed.listen().await;
        }
    }

    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }
}

/// Starts the graceful shutdown of a [`Server`].
#[derive(Clone)]
pub struct ShutdownHandle {
    shared: Rc<Shared>,
}

impl ShutdownHandle {
    /// Stops new connections and requests; answers in progress are finished.
    pub fn shut_down(&self) {
        self.shared.stopping.set(true);
        self.shared.notify();
    }
}

/// Accepts connections and answers their requests.
pub struct Server {
    listener: TcpListener,
    limits: LimitsHandle,
    shared: Rc<Shared>,
}

/// Changes the limits of a [`Server`] for connections that are accepted later.
#[derive(Clone)]
pub struct LimitsHandle {
    limits: Rc<RefCell<Limits>>,
}

impl LimitsHandle {
    /// Replaces the limits.
    pub fn set(&self, limits: Limits) {
        *self.limits.borrow_mut() = limits;
    }
}

impl Server {
    /// Creates a server on a bound listener.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        Server {
            listener,
            limits: LimitsHandle {
                limits: Rc::new(RefCell::new(limits)),
            },
            shared: Rc::default(),
        }
    }

    /// Returns a handle that shuts this server down.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle {
            shared: self.shared.clone(),
        }
    }

    /// Returns a handle that changes this server's limits.
    pub fn limits_handle(&self) -> LimitsHandle {
        self.limits.clone()
    }

    /// Serves until it is shut down and the last answer is finished.
    pub async fn run<H>(self, handler: Rc<H>)
    where
        H: Handler,
    {
        loop {
            let accepted = {
                let accept = pin!(self.listener.accept());
                let stopped = pin!(self.shared.stopped());
                match select(stopped, accept).await {
                    Either::Left(_) => break,
                    Either::Right((accepted, _)) => accepted,
                }
            };
            match accepted {
                Ok((stream, peer)) => self.start_connection(stream, peer, handler.clone()),
                Err(err) => {
                    log::warn!("accept failed: {err}");
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        drop(self.listener);
        self.shared.drained().await;
    }

    fn start_connection<H>(&self, stream: TcpStream, peer: SocketAddr, handler: Rc<H>)
    where
        H: Handler,
    {
        let shared = self.shared.clone();
        let limits = self.limits.limits.borrow().clone();
        let over_limit = shared.connections.get() >= limits.connections;
        shared.connections.set(shared.connections.get() + 1);
        compio::runtime::spawn(async move {
            if over_limit {
                let refuse = Rc::new(|_| async { text_response(503, "too many connections") });
                serve_connection(stream, peer, refuse, &limits, &shared).await;
            } else {
                serve_connection(stream, peer, handler, &limits, &shared).await;
            }
            shared.connections.set(shared.connections.get() - 1);
            shared.notify();
        })
        .detach();
    }
}

async fn serve_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<H>,
    limits: &Limits,
    shared: &Shared,
) where
    H: Handler,
{
    // Answers are small and latency matters more than packet count. A caller that does not read is no silent peer:
    // whoever fills the body decides how long it is waited for.
    let _ = stream.set_nodelay(true);
    // The kernel would let a slow reader hold megabytes.
    let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
    let service = service_fn(move |mut req: Request| {
        req.extensions_mut().insert(PeerAddr(peer));
        let answer = handler.handle(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.headers)
        .max_buf_size(limits.header_bytes)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut conn = pin!(conn);
    let last_request = pin!(within(limits.lifetime, shared.stopped()));
    let result = match select(conn.as_mut(), last_request).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => {
            conn.as_mut().graceful_shutdown();
            within(limits.lifetime, conn).await
        }
    };
    match result {
        Some(Ok(())) => {}
        Some(Err(err)) => log::debug!("connection ended: {err}"),
        None => log::debug!("connection of {peer} cut at the end of its lifetime"),
    }
}

/// Waits for `future`, at most for `limit` where there is one.
async fn within<F>(limit: Option<Duration>, future: F) -> Option<F::Output>
where
    F: Future,
{
    match limit {
        Some(limit) => compio::time::timeout(limit, future).await.ok(),
        None => Some(future.await),
    }
}

/// Reads and drops the rest of a refused request's body in the background, within bounds of bytes and time.
///
/// A connection that is closed while its client still sends is reset, and the client then loses the answer.
pub fn discard_body(body: hyper::body::Incoming) {
    compio::runtime::spawn(async move {
        let _ = compio::time::timeout(DISCARD_TIMEOUT, read_and_drop(body)).await;
    })
    .detach();
}

async fn read_and_drop(mut body: hyper::body::Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    while let Ok(Some(chunk)) = next_chunk(&mut body).await {
        match left.checked_sub(chunk.len()) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
