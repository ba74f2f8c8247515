//! `explain --log`: finds the cause of a request's failure in log files, given the request id.
//!
//! The report lists the records of the request, followed by state changes that the same process
//! logged and events at the involved servers around the time of the failure.

use {
    super::{error::ClientError, report::ClientReport},
    crate::{
        ids::RequestId,
        observe::{
            events,
            log_files::{LogRecord, read_records},
            metrics::refusal,
        },
        policy::RefusalReason,
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
        path::{Path, PathBuf},
        time::{Duration, SystemTime},
    },
};

/// How long before the first record of a request and after its last one other records are included.
/// Other requests detect the failure of a server within a second, and a follower detects an
/// unresponsive control VM after 1.4 s.
const CONTEXT_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum number of records shown in each section; further ones are counted.
const SHOWN_RECORDS: usize = 50;

/// State changes that can explain the failure of a request in the process that logs them.
const RELATED_EVENTS: [&str; 11] = [
    events::SERVER_UNAVAILABLE,
    events::SERVER_RECOVERED,
    events::SERVER_MISMATCHED,
    events::FOLLOWING,
    events::CONTROL_UNRESPONSIVE,
    events::LIST_UNCONFIRMED,
    events::LIST_CONFIRMED,
    events::ROUTES_ACTIVATED,
    events::RECORDS_DROPPED,
    events::CAP_EXCEEDED,
    events::CAP_KEPT,
];

/// Explanation of one request from the logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogExplanation {
    /// How the request ended, whether it ran, and why.
    pub cause: String,
    /// Records of the request, oldest first.
    pub own: Vec<String>,
    /// Other events of the process and the servers involved, oldest first.
    pub around: Vec<String>,
    /// Number of failed attempts of other requests in the same time span, by server and failure.
    pub failures_around: BTreeMap<String, u64>,
    /// Number of refusals of other requests in the same time span, by reason.
    pub refusals_around: BTreeMap<String, u64>,
}

/// Explains a request from log files.
///
/// # Errors
/// `Usage` when a file cannot be opened, or when no file has a record of the request.
pub fn explain_from_logs(
    logs: &[PathBuf],
    request: &RequestId,
) -> Result<ClientReport, ClientError> {
    let explanation = build_explanation(logs, request)?;
    Ok(ClientReport::from_text(&explanation, format_explanation(&explanation)))
}

fn build_explanation(logs: &[PathBuf], request: &RequestId) -> Result<LogExplanation, ClientError> {
    let mut own = Vec::new();
    for path in logs {
        own.extend(open_records(path)?.filter(|record| record.request_id() == request));
    }
    own.sort_by_key(|record| record.time);
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let remedy = "give the files of all processes, and the id that the caller sent";
        return Err(ClientError::Usage(format!("no record of request {request}; {remedy}")));
    };
    let span = RequestSpan {
        from: first.time - CONTEXT_MARGIN - Duration::from_millis(first.number("waited_ms")),
        until: last.time + CONTEXT_MARGIN,
        sources: own.iter().map(|record| record.source.clone()).collect(),
        servers: own.iter().map(|record| record.text(events::SERVER).to_owned()).collect(),
    };
    let mut explanation =
        LogExplanation { cause: describe_cause(&own), ..LogExplanation::default() };
    let mut around = Vec::new();
    for path in logs {
        for record in open_records(path)?.filter(|record| record.request_id() != request) {
            span.collect(record, &mut explanation, &mut around);
        }
    }
    around.sort_by_key(|record: &LogRecord| record.time);
    explanation.own = format_records(&own);
    explanation.around = format_records(&around);
    Ok(explanation)
}

fn open_records(path: &Path) -> Result<impl Iterator<Item = LogRecord> + use<>, ClientError> {
    read_records(path).map_err(|error| {
        ClientError::Usage(format!("{} cannot be read ({error}); correct the path", path.display()))
    })
}

/// Time span, processes and servers of a request.
struct RequestSpan {
    from: SystemTime,
    until: SystemTime,
    sources: BTreeSet<String>,
    servers: BTreeSet<String>,
}

