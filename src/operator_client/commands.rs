//! Commands of the client and their options.

use {
    crate::ids::{OperationId, RequestId, Revision, VmId},
    bpaf::{OptionParser, Parser, construct, long, positional},
    std::{path::PathBuf, time::Duration},
};

/// Default operators' address of a daemon.
const DEFAULT_ADMIN: &str = "http://127.0.0.1:8081";
/// A configuration is active on all daemons within seconds; a minute allows for restarts.
const DEFAULT_WAIT: Duration = Duration::from_secs(60);
/// Default number of table rows; fits on a screen.
const DEFAULT_ROWS: usize = 50;

/// Options that all commands share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Operators' addresses of daemons, tried in order; empty for local commands.
    pub admin: Vec<String>,
    /// Whether results are printed as JSON instead of tables.
    pub json: bool,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientInvocation {
    /// Addresses and output format.
    pub connection: ConnectionOptions,
    /// Command to run.
    pub command: ClientCommand,
}

/// Options of commands that activate a register or a rule set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Path of the register or the rule set.
    pub file: PathBuf,
    /// Active revision that the change is based on; 0 before the first.
    pub expect_revision: Revision,
    /// Operation id of an earlier attempt, to resend it; if absent, a new one is generated.
    pub operation_id: Option<OperationId>,
}

/// Commands of the client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Activate a register.
    InventoryApply(ApplyOptions),
    /// Activate a rule set.
    RulesApply(ApplyOptions),
    /// Show the active configuration.
    ConfigShow,
    /// Show the latest configuration changes.
    ConfigHistory,
    /// Wait until a revision is active on all VMs.
    ConfigWait {
        /// Revision to wait for; a later one satisfies the command as well.
        revision: Revision,
        /// Maximum time to wait.
        timeout: Duration,
    },
    /// Show the state of each daemon.
    Status,
    /// Show the backend servers.
    Servers,
    /// Show the organisations with the most usage.
    Organisations {
        /// Maximum number of rows.
        limit: usize,
    },
    /// Show the control replicas.
    ReplicaList,
    /// Add the current disk of a VM to the control group, replacing an earlier disk of the VM.
    ReplicaReplace {
        /// VM of the replica.
        vm: VmId,
    },
    /// Remove a VM from the control group.
    ReplicaRemove {
        /// VM of the replica.
        vm: VmId,
    },
    /// Drain a daemon: it refuses new requests and completes those in flight.
    Drain {
        /// VM of the daemon.
        vm: VmId,
    },
    /// Create the authority and certificates of VMs.
    KeysCreate {
        /// Folder for the files.
        out: PathBuf,
        /// VMs to create certificates for.
        vms: Vec<VmId>,
    },
    /// Create an API key of an organisation.
    KeysOrganisation,
    /// Validate files without a daemon.
    Check {
        /// File with a register, or with a register and rules.
        file: PathBuf,
        /// Separate file with rules.
        rules: Option<PathBuf>,
    },
    /// Explain how a request was processed.
    Explain {
        /// Log files of daemons; if empty, the daemons are queried.
        logs: Vec<PathBuf>,
        /// Id of the request.
        request: RequestId,
    },
}

/// Parser of the complete command line.
pub fn options() -> OptionParser<ClientInvocation> {
    let configuration = configuration_commands();
    let daemons = daemon_commands();
    let offline = offline_commands();
    construct!([configuration, daemons, offline])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Controls and monitors oleandermount.")
        .footer(
            "Exit codes: 0 success, 1 refused, 2 usage error, 3 unreachable or unknown outcome. \
             Each command has its own --help.",
        )
}

fn connection_options() -> impl Parser<ConnectionOptions> {
    let admin = long("admin")
        .env("OLEANDERMOUNT_ADMIN_URLS")
        .help(
            "Operators' addresses of daemons such as http://10.0.0.7:8081, separated by commas or \
             spaces and tried in order (default http://127.0.0.1:8081)",
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
    long("json").help("Print JSON instead of tables").switch()
}

/// Parser of a command that does not contact a daemon.
fn local_command(
    name: &'static str,
    help: &'static str,
    command: impl Parser<ClientCommand> + 'static,
) -> impl Parser<ClientInvocation> {
    let connection = json_switch().map(|json| ConnectionOptions { admin: Vec::new(), json });
    construct!(ClientInvocation { connection, command }).to_options().descr(help).command(name)
}

/// Parser of a command that contacts daemons.
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
        .help("Active revision that the change is based on; 0 before the first")
        .argument("N");
    let operation_id = long("operation-id")
        .help("Id of an earlier attempt whose response was lost; returns the original result")
        .argument("ID")
        .optional();
    let file = positional("FILE").help("TOML or JSON");
    construct!(ApplyOptions { expect_revision, operation_id, file })
}

