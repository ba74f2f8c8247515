//! Sharing of crash evidence between entries through the control VMs.
//!
//! Entries share no state with each other. Each reports the crashes that it observed to the
//! control VM that it follows, which merges the reports, passes them to the leader and returns them
//! to its followers. Nothing is logged by the replicas: reports are repeated every second, merge in any
//! order and expire. A domain that is cut off shares what its own control VM receives.

use {
    crate::{
        ids::VmId,
        policy::{
            DomainDigest,
            suspect::{CrashReport, SuspectList},
        },
        transport::{PeerMessage, PeerNetwork},
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
    xxhash_rust::xxh3::Xxh3,
};

/// How long a sender collects reports, since one crash interrupts several requests.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Pause between two messages or two published tables, which bounds what a daemon sends to its control
/// VM, and a control VM to each follower, to about 12 KB/s.
const SEND_PAUSE: Duration = Duration::from_millis(180);
/// Pause between two published tables for each follower, which bounds what a control VM sends to all of
/// them to about 500 KB/s.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(5);
/// How often reports are repeated, because messages may be lost, and expired ones are removed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The digest of crash reports; 0 for none. It does not depend on their age.
pub fn evidence_digest(reports: &[CrashReport]) -> u64 {
    if reports.is_empty() {
        return 0;
    }
    let mut hash = Xxh3::new();
    for report in reports {
        hash.update(&report.fingerprint.to_be_bytes());
        hash.update(&report.crash.to_be_bytes());
        hash.update(&[report.evidence as u8, report.is_weak.into()]);
    }
    hash.digest().max(1)
}

/// Crash reports as a control VM returns them to its followers.
#[derive(Clone, Debug)]
pub struct EvidenceTable {
    /// At most [`MAX_PUBLISHED`](crate::policy::suspect::MAX_PUBLISHED).
    reports: Vec<CrashReport>,
    digest: u64,
    published_at: StdInstant,
}

impl EvidenceTable {
    fn new(reports: Vec<CrashReport>, now: StdInstant) -> Self {
        EvidenceTable { digest: evidence_digest(&reports), reports, published_at: now }
    }

    /// Whether a follower whose reports have this digest lacks any of these.
    pub fn differs_from(&self, held: u64) -> bool {
        self.digest != 0 && self.digest != held
    }

    /// The reports with their present age.
    pub fn reports(&self, now: StdInstant) -> Vec<CrashReport> {
        let elapsed = now.saturating_duration_since(self.published_at);
        self.reports.iter().map(|report| report.aged(elapsed)).collect()
    }
}

/// The merged crash reports of a control VM's followers and of its leader.
pub struct SharedEvidence {
    list: Mutex<SuspectList>,
    merged: Notify,
    table: watch::Sender<Arc<EvidenceTable>>,
}

impl Default for SharedEvidence {
    fn default() -> Self {
        let table = EvidenceTable::new(Vec::new(), StdInstant::now());
        SharedEvidence {
            list: Mutex::default(),
            merged: Notify::new(),
            table: watch::channel(Arc::new(table)).0,
        }
    }
}

impl SharedEvidence {
    /// Merges the reports of a daemon.
    pub fn merge(&self, reports: &[CrashReport]) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        if list.merge_reports(StdInstant::now(), reports) {
            self.merged.notify_one();
        }
    }

    /// The published reports, if a follower whose reports have this digest lacks any of them.
    pub fn reports_for(&self, held: u64) -> Option<Vec<CrashReport>> {
        let table = self.table.borrow();
        table.differs_from(held).then(|| table.reports(StdInstant::now()))
    }

    /// The published table.
    pub fn subscribe(&self) -> watch::Receiver<Arc<EvidenceTable>> {
        self.table.subscribe()
    }

    /// Publishes what is merged, at intervals that depend on the number of followers; never returns.
    pub async fn publish(&self, followers: impl Fn() -> u32 + Send) {
        loop {
            // The interval removes reports that have expired.
            if timeout(REPEAT_INTERVAL, self.merged.notified()).await.is_ok() {
                sleep(COLLECT_TIME).await;
            }
            let table = self.merged_table();
            self.table.send_if_modified(|published| {
                let changed = published.digest != table.digest;
                if changed {
                    *published = Arc::new(table);
                }
                changed
            });
            sleep(SEND_PAUSE.max(FOLLOWER_PAUSE * followers())).await;
        }
    }

    fn merged_table(&self) -> EvidenceTable {
        let now = StdInstant::now();
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        EvidenceTable::new(list.all_reports(now), now)
    }

    /// Sends the reports to the leader that `leader` returns, if it is another VM; never returns.
    pub async fn report_to_leader(
        &self,
        network: PeerNetwork,
        leader: impl Fn() -> Option<VmId> + Send,
    ) {
        let mut tables = self.subscribe();
        loop {
            // Without a change the reports are repeated.
            let _ = timeout(REPEAT_INTERVAL, tables.changed()).await;
            let reports = tables.borrow_and_update().reports(StdInstant::now());
            if let Some(leader) = leader().filter(|leader| leader != network.vm()) {
                send_reports(&network, &leader, reports);
            }
        }
    }
}

/// Sends the reports of an entry's dispatcher to the control VM that the entry follows; returns when
/// the dispatcher has ended. The dispatcher repeats them every second.
pub async fn send_own_reports(
    network: PeerNetwork,
    mut reports: watch::Receiver<Vec<CrashReport>>,
    followed: watch::Receiver<Option<VmId>>,
) {
    while reports.changed().await.is_ok() {
        sleep(COLLECT_TIME).await;
        let current = reports.borrow_and_update().clone();
        let peer = followed.borrow().clone();
        if let Some(peer) = peer {
            send_reports(&network, &peer, current);
        }
        sleep(SEND_PAUSE).await;
    }
}

fn send_reports(network: &PeerNetwork, peer: &VmId, reports: Vec<CrashReport>) {
    if !reports.is_empty() {
        let daemon = network.vm().clone();
        let digest = DomainDigest { daemon, suspects: reports, ..DomainDigest::default() };
        network.send(peer, PeerMessage::Digest(Box::new(digest)));
    }
}
