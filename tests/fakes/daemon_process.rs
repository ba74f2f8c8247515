//! Daemons as separate processes on the loopback interface, with relays between them and fake
//! backend servers. The name of a VM consists of its failure domain, a dash and a number; the first
//! VM of each failure domain is a voter with a data folder.

// Each test that includes this file uses only some of its items.
#![allow(dead_code)]

#[path = "daemon_log.rs"]
mod daemon_log;
#[path = "../../examples/fakes/engine.rs"]
mod engine;
#[path = "../../examples/fakes/http_client.rs"]
pub mod http_client;
#[path = "key_folder.rs"]
mod key_folder;
#[path = "../../examples/fakes/service.rs"]
mod service;
#[path = "udp_relay.rs"]
mod udp_relay;

use {
    self::{
        daemon_log::{DaemonPorts, LogTail, log_copy, read_log},
        engine::{EngineBehaviour, FakeEngine},
        http_client::{BufferedResponse, OpenResponse},
        key_folder::KeyFolder,
        service::FakeService,
        udp_relay::UdpRelay,
    },
    oleandermount::transport::KeyFiles,
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        fs, io,
        net::SocketAddr,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex, atomic::Ordering},
        thread,
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        sync::oneshot,
        time::{interval, timeout},
    },
};

/// The bearer key of the only organisation.
const KEY: (&str, &str) = ("authorization", "Bearer firm-key");
/// The time limit for conditions to become true; generous, for busy machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Backend servers in each failure domain: an engine and a service.
const SERVERS_PER_DOMAIN: usize = 2;
const CHAT_PATH: &str = "/v1/chat/completions";
/// The interval between two tokens of an engine.
const TOKEN_TIME: Duration = Duration::from_millis(5);
/// The number of tokens of a short reply.
const REPLY_TOKENS: u64 = 8;
/// The number of tokens of a stream: enough for it to be in progress until the test aborts it.
const STREAM_TOKENS: u64 = 50_000;

/// The state of the data folder at a restart.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DataFolder {
    /// The folder is unchanged.
    Kept,
    /// The folder is empty, as after the loss of the disk.
    Emptied,
}

struct DaemonProcess {
    child: Child,
    ports: DaemonPorts,
    tail: LogTail,
}

impl DaemonProcess {
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill is executable").success(), "signal {name} was not sent to {id}");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have ended already. It is awaited in any case, so that none outlives its
        // test.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Daemon processes with their relays, keys and backend servers.
pub struct DaemonGroup {
    vms: Vec<String>,
    folder: TempDir,
    _folder_of_keys: KeyFolder,
    /// Created once, so that a restarted daemon has the same keys.
    keys: BTreeMap<String, KeyFiles>,
    relay: UdpRelay,
    daemons: BTreeMap<String, DaemonProcess>,
    engines: BTreeMap<String, FakeEngine>,
    services: BTreeMap<String, FakeService>,
    /// Environment variables of the daemons.
    variables: BTreeMap<String, String>,
}

impl DaemonGroup {
    /// Starts daemons on these VMs, and an engine and a service in each failure domain. Waits until
    /// each daemon has the register and the rules, which are revision 2, and reports its servers as
    /// alive.
    pub async fn start(vms: &[&str]) -> Self {
        Self::start_with(vms, BTreeMap::new()).await
    }

    /// Starts daemons like [`Self::start`], with these environment variables.
    pub async fn start_with(vms: &[&str], variables: BTreeMap<String, String>) -> Self {
        let (mut engines, mut services) = (BTreeMap::new(), BTreeMap::new());
        for domain in vms.iter().map(|vm| domain_of(vm)) {
            let behaviour = EngineBehaviour { token: TOKEN_TIME, ..EngineBehaviour::default() };
            let engine = FakeEngine::start(behaviour).await;
            engines.insert(domain.to_owned(), engine.expect("the engine starts"));
            let service = FakeService::start(([127, 0, 0, 1], 0).into()).await;
            services.insert(domain.to_owned(), service.expect("the service starts"));
        }
        let keys = KeyFolder::new();
        let mut group = DaemonGroup {
            vms: vms.iter().map(|vm| (*vm).to_owned()).collect(),
            folder: TempDir::new().expect("a temporary folder can be created"),
            keys: vms.iter().map(|vm| ((*vm).to_owned(), keys.files(vm))).collect(),
            _folder_of_keys: keys,
            relay: UdpRelay::start(vms).await,
            daemons: BTreeMap::new(),
            engines,
            services,
            variables,
        };
        for vm in vms {
            group.launch(vm).await;
        }
        group.change(vms[0], "register", "first", 0, group.register("v1")).await;
        group.change(vms[0], "rules", "second", 1, group.rules(1.0)).await;
        for vm in vms {
            group.wait_ready(vm, 2).await;
        }
        group
    }

