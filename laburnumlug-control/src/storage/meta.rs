//! Persistent identity, term and vote of a replica.

use std::io;
use std::path::{Path, PathBuf};

use laburnumlug_mesh::ReplicaId;
use serde::{Deserialize, Serialize};

use super::{file, frame};
use crate::entry::Term;

pub(super) const META_FILE_NAME: &str = "meta";

/// Identity of the data folder, and the term and vote that must survive a restart.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Meta {
    pub(crate) replica: ReplicaId,
    /// Cluster to which the log belongs; `None` until the replica has joined one.
    pub(crate) cluster: Option<u64>,
    pub(crate) term: Term,
    /// Replica that received this replica's vote in `term`, or that leads `term`.
    pub(crate) voted_for: Option<ReplicaId>,
}

impl Meta {
    /// Creates the metadata of an empty folder, with a new random incarnation.
    pub(crate) fn new(name: &str) -> Meta {
        Meta {
            replica: ReplicaId {
                name: name.to_string(),
                incarnation: rand::random(),
            },
            cluster: None,
            term: 0,
            voted_for: None,
        }
    }
}

/// File in the data folder that stores a [`Meta`].
pub(crate) struct MetaFile {
    path: PathBuf,
}

impl MetaFile {
    pub(crate) fn new(folder: &Path) -> MetaFile {
        MetaFile {
            path: folder.join(META_FILE_NAME),
        }
    }

    /// Reads the file; returns `None` if it is missing or corrupt.
    pub(crate) async fn read(&self) -> io::Result<Option<Meta>> {
        let Some(bytes) = file::read(&self.path).await? else {
            return Ok(None);
        };
        Ok(frame::decode(&bytes).items.pop())
    }

    /// Replaces the file atomically and syncs it.
    pub(crate) async fn write(&self, meta: &Meta) -> io::Result<()> {
        file::replace(&self.path, frame::encode(meta)).await
    }
}
