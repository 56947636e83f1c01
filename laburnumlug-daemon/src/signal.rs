//! Signals that request a graceful shutdown.

use std::pin::pin;

use futures_util::FutureExt;
use futures_util::future::select;

const SIGTERM: i32 = 15;

/// Waits for SIGTERM or Ctrl-C.
///
/// Further SIGTERMs have no effect, while a second Ctrl-C terminates the process.
pub(crate) async fn stop_requested() {
    let term = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    ignore_further_sigterms();
    select(term, interrupt).await;
}

/// Keeps a handler of SIGTERM installed for the life of the process.
///
/// Without any, the kernel would terminate the process at the second SIGTERM, and cut off the answers in progress.
fn ignore_further_sigterms() {
    compio::runtime::spawn(async {
        let mut handler = pin!(compio::signal::unix::signal(SIGTERM));
        // The first poll installs the handler, which stays until the future is dropped.
        let _ = handler.as_mut().now_or_never();
        std::future::pending::<()>().await;
    })
    .detach();
}
