//! In-memory folder whose disk can be full, fail to sync, or be modified externally.
#![allow(dead_code)] // Each test file uses only some of its items.

use {
    oleandermount::storage::{FileSystem, LogFile},
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Condvar, Mutex, MutexGuard},
    },
};

type FileBytes = Arc<Mutex<Vec<u8>>>;

/// Content of the disk and its faults.
#[derive(Debug, Default)]
pub struct DiskImage {
    files: BTreeMap<String, FileBytes>,
    /// Names of the quarantined files.
    pub quarantined: Vec<String>,
    /// Free space in bytes; a write beyond it is truncated and fails.
    pub space: Option<usize>,
    pub sync_fails: bool,
    /// Blocks syncs while the gate is closed.
    pub gate: Arc<SyncGate>,
}

/// Blocks syncs, as an unresponsive disk does.
#[derive(Debug, Default)]
pub struct SyncGate {
    closed: Mutex<bool>,
    changed: Condvar,
}

impl SyncGate {
    pub fn set_closed(&self, closed: bool) {
        *self.closed.lock().expect("no test panics while it holds the gate") = closed;
        self.changed.notify_all();
    }

    fn wait_until_open(&self) {
        let closed = self.closed.lock().expect("no test panics while it holds the gate");
        drop(self.changed.wait_while(closed, |closed| *closed));
    }
}

/// Folder; all clones share the same content.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles(Arc<Mutex<DiskImage>>);

struct MemoryLog {
    image: Arc<Mutex<DiskImage>>,
    bytes: FileBytes,
}

impl MemoryFiles {
    pub fn with_files(files: &BTreeMap<String, Vec<u8>>) -> Self {
        let shared = |(name, bytes): (&String, &Vec<u8>)| {
            (name.clone(), Arc::new(Mutex::new(bytes.clone())))
        };
        let files = files.iter().map(shared).collect();
        MemoryFiles(Arc::new(Mutex::new(DiskImage { files, ..DiskImage::default() })))
    }

    pub fn image(&self) -> MutexGuard<'_, DiskImage> {
        self.0.lock().expect("no test panics while it holds the image")
    }

    pub fn content(&self) -> BTreeMap<String, Vec<u8>> {
        let image = self.image();
        image.files.iter().map(|(name, bytes)| (name.clone(), lock_bytes(bytes).clone())).collect()
    }
}

fn lock_bytes(bytes: &FileBytes) -> MutexGuard<'_, Vec<u8>> {
    bytes.lock().expect("no test panics while it holds a file")
}

impl LogFile for MemoryLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut image = self.image.lock().expect("no test panics while it holds the image");
        let fits = image.space.map_or(bytes.len(), |space| space.min(bytes.len()));
        image.space = image.space.map(|space| space - fits);
        lock_bytes(&self.bytes).extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let image = || self.image.lock().expect("no test panics while it holds the image");
        let gate = image().gate.clone();
        gate.wait_until_open();
        if image().sync_fails { Err(io::Error::other("the disk fails")) } else { Ok(()) }
    }
}

impl FileSystem for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.image().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.content().remove(name).ok_or(io::ErrorKind::NotFound.into())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn LogFile>> {
        let bytes = FileBytes::default();
        self.image().files.insert(name.to_owned(), bytes.clone());
        Ok(Box::new(MemoryLog { image: self.0.clone(), bytes }))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut image = self.image();
        let bytes = image.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        image.files.insert(to.to_owned(), bytes);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.image().files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn quarantine(&mut self, names: &[String]) -> io::Result<()> {
        let mut image = self.image();
        for name in names {
            image.files.remove(name);
            image.quarantined.push(name.clone());
        }
        Ok(())
    }
}
