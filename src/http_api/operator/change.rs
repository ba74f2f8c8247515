//! Orders: changes of the configuration, of the replicas, and draining.

use {
    super::{
        MAX_ACTION_BYTES, MAX_CHANGE_BYTES, OperatorState,
        response::{ErrorResponse, operator_state, read_json, respond},
        wire::{
            ActionResponse, ChangeResponse, OperatorError, RegisterChange, RulesChange, VmAction,
        },
    },
    crate::{
        control::{Command, CommandOutcome},
        ids::{DigestHex, OperationId, Revision},
        inventory::{
            ActiveConfig,
            validate::{InventoryFault, canonical_json, check_register, check_rules, digest},
        },
    },
    std::{cmp::Ordering, sync::Arc, time::Duration},
    tokio::time::timeout,
    viz::{Request, Response, Result, StatusCode},
};

/// The longest accepted operation id; longer ones would only fill the state machine.
const MAX_OPERATION: usize = 128;

/// How long a change waits for the revision it expects; a commit reaches a daemon within a second.
const CATCH_UP: Duration = Duration::from_secs(3);

/// `PUT /v1/register`.
pub async fn put_register(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json(&mut request, MAX_CHANGE_BYTES).await {
        Ok(change) => apply_register(&state, change).await,
        Err(answer) => Err(answer),
    };
    Ok(respond(result))
}

/// `PUT /v1/rules`.
pub async fn put_rules(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json(&mut request, MAX_CHANGE_BYTES).await {
        Ok(change) => apply_rules(&state, change).await,
        Err(answer) => Err(answer),
    };
    Ok(respond(result))
}

/// `POST /v1/replicas/replace`: takes in the present disk of a VM.
pub async fn replace_replica(request: Request) -> Result<Response> {
    change_replicas(request, "replaces its disk", |vm| Command::ReplaceReplica {
        vm,
        incarnation: None,
    })
    .await
}

/// `POST /v1/replicas/remove`: takes a VM out of the replicas.
pub async fn remove_replica(request: Request) -> Result<Response> {
    change_replicas(request, "is no replica any more", |vm| Command::RemoveReplica { vm }).await
}

/// `POST /v1/drain`: a daemon takes nothing new and finishes what it has.
pub async fn drain(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json::<VmAction>(&mut request, MAX_ACTION_BYTES).await {
        Ok(order) => state
            .source
            .drain(order.vm.clone())
            .await
            .map(|()| ActionResponse { done: format!("{} drains", order.vm) })
            .map_err(ErrorResponse::from),
        Err(answer) => Err(answer),
    };
    Ok(respond(result))
}

async fn apply_register(
    state: &OperatorState,
    change: RegisterChange,
) -> Result<ChangeResponse, ErrorResponse> {
    let body = canonical_json(&change.register);
    check_register(&body).map_err(|faults| {
        ErrorResponse::validation_failed("the register has faults; correct them", faults)
    })?;
    if let Some(config) = config_to_check(state, change.expected).await? {
        check_rules(&canonical_json(&config.rules), &change.register).map_err(|faults| {
            let message = "the rules in force would not fit this register; change the rules first";
            ErrorResponse::validation_failed(message, faults)
        })?;
    }
    let digest = digest(&body);
    let (operation, expected) = (change.operation.clone(), change.expected);
    let command = Command::ApplyRegister { operation: change.operation, expected, body };
    propose_change(state, command, operation, digest).await
}

async fn apply_rules(
    state: &OperatorState,
    change: RulesChange,
) -> Result<ChangeResponse, ErrorResponse> {
    let body = canonical_json(&change.rules);
    if let Some(config) = config_to_check(state, change.expected).await? {
        check_rules(&body, &config.register).map_err(rule_faults)?;
    }
    let digest = digest(&body);
    let (operation, expected) = (change.operation.clone(), change.expected);
    let command = Command::ApplyRules { operation: change.operation, expected, body };
    propose_change(state, command, operation, digest).await
}

