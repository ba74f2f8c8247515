//! `explain --log`: from a request's id to the cause of its failure, out of log files alone.
//!
//! The request's own records come first, then what the same process learned, and what happened at the
//! servers involved, around the time of the failure.

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

/// How long before a request's first record and after its last one others may tell its cause: a
/// server's failure is found by its other requests within a second, and the control VMs' silence
/// after 1.4 s.
const CONTEXT_MARGIN: Duration = Duration::from_millis(1_500);
/// Records shown of one request, and beside it; further ones are counted.
const SHOWN_RECORDS: usize = 50;

/// Changes of belief that can explain a request's failure at the process that logs them.
const RELATED_EVENTS: [&str; 9] = [
    events::SERVER_UNAVAILABLE,
    events::SERVER_RECOVERED,
    events::SERVER_MISMATCHED,
    events::FOLLOWING,
    events::CONTROL_UNRESPONSIVE,
    events::LIST_UNCONFIRMED,
    events::LIST_CONFIRMED,
    events::ROUTES_ACTIVATED,
    events::RECORDS_DROPPED,
];

/// What the logs say of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogExplanation {
    /// How it ended, whether it ran, and why.
    pub cause: String,
    /// Its own records, oldest first.
    pub own: Vec<String>,
    /// What else happened to the process and the servers involved.
    pub around: Vec<String>,
    /// Failed sendings of other requests in the same span, by server and failure.
    pub failures_around: BTreeMap<String, u64>,
    /// Refusals of other requests in the same span, by reason.
    pub refusals_around: BTreeMap<String, u64>,
}

/// Explains a request by log files.
///
/// # Errors
/// When a file cannot be read, or none tells of the request.
pub fn explain(logs: &[PathBuf], request: &RequestId) -> Result<ClientReport, ClientError> {
    let explanation = explanation_of(logs, request)?;
    Ok(ClientReport::text(&explanation, as_text(&explanation)))
}

