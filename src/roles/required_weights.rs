//! When named versions of weights become required, as seen by one entry.
//!
//! Servers load named weights within seconds. A server that crashes meanwhile restarts with its
//! previous weights and is listed as ready at once; callers would get answers from weights that
//! operators replaced long ago. Therefore, after a delay, no request is sent to a server whose weights
//! are older than the named ones, and somewhat later none begins there: requests that were sent before may
//! still wait inside the server.

use {
    crate::{
        control::document::NamedWeights,
        follow::{MAX_VERSIONS, VersionTimes},
        ids::{ModelId, Term, WeightsNumber},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Delay from the moment a version is named until no request is sent to older ones.
pub const REQUIRED_AFTER: Duration = Duration::from_millis(6_000);
/// Delay from the moment a version is named until no request begins on older ones. Operators allow 8 s from
/// their acknowledgement; entries learn of a version a little later, and servers of the end of a request.
pub const BEGIN_WITHIN: Duration = Duration::from_millis(7_700);
/// The delay from the moment an entry learns of a new leader. A new leader sends no orders for the
/// first 3 s; the 8 s that operators allow start again 3 s after the previous leader failed, and the
/// new one is elected within 2.2 s of that failure.
pub const REQUIRED_AFTER_ELECTION: Duration = Duration::from_millis(8_000);
/// As [`BEGIN_WITHIN`], from the moment an entry learns of a new leader.
pub const BEGIN_WITHIN_ELECTION: Duration = Duration::from_millis(8_500);
/// For how long a change of the leader is remembered: longer than it postpones any version.
const ELECTION_TIME: Duration = Duration::from_secs(60);
/// The maximum number of changes of the leader that are remembered; each takes seconds.
const MAX_ELECTIONS: usize = 64;

/// The time before which requests begin on older weights than a version, by model and version.
pub type BeginLimits = BTreeMap<ModelId, VersionTimes>;

/// Until when older weights than a version are used.
#[derive(Clone, Copy, Debug)]
struct VersionLimits {
    version: WeightsNumber,
    /// From when on no request is sent to older weights.
    required_at: Instant,
    /// From when on no request begins on older weights; after `required_at`.
    begin_before: Instant,
}

/// Tracks when each named version becomes required.
#[derive(Debug, Default)]
pub struct RequiredWeights {
    /// The currently required version of each model.
    required: NamedWeights,
    /// When versions were named, as far as is known; at most [`MAX_VERSIONS`] of each model.
    named_at: BTreeMap<ModelId, VersionTimes>,
    /// The limits of all known versions, oldest version first; the times never decrease.
    limits: BTreeMap<ModelId, Vec<VersionLimits>>,
    /// The latest known term of a leader; 0 before the first.
    term: Term,
    /// When this entry learned of new leaders, oldest first, for [`ELECTION_TIME`]; at most [`MAX_ELECTIONS`].
    elections: Vec<Instant>,
}

impl RequiredWeights {
    /// Adds the named versions and the leader's term, and returns the versions required at `now`. The time of
    /// a version counts from when it was named, also for an entry that has just started or learns later
    /// that it was named earlier.
    ///
    /// A leader that fails may not have sent its orders. If its versions became required at the
    /// original time, the first server to load one would get all requests, and callers would wait or
    /// be refused while most servers are idle. A new term therefore postpones all pending versions.
    pub fn update(
        &mut self,
        now: Instant,
        named: &BTreeMap<ModelId, VersionTimes>,
        term: Term,
    ) -> NamedWeights {
        self.record_term(now, term);
        for (model, times) in named {
            self.record_times(model, times);
            let limits = self.version_limits(&self.named_at[model]);
            let required = limits.iter().rfind(|limits| now >= limits.required_at);
            if let Some(VersionLimits { version, .. }) = required {
                let known = self.required.entry(model.clone()).or_default();
                *known = (*version).max(*known);
            }
            self.limits.insert(model.clone(), limits);
        }
        self.required.clone()
    }

    fn record_times(&mut self, model: &ModelId, times: &VersionTimes) {
        let known = self.named_at.entry(model.clone()).or_default();
        for (version, named_at) in times {
            let earliest = known.entry(*version).or_insert(*named_at);
            *earliest = (*named_at).min(*earliest);
        }
        while known.len() > MAX_VERSIONS {
            known.pop_first();
        }
    }

    fn record_term(&mut self, now: Instant, term: Term) {
        self.elections.retain(|elected| now.saturating_duration_since(*elected) < ELECTION_TIME);
        if term > self.term {
            if self.term > 0 {
                let excess = (self.elections.len() + 1).saturating_sub(MAX_ELECTIONS);
                self.elections.drain(..excess);
                self.elections.push(now);
            }
            self.term = term;
        }
    }

    /// The limits of versions that were named at these times. None has an earlier one than the version
    /// before it.
    fn version_limits(&self, times: &VersionTimes) -> Vec<VersionLimits> {
        let mut limits: Vec<VersionLimits> = Vec::with_capacity(times.len());
        for (version, named_at) in times {
            let mut required_at = *named_at + REQUIRED_AFTER;
            let mut begin_before = *named_at + BEGIN_WITHIN;
            for elected in &self.elections {
                if *named_at <= *elected && *elected < required_at {
                    required_at = required_at.max(*elected + REQUIRED_AFTER_ELECTION);
                    begin_before = begin_before.max(*elected + BEGIN_WITHIN_ELECTION);
                }
            }
            if let Some(before) = limits.last() {
                required_at = required_at.max(before.required_at);
                begin_before = begin_before.max(before.begin_before);
            }
            limits.push(VersionLimits { version: *version, required_at, begin_before });
        }
        limits
    }

    /// Until when requests may begin on older weights than each known version.
    pub fn begin_limits(&self) -> BeginLimits {
        let times = |limits: &Vec<VersionLimits>| {
            limits.iter().map(|limits| (limits.version, limits.begin_before)).collect()
        };
        self.limits.iter().map(|(model, limits)| (model.clone(), times(limits))).collect()
    }

    /// When the required versions change next; `None` if no version is pending.
    pub fn next_change(&self) -> Option<Instant> {
        let pending = self.limits.iter().filter_map(|(model, limits)| {
            let required = self.required.get(model).copied().unwrap_or_default();
            limits.iter().find(|limits| limits.version > required)
        });
        pending.map(|limits| limits.required_at).min()
    }
}
