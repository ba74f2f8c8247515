//! Commands that change the configuration or the state of daemons.

use {
    super::{
        commands::ApplyOptions,
        connection::AdminConnection,
        error::ClientError,
        local::{invalid_file, random_hex, read_file},
        report::ClientReport,
    },
    crate::{
        http_api::operator::wire::{
            ActionResponse, ChangeResponse, ConfigReport, RegisterChange, RulesChange, VmAction,
        },
        ids::{OperationId, VmId},
        inventory::{
            RuleSet,
            validate::{check_register, check_rules, read_rules_unchecked},
        },
    },
    http::Method,
};

/// Length of a random operation id in bytes, long enough to avoid collisions.
const OPERATION_BYTES: usize = 16;

/// `inventory apply`: activates the register of a file.
pub async fn apply_register(
    connection: &AdminConnection,
    options: ApplyOptions,
) -> Result<ClientReport, ClientError> {
    let text = read_file(&options.file)?;
    let register = check_register(&text).map_err(|faults| invalid_file(&options.file, faults))?;
    let operation = choose_operation(&options)?;
    let (expected, resend_id) = (options.expect_revision, operation.clone());
    let change = RegisterChange { operation, expected, register };
    let result = connection.change(Method::PUT, "/v1/register", &change).await;
    report_change(result, resend_id)
}

/// `rules apply`: activates the rules of a file.
pub async fn apply_rules(
    connection: &AdminConnection,
    options: ApplyOptions,
) -> Result<ClientReport, ClientError> {
    let rules = read_rules(connection, &options).await?;
    let operation = choose_operation(&options)?;
    let (expected, resend_id) = (options.expect_revision, operation.clone());
    let change = RulesChange { operation, expected, rules };
    let result = connection.change(Method::PUT, "/v1/rules", &change).await;
    report_change(result, resend_id)
}

/// Parses the rules, and validates them if the expected revision is active, because only the client
/// can report the lines of faults. A resend is not validated against a later register; the daemon
/// returns its original result.
async fn read_rules(
    connection: &AdminConnection,
    options: &ApplyOptions,
) -> Result<RuleSet, ClientError> {
    let text = read_file(&options.file)?;
    let config: ConfigReport = connection.query("/v1/config").await?;
    let rules = if config.revision == options.expect_revision {
        check_rules(&text, &config.register)
    } else {
        read_rules_unchecked(&text)
    };
    rules.map_err(|faults| invalid_file(&options.file, faults))
}

/// Chooses the operation id and prints it before the change is sent, so that the operator can resend
/// the change if this process is interrupted.
fn choose_operation(options: &ApplyOptions) -> Result<OperationId, ClientError> {
    let operation = match &options.operation_id {
        Some(operation) => operation.clone(),
        None => random_hex(OPERATION_BYTES)?,
    };
    eprintln!("operation id {operation}");
    Ok(operation)
}

fn report_change(
    result: Result<ChangeResponse, ClientError>,
    operation: OperationId,
) -> Result<ClientReport, ClientError> {
    let done = result.map_err(|error| match error {
        ClientError::OutcomeUnknown { failures, .. } => {
            ClientError::OutcomeUnknown { operation: Some(operation), failures }
        }
        other => other,
    })?;
    let text = format!("revision {} committed, digest {}\n", done.revision, done.digest);
    Ok(ClientReport::from_text(&done, text))
}

/// `replica replace`, `replica remove` and `drain`: sends an order about a VM to `path`.
pub async fn post_order(
    connection: &AdminConnection,
    path: &str,
    vm: VmId,
) -> Result<ClientReport, ClientError> {
    let done: ActionResponse = connection.change(Method::POST, path, &VmAction { vm }).await?;
    let text = format!("{}\n", done.done);
    Ok(ClientReport::from_text(&done, text))
}
