//! Which software versions of a service have been listed lately.
//!
//! Servers of several versions may serve side by side, and a stream goes on only at the version that
//! began it. As long as a service has had one version for longer than a stream can last, nothing has
//! to be known of its streams.

use {
    crate::ids::{ServiceId, SoftwareVersion},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// The longest time between the beginning of a stream and a request that resumes it.
pub const STREAM_TIME: Duration = Duration::from_secs(30);

/// What is known of the software versions of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionState {
    /// All streams that can still be resumed began at the same version.
    One,
    /// Several versions have been listed within [`STREAM_TIME`].
    Several,
    /// The service has not been known for long enough, and only one version has been listed.
    Unknown,
}

/// The versions of a service at one moment, to be restored after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The service.
    pub service: ServiceId,
    /// The versions that were listed last.
    pub versions: BTreeSet<SoftwareVersion>,
    /// How long the service had been known.
    pub known_for: Duration,
    /// How long ago several versions were last listed, or another one than before.
    pub changed_ago: Option<Duration>,
}

#[derive(Clone, Debug)]
struct ServiceVersions {
    versions: BTreeSet<SoftwareVersion>,
    known_since: Instant,
    /// When several versions were last listed, or another one than before.
    changed_at: Option<Instant>,
    listed_at: Instant,
}

impl ServiceVersions {
    /// A service that a list names for the first time.
    fn new(now: Instant, versions: BTreeSet<SoftwareVersion>) -> Self {
        ServiceVersions { versions, known_since: now, changed_at: None, listed_at: now }
    }

    /// A service of which `record` was made `age` before `now`. A time that the clock cannot represent
    /// counts as `now`.
    fn restore(now: Instant, age: Duration, record: &ServiceRecord) -> Self {
        let before = |elapsed: Duration| now.checked_sub(elapsed + age).unwrap_or(now);
        ServiceVersions {
            versions: record.versions.clone(),
            known_since: before(record.known_for),
            changed_at: record.changed_ago.map(before),
            listed_at: now,
        }
    }

    fn record(&self, now: Instant, service: &ServiceId) -> ServiceRecord {
        let elapsed = |since: Instant| now.saturating_duration_since(since).min(STREAM_TIME);
        ServiceRecord {
            service: service.clone(),
            versions: self.versions.clone(),
            known_for: elapsed(self.known_since),
            changed_ago: self.changed_at.map(elapsed),
        }
    }
}

/// The software versions of all services; the server list bounds their number.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceId, ServiceVersions>,
    /// What was known before a restart of the services that no list has named since.
    restored: BTreeMap<ServiceId, ServiceVersions>,
}

impl SoftwareHistory {
    /// Records a server list, as pairs of service and version. A service without servers is forgotten
    /// once its streams cannot be resumed any more.
    pub fn record<'a>(
        &mut self,
        now: Instant,
        listed: impl IntoIterator<Item = (&'a ServiceId, &'a SoftwareVersion)>,
    ) {
        let mut present: BTreeMap<&ServiceId, BTreeSet<&SoftwareVersion>> = BTreeMap::new();
        for (service, software) in listed {
            present.entry(service).or_default().insert(software);
        }
        for (service, versions) in present {
            let versions: BTreeSet<SoftwareVersion> = versions.into_iter().cloned().collect();
            // If the list names another version than the one that is restored, there have been several.
            let restored = self.restored.remove(service);
            let known = self.services.entry(service.clone()).or_insert_with(|| {
                restored.unwrap_or_else(|| ServiceVersions::new(now, versions.clone()))
            });
            if versions.len() > 1 || versions != known.versions {
                known.changed_at = Some(now);
            }
            known.versions = versions;
            known.listed_at = now;
        }
        let is_recent = |known: &ServiceVersions| now - known.listed_at < STREAM_TIME;
        self.services.retain(|_, known| is_recent(known));
        self.restored.retain(|_, known| is_recent(known));
    }

    /// The versions of each service that was listed lately.
    pub fn versions(&self) -> BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> {
        let services = self.services.iter();
        services.map(|(service, known)| (service.clone(), known.versions.clone())).collect()
    }

    /// What is known of all services at `now`, including what was restored and not listed since.
    pub fn records(&self, now: Instant) -> Vec<ServiceRecord> {
        let known = self.services.iter().chain(&self.restored);
        known.map(|(service, known)| known.record(now, service)).collect()
    }

    /// Restores what was recorded `age` before `now`. It applies to each service from the first list that
    /// names it on. Records that are older than a stream can be are ignored: other versions may have been
    /// listed since.
    pub fn restore(&mut self, now: Instant, age: Duration, records: &[ServiceRecord]) {
        if age < STREAM_TIME {
            let restored = |record: &ServiceRecord| ServiceVersions::restore(now, age, record);
            let records = records.iter();
            self.restored =
                records.map(|record| (record.service.clone(), restored(record))).collect();
        }
    }

    /// The version of the service, if the last list with servers of it named one alone.
    pub fn only_version(&self, service: &ServiceId) -> Option<&SoftwareVersion> {
        let versions = &self.services.get(service)?.versions;
        versions.first().filter(|_| versions.len() == 1)
    }

    /// What is known of the service at `now`.
    pub fn state(&self, now: Instant, service: &ServiceId) -> VersionState {
        let Some(known) = self.services.get(service) else { return VersionState::Unknown };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STREAM_TIME;
        match known.changed_at {
            _ if known.versions.len() > 1 => VersionState::Several,
            Some(changed_at) if is_recent(changed_at) => VersionState::Several,
            _ if is_recent(known.known_since) => VersionState::Unknown,
            _ => VersionState::One,
        }
    }
}
