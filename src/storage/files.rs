//! The files of one folder behind a small trait, so that tests can make them fail.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// Where files that cannot be trusted are kept for a person to look at.
pub const QUARANTINE: &str = "quarantine";
const LOCK: &str = "lock";

/// A file that only grows.
pub trait LogFile: Send {
    /// Adds bytes at the end; they count only after [`LogFile::sync`].
    ///
    /// # Errors
    /// As the file system gives them.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything added so far survive a crash.
    ///
    /// # Errors
    /// As the file system gives them. After one nothing is known about the file.
    fn sync(&mut self) -> io::Result<()>;
}

/// The files of one folder, by name.
pub trait FileSystem: Send {
    /// The names of the files, in order.
    ///
    /// # Errors
    /// As the file system gives them.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole of a file.
    ///
    /// # Errors
    /// As the file system gives them.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Begins a file anew.
    ///
    /// # Errors
    /// As the file system gives them.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn LogFile>>;

    /// Gives a file another name, in place of any that had it, and syncs the folder.
    ///
    /// # Errors
    /// As the file system gives them.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// As the file system gives them.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Moves files out of use under [`QUARANTINE`], where nothing reads them again, and syncs.
    ///
    /// # Errors
    /// As the file system gives them.
    fn quarantine(&mut self, names: &[String]) -> io::Result<()>;
}

/// The files of a folder on disk, locked for this process.
#[derive(Debug)]
pub struct DiskFiles {
    folder: PathBuf,
    /// Held for as long as the folder is in use; two processes on one log would ruin it.
    _lock: File,
}

impl DiskFiles {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    /// When it cannot be created, or another process uses it.
    pub fn open(folder: impl AsRef<Path>) -> io::Result<Self> {
        let folder = folder.as_ref().to_path_buf();
        fs::create_dir_all(&folder)?;
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            sync_folder(parent)?;
        }
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(DiskFiles { folder, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                "another process uses it; stop that one or give this one its own folder",
            )),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl FileSystem for DiskFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.file_type()?.is_file() && name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn LogFile>> {
        Ok(Box::new(File::create(self.folder.join(name))?))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))?;
        sync_folder(&self.folder)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn quarantine(&mut self, names: &[String]) -> io::Result<()> {
        let quarantine = self.folder.join(QUARANTINE);
        fs::create_dir_all(&quarantine)?;
        let number = fs::read_dir(&quarantine)?.count() + 1;
        let target = quarantine.join(format!("{number:04}"));
        fs::create_dir_all(&target)?;
        for name in names {
            fs::rename(self.folder.join(name), target.join(name))?;
        }
        sync_folder(&target)?;
        sync_folder(&quarantine)?;
        sync_folder(&self.folder)
    }
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
