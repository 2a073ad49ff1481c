//! The users' platform on loopback for tests: a store and scripted backend servers in the test's
//! process, and each entry host as a process.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

#[path = "../loopback/mod.rs"]
mod loopback;

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::{
    link::{Link, LinkState},
    platform_store::{PlatformStore, StoreEndpoint},
    scripted_server::{
        LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk, signed_response, stream_head,
        token_event,
    },
};
pub use loopback::wait_until;
use loopback::{HANG_TIMEOUT, reserve_network};
use serde_json::{Value, json};

/// First of the 127.x.0.0/16 blocks that these tests use, and their number.
const FIRST_BLOCK: u8 = 220;
const BLOCKS: u8 = 20;

const CALLERS_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8081;
const ADMIN_PORT: u16 = 8082;
const PEERS_PORT: u16 = 7070;
const STORE_PORT: u16 = 2380;
const BACKEND_PORT: u16 = 8000;

/// Port of the first of the links from a host to the backend servers.
const FIRST_LINK_PORT: u16 = 9000;

/// Last octet of the first store endpoint, entry host, backend server and link in a network.
const FIRST_ENDPOINT_IP: u8 = 1;
const FIRST_HOST_IP: u8 = 60;
const FIRST_BACKEND_IP: u8 = 120;
const FIRST_LINK_IP: u8 = 190;

/// Last octet that is left to tests.
const SPARE_IP: u8 = 253;

/// An entry host.
pub struct Host {
    /// Its process; none if the test runs the host itself.
    process: Option<Child>,
    /// Path of its program.
    binary: PathBuf,
    /// Path of its settings.
    settings: PathBuf,
    pub ip: IpAddr,
    pub store_endpoint: Arc<StoreEndpoint>,
    /// Log lines so far.
    pub log: Arc<Mutex<Vec<Value>>>,
}

impl Host {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness(), "/").is_some_and(|answer| answer.status == 200)
    }

    pub fn metrics(&self) -> String {
        get(self.admin(), "/metrics").map_or_else(String::new, |answer| answer.body)
    }

    pub fn status(&self) -> Value {
        let answer = get(self.admin(), "/status").unwrap();
        serde_json::from_str(&answer.body).unwrap()
    }

    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }

    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.process.as_ref().map_or(std::process::id(), Child::id)
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        assert!(status.unwrap().success(), "cannot send {name}");
    }

    /// Waits until the process exits. Returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.process.as_mut().unwrap().wait().unwrap().success()
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Replaces a text in the settings and starts the process again with them.
    pub fn change_settings(&mut self, from: &str, to: &str) {
        let settings = fs::read_to_string(&self.settings).unwrap();
        assert!(settings.contains(from), "no such setting: {from}");
        fs::write(&self.settings, settings.replace(from, to)).unwrap();
        self.kill();
        self.restart();
    }

    /// Path of its settings.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Starts the process again after it was killed. Its log goes on.
    pub fn restart(&mut self) {
        self.process = Some(spawn_host(&self.binary, &self.settings, &self.log));
    }

    /// Stops the process gracefully and starts another program in its place. Its log goes on.
    pub fn replace(&mut self, binary: &Path) {
        self.signal("TERM");
        self.succeed_with(binary);
    }

    /// Starts another program in the place of the process once that has stopped.
    pub fn succeed_with(&mut self, binary: &Path) {
        assert!(self.wait(), "the host stops cleanly");
        self.binary = binary.to_owned();
        self.restart();
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let process = self.process.as_mut().unwrap();
        process.try_wait().unwrap().is_some()
    }

    /// Log lines with this event.
    pub fn logged(&self, event: &str) -> Vec<Value> {
        let log = self.log.lock().unwrap();
        log.iter()
            .filter(|line| line["event"] == event)
            .cloned()
            .collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the process of an entry host and collects its log lines.
fn spawn_host(binary: &Path, settings: &Path, log: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut process = Command::new(binary)
        .args(["route", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(process.stdout.take().unwrap()).lines();
    let sink = log.clone();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            sink.lock()
                .unwrap()
                .push(serde_json::from_str(&line).unwrap());
        }
    });
    process
}

/// Path of the program under test.
pub fn present_binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_clementinearch"))
}

