//! HTTP/1.1 server with limits on connections, headers and time, and graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use event_listener::Event;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use rustix::net::{Shutdown, SocketFlags};

use crate::connection_report::ConnectionReport;
use crate::fair_stream::{FairStream, HeadLimit};
use crate::limits::{Limits, LimitsHandle};
use crate::lingering_close::keep_until_closed;
use crate::open_connections::OpenConnections;
use crate::request_body::RequestBody;
use crate::requests_in_progress::RequestsInProgress;
use crate::{Response, hold_until_sent, max_connections, text_response};

/// Kernel send buffer of one connection.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Kernel receive buffer of one connection; by default it would keep megabytes that are not read.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Maximum number of connections beyond the limit that are answered with a 503; further ones are closed at once.
const MAX_REFUSED_CONNECTIONS: usize = 32;

/// Time that a client has for the head of a request that gets a 503, and for which other answers close their
/// connections after that.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time for which a connection without a request in progress stays open after the shutdown or after an answer that did not
/// announce it. A caller may have sent a request that has not arrived yet, and would lose it without an answer.
const SHUTDOWN_LINGER: Duration = Duration::from_secs(1);

/// Request as a [`Handler`] receives it.
pub type Request = hyper::Request<RequestBody>;

/// Address of the client, which the server adds to the extensions of each [`Request`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAddr(pub SocketAddr);

/// Responds to the requests that a [`Server`] receives.
pub trait Handler: 'static {
    /// Handles one request and returns its response.
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

/// State shared between the accept loop, its connections and the shutdown handle.
#[derive(Default)]
struct Shared {
    stopping: Cell<bool>,
    connections: Cell<usize>,
    /// Number of those connections whose requests get a 503.
    refused: Cell<usize>,
    /// When a connection was last refused, as there were too many.
    refused_at: Cell<Option<Instant>>,
    open: OpenConnections,
    report: ConnectionReport,
    /// Notified whenever `stopping` or `connections` changes.
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

    /// Decides about a new connection, and closes another one for it if need be.
    fn admit(&self, now: Instant, max_connections: usize, limits: &Limits) -> Admission {
        let served = self.connections.get() - self.refused.get();
        let may_replace = served < max_connections + MAX_REFUSED_CONNECTIONS;
        match () {
            () if served < max_connections => Admission::Serve,
            () if may_replace && self.open.close_for_new(now, limits.replaceable_after) => {
                self.report.count_replaced();
                Admission::Serve
            }
            () if self.refused.get() < MAX_REFUSED_CONNECTIONS => {
                self.refused_at.set(Some(now));
                self.report.count_refused();
                Admission::Refuse
            }
            () => {
                self.refused_at.set(Some(now));
                self.report.count_closed();
                Admission::Close
            }
        }
    }

    /// Returns whether answers close their connections: for a shutdown, or to make room for connections that are refused.
    fn closes_after_answer(&self, now: Instant) -> bool {
        let refused_at = self.refused_at.get();
        let is_full = refused_at.is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_TIME);
        self.stopping.get() || is_full
    }
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    Serve,
    /// Its request gets a 503.
    Refuse,
    Close,
}

/// Starts the graceful shutdown of a [`Server`].
#[derive(Clone)]
pub struct ShutdownHandle {
    shared: Rc<Shared>,
}

impl ShutdownHandle {
    /// Stops accepting connections; responses in progress are completed.
    ///
    /// Connections that were accepted, or are in the kernel's queue, get an answer to the request that their client is
    /// sending, and are then closed; those without a request are closed after a second. Each answer states that its
    /// connection is closed. A connection whose answer began before the shutdown stays open for the next request, too.
    pub fn shut_down(&self) {
        self.shared.stopping.set(true);
        self.shared.notify();
    }
}

/// Accepts connections and passes their requests to a [`Handler`].
pub struct Server {
    listener: TcpListener,
    limits: LimitsHandle,
    /// Limit on the connections that the process has, whatever `limits` allow.
    max_connections: usize,
    shared: Rc<Shared>,
}

