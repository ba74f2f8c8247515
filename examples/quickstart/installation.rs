//! Directories, ports, keys and register of the quick start.

use {
    super::{
        BOOKING_BODY, BOOKING_PATH,
        process_group::{ProcessGroup, ProcessKind},
    },
    oleandermount::{
        inventory::{
            AssetRegister, RuleSet, ServerKind, VmRecord,
            validate::{check_register, check_rules},
        },
        options::values::is_valid_name,
    },
    serde::Serialize,
    std::{
        env, fs, io,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Command, Stdio},
    },
};

const WORK_DIRECTORY: &str = "target/quickstart";
const SAMPLE_FILE: &str = "samples/tuul.toml";
/// Prefill time and time between tokens of the fake engines in milliseconds, long enough that the
/// stream is visible.
const PREFILL_MS: &str = "30";
const TOKEN_MS: &str = "15";

/// API key that was created for the run.
pub struct OrganisationKey {
    /// Organisation that uses the key.
    pub organisation: String,
    /// Key in plain text; the register holds only its digest.
    pub key: String,
}

/// VM and listening addresses of one daemon.
struct DaemonPorts {
    vm: VmRecord,
    listen: SocketAddr,
    admin: SocketAddr,
}

/// Contents of the inventory file: register and rules.
#[derive(Serialize)]
struct CombinedFile {
    register: AssetRegister,
    rules: RuleSet,
}

/// Addresses, keys and programs of a quick start run.
pub struct Installation {
    program_directory: PathBuf,
    daemons: Vec<DaemonPorts>,
    keys: Vec<OrganisationKey>,
    model: String,
    runs_url: String,
    caller_urls: Vec<String>,
    admin_urls: Vec<String>,
}

impl Installation {
    /// Empties the work directory, starts the fake servers, creates the organisations' keys and
    /// writes a register with the ports that the kernel assigned.
    pub fn prepare(group: &mut ProcessGroup) -> io::Result<Self> {
        ensure_no_running_installation()?;
        if Path::new(WORK_DIRECTORY).exists() {
            fs::remove_dir_all(WORK_DIRECTORY)?;
        }
        fs::create_dir_all(WORK_DIRECTORY)?;
        let text = fs::read_to_string(SAMPLE_FILE)?;
        let register = check_register(&text).map_err(inventory_error)?;
        let rules = check_rules(&text, &register).map_err(inventory_error)?;
        let program_directory =
            env::current_exe()?.parent().and_then(Path::parent).map(Path::to_owned).ok_or_else(
                || io::Error::other("the example must run from cargo's target directory"),
            )?;
        let mut installation = Installation {
            program_directory,
            daemons: Vec::new(),
            keys: Vec::new(),
            model: register.models[0].id.clone(),
            runs_url: String::new(),
            caller_urls: Vec::new(),
            admin_urls: Vec::new(),
        };
        let register = installation.adapt_register(register, group)?;
        let file = toml::to_string(&CombinedFile { register, rules }).map_err(io::Error::other)?;
        fs::write(installation.inventory_file(), file)?;
        Ok(installation)
    }

    fn adapt_register(
        &mut self,
        mut register: AssetRegister,
        group: &mut ProcessGroup,
    ) -> io::Result<AssetRegister> {
        // Keeps one daemon in each failure domain; one service server, so that a single server
        // counts the runs; and no cache store, for which there is no fake server.
        register.vms.retain(|vm| vm.id.ends_with("-1"));
        register.servers.retain(|server| match server.kind {
            ServerKind::Engine => true,
            ServerKind::Service => server.id.ends_with("-1"),
            ServerKind::CacheStore => false,
        });
        let weights = register.models[0].weights.clone();
        for server in &mut register.servers {
            let address = match server.kind {
                ServerKind::Service => self.start_service(&server.id, group)?,
                ServerKind::Engine | ServerKind::CacheStore => {
                    self.start_engine(&server.id, &weights, group)?
                }
            };
            server.address = address.parse().map_err(io::Error::other)?;
        }
        self.daemons = reserve_ports(&mut register.vms)?;
        self.caller_urls =
            self.daemons.iter().map(|daemon| format!("http://{}", daemon.listen)).collect();
        self.admin_urls =
            self.daemons.iter().map(|daemon| format!("http://{}", daemon.admin)).collect();
        for record in register.organisations.iter_mut().take(2) {
            let output = self.run_client(&["keys", "organisation", "--json"])?;
            let created: serde_json::Value =
                serde_json::from_str(&output).map_err(io::Error::other)?;
            let text = |field: &str| created[field].as_str().unwrap_or_default().to_owned();
            record.key_digests = vec![text("digest")];
            self.keys.push(OrganisationKey { organisation: record.id.clone(), key: text("key") });
        }
        Ok(register)
    }

