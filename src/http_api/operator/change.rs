//! Handlers that change the configuration or the replicas, or start draining.

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

/// Longest accepted operation id, in bytes. The state machine stores operation ids, so their size is
/// bounded.
const MAX_OPERATION_ID_BYTES: usize = 128;

/// How long a change waits until this daemon has the expected revision; a commit reaches a daemon
/// within a second.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// `PUT /v1/register`.
pub async fn put_register(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json(&mut request, MAX_CHANGE_BYTES).await {
        Ok(change) => apply_register(&state, change).await,
        Err(error) => Err(error),
    };
    Ok(respond(result))
}

/// `PUT /v1/rules`.
pub async fn put_rules(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json(&mut request, MAX_CHANGE_BYTES).await {
        Ok(change) => apply_rules(&state, change).await,
        Err(error) => Err(error),
    };
    Ok(respond(result))
}

/// `POST /v1/replicas/replace`: replaces the replica of a VM by one on the VM's present disk.
pub async fn replace_replica(request: Request) -> Result<Response> {
    change_replicas(request, "replaces its disk", |vm| Command::ReplaceReplica {
        vm,
        incarnation: None,
    })
    .await
}

/// `POST /v1/replicas/remove`: removes a VM from the replicas.
pub async fn remove_replica(request: Request) -> Result<Response> {
    change_replicas(request, "is no replica any more", |vm| Command::RemoveReplica { vm }).await
}

/// `POST /v1/drain`: a daemon accepts no new requests and completes those in flight.
pub async fn drain(mut request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let result = match read_json::<VmAction>(&mut request, MAX_ACTION_BYTES).await {
        Ok(action) => state
            .source
            .drain(action.vm.clone())
            .await
            .map(|()| ActionResponse { done: format!("{} drains", action.vm) })
            .map_err(ErrorResponse::from),
        Err(error) => Err(error),
    };
    Ok(respond(result))
}

async fn apply_register(
    state: &OperatorState,
    change: RegisterChange,
) -> Result<ChangeResponse, ErrorResponse> {
    let body = canonical_json(&change.register);
    check_register(&body).map_err(|faults| {
        ErrorResponse::validation_failed("the register is invalid; correct its faults", faults)
    })?;
    if let Some(config) = config_to_check(state, change.expected).await? {
        check_rules(&canonical_json(&config.rules), &change.register).map_err(|faults| {
            let message =
                "the rules in force are not valid for this register; change the rules first";
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
        check_rules(&body, &config.register).map_err(rules_error)?;
    }
    let digest = digest(&body);
    let (operation, expected) = (change.operation.clone(), change.expected);
    let command = Command::ApplyRules { operation: change.operation, expected, body };
    propose_change(state, command, operation, digest).await
}

fn rules_error(faults: Vec<InventoryFault>) -> ErrorResponse {
    ErrorResponse::validation_failed(
        "the rules are not valid for the register in force; correct the listed faults",
        faults,
    )
}

/// The configuration that a change has to be validated against; `None` if the change is not
/// validated here.
///
/// Only the expected revision is suitable: the commit compares revisions, so a change that passed
/// validation against it comes into force on top of it. When a later revision is in force here, the
/// change is a resend or has lost against another change. Validating a resend against a later
/// register could refuse a change that is already in force, so it is proposed without validation:
/// the state machine then returns the first result or a conflict, and applies nothing.
async fn config_to_check(
    state: &OperatorState,
    expected: Revision,
) -> Result<Option<Arc<ActiveConfig>>, ErrorResponse> {
    let mut watch = state.config.clone();
    // The operator's previous change may not have reached this daemon yet; a script that applies the
    // register and then the rules must not fail because of that delay.
    let _ = timeout(CATCH_UP_TIMEOUT, watch.wait_for(|config| config.revision >= expected)).await;
    let config = watch.borrow().clone();
    match config.revision.cmp(&expected) {
        Ordering::Equal => Ok(Some(config)),
        Ordering::Greater => Ok(None),
        Ordering::Less => {
            let message = format!(
                "this daemon has only revision {}; wait until it has {expected}, use another \
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
    if operation.is_empty() || operation.len() > MAX_OPERATION_ID_BYTES {
        let message =
            format!("the operation id must have 1 to {MAX_OPERATION_ID_BYTES} bytes; correct it");
        let status = StatusCode::BAD_REQUEST;
        return Err(ErrorResponse::did_not_happen(status, "bad_request", message));
    }
    match state.control.propose(command).await? {
        CommandOutcome::Applied { revision } => {
            log::info!(revision, operation = operation.as_str(); "configuration change committed");
            Ok(ChangeResponse { revision, operation, digest })
        }
        CommandOutcome::Conflict { revision, winner } => Err(conflict_error(revision, winner)),
        CommandOutcome::Refused { reason } => {
            Err(ErrorResponse::did_not_happen(StatusCode::CONFLICT, "refused", reason))
        }
        other => Err(unexpected_outcome(&other)),
    }
}

fn conflict_error(revision: Revision, winner: DigestHex) -> ErrorResponse {
    let message = format!(
        "another change was committed first: revision {revision} with digest {winner} is in force; \
         inspect it with `oleandermountctl config show` and apply again with --expect-revision \
         {revision}"
    );
    let error = OperatorError::did_not_happen("conflict", message);
    ErrorResponse::new(
        StatusCode::CONFLICT,
        OperatorError { revision: Some(revision), winner: Some(winner), ..error },
    )
}

fn unexpected_outcome(outcome: &CommandOutcome) -> ErrorResponse {
    let message = format!("the command returned an unexpected outcome: {outcome:?}");
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
    let action = match read_json::<VmAction>(&mut request, MAX_ACTION_BYTES).await {
        Ok(action) => action,
        Err(error) => return Ok(respond::<ActionResponse>(Err(error))),
    };
    let result = match state.control.propose(command(action.vm.clone())).await {
        Ok(CommandOutcome::MembershipChanged) => {
            Ok(ActionResponse { done: format!("{} {done}", action.vm) })
        }
        Ok(CommandOutcome::Refused { reason }) => {
            Err(ErrorResponse::did_not_happen(StatusCode::CONFLICT, "refused", reason))
        }
        Ok(other) => Err(unexpected_outcome(&other)),
        Err(error) => Err(error.into()),
    };
    Ok(respond(result))
}
