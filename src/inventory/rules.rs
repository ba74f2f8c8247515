//! The rules that operators set beside the register.

use {
    crate::ids::{ModelId, OrganisationId, ServiceId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// The whole rule set, as an operator loads it from TOML or JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleSet {
    /// What placement optimises.
    pub objective: DecisionObjective,
    /// The class of a request that names none.
    pub default_class: RequestClass,
    /// The time a caller has when it gives no deadline, in milliseconds by class.
    pub deadlines_ms: BTreeMap<RequestClass, u64>,
    /// Weight loads that may run at the same time; at least 1.
    pub weight_loads: u32,
    /// Hours for which a finished non-repeatable call answers its resends; at least 1.
    pub retention_hours: u32,
    /// Rules of single organisations. An organisation without one may use nothing.
    pub organisations: Vec<OrganisationRule>,
    /// Rules of single calls to plain services; the longest matching path wins.
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
    /// The time a caller of `class` has when it gives no deadline.
    pub fn default_deadline(&self, class: RequestClass) -> Duration {
        Duration::from_millis(self.deadlines_ms.get(&class).copied().unwrap_or(60_000))
    }
}

/// What placement optimises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionObjective {
    /// The time to the first token, at the tail above all.
    #[default]
    FirstToken,
    /// Reuse of cached prompt prefixes.
    Reuse,
}

/// How urgent a request is; lower sorts first and is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A person waits for each word.
    #[default]
    Interactive,
    /// A person waits for the whole.
    Standard,
    /// Nobody waits; shed first.
    Batch,
}

impl RequestClass {
    /// All classes, most urgent first.
    pub const ALL: [RequestClass; 3] =
        [RequestClass::Interactive, RequestClass::Standard, RequestClass::Batch];

    /// The name used in headers, rules and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestClass::Interactive => "interactive",
            RequestClass::Standard => "standard",
            RequestClass::Batch => "batch",
        }
    }
}

/// What one organisation may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRule {
    /// The organisation; must be listed in the register.
    pub organisation: OrganisationId,
    /// Models it may use; `*` allows all.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Services it may call; `*` allows all.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Its share under contention relative to the others; positive.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The class of its requests that name none.
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

/// Which calls to a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The service; must be listed in the register.
    pub service: ServiceId,
    /// The HTTP method in capitals; `*` matches all.
    pub method: String,
    /// The start of the path within the service.
    pub path: String,
    /// Whether the call may run more than once. Calls without a rule: GET and HEAD may, others not.
    pub repeatable: bool,
}
