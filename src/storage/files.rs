//! File system access to one folder, behind a trait so that tests can inject faults.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

/// Subfolder that keeps damaged files for inspection.
pub const QUARANTINE: &str = "quarantine";
const LOCK: &str = "lock";

/// Append-only file.
pub trait LogFile: Send {
    /// Appends bytes. They are durable only after [`LogFile::sync`].
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes appended so far durable.
    ///
    /// # Errors
    /// Returns errors of the file system. After an error the content of the file is undefined.
    fn sync(&mut self) -> io::Result<()>;
}

/// Files of one folder, identified by name.
pub trait FileSystem: Send {
    /// Lists the names of the files in ascending order.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a complete file.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn LogFile>>;

    /// Renames a file, replacing any file of that name, and syncs the folder.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; the folder is not synced.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Moves files to [`QUARANTINE`], where nothing reads them, and syncs the folders.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn quarantine(&mut self, names: &[String]) -> io::Result<()>;
}

/// Files of a folder on disk, locked by this process.
#[derive(Debug)]
pub struct DiskFiles {
    folder: PathBuf,
    /// Held while the folder is open, because two processes writing one log would corrupt it.
    _lock: File,
}

impl DiskFiles {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be created or is in use by another process.
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
