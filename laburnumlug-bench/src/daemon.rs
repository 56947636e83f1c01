//! Daemon processes, their addresses and their temporary files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error::Error;

/// First listening port, below the range of ephemeral ports.
const FIRST_PORT: u16 = 10_000;

/// Returns an address that no other process on this machine uses.
///
/// Each benchmark process has its own loopback address, derived from its process id.
pub(crate) fn unused_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    // Process ids stay below 2^22 on Linux, so this bit is free; setting it avoids 127.0.0.1.
    SocketAddr::from(([127, a | 0x80, b, c], port))
}

/// Daemon process, killed when dropped.
pub(crate) struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts `laburnumlugd ROLE --settings FILE`.
    pub(crate) fn start(program: &Path, role: &str, settings: &Path) -> Result<Daemon, Error> {
        let child = Command::new(program)
            .args([role, "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|err| Error::new(&format!("cannot start {}", program.display()), err))?;
        Ok(Daemon { child })
    }

    /// Kills the process and waits for it to exit.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary directory, removed when dropped.
pub(crate) struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates an empty directory.
    pub(crate) fn create() -> Result<TempDir, Error> {
        let name = format!("laburnumlug-bench-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .map_err(|err| Error::new(&format!("cannot create {}", path.display()), err))?;
        Ok(TempDir { path })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.path.join(name);
        std::fs::write(&path, text)
            .map_err(|err| Error::new(&format!("cannot write {}", path.display()), err))?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
