//! Detects changes of a settings file by polling.
//!
//! A program that replaces the file may not be able to send a signal, or the signal may arrive while
//! the process is paused. The kernel's change notifications are not available on every system.

use {
    std::{fs, path::PathBuf, time::Duration},
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// Interval between two reads. A change of the settings (the addresses of control VMs) is needed
/// within seconds, and a read costs a few system calls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches one file for changes of its content.
pub struct FileWatch {
    path: PathBuf,
    /// The digest of the content at the last successful read; `None` before the first.
    last_digest: Option<u64>,
}

impl FileWatch {
    /// Starts from the present content of the file.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let last_digest = digest(&path);
        FileWatch { path, last_digest }
    }

    /// Waits until the content differs from that of the last check. Cancel safe.
    ///
    /// A file that cannot be read does not count as changed, since it may be in the middle of being
    /// replaced.
    pub async fn changed(&mut self) {
        loop {
            sleep(POLL_INTERVAL).await;
            if self.check() {
                return;
            }
        }
    }

    /// Reads the file now; true if its content differs from that of the last check.
    pub fn check(&mut self) -> bool {
        let now = digest(&self.path);
        let changed = now.is_some() && now != self.last_digest;
        if changed {
            self.last_digest = now;
        }
        changed
    }
}

fn digest(path: &PathBuf) -> Option<u64> {
    fs::read(path)
        .inspect_err(|error| log::debug!(path:% = path.display(), error:% = error; "the settings file cannot be read"))
        .ok()
        .map(|bytes| xxh3_64(&bytes))
}
