//! Size limits of the log and of its commands.

/// Share of the disk, as a divisor, that one command and the uncommitted entries may each take.
///
/// The journal, the last snapshot, and the new snapshot or journal that replaces one of them then fit on the disk
/// together; `docs/CONTROL.md` has the sum.
const DISK_SHARE_DIVISOR: u64 = 8;

/// Maximum encoded size of a command, however large the disk is.
const MAX_COMMAND_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum size of the journal records between two snapshots, however large the disk is.
const MAX_SNAPSHOT_INTERVAL_BYTES: u64 = 16 * 1024 * 1024;

/// Divisor of that share that gives the size of the journal records between two snapshots.
const SNAPSHOT_INTERVAL_DIVISOR: u64 = 2;

/// Maximum total size of uncommitted entries, however large the disk is.
const MAX_UNCOMMITTED_BYTES: u64 = 64 * 1024 * 1024;

/// Size limits of the log and of its commands, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SizeLimits {
    /// Maximum encoded size of a command.
    pub(super) command: u64,
    /// Size of the journal records between two snapshots.
    pub(super) snapshot_interval: u64,
    /// Total size of uncommitted entries above which the leader accepts no further command.
    pub(super) uncommitted: u64,
    /// Total size of the files of which a backup is kept when the data folder is reset.
    pub(super) backup: u64,
}

impl SizeLimits {
    /// Returns the limits for a disk of `disk_bytes`, or those of a disk without a known size.
    pub(super) fn for_disk(disk_bytes: Option<u64>) -> SizeLimits {
        let share = disk_bytes.map_or(u64::MAX, |bytes| bytes / DISK_SHARE_DIVISOR);
        SizeLimits {
            command: share.min(MAX_COMMAND_BYTES),
            snapshot_interval: (share / SNAPSHOT_INTERVAL_DIVISOR).min(MAX_SNAPSHOT_INTERVAL_BYTES),
            uncommitted: share.min(MAX_UNCOMMITTED_BYTES),
            backup: share,
        }
    }
}