    async fn launch(&mut self, vm: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleandermountd"));
        command
            .args(self.arguments(vm))
            .envs(&self.variables)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the daemon is executable");
        let tail = LogTail::default();
        let (ports, serving) = oneshot::channel();
        let lines = child.stderr.take().expect("stderr is piped");
        let kept = Arc::clone(&tail);
        let copy = log_copy(vm, child.id());
        thread::spawn(move || read_log(lines, copy, &kept, ports));
        let ports = timeout(WAIT_TIMEOUT, serving).await;
        let Ok(Ok(ports)) = ports else {
            let lines = tail.lock().expect("the mutex is not poisoned");
            // The child is not yet owned by a `DaemonProcess`, which would end it.
            let _ = child.kill();
            let _ = child.wait();
            panic!("{vm} did not start to serve: {lines:#?}");
        };
        self.relay.set_address(vm, ports.peers);
        self.daemons.insert(vm.to_owned(), DaemonProcess { child, ports, tail });
    }

    fn arguments(&self, vm: &str) -> Vec<String> {
        let others = self.vms.iter().filter(|other| *other != vm);
        let peers: Vec<_> =
            others.map(|other| format!("{other}={}", self.relay.port(other))).collect();
        let founders: Vec<_> =
            self.vms.iter().filter(|vm| is_voter(vm)).map(String::as_str).collect();
        let keys = &self.keys[vm];
        let path = |path: &std::path::Path| path.to_string_lossy().into_owned();
        let mut pairs = vec![
            ("--vm", vm.to_owned()),
            ("--failure-domain", domain_of(vm).to_owned()),
            ("--listen", "127.0.0.1:0".to_owned()),
            ("--admin-listen", "127.0.0.1:0".to_owned()),
            ("--peer-listen", "127.0.0.1:0".to_owned()),
            ("--peers", peers.join(",")),
            ("--founders", founders.join(",")),
            ("--authority", path(&keys.authority)),
            ("--certificate", path(&keys.certificate)),
            ("--key", path(&keys.key)),
        ];
        if is_voter(vm) {
            pairs.push(("--data-dir", path(&self.folder.path().join(vm))));
        }
        pairs.into_iter().flat_map(|(option, value)| [option.to_owned(), value]).collect()
    }

    /// Returns the process id of a daemon.
    pub fn process_id(&self, vm: &str) -> u32 {
        self.daemons[vm].child.id()
    }

    /// Returns the address for callers and the one for operators of a daemon.
    pub fn addresses(&self, vm: &str) -> (SocketAddr, SocketAddr) {
        let ports = &self.daemons[vm].ports;
        (ports.callers, ports.operators)
    }

    /// Kills a daemon, even a paused one, and removes it from the group.
    pub fn kill(&mut self, vm: &str) {
        self.daemons.remove(vm).expect("the daemon runs");
    }

    /// Kills a daemon through a shared reference; it stays in the group.
    pub fn kill_process(&self, vm: &str) {
        self.daemons[vm].signal("KILL");
    }

    /// Restarts a daemon that was stopped or killed.
    pub async fn restart(&mut self, vm: &str, data: DataFolder) {
        if data == DataFolder::Emptied {
            fs::remove_dir_all(self.folder.path().join(vm)).expect("the data folder exists");
        }
        self.launch(vm).await;
    }

    /// Sends SIGTERM to a daemon and waits for its exit code.
    pub async fn stop(&mut self, vm: &str) -> Option<i32> {
        let mut daemon = self.daemons.remove(vm).expect("the daemon runs");
        daemon.signal("TERM");
        let mut ticks = interval(POLL_INTERVAL);
        let exit = timeout(WAIT_TIMEOUT, async {
            loop {
                if let Some(status) = daemon.child.try_wait().expect("the process is a child") {
                    return status.code();
                }
                ticks.tick().await;
            }
        });
        exit.await.expect("the daemon stops on SIGTERM")
    }

    /// Pauses a daemon's process with SIGSTOP.
    pub fn pause(&self, vm: &str) {
        self.daemons[vm].signal("STOP");
    }

    /// Resumes a paused process.
    pub fn resume(&self, vm: &str) {
        self.daemons[vm].signal("CONT");
    }

