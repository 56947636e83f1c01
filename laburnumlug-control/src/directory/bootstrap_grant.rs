//! Agreement of control processes without a replica to the bootstrap of a cluster.

use std::net::SocketAddr;

/// Agreement to at most one replica, for the lifetime of the process.
///
/// A replica that none of the seeds name bootstraps a cluster only with the agreement of all of them, so two replicas never do.
#[derive(Debug)]
pub(crate) struct BootstrapGrant {
    is_allowed: bool,
    candidate: Option<SocketAddr>,
}

impl BootstrapGrant {
    /// Creates an agreement that was not given yet; without `is_allowed`, it never is.
    pub(crate) fn new(is_allowed: bool) -> BootstrapGrant {
        BootstrapGrant {
            is_allowed,
            candidate: None,
        }
    }

    /// Returns whether this process agrees to `candidate`. `knows_cluster` tells that it knows the voters of a cluster.
    pub(crate) fn request(&mut self, candidate: SocketAddr, knows_cluster: bool) -> bool {
        self.is_allowed && !knows_cluster && *self.candidate.get_or_insert(candidate) == candidate
    }
}

#[cfg(test)]
#[path = "bootstrap_grant_tests.rs"]
mod tests;
