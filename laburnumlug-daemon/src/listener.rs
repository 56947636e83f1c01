//! Listeners of all roles.

use std::net::SocketAddr;

use compio::net::TcpListener;

use crate::error::Error;

/// Binds an address; the error names it.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::bind(addr, err))
}
