//! Binding of TCP listeners, for all roles.

use std::net::SocketAddr;

use compio::net::TcpListener;

use crate::error::Error;

/// Binds a listener to `addr`, with an error that contains the address.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::bind(addr, err))
}
