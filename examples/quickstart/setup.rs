//! Folders, ports, keys and the register of the quick start.

use {
    super::{
        BOOKING_BODY, BOOKING_PATH,
        processes::{ProcessGroup, ProcessKind},
    },
    oleandermount::{
        inventory::{
            AssetRegister, RuleSet, ServerKind, VmRecord,
            validate::{check_register, check_rules},
        },
        options::values::is_name,
    },
    serde::Serialize,
    std::{
        env, fs, io,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Command, Stdio},
    },
};

const FOLDER: &str = "target/quickstart";
const SAMPLE: &str = "samples/tuul.toml";
/// Times of the stand-in engines, so that a stream can be watched.
const PREFILL_MS: &str = "30";
const TOKEN_MS: &str = "15";

/// A key that was made for the run.
pub struct OrganisationKey {
    /// Whose it is.
    pub organisation: String,
    /// The key.
    pub key: String,
}

/// Where one daemon listens.
struct DaemonPorts {
    vm: VmRecord,
    listen: SocketAddr,
    admin: SocketAddr,
}

/// Register and rules in one file.
#[derive(Serialize)]
struct CombinedFile {
    register: AssetRegister,
    rules: RuleSet,
}

/// Everything that the run works with.
pub struct Installation {
    programs: PathBuf,
    daemons: Vec<DaemonPorts>,
    keys: Vec<OrganisationKey>,
    model: String,
    runs_url: String,
    caller_urls: Vec<String>,
    admin_urls: Vec<String>,
}

impl Installation {
    /// Empties the folder, starts the stand-ins, makes keys and writes a register with the ports
    /// that the kernel gave.
    pub fn prepare(group: &mut ProcessGroup) -> io::Result<Self> {
        refuse_second_run()?;
        if Path::new(FOLDER).exists() {
            fs::remove_dir_all(FOLDER)?;
        }
        fs::create_dir_all(FOLDER)?;
        let text = fs::read_to_string(SAMPLE)?;
        let register = check_register(&text).map_err(faulty)?;
        let rules = check_rules(&text, &register).map_err(faulty)?;
        let programs = env::current_exe()?
            .parent()
            .and_then(Path::parent)
            .map(Path::to_owned)
            .ok_or_else(|| io::Error::other("the example is not where cargo builds it"))?;
        let mut installation = Installation {
            programs,
            daemons: Vec::new(),
            keys: Vec::new(),
            model: register.models[0].id.clone(),
            runs_url: String::new(),
            caller_urls: Vec::new(),
            admin_urls: Vec::new(),
        };
        let register = installation.fit_register(register, group)?;
        let file = toml::to_string(&CombinedFile { register, rules }).map_err(io::Error::other)?;
        fs::write(installation.sample(), file)?;
        Ok(installation)
    }

    fn fit_register(
        &mut self,
        mut register: AssetRegister,
        group: &mut ProcessGroup,
    ) -> io::Result<AssetRegister> {
        // One daemon in each failure domain. One service server, so that one place counts the
        // runs; and no prompt-keep, which has no stand-in.
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
            let made = self.client(&["keys", "organisation", "--json"])?;
            let made: serde_json::Value = serde_json::from_str(&made).map_err(io::Error::other)?;
            let text = |field: &str| made[field].as_str().unwrap_or_default().to_owned();
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
        let mut command = Command::new(self.programs.join("examples/fake_engine"));
        command.args(["--listen", "127.0.0.1:0", "--model", &self.model, "--weights", weights]);
        command.args(["--prefill-ms", PREFILL_MS, "--token-ms", TOKEN_MS]);
        group.start_stand_in(name, command)
    }

    fn start_service(&mut self, name: &str, group: &mut ProcessGroup) -> io::Result<String> {
        let mut command = Command::new(self.programs.join("examples/fake_service"));
        command.args(["--listen", "127.0.0.1:0"]);
        let address = group.start_stand_in(name, command)?;
        self.runs_url = format!("http://{address}/runs");
        Ok(address)
    }

