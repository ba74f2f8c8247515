//! Durable state of a replica in one folder.

use {
    crate::{
        control::entry::{DurableWrite, SavedSnapshot, SavedState},
        ids::{Incarnation, VmId},
        storage::{
            files::{FileSystem, LogFile},
            founders_record::{read_founders, write_founders},
            frame::{FrameRead, encode_frame, read_frame},
        },
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::io,
};

/// Version of the file format. It changes with the commands of the log: a release that does not know
/// a command would take the file for a damaged one and move it aside.
pub const FORMAT_VERSION: u32 = 2;
/// Oldest version that is read; other versions are refused.
const OLDEST_VERSION: u32 = 1;
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const NEW_SUFFIX: &str = ".new";

/// Error of the store.
#[derive(Debug, Display)]
pub enum StorageError {
    /// cannot {action} in the data folder: {error}; check space, rights and the disk, then start
    /// the daemon again
    Files {
        /// Operation that failed.
        action: &'static str,
        /// Error of the file system.
        error: io::Error,
    },
    /// the data folder has format version {found}, which this release does not read; run the
    /// release that wrote it
    UnknownVersion {
        /// Version of the files in the folder.
        found: u32,
    },
    /// the store has failed before and accepts nothing; restart the daemon once the disk works
    Stopped,
}

impl std::error::Error for StorageError {}

/// First frame of a log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LogHeader {
    incarnation: Incarnation,
    generation: u64,
    /// Whether the generation includes a snapshot file.
    has_snapshot: bool,
    /// Number of writes in the second frame, which was synced before the file was renamed to its
    /// final name.
    base_writes: u64,
}

/// Content of a folder.
enum FolderContent {
    Empty,
    Saved { header: LogHeader, state: SavedState },
    Damaged { reason: String },
}

/// Opened store and the state that it held.
pub struct OpenedStore {
    /// Opened store.
    pub store: LogStore,
    /// State read from the folder; empty under a new incarnation if the folder was empty or its
    /// files were quarantined.
    pub state: SavedState,
    /// Reason why files were quarantined; `None` if none were.
    pub quarantined: Option<String>,
}

/// Log and snapshots of a replica in an open folder.
pub struct LogStore {
    files: Box<dyn FileSystem>,
    log: Box<dyn LogFile>,
    incarnation: Incarnation,
    /// Number of the current generation; only grows.
    generation: u64,
    /// State stored by the current generation, without the bytes of its snapshot. A new generation
    /// is written with a new snapshot and otherwise from this state.
    state: SavedState,
    /// Set by the first error and never cleared. The content of the file is undefined from then on,
    /// because a failed sync may drop pages and report success the next time.
    stopped: bool,
}

impl LogStore {
    /// Opens a folder. An empty disk gets the incarnation `new_incarnation`, which must never have
    /// been used for a disk before.
    ///
    /// # Errors
    /// Returns an error if files cannot be read or written, or if they have the format of another
    /// release.
    pub fn open(
        files: Box<dyn FileSystem>,
        new_incarnation: Incarnation,
    ) -> Result<OpenedStore, StorageError> {
        let mut files = files;
        let names = store_files(files.as_ref())?;
        let (generation, state, quarantined) = match read_folder(files.as_ref(), &names)? {
            FolderContent::Empty => (0, SavedState::empty(new_incarnation), None),
            FolderContent::Saved { header, state } => (header.generation, state, None),
            // The remaining content of a damaged file is not used. A log with a gap could make this
            // replica vote as if it had never acknowledged the missing entries. Under a new
            // incarnation it has no vote and receives everything from the other replicas.
            FolderContent::Damaged { reason } => {
                files.quarantine(&names).map_err(files_error("quarantine files"))?;
                (0, SavedState::empty(new_incarnation), Some(reason))
            }
        };
        // Existing files are never written again. A new generation is a synced copy, so a torn
        // tail, or data that was readable but never reached the disk, has no effect.
        let (log, generation) = write_generation(files.as_mut(), generation + 1, &state)?;
        let incarnation = state.incarnation;
        let mut kept = state.clone();
        drop_snapshot_data(&mut kept);
        let store = LogStore { files, log, incarnation, generation, state: kept, stopped: false };
        Ok(OpenedStore { store, state, quarantined })
    }

