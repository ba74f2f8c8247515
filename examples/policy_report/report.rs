//! Formats the results of a run as JSON objects or table rows, one per class.

use {
    super::harness::{
        callers::organisation_name,
        run_metrics::{ReportClass, RunMetrics, ratio},
    },
    serde_json::{Map, Value, json},
    std::time::Duration,
};

/// Label of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunLabel {
    /// Name of the site.
    pub site: &'static str,
    /// Name of the load.
    pub load: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the run.
    pub seed: u64,
}

/// Returns the JSON lines of a run, one for each class with requests.
pub fn json_lines(label: RunLabel, run_metrics: &RunMetrics) -> Vec<String> {
    classes(run_metrics).map(|class| class_object(label, run_metrics, class).to_string()).collect()
}

/// Returns the header line of the table.
pub fn table_head() -> String {
    format!(
        "{:<18} {:<13} {:<12} {:>6} {:>8} {:>8} {:>8} {:>8} {:>6} {:>10} {:>6} {:>4}  {}",
        "load",
        "policy",
        "class",
        "asked",
        "goodput",
        "p50 ms",
        "p99 ms",
        "p99+miss",
        "hit",
        "recomputed",
        "sent/a",
        "lost",
        "refused"
    )
}

/// Returns the table rows of a run, one for each class with requests.
pub fn table_rows(label: RunLabel, run_metrics: &RunMetrics) -> Vec<String> {
    classes(run_metrics).map(|class| table_row(label, run_metrics, class)).collect()
}

fn classes(run_metrics: &RunMetrics) -> impl Iterator<Item = ReportClass> {
    ReportClass::ALL.into_iter().filter(|class| !run_metrics.callers_of_class(*class).is_empty())
}

fn class_object(label: RunLabel, run_metrics: &RunMetrics, class: ReportClass) -> Value {
    let metrics = run_metrics.class_metrics(class);
    let work = run_metrics.work.get(&class).copied().unwrap_or_default();
    let shares: Map<String, Value> = metrics
        .shares
        .iter()
        .enumerate()
        .map(|(index, share)| (organisation_name(index), json!(rounded(*share))))
        .collect();
    json!({
        "site": label.site,
        "load": label.load,
        "policy": label.policy,
        "seed": label.seed,
        "class": class.as_str(),
        "asked": metrics.requests,
        "answered": metrics.answered,
        "goodput": rounded(metrics.goodput()),
        "p50_first_token_ms": millis(metrics.p50),
        "p99_first_token_ms": millis(metrics.p99),
        "p99_misses_ms": millis(metrics.p99_misses),
        "hit_rate": rounded(ratio(work.cached, work.prompt)),
        "prompt_tokens": work.prompt,
        "recomputed_tokens": work.recomputed,
        "refused": metrics.refused,
        "sent_per_asked": rounded(ratio(metrics.sends, metrics.requests)),
        "servers_lost": run_metrics.servers_lost,
        "share_by_organisation": shares,
        "breaches": run_metrics.violations.len(),
    })
}

fn table_row(label: RunLabel, run_metrics: &RunMetrics, class: ReportClass) -> String {
    let metrics = run_metrics.class_metrics(class);
    let work = run_metrics.work.get(&class).copied().unwrap_or_default();
    let refused: Vec<String> =
        metrics.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
    format!(
        "{:<18} {:<13} {:<12} {:>6} {:>8.3} {:>8.1} {:>8.1} {:>8.1} {:>6.3} {:>10} {:>6.3} {:>4}  {}",
        label.load,
        label.policy,
        class.as_str(),
        metrics.requests,
        metrics.goodput(),
        millis(metrics.p50).unwrap_or(f64::NAN),
        millis(metrics.p99).unwrap_or(f64::NAN),
        millis(metrics.p99_misses).unwrap_or(f64::NAN),
        ratio(work.cached, work.prompt),
        work.recomputed,
        ratio(metrics.sends, metrics.requests),
        run_metrics.servers_lost,
        refused.join(", "),
    )
}

fn millis(time: Option<Duration>) -> Option<f64> {
    time.map(|time| (time.as_secs_f64() * 10_000.0).round() / 10.0)
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