    /// Cuts off the daemons of a failure domain from those of all other domains.
    pub fn isolate_domain(&self, domain: &str) {
        let inside: Vec<_> =
            self.vms.iter().map(String::as_str).filter(|vm| domain_of(vm) == domain).collect();
        inside.iter().for_each(|vm| self.relay.isolate(vm, &inside));
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        self.relay.heal();
    }

    /// Waits until a condition holds; fails with the daemons' last log lines after a timeout.
    pub async fn wait_until(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let mut ticks = interval(POLL_INTERVAL);
        let condition = async {
            while !holds().await {
                ticks.tick().await;
            }
        };
        self.with_timeout(what, condition).await;
    }

    /// Awaits `work`; fails with the daemons' last log lines after a timeout.
    pub async fn with_timeout<T>(&self, what: &str, work: impl Future<Output = T>) -> T {
        match timeout(WAIT_TIMEOUT, work).await {
            Ok(result) => result,
            Err(_) => {
                for (vm, daemon) in &self.daemons {
                    eprintln!(
                        "{vm}: {:#?}",
                        daemon.tail.lock().expect("the mutex is not poisoned")
                    );
                }
                panic!("timed out: {what}");
            }
        }
    }

    /// Sends a caller's request and reads the complete response; an error means that the connection
    /// broke.
    pub async fn call(
        &self,
        vm: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> io::Result<BufferedResponse> {
        let headers = [&[KEY], headers].concat();
        let address = self.daemons[vm].ports.callers;
        let sent = http_client::send(address, method, path, &headers, body.to_string());
        self.with_timeout(&format!("{vm} responds to {method} {path}"), sent).await
    }

    /// Sends a non-repeatable call under an idempotency key.
    pub async fn call_non_repeatable(
        &self,
        vm: &str,
        key: &str,
        deadline_ms: &str,
    ) -> io::Result<BufferedResponse> {
        let headers = [("idempotency-key", key), ("x-oleandermount-deadline-ms", deadline_ms)];
        let path = "/services/dispatch-app/bookings";
        self.call(vm, "POST", path, &headers, &json!({ "slot": key })).await
    }

    /// Sends a repeatable call.
    pub async fn call_repeatable(&self, vm: &str) -> io::Result<BufferedResponse> {
        self.call(vm, "GET", "/services/dispatch-app/status", &[], &Value::Null).await
    }

    /// Sends a chat request and reads the complete response.
    pub async fn chat(&self, vm: &str, question: &str) -> io::Result<BufferedResponse> {
        self.call(vm, "POST", CHAT_PATH, &[], &chat_body(question, REPLY_TOKENS)).await
    }

    /// Sends a chat request with a long streamed reply and waits for the response head.
    pub async fn stream(&self, vm: &str, question: &str) -> io::Result<OpenResponse> {
        let address = self.daemons[vm].ports.callers;
        let body = chat_body(question, STREAM_TOKENS).to_string();
        let sent = http_client::open(address, "POST", CHAT_PATH, &[KEY], body);
        self.with_timeout("the stream starts", sent).await
    }

    /// Sends an operator's request and reads the complete response.
    pub async fn send_operator_request(
        &self,
        vm: &str,
        method: &str,
        path: &str,
        body: &Value,
    ) -> io::Result<BufferedResponse> {
        let json = [("content-type", "application/json")];
        let address = self.daemons[vm].ports.operators;
        let sent = http_client::send(address, method, path, &json, body.to_string());
        self.with_timeout(&format!("{vm} responds to {method} {path}"), sent).await
    }

    /// The JSON document at an operator's path; `Null` if the daemon does not respond.
    pub async fn read_json(&self, vm: &str, path: &str) -> Value {
        let response = self.send_operator_request(vm, "GET", path, &Value::Null).await;
        response.map(|response| response.json()).unwrap_or_default()
    }

    /// Proposes a change of `part` once.
    pub async fn propose(
        &self,
        vm: &str,
        part: &str,
        operation: &str,
        expected: u64,
        body: Value,
    ) -> io::Result<BufferedResponse> {
        let change = json!({ "operation": operation, "expected": expected, part: body });
        self.send_operator_request(vm, "PUT", &format!("/v1/{part}"), &change).await
    }

    /// Proposes a change of `part` repeatedly until it is accepted, which may take an election.
    pub async fn change(&self, vm: &str, part: &str, operation: &str, expected: u64, body: Value) {
        self.wait_until(&format!("{vm} accepts {operation}"), async || {
            let response = self.propose(vm, part, operation, expected, body.clone()).await;
            let response = response.expect("operators get a response");
            assert!(matches!(response.status.as_u16(), 200 | 503 | 504), "{:?}", response.body);
            response.status == 200
        })
        .await;
    }

    /// The revision in effect at a daemon; 0 if it does not respond.
    pub async fn revision(&self, vm: &str) -> u64 {
        self.read_json(vm, "/v1/status").await["revision"].as_u64().unwrap_or_default()
    }

    /// Waits until a daemon has at least this revision and reports the servers of its failure
    /// domain as alive. Other servers are not awaited, since a partition prevents the digests about
    /// them.
    pub async fn wait_ready(&self, vm: &str, revision: u64) {
        self.wait_until(&format!("{vm} has revision {revision} and its servers"), async || {
            let servers = self.read_json(vm, "/v1/servers").await;
            let servers = servers.as_array().cloned().unwrap_or_default();
            let own = servers.iter().filter(|server| server["failure_domain"] == domain_of(vm));
            let alive = own.filter(|server| server["health"] == "alive").count();
            self.revision(vm).await >= revision && alive == SERVERS_PER_DOMAIN
        })
        .await;
    }

    /// Waits until one of these VMs leads and all of them report it as the leader.
    pub async fn wait_leader(&self, vms: &[&str]) -> String {
        let found: Mutex<String> = Mutex::default();
        self.wait_until(&format!("a leader of {vms:?}"), async || {
            let mut leaders = BTreeSet::new();
            for vm in vms {
                leaders.insert(self.read_json(vm, "/v1/status").await["leader"].to_string());
            }
            let leader = leaders.pop_first().unwrap_or_default().trim_matches('"').to_owned();
            let is_one = leaders.is_empty() && vms.contains(&leader.as_str());
            *found.lock().expect("the mutex is not poisoned") = leader;
            is_one
        })
        .await;
        found.into_inner().expect("the mutex is not poisoned")
    }

    /// How many times the services executed the call under a key.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.services.values().map(|service| service.controls.runs_of(key)).sum()
    }

