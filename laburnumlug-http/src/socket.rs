//! Outgoing TCP connections and their socket options.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::pin;
use std::time::{Duration, Instant};

use compio::net::{TcpSocket, TcpStream};
use futures_util::future::{Either, select};
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};

use crate::error::Error;
use crate::timeout::MAX_TIMER_DELAY;

/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged, as it does when the peer is partitioned off.
const USER_TIMEOUT_MS: u32 = 3_000;

/// Maximum number of bytes that a connection reads at once, which is also that of a response's head. They do not count
/// towards the memory budget before they are kept.
pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Kernel receive buffer of one connection; by default it would keep megabytes that are not read while a caller is slow.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Connects to a peer within `timeout`.
///
/// A peer that has answered counts as reached, and the time starts again, once, if this process did not run meanwhile: a
/// pause of the process says nothing about its peer.
pub(crate) async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, Error> {
    let socket = create_socket(addr).map_err(Error::connect)?;
    let mut connecting = pin!(socket.connect(addr));
    let mut may_restart = true;
    loop {
        let began_at = Instant::now();
        let timer = pin!(compio::time::sleep(timeout));
        match select(connecting.as_mut(), timer).await {
            Either::Left((connected, _)) => {
                let stream = connected.map_err(Error::connect)?;
                set_options(&stream);
                return Ok(stream);
            }
            Either::Right(_) if may_restart && began_at.elapsed() > timeout + MAX_TIMER_DELAY => {
                may_restart = false;
            }
            Either::Right(_) => return Err(Error::connect(ErrorKind::TimedOut.into())),
        }
    }
}

/// Creates a socket for a connection to `addr`.
///
/// [`TcpStream::connect`] creates it on another thread, which may wait for the disk or for a processor for long.
fn create_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let family = match addr {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    TcpSocket::from_std_stream(socket.into())
}

/// Disables Nagle's algorithm and bounds how long an unreachable peer goes undetected.
fn set_options<S>(socket: &S)
where
    S: AsFd,
{
    if let Err(err) = sockopt::set_tcp_nodelay(socket, true) {
        log::debug!("failed to set TCP_NODELAY, small requests may be delayed: {err}");
    }
    if let Err(err) = sockopt::set_socket_recv_buffer_size(socket, RECEIVE_BUFFER_BYTES) {
        log::debug!(
            "failed to set SO_RCVBUF, unread bytes may take more memory than planned: {err}"
        );
    }
    if let Err(err) = sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS) {
        log::debug!(
            "failed to set TCP_USER_TIMEOUT, an unreachable peer may go undetected for longer: {err}"
        );
    }
}
