//! TCP connections to peers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use compio::net::TcpStream;
use rustix::net::sockopt;

use crate::error::Error;

/// Time in milliseconds after which unacknowledged bytes break a connection; a partitioned peer answers nothing.
const USER_TIMEOUT_MS: u32 = 3_000;

/// Connects to a peer within `timeout`.
pub(crate) async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, Error> {
    let stream = match compio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(connected) => connected.map_err(Error::connect)?,
        Err(_) => return Err(Error::connect(ErrorKind::TimedOut.into())),
    };
    set_options(&stream);
    Ok(stream)
}

/// Sets low latency and a bound for silent peers.
fn set_options<S>(socket: &S)
where
    S: AsFd,
{
    if let Err(err) = sockopt::set_tcp_nodelay(socket, true) {
        log::debug!("TCP_NODELAY was not set: {err}");
    }
    if let Err(err) = sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS) {
        log::debug!("TCP_USER_TIMEOUT was not set: {err}");
    }
}