/// An HTTP response as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body is complete by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// A caller's connection.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Self {
        Self::try_open(address).unwrap()
    }

    /// Opens a connection to an address that may be down.
    pub fn try_open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(HANG_TIMEOUT)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends on a connection that may be closed; returns whether it was sent.
    pub fn try_send(&mut self, bytes: &str) -> bool {
        self.stream.write_all(bytes.as_bytes()).is_ok()
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }

    /// Reads a response with its body, as far as it comes.
    pub fn read(&mut self) -> Answer {
        let mut answer = self.read_head();
        self.read_body(&mut answer);
        answer
    }

    pub fn read_head(&mut self) -> Answer {
        let mut line = String::new();
        // A closed connection yields a response with status 0.
        let _ = self.reader.read_line(&mut line);
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
        let mut answer = Answer {
            status: status.unwrap_or(0),
            ..Answer::default()
        };
        while answer.status != 0 {
            let mut header = String::new();
            if self.reader.read_line(&mut header).is_err() {
                answer.status = 0;
                break;
            }
            let Some((name, value)) = header.trim_end().split_once(':') else {
                break;
            };
            answer
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        answer
    }

    /// Reads up to `length` bytes of a body and drops them. Returns how many came.
    pub fn skip_body(&mut self, length: usize) -> usize {
        let mut body = Read::take(&mut self.reader, length as u64);
        std::io::copy(&mut body, &mut std::io::sink()).unwrap_or(0) as usize
    }

    /// Reads this many bytes of a body.
    pub fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).unwrap();
        body
    }

    fn read_body(&mut self, answer: &mut Answer) {
        if answer.header("transfer-encoding") == "chunked" {
            while let Some(chunk) = self.read_chunk() {
                if chunk.is_empty() {
                    answer.is_whole = true;
                    return;
                }
                answer.body.push_str(&chunk);
            }
            return;
        }
        let length: usize = answer.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        answer.is_whole = self.reader.read_exact(&mut body).is_ok() && answer.status != 0;
        answer.body = String::from_utf8_lossy(&body).into_owned();
    }

    /// Reads the next chunk; empty at the end of the body, none if the connection broke.
    pub fn read_chunk(&mut self) -> Option<String> {
        let mut size = String::new();
        self.reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk).ok()?;
        chunk.truncate(size);
        Some(String::from_utf8_lossy(&chunk).into_owned())
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    TcpStream::connect_timeout(&address, HANG_TIMEOUT).ok()?;
    let mut connection = Connection::open(address);
    connection.send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
    Some(connection.read())
}

/// Formats a request with the attempt id `id` and `extra` header lines.
pub fn request(line: &str, id: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Script for a complete response with status 200 and body `done`.
pub fn ok(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Send(signed_response(received, "200 OK", "", "done"))]
}