impl Server {
    /// Creates a server on a bound listener.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        // Accepted sockets inherit the size, also for what arrives before they are accepted.
        if let Err(err) = set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES) {
            log::warn!(
                "failed to set SO_RCVBUF, unread bytes may take more memory than planned: {err}"
            );
        }
        let shared = Shared {
            report: ConnectionReport::new(listener.local_addr().ok()),
            ..Shared::default()
        };
        Server {
            listener,
            limits: LimitsHandle::new(limits),
            max_connections: max_connections(),
            shared: Rc::new(shared),
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

    /// Serves until the server is shut down and the last response is complete.
    pub async fn run<H>(self, handler: Rc<H>)
    where
        H: Handler,
    {
        while !self.shared.stopping.get() {
            let accepted = {
                let accept = pin!(self.listener.accept());
                let stopped = pin!(self.shared.stopped());
                // Accepting goes first: a connection that has been accepted meanwhile would be dropped with the future.
                match select(accept, stopped).await {
                    Either::Left((accepted, _)) => accepted,
                    Either::Right(_) => break,
                }
            };
            match accepted {
                Ok((stream, peer)) => self.spawn_connection(stream, peer, &handler),
                Err(err) => {
                    log::warn!("failed to accept a connection, retrying after a pause: {err}");
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        let shared = self.shared.clone();
        self.close_listener(&handler);
        shared.drained().await;
    }

    /// Accepts the connections in the kernel's queue, which closing the listener resets, and closes the listener.
    fn close_listener<H>(self, handler: &Rc<H>)
    where
        H: Handler,
    {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let is_nonblocking = rustix::io::ioctl_fionbio(&self.listener, true).is_ok();
        while is_nonblocking && let Ok(socket) = rustix::net::accept_with(&self.listener, flags) {
            let socket = std::net::TcpStream::from(socket);
            let accepted = socket
                .peer_addr()
                .and_then(|peer| Ok((TcpStream::from_std(socket)?, peer)));
            match accepted {
                Ok((stream, peer)) => self.spawn_connection(stream, peer, handler),
                Err(err) => log::debug!("failed to take over an accepted connection: {err}"),
            }
        }
        // The runtime may hold the socket for a while after it is dropped.
        if let Err(err) = rustix::net::shutdown(&self.listener, Shutdown::Read) {
            log::debug!("failed to stop listening: {err}");
        }
    }

    fn spawn_connection<H>(&self, stream: TcpStream, peer: SocketAddr, handler: &Rc<H>)
    where
        H: Handler,
    {
        let handler = handler.clone();
        let shared = self.shared.clone();
        let limits = self.limits.get();
        let now = Instant::now();
        let max_connections = limits.connections.min(self.max_connections);
        let admission = shared.admit(now, max_connections, &limits);
        let open = shared.connections.get();
        shared.report.log(now, open, max_connections);
        let refused = match admission {
            Admission::Serve => 0,
            Admission::Refuse => 1,
            Admission::Close => return,
        };
        let requests = Rc::new(RequestsInProgress::new(now));
        if admission == Admission::Serve {
            shared.open.add(&requests);
        }
        shared.connections.set(shared.connections.get() + 1);
        shared.refused.set(shared.refused.get() + refused);
        compio::runtime::spawn(async move {
            let serving = shared.clone();
            match admission {
                Admission::Serve => {
                    serve_connection(stream, peer, handler, &limits, serving, requests).await;
                }
                Admission::Refuse | Admission::Close => {
                    let handler = Rc::new(|_| async { text_response(503, "too many connections") });
                    let limits = limits.header_timeout(REFUSAL_TIME).lifetime(REFUSAL_TIME);
                    serve_connection(stream, peer, handler, &limits, serving, requests).await;
                }
            }
            shared.connections.set(shared.connections.get() - 1);
            shared.refused.set(shared.refused.get() - refused);
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
    shared: Rc<Shared>,
    requests: Rc<RequestsInProgress>,
) where
    H: Handler,
{
    // Responses are small, and latency matters more than packet count. TCP_USER_TIMEOUT is not set here, as a client
    // that does not read is not an unreachable peer: the sender of the body decides how long to wait for it.
    let _ = stream.set_nodelay(true);
    // By default the kernel would buffer megabytes for a slow reader.
    let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
    let socket = stream.clone();
    let stream = FairStream::new(stream, HeadLimit::default()).observed_by(requests.clone());
    let is_http_1_0 = Rc::new(Cell::new(false));
    let result = {
        let started = requests.clone();
        let set_http_1_0 = is_http_1_0.clone();
        let is_stopping = shared.clone();
        let service = service_fn(move |req: hyper::Request<Incoming>| {
            set_http_1_0.set(req.version() == hyper::Version::HTTP_10);
            let progress = started.clone();
            let mut req = req.map(|body| RequestBody::new(Instant::now(), body, progress));
            req.extensions_mut().insert(PeerAddr(peer));
            let guard = started.clone().start();
            let response = handler.handle(req);
            let shared = is_stopping.clone();
            async move {
                let mut resp = response.await;
                if shared.closes_after_answer(Instant::now()) {
                    let close = HeaderValue::from_static("close");
                    resp.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(hold_until_sent(resp, guard))
            }
        });
        let conn = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(limits.header_timeout)
            .max_headers(limits.header_count)
            .max_buf_size(limits.header_bytes)
            .serve_connection(stream, service);
        let mut conn = pin!(conn);
        let stop_reading = pin!(async {
            if with_timeout(limits.lifetime, shared.stopped())
                .await
                .is_some()
            {
                // The response to a request that begins now states that the connection is closed, and closes it.
                let unused = requests.unused_for(SHUTDOWN_LINGER);
                with_timeout(limits.lifetime, unused).await;
            }
        });
        let replaced = pin!(requests.closed());
        match select(select(conn.as_mut(), stop_reading), replaced).await {
            Either::Left((Either::Left((result, _)), _)) => Some(result),
            Either::Right(_) => {
                log::debug!(
                    "closed the connection from {peer}, which waited for its client, for a new one"
                );
                return;
            }
            Either::Left((Either::Right(_), _)) => {
                conn.as_mut().graceful_shutdown();
                with_timeout(limits.lifetime, conn).await
            }
        }
    };
    match &result {
        Some(Ok(())) => {}
        Some(Err(err)) => log::debug!("connection from {peer} failed: {err}"),
        None => log::debug!("closed connection from {peer}: lifetime exceeded"),
    }
    if !matches!(result, Some(Ok(()))) && is_http_1_0.get() {
        // A response without chunks ends with its connection, so only a reset shows that it was aborted.
        let _ = socket.set_zero_linger();
    } else if requests.was_used_within(Instant::now(), SHUTDOWN_LINGER) {
        keep_until_closed(&socket, SHUTDOWN_LINGER).await;
    }
}

/// Runs `future` with an optional timeout; returns `None` if the timeout elapses.
async fn with_timeout<F>(timeout: Option<Duration>, future: F) -> Option<F::Output>
where
    F: Future,
{
    match timeout {
        Some(timeout) => crate::timeout(timeout, future).await.ok(),
        None => Some(future.await),
    }
}
