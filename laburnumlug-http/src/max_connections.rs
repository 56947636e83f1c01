//! Number of connections from outside that the memory and the descriptors of the process allow.

use rustix::process::{Resource, getrlimit};

use crate::held_bytes::memory_budget;

/// Memory, in bytes, of one connection with a request: its buffers, its tasks, and what its socket keeps unread.
const CONNECTION_BYTES: usize = 96 * 1024;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Smallest limit, with which a process with little memory or few descriptors still serves.
const MIN_CONNECTIONS: usize = 64;

/// Returns how many connections one listener may have open at once, whatever its settings allow.
///
/// Their buffers take at most one and a half times the [memory budget](crate::set_memory_budget), and their sockets a quarter of the
/// descriptors: each request may need a connection to a server while that of the request before is being closed.
pub fn max_connections() -> usize {
    let by_memory = memory_budget() / 2 / CONNECTION_BYTES * 3;
    let descriptors = getrlimit(Resource::Nofile).current;
    let by_descriptors = descriptors.map_or(usize::MAX, |limit| {
        let sockets = limit.saturating_sub(FILE_DESCRIPTORS) / 4;
        usize::try_from(sockets).unwrap_or(usize::MAX)
    });
    by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
}
