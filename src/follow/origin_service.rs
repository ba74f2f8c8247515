//! The origins of streams at a control VM.

use {
    super::stream_origins::{OriginAnswer, OriginReport, OriginTable, StreamKey, StreamOrigin},
    crate::{
        fleet::{FleetSnapshot, watch::FleetView},
        ids::{ServiceId, VmId},
        policy::software_history::SoftwareHistory,
        transport::{PeerMessage, PeerNetwork},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Pause between two messages with copies.
const COPY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of streams that wait to be copied. Further ones have no copy.
const MAX_PENDING: usize = 16_384;
/// How often an unchanged list is recorded, so that time passes for the versions of its services.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct ServiceState {
    table: OriginTable,
    history: SoftwareHistory,
    /// Streams that entries have reported and that were not copied; at most [`MAX_PENDING`].
    pending: BTreeMap<StreamKey, StreamOrigin>,
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
        self.lock().history.record(Instant::now(), servers);
    }

    /// Records the lists of a control VM; never returns.
    pub async fn run_lists(self: Arc<Self>, view: Arc<FleetView>) {
        let mut lists = view.subscribe_published();
        loop {
            let list = lists.borrow_and_update().clone();
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
            let mut reports: BTreeMap<StreamOrigin, Vec<StreamKey>> = BTreeMap::new();
            for (stream, origin) in pending {
                reports.entry(origin).or_default().push(stream);
            }
            let reports = reports.into_iter();
            let origins: Vec<_> =
                reports.map(|(origin, streams)| OriginReport { origin, streams }).collect();
            if let Some(next) = next().filter(|_| !origins.is_empty()) {
                network.send(&next, PeerMessage::StreamOrigins { origins, is_copy: true });
            }
            sleep(COPY_PAUSE).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The control VM that gets the copies of `own`: the next one in the order of names.
pub fn copy_receiver<'a>(own: &VmId, control: &'a [VmId]) -> Option<&'a VmId> {
    let mut others: Vec<&VmId> = control.iter().filter(|vm| *vm != own).collect();
    others.sort_unstable();
    others.iter().find(|vm| **vm > own).or(others.first()).copied()
}
