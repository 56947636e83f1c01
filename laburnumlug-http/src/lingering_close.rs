//! Closing of a connection whose client may not have read the last answer yet.

use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use rustix::net::Shutdown;

/// Size of the buffer for bytes that are discarded.
const BUFFER_BYTES: usize = 4096;

/// Ends the sending half of a connection, and discards what its client sends until the client closes it, for at most `time`.
///
/// A socket that is closed with unread bytes, or that gets some after it was closed, is reset. A reset drops what has not been
/// sent, and what the client's kernel holds unread: the end of an answer that is complete.
pub(crate) async fn discard_until_closed(mut socket: &TcpStream, time: Duration) {
    if rustix::net::shutdown(socket, Shutdown::Write).is_err() {
        // The connection has been reset or closed.
        return;
    }
    let discarding = async {
        let mut buf = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buf.clear();
            let BufResult(read, returned) = socket.read(buf).await;
            buf = returned;
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    };
    let _ = crate::timeout(time, discarding).await;
}
