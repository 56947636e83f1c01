//! Acceptance of connections.

use std::future::Future;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};

/// Wait after a connection could not be accepted; the process may have no descriptor left.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a task for each connection that a listener accepts; ends only with the task that it runs in.
pub async fn accept_each<F, R>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => compio::runtime::spawn(serve(stream)).detach(),
            Err(err) => {
                log::warn!("accept failed: {err}");
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
