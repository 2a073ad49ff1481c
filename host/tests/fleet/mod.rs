//! A fleet on loopback for tests: each entry host is a process of its own, on an IP of its own.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test file uses its own part of the fleet"
)]

mod client;
mod link;
mod lists;
#[path = "../loopback/mod.rs"]
mod loopback;

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use clementinearch_border::{FleetStatus, HostEntry, HostList, HostRole, HostState};
use clementinearch_policy::time::Millis;
use clementinearch_standins::{
    memory_store::{Faults, MemoryStore},
    store_server,
};
use clementinearch_storage::{ItemWrite, write_edit};

pub use client::*;
pub use lists::*;
pub use loopback::wait_until;
use loopback::{HANG_GUARD, claim_network};

/// Networks of fleets: 127.16 and up.
const FIRST_BLOCK: u8 = 16;
const BLOCKS: u8 = 200;

const CALLERS_PORT: u16 = 8080;
const PEERS_PORT: u16 = 7070;
const LINK_PORT: u16 = 7071;
const ADMIN_PORT: u16 = 9090;
const STORE_PORT: u16 = 2379;
const BACKEND_PORT: u16 = 8000;

/// IPs within a fleet's network: the store, up to 12 backend servers, up to 112 hosts and their
/// gates to the store.
const STORE_IP: u8 = 1;
const FIRST_HOST_IP: u8 = 14;
const FIRST_GATE_IP: u8 = 130;
const FIRST_BACKEND_IP: u8 = 2;

/// Short periods, so that tests do not wait.
const TEST_TIMINGS: &str = "gossip_period_ms = 50\nledger_period_ms = 100\ndrain_notice_ms = 100";

/// The store gives no answer and nothing takes effect.
pub const DOWN: Faults = Faults {
    down: true,
    delay: Duration::ZERO,
    lose_answers: 0,
    down_after_lost: false,
    stale: false,
};

/// The present time.
pub fn now() -> Millis {
    let elapsed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    Millis(elapsed.as_millis() as u64)
}

/// Path of a program of the workspace that `cargo test --workspace` builds.
fn program(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_BIN_EXE_clementinearch"))
        .parent()
        .unwrap();
    let path = dir.join(name);
    assert!(
        path.exists(),
        "{} is not built; run the tests with `cargo test --workspace`",
        path.display()
    );
    path
}

/// A process that is killed when it goes out of scope.
pub struct Process(pub Child);

