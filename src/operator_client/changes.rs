//! Commands that change something.

use {
    super::{
        commands::ApplyOptions,
        connection::AdminConnection,
        error::ClientError,
        local::{invalid_file, random_hex, read_file},
        report::ClientReport,
    },
    crate::{
        gateway::operator::wire::{
            ChangeDone, ConfigReport, OrderDone, RegisterChange, RulesChange, VmOrder,
        },
        ids::{OperationId, VmId},
        inventory::{
            RuleSet,
            validate::{check_register, check_rules, read_rules_unchecked},
        },
    },
    http::Method,
};

/// Bytes of a new operation id: no two operators ever draw the same.
const OPERATION_BYTES: usize = 16;

/// `inventory apply`.
pub async fn apply_register(
    connection: &AdminConnection,
    options: ApplyOptions,
) -> Result<ClientReport, ClientError> {
    let text = read_file(&options.file)?;
    let register = check_register(&text).map_err(|faults| invalid_file(&options.file, faults))?;
    let operation = operation_of(&options)?;
    let (expected, resend_id) = (options.expect_revision, operation.clone());
    let change = RegisterChange { operation, expected, register };
    let result = connection.change(Method::PUT, "/v1/register", &change).await;
    report_change(result, resend_id)
}

/// `rules apply`.
pub async fn apply_rules(
    connection: &AdminConnection,
    options: ApplyOptions,
) -> Result<ClientReport, ClientError> {
    let rules = read_rules(connection, &options).await?;
    let operation = operation_of(&options)?;
    let (expected, resend_id) = (options.expect_revision, operation.clone());
    let change = RulesChange { operation, expected, rules };
    let result = connection.change(Method::PUT, "/v1/rules", &change).await;
    report_change(result, resend_id)
}

/// Checks the rules here, where faults have lines, if the register in force is the one that they
/// were made for. A resend is not checked against a later register: the daemon tells its result.
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

/// Says the id before anything is sent, so that it is known whatever happens to this process.
fn operation_of(options: &ApplyOptions) -> Result<OperationId, ClientError> {
    let operation = match &options.operation_id {
        Some(operation) => operation.clone(),
        None => random_hex(OPERATION_BYTES)?,
    };
    eprintln!("operation id {operation}");
    Ok(operation)
}

fn report_change(
    result: Result<ChangeDone, ClientError>,
    operation: OperationId,
) -> Result<ClientReport, ClientError> {
    let done = result.map_err(|error| match error {
        ClientError::OutcomeUnknown { failures, .. } => {
            ClientError::OutcomeUnknown { operation: Some(operation), failures }
        }
        other => other,
    })?;
    let text = format!("revision {} committed, digest {}\n", done.revision, done.digest);
    Ok(ClientReport::text(&done, text))
}

/// `replica replace`, `replica remove` and `drain`.
pub async fn post_order(
    connection: &AdminConnection,
    path: &str,
    vm: VmId,
) -> Result<ClientReport, ClientError> {
    let done: OrderDone = connection.change(Method::POST, path, &VmOrder { vm }).await?;
    let text = format!("{}\n", done.done);
    Ok(ClientReport::text(&done, text))
}
