//! Durable replacement and removal of files: the change survives a power loss.

use std::io;
use std::path::{Path, PathBuf};

use compio::BufResult;
use compio::fs::{File, OpenOptions};
use compio::io::AsyncWriteAtExt;

/// Replaces a file atomically: after a crash it holds either the old bytes or the new ones.
pub(super) async fn replace(path: &Path, bytes: Vec<u8>) -> io::Result<()> {
    let temporary = temporary_path(path);
    if let Err(err) = write_synced(&temporary, bytes).await {
        // What was written of it takes space that another file may need.
        let _ = compio::fs::remove_file(&temporary).await;
        return Err(err);
    }
    compio::fs::rename(&temporary, path).await?;
    sync_folder(path).await
}

async fn write_synced(path: &Path, bytes: Vec<u8>) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(path)
        .await?;
    let BufResult(result, _) = file.write_all_at(bytes, 0).await;
    result?;
    file.sync_all().await
}

/// Returns the path of the file that is written before it replaces the one at `path`.
pub(super) fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension("new")
}

/// Reads a whole file; returns `None` if it does not exist.
pub(super) async fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match compio::fs::read(path).await {
        Ok(bytes) => Ok(Some(bytes)),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}

/// Removes a file if it exists.
pub(super) async fn remove(path: &Path) -> io::Result<()> {
    match compio::fs::remove_file(path).await {
        Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
        _ => {}
    }
    sync_folder(path).await
}

/// Syncs the parent folder of `path`.
pub(super) async fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    File::open(folder).await?.sync_all().await
}
