//! The policy's mechanisms by name, and the setting that switches some of them off.

use {
    displaydoc::Display,
    std::{collections::BTreeSet, fmt, str::FromStr},
};

/// One mechanism of the policy that can be switched off, to show what happens without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicySafeguard {
    /// Refusal at once of what cannot make its deadline.
    Admission,
    /// Turns by tokens served instead of by arrival.
    Fairness,
    /// Budgets for retries.
    RetryBudget,
    /// Ejection of failing servers.
    Outlier,
    /// Isolation of requests that crash servers.
    Suspect,
    /// Windows that keep the queue here.
    Window,
    /// Urgent classes and short prompts first inside the engines.
    LongJobs,
    /// More servers than one for a prefix: more homes as it heats, and straying from full ones.
    PrefixReplication,
    /// Counting answers that are overdue against a server.
    Overdue,
    /// Trust in a held prefix only under the same life and weights of its server.
    CacheIdentity,
    /// Sending only to failure domains that can be reached.
    Reachability,
    /// What other daemons tell.
    Digests,
    /// Prefixes that an engine fetches from another one.
    PeerFetch,
    /// Long shared prefixes in the engines' common store.
    CacheStore,
}

impl PolicySafeguard {
    /// All of them.
    pub const ALL: [PolicySafeguard; 14] = [
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
    ];

    /// The name used in settings and logs.
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
        }
    }
}

/// Safeguards that are switched off; as text, their names with commas between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SafeguardSet(BTreeSet<PolicySafeguard>);

impl SafeguardSet {
    /// Whether it is in the set.
    pub fn contains(&self, safeguard: PolicySafeguard) -> bool {
        self.0.contains(&safeguard)
    }

    /// Whether all safeguards are on.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Warns that some are off: whoever reads a log must not take such a run for a usual one.
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

/// Why a list of safeguards cannot be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SafeguardError {
    /// no safeguard is called "{name}"; give some of {known}, with commas between them
    Unknown {
        /// The name given.
        name: String,
        /// All names there are.
        known: String,
    },
}

impl std::error::Error for SafeguardError {}
