//! Configuration of a replica.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use laburnumlug_mesh::{ControlContact, MeshKey};

use super::size_limits::SizeLimits;
use crate::usage::UsageConfig;

/// Name and address of another replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerReplica {
    /// Name of the replica.
    pub name: String,
    /// Address of its mesh listener.
    pub addr: SocketAddr,
}

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    pub(super) name: String,
    pub(super) folder: PathBuf,
    pub(super) key: MeshKey,
    pub(super) peers: Vec<PeerReplica>,
    pub(super) group_commit: bool,
    pub(super) snapshot_entries: u64,
    pub(super) may_bootstrap: bool,
    pub(super) contact: Option<ControlContact>,
    pub(super) is_seed: bool,
    pub(super) voters: Option<usize>,
    pub(super) usage: Option<UsageConfig>,
    pub(super) scaling: bool,
    pub(super) disk_bytes: Option<u64>,
}

/// Default number of entries between two snapshots.
const DEFAULT_SNAPSHOT_ENTRIES: u64 = 4096;

impl ReplicaConfig {
    /// Creates the configuration of a replica that has no peers.
    pub fn new(name: &str, folder: &Path, key: MeshKey) -> ReplicaConfig {
        ReplicaConfig {
            name: name.to_string(),
            folder: folder.to_path_buf(),
            key,
            peers: Vec::new(),
            group_commit: true,
            snapshot_entries: DEFAULT_SNAPSHOT_ENTRIES,
            may_bootstrap: true,
            contact: None,
            is_seed: true,
            voters: None,
            usage: None,
            scaling: false,
            disk_bytes: None,
        }
    }

    /// Sets the other replicas of the cluster.
    pub fn peers(mut self, peers: Vec<PeerReplica>) -> ReplicaConfig {
        self.peers = peers;
        self
    }

    /// Sets whether one sync may cover several journal records; without it, each record is synced on its own.
    pub fn group_commit(mut self, enabled: bool) -> ReplicaConfig {
        self.group_commit = enabled;
        self
    }

    /// Sets whether this replica may bootstrap a cluster when no replica has data.
    pub fn may_bootstrap(mut self, allowed: bool) -> ReplicaConfig {
        self.may_bootstrap = allowed;
        self
    }

    /// Sets how other control processes reach this one, if the peers are seeds: the first control processes that this one asks
    /// for others, of which some may hold no replica.
    pub fn contact(mut self, contact: ControlContact) -> ReplicaConfig {
        self.contact = Some(contact);
        self
    }

    /// Sets whether the settings of all processes name this replica as a seed.
    ///
    /// The seeds that hold a replica bootstrap a cluster; another replica does only if none of them holds one.
    pub fn is_seed(mut self, is_seed: bool) -> ReplicaConfig {
        self.is_seed = is_seed;
        self
    }

    /// Sets the number of voters; further replicas are learners on standby and replace unresponsive voters.
    ///
    /// The maximum and the default are 7. While there are fewer voters than this number, unresponsive voters are not
    /// removed. Commands are logged only while a majority of the voters is one of this number, too.
    pub fn voters(mut self, voters: usize) -> ReplicaConfig {
        self.voters = Some(voters);
        self
    }

    /// Sets the windows whose usage is reported; without them, no usage is collected or logged.
    pub fn usage(mut self, usage: UsageConfig) -> ReplicaConfig {
        self.usage = Some(usage);
        self
    }

    /// Sets whether targets are ordered; without it, no orders are logged.
    pub fn scaling(mut self, enabled: bool) -> ReplicaConfig {
        self.scaling = enabled;
        self
    }

    /// Sets the size of the disk, to which the sizes of the log and of single commands are limited.
    ///
    /// Without it, a command may have 8 MiB and a snapshot is taken after 16 MiB of log records.
    pub fn disk_bytes(mut self, bytes: u64) -> ReplicaConfig {
        self.disk_bytes = Some(bytes);
        self
    }

    pub(super) fn size_limits(&self) -> SizeLimits {
        SizeLimits::for_disk(self.disk_bytes)
    }

    /// Sets the number of entries between two snapshots.
    pub fn snapshot_entries(mut self, entries: u64) -> ReplicaConfig {
        self.snapshot_entries = entries;
        self
    }
}