impl RequestSpan {
    fn collect(
        &self,
        record: LogRecord,
        explanation: &mut LogExplanation,
        around: &mut Vec<LogRecord>,
    ) {
        if record.time < self.from || record.time > self.until {
            return;
        }
        let server = record.text(events::SERVER);
        let at_server = !server.is_empty() && self.servers.contains(server);
        match record.event_name() {
            events::ATTEMPT_FAILED => {
                let key = format!("{server} {}", record.text("failure"));
                *explanation.failures_around.entry(key).or_default() += 1;
            }
            events::REQUEST_REFUSED => {
                let reason = record.text("reason").to_owned();
                *explanation.refusals_around.entry(reason).or_default() += 1;
            }
            events::WEIGHTS_ORDERED if at_server => around.push(record),
            event if RELATED_EVENTS.contains(&event) => {
                let own_process = self.sources.contains(&record.source);
                if own_process && (server.is_empty() || at_server) {
                    around.push(record);
                }
            }
            _ => {}
        }
    }
}

/// Describes how a request ended and why, in one or two sentences.
fn describe_cause(own: &[LogRecord]) -> String {
    let last = own.iter().rev().find(|record| record.event_name() != events::ATTEMPT_FAILED);
    let failed = own.iter().rev().find(|record| record.event_name() == events::ATTEMPT_FAILED);
    let Some(last) = last else {
        return "Its end is not in the logs: the process ended first, or the record was dropped."
            .to_owned();
    };
    let mut cause = match last.event_name() {
        events::REQUEST_REFUSED => describe_refusal(last),
        events::STREAM_INTERRUPTED => format!(
            "The stream broke off after {} events at {}: {}.",
            last.number("relayed_events"),
            last.text(events::SERVER),
            describe_reason(last.text("reason"))
        ),
        events::FAILURE_FORWARDED => format!(
            "A server responded with {}, and no other server succeeded; that response was forwarded.",
            last.number("status")
        ),
        events::CALLER_DISCONNECTED => format!(
            "The caller closed its connection after {} ms, before the response was complete.",
            last.number("waited_ms")
        ),
        events::RESPONSE_COMPLETED | events::STREAM_COMPLETED => describe_completion(last),
        event => format!("Its last record is \"{event}\"."),
    };
    if let Some(failed) = failed {
        let (server, failure) = (failed.text(events::SERVER), failed.text("failure"));
        let _ = write!(
            cause,
            " Its last failed attempt was at {server} ({failure}): {}.",
            describe_failure(failure)
        );
    }
    cause
}

fn describe_refusal(last: &LogRecord) -> String {
    let reason = last.text("reason");
    let ran = match last.number("sent_to") {
        0 => "no server began it".to_owned(),
        count => format!("{count} server(s) may have run it: its outcome is unknown here"),
    };
    let mut text = format!(
        "It was refused after {} ms and {ran}. {reason}: {}.",
        last.number("waited_ms"),
        describe_reason(reason)
    );
    if reason == refusal::USAGE_LIMIT {
        let _ = write!(text, " {}", describe_cap(last));
    }
    text
}

/// Describes the usage limit that a request was beyond.
fn describe_cap(last: &LogRecord) -> String {
    let figure = |key: &str| last.fields.get(key).map(ToString::to_string).unwrap_or_default();
    format!(
        "It needed {} units of organisation {}, which may use {} a second and {} at once, in {} over all \
         entries. There was room after {} ms.",
        figure("units"),
        last.text("organisation"),
        figure("rate"),
        figure("burst"),
        last.text("unit").to_lowercase(),
        last.number("retry_after_ms")
    )
}

fn describe_completion(last: &LogRecord) -> String {
    let mut text = format!("Its response was complete after {} ms", last.number("total_ms"));
    if last.event_name() == events::STREAM_COMPLETED {
        let _ = write!(
            text,
            ", with the first event after {} ms and a longest pause of {} ms",
            last.number("first_event_ms"),
            last.number("longest_pause_ms")
        );
    }
    let _ = write!(text, ", from {}.", last.text(events::SERVER));
    text
}