fn rule_faults(faults: Vec<InventoryFault>) -> ErrorResponse {
    ErrorResponse::validation_failed(
        "the rules do not fit the register in force; correct them",
        faults,
    )
}

/// The configuration that a change has to fit.
///
/// Only the very revision that the change expects will do: the commit compares revisions, so what
/// was checked against it is what comes into force. When a later one is in force here, the change
/// is a resend or a loser. Checking a resend against a later register could refuse a change that
/// is in force already, so it goes to the log unchecked, which gives the first result or a
/// conflict and can put nothing in force.
async fn config_to_check(
    state: &OperatorState,
    expected: Revision,
) -> Result<Option<Arc<ActiveConfig>>, ErrorResponse> {
    let mut watch = state.config.clone();
    // The operator's last change may still be on its way to this daemon; a script that applies
    // the register and then the rules must not fail for that.
    let _ = timeout(CATCH_UP, watch.wait_for(|config| config.revision >= expected)).await;
    let config = watch.borrow().clone();
    match config.revision.cmp(&expected) {
        Ordering::Equal => Ok(Some(config)),
        Ordering::Greater => Ok(None),
        Ordering::Less => {
            let message = format!(
                "this daemon has revision {} only; wait until it has {expected}, ask another \
                 daemon, or correct --expect-revision",
                config.revision
            );
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(ErrorResponse::did_not_happen(status, "not_caught_up", message))
        }
    }
}

async fn propose_change(
    state: &OperatorState,
    command: Command,
    operation: OperationId,
    digest: DigestHex,
) -> Result<ChangeResponse, ErrorResponse> {
    if operation.is_empty() || operation.len() > MAX_OPERATION {
        let message = format!("the operation id needs 1 to {MAX_OPERATION} bytes; shorten it");
        let status = StatusCode::BAD_REQUEST;
        return Err(ErrorResponse::did_not_happen(status, "bad_request", message));
    }
    match state.control.propose(command).await? {
        CommandOutcome::Applied { revision } => {
            log::info!(revision, operation = operation.as_str(); "configuration change committed");
            Ok(ChangeResponse { revision, operation, digest })
        }
        CommandOutcome::Conflict { revision, winner } => Err(conflict(revision, winner)),
        CommandOutcome::Refused { reason } => {
            Err(ErrorResponse::did_not_happen(StatusCode::CONFLICT, "refused", reason))
        }
        other => Err(unexpected(&other)),
    }
}

fn conflict(revision: Revision, winner: DigestHex) -> ErrorResponse {
    let message = format!(
        "another change came first: revision {revision} with digest {winner} is in force; look at \
         it with `oleandermountctl config show` and apply again with --expect-revision {revision}"
    );
    let fault = OperatorError::did_not_happen("conflict", message);
    ErrorResponse::new(
        StatusCode::CONFLICT,
        OperatorError { revision: Some(revision), winner: Some(winner), ..fault },
    )
}

fn unexpected(outcome: &CommandOutcome) -> ErrorResponse {
    let message = format!("the log gave an outcome that does not belong here: {outcome:?}");
    ErrorResponse::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        OperatorError::unknown("unexpected_outcome", message),
    )
}

async fn change_replicas(
    mut request: Request,
    done: &str,
    command: impl FnOnce(String) -> Command,
) -> Result<Response> {
    let state = operator_state(&request)?;
    let order = match read_json::<VmAction>(&mut request, MAX_ACTION_BYTES).await {
        Ok(order) => order,
        Err(answer) => return Ok(respond::<ActionResponse>(Err(answer))),
    };
    let result = match state.control.propose(command(order.vm.clone())).await {
        Ok(CommandOutcome::MembershipChanged) => {
            Ok(ActionResponse { done: format!("{} {done}", order.vm) })
        }
        Ok(CommandOutcome::Refused { reason }) => {
            Err(ErrorResponse::did_not_happen(StatusCode::CONFLICT, "refused", reason))
        }
        Ok(other) => Err(unexpected(&other)),
        Err(error) => Err(error.into()),
    };
    Ok(respond(result))
}
