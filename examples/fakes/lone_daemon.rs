//! A single daemon in this process, with its own keys, data directory and configuration.

// Programs that include this file use only parts of it.
#![allow(dead_code)]

use {
    super::http_client,
    oleandermount::{
        daemon::{Daemon, Draining, Serving},
        inventory::{
            AssetRegister, CallRule, DomainRecord, ModelRecord, OrganisationRecord,
            OrganisationRule, RuleSet, ServerKind, ServerRecord, ServiceRecord, VmRecord,
        },
        options::DaemonOptions,
        transport::keys::{create_authority, create_certificate},
    },
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{fs, net::SocketAddr, time::Duration},
    tempfile::TempDir,
    tokio::time::sleep,
};

/// The name of the only VM.
const VM: &str = "solo-1";
/// The model of all engines.
pub const MODEL: &str = "basket-llm";
/// The service of all service servers.
pub const SERVICE: &str = "dispatch-app";
/// The bearer key of the organisation `firm`.
pub const KEY: &str = "Bearer firm-key";
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A serving daemon.
pub struct LoneDaemon {
    daemon: Daemon<Serving>,
    _directory: TempDir,
}

impl LoneDaemon {
    /// Starts a daemon for these backend servers and waits until all of them are alive.
    pub async fn start(engines: &[SocketAddr], services: &[SocketAddr]) -> Self {
        Self::start_with_register(register(engines, services), engines.len(), services).await
    }

    /// Starts a daemon for engines with these software versions.
    pub async fn start_with_versions(engines: &[(SocketAddr, &str)]) -> Self {
        let addresses: Vec<SocketAddr> = engines.iter().map(|(address, _)| *address).collect();
        let mut register = register(&addresses, &[]);
        for (server, (_, software)) in register.servers.iter_mut().zip(engines) {
            server.software = (*software).to_owned();
        }
        Self::start_with_register(register, engines.len(), &[]).await
    }

