//! Notices that a settings file has changed, with or without a signal.
//!
//! Whoever replaces the file may not be able to signal, or the signal may come while the process is
//! frozen. The kernel's notices of changes are not to be had on every system, so the file is read.

use {
    std::{fs, path::PathBuf, time::Duration},
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// Between two readings: what a settings file changes (where control VMs are) is of use within
/// seconds, and a reading costs a few system calls.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A file that is watched.
pub struct FileWatch {
    path: PathBuf,
    /// The digest of what it held when it was last looked at; `None` while it cannot be read.
    seen: Option<u64>,
}

impl FileWatch {
    /// Watches the file from what it holds now.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let seen = digest(&path);
        FileWatch { path, seen }
    }

    /// Waits until the file holds something else than when it was last looked at. Cancel safe.
    ///
    /// A file that cannot be read is no change: whoever replaces it may be half way.
    pub async fn changed(&mut self) {
        loop {
            sleep(LOOK_EVERY).await;
            if self.check() {
                return;
            }
        }
    }

    /// Looks at the file now; true if it has changed.
    pub fn check(&mut self) -> bool {
        let now = digest(&self.path);
        let changed = now.is_some() && now != self.seen;
        if changed {
            self.seen = now;
        }
        changed
    }
}

fn digest(path: &PathBuf) -> Option<u64> {
    fs::read(path)
        .inspect_err(|error| log::debug!(path:% = path.display(), error:% = error; "not read"))
        .ok()
        .map(|bytes| xxh3_64(&bytes))
}
