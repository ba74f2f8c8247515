//! The thread that writes a replica's folder and reopens it after a disk failure.

use {
    crate::{
        control::{PersistBatch, SavedState},
        ids::Incarnation,
        observe::memory::HeldAmount,
        storage::{FileSystem, LogStore, OpenedStore, StorageError},
    },
    std::{
        hash::{BuildHasher, RandomState},
        io, thread,
        time::{Duration, SystemTime},
    },
    tokio::sync::{OwnedSemaphorePermit, mpsc},
};

/// The maximum number of batches in one sync, which bounds the queue of reports to the replica.
const MAX_BATCHES_PER_SYNC: usize = 256;

/// Opens a replica's folder, at the start and after each disk failure.
pub type FolderOpener = Box<dyn FnMut() -> io::Result<Box<dyn FileSystem>> + Send>;

/// The number of the replica's generation within one process, from 0. A generation ends when the
/// disk fails.
pub(super) type ReplicaGeneration = u64;

/// A batch with the generation that created it. Batches that were queued when the disk failed must
/// not be written over the state from which the next generation starts.
pub(super) struct GenerationBatch {
    pub generation: ReplicaGeneration,
    pub batch: PersistBatch,
    /// The share of [`BATCH_BYTES`](super::BATCH_BYTES), released when the batch is written.
    pub permit: OwnedSemaphorePermit,
    /// The same bytes, for the report of the memory.
    pub held: HeldAmount,
}

/// Reports of the writer thread to the task.
pub(super) enum WriteReport {
    /// All batches up to this number are synced.
    Synced(u64),
    /// The disk failed, or an attempt to reopen the folder did.
    Failed(String),
    /// The folder is open again for this generation, with this state.
    Opened { generation: ReplicaGeneration, state: SavedState, quarantined: Option<String> },
}

/// A replica's folder, which is reopened after disk failures.
pub(super) struct ReplicaFolder {
    opener: FolderOpener,
    reopen_after: Duration,
}

impl ReplicaFolder {
    pub(super) fn new(opener: FolderOpener, reopen_after: Duration) -> Self {
        ReplicaFolder { opener, reopen_after }
    }

    /// Opens the folder; the error's text names the remedy.
    pub(super) fn open(&mut self) -> Result<OpenedStore, String> {
        let files = (self.opener)().map_err(|error| error.to_string())?;
        LogStore::open(files, fresh_incarnation()).map_err(|error| error.to_string())
    }

    /// Writes batches until the task has ended. Blocks, so it must run on its own thread.
    pub(super) fn run(
        mut self,
        store: LogStore,
        mut queue: mpsc::Receiver<GenerationBatch>,
        reports: mpsc::Sender<WriteReport>,
    ) {
        let mut generation = 0;
        let mut store = store;
        while let Some(error) = write_generation(store, generation, &mut queue, &reports) {
            if reports.blocking_send(WriteReport::Failed(error.to_string())).is_err() {
                return;
            }
            generation += 1;
            let Some(opened) = self.reopen(&mut queue, &reports) else { return };
            store = opened.store;
            let (state, quarantined) = (opened.state, opened.quarantined);
            if reports
                .blocking_send(WriteReport::Opened { generation, state, quarantined })
                .is_err()
            {
                return;
            }
        }
    }

    /// Retries until the folder can be opened; `None` if the task has ended.
    ///
    /// Queued batches belong to the generation that ended and are dropped immediately. Otherwise a
    /// task that waits for space in the queue would receive the failure only when the disk works
    /// again, and would report itself as the leader until then.
    fn reopen(
        &mut self,
        queue: &mut mpsc::Receiver<GenerationBatch>,
        reports: &mpsc::Sender<WriteReport>,
    ) -> Option<OpenedStore> {
        loop {
            while queue.try_recv().is_ok() {}
            thread::sleep(self.reopen_after);
            match self.open() {
                Ok(opened) => return Some(opened),
                Err(reason) => reports.blocking_send(WriteReport::Failed(reason)).ok()?,
            }
        }
    }
}

/// Writes the batches of one generation until a write fails; `None` if the task has ended. Batches
/// that wait are written together. The store is closed at the end, which unlocks the folder.
fn write_generation(
    mut store: LogStore,
    generation: ReplicaGeneration,
    queue: &mut mpsc::Receiver<GenerationBatch>,
    reports: &mpsc::Sender<WriteReport>,
) -> Option<StorageError> {
    while let Some(first) = queue.blocking_recv() {
        if first.generation != generation {
            continue;
        }
        let PersistBatch { mut number, mut writes } = first.batch;
        let mut permit = first.permit;
        let mut held = vec![first.held];
        for _ in 1..MAX_BATCHES_PER_SYNC {
            let Ok(next) = queue.try_recv() else { break };
            number = next.batch.number;
            writes.extend(next.batch.writes);
            permit.merge(next.permit);
            held.push(next.held);
        }
        if let Err(error) = store.append(writes) {
            return Some(error);
        }
        // The permit is released before the report, since the task receives no reports while it
        // waits for space.
        drop((permit, held));
        if reports.blocking_send(WriteReport::Synced(number)).is_err() {
            return None;
        }
    }
    None
}

/// A number that is unique to a newly created folder: the time in milliseconds, and twenty random
/// bits for folders that are created in the same millisecond or after the clock was set back.
fn fresh_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    (millis << 20) | (RandomState::new().hash_one(std::process::id()) >> 44)
}
