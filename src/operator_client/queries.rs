//! Commands that only query daemons.

use {
    super::{
        connection::AdminConnection,
        error::ClientError,
        report::ClientReport,
        table::{TextTable, text_or_dash},
    },
    crate::{
        http_api::operator::wire::{
            ConfigChange, ConfigReport, DaemonStatus, ExplainReport, OrganisationStatus,
            ReplicaEntry, RevisionReport, ServerStatus,
        },
        ids::{RequestId, Revision},
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Interval between polls: short compared with the seconds that a change takes, and long compared with the time in which a
/// few hundred daemons respond.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct StatusRow {
    admin: String,
    /// Absent if the daemon did not respond.
    status: Option<DaemonStatus>,
}

/// `status`: queries every address, because each daemon reports only its own state.
pub async fn list_daemons(connection: &AdminConnection) -> Result<ClientReport, ClientError> {
    let mut rows = Vec::new();
    let mut failures = Vec::new();
    for address in connection.addresses() {
        let response = connection.query_address::<DaemonStatus>(address, "/v1/status").await;
        let status = match response {
            Ok(status) => Some(status),
            Err(ClientError::Unreachable(texts)) => {
                failures.extend(texts);
                None
            }
            Err(error) => {
                failures.push(error.to_string());
                None
            }
        };
        rows.push(StatusRow { admin: address.to_string(), status });
    }
    if rows.iter().all(|row| row.status.is_none()) {
        return Err(ClientError::Unreachable(failures));
    }
    let head = [
        "vm",
        "domain",
        "role",
        "state",
        "revision",
        "replica",
        "leader",
        "term",
        "in flight",
        "up",
    ];
    let mut table = TextTable::new(&head);
    for row in &rows {
        match &row.status {
            Some(status) => table.push_row(status_cells(status)),
            None => table.push_row([row.admin.clone(), "does not answer".to_owned()]),
        }
    }
    Ok(ClientReport::from_table(&rows, &table))
}

fn status_cells(status: &DaemonStatus) -> [String; 10] {
    let uptime = Duration::from_secs(status.uptime_seconds);
    [
        status.vm.clone(),
        status.failure_domain.clone(),
        status.role.clone(),
        status.state.as_str().to_owned(),
        status.revision.to_string(),
        status.replica.clone(),
        text_or_dash(status.leader.as_ref()),
        status.term.to_string(),
        status.in_flight.to_string(),
        humantime::format_duration(uptime).to_string(),
    ]
}

/// `servers`: the backend servers as seen by the first daemon that responds.
pub async fn list_servers(connection: &AdminConnection) -> Result<ClientReport, ClientError> {
    let servers: Vec<ServerStatus> = connection.query("/v1/servers").await?;
    let mut table = TextTable::new(&[
        "server",
        "domain",
        "kind",
        "health",
        "weights",
        "in flight",
        "window",
        "running",
        "waiting",
    ]);
    for server in &servers {
        let weights: Vec<String> =
            server.weights.iter().map(|(model, version)| format!("{model}@{version}")).collect();
        let kind = serde_json::to_value(server.kind).expect("a server kind serializes to a string");
        table.push_row([
            server.id.clone(),
            server.failure_domain.clone(),
            kind.as_str().unwrap_or_default().to_owned(),
            server.health.clone(),
            text_or_dash((!weights.is_empty()).then(|| weights.join(","))),
            server.in_flight.to_string(),
            text_or_dash(server.window),
            text_or_dash(server.running),
            text_or_dash(server.waiting),
        ]);
    }
    Ok(ClientReport::from_table(&servers, &table))
}

/// `organisations`: at most `limit` organisations with the most usage.
pub async fn list_organisations(
    connection: &AdminConnection,
    limit: usize,
) -> Result<ClientReport, ClientError> {
    let path = format!("/v1/organisations?limit={limit}");
    let organisations: Vec<OrganisationStatus> = connection.query(&path).await?;
    let mut table =
        TextTable::new(&["organisation", "requests", "answered", "refused", "tokens", "in flight"]);
    for organisation in &organisations {
        table.push_row([
            organisation.id.clone(),
            organisation.requests.to_string(),
            organisation.answered.to_string(),
            organisation.refused.to_string(),
            organisation.tokens.to_string(),
            organisation.in_flight.to_string(),
        ]);
    }
    Ok(ClientReport::from_table(&organisations, &table))
}

/// `replica list`: members of the control group.
pub async fn list_replicas(connection: &AdminConnection) -> Result<ClientReport, ClientError> {
    let replicas: Vec<ReplicaEntry> = connection.query("/v1/replicas").await?;
    let mut table = TextTable::new(&["vm", "role", "incarnation", "applied"]);
    for replica in &replicas {
        let role = match (replica.leader, replica.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        table.push_row([
            replica.vm.clone(),
            role.to_owned(),
            replica.incarnation.to_string(),
            text_or_dash(replica.applied),
        ]);
    }
    Ok(ClientReport::from_table(&replicas, &table))
}

/// `config show`: summary of the active configuration.
pub async fn show_config(connection: &AdminConnection) -> Result<ClientReport, ClientError> {
    let config: ConfigReport = connection.query("/v1/config").await?;
    let register = &config.register;
    let mut table = TextTable::new(&["what", "value"]);
    let rows = [
        ("revision", config.revision.to_string()),
        ("register digest", config.register_digest.clone()),
        ("rules digest", config.rules_digest.clone()),
        ("failure domains", register.failure_domains.len().to_string()),
        ("VMs", register.vms.len().to_string()),
        ("models", register.models.len().to_string()),
        ("services", register.services.len().to_string()),
        ("backend servers", register.servers.len().to_string()),
        ("organisations", register.organisations.len().to_string()),
        ("organisation rules", config.rules.organisations.len().to_string()),
        ("call rules", config.rules.calls.len().to_string()),
    ];
    for (what, value) in rows {
        table.push_row([what.to_owned(), value]);
    }
    Ok(ClientReport::from_table(&config, &table))
}

/// `config history`: the latest configuration changes.
pub async fn show_history(connection: &AdminConnection) -> Result<ClientReport, ClientError> {
    let changes: Vec<ConfigChange> = connection.query("/v1/config/history").await?;
    let mut table = TextTable::new(&["revision", "part", "operation", "digest"]);
    for change in &changes {
        table.push_row([
            change.revision.to_string(),
            change.part.clone(),
            change.operation.clone(),
            change.digest.clone(),
        ]);
    }
    Ok(ClientReport::from_table(&changes, &table))
}

/// `config wait`: polls until the revision is active on all VMs.
pub async fn wait_for_revision(
    connection: &AdminConnection,
    revision: Revision,
    timeout: Duration,
) -> Result<ClientReport, ClientError> {
    let until = Instant::now() + timeout;
    let path = format!("/v1/config/where?revision={revision}");
    loop {
        let report = connection.query::<RevisionReport>(&path).await;
        if let Ok(report) = &report
            && report.behind().next().is_none()
        {
            let text = format!("revision {revision} is in force on {} VMs\n", report.vms.len());
            return Ok(ClientReport::from_text(report, text));
        }
        if Instant::now() >= until {
            return Err(
                report.map_or_else(|error| error, |report| revision_pending(&report, timeout))
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn revision_pending(report: &RevisionReport, timeout: Duration) -> ClientError {
    let rows: Vec<String> = report
        .behind()
        .map(|vm| match vm.revision {
            Some(revision) => format!("{} ({}): {revision}", vm.vm, vm.failure_domain),
            None => format!("{} ({}): does not answer", vm.vm, vm.failure_domain),
        })
        .collect();
    ClientError::RevisionPending(format!(
        "revision {} is not active on all VMs after {}; check these VMs, or wait again:\n  {}",
        report.revision,
        humantime::format_duration(timeout),
        rows.join("\n  ")
    ))
}

/// `explain`: trace of a request from all daemons that processed it.
pub async fn explain_request(
    connection: &AdminConnection,
    request: RequestId,
) -> Result<ClientReport, ClientError> {
    let is_valid =
        request.chars().all(|letter| letter.is_ascii_alphanumeric() || "-_.".contains(letter));
    if request.is_empty() || !is_valid {
        let remedy = "give the exact value of X-Oleandermount-Request-Id from the response";
        return Err(ClientError::Usage(format!("\"{request}\" is no request id: {remedy}")));
    }
    let report: ExplainReport = connection.query(&format!("/v1/explain/{request}")).await?;
    let text = report
        .traces
        .iter()
        .flat_map(|(vm, lines)| lines.iter().map(move |line| format!("{vm}: {line}\n")))
        .collect();
    Ok(ClientReport::from_text(&report, text))
}
