//! Closing of a connection whose client may not have read the last answer yet.

use std::time::{Duration, Instant};

use compio::net::TcpStream;
use rustix::io::Errno;
use rustix::net::{RecvFlags, Shutdown};

/// Interval of the first check whether the client has closed the connection; it doubles with each.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Ends the sending half of a connection, and keeps its socket until the client closes it, for at most `time`.
///
/// A socket that is closed with unread bytes, or that gets some after it was closed, is reset. A reset drops what has not been
/// sent, and what the client's kernel holds unread: the end of an answer that is complete. What the client sends is not read, as
/// it gets no answer.
pub(crate) async fn keep_until_closed(socket: &TcpStream, time: Duration) {
    if rustix::net::shutdown(socket, Shutdown::Write).is_err() {
        // The connection has been reset or closed.
        return;
    }
    let until = Instant::now() + time;
    let mut interval = MIN_CHECK_INTERVAL;
    while !is_closed_by_client(socket) && Instant::now() < until {
        compio::time::sleep(interval).await;
        interval *= 2;
    }
}

/// Returns whether the client has closed or reset the connection, as far as it is seen without reading.
fn is_closed_by_client(socket: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    match rustix::net::recv(socket, &mut [0_u8], flags) {
        Ok((len, _)) => len == 0,
        Err(err) => err != Errno::AGAIN,
    }
}
