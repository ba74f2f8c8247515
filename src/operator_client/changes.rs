//! Commands that change something.

use {
    super::{
        commands::ApplyOrder,
        connection::AdminConnection,
        error::ClientError,
        local::{faulty, random_hex, read_file},
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

/// Bytes of a new operation id: no two operators ever draw the same.
const OPERATION_BYTES: usize = 16;

/// `inventory apply`.
pub async fn apply_register(
    connection: &AdminConnection,
    order: ApplyOrder,
) -> Result<ClientReport, ClientError> {
    let text = read_file(&order.file)?;
    let register = check_register(&text).map_err(|faults| faulty(&order.file, faults))?;
    let operation = operation_of(&order)?;
    let (expected, kept) = (order.expect_revision, operation.clone());
    let change = RegisterChange { operation, expected, register };
    let result = connection.change(Method::PUT, "/v1/register", &change).await;
    report_change(result, kept)
}

/// `rules apply`.
pub async fn apply_rules(
    connection: &AdminConnection,
    order: ApplyOrder,
) -> Result<ClientReport, ClientError> {
    let rules = read_rules(connection, &order).await?;
    let operation = operation_of(&order)?;
    let (expected, kept) = (order.expect_revision, operation.clone());
    let change = RulesChange { operation, expected, rules };
    let result = connection.change(Method::PUT, "/v1/rules", &change).await;
    report_change(result, kept)
}

/// Checks the rules here, where faults have lines, if the register in force is the one that they
/// were made for. A resend is not checked against a later register: the daemon tells its result.
async fn read_rules(
    connection: &AdminConnection,
    order: &ApplyOrder,
) -> Result<RuleSet, ClientError> {
    let text = read_file(&order.file)?;
    let config: ConfigReport = connection.ask("/v1/config").await?;
    let rules = if config.revision == order.expect_revision {
        check_rules(&text, &config.register)
    } else {
        read_rules_unchecked(&text)
    };
    rules.map_err(|faults| faulty(&order.file, faults))
}

/// Says the id before anything is sent, so that it is known whatever happens to this process.
fn operation_of(order: &ApplyOrder) -> Result<OperationId, ClientError> {
    let operation = match &order.operation_id {
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
        ClientError::OutcomeUnknown { seen, .. } => {
            ClientError::OutcomeUnknown { operation: Some(operation), seen }
        }
        other => other,
    })?;
    let text = format!("revision {} committed, digest {}\n", done.revision, done.digest);
    Ok(ClientReport::text(&done, text))
}

/// `replica replace`, `replica remove` and `drain`.
pub async fn order(
    connection: &AdminConnection,
    path: &str,
    vm: VmId,
) -> Result<ClientReport, ClientError> {
    let done: ActionResponse = connection.change(Method::POST, path, &VmAction { vm }).await?;
    let text = format!("{}\n", done.done);
    Ok(ClientReport::text(&done, text))
}
