//! Durable storage of a replica: a write-ahead log and snapshots. A write counts only once it is
//! synced.
//!
//! A folder holds the state of one replica as a *generation*: a log file and, if there is one, the
//! snapshot that the log follows. Opening the folder and saving a snapshot each write a complete
//! new generation, sync it, and only then rename it to its final name. The previous generation is
//! removed afterwards.

pub mod files;
mod founders_record;
pub mod frame;
pub mod log_store;

pub use self::{
    files::{DiskFiles, FileSystem, LogFile},
    log_store::{LogStore, OpenedStore, StorageError},
};
