//! HTTP/1.1 client for calls that must not reach the peer after a given time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::Full;
use laburnumlug::BootTime;
use rustix::net::{connect_unspec, sockopt};

use crate::client::send_over;
use crate::error::Error;
use crate::socket;

/// Interval between checks whether a call has expired; the timers of the process stand still while the machine is suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends one request on a new connection and returns the status and the body of its response, of at most `limit` bytes.
///
/// `expires_at` is a time since the start of the machine as [`BootTime::since_boot`] returns it. Nothing of the request reaches the
/// peer later than that, except what is then already on the way: if the exchange is not complete by then, or the returned
/// future is dropped, the connection is reset and the kernel discards what it has not sent. A machine that is suspended
/// resets it soon after it resumes. A process that is frozen cannot reset it; then the kernel gives up
/// once data was unacknowledged for the time that was left.
///
/// # Errors
///
/// Fails if the exchange is not complete in time. If [`Error::is_connect`] returns true, the peer has seen nothing
/// of the request.
pub async fn send_before(
    addr: SocketAddr,
    req: hyper::Request<Full<Bytes>>,
    expires_at: Duration,
    limit: usize,
) -> Result<(u16, Bytes), Error> {
    let stream = socket::connect(addr, time_left(expires_at)).await?;
    // The process may have been frozen while it connected.
    let user_timeout = time_left(expires_at);
    if user_timeout.is_zero() {
        return Err(Error::connect(ErrorKind::TimedOut.into()));
    }
    let fd = stream
        .as_fd()
        .try_clone_to_owned()
        .map_err(Error::connect)?;
    let user_timeout = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    if let Err(err) = sockopt::set_tcp_user_timeout(&fd, user_timeout.max(1)) {
        return Err(Error::connect(err.into()));
    }
    let mut reset = ResetOnDrop { fd: Some(fd) };
    let exchange = async {
        let mut response = send_over(stream, req).await?;
        let body = response.bytes(limit).await?;
        Ok((response.status(), body))
    };
    match select(pin!(expiry(expires_at)), pin!(exchange)).await {
        Either::Left(_) => Err(Error::timed_out()),
        Either::Right((Ok(answer), _)) => {
            reset.fd = None;
            Ok(answer)
        }
        Either::Right((Err(err), _)) => Err(err),
    }
}

fn time_left(expires_at: Duration) -> Duration {
    expires_at.saturating_sub(BootTime::now().since_boot())
}

/// Waits until a call has expired.
async fn expiry(expires_at: Duration) {
    while !time_left(expires_at).is_zero() {
        compio::time::sleep(CHECK_INTERVAL.min(time_left(expires_at))).await;
    }
}

/// Resets a connection when dropped, so that the kernel does not go on sending what was written to it.
struct ResetOnDrop {
    fd: Option<OwnedFd>,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if let Some(fd) = &self.fd
            && let Err(err) = connect_unspec(fd)
        {
            log::debug!("failed to reset a connection: {err}");
        }
    }
}
