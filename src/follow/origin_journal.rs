//! Keeps the origins of streams and the software versions of services on the disk of a control VM.
//!
//! All VMs may lose power while servers of several versions serve. Callers then resume streams that no
//! running process has heard of. The journal has those that were reported until a moment before. What it
//! contains counts as reported when it is read: an origin never changes, so its age does not matter, and
//! the clock may have been set meanwhile.

use {
    super::stream_origins::OriginReport,
    crate::{
        policy::software_history::ServiceRecord,
        storage::{
            FileSystem, LogFile,
            frame::{FrameRead, encode_frame, read_frame},
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        io,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Version of the file format; files of other versions are ignored.
const FORMAT_VERSION: u32 = 1;
const FILE_PREFIX: &str = "origins-";
const NEW_SUFFIX: &str = ".new";
/// Maximum size of a file that is appended to, several times that of a full table.
const MAX_FILE_BYTES: usize = 8 << 20;

/// What is known at one moment of streams and of the versions of services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The origins of streams.
    pub streams: Vec<OriginReport>,
    /// The versions of all services; empty if they are not part of this batch.
    pub services: Vec<ServiceRecord>,
}

impl JournalBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.services.is_empty()
    }
}

#[derive(Serialize, Deserialize)]
struct JournalFrame {
    version: u32,
    /// When the frame was written.
    unix_ms: u64,
    batch: JournalBatch,
}

/// What a journal contained when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct JournalContent {
    /// All streams, in the order in which they were written.
    pub streams: Vec<OriginReport>,
    /// The last versions of services, and how long ago they were written. `None` if there are none, or if
    /// the clock has been set back since.
    pub services: Option<(Duration, Vec<ServiceRecord>)>,
}

/// The journal in an open folder.
pub struct OriginJournal {
    files: Box<dyn FileSystem>,
    /// `None` after an error: the content of the file is undefined from then on.
    log: Option<Box<dyn LogFile>>,
    /// Number of the present file; only grows.
    generation: u64,
    bytes: usize,
}

impl OriginJournal {
    /// Reads the files of a folder. Nothing can be appended before [`Self::rewrite`].
    ///
    /// # Errors
    /// Returns errors of the file system.
    pub fn open(files: Box<dyn FileSystem>, now: SystemTime) -> io::Result<(Self, JournalContent)> {
        let mut content = JournalContent::default();
        let mut generation = 0;
        for name in journal_files(files.as_ref())? {
            let Some(number) = generation_of(&name) else { continue };
            generation = generation.max(number);
            read_content(&files.read(&name)?, now, &mut content);
        }
        Ok((OriginJournal { files, log: None, generation, bytes: 0 }, content))
    }

    /// Whether the journal has to be rewritten before a batch can be appended.
    pub fn needs_rewrite(&self) -> bool {
        self.log.is_none() || self.bytes >= MAX_FILE_BYTES
    }

    /// Appends and syncs a batch. After an error the journal needs to be rewritten.
    ///
    /// # Errors
    /// Returns errors of the file system, and one if the journal needs to be rewritten.
    pub fn append(&mut self, now: SystemTime, batch: JournalBatch) -> io::Result<()> {
        let Some(mut log) = self.log.take() else {
            return Err(io::Error::other("the journal has no file; rewrite it first"));
        };
        let frame = encode(now, batch);
        log.append(&frame)?;
        log.sync()?;
        self.bytes += frame.len();
        self.log = Some(log);
        Ok(())
    }

    /// Replaces the files by one that contains `batch` alone, which is on the disk before they are removed.
    ///
    /// # Errors
    /// Returns errors of the file system.
    pub fn rewrite(&mut self, now: SystemTime, batch: JournalBatch) -> io::Result<()> {
        self.log = None;
        self.generation += 1;
        let name = format!("{FILE_PREFIX}{:016x}", self.generation);
        let temporary = format!("{name}{NEW_SUFFIX}");
        let frame = encode(now, batch);
        let mut log = self.files.create(&temporary)?;
        log.append(&frame)?;
        log.sync()?;
        self.files.rename(&temporary, &name)?;
        for other in journal_files(self.files.as_ref())?.iter().filter(|other| **other != name) {
            self.files.remove(other)?;
        }
        (self.log, self.bytes) = (Some(log), frame.len());
        Ok(())
    }
}

fn encode(now: SystemTime, batch: JournalBatch) -> Vec<u8> {
    let unix_ms = now.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let frame = JournalFrame { version: FORMAT_VERSION, unix_ms, batch };
    encode_frame(&postcard::to_stdvec(&frame).expect("a batch always encodes"))
}

fn journal_files(files: &dyn FileSystem) -> io::Result<Vec<String>> {
    let mut names = files.list()?;
    names.retain(|name| name.starts_with(FILE_PREFIX));
    Ok(names)
}

/// The number of a finished file.
fn generation_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(FILE_PREFIX)?, 16).ok()
}

/// Adds the frames of a file up to the first one that cannot be read.
fn read_content(file: &[u8], now: SystemTime, content: &mut JournalContent) {
    let mut start = 0;
    loop {
        match read_frame(file, start) {
            FrameRead::Complete { payload, next } => {
                match postcard::from_bytes::<JournalFrame>(payload) {
                    Ok(frame) if frame.version == FORMAT_VERSION => add_frame(frame, now, content),
                    Ok(_) | Err(_) => log::warn!("an unknown record of stream origins is ignored"),
                }
                start = next;
            }
            FrameRead::End | FrameRead::Torn => return,
            FrameRead::Damaged => {
                log::warn!(offset = start; "the journal of stream origins is damaged; the rest is ignored");
                return;
            }
        }
    }
}

fn add_frame(frame: JournalFrame, now: SystemTime, content: &mut JournalContent) {
    let JournalBatch { streams, services } = frame.batch;
    content.streams.extend(streams);
    if !services.is_empty() {
        let written_at = UNIX_EPOCH + Duration::from_millis(frame.unix_ms);
        content.services = now.duration_since(written_at).ok().map(|age| (age, services));
    }
}
