//! The thread that writes a replica's folder, and opens it anew when its disk has failed.

use {
    crate::{
        control::{PersistBatch, SavedState},
        ids::Incarnation,
        storage::{FileSystem, LogStore, OpenedStore, StorageError},
    },
    std::{
        hash::{BuildHasher, RandomState},
        io, thread,
        time::{Duration, SystemTime},
    },
    tokio::sync::{OwnedSemaphorePermit, mpsc},
};

/// Batches synced at once, so that the queue of reports to the replica stays short.
const BATCHES_AT_ONCE: usize = 256;

/// Opens a replica's folder: once at the start, and again after each failure.
pub type FolderOpener = Box<dyn FnMut() -> io::Result<Box<dyn FileSystem>> + Send>;

/// Lives of the replica within one process, from 0: each ends when the disk fails.
pub(super) type ReplicaLife = u64;

/// A batch with the life that made it: what a life had queued when its disk failed must not be
/// written over what the next one begins with.
pub(super) struct LifeBatch {
    pub life: ReplicaLife,
    pub batch: PersistBatch,
    /// Its bytes of [`BATCH_BYTES`](super::BATCH_BYTES), which are free again when it is written.
    pub room: OwnedSemaphorePermit,
}

/// What the thread tells the task.
pub(super) enum WriteReport {
    /// All batches up to this number are synced.
    Synced(u64),
    /// The disk failed, or the folder cannot be opened yet.
    Failed(String),
    /// The folder is open again for this life, and holds this.
    Opened { life: ReplicaLife, state: SavedState, set_aside: Option<String> },
}

/// A replica's folder.
pub(super) struct WatchedFolder {
    opener: FolderOpener,
    reopen_after: Duration,
}

impl WatchedFolder {
    pub(super) fn new(opener: FolderOpener, reopen_after: Duration) -> Self {
        WatchedFolder { opener, reopen_after }
    }

    /// Opens the folder; the error's text names the remedy.
    pub(super) fn open(&mut self) -> Result<OpenedStore, String> {
        let files = (self.opener)().map_err(|error| error.to_string())?;
        LogStore::open(files, fresh_incarnation()).map_err(|error| error.to_string())
    }

    /// Writes batches until the task is gone. Must run on a thread of its own.
    pub(super) fn run(
        mut self,
        store: LogStore,
        mut queue: mpsc::Receiver<LifeBatch>,
        reports: mpsc::Sender<WriteReport>,
    ) {
        let mut life = 0;
        let mut store = store;
        while let Some(error) = write_life(store, life, &mut queue, &reports) {
            if reports.blocking_send(WriteReport::Failed(error.to_string())).is_err() {
                return;
            }
            life += 1;
            let Some(opened) = self.reopen(&mut queue, &reports) else { return };
            store = opened.store;
            let (state, set_aside) = (opened.state, opened.quarantined);
            if reports.blocking_send(WriteReport::Opened { life, state, set_aside }).is_err() {
                return;
            }
        }
    }

    /// Opens the folder as soon as that succeeds; `None` once the task is gone.
    ///
    /// Batches that wait are of the life that ended. They are dropped at once: a task that waits for
    /// room in the queue would otherwise learn of the failure only when the disk is sound again, and
    /// show until then that it leads.
    fn reopen(
        &mut self,
        queue: &mut mpsc::Receiver<LifeBatch>,
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

/// Writes one life's batches, those that wait together, until one fails; `None` once the task is
/// gone. The store is closed at the end, and its folder free.
fn write_life(
    mut store: LogStore,
    life: ReplicaLife,
    queue: &mut mpsc::Receiver<LifeBatch>,
    reports: &mpsc::Sender<WriteReport>,
) -> Option<StorageError> {
    while let Some(first) = queue.blocking_recv() {
        if first.life != life {
            continue;
        }
        let PersistBatch { mut number, mut writes } = first.batch;
        let mut room = first.room;
        for _ in 1..BATCHES_AT_ONCE {
            let Ok(next) = queue.try_recv() else { break };
            number = next.batch.number;
            writes.extend(next.batch.writes);
            room.merge(next.room);
        }
        if let Err(error) = store.append(writes) {
            return Some(error);
        }
        // Before the report: the task may wait for room, and takes no reports while it does.
        drop(room);
        if reports.blocking_send(WriteReport::Synced(number)).is_err() {
            return None;
        }
    }
    None
}

/// A number that no other disk has: the time, and twenty bits of chance for two disks that are
/// emptied in the same millisecond or under a clock that was set back.
fn fresh_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    (millis << 20) | (RandomState::new().hash_one(std::process::id()) >> 44)
}
