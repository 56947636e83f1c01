//! Backups of data folders that are reset.

use std::io;
use std::path::Path;

/// Start of the names of the folders that hold the backups.
const BACKUP_PREFIX: &str = "set-aside-";

/// Files of which a backup is kept when the folder is reset.
const BACKUP_FILES: [&str; 3] = ["meta", "log", "snapshot"];

/// Copies the files of a folder to a backup folder within it, unless they take more than `max_bytes`.
///
/// Earlier backups are removed, oldest first, until all together take at most `max_bytes`.
pub(super) fn back_up_files(folder: &Path, max_bytes: u64) -> io::Result<()> {
    let lengths =
        BACKUP_FILES.map(|name| std::fs::metadata(folder.join(name)).map_or(0, |m| m.len()));
    let bytes: u64 = lengths.iter().sum();
    if bytes > max_bytes {
        log::warn!("not backing up the data folder: its {bytes} bytes would fill the disk");
        return Ok(());
    }
    if bytes == 0 {
        return Ok(());
    }
    remove_old_backups(folder, max_bytes - bytes)?;
    let name = format!("{BACKUP_PREFIX}{:016x}", rand::random::<u64>());
    let backup = folder.join(name);
    let copied = copy_files(folder, &backup);
    if copied.is_err() {
        // What was copied takes space that the files of the replica may need.
        let _ = std::fs::remove_dir_all(&backup);
    }
    copied
}

fn copy_files(folder: &Path, backup: &Path) -> io::Result<()> {
    std::fs::create_dir_all(backup)?;
    for name in BACKUP_FILES {
        let file = folder.join(name);
        match std::fs::metadata(&file) {
            Ok(data) if data.len() > 0 => {
                std::fs::copy(&file, backup.join(name))?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// Removes the oldest backups of a folder until the others take at most `max_bytes`.
fn remove_old_backups(folder: &Path, max_bytes: u64) -> io::Result<()> {
    let mut backups = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        if name.to_string_lossy().starts_with(BACKUP_PREFIX) {
            let modified = entry.metadata()?.modified()?;
            backups.push((modified, folder_bytes(&entry.path())?, entry.path()));
        }
    }
    backups.sort();
    let mut total: u64 = backups.iter().map(|(_, bytes, _)| bytes).sum();
    for (_, bytes, path) in backups {
        if total <= max_bytes {
            break;
        }
        log::warn!(bytes = bytes; "removing an earlier backup of the data folder to bound their size");
        std::fs::remove_dir_all(path)?;
        total -= bytes;
    }
    Ok(())
}

/// Returns the total length of the files in a folder.
fn folder_bytes(folder: &Path) -> io::Result<u64> {
    let entries = std::fs::read_dir(folder)?;
    entries.map(|entry| Ok(entry?.metadata()?.len())).sum()
}
