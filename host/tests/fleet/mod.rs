//! A fleet on loopback for tests: each entry host and backend server is a process with its own IP,
//! and the store runs in the test's process unless the test starts it as another one.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

mod client;
mod config_items;
mod link;
#[path = "../loopback/mod.rs"]
mod loopback;
mod scripted;

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
pub use config_items::*;
pub use loopback::wait_until;
use loopback::{HANG_TIMEOUT, reserve_network};

/// First of the 127.x.0.0/16 blocks that these tests use, and their number.
const FIRST_BLOCK: u8 = 16;
const BLOCKS: u8 = 200;

const CALLERS_PORT: u16 = 8080;
const PEERS_PORT: u16 = 7070;
const LINK_PORT: u16 = 7071;
const ADMIN_PORT: u16 = 9090;
const STORE_PORT: u16 = 2379;
const BACKEND_PORT: u16 = 8000;

/// Last octets in a fleet's network: the store, up to 12 backend servers, up to 112 hosts, and for
/// each host a store endpoint of its own, so that it can be cut off alone.
const STORE_IP: u8 = 1;
const FIRST_HOST_IP: u8 = 14;
const FIRST_STORE_ENDPOINT_IP: u8 = 130;
const FIRST_BACKEND_IP: u8 = 2;

/// Settings with short periods, which keep the tests fast.
const TEST_TIMINGS: &str = "gossip_period_ms = 50\nledger_period_ms = 100\ndrain_notice_ms = 100";

/// Store outage: no call is answered and none takes effect.
pub const STORE_DOWN: Faults = Faults {
    down: true,
    delay: Duration::ZERO,
    lose_answers: 0,
    down_after_lost: false,
    stale: false,
};

/// Returns the wall-clock time.
pub fn now() -> Millis {
    let elapsed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    Millis(elapsed.as_millis() as u64)
}

/// Returns the path of a program of the workspace, which `cargo test --workspace` builds.
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

/// A child process, killed on drop.
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

    /// Kills the process and waits until it exits, so that its addresses are free.
    pub fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }

    /// Waits until the process exits. Returns whether it succeeded.
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
    is_cut_from_store: Arc<AtomicBool>,
}

impl EntryHost {
    /// Cuts the host off from the store, or restores its access.
    pub fn set_cut_from_store(&self, is_cut: bool) {
        self.is_cut_from_store.store(is_cut, Ordering::Relaxed);
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

    /// Returns the configuration revision that the host reports as in force.
    pub fn revision(&self) -> Option<u64> {
        let status = self.status()?;
        status
            .hosts
            .iter()
            .find(|host| host.host == self.name)?
            .revision
    }

    /// Returns the sum of a metric over its labels. `name` may include labels to select one.
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
    /// Second and third octet of its IPs.
    network: (u8, u8),
    has_links: bool,
    /// Flags that cut peers off from each host, see [`link`].
    pub links: Vec<Arc<AtomicBool>>,
    pub store: Arc<MemoryStore>,
    pub hosts: Vec<EntryHost>,
    /// Host list entry and process of each backend server; no process once it is killed.
    pub backends: Vec<(HostEntry, Option<Process>)>,
    /// Host list entries of the entry hosts.
    listed_hosts: Vec<HostEntry>,
    /// Flags that cut each host off from the store.
    store_cuts: Vec<Arc<AtomicBool>>,
    has_store_process: bool,
    /// Index of the first entry host that later ones get as a seed.
    first_seed: usize,
    next_edit: u32,
    /// Lines added to the end of each settings file.
    settings: String,
    timings: String,
}

impl Fleet {
    /// Creates a fleet with a store and no hosts yet.
    pub fn new() -> Self {
        Self {
            has_store_process: false,
            ..Self::without_store()
        }
    }