fn explanation_of(logs: &[PathBuf], request: &RequestId) -> Result<LogExplanation, ClientError> {
    let mut own = Vec::new();
    for path in logs {
        own.extend(records(path)?.filter(|record| record.request() == request));
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
    let mut explanation = LogExplanation { cause: cause_of(&own), ..LogExplanation::default() };
    let mut around = Vec::new();
    for path in logs {
        for record in records(path)?.filter(|record| record.request() != request) {
            span.collect(record, &mut explanation, &mut around);
        }
    }
    around.sort_by_key(|record: &LogRecord| record.time);
    explanation.own = lines(&own);
    explanation.around = lines(&around);
    Ok(explanation)
}

fn records(path: &Path) -> Result<impl Iterator<Item = LogRecord> + use<>, ClientError> {
    read_records(path).map_err(|error| {
        ClientError::Usage(format!("{} cannot be read ({error}); correct the path", path.display()))
    })
}

/// Where and when a request was worked on.
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
        match record.event() {
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

/// How a request ended and why, in a sentence or two.
fn cause_of(own: &[LogRecord]) -> String {
    let last = own.iter().rev().find(|record| record.event() != events::ATTEMPT_FAILED);
    let failed = own.iter().rev().find(|record| record.event() == events::ATTEMPT_FAILED);
    let Some(last) = last else {
        return "Its end is not in the logs: the process ended first, or the record was left out."
            .to_owned();
    };
    let mut cause = match last.event() {
        events::REQUEST_REFUSED => refusal_text(last),
        events::STREAM_INTERRUPTED => format!(
            "The stream broke off after {} events at {}: {}.",
            last.number("relayed_events"),
            last.text(events::SERVER),
            reason_text(last.text("reason"))
        ),
        events::FAILURE_FORWARDED => format!(
            "A server answered {}, and no other did better; that answer was passed on.",
            last.number("status")
        ),
        events::CALLER_DISCONNECTED => format!(
            "The caller closed its connection after {} ms, before it had its answer.",
            last.number("waited_ms")
        ),
        events::ANSWER_COMPLETED | events::STREAM_COMPLETED => completion_text(last),
        event => format!("Its last record is \"{event}\"."),
    };
    if let Some(failed) = failed {
        let (server, failure) = (failed.text(events::SERVER), failed.text("failure"));
        let _ = write!(
            cause,
            " Its last failed sending went to {server} ({failure}): {}.",
            failure_text(failure)
        );
    }
    cause
}

fn refusal_text(last: &LogRecord) -> String {
    let reason = last.text("reason");
    let ran = match last.number("sent_to") {
        0 => "no server began it".to_owned(),
        count => format!("{count} server(s) may have run it: its outcome is unknown here"),
    };
    format!(
        "It was refused after {} ms and {ran}. {reason}: {}.",
        last.number("waited_ms"),
        reason_text(reason)
    )
}

fn completion_text(last: &LogRecord) -> String {
    let mut text = format!("It was answered whole after {} ms", last.number("total_ms"));
    if last.event() == events::STREAM_COMPLETED {
        let _ = write!(
            text,
            ", its first event after {} ms and with a longest pause of {} ms",
            last.number("first_event_ms"),
            last.number("longest_pause_ms")
        );
    }
    let _ = write!(text, ", by {}.", last.text(events::SERVER));
    text
}

/// What a reason of a refusal means for who looks for its cause.
fn reason_text(reason: &str) -> &'static str {
    const POLICY: [(RefusalReason, &str); 9] = [
        (RefusalReason::DeadlineUnreachable, "load: it could not have been answered in time"),
        (RefusalReason::DeadlinePassed, "its time was over"),
        (RefusalReason::QueueFull, "load: too many requests waited here"),
        (RefusalReason::OverShare, "load: its organisation was over its share"),
        (RefusalReason::NoServer, "no server of its service took work; look at the servers"),
        (RefusalReason::CrashesServers, "requests like it crashed servers"),
        (RefusalReason::RetriesExhausted, "servers failed it, and it may not be sent again"),
        (RefusalReason::ServerFailed, "its server failed, and it may not be repeated"),
        (RefusalReason::NotResumable, "its server failed, and no other could go on with it"),
    ];
    const FILTERS: [(&str, &str); 11] = [
        (refusal::BAD_REQUEST, "the request is malformed"),
        (refusal::NO_KEY, "it carries no key"),
        (refusal::UNKNOWN_KEY, "its key belongs to no organisation of the configuration"),
        (refusal::NOT_FOUND, "no route of the configuration fits it"),
        (refusal::TOO_LARGE, "it is over a limit"),
        (refusal::DRAINING, "this daemon was stopping"),
        (refusal::HEAD_TIMEOUT, "its head came too slowly"),
        (refusal::BODY_TIMEOUT, "its body came too slowly"),
        (refusal::TOO_MANY_OPEN, "this daemon held as many requests as it can"),
        (refusal::BACKEND_FAILED, "its server failed, and it may not be repeated"),
        (refusal::NO_ROUTES, "this daemon knew no configuration yet"),
    ];
    let of_policy = POLICY.iter().find(|(known, _)| known.as_str() == reason);
    let of_filter = || FILTERS.iter().find(|(known, _)| *known == reason).map(|(_, text)| *text);
    of_policy.map(|(_, text)| *text).or_else(of_filter).unwrap_or("see the measures")
}

/// What a failed sending says of whether the request ran.
fn failure_text(failure: &str) -> &'static str {
    match failure {
        "NotConnected" => "no connection was made, so that server did not run it",
        "Declined" => "the server said that it did not run it",
        "Stale" => "it was not sent, since the decision was out of date",
        "Broken" => "the connection ended after it was sent; ask that server under this id",
        "TimedOut" => "no answer came in time; ask that server under this id",
        "ServerError" => "the server ran it and answered with its own failure",
        _ => "see docs/OPERATIONS.md",
    }
}

fn lines(records: &[LogRecord]) -> Vec<String> {
    let mut lines: Vec<String> = records.iter().take(SHOWN_RECORDS).map(line).collect();
    if records.len() > SHOWN_RECORDS {
        lines.push(format!("and {} more", records.len() - SHOWN_RECORDS));
    }
    lines
}

fn line(record: &LogRecord) -> String {
    const OMITTED_KEYS: [&str; 5] = [events::MESSAGE, "time", "target", "level", "request_id"];
    let fields = record.fields.iter().filter(|(key, _)| !OMITTED_KEYS.contains(&key.as_str()));
    let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
    let time = humantime::format_rfc3339_millis(record.time);
    format!("{time} {} {}: {}", record.source, record.event(), fields.join(" "))
}

fn as_text(explanation: &LogExplanation) -> String {
    let mut text = format!("{}\n\n", explanation.cause);
    let mut section = |title: &str, lines: Vec<String>| {
        if !lines.is_empty() {
            let _ = writeln!(text, "{title}\n  {}", lines.join("\n  "));
        }
    };
    section("the request", explanation.own.clone());
    section("\nbeside it, at its process and its servers", explanation.around.clone());
    let counted = |counts: &BTreeMap<String, u64>| {
        counts.iter().map(|(name, count)| format!("{count} x {name}")).collect()
    };
    section("\nother requests' failed sendings", counted(&explanation.failures_around));
    section("\nother requests' refusals", counted(&explanation.refusals_around));
    text
}
