//! The commands and their options.

use {
    crate::ids::{OperationId, RequestId, Revision, VmId},
    bpaf::{OptionParser, Parser, construct, long, positional},
    std::{path::PathBuf, time::Duration},
};

/// Where a daemon's operators' address is unless options say otherwise.
const DEFAULT_ADMIN: &str = "http://127.0.0.1:8081";
/// Configuration is in force everywhere within seconds; a minute leaves room for restarts.
const DEFAULT_WAIT: Duration = Duration::from_secs(60);
/// Rows that fit on a screen.
const DEFAULT_ROWS: usize = 50;

/// What every command takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Operators' addresses of daemons, tried in turn; empty for commands that ask none.
    pub admin: Vec<String>,
    /// Whether results are printed as JSON in place of tables.
    pub json: bool,
}

/// One run of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientInvocation {
    /// Where to and how to print.
    pub connection: ConnectionOptions,
    /// What to do.
    pub command: ClientCommand,
}

/// A register or a rule set to put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// The file.
    pub file: PathBuf,
    /// The revision the operator saw.
    pub expect_revision: Revision,
    /// The id of an earlier try, so that this is a resend; otherwise a new one is made.
    pub operation_id: Option<OperationId>,
}

/// What the client can do.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Put a register in force.
    InventoryApply(ApplyOptions),
    /// Put a rule set in force.
    RulesApply(ApplyOptions),
    /// Show the configuration in force.
    ConfigShow,
    /// Show the latest changes.
    ConfigHistory,
    /// Wait until a revision is in force everywhere.
    ConfigWait {
        /// The revision.
        revision: Revision,
        /// How long to wait.
        timeout: Duration,
    },
    /// Show each daemon's state.
    Status,
    /// Show the backend servers.
    Servers,
    /// Show the heaviest organisations.
    Organisations {
        /// How many.
        limit: usize,
    },
    /// Show the control replicas.
    ReplicaList,
    /// Take in the present disk of a VM as a control replica.
    ReplicaReplace {
        /// The VM.
        vm: VmId,
    },
    /// Take a VM out of the control replicas.
    ReplicaRemove {
        /// The VM.
        vm: VmId,
    },
    /// Make a daemon take nothing new and finish what it has.
    Drain {
        /// The VM.
        vm: VmId,
    },
    /// Make the authority and VMs' certificates.
    KeysCreate {
        /// The folder.
        out: PathBuf,
        /// The VMs.
        vms: Vec<VmId>,
    },
    /// Make a key of an organisation.
    KeysOrganisation,
    /// Check files without a daemon.
    Check {
        /// A register, or a register with rules.
        file: PathBuf,
        /// Rules in a file of their own.
        rules: Option<PathBuf>,
    },
    /// Tell where a request went and why.
    Explain {
        /// Files with the daemons' logs; without any, the daemons are asked.
        logs: Vec<PathBuf>,
        /// The request.
        request: RequestId,
    },
}

/// The whole command line.
pub fn options() -> OptionParser<ClientInvocation> {
    let configuration = configuration_commands();
    let daemons = daemon_commands();
    let offline = offline_commands();
    construct!([configuration, daemons, offline])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Drives and watches oleandermount.")
        .footer(
            "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown outcome. Each \
             command has its own --help.",
        )
}

fn connection_options() -> impl Parser<ConnectionOptions> {
    let admin = long("admin")
        .env("OLEANDERMOUNT_ADMIN_URLS")
        .help(
            "Operators' addresses of daemons such as http://10.0.0.7:8081, separated by commas or \
             spaces and tried in turn (default http://127.0.0.1:8081)",
        )
        .argument::<String>("URLS")
        .fallback(DEFAULT_ADMIN.to_owned())
        .map(|list| {
            list.split([',', ' ']).filter(|url| !url.is_empty()).map(str::to_owned).collect()
        });
    let json = json_switch();
    construct!(ConnectionOptions { admin, json })
}

fn json_switch() -> impl Parser<bool> {
    long("json").help("Print JSON in place of tables").switch()
}

/// Makes a command that asks no daemon.
fn local_command(
    name: &'static str,
    help: &'static str,
    command: impl Parser<ClientCommand> + 'static,
) -> impl Parser<ClientInvocation> {
    let connection = json_switch().map(|json| ConnectionOptions { admin: Vec::new(), json });
    construct!(ClientInvocation { connection, command }).to_options().descr(help).command(name)
}

/// Makes a command of its own options and those that every command takes.
fn remote_command(
    name: &'static str,
    help: &'static str,
    command: impl Parser<ClientCommand> + 'static,
) -> impl Parser<ClientInvocation> {
    let connection = connection_options();
    construct!(ClientInvocation { connection, command }).to_options().descr(help).command(name)
}

fn command_group(
    name: &'static str,
    help: &'static str,
    commands: impl Parser<ClientInvocation> + 'static,
) -> impl Parser<ClientInvocation> {
    commands.to_options().descr(help).command(name)
}

