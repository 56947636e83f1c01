//! Accept loop of a mesh listener.

use std::future::Future;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};

/// Delay after a failed accept; the process may have run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections and spawns a task that serves each; returns only when its own task is cancelled.
pub async fn accept_connections<F, R>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => compio::runtime::spawn(serve(stream)).detach(),
            Err(err) => {
                log::warn!("failed to accept a mesh connection: {err}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