/// Explains a refusal reason to operators.
fn describe_reason(reason: &str) -> &'static str {
    const POLICY: [(RefusalReason, &str); 12] = [
        (
            RefusalReason::DeadlineUnreachable,
            "load: it could not have completed before its deadline",
        ),
        (RefusalReason::DeadlinePassed, "its deadline had passed"),
        (RefusalReason::QueueFull, "load: too many requests were queued at this daemon"),
        (RefusalReason::OverShare, "load: its organisation exceeded its share"),
        (RefusalReason::NoServer, "no server of its service was available; check the servers"),
        (RefusalReason::CrashesServers, "similar requests crashed servers"),
        (RefusalReason::RetriesExhausted, "its attempts failed, and it may not be retried"),
        (RefusalReason::ServerFailed, "its server failed, and it may not be repeated"),
        (RefusalReason::ServersLimited, "all servers limited how many requests they take"),
        (RefusalReason::NoSlot, "load: no slot of its servers was free in time"),
        (RefusalReason::ServersResting, "all its servers had asked not to be used for a while"),
        (RefusalReason::NotResumable, "its server failed, and no other server could resume it"),
    ];
    const FILTERS: [(&str, &str); 13] = [
        (refusal::BAD_REQUEST, "the request is malformed"),
        (refusal::NO_KEY, "it has no API key"),
        (refusal::UNKNOWN_KEY, "its API key belongs to no organisation of the configuration"),
        (refusal::NOT_FOUND, "it matches no route of the configuration"),
        (refusal::TOO_LARGE, "it exceeds a limit"),
        (refusal::DRAINING, "this daemon was shutting down"),
        (refusal::HEAD_TIMEOUT, "its head was not received in time"),
        (refusal::BODY_TIMEOUT, "its body was not received in time"),
        (refusal::NO_MEMORY, "load: this daemon held as much for its clients as it can"),
        (refusal::TOO_MANY_OPEN, "this daemon had reached its limit of open requests"),
        (refusal::BACKEND_FAILED, "its server failed, and it may not be repeated"),
        (refusal::USAGE_LIMIT, "its organisation was beyond its usage limit"),
        (refusal::NO_ROUTES, "this daemon had no configuration yet"),
    ];
    let policy_text = POLICY.iter().find(|(known, _)| known.as_str() == reason);
    let filter_text = || FILTERS.iter().find(|(known, _)| *known == reason).map(|(_, text)| *text);
    policy_text.map(|(_, text)| *text).or_else(filter_text).unwrap_or("see the metrics")
}

/// Explains what a failed attempt implies about whether the request ran.
fn describe_failure(failure: &str) -> &'static str {
    match failure {
        "NotConnected" => "no connection was made, so that server did not run it",
        "NoSlot" => "no slot of the server was free in time; nothing was sent",
        "Declined" => "the server reported that it did not run it",
        "Stale" => "it was not sent, because the decision was out of date",
        "Unreachable" => {
            "its VM stopped acknowledging after it was sent; check the VM and the network"
        }
        "Broken" => "the connection ended after it was sent; ask that server under this id",
        "TimedOut" => "no response was received in time; ask that server under this id",
        "ServerError" => "the server ran it and responded with an error",
        _ => "see docs/OPERATIONS.md",
    }
}

fn format_records(records: &[LogRecord]) -> Vec<String> {
    let mut lines: Vec<String> = records.iter().take(SHOWN_RECORDS).map(format_record).collect();
    if records.len() > SHOWN_RECORDS {
        lines.push(format!("and {} more", records.len() - SHOWN_RECORDS));
    }
    lines
}

fn format_record(record: &LogRecord) -> String {
    const OMITTED_KEYS: [&str; 5] = [events::MESSAGE, "time", "target", "level", "request_id"];
    let fields = record.fields.iter().filter(|(key, _)| !OMITTED_KEYS.contains(&key.as_str()));
    let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
    let time = humantime::format_rfc3339_millis(record.time);
    format!("{time} {} {}: {}", record.source, record.event_name(), fields.join(" "))
}

fn format_explanation(explanation: &LogExplanation) -> String {
    let mut text = format!("{}\n\n", explanation.cause);
    let mut section = |title: &str, lines: Vec<String>| {
        if !lines.is_empty() {
            let _ = writeln!(text, "{title}\n  {}", lines.join("\n  "));
        }
    };
    section("the request", explanation.own.clone());
    section("\nother events of its process and its servers", explanation.around.clone());
    let format_counts = |counts: &BTreeMap<String, u64>| {
        counts.iter().map(|(name, count)| format!("{count} x {name}")).collect()
    };
    section("\nother requests' failed attempts", format_counts(&explanation.failures_around));
    section("\nother requests' refusals", format_counts(&explanation.refusals_around));
    text
}
