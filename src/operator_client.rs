//! Command-line client for operators: commands, connections to daemons, and output.

pub mod changes;
pub mod commands;
pub mod connection;
pub mod error;
pub mod explain_log;
pub mod local;
pub mod queries;
pub mod report;
pub mod table;

use {
    self::{
        commands::{ClientCommand, ClientInvocation},
        connection::AdminConnection,
        error::ClientError,
        report::ClientReport,
    },
    crate::options::{USAGE_EXIT, fault::HELP_WIDTH},
    bpaf::Args,
    std::{ffi::OsString, process::ExitCode},
};

/// Runs one command. Prints results to standard output and errors to standard error; with `--json`,
/// errors are printed to standard output as well.
pub fn run(arguments: &[OsString]) -> ExitCode {
    let args = Args::from(arguments).set_name("oleandermountctl");
    let invocation = match commands::options().run_inner(args) {
        Ok(invocation) => invocation,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let asked_for_help = failure.exit_code() == 0;
            return exit_code(if asked_for_help { 0 } else { USAGE_EXIT });
        }
    };
    let as_json = invocation.connection.json;
    match execute(invocation) {
        Ok(report) => {
            print!("{}", if as_json { report.json_text() } else { report.table_text() });
            ExitCode::SUCCESS
        }
        Err(error) => {
            if as_json {
                println!("{}", error.to_json());
            }
            eprintln!("{error}");
            exit_code(error.exit_code())
        }
    }
}

fn exit_code(code: i32) -> ExitCode {
    ExitCode::from(u8::try_from(code).unwrap_or(u8::MAX))
}

/// Runs one command and returns its report.
///
/// # Errors
/// Why the command failed, or why its outcome is unknown.
pub fn execute(invocation: ClientInvocation) -> Result<ClientReport, ClientError> {
    match invocation.command {
        ClientCommand::KeysCreate { out, vms } => local::create_keys(&out, &vms),
        ClientCommand::KeysOrganisation => local::create_organisation_key(),
        ClientCommand::Check { file, rules } => local::check_files(&file, rules.as_deref()),
        ClientCommand::Explain { logs, request } if !logs.is_empty() => {
            explain_log::explain_from_logs(&logs, &request)
        }
        command => {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(
                    |error| ClientError::Local(format!("cannot start the runtime: {error}")),
                )?;
            let connection = AdminConnection::new(&invocation.connection.admin)?;
            runtime.block_on(execute_remote(command, &connection))
        }
    }
}

async fn execute_remote(
    command: ClientCommand,
    connection: &AdminConnection,
) -> Result<ClientReport, ClientError> {
    match command {
        ClientCommand::InventoryApply(options) => {
            changes::apply_register(connection, options).await
        }
        ClientCommand::RulesApply(options) => changes::apply_rules(connection, options).await,
        ClientCommand::ReplicaReplace { vm } => {
            changes::post_order(connection, "/v1/replicas/replace", vm).await
        }
        ClientCommand::ReplicaRemove { vm } => {
            changes::post_order(connection, "/v1/replicas/remove", vm).await
        }
        ClientCommand::Drain { vm } => changes::post_order(connection, "/v1/drain", vm).await,
        ClientCommand::ConfigShow => queries::show_config(connection).await,
        ClientCommand::ConfigHistory => queries::show_history(connection).await,
        ClientCommand::ConfigWait { revision, timeout } => {
            queries::wait_for_revision(connection, revision, timeout).await
        }
        ClientCommand::Status => queries::list_daemons(connection).await,
        ClientCommand::Servers => queries::list_servers(connection).await,
        ClientCommand::Organisations { limit } => {
            queries::list_organisations(connection, limit).await
        }
        ClientCommand::ReplicaList => queries::list_replicas(connection).await,
        ClientCommand::Explain { request, .. } => {
            queries::explain_request(connection, request).await
        }
        ClientCommand::KeysCreate { .. }
        | ClientCommand::KeysOrganisation
        | ClientCommand::Check { .. } => {
            unreachable!("local commands are executed without a connection")
        }
    }
}