    /// Incarnation of the disk.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The founders that this disk has recorded; `None` if it has not, or was damaged since.
    ///
    /// # Errors
    /// Returns an error if the record cannot be read.
    pub fn founders(&self) -> Result<Option<Vec<VmId>>, StorageError> {
        read_founders(self.files.as_ref(), self.incarnation)
    }

    /// Records the founders; they are durable when this function returns.
    ///
    /// # Errors
    /// Returns an error if the record cannot be written.
    pub fn record_founders(&mut self, founders: Vec<VmId>) -> Result<(), StorageError> {
        write_founders(self.files.as_mut(), self.incarnation, founders)
    }

    /// Writes changes and syncs them. They are durable when this function returns.
    ///
    /// # Errors
    /// Returns an error if any step fails. Then none of the changes may be acknowledged, and the
    /// store stops.
    pub fn append(&mut self, writes: Vec<DurableWrite>) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let result = self.append_writes(writes);
        self.stopped = result.is_err();
        result
    }

    fn append_writes(&mut self, writes: Vec<DurableWrite>) -> Result<(), StorageError> {
        let has_snapshot = writes.iter().any(|write| matches!(write, DurableWrite::Snapshot(_)));
        if !has_snapshot {
            let payload = postcard::to_stdvec(&writes).expect("writes always encode");
            self.log.append(&encode_frame(&payload)).map_err(files_error("write the log"))?;
            self.log.sync().map_err(files_error("sync the log"))?;
        }
        for write in writes {
            assert!(self.state.apply(write), "a replica writes its log without gaps");
        }
        if has_snapshot {
            let next = self.generation + 1;
            let (log, generation) = write_generation(self.files.as_mut(), next, &self.state)?;
            (self.log, self.generation) = (log, generation);
            drop_snapshot_data(&mut self.state);
        }
        Ok(())
    }
}

fn drop_snapshot_data(state: &mut SavedState) {
    if let Some(snapshot) = &mut state.snapshot {
        snapshot.data = Vec::new();
    }
}

pub(super) fn files_error(action: &'static str) -> impl Fn(io::Error) -> StorageError {
    move |error| StorageError::Files { action, error }
}

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation:016x}")
}

/// Names of the files written by a store; other files in the folder are not touched.
fn store_files(files: &dyn FileSystem) -> Result<Vec<String>, StorageError> {
    let mut names = files.list().map_err(files_error("list files"))?;
    names.retain(|name| name.starts_with(LOG_PREFIX) || name.starts_with(SNAPSHOT_PREFIX));
    Ok(names)
}

/// Writes a complete generation, then removes the others. The log is renamed last; until then the
/// previous generation is valid.
fn write_generation(
    files: &mut dyn FileSystem,
    generation: u64,
    state: &SavedState,
) -> Result<(Box<dyn LogFile>, u64), StorageError> {
    if let Some(snapshot) = &state.snapshot {
        let payload = postcard::to_stdvec(snapshot).expect("a snapshot always encodes");
        drop(write_named(files, &snapshot_name(generation), &encode_frame(&payload))?);
    }
    let writes = writes_of(state);
    let header = LogHeader {
        incarnation: state.incarnation,
        generation,
        has_snapshot: state.snapshot.is_some(),
        base_writes: writes.len() as u64,
    };
    let header = postcard::to_stdvec(&(FORMAT_VERSION, header)).expect("a header always encodes");
    let writes = postcard::to_stdvec(&writes).expect("writes always encode");
    let mut content = encode_frame(&header);
    content.extend(encode_frame(&writes));
    let log = write_named(files, &log_name(generation), &content)?;
    remove_other_generations(files, generation)?;
    Ok((log, generation))
}

fn writes_of(state: &SavedState) -> Vec<DurableWrite> {
    let mut writes = vec![DurableWrite::HardState(state.hard_state.clone())];
    if !state.entries.is_empty() {
        writes.push(DurableWrite::Entries(state.entries.clone()));
    }
    writes.push(DurableWrite::Commit(state.commit));
    writes
}

