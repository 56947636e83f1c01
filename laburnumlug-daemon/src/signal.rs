//! Signals that request a graceful shutdown.

use std::pin::pin;

use futures_util::future::select;

const SIGTERM: i32 = 15;

/// Waits for SIGTERM or Ctrl-C.
pub(crate) async fn stop_requested() {
    let term = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    select(term, interrupt).await;
}
