//! A replica's durable state in one folder.

use {
    crate::{
        control::entry::{DurableWrite, SavedSnapshot, SavedState},
        ids::Incarnation,
        storage::{
            files::{FileSystem, LogFile},
            frame::{FrameRead, encode_frame, read_frame},
        },
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::io,
};

/// The version of the files; another one is refused.
pub const FORMAT_VERSION: u32 = 1;
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const NEW_SUFFIX: &str = ".new";

/// Why the store cannot go on.
#[derive(Debug, Display)]
pub enum StorageError {
    /// cannot {action} in the data folder: {error}; check space, rights and the disk, then start the daemon again
    Files {
        /// What was tried.
        action: &'static str,
        /// What the file system said.
        error: io::Error,
    },
    /// the data folder has format version {found}, which this release does not read; run the release that wrote it
    UnknownVersion {
        /// The version found.
        found: u32,
    },
    /// the store has failed before and accepts nothing; start the daemon again once the disk is sound
    Stopped,
}

impl std::error::Error for StorageError {}

/// The first frame of a log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LogHeader {
    incarnation: Incarnation,
    generation: u64,
    /// Whether the generation has a snapshot file.
    has_snapshot: bool,
    /// How many writes follow in the second frame, which was synced before the file had its name.
    base_writes: u64,
}

/// What stands in a folder.
enum FolderContent {
    Nothing,
    Saved { header: LogHeader, state: SavedState },
    Damaged { reason: String },
}

/// A store and what it held.
pub struct OpenedStore {
    /// The store.
    pub store: LogStore,
    /// What it held: nothing, under a new incarnation, if the folder was empty or set aside.
    pub state: SavedState,
    /// Why files were set aside, if any were.
    pub quarantined: Option<String>,
}

/// A folder that is written to.
pub struct LogStore {
    files: Box<dyn FileSystem>,
    log: Box<dyn LogFile>,
    incarnation: Incarnation,
    /// Grows with each new generation.
    generation: u64,
    /// What the present generation adds up to, but for the bytes of its snapshot: the next
    /// generation brings its own, and holds the rest.
    state: SavedState,
    /// Set by the first failure and never cleared: what the file holds then is not known, since a
    /// failed sync may drop the pages and report success the next time.
    stopped: bool,
}

impl LogStore {
    /// Opens a folder. `fresh` is the incarnation that an empty disk gets; no disk may ever get
    /// it twice.
    ///
    /// # Errors
    /// When files cannot be read or written, or are of another release.
    pub fn open(
        files: Box<dyn FileSystem>,
        fresh: Incarnation,
    ) -> Result<OpenedStore, StorageError> {
        let mut files = files;
        let names = own_files(files.as_ref())?;
        let (generation, state, quarantined) = match read_folder(files.as_ref(), &names)? {
            FolderContent::Nothing => (0, SavedState::empty(fresh), None),
            FolderContent::Saved { header, state } => (header.generation, state, None),
            // What a damaged file still holds is not guessed: a log with a hole could make this
            // replica vote as if it had never acknowledged what is gone. As a new incarnation it
            // has no vote and gets everything from the others.
            FolderContent::Damaged { reason } => {
                files.quarantine(&names).map_err(failed("set files aside"))?;
                (0, SavedState::empty(fresh), Some(reason))
            }
        };
        // The files found are never written to again: a new generation is a synced copy, so what
        // was cut off, or never reached the disk though it could be read, does not matter.
        let (log, generation) = write_generation(files.as_mut(), generation + 1, &state)?;
        let incarnation = state.incarnation;
        let mut kept = state.clone();
        forget_snapshot(&mut kept);
        let store = LogStore { files, log, incarnation, generation, state: kept, stopped: false };
        Ok(OpenedStore { store, state, quarantined })
    }