impl Process {
    fn start(name: &str, args: &[String]) -> Self {
        let log = std::env::var_os("SHOW_LOGS").map_or_else(Stdio::null, |_| Stdio::inherit());
        let child = Command::new(program(name))
            .args(args)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        Self(child.unwrap())
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.0.id().to_string()])
            .status();
        assert!(status.unwrap().success(), "cannot send {name}");
    }

    /// Kills the process and waits for its end, so that its addresses are free.
    pub fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> bool {
        self.0.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An entry host process.
pub struct EntryHost {
    pub process: Process,
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    is_cut: Arc<AtomicBool>,
}

impl EntryHost {
    /// Cuts the host off from the store, or ends the cut.
    pub fn cut_from_store(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    pub fn is_ready(&self) -> bool {
        try_get(self.admin(), "/readyz").is_some_and(|(status, _)| status == 200)
    }

    pub fn status(&self) -> Option<FleetStatus> {
        let (_, text) = try_get(self.admin(), "/status")?;
        serde_json::from_str(&text).ok()
    }

    /// Revision that the host says it applies.
    pub fn revision(&self) -> Option<u64> {
        let status = self.status()?;
        status
            .hosts
            .iter()
            .find(|host| host.host == self.name)?
            .revision
    }

    /// A counter's value summed over its labels.
    pub fn counter(&self, name: &str) -> u64 {
        let (_, text) = try_get(self.admin(), "/metrics").unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>() as u64
    }
}

/// A fleet under test.
pub struct Fleet {
    network: (u8, u8),
    has_links: bool,
    /// Ways of peers to each host; set to cut.
    pub links: Vec<Arc<AtomicBool>>,
    pub store: Arc<MemoryStore>,
    pub hosts: Vec<EntryHost>,
    pub backends: Vec<(HostEntry, Option<Process>)>,
    listed_hosts: Vec<HostEntry>,
    gates: Vec<Arc<AtomicBool>>,
    has_store_process: bool,
    seeds_from: usize,
    next_edit: u32,
    settings: String,
    timings: String,
}

impl Fleet {
    /// A store with no host yet.
    pub fn new() -> Self {
        Self {
            has_store_process: false,
            ..Self::without_store()
        }
    }

    /// Engines of version `v1` in zone `a`, a plan `one` that allows it, and ready hosts that serve.
    pub fn serving(settings: &str, engines: usize, zones: &[&str]) -> Self {
        let mut fleet = Self::new().with_settings(settings);
        for _ in 0..engines {
            fleet.engine("a", &["v1"]);
        }
        let versions = model(&[("v1", "established")]);
        fleet.edit(&[
            ("model/review", &versions),
            ("plan/one", &plan("one", &["v1"])),
        ]);
        fleet.start_hosts(zones);
        for host in 0..zones.len() {
            fleet.wait_serving(host, "one");
        }
        fleet
    }

    /// A fleet whose store is started by the test.
    pub fn without_store() -> Self {
        Self {
            network: claim_network(FIRST_BLOCK, BLOCKS, STORE_PORT),
            has_links: false,
            links: Vec::new(),
            store: Arc::new(MemoryStore::new()),
            hosts: Vec::new(),
            backends: Vec::new(),
            listed_hosts: Vec::new(),
            gates: Vec::new(),
            has_store_process: true,
            seeds_from: 0,
            next_edit: 0,
            settings: String::new(),
            timings: TEST_TIMINGS.to_owned(),
        }
    }

    /// Peers reach each host by a link that the test can cut.
    pub fn with_links(mut self) -> Self {
        self.has_links = true;
        self
    }

    /// Runs the hosts with the timings of the sample settings.
    pub fn with_default_timings(mut self) -> Self {
        self.timings = String::new();
        self
    }

    /// Adds lines to the top of each host's settings file, such as a `[pools]` table.
    pub fn with_settings(mut self, settings: &str) -> Self {
        self.settings = settings.to_owned();
        self
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network.0, self.network.1, number))
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(STORE_IP), STORE_PORT)
    }

    /// Starts the store as a process of its own.
    pub fn start_store_process(&self) -> Process {
        let address = self.store_address();
        let process = Process::start(
            "examples/store",
            &["--address".to_owned(), address.to_string()],
        );
        wait_until("the store listens", || TcpStream::connect(address).is_ok());
        process
    }

    /// Hosts and backend servers for the host list.
    pub fn host_list(&self) -> HostList {
        let backends = self.backends.iter().map(|(entry, _)| entry.clone());
        HostList {
            hosts: self.listed_hosts.iter().cloned().chain(backends).collect(),
        }
    }

    /// Writes the host list straight into the store.
    pub fn list_hosts(&self) {
        self.store.set_hosts(self.host_list());
    }

    /// Lists the backend servers alone: entry hosts do not learn of each other.
    pub fn list_backends(&self) {
        let hosts = self
            .backends
            .iter()
            .map(|(entry, _)| entry.clone())
            .collect();
        self.store.set_hosts(HostList { hosts });
    }

    /// Hosts started from now on have no seeds among those started before.
    pub fn cut_zones(&mut self) {
        self.seeds_from = self.listed_hosts.len();
    }

    /// Starts a backend server, `examples/engine` or `examples/service`.
    pub fn start_backend(&mut self, kind: &str, pool: &str, zone: &str, args: &[&str]) -> usize {
        let number = self.backends.len();
        let address = SocketAddr::new(self.ip(FIRST_BACKEND_IP + number as u8), BACKEND_PORT);
        let mut all = vec!["--address".to_owned(), address.to_string()];
        all.extend(args.iter().map(|arg| (*arg).to_owned()));
        let process = Process::start(&format!("examples/{kind}"), &all);
        let entry = HostEntry {
            name: format!("{kind}-{number}"),
            role: HostRole::Backend,
            zone: zone.to_owned(),
            address: address.to_string(),
            pool: pool.to_owned(),
            state: HostState::Live,
        };
        self.backends.push((entry, Some(process)));
        wait_until("the backend server listens", || {
            TcpStream::connect(address).is_ok()
        });
        number
    }

    pub fn engine(&mut self, zone: &str, versions: &[&str]) -> usize {
        let args: Vec<String> = versions
            .iter()
            .map(|version| format!("review@{version}"))
            .collect();
        let args: Vec<&str> = args
            .iter()
            .flat_map(|version| ["--version", version.as_str()])
            .collect();
        self.start_backend("engine", "reviewers", zone, &args)
    }

    pub fn service(&mut self, zone: &str, args: &[&str]) -> usize {
        self.start_backend("service", "queue", zone, args)
    }

    pub fn backend_address(&self, number: usize) -> SocketAddr {
        self.backends[number].0.address.parse().unwrap()
    }

    /// Switches faults of a backend server, such as `cut_after=3`.
    pub fn fault(&self, number: usize, query: &str) {
        send(
            "PUT",
            self.backend_address(number),
            &format!("/test/faults?{query}"),
            &[],
            "",
        )
        .unwrap();
    }

    /// Lines of a backend server's log.
    pub fn log(&self, number: usize) -> Vec<String> {
        let (_, text) = try_get(self.backend_address(number), "/test/log").unwrap();
        text.lines().map(str::to_owned).collect()
    }

    /// Requests that a model engine began to run so far.
    pub fn starts(&self, number: usize) -> usize {
        let log = self.log(number);
        log.iter().filter(|line| line.starts_with("start")).count()
    }

    /// Kills a backend server.
    pub fn kill_backend(&mut self, number: usize) {
        self.backends[number].1 = None;
    }

    /// Starts an entry host without waiting for it. Restarting a name gives the same addresses.
    pub fn start_host(&mut self, name: &str, zone: &str) -> usize {
        let number = self
            .listed_hosts
            .iter()
            .position(|host| host.name == name)
            .unwrap_or(self.listed_hosts.len());
        let ip = self.ip(FIRST_HOST_IP + number as u8);
        if number == self.listed_hosts.len() {
            let own = SocketAddr::new(ip, PEERS_PORT);
            let link = SocketAddr::new(ip, LINK_PORT);
            if self.has_links {
                self.links.push(link::start(link, own));
            }
            self.listed_hosts.push(HostEntry {
                name: name.to_owned(),
                role: HostRole::Entry,
                zone: zone.to_owned(),
                address: if self.has_links { link } else { own }.to_string(),
                pool: String::new(),
                state: HostState::Live,
            });
        }
        if number == self.gates.len() {
            self.gates.push(Arc::default());
            if !self.has_store_process {
                let gate = SocketAddr::new(self.ip(FIRST_GATE_IP + number as u8), STORE_PORT);
                store_server::serve_with_partition(
                    self.store.clone(),
                    gate,
                    self.gates[number].clone(),
                )
                .unwrap();
            }
        }
        let settings = self.write_settings(name, zone, number, ip);
        let args = [
            "serve".to_owned(),
            "--settings".to_owned(),
            settings.display().to_string(),
        ];
        let process = Process::start("clementinearch", &args);
        let host = EntryHost {
            process,
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            is_cut: self.gates[number].clone(),
        };
        if number < self.hosts.len() {
            self.hosts[number] = host;
        } else {
            self.hosts.push(host);
        }
        number
    }

    fn write_settings(&self, name: &str, zone: &str, number: usize, ip: IpAddr) -> PathBuf {
        let store = if self.has_store_process {
            self.store_address()
        } else {
            SocketAddr::new(self.ip(FIRST_GATE_IP + number as u8), STORE_PORT)
        };
        let seeds: Vec<String> = self.listed_hosts[self.seeds_from..]
            .iter()
            .map(|host| format!("\"{}\"", host.address))
            .collect();
        let advertised = &self.listed_hosts[number].address;
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nsession_secret = \"a secret of the test fleet\"\nseeds = [{}]\n\
             [listen]\ncallers = \"{ip}:{CALLERS_PORT}\"\npeers = \"{ip}:{PEERS_PORT}\"\nadvertised_peers = \"{advertised}\"\nadmin = \"{ip}:{ADMIN_PORT}\"\n\
             [store]\naddress = \"{}\"\n\
             [limits]\n{}\n{}\n",
            seeds.join(", "),
            store,
            self.timings,
            self.settings
        );
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = dir.join(format!("{}-{}-{name}.toml", self.network.0, self.network.1));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts entry hosts named `zone-N`, lists them and waits until each is ready.
    pub fn start_hosts(&mut self, zones: &[&str]) {
        for (number, zone) in zones.iter().enumerate() {
            self.start_host(&format!("{zone}-{number}"), zone);
        }
        self.list_hosts();
        for host in &mut self.hosts {
            let began = Instant::now();
            wait_until("the host is ready", || {
                let ended = host.process.0.try_wait().unwrap();
                assert!(ended.is_none(), "host {} ended: {ended:?}", host.name);
                let is_late = began.elapsed() > HANG_GUARD / 2;
                assert!(
                    !is_late,
                    "host {} is not ready: {:?}",
                    host.name,
                    try_get(host.admin(), "/readyz")
                );
                host.is_ready()
            });
        }
    }

    /// Writes items as one accepted edit and returns its revision.
    pub fn edit(&mut self, items: &[(&str, &str)]) -> u64 {
        let write = |(item, text): &(&str, &str)| ItemWrite {
            item: (*item).to_owned(),
            text: Some((*text).to_owned()),
            expected: None,
        };
        let writes: Vec<ItemWrite> = items.iter().map(write).collect();
        self.next_edit += 1;
        let outcome = write_edit(
            &*self.store,
            &format!("edit-{}", self.next_edit),
            &writes,
            now(),
        )
        .unwrap();
        match outcome {
            clementinearch_storage::EditOutcome::Accepted { revision } => revision,
            other => panic!("edit was not accepted: {other:?}"),
        }
    }

    /// Waits until each running host says that it applies `revision`.
    pub fn wait_in_force(&self, revision: u64) {
        for host in &self.hosts {
            wait_until("the revision is in force", || {
                host.revision() == Some(revision)
            });
        }
    }

    /// Waits until a chat request of this key succeeds at the host.
    pub fn wait_serving(&self, host: usize, key: &str) {
        let body = chat_body("warm up", 1, false);
        let callers = self.hosts[host].callers();
        wait_until("callers are served", || TcpStream::connect(callers).is_ok());
        wait_until("the host reaches an engine", || {
            chat(&self.hosts[host], key, &[], &body).status == 200
        });
    }

    /// Runs the operators' command.
    pub fn clemctl(&self, args: &[&str]) -> Output {
        Command::new(program("clemctl"))
            .args(args)
            .output()
            .unwrap()
    }
}
