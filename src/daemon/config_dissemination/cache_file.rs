//! Caches the last configuration in force in the data folder, for a start without a quorum.

use {
    crate::inventory::ActiveConfig,
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The name of the cache file in the data folder.
const FILE_NAME: &str = "config-cache.json";
/// The name of the cache file while it is being written; it is renamed once it is synced.
const PARTIAL_NAME: &str = "config-cache.partial";

/// The cache file of one data folder.
#[derive(Clone, Debug)]
pub struct CacheFile {
    folder: PathBuf,
}

impl CacheFile {
    /// The cache file of `folder`; nothing is read or written yet.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    /// The stored configuration; `None` if the file is missing or damaged. The digest in the first
    /// line detects corruption that leaves the JSON valid, such as a changed byte inside a name, so
    /// that a daemon never applies a rule that no operator wrote.
    pub fn load(&self) -> Option<ActiveConfig> {
        let path = self.folder.join(FILE_NAME);
        let text = fs::read_to_string(&path).ok()?;
        let verified = text.split_once('\n').filter(|(digest, body)| *digest == digest_of(body));
        let config = verified.and_then(|(_, body)| serde_json::from_str(body).ok());
        if config.is_none() {
            log::warn!(
                "{} is damaged and ignored; the next configuration replaces it",
                path.display()
            );
        }
        config
    }

    /// Stores `config` durably: it is synced to the disk when this returns.
    ///
    /// # Errors
    /// When the folder cannot be written or synced; the previous file is then unchanged.
    pub fn store(&self, config: &ActiveConfig) -> io::Result<()> {
        let body = serde_json::to_string(config)?;
        let partial = self.folder.join(PARTIAL_NAME);
        let mut file = File::create(&partial)?;
        writeln!(file, "{}", digest_of(&body))?;
        file.write_all(body.as_bytes())?;
        file.sync_all()?;
        fs::rename(&partial, self.folder.join(FILE_NAME))?;
        sync_folder(&self.folder)
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn digest_of(body: &str) -> String {
    format!("{:016x}", xxh3_64(body.as_bytes()))
}