    /// The incarnation of the disk.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Writes changes and syncs them. When it returns, they survive a crash.
    ///
    /// # Errors
    /// When anything fails; then nothing of it may be acknowledged, and the store is stopped.
    pub fn append(&mut self, writes: Vec<DurableWrite>) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let result = self.append_writes(writes);
        self.stopped = result.is_err();
        result
    }

    fn append_writes(&mut self, writes: Vec<DurableWrite>) -> Result<(), StorageError> {
        let whole = writes.iter().any(|write| matches!(write, DurableWrite::Snapshot(_)));
        if !whole {
            let payload = postcard::to_stdvec(&writes).expect("writes always encode");
            self.log.append(&encode_frame(&payload)).map_err(failed("write the log"))?;
            self.log.sync().map_err(failed("sync the log"))?;
        }
        for write in writes {
            assert!(self.state.apply(write), "a replica writes its log without gaps");
        }
        if whole {
            let next = self.generation + 1;
            let (log, generation) = write_generation(self.files.as_mut(), next, &self.state)?;
            (self.log, self.generation) = (log, generation);
            forget_snapshot(&mut self.state);
        }
        Ok(())
    }
}

fn forget_snapshot(state: &mut SavedState) {
    if let Some(snapshot) = &mut state.snapshot {
        snapshot.data = Vec::new();
    }
}

fn failed(action: &'static str) -> impl Fn(io::Error) -> StorageError {
    move |error| StorageError::Files { action, error }
}

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation:016x}")
}

/// The files that a store may have written; others in the folder are not touched.
fn own_files(files: &dyn FileSystem) -> Result<Vec<String>, StorageError> {
    let mut names = files.list().map_err(failed("list files"))?;
    names.retain(|name| name.starts_with(LOG_PREFIX) || name.starts_with(SNAPSHOT_PREFIX));
    Ok(names)
}

/// Writes a generation whole, then removes the others. The log gets its name last: until then the
/// generation before it stands.
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
    remove_others(files, generation)?;
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

fn write_named(
    files: &mut dyn FileSystem,
    name: &str,
    content: &[u8],
) -> Result<Box<dyn LogFile>, StorageError> {
    let unfinished = format!("{name}{NEW_SUFFIX}");
    let mut file = files.create(&unfinished).map_err(failed("create a file"))?;
    file.append(content).map_err(failed("write a file"))?;
    file.sync().map_err(failed("sync a file"))?;
    files.rename(&unfinished, name).map_err(failed("rename a file"))?;
    Ok(file)
}

fn remove_others(files: &mut dyn FileSystem, generation: u64) -> Result<(), StorageError> {
    let keep = [log_name(generation), snapshot_name(generation)];
    for name in own_files(files)? {
        if !keep.contains(&name) {
            files.remove(&name).map_err(failed("remove a file"))?;
        }
    }
    Ok(())
}

fn read_folder(files: &dyn FileSystem, names: &[String]) -> Result<FolderContent, StorageError> {
    let is_whole = |name: &&String| !name.ends_with(NEW_SUFFIX);
    let is_log = |name: &&String| is_whole(name) && name.starts_with(LOG_PREFIX);
    let Some(name) = names.iter().rfind(is_log) else {
        // A first start that was cut off leaves nothing but unfinished files. A snapshot without
        // a log means that the log is gone.
        let lost = names.iter().find(is_whole);
        return Ok(lost.map_or(FolderContent::Nothing, |name| FolderContent::Damaged {
            reason: format!("{name} has no log beside it"),
        }));
    };
    let file = files.read(name).map_err(failed("read the log"))?;
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
    if version != FORMAT_VERSION {
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
        Err(error) => return Err(failed("read the snapshot")(error)),
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
    let mut place = start;
    let mut frames = 0;
    loop {
        let (payload, next) = match read_frame(file, place) {
            FrameRead::Complete { payload, next } => (payload, next),
            // The first frame was synced before the file had its name, so it cannot be torn.
            FrameRead::End | FrameRead::Torn if frames > 0 => return Ok(()),
            _ => return Err(format!("the frame at byte {place} is damaged")),
        };
        let writes: Vec<DurableWrite> = postcard::from_bytes(payload)
            .map_err(|error| format!("the frame at byte {place} does not decode: {error}"))?;
        if frames == 0 && writes.len() as u64 != header.base_writes {
            return Err("the log does not begin with its base".to_owned());
        }
        for write in writes {
            if !state.apply(write) {
                return Err(format!("the frame at byte {place} leaves a gap"));
            }
        }
        (place, frames) = (next, frames + 1);
    }
}
