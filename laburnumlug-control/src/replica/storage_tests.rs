//! Size of a replica's files, with a single replica and real files.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use laburnumlug::Verdict;
use laburnumlug_mesh::MeshKey;

use super::backup::back_up_files;
use super::{Replica, ReplicaConfig};
use crate::command::{Command, FleetChange};

/// Size of the disk that the replicas are told of, in bytes.
const DISK_BYTES: u64 = 4_000_000;

/// Folder that is removed when the test ends.
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn new() -> Folder {
        let name = format!("laburnumlug-storage-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder { path }
    }

    /// Returns the total length of the files in the folder.
    fn bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.path).unwrap();
        files
            .map(|f| f.unwrap().metadata().map_or(0, |m| m.len()))
            .sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

fn config(folder: &Path) -> ReplicaConfig {
    ReplicaConfig::new("control-1", folder, MeshKey::new("key"))
}

/// Returns a change of about `bytes` bytes, which is logged and then refused, as its document is not JSON.
fn large_change(bytes: usize) -> Command {
    Command::Fleet(FleetChange::new("anna", 0, &"x".repeat(bytes)))
}

async fn submit_large_changes(replica: &Replica, count: usize, bytes: usize) {
    for _ in 0..count {
        let change = large_change(bytes);
        replica.submit(SystemTime::now(), change).await.unwrap();
    }
}

/// Guards against a journal that fills the disk, as snapshots were taken by number of entries only.
#[test]
fn folder_bounded_with_large_changes() {
    run(async {
        let folder = Folder::new();
        let replica = Replica::open(config(&folder.path).disk_bytes(DISK_BYTES))
            .await
            .unwrap();
        for _ in 0..200 {
            submit_large_changes(&replica, 1, 40_000).await;
            let bytes = folder.bytes();
            assert!(bytes < DISK_BYTES / 2, "the files have {bytes} bytes");
        }
    });
}

/// Guards against a replica that keeps a journal which already fills the disk, or files of an interrupted write.
#[test]
fn folder_already_large_at_start() {
    run(async {
        let folder = Folder::new();
        let replica = Replica::open(config(&folder.path)).await.unwrap();
        submit_large_changes(&replica, 50, 40_000).await;
        drop(replica);
        let temporary = folder.path.join("snapshot.new");
        std::fs::write(&temporary, vec![0; 1_000_000]).unwrap();
        let copy = Folder::new();
        for name in ["log", "meta", "snapshot.new"] {
            std::fs::copy(folder.path.join(name), copy.path.join(name)).unwrap();
        }
        let replica = Replica::open(config(&copy.path).disk_bytes(DISK_BYTES))
            .await
            .unwrap();
        submit_large_changes(&replica, 2, 10).await;
        let bytes = copy.bytes();
        assert!(bytes < DISK_BYTES / 8, "the files have {bytes} bytes");
    });
}

/// Guards against a change that is logged although its snapshots would not fit on the disk.
#[test]
fn submit_larger_than_share_of_disk() {
    run(async {
        let folder = Folder::new();
        let replica = Replica::open(config(&folder.path).disk_bytes(DISK_BYTES))
            .await
            .unwrap();
        let before = folder.bytes();
        let change = large_change(DISK_BYTES as usize / 4);
        let err = replica.submit(SystemTime::now(), change).await.unwrap_err();
        assert!(err.is_too_large(), "{err}");
        assert_eq!(err.verdict(), Verdict::NotRun);
        assert_eq!(folder.bytes(), before);
        submit_large_changes(&replica, 1, 40_000).await;
    });
}

/// Returns the total length of the backups in a folder, and their number.
fn backups(folder: &Folder) -> (u64, usize) {
    let entries = std::fs::read_dir(&folder.path).unwrap();
    let folders = entries.map(|entry| entry.unwrap().path());
    let backups: Vec<Folder> = folders
        .filter(|path| path.is_dir())
        .map(|path| Folder { path })
        .collect();
    let bytes = backups.iter().map(Folder::bytes).sum();
    let count = backups.len();
    backups.into_iter().for_each(std::mem::forget);
    (bytes, count)
}

/// Guards against backups that fill the disk, as each reset of the folder adds one and none is removed.
#[test]
fn back_up_files_repeated() {
    let folder = Folder::new();
    let max_bytes = 100_000;
    for round in 0..20 {
        std::fs::write(folder.path.join("log"), vec![round; 30_000]).unwrap();
        back_up_files(&folder.path, max_bytes).unwrap();
        let (bytes, _) = backups(&folder);
        assert!(bytes <= max_bytes, "the backups have {bytes} bytes");
    }
    let (_, count) = backups(&folder);
    assert_eq!(count, 3, "earlier backups are kept where there is room");
}

/// Guards against a part of a backup that is left behind by a full disk and takes the space of the next attempt.
#[test]
fn back_up_files_failed() {
    let folder = Folder::new();
    std::fs::write(folder.path.join("meta"), [0; 100]).unwrap();
    // A folder in place of a file stands in for a file that cannot be copied.
    std::fs::create_dir(folder.path.join("log")).unwrap();
    std::fs::write(folder.path.join("log").join("file"), [0; 100]).unwrap();
    assert!(back_up_files(&folder.path, 1_000_000).is_err());
    std::fs::remove_dir_all(folder.path.join("log")).unwrap();
    assert_eq!(backups(&folder), (0, 0));
}
