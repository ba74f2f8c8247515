//! Rules: scheduling, quotas and permissions that operators load in addition to the register.

use {
    crate::ids::{ModelId, OrganisationId, ServiceId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The complete rule set, as an operator loads it from TOML or JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleSet {
    /// Objective of server selection.
    pub objective: DecisionObjective,
    /// Class of requests that specify none.
    pub default_class: RequestClass,
    /// Default deadline of requests that specify none, in milliseconds by class.
    pub deadlines_ms: BTreeMap<RequestClass, u64>,
    /// Maximum number of concurrent weight loads; at least 1.
    pub weight_loads: u32,
    /// Hours for which the result of a finished non-repeatable call is returned to resends; at least
    /// 1.
    pub retention_hours: u32,
    /// Permissions and weights of organisations. An organisation without a rule has no permissions.
    pub organisations: Vec<OrganisationRule>,
    /// Rules of calls to plain services; the rule with the longest matching path applies.
    pub calls: Vec<CallRule>,
}

impl Default for RuleSet {
    fn default() -> Self {
        RuleSet {
            objective: DecisionObjective::FirstToken,
            default_class: RequestClass::Interactive,
            deadlines_ms: [
                (RequestClass::Interactive, 20_000),
                (RequestClass::Standard, 60_000),
                (RequestClass::Batch, 300_000),
            ]
            .into(),
            weight_loads: 2,
            retention_hours: 168,
            organisations: Vec::new(),
            calls: Vec::new(),
        }
    }
}

impl RuleSet {
    /// The deadline of a request of `class` that specifies none, relative to its arrival; 60 s if
    /// the rules have no entry for the class.
    pub fn default_deadline(&self, class: RequestClass) -> Duration {
        Duration::from_millis(self.deadlines_ms.get(&class).copied().unwrap_or(60_000))
    }
}

/// Optimisation objective of server selection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionObjective {
    /// Minimises the tail latency of the first token.
    #[default]
    FirstToken,
    /// Maximises reuse of cached prompt prefixes.
    Reuse,
}

/// Priority class of a request; a lower value is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A user reads the response as it is generated.
    #[default]
    Interactive,
    /// A user waits for the complete response.
    Standard,
    /// No user waits for the response; shed first under overload.
    Batch,
}

impl RequestClass {
    /// All classes, in order of decreasing priority.
    pub const ALL: [RequestClass; 3] =
        [RequestClass::Interactive, RequestClass::Standard, RequestClass::Batch];

    /// Name of the class in headers, rules and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestClass::Interactive => "interactive",
            RequestClass::Standard => "standard",
            RequestClass::Batch => "batch",
        }
    }
}

/// Permissions and scheduling weight of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRule {
    /// Name of the organisation; must be listed in the register.
    pub organisation: OrganisationId,
    /// Models that it may use; `*` allows all.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Services that it may call; `*` allows all.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Share of capacity under contention, relative to other organisations; positive.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Class of its requests that specify none; if absent, `default_class` of the rule set applies.
    #[serde(default)]
    pub class: Option<RequestClass>,
}

fn default_weight() -> f64 {
    1.0
}

impl OrganisationRule {
    /// Whether the organisation may use `model`.
    pub fn allows_model(&self, model: &str) -> bool {
        self.models.iter().any(|allowed| allowed == "*" || allowed == model)
    }

    /// Whether the organisation may call `service`.
    pub fn allows_service(&self, service: &str) -> bool {
        self.services.iter().any(|allowed| allowed == "*" || allowed == service)
    }
}

/// Whether certain calls to a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// Name of the service; must be listed in the register.
    pub service: ServiceId,
    /// HTTP method in capitals; `*` matches all.
    pub method: String,
    /// Path prefix within the service.
    pub path: String,
    /// Whether the call may run more than once. Without a rule, only GET and HEAD are repeatable.
    pub repeatable: bool,
}