    /// Starts engines with version `v1` in zone `a`, writes a plan `one` that allows it, and starts
    /// a host in each of `zones`. Returns once every host serves chat requests.
    pub fn serving(settings: &str, engines: usize, zones: &[&str]) -> Self {
        let mut fleet = Self::new().with_settings(settings);
        for _ in 0..engines {
            fleet.start_engine("a", &["v1"]);
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

    /// Creates a fleet whose store the test starts itself, see [`Self::start_store_process`].
    pub fn without_store() -> Self {
        Self {
            network: reserve_network(FIRST_BLOCK, BLOCKS, STORE_PORT),
            has_links: false,
            links: Vec::new(),
            store: Arc::new(MemoryStore::new()),
            hosts: Vec::new(),
            backends: Vec::new(),
            listed_hosts: Vec::new(),
            store_cuts: Vec::new(),
            has_store_process: true,
            first_seed: 0,
            next_edit: 0,
            settings: String::new(),
            timings: TEST_TIMINGS.to_owned(),
        }
    }

    /// Puts a link that the test can cut before the peer port of each host.
    pub fn with_links(mut self) -> Self {
        self.has_links = true;
        self
    }

    /// Runs the hosts with the default timings instead of [`TEST_TIMINGS`].
    pub fn with_default_timings(mut self) -> Self {
        self.timings = String::new();
        self
    }

    /// Adds lines to the `[limits]` of each host's settings, or further tables such as `[pools]`.
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

    /// Starts the store as a separate process.
    pub fn start_store_process(&self) -> Process {
        let address = self.store_address();
        let process = Process::start(
            "examples/store",
            &["--address".to_owned(), address.to_string()],
        );
        wait_until("the store listens", || TcpStream::connect(address).is_ok());
        process
    }

    /// Returns the host list: all entry hosts and backend servers started so far.
    pub fn host_list(&self) -> HostList {
        let backends = self.backends.iter().map(|(entry, _)| entry.clone());
        HostList {
            hosts: self.listed_hosts.iter().cloned().chain(backends).collect(),
        }
    }

    /// Writes the host list to the store.
    pub fn write_host_list(&self) {
        self.store.set_hosts(self.host_list());
    }

    /// Writes a host list of the backend servers only, from which entry hosts do not learn of each
    /// other.
    pub fn write_host_list_of_backends(&self) {
        let hosts = self
            .backends
            .iter()
            .map(|(entry, _)| entry.clone())
            .collect();
        self.store.set_hosts(HostList { hosts });
    }

    /// Gives hosts that start from now on no seeds among the earlier ones.
    pub fn isolate_new_hosts(&mut self) {
        self.first_seed = self.listed_hosts.len();
    }

    /// Starts a backend server from `examples/KIND`, where `kind` is `engine` or `service`. Returns
    /// its index.
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

    /// Starts a model engine with these versions of the model `review`. Returns its index.
    pub fn start_engine(&mut self, zone: &str, versions: &[&str]) -> usize {
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

    /// Starts a server of the plain service `queue`. Returns its index.
    pub fn start_service(&mut self, zone: &str, args: &[&str]) -> usize {
        self.start_backend("service", "queue", zone, args)
    }

    pub fn backend_address(&self, number: usize) -> SocketAddr {
        self.backends[number].0.address.parse().unwrap()
    }

    /// Sets the faults of a backend server by a query such as `cut_after=3`; empty for none.
    pub fn set_backend_faults(&self, number: usize, query: &str) {
        send(
            "PUT",
            self.backend_address(number),
            &format!("/test/faults?{query}"),
            &[],
            "",
        )
        .unwrap();
    }

    /// Returns the lines of a backend server's log.
    pub fn backend_log(&self, number: usize) -> Vec<String> {
        let (_, text) = try_get(self.backend_address(number), "/test/log").unwrap();
        text.lines().map(str::to_owned).collect()
    }

    /// Returns the number of requests that a model engine has started to run.
    pub fn started_requests(&self, number: usize) -> usize {
        let log = self.backend_log(number);
        log.iter().filter(|line| line.starts_with("start")).count()
    }

    /// Kills a backend server.
    pub fn kill_backend(&mut self, number: usize) {
        self.backends[number].1 = None;
    }

    /// Starts an entry host without waiting until it is ready. Returns its index. A host that
    /// restarts under the same name keeps its addresses.
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
        if number == self.store_cuts.len() {
            self.store_cuts.push(Arc::default());
            if !self.has_store_process {
                let store_endpoint =
                    SocketAddr::new(self.ip(FIRST_STORE_ENDPOINT_IP + number as u8), STORE_PORT);
                store_server::serve_with_partition(
                    self.store.clone(),
                    store_endpoint,
                    self.store_cuts[number].clone(),
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
            is_cut_from_store: self.store_cuts[number].clone(),
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
            SocketAddr::new(self.ip(FIRST_STORE_ENDPOINT_IP + number as u8), STORE_PORT)
        };
        let seeds: Vec<String> = self.listed_hosts[self.first_seed..]
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

    /// Starts an entry host `ZONE-N` in each of `zones`, writes the host list and waits until all
    /// are ready.
    pub fn start_hosts(&mut self, zones: &[&str]) {
        for (number, zone) in zones.iter().enumerate() {
            self.start_host(&format!("{zone}-{number}"), zone);
        }
        self.write_host_list();
        for host in &mut self.hosts {
            let began = Instant::now();
            wait_until("the host is ready", || {
                let exit_status = host.process.0.try_wait().unwrap();
                assert!(
                    exit_status.is_none(),
                    "host {} exited: {exit_status:?}",
                    host.name
                );
                let is_late = began.elapsed() > HANG_TIMEOUT / 2;
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

    /// Writes configuration items as one edit. Returns its revision.
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
            other => panic!("the edit was not accepted: {other:?}"),
        }
    }

    /// Waits until every host reports `revision` as in force.
    pub fn wait_in_force(&self, revision: u64) {
        for host in &self.hosts {
            wait_until("the revision is in force", || {
                host.revision() == Some(revision)
            });
        }
    }

    /// Waits until a chat request with this API key succeeds at the host.
    pub fn wait_serving(&self, host: usize, key: &str) {
        let body = chat_body("warm up", 1, false);
        let callers = self.hosts[host].callers();
        wait_until("the host accepts callers", || {
            TcpStream::connect(callers).is_ok()
        });
        wait_until("a chat request succeeds", || {
            chat(&self.hosts[host], key, &[], &body).status == 200
        });
    }

    /// Runs `clemctl` and returns its output.
    pub fn clemctl(&self, args: &[&str]) -> Output {
        Command::new(program("clemctl"))
            .args(args)
            .output()
            .unwrap()
    }
}