    async fn start_with_register(
        register: AssetRegister,
        engines: usize,
        services: &[SocketAddr],
    ) -> Self {
        let directory = TempDir::new().expect("a temporary directory can be created");
        let daemon = Daemon::new(options(&directory)).start().await.expect("the daemon starts");
        let started = LoneDaemon { daemon, _directory: directory };
        let register = json!(register);
        let change = json!({ "operation": "r", "expected": 0, "register": register });
        started.apply("/v1/register", change).await;
        started
            .apply(
                "/v1/rules",
                json!({ "operation": "s", "expected": 1, "rules": rules(services) }),
            )
            .await;
        started.wait_revision(2).await;
        started.wait_servers(engines + services.len()).await;
        started
    }

    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.daemon.caller_address()
    }

    /// The address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.daemon.admin_address()
    }

    /// Begins to drain the daemon. The returned directory must be kept until it has stopped.
    pub fn drain(self) -> (Daemon<Draining>, TempDir) {
        (self.daemon.drain(), self._directory)
    }

    /// The metrics in the Prometheus text format.
    pub async fn metrics(&self) -> String {
        let response = http_client::send(self.operators(), "GET", "/metrics", &[], "").await;
        String::from_utf8_lossy(&response.expect("a response").body).into_owned()
    }

    /// Applies a change, with retries until the first quorum has formed.
    async fn apply(&self, path: &str, change: Value) {
        loop {
            let json = [("content-type", "application/json")];
            let response =
                http_client::send(self.operators(), "PUT", path, &json, change.to_string()).await;
            let response = response.expect("a response");
            match response.status.as_u16() {
                200 => return,
                503 | 504 => sleep(POLL_INTERVAL).await,
                status => panic!("{path}: {status} {}", String::from_utf8_lossy(&response.body)),
            }
        }
    }

    async fn wait_revision(&self, expected: u64) {
        loop {
            let response = http_client::send(self.operators(), "GET", "/v1/status", &[], "").await;
            if response.expect("a response").json()["revision"] == expected {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_servers(&self, expected: usize) {
        loop {
            let response = http_client::send(self.operators(), "GET", "/v1/servers", &[], "").await;
            let servers = response.expect("a response").json();
            let alive = servers.as_array().into_iter().flatten();
            if alive.filter(|server| server["health"] == "alive").count() >= expected {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn options(directory: &TempDir) -> DaemonOptions {
    let authority = create_authority().expect("a certificate authority can be created");
    let pair = create_certificate(&authority, &VM.to_owned()).expect("a key can be created");
    let path = |name: &str| directory.path().join(name);
    fs::write(path("authority.pem"), &authority.certificate).expect("the directory is writable");
    fs::write(path("vm.pem"), &pair.certificate).expect("the directory is writable");
    fs::write(path("vm.key"), &pair.key).expect("the directory is writable");
    let [data, authority, certificate, key] = ["data", "authority.pem", "vm.pem", "vm.key"]
        .map(|name| path(name).to_string_lossy().into_owned());
    let arguments = [
        ["--vm", VM],
        ["--failure-domain", "solo"],
        ["--listen", "127.0.0.1:0"],
        ["--admin-listen", "127.0.0.1:0"],
        ["--peer-listen", "127.0.0.1:0"],
        ["--peers", "solo-1=127.0.0.1:1"],
        ["--founders", VM],
        ["--data-dir", data.as_str()],
        ["--authority", &authority],
        ["--certificate", &certificate],
        ["--key", &key],
        ["--body-timeout", "300ms"],
        ["--max-body-bytes", "262144"],
    ]
    .concat();
    let arguments: Vec<_> = arguments.into_iter().map(Into::into).collect();
    DaemonOptions::parse(&arguments).expect("the options are valid")
}

fn register(engines: &[SocketAddr], services: &[SocketAddr]) -> AssetRegister {
    let server = |id: String, address: &SocketAddr, kind: ServerKind| ServerRecord {
        id,
        failure_domain: "solo".to_owned(),
        address: *address,
        kind,
        models: if kind == ServerKind::Engine { vec![MODEL.to_owned()] } else { Vec::new() },
        service: (kind == ServerKind::Service).then(|| SERVICE.to_owned()),
        slots: 4096,
        software: String::new(),
        checks_fencing: true,
    };
    let engine_records = engines
        .iter()
        .enumerate()
        .map(|(at, address)| server(format!("engine-{at}"), address, ServerKind::Engine));
    let service_records = services
        .iter()
        .enumerate()
        .map(|(at, address)| server(format!("service-{at}"), address, ServerKind::Service));
    AssetRegister {
        failure_domains: vec![DomainRecord { id: "solo".to_owned(), region: String::new() }],
        vms: vec![VmRecord {
            id: VM.to_owned(),
            failure_domain: "solo".to_owned(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            capacity: 1.0,
        }],
        models: engines
            .iter()
            .take(1)
            .map(|_| ModelRecord {
                id: MODEL.to_owned(),
                weights: "v1".to_owned(),
                adapters: Vec::new(),
            })
            .collect(),
        services: services
            .iter()
            .take(1)
            .map(|_| ServiceRecord { id: SERVICE.to_owned() })
            .collect(),
        servers: engine_records.chain(service_records).collect(),
        organisations: ["firm", "rival"]
            .iter()
            .map(|id| OrganisationRecord {
                id: (*id).to_owned(),
                key_digests: vec![hex::encode(Sha256::digest(format!("{id}-key")))],
            })
            .collect(),
    }
}

fn rules(services: &[SocketAddr]) -> RuleSet {
    let allow = |id: &str, models: &[&str]| OrganisationRule {
        organisation: id.to_owned(),
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        services: vec!["*".to_owned()],
        weight: 1.0,
        class: None,
    };
    RuleSet {
        organisations: vec![allow("firm", &["*"]), allow("rival", &[])],
        calls: services
            .iter()
            .take(1)
            .map(|_| CallRule {
                service: SERVICE.to_owned(),
                method: "POST".to_owned(),
                path: "/bookings".to_owned(),
                repeatable: false,
            })
            .collect(),
        ..RuleSet::default()
    }
}
