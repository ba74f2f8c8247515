//! The last configuration in force, kept beside the replica for a start without a quorum.

use {
    crate::inventory::ActiveConfig,
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The file's name in the data folder.
const FILE_NAME: &str = "config-cache.json";
/// A whole file under this name is not there yet.
const PARTIAL_NAME: &str = "config-cache.partial";

/// The file in one data folder.
#[derive(Clone, Debug)]
pub struct CacheFile {
    folder: PathBuf,
}

impl CacheFile {
    /// The cache file of a data folder.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    /// What was kept, if the file is there and whole. A flipped byte inside a name would still be
    /// JSON, and a daemon would serve by a rule nobody made; the digest in the first line tells.
    pub fn load(&self) -> Option<ActiveConfig> {
        let path = self.folder.join(FILE_NAME);
        let text = fs::read_to_string(&path).ok()?;
        let kept = text.split_once('\n').filter(|(digest, body)| *digest == digest_of(body));
        let config = kept.and_then(|(_, body)| serde_json::from_str(body).ok());
        if config.is_none() {
            log::warn!("{} is damaged and not used; it is written anew", path.display());
        }
        config
    }

    /// Keeps `config`; it counts once this returns.
    ///
    /// # Errors
    /// When the folder can't be written or synced; the former file is then still there.
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