    /// Makes keys for the daemons and starts them.
    pub fn start_daemons(&self, group: &mut ProcessGroup) -> io::Result<()> {
        let keys = format!("{FOLDER}/keys");
        let mut create = vec!["keys", "create", "--out", &keys];
        for daemon in &self.daemons {
            create.extend(["--vm", &daemon.vm.id]);
        }
        self.client(&create)?;
        let peers: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("{}={}", daemon.vm.id, daemon.vm.peer_address))
            .collect();
        let founders: Vec<&str> = self.daemons.iter().map(|daemon| daemon.vm.id.as_str()).collect();
        for daemon in &self.daemons {
            let vm = &daemon.vm.id;
            debug_assert!(is_name(vm));
            let mut command = Command::new(self.programs.join("oleandermountd"));
            command
                .args(["--vm", vm, "--failure-domain", &daemon.vm.failure_domain])
                .args(["--listen", &daemon.listen.to_string()])
                .args(["--admin-listen", &daemon.admin.to_string()])
                .args(["--peer-listen", &daemon.vm.peer_address.to_string()])
                .args(["--peers", &peers.join(","), "--founders", &founders.join(",")])
                .args(["--data-dir", &format!("{FOLDER}/{vm}")])
                .args(["--authority", &format!("{keys}/authority.pem")])
                .args(["--certificate", &format!("{keys}/{vm}.pem")])
                .args(["--key", &format!("{keys}/{vm}.key")]);
            let log = PathBuf::from(format!("{FOLDER}/{vm}.log"));
            group.start(ProcessKind::Daemon, vm, command, &log)?;
        }
        Ok(())
    }

    /// Runs the operators' client and gives what it printed.
    fn client(&self, arguments: &[&str]) -> io::Result<String> {
        let output = Command::new(self.programs.join("oleandermountctl"))
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

    /// Shows a command of the operators' client and what it prints.
    pub fn show_client(&self, arguments: &[&str]) -> io::Result<()> {
        println!("\n$ oleandermountctl {}", arguments.join(" "));
        print!("{}", self.client(arguments)?);
        Ok(())
    }

    /// The file with register and rules.
    pub fn sample(&self) -> String {
        format!("{FOLDER}/tuul.toml")
    }

    /// Where callers are served.
    pub fn caller_urls(&self) -> &[String] {
        &self.caller_urls
    }

    /// Where operators are served.
    pub fn admin_urls(&self) -> &[String] {
        &self.admin_urls
    }

    /// The model.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Where the stand-in service counts runs.
    pub fn runs_url(&self) -> &str {
        &self.runs_url
    }

    /// The key of the organisation that the run uses.
    pub fn key(&self) -> &OrganisationKey {
        &self.keys[0]
    }

    /// Writes what a script needs to use the installation; gives the file's path.
    pub fn write_env(&self, group: &ProcessGroup) -> io::Result<String> {
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
        let path = format!("{FOLDER}/env");
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// A run that was kept still uses the folder: emptying it would pull the data from under daemons.
fn refuse_second_run() -> io::Result<()> {
    let Ok(text) = fs::read_to_string(format!("{FOLDER}/env")) else { return Ok(()) };
    let ids = text.lines().find_map(|line| line.strip_prefix("PIDS='")).unwrap_or_default();
    let alive = ids.trim_end_matches('\'').split(' ').any(|id| {
        let command_line = fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        command_line.contains("oleandermountd") || command_line.contains("/fake_")
    });
    if alive {
        let message = format!("a kept run is still there; stop it: . {FOLDER}/env && kill $PIDS");
        return Err(io::Error::other(message));
    }
    Ok(())
}

fn faulty(faults: Vec<oleandermount::inventory::validate::InventoryFault>) -> io::Error {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    io::Error::other(format!("{SAMPLE}: {}", lines.join("; ")))
}

/// Takes free ports of the kernel for all daemons at once, so that no two get the same, and frees
/// them for the daemons.
fn reserve_ports(vms: &mut [VmRecord]) -> io::Result<Vec<DaemonPorts>> {
    let mut held = Vec::new();
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
        held.push((listen, admin, peer));
    }
    drop(held);
    Ok(daemons)
}
