//! The origins of streams at a control VM.

use {
    super::{
        origin_journal::{JournalBatch, JournalContent, OriginJournal},
        stream_origins::{OriginAnswer, OriginReport, OriginTable, StreamKey, StreamOrigin},
    },
    crate::{
        fleet::{FleetSnapshot, watch::FleetView},
        ids::{ServiceId, VmId},
        observe::events,
        policy::software_history::{STREAM_TIME, SoftwareHistory},
        storage::DiskFiles,
        transport::{PeerMessage, PeerNetwork},
    },
    std::{
        collections::BTreeMap,
        io,
        path::Path,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        sync::Notify,
        task::spawn_blocking,
        time::{sleep, timeout},
    },
};

/// Pause between two messages with copies.
const COPY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of streams that wait to be copied. Further ones have no copy.
const MAX_PENDING: usize = 16_384;
/// How often an unchanged list is recorded, so that time passes for the versions of its services.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two writes of the journal, each of which syncs the disk. A loss of power loses the
/// streams that were reported within it.
const WRITE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How often the versions of services are written while nothing changes. Records must stay younger than
/// [`STREAM_TIME`] to count after a restart.
const VERSIONS_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of streams that wait to be written. If there are more, the journal is rewritten from
/// the table.
const MAX_UNWRITTEN: usize = 16_384;

#[derive(Default)]
struct ServiceState {
    table: OriginTable,
    history: SoftwareHistory,
    /// Streams that entries have reported and that were not copied; at most [`MAX_PENDING`].
    pending: BTreeMap<StreamKey, StreamOrigin>,
    /// Streams that were reported and are not in the journal; at most [`MAX_UNWRITTEN`].
    unwritten: BTreeMap<StreamKey, StreamOrigin>,
    /// Whether streams have been dropped from `unwritten`.
    is_incomplete: bool,
    /// Number of the last change of what is known of versions.
    versions_change: u64,
}

impl ServiceState {
    fn take_unwritten(&mut self) -> Vec<OriginReport> {
        by_origin(std::mem::take(&mut self.unwritten))
    }
}

/// What the journal contains of the versions of services.
struct WrittenVersions {
    change: u64,
    at: Instant,
}

/// Keeps the origins of streams for all entries.
#[derive(Default)]
pub struct OriginService {
    state: Mutex<ServiceState>,
    changed: Notify,
}

