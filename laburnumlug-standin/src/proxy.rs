//! TCP proxy that injects network faults.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use event_listener::Event;
use futures_util::future::{Either, join, select};

/// Maximum number of bytes relayed at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Network fault that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Relays everything without a fault.
    None,
    /// Blocks both directions, and new connections to the server.
    Partition,
    /// Blocks only the bytes from the client to the server, and new connections to the server.
    PartitionForward,
    /// Blocks only the bytes from the server to the client.
    PartitionBackward,
    /// Blocks both directions of the connections that exist when it is set, and relays new ones, as after a partition whose
    /// connections have not yet retransmitted what was lost.
    PartitionExisting,
    /// Closes all existing connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Holds the bytes of each read for this duration before they are relayed and the next ones are read.
    Delay(Duration),
}

/// Traffic through a proxy, summed over both directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Number of reads that returned data; one per message if messages are far enough apart.
    pub chunks: u64,
    /// Number of bytes relayed.
    pub bytes: u64,
}

/// Direction of data through the proxy; forward is from the client to the server.
#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

impl Fault {
    fn blocks(self, direction: Direction, is_existing: bool) -> bool {
        matches!(
            (self, direction),
            (Fault::Partition, _)
                | (Fault::PartitionForward, Direction::Forward)
                | (Fault::PartitionBackward, Direction::Backward)
        ) || (self == Fault::PartitionExisting && is_existing)
    }
}

struct State {
    upstream: SocketAddr,
    fault: Cell<Fault>,
    traffic: Cell<Traffic>,
    /// Number of connections accepted so far.
    accepted: Cell<u64>,
    /// Number of connections that had been accepted when the fault was set.
    accepted_before_fault: Cell<u64>,
    /// Notified whenever the fault changes.
    fault_changed: Event,
}

impl State {
    async fn disconnect_requested(&self) {
        while self.fault.get() != Fault::Disconnect {
            self.fault_changed.listen().await;
        }
    }

    /// Waits until the fault does not block a direction of the connection with the given number.
    async fn wait_until_unblocked(&self, conn: u64, direction: Direction) {
        while self
            .fault
            .get()
            .blocks(direction, conn <= self.accepted_before_fault.get())
        {
            self.fault_changed.listen().await;
        }
    }
}

/// TCP proxy in front of one address whose fault can be changed at any time.
///
/// Blocked bytes are delivered once the fault is cleared, as TCP retransmission would deliver them.
#[derive(Clone)]
pub struct FaultProxy {
    addr: SocketAddr,
    state: Rc<State>,
}

impl FaultProxy {
    /// Starts a proxy in front of `upstream` on a free loopback port, in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = Rc::new(State {
            upstream,
            fault: Cell::new(Fault::None),
            traffic: Cell::default(),
            accepted: Cell::default(),
            accepted_before_fault: Cell::default(),
            fault_changed: Event::new(),
        });
        compio::runtime::spawn(accept_connections(listener, state.clone())).detach();
        Ok(FaultProxy { addr, state })
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        self.state.traffic.get()
    }

    /// Sets the fault for all existing and new connections.
    pub fn set_fault(&self, fault: Fault) {
        self.state
            .accepted_before_fault
            .set(self.state.accepted.get());
        self.state.fault.set(fault);
        self.state.fault_changed.notify(usize::MAX);
    }
}

async fn accept_connections(listener: TcpListener, state: Rc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        if state.fault.get() != Fault::Disconnect {
            let conn = state.accepted.get() + 1;
            state.accepted.set(conn);
            compio::runtime::spawn(proxy_connection(stream, conn, state.clone())).detach();
        }
    }
}

async fn proxy_connection(client: TcpStream, conn: u64, state: Rc<State>) {
    state.wait_until_unblocked(conn, Direction::Forward).await;
    let Ok(server) = TcpStream::connect(state.upstream).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let forward = relay(
        client.clone(),
        server.clone(),
        conn,
        &state,
        Direction::Forward,
    );
    let backward = relay(server, client, conn, &state, Direction::Backward);
    let relays = pin!(join(forward, backward));
    let disconnect_requested = pin!(state.disconnect_requested());
    if let Either::Left(_) = select(disconnect_requested, relays).await {
        log::debug!(
            "proxy to {}: closed a connection to inject a fault",
            state.upstream
        );
    }
}

async fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    conn: u64,
    state: &State,
    direction: Direction,
) {
    let mut buf = Vec::with_capacity(READ_BUFFER_BYTES);
    loop {
        let BufResult(result, read) = from.read(buf).await;
        buf = read;
        let is_eof = !matches!(result, Ok(count) if count > 0);
        state.wait_until_unblocked(conn, direction).await;
        if let Fault::Delay(delay) = state.fault.get() {
            compio::time::sleep(delay).await;
        }
        if is_eof {
            let _ = to.shutdown().await;
            return;
        }
        let traffic = state.traffic.get();
        state.traffic.set(Traffic {
            chunks: traffic.chunks + 1,
            bytes: traffic.bytes + buf.len() as u64,
        });
        let BufResult(result, written) = to.write_all(buf).await;
        if result.is_err() {
            return;
        }
        buf = written;
        buf.clear();
    }
}
