//! Options of all TCP sockets.

use std::os::fd::AsFd;

use rustix::net::sockopt;

/// Time in milliseconds after which unacknowledged bytes break a connection; a partitioned peer answers nothing.
const USER_TIMEOUT_MS: u32 = 3_000;

/// Sets low latency and a bound for silent peers.
pub(crate) fn set_options<S>(socket: &S)
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
