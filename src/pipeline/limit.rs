//! Access rules, request classes and deadlines of organisations.

use {
    super::{core::ServingConfig, refusal::CallerRefusal},
    crate::{
        ids::OrganisationId,
        inventory::{OrganisationRule, RequestClass},
        observe::metrics::refusal,
    },
    std::time::{Duration, Instant},
};

/// Header with the time in milliseconds within which the caller needs the response.
pub const DEADLINE_HEADER: &str = "x-oleandermount-deadline-ms";
/// Header with the request class.
pub const CLASS_HEADER: &str = "x-oleandermount-class";
/// Upper limit of the time to a deadline; no caller waits longer on an open connection.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// The organisation, class and deadline of a request.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The class of the request, which sets its priority.
    pub class: RequestClass,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
}

/// The request headers that determine a [`CallerContext`].
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerHeaders<'a> {
    /// The value of `Authorization`.
    pub authorization: Option<&'a str>,
    /// The value of [`DEADLINE_HEADER`].
    pub deadline: Option<&'a str>,
    /// The value of [`CLASS_HEADER`].
    pub class: Option<&'a str>,
}

/// Identifies the caller, and determines the class and the deadline of its request.
///
/// # Errors
/// 401 for an unknown caller, 400 for a class or deadline that cannot be parsed.
pub fn resolve_caller(
    serving: &ServingConfig,
    headers: CallerHeaders<'_>,
    arrived: Instant,
) -> Result<CallerContext, CallerRefusal> {
    let organisation = serving.keys.identify(headers.authorization)?;
    let rules = &serving.config.rules;
    let organisation_class = serving.rules.get(&organisation).and_then(|rule| rule.class);
    let class = match headers.class {
        None => organisation_class.unwrap_or(rules.default_class),
        Some(name) => RequestClass::ALL
            .into_iter()
            .find(|class| class.as_str() == name)
            .ok_or_else(|| bad_header(CLASS_HEADER, "interactive, standard or batch"))?,
    };
    let timeout = match headers.deadline {
        None => rules.default_deadline(class),
        Some(text) => text
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| bad_header(DEADLINE_HEADER, "a whole number of milliseconds"))?,
    };
    let deadline = arrived + timeout.min(MAX_DEADLINE);
    Ok(CallerContext { organisation, class, arrived, deadline })
}

fn bad_header(name: &str, expected: &str) -> CallerRefusal {
    CallerRefusal::before_run(400, refusal::BAD_REQUEST, format!("`{name}` must be {expected}"))
}

/// Checks that `model` and `adapter` exist and that the organisation may use them.
///
/// # Errors
/// 404 for an unknown model or adapter, 403 for one that the rules do not allow.
pub fn check_model(
    serving: &ServingConfig,
    organisation: &OrganisationId,
    model: &str,
    adapter: Option<&str>,
) -> Result<(), CallerRefusal> {
    let known = serving.config.register.models.iter().find(|record| record.id == model);
    let has_adapter = |name: &str| {
        known.is_some_and(|record| record.adapters.iter().any(|adapter| adapter == name))
    };
    if known.is_none() || adapter.is_some_and(|name| !has_adapter(name)) {
        let message = format!("no model `{model}` with that adapter; GET /v1/models lists them");
        return Err(CallerRefusal::before_run(404, refusal::NOT_FOUND, message));
    }
    check_allowed(serving, organisation, |rule| rule.allows_model(model), "model")
}

/// Checks that `service` exists and that the organisation may call it.
///
/// # Errors
/// 404 for an unknown service, 403 for one that the rules do not allow.
pub fn check_service(
    serving: &ServingConfig,
    organisation: &OrganisationId,
    service: &str,
) -> Result<(), CallerRefusal> {
    if !serving.config.register.services.iter().any(|record| record.id == service) {
        let message = format!("no service `{service}`; check the path after /services/");
        return Err(CallerRefusal::before_run(404, refusal::NOT_FOUND, message));
    }
    check_allowed(serving, organisation, |rule| rule.allows_service(service), "service")
}

fn check_allowed(
    serving: &ServingConfig,
    organisation: &OrganisationId,
    is_allowed: impl Fn(&OrganisationRule) -> bool,
    resource: &str,
) -> Result<(), CallerRefusal> {
    match serving.rules.get(organisation) {
        Some(rule) if is_allowed(rule) => Ok(()),
        _ => {
            let message = format!(
                "the rules do not allow `{organisation}` this {resource}; \
                 ask your operators for a rule"
            );
            Err(CallerRefusal::before_run(403, refusal::NOT_ALLOWED, message))
        }
    }
}

/// Whether a call to a service may run more than once. Without a matching rule, only GET and HEAD
/// calls may.
pub fn is_repeatable(serving: &ServingConfig, service: &str, method: &str, path: &str) -> bool {
    serving
        .config
        .rules
        .calls
        .iter()
        .filter(|rule| rule.service == service)
        .filter(|rule| rule.method == "*" || rule.method == method)
        .filter(|rule| path.starts_with(&rule.path))
        .max_by_key(|rule| (rule.path.len(), rule.method != "*"))
        .map_or(matches!(method, "GET" | "HEAD"), |rule| rule.repeatable)
}