fn configuration_commands() -> impl Parser<ClientInvocation> {
    let inventory = command_group(
        "inventory",
        "Change the asset register",
        remote_command(
            "apply",
            "Activate the register of a file",
            apply_options().map(ClientCommand::InventoryApply),
        ),
    );
    let rules = command_group(
        "rules",
        "Change the rules",
        remote_command(
            "apply",
            "Activate the rules of a file",
            apply_options().map(ClientCommand::RulesApply),
        ),
    );
    let show = remote_command(
        "show",
        "Show the active configuration",
        bpaf::pure(ClientCommand::ConfigShow),
    );
    let history = remote_command(
        "history",
        "Show the latest configuration changes",
        bpaf::pure(ClientCommand::ConfigHistory),
    );
    let revision = long("revision").help("Revision to wait for").argument("N");
    let timeout = long("timeout")
        .help("Maximum time to wait (default 1m)")
        .argument::<String>("DURATION")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(DEFAULT_WAIT);
    let wait = remote_command(
        "wait",
        "Wait until a revision is active on all VMs, and list the VMs where it is not",
        construct!(ClientCommand::ConfigWait { revision, timeout }),
    );
    let config = command_group(
        "config",
        "Show and monitor the configuration",
        construct!([show, history, wait]),
    );
    construct!([inventory, rules, config])
}

fn daemon_commands() -> impl Parser<ClientInvocation> {
    let status = remote_command(
        "status",
        "Show the state of each daemon",
        bpaf::pure(ClientCommand::Status),
    );
    let servers = remote_command(
        "servers",
        "Show the state of the backend servers from one daemon's view",
        bpaf::pure(ClientCommand::Servers),
    );
    let limit = long("limit")
        .help("Maximum number of rows (default 50, at most 1000)")
        .argument("N")
        .fallback(DEFAULT_ROWS);
    let organisations = remote_command(
        "organisations",
        "Show the organisations with the most usage of one daemon",
        construct!(ClientCommand::Organisations { limit }),
    );
    let drain = remote_command(
        "drain",
        "Make a daemon refuse new requests and complete those in flight; SIGTERM then stops it",
        vm_argument().map(|vm| ClientCommand::Drain { vm }),
    );
    let request =
        positional("REQUEST-ID").help("Value of X-Oleandermount-Request-Id in the response");
    let logs = long("log")
        .help("Log file of a daemon, read instead of querying daemons; may be repeated")
        .argument("FILE")
        .many();
    let explain = remote_command(
        "explain",
        "Explain how a request was processed and why",
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
        "Add the current disk of a VM to the control group, replacing any earlier one",
        vm_argument().map(|vm| ClientCommand::ReplicaReplace { vm }),
    );
    let remove = remote_command(
        "remove",
        "Remove a VM from the control group",
        vm_argument().map(|vm| ClientCommand::ReplicaRemove { vm }),
    );
    command_group(
        "replica",
        "Show and change the control replicas",
        construct!([list, replace, remove]),
    )
}

fn vm_argument() -> impl Parser<VmId> {
    positional("VM").help("Name of the VM")
}

fn offline_commands() -> impl Parser<ClientInvocation> {
    let rules = long("rules").help("Separate file with rules").argument("FILE").optional();
    let file =
        positional("FILE").help("File with a register, or with a register and rules; TOML or JSON");
    let check = local_command(
        "check",
        "Validate a register and rules without a daemon, and report all faults",
        construct!(ClientCommand::Check { rules, file }),
    );
    let out =
        long("out").help("Folder for the files; an authority in it is reused").argument("DIR");
    let vms =
        long("vm").help("VM to create a certificate for; may be repeated").argument("ID").many();
    let create = local_command(
        "create",
        "Create certificates of VMs, and the authority of the daemons if the folder has none",
        construct!(ClientCommand::KeysCreate { out, vms }),
    );
    let organisation = local_command(
        "organisation",
        "Create an API key for an organisation's callers, and its digest for the register",
        bpaf::pure(ClientCommand::KeysOrganisation),
    );
    let keys =
        command_group("keys", "Create keys and certificates", construct!([create, organisation]));
    construct!([check, keys])
}
