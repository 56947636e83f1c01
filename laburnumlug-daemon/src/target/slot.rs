//! Exclusive lock that lets only one target process run beside a target.

use std::io;
use std::net::{SocketAddr, TcpListener};

use crate::error::Error;

/// Exclusive lock on a target's slot, held as a bound TCP listener.
///
/// Two target processes beside one engine could send it conflicting orders. The kernel lets only one process listen
/// on an address and releases the address however that process ends, so no stale lock can remain.
#[derive(Debug)]
pub(crate) struct SlotLock {
    /// Never accepts a connection; it only keeps the address bound.
    _listener: TcpListener,
}

impl SlotLock {
    /// Acquires the slot at `addr`.
    ///
    /// # Errors
    ///
    /// Fails with an error for which [`Error::is_slot_held`] returns `true` if another process holds the slot.
    pub(crate) fn acquire(addr: SocketAddr) -> Result<SlotLock, Error> {
        match TcpListener::bind(addr) {
            Ok(listener) => Ok(SlotLock {
                _listener: listener,
            }),
            Err(err) if err.kind() == io::ErrorKind::AddrInUse => Err(Error::slot_held(addr)),
            Err(err) => Err(Error::bind(addr, err)),
        }
    }
}