pub(super) fn write_named(
    files: &mut dyn FileSystem,
    name: &str,
    content: &[u8],
) -> Result<Box<dyn LogFile>, StorageError> {
    let temporary = format!("{name}{NEW_SUFFIX}");
    let mut file = files.create(&temporary).map_err(files_error("create a file"))?;
    file.append(content).map_err(files_error("write a file"))?;
    file.sync().map_err(files_error("sync a file"))?;
    files.rename(&temporary, name).map_err(files_error("rename a file"))?;
    Ok(file)
}

fn remove_other_generations(
    files: &mut dyn FileSystem,
    generation: u64,
) -> Result<(), StorageError> {
    let keep = [log_name(generation), snapshot_name(generation)];
    for name in store_files(files)? {
        if !keep.contains(&name) {
            files.remove(&name).map_err(files_error("remove a file"))?;
        }
    }
    Ok(())
}

fn read_folder(files: &dyn FileSystem, names: &[String]) -> Result<FolderContent, StorageError> {
    let is_finished = |name: &&String| !name.ends_with(NEW_SUFFIX);
    let is_log = |name: &&String| is_finished(name) && name.starts_with(LOG_PREFIX);
    let Some(name) = names.iter().rfind(is_log) else {
        // An interrupted first start leaves only unfinished files. A snapshot without a log means
        // that the log is lost.
        let lost = names.iter().find(is_finished);
        return Ok(lost.map_or(FolderContent::Empty, |name| FolderContent::Damaged {
            reason: format!("{name} has no log beside it"),
        }));
    };
    let file = files.read(name).map_err(files_error("read the log"))?;
    let content = match read_log(files, &file)? {
        Ok((header, state)) => FolderContent::Saved { header, state },
        Err(reason) => FolderContent::Damaged { reason: format!("{name}: {reason}") },
    };
    Ok(content)
}

type LogContent = Result<(LogHeader, SavedState), String>;

fn read_log(files: &dyn FileSystem, file: &[u8]) -> Result<LogContent, StorageError> {
    let FrameRead::Complete { payload, next } = read_frame(file, 0) else {
        return Ok(Err("the header is damaged".to_owned()));
    };
    let Ok((version, rest)) = postcard::take_from_bytes::<u32>(payload) else {
        return Ok(Err("the header is damaged".to_owned()));
    };
    if !(OLDEST_VERSION..=FORMAT_VERSION).contains(&version) {
        return Err(StorageError::UnknownVersion { found: version });
    }
    let Ok(header) = postcard::from_bytes::<LogHeader>(rest) else {
        return Ok(Err("the header is damaged".to_owned()));
    };
    let mut state = SavedState::empty(header.incarnation);
    if header.has_snapshot {
        let name = snapshot_name(header.generation);
        match read_snapshot(files, &name)? {
            Some(snapshot) => state.snapshot = Some(snapshot),
            None => return Ok(Err(format!("{name} is missing or damaged"))),
        }
    }
    Ok(read_writes(&header, file, next, &mut state).map(|()| (header, state)))
}

fn read_snapshot(
    files: &dyn FileSystem,
    name: &str,
) -> Result<Option<SavedSnapshot>, StorageError> {
    let file = match files.read(name) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(files_error("read the snapshot")(error)),
    };
    let snapshot = match read_frame(&file, 0) {
        FrameRead::Complete { payload, next } if next == file.len() => {
            postcard::from_bytes(payload).ok()
        }
        _ => None,
    };
    Ok(snapshot)
}

fn read_writes(
    header: &LogHeader,
    file: &[u8],
    start: usize,
    state: &mut SavedState,
) -> Result<(), String> {
    let mut offset = start;
    let mut frames = 0;
    loop {
        let (payload, next) = match read_frame(file, offset) {
            FrameRead::Complete { payload, next } => (payload, next),
            // The first frame was synced before the file was renamed, so it cannot be torn.
            FrameRead::End | FrameRead::Torn if frames > 0 => return Ok(()),
            _ => return Err(format!("the frame at byte {offset} is damaged")),
        };
        let writes: Vec<DurableWrite> = postcard::from_bytes(payload)
            .map_err(|error| format!("the frame at byte {offset} does not decode: {error}"))?;
        if frames == 0 && writes.len() as u64 != header.base_writes {
            return Err("the log does not begin with its base".to_owned());
        }
        for write in writes {
            if !state.apply(write) {
                return Err(format!("the frame at byte {offset} leaves a gap"));
            }
        }
        (offset, frames) = (next, frames + 1);
    }
}