impl OriginService {
    /// Records reports of an entry, or copies of another control VM.
    pub fn record(&self, reports: Vec<OriginReport>, is_copy: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        for OriginReport { origin, streams } in reports {
            for stream in streams {
                state.table.record(now, stream, &origin);
                if !is_copy && state.pending.len() < MAX_PENDING {
                    state.pending.insert(stream, origin.clone());
                }
                if state.unwritten.len() < MAX_UNWRITTEN {
                    state.unwritten.insert(stream, origin.clone());
                } else {
                    state.is_incomplete = true;
                }
            }
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Answers where a stream began that is resumed by a request to `service`.
    pub fn answer(&self, service: &ServiceId, stream: StreamKey) -> OriginAnswer {
        let (now, state) = (Instant::now(), self.lock());
        OriginAnswer {
            origin: state.table.find(now, stream).cloned(),
            versions: state.history.state(now, service),
        }
    }

    /// Records the software versions of a server list.
    pub fn record_list(&self, list: &FleetSnapshot) {
        let servers = list.servers.iter().map(|server| (&server.service, &server.software));
        let (now, mut state) = (Instant::now(), self.lock());
        let versions = |state: &ServiceState| state.history.versions();
        let before = versions(&state);
        state.history.record(now, servers);
        if versions(&state) != before {
            state.versions_change += 1;
        }
    }

    /// Restores what a journal contained. Its streams count as reported at `now`.
    pub fn restore(&self, now: Instant, content: &JournalContent) {
        let mut state = self.lock();
        for OriginReport { origin, streams } in &content.streams {
            streams.iter().for_each(|stream| state.table.record(now, *stream, origin));
        }
        if let Some((age, services)) = &content.services {
            state.history.restore(now, *age, services);
        }
    }

    /// Records the lists of a control VM; never returns.
    pub async fn run_lists(self: Arc<Self>, view: Arc<FleetView>) {
        let mut lists = view.subscribe_published();
        loop {
            let list = lists.borrow_and_update().clone().unwrap_or_default();
            self.record_list(&list);
            // Without a change the same list is recorded again.
            let _ = timeout(LIST_INTERVAL, lists.changed()).await;
        }
    }

    /// Sends copies of what entries report to the control VM that `next` returns; never returns.
    pub async fn run_copies(
        self: Arc<Self>,
        network: PeerNetwork,
        next: impl Fn() -> Option<VmId> + Send,
    ) {
        loop {
            self.changed.notified().await;
            let pending = std::mem::take(&mut self.lock().pending);
            let origins = by_origin(pending);
            if let Some(next) = next().filter(|_| !origins.is_empty()) {
                network.send(&next, PeerMessage::StreamOrigins { origins, is_copy: true });
            }
            sleep(COPY_PAUSE).await;
        }
    }

    /// Restores what the journal in `folder` contains. Without a journal, which is logged, streams are known in
    /// memory alone; that suffices unless all control VMs restart.
    pub fn open_journal(&self, folder: impl AsRef<Path>) -> Option<OriginJournal> {
        let opened = DiskFiles::open(folder)
            .and_then(|files| OriginJournal::open(Box::new(files), SystemTime::now()));
        let (journal, content) = opened
            .inspect_err(|error| {
                log::error!(error:% = error;
                    "the journal of stream origins cannot be opened; check the data folder");
            })
            .ok()?;
        self.restore(Instant::now(), &content);
        let streams: usize = content.streams.iter().map(|report| report.streams.len()).sum();
        let services = content.services.map_or(0, |(_, services)| services.len());
        log::info!(streams = streams, services = services; "{}", events::ORIGINS_RESTORED);
        Some(journal)
    }

    /// Writes what is reported to a journal; never returns. A disk that does not work costs only what a
    /// restart of all VMs would need.
    pub async fn run_journal(self: Arc<Self>, mut journal: OriginJournal) {
        let mut written: Option<WrittenVersions> = None;
        let mut rewritten_at = Instant::now();
        loop {
            let now = Instant::now();
            let needs_rewrite =
                journal.needs_rewrite() || now.duration_since(rewritten_at) >= STREAM_TIME;
            let (batch, change, is_rewrite) = self.next_batch(now, written.as_ref(), needs_rewrite);
            let mut pause = WRITE_PAUSE;
            if is_rewrite || !batch.is_empty() {
                let has_versions = !batch.services.is_empty();
                let written_batch = write_batch(journal, batch, is_rewrite).await;
                let Some((returned, result)) = written_batch else {
                    log::error!("the journal of stream origins has ended; restart the daemon");
                    return;
                };
                journal = returned;
                match result {
                    Ok(()) if has_versions => written = Some(WrittenVersions { change, at: now }),
                    Ok(()) => {}
                    Err(error) => {
                        log::warn!(error:% = error; "stream origins were not written; check the disk");
                        pause = WRITE_RETRY_PAUSE;
                    }
                }
                if is_rewrite {
                    rewritten_at = now;
                }
            }
            sleep(pause).await;
        }
    }

    /// The next batch of the journal, the last change of versions that it contains, and whether it replaces
    /// the former content.
    fn next_batch(
        &self,
        now: Instant,
        written: Option<&WrittenVersions>,
        needs_rewrite: bool,
    ) -> (JournalBatch, u64, bool) {
        let mut state = self.lock();
        let change = state.versions_change;
        let is_current = written.is_some_and(|written| {
            written.change == change && now.duration_since(written.at) < VERSIONS_INTERVAL
        });
        let is_rewrite = needs_rewrite || state.is_incomplete;
        let unwritten = state.take_unwritten();
        let streams = if is_rewrite { state.table.all(now) } else { unwritten };
        state.is_incomplete = false;
        let services =
            if is_current && !is_rewrite { Vec::new() } else { state.history.records(now) };
        (JournalBatch { streams, services }, change, is_rewrite)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes on a thread of its own, since a disk may take seconds. `None` if the thread has panicked.
async fn write_batch(
    mut journal: OriginJournal,
    batch: JournalBatch,
    is_rewrite: bool,
) -> Option<(OriginJournal, io::Result<()>)> {
    let task = spawn_blocking(move || {
        let now = SystemTime::now();
        let result =
            if is_rewrite { journal.rewrite(now, batch) } else { journal.append(now, batch) };
        (journal, result)
    });
    task.await.ok()
}

fn by_origin(streams: BTreeMap<StreamKey, StreamOrigin>) -> Vec<OriginReport> {
    let mut reports: BTreeMap<StreamOrigin, Vec<StreamKey>> = BTreeMap::new();
    for (stream, origin) in streams {
        reports.entry(origin).or_default().push(stream);
    }
    reports.into_iter().map(|(origin, streams)| OriginReport { origin, streams }).collect()
}

/// The control VM that gets the copies of `own`: the next one in the order of names.
pub fn copy_receiver<'a>(own: &VmId, control: &'a [VmId]) -> Option<&'a VmId> {
    let mut others: Vec<&VmId> = control.iter().filter(|vm| *vm != own).collect();
    others.sort_unstable();
    others.iter().find(|vm| **vm > own).or(others.first()).copied()
}