    fn start_engine(
        &self,
        name: &str,
        weights: &str,
        group: &mut ProcessGroup,
    ) -> io::Result<String> {
        let mut command = Command::new(self.program_directory.join("examples/fake_engine"));
        command.args(["--listen", "127.0.0.1:0", "--model", &self.model, "--weights", weights]);
        command.args(["--prefill-ms", PREFILL_MS, "--token-ms", TOKEN_MS]);
        group.start_fake_server(name, command)
    }

    fn start_service(&mut self, name: &str, group: &mut ProcessGroup) -> io::Result<String> {
        let mut command = Command::new(self.program_directory.join("examples/fake_service"));
        command.args(["--listen", "127.0.0.1:0"]);
        let address = group.start_fake_server(name, command)?;
        self.runs_url = format!("http://{address}/runs");
        Ok(address)
    }

    /// Creates the certificates and keys of the daemons and starts them.
    pub fn start_daemons(&self, group: &mut ProcessGroup) -> io::Result<()> {
        let keys = format!("{WORK_DIRECTORY}/keys");
        let mut arguments = vec!["keys", "create", "--out", &keys];
        for daemon in &self.daemons {
            arguments.extend(["--vm", &daemon.vm.id]);
        }
        self.run_client(&arguments)?;
        let peers: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("{}={}", daemon.vm.id, daemon.vm.peer_address))
            .collect();
        let founders: Vec<&str> = self.daemons.iter().map(|daemon| daemon.vm.id.as_str()).collect();
        for daemon in &self.daemons {
            let vm = &daemon.vm.id;
            debug_assert!(is_valid_name(vm));
            let mut command = Command::new(self.program_directory.join("oleandermountd"));
            command
                .args(["--vm", vm, "--failure-domain", &daemon.vm.failure_domain])
                .args(["--listen", &daemon.listen.to_string()])
                .args(["--admin-listen", &daemon.admin.to_string()])
                .args(["--peer-listen", &daemon.vm.peer_address.to_string()])
                .args(["--peers", &peers.join(","), "--founders", &founders.join(",")])
                .args(["--data-dir", &format!("{WORK_DIRECTORY}/{vm}")])
                .args(["--authority", &format!("{keys}/authority.pem")])
                .args(["--certificate", &format!("{keys}/{vm}.pem")])
                .args(["--key", &format!("{keys}/{vm}.key")]);
            let log = PathBuf::from(format!("{WORK_DIRECTORY}/{vm}.log"));
            group.start(ProcessKind::Daemon, vm, command, &log)?;
        }
        Ok(())
    }

    /// Runs `oleandermountctl` and returns its standard output; fails unless it exits with 0.
    fn run_client(&self, arguments: &[&str]) -> io::Result<String> {
        let output = Command::new(self.program_directory.join("oleandermountctl"))
            .args(arguments)
            .env("OLEANDERMOUNT_ADMIN_URLS", self.admin_urls.join(" "))
            .stderr(Stdio::inherit())
            .output()?;
        if !output.status.success() {
            let line = arguments.join(" ");
            let message = format!("oleandermountctl {line} ended with {}", output.status);
            return Err(io::Error::other(message));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Runs an `oleandermountctl` command and prints the command line and its output.
    pub fn run_and_print(&self, arguments: &[&str]) -> io::Result<()> {
        println!("\n$ oleandermountctl {}", arguments.join(" "));
        print!("{}", self.run_client(arguments)?);
        Ok(())
    }

    /// Returns the path of the file with register and rules.
    pub fn inventory_file(&self) -> String {
        format!("{WORK_DIRECTORY}/tuul.toml")
    }

    /// Returns the URLs at which the daemons serve callers.
    pub fn caller_urls(&self) -> &[String] {
        &self.caller_urls
    }

    /// Returns the URLs at which the daemons serve operators.
    pub fn admin_urls(&self) -> &[String] {
        &self.admin_urls
    }

    /// Returns the ID of the model that the engines serve.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Returns the URL at which the fake service reports the number of runs by idempotency key.
    pub fn runs_url(&self) -> &str {
        &self.runs_url
    }

    /// Returns the API key of the organisation whose requests the run sends.
    pub fn organisation_key(&self) -> &OrganisationKey {
        &self.keys[0]
    }

    /// Writes the shell variables that a script needs to use the installation; returns the path of
    /// the file.
    pub fn write_environment(&self, group: &ProcessGroup) -> io::Result<String> {
        let lines = [
            ("CALLER_URLS", self.caller_urls.join(" ")),
            ("ADMIN_URLS", self.admin_urls.join(" ")),
            ("DAEMON_PIDS", group.ids(Some(ProcessKind::Daemon)).join(" ")),
            ("PIDS", group.ids(None).join(" ")),
            ("API_KEY", self.keys[0].key.clone()),
            ("OTHER_API_KEY", self.keys[1].key.clone()),
            ("MODEL", self.model.clone()),
            ("BOOKING_PATH", BOOKING_PATH.to_owned()),
            ("BOOKING_BODY", BOOKING_BODY.to_owned()),
            ("RUNS_URL", self.runs_url.clone()),
        ];
        let text: String =
            lines.iter().map(|(name, value)| format!("{name}='{value}'\n")).collect();
        let path = format!("{WORK_DIRECTORY}/env");
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// Fails if processes of a run with `--keep` are still alive. Emptying the work directory would
/// delete the data of running daemons.
fn ensure_no_running_installation() -> io::Result<()> {
    let Ok(text) = fs::read_to_string(format!("{WORK_DIRECTORY}/env")) else { return Ok(()) };
    let ids = text.lines().find_map(|line| line.strip_prefix("PIDS='")).unwrap_or_default();
    let alive = ids.trim_end_matches('\'').split(' ').any(|id| {
        let command_line = fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        command_line.contains("oleandermountd") || command_line.contains("/fake_")
    });
    if alive {
        let message =
            format!("an earlier run is still alive; stop it: . {WORK_DIRECTORY}/env && kill $PIDS");
        return Err(io::Error::other(message));
    }
    Ok(())
}

fn inventory_error(faults: Vec<oleandermount::inventory::validate::InventoryFault>) -> io::Error {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    io::Error::other(format!("{SAMPLE_FILE}: {}", lines.join("; ")))
}

/// Reserves free ports for all daemons. All sockets stay open until the last port is assigned, so
/// that no port is assigned twice, and are then closed for the daemons.
fn reserve_ports(vms: &mut [VmRecord]) -> io::Result<Vec<DaemonPorts>> {
    let mut sockets = Vec::new();
    let mut daemons = Vec::new();
    for vm in vms {
        let (listen, admin) =
            (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
        let peer = UdpSocket::bind("127.0.0.1:0")?;
        vm.peer_address = peer.local_addr()?;
        daemons.push(DaemonPorts {
            vm: vm.clone(),
            listen: listen.local_addr()?,
            admin: admin.local_addr()?,
        });
        sockets.push((listen, admin, peer));
    }
    drop(sockets);
    Ok(daemons)
}
