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

#[derive(Clone, Debug)]
struct ServiceVersions {
    versions: BTreeSet<SoftwareVersion>,
    known_since: Instant,
    /// When several versions were last listed, or another one than before.
    changed_at: Option<Instant>,
    listed_at: Instant,
}

/// The software versions of all services; the server list bounds their number.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceId, ServiceVersions>,
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
            let known = self.services.entry(service.clone()).or_insert_with(|| ServiceVersions {
                versions: versions.clone(),
                known_since: now,
                changed_at: None,
                listed_at: now,
            });
            if versions.len() > 1 || versions != known.versions {
                known.changed_at = Some(now);
            }
            known.versions = versions;
            known.listed_at = now;
        }
        self.services.retain(|_, known| now - known.listed_at < STREAM_TIME);
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