fn apply_options() -> impl Parser<ApplyOptions> {
    let expect_revision = long("expect-revision")
        .help("The revision in force that the change was made from; 0 before the first")
        .argument("N");
    let operation_id = long("operation-id")
        .help("The id of an earlier try whose answer was lost; it gets the first result")
        .argument("ID")
        .optional();
    let file = positional("FILE").help("TOML or JSON");
    construct!(ApplyOptions { expect_revision, operation_id, file })
}

fn configuration_commands() -> impl Parser<ClientInvocation> {
    let inventory = command_group(
        "inventory",
        "Changes the asset register",
        remote_command(
            "apply",
            "Put the register of a file in force",
            apply_options().map(ClientCommand::InventoryApply),
        ),
    );
    let rules = command_group(
        "rules",
        "Changes the rules",
        remote_command(
            "apply",
            "Put the rules of a file in force",
            apply_options().map(ClientCommand::RulesApply),
        ),
    );
    let show = remote_command(
        "show",
        "Show the configuration in force",
        bpaf::pure(ClientCommand::ConfigShow),
    );
    let history = remote_command(
        "history",
        "Show the latest changes",
        bpaf::pure(ClientCommand::ConfigHistory),
    );
    let revision = long("revision").help("The revision to wait for").argument("N");
    let timeout = long("timeout")
        .help("How long to wait (default 1m)")
        .argument::<String>("DURATION")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(DEFAULT_WAIT);
    let wait = remote_command(
        "wait",
        "Wait until a revision is in force everywhere, and say where it is not",
        construct!(ClientCommand::ConfigWait { revision, timeout }),
    );
    let config = command_group(
        "config",
        "Shows and follows the configuration",
        construct!([show, history, wait]),
    );
    construct!([inventory, rules, config])
}

fn daemon_commands() -> impl Parser<ClientInvocation> {
    let status =
        remote_command("status", "Show each daemon's state", bpaf::pure(ClientCommand::Status));
    let servers = remote_command(
        "servers",
        "Show the backend servers as one daemon sees them",
        bpaf::pure(ClientCommand::Servers),
    );
    let limit = long("limit")
        .help("How many rows (default 50, at most 1000)")
        .argument("N")
        .fallback(DEFAULT_ROWS);
    let organisations = remote_command(
        "organisations",
        "Show the organisations that use one daemon most",
        construct!(ClientCommand::Organisations { limit }),
    );
    let drain = remote_command(
        "drain",
        "Make a daemon take nothing new and finish what it has; SIGTERM then ends it",
        vm_argument().map(|vm| ClientCommand::Drain { vm }),
    );
    let request =
        positional("REQUEST-ID").help("As the answer's X-Oleandermount-Request-Id has it");
    let logs = long("log")
        .help("A file with a daemon's log, read in place of asking daemons; may be repeated")
        .argument("FILE")
        .many();
    let explain = remote_command(
        "explain",
        "Tell where a request went and why",
        construct!(ClientCommand::Explain { logs, request }),
    );
    let replica = replica_commands();
    construct!([status, servers, organisations, replica, drain, explain])
}

fn replica_commands() -> impl Parser<ClientInvocation> {
    let list =
        remote_command("list", "Show the control replicas", bpaf::pure(ClientCommand::ReplicaList));
    let replace = remote_command(
        "replace",
        "Take in the present disk of a VM in place of any earlier one",
        vm_argument().map(|vm| ClientCommand::ReplicaReplace { vm }),
    );
    let remove = remote_command(
        "remove",
        "Take a VM out of the control replicas",
        vm_argument().map(|vm| ClientCommand::ReplicaRemove { vm }),
    );
    command_group(
        "replica",
        "Shows and changes the control replicas",
        construct!([list, replace, remove]),
    )
}

fn vm_argument() -> impl Parser<VmId> {
    positional("VM").help("The VM's name")
}

fn offline_commands() -> impl Parser<ClientInvocation> {
    let rules = long("rules").help("Rules in a file of their own").argument("FILE").optional();
    let file = positional("FILE").help("A register, or a register with rules; TOML or JSON");
    let check = local_command(
        "check",
        "Check a register and rules without a daemon, and name all faults",
        construct!(ClientCommand::Check { rules, file }),
    );
    let out = long("out").help("The folder; an authority in it is used again").argument("DIR");
    let vms =
        long("vm").help("A VM to make a certificate for; may be repeated").argument("ID").many();
    let create = local_command(
        "create",
        "Make the daemons' authority, or use the one in the folder, and VMs' certificates",
        construct!(ClientCommand::KeysCreate { out, vms }),
    );
    let organisation = local_command(
        "organisation",
        "Make a key for an organisation's callers, and its digest for the register",
        bpaf::pure(ClientCommand::KeysOrganisation),
    );
    let keys = command_group("keys", "Makes keys", construct!([create, organisation]));
    construct!([check, keys])
}