/// Script for a resumable stream of `events` events, with `pause` before each, from the event after
/// `Last-Event-Id`.
pub fn paced_stream(received: &ReceivedRequest, events: u64, pause: Duration) -> Vec<Step> {
    let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let mut steps = vec![Step::Send(stream_head(received, ""))];
    for id in after + 1..=events {
        steps.push(Step::Wait(pause));
        steps.push(Step::Send(chunk(&token_event(id))));
    }
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

/// Sends non-idempotent calls, each with an id of its own, and checks that all get `status`.
pub fn check_payments(host: &Host, calls: usize, status: u16) {
    for number in 0..calls {
        let answer = send_request(host, "POST /pay/1", &format!("id-{number}"), "", "x");
        assert_eq!(answer.status, status);
    }
}

/// Sends a request on a new connection and reads the response.
pub fn send_request(host: &Host, line: &str, id: &str, extra: &str, body: &str) -> Answer {
    let mut connection = Connection::open(host.callers());
    connection.send(&request(line, id, extra, body));
    connection.read()
}

/// Writes the entry of a backend server that started at `born`.
pub fn put_entry(
    store: &PlatformStore,
    born: u64,
    name: &str,
    service: &str,
    version: &str,
    address: SocketAddr,
    state: &str,
) {
    let entry = json!({"service": service, "address": address.to_string(), "zone": "a", "version": version, "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": born});
    store.put(&format!("servers/{name}"), entry.to_string());
}

/// A platform under test.
pub struct Platform {
    /// Second and third octet of its IPs.
    network: (u8, u8),
    pub store: Arc<PlatformStore>,
    runtime: tokio::runtime::Runtime,
    pub hosts: Vec<Host>,
    /// Programs of the hosts that are started next, by number; the program under test for others.
    pub binaries: Vec<PathBuf>,
    /// Addresses of the backend servers.
    backends: Vec<SocketAddr>,
    /// Links of each host to the backend servers, for hosts that have some.
    links: Vec<Vec<Arc<Link>>>,
}

impl Platform {
    /// Starts a store that holds a configuration; there is no host yet.
    pub fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        let platform = Self {
            network: reserve_network(FIRST_BLOCK, BLOCKS, STORE_PORT),
            store: Arc::default(),
            runtime: runtime.unwrap(),
            hosts: Vec::new(),
            binaries: Vec::new(),
            backends: Vec::new(),
            links: Vec::new(),
        };
        platform.configure(1, &json!([]));
        platform
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network.0, self.network.1, number))
    }

    /// An IP that no host, server or endpoint has.
    pub fn spare_ip(&self) -> IpAddr {
        self.ip(SPARE_IP)
    }

    /// Writes a configuration with a route of each kind and `more` routes.
    pub fn configure(&self, version: u64, more: &Value) {
        let mut routes = vec![
            json!({"name": "pay", "host": "a.example", "pathPrefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 2}),
            json!({"name": "look", "host": "a.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 3}),
            json!({"name": "draft", "host": "a.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 1, "sizes": ["small", "large"], "service": "pool", "maxAttempts": 3, "sessionAffinity": true, "streamResume": true, "gapTargetMs": 1000}),
        ];
        routes.extend(more.as_array().unwrap().iter().cloned());
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [{"name": "orders", "healthPath": "/health", "maxConnections": 100}, {"name": "pool", "healthPath": "/health", "maxConnections": 300, "engine": {"slots": 16, "kvCapacityTokens": 100000, "stride": 5, "models": [{"name": "small", "cost": 0.02}, {"name": "large", "cost": 0.3}]}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "one", "apiKeys": ["key-1"], "priority": 3}],
        });
        self.store.put("op/config", config.to_string());
    }

    /// Starts a backend server of a service and writes its entry as ready. Returns its name too.
    pub fn add_backend(
        &mut self,
        service: &str,
        version: &str,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> (String, Arc<ScriptedServer>) {
        let ip = self.ip(FIRST_BACKEND_IP + self.backends.len() as u8);
        let address = SocketAddr::new(ip, BACKEND_PORT);
        self.backends.push(address);
        let name = format!("i-{}", self.backends.len());
        let server = ScriptedServer::start(address, script).unwrap();
        self.write_entry(&name, service, version, address, "ready");
        (name, server)
    }

    /// Writes a backend server's entry.
    pub fn write_entry(
        &self,
        name: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        state: &str,
    ) {
        self.write_entry_of_start(1, name, service, version, address, state);
    }

    /// Writes a backend server's entry after its start at `born`.
    pub fn write_entry_of_start(
        &self,
        born: u64,
        name: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        state: &str,
    ) {
        put_entry(&self.store, born, name, service, version, address, state);
    }

    /// Address of the backend server with this name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let number: u8 = name.trim_start_matches("i-").parse().unwrap();
        SocketAddr::new(self.ip(FIRST_BACKEND_IP + number - 1), BACKEND_PORT)
    }

    /// Starts a host in zone `a` without waiting for it.
    pub fn launch_host(&mut self) {
        let store_endpoint = StoreEndpoint::new(self.store.clone());
        self.launch_host_in("a", store_endpoint);
    }

    /// Starts a host in zone `a` with more lines among its limits, without waiting for it.
    pub fn launch_host_with(&mut self, limits: &str) {
        let store_endpoint = StoreEndpoint::new(self.store.clone());
        self.launch_host_in_with("a", store_endpoint, limits);
    }

    fn launch_host_in(&mut self, zone: &str, store_endpoint: Arc<StoreEndpoint>) {
        self.launch_host_in_with(zone, store_endpoint, "");
    }

    fn launch_host_in_with(
        &mut self,
        zone: &str,
        store_endpoint: Arc<StoreEndpoint>,
        limits: &str,
    ) {
        let mut host = self.prepare_host(zone, store_endpoint, limits);
        host.restart();
        self.hosts.push(host);
    }

    /// A host without a process, with its settings and its endpoint of the store. `limits` are more
    /// lines among its limits.
    fn prepare_host(&self, zone: &str, store_endpoint: Arc<StoreEndpoint>, limits: &str) -> Host {
        let number = self.hosts.len() as u8;
        let store_address = SocketAddr::new(self.ip(FIRST_ENDPOINT_IP + number), STORE_PORT);
        let bound = self
            .runtime
            .block_on(tokio::net::TcpListener::bind(store_address));
        self.runtime
            .spawn(store_endpoint.clone().serve(bound.unwrap()));
        let ip = self.ip(FIRST_HOST_IP + number);
        let settings = format!(
            "name = \"host-{number}\"\nzone = \"{zone}\"\n[listen]\ncallers = \"{ip}:{CALLERS_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\nadmin = \"{ip}:{ADMIN_PORT}\"\npeers = \"{ip}:{PEERS_PORT}\"\n[store]\naddress = \"{store_address}\"\n[limits]\nview_period_ms = 50\ngossip_period_ms = 50\n{limits}[bounds]\nrepeat_ratio = \"2.0\"\nrepeat_slack = 1000\nsession_s = \"5\"\n"
        );
        let dir = std::env::temp_dir();
        let path = dir.join(format!(
            "route-{}-{}-{number}.toml",
            self.network.0, self.network.1
        ));
        fs::write(&path, settings).unwrap();
        let binary = self.binaries.get(usize::from(number)).cloned();
        Host {
            process: None,
            binary: binary.unwrap_or_else(present_binary),
            settings: path,
            ip,
            store_endpoint,
            log: Arc::default(),
        }
    }

    /// Lets `callers` send to all hosts for `span`, each with a `pause` after an answer.
    pub fn call_hosts(&self, callers: usize, pause: Duration, span: Duration) -> Vec<Answer> {
        let until = Instant::now() + span;
        let number = AtomicUsize::new(0);
        let answers = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..callers {
                scope.spawn(|| {
                    while Instant::now() < until {
                        let number = number.fetch_add(1, Ordering::Relaxed);
                        let host = &self.hosts[number % self.hosts.len()];
                        let id = format!("id-{number}");
                        let answer = send_request(host, "GET /look/1", &id, "", "");
                        answers.lock().unwrap().push(answer);
                        thread::sleep(pause);
                    }
                });
            }
        });
        answers.into_inner().unwrap()
    }

    /// A host that the test runs itself, and its settings.
    pub fn host_of_test(&self) -> (Host, String) {
        let host = self.prepare_host("a", StoreEndpoint::new(self.store.clone()), "");
        let settings = fs::read_to_string(&host.settings).unwrap();
        (host, settings)
    }

    /// Starts hosts that reach each backend server over a link, and waits until they are ready and
    /// know each other. Each is in a zone of its own, so that none reads the store for others, to
    /// which its links mean nothing.
    pub fn start_linked_hosts(&mut self, count: usize) {
        for number in 0..count {
            let store_endpoint = StoreEndpoint::new(self.store.clone());
            let links = self.start_links(number as u8, &store_endpoint);
            self.links.push(links);
            self.launch_host_in(&format!("zone-{number}"), store_endpoint);
        }
        for host in &self.hosts {
            wait_until("the host is ready", || host.is_ready());
            wait_until("the hosts know each other", || {
                host.status()["hosts"] == count
            });
        }
    }

    fn start_links(&self, host: u8, store_endpoint: &StoreEndpoint) -> Vec<Arc<Link>> {
        let ip = self.ip(FIRST_LINK_IP + host);
        let start = |(number, server): (usize, &SocketAddr)| {
            let address = SocketAddr::new(ip, FIRST_LINK_PORT + number as u16);
            store_endpoint.replace_address(*server, address);
            let link = self.runtime.block_on(Link::start(address, *server));
            link.unwrap()
        };
        self.backends.iter().enumerate().map(start).collect()
    }

    /// Links of a host to the backend servers, in the order in which these were added.
    pub fn links(&self, host: usize) -> Vec<Arc<Link>> {
        self.links[host].clone()
    }

    /// Changes the state of all links of a host.
    pub fn set_links(&self, host: usize, state: LinkState) {
        for link in &self.links[host] {
            link.set_state(state);
        }
    }

    /// Starts `count` hosts and waits until they are ready.
    pub fn start_hosts(&mut self, count: usize) {
        for _ in 0..count {
            self.launch_host();
        }
        for host in &self.hosts {
            wait_until("the host is ready", || host.is_ready());
        }
    }
}