    /// Makes the services execute calls and delay their responses.
    pub fn hold_services(&self) {
        self.services.values().for_each(|service| service.controls.hold.store(1, Ordering::SeqCst));
    }

    /// Releases the delayed responses.
    pub fn release_services(&self) {
        self.services.values().for_each(|service| service.controls.release());
    }

    /// The register; `region` distinguishes changes.
    pub fn register(&self, region: &str) -> Value {
        let vms = self.vms.iter().map(|vm| {
            json!({ "id": vm, "failure_domain": domain_of(vm), "peer_address": self.relay.port(vm) })
        });
        let engines = self.engines.iter().map(|(domain, engine)| {
            json!({ "id": format!("engine-{domain}"), "failure_domain": domain, "kind": "engine",
                    "address": engine.address(), "models": ["basket-llm"], "slots": 64 })
        });
        let services = self.services.iter().map(|(domain, service)| {
            json!({ "id": format!("service-{domain}"), "failure_domain": domain,
                    "kind": "service", "address": service.address(),
                    "service": "dispatch-app", "slots": 64 })
        });
        let domains = self.engines.keys().map(|domain| json!({ "id": domain, "region": region }));
        json!({
            "failure_domains": domains.collect::<Vec<_>>(),
            "vms": vms.collect::<Vec<_>>(),
            "models": [{ "id": "basket-llm", "weights": "v1" }],
            "services": [{ "id": "dispatch-app" }],
            "servers": engines.chain(services).collect::<Vec<_>>(),
            "organisations": [
                { "id": "firm", "key_digests": [hex::encode(Sha256::digest("firm-key"))] },
            ],
        })
    }

    /// The rules; `weight` distinguishes changes.
    pub fn rules(&self, weight: f64) -> Value {
        json!({
            "organisations": [{ "organisation": "firm", "models": ["*"], "services": ["*"],
                                "weight": weight }],
            "calls": [{ "service": "dispatch-app", "method": "POST", "path": "/bookings",
                        "repeatable": false }],
        })
    }
}

/// The `did_run` field of a refusal; `"yes"` for a response of the service.
pub fn did_run(response: &BufferedResponse) -> String {
    response.json()["error"]["did_run"].as_str().unwrap_or("yes").to_owned()
}

fn chat_body(question: &str, tokens: u64) -> Value {
    let messages = json!([{ "role": "user", "content": question }]);
    let stream = tokens == STREAM_TOKENS;
    json!({ "model": "basket-llm", "max_tokens": tokens, "stream": stream, "messages": messages })
}

fn domain_of(vm: &str) -> &str {
    vm.split('-').next().unwrap_or(vm)
}

fn is_voter(vm: &str) -> bool {
    vm.ends_with("-1")
}
