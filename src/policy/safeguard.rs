//! Names of the policy's mechanisms, and the setting that disables some of them.

use {
    displaydoc::Display,
    std::{collections::BTreeSet, fmt, str::FromStr},
};

/// A mechanism of the policy that can be disabled to show its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicySafeguard {
    /// Immediate refusal of requests whose deadline cannot be met.
    Admission,
    /// Service order by tokens served instead of by arrival.
    Fairness,
    /// Budgets for retries.
    RetryBudget,
    /// Ejection of failing servers.
    Outlier,
    /// Isolation of requests that crash servers.
    Suspect,
    /// Concurrency windows, which keep requests queued in the daemon.
    Window,
    /// Priority of urgent classes and short prompts inside the engines.
    LongJobs,
    /// More than one server for a prefix: affinity servers in proportion to its request rate, and
    /// spillover when they are full.
    PrefixReplication,
    /// Overdue responses as part of a server's predicted first-token time.
    Overdue,
    /// Cache hits only under the same incarnation and weights of the server.
    CacheIdentity,
    /// Sending only to reachable failure domains.
    Reachability,
    /// Digests exchanged with other daemons.
    Digests,
    /// Fetching of cached prefixes from other engines.
    PeerFetch,
    /// Long shared prefixes in the engines' shared KV cache store.
    CacheStore,
    /// The pace at which servers that have just started receive requests.
    StartPace,
    /// Predictions by how long work takes at this moment on a server's shared machine.
    WorkTime,
}

impl PolicySafeguard {
    /// All mechanisms, in order of declaration.
    pub const ALL: [PolicySafeguard; 16] = [
        PolicySafeguard::Admission,
        PolicySafeguard::Fairness,
        PolicySafeguard::RetryBudget,
        PolicySafeguard::Outlier,
        PolicySafeguard::Suspect,
        PolicySafeguard::Window,
        PolicySafeguard::LongJobs,
        PolicySafeguard::PrefixReplication,
        PolicySafeguard::Overdue,
        PolicySafeguard::CacheIdentity,
        PolicySafeguard::Reachability,
        PolicySafeguard::Digests,
        PolicySafeguard::PeerFetch,
        PolicySafeguard::CacheStore,
        PolicySafeguard::StartPace,
        PolicySafeguard::WorkTime,
    ];

    /// Returns the name used in settings and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicySafeguard::Admission => "admission",
            PolicySafeguard::Fairness => "fairness",
            PolicySafeguard::RetryBudget => "retry-budget",
            PolicySafeguard::Outlier => "outlier",
            PolicySafeguard::Suspect => "suspect",
            PolicySafeguard::Window => "window",
            PolicySafeguard::LongJobs => "long-jobs",
            PolicySafeguard::PrefixReplication => "hot-homes",
            PolicySafeguard::Overdue => "overdue",
            PolicySafeguard::CacheIdentity => "cache-identity",
            PolicySafeguard::Reachability => "reachability",
            PolicySafeguard::Digests => "digests",
            PolicySafeguard::PeerFetch => "peer-fetch",
            PolicySafeguard::CacheStore => "common-store",
            PolicySafeguard::StartPace => "start-pace",
            PolicySafeguard::WorkTime => "work-time",
        }
    }
}

/// The disabled safeguards. The text form is a comma-separated list of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SafeguardSet(BTreeSet<PolicySafeguard>);

impl SafeguardSet {
    /// Returns whether `safeguard` is disabled.
    pub fn contains(&self, safeguard: PolicySafeguard) -> bool {
        self.0.contains(&safeguard)
    }

    /// Returns whether all safeguards are enabled.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Logs a warning if some are disabled, so that such a run is not mistaken for a regular one.
    pub fn warn_if_any(&self) {
        if !self.is_empty() {
            log::warn!("policy safeguards are switched off: {self}");
        }
    }
}

impl FromIterator<PolicySafeguard> for SafeguardSet {
    fn from_iter<I: IntoIterator<Item = PolicySafeguard>>(safeguards: I) -> Self {
        SafeguardSet(safeguards.into_iter().collect())
    }
}

impl FromStr for SafeguardSet {
    type Err = SafeguardError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.map(find).collect()
    }
}

impl fmt::Display for SafeguardSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&join(self.0.iter().copied()))
    }
}

fn find(name: &str) -> Result<PolicySafeguard, SafeguardError> {
    let found = PolicySafeguard::ALL.into_iter().find(|safeguard| safeguard.as_str() == name);
    found.ok_or_else(|| SafeguardError::Unknown {
        name: name.to_owned(),
        known: join(PolicySafeguard::ALL),
    })
}

fn join(safeguards: impl IntoIterator<Item = PolicySafeguard>) -> String {
    safeguards.into_iter().map(PolicySafeguard::as_str).collect::<Vec<_>>().join(",")
}

/// Why a list of safeguards is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SafeguardError {
    /// unknown policy safeguard "{name}"; use a comma-separated list of {known}
    Unknown {
        /// The unknown name.
        name: String,
        /// All valid names.
        known: String,
    },
}

impl std::error::Error for SafeguardError {}
