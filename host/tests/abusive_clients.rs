//! Callers that hold connections, request heads, bodies and unread responses: a host stays within
//! its memory and its descriptors, and still answers an ordinary request.
//!
//! The number of clients and the bounds were fixed before the limits on connections existed. The
//! tests check no times and no shares of served requests.

#![allow(
    clippy::duplicate_mod,
    reason = "the helpers of `serve` and of `route` both load the module for loopback networks"
)]

mod fleet;
mod route;

use std::{
    fs::{self, File},
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    thread,
    time::Duration,
};

use fleet::{Fleet, chat, chat_body};
use socket2::{Domain, Socket, Type};

use route::{Connection, Host, Platform, get, ok, present_binary, request, wait_until};

/// Memory of a host, MB.
const MEMORY_MB: u64 = 40;

/// Descriptors of a host where they are the bound.
const DESCRIPTORS: usize = 200;

/// Descriptors of a host that it keeps from callers' connections, at least.
const KEPT_DESCRIPTORS: usize = 20;

/// A request without a route, with no body and the shortest head.
const UNKNOWN_PATH: &str = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// Connections of a crowd that reads no response, and the requests that it sends on each.
const PIPELINED: usize = 1_500;
const PIPELINED_REQUESTS: usize = 3_000;

/// Receive buffer of a connection whose responses nobody reads, bytes. With the usual one the kernel
/// would take most of the responses.
const RECEIVE_BUFFER: usize = 4 << 10;

/// Passes over a crowd that sends, and the pause after each. A crowd is left as it is after
/// `IDLE_PASSES` in which the host took nothing more.
const PASSES: usize = 200;
const IDLE_PASSES: usize = 10;
const PASS_PAUSE: Duration = Duration::from_millis(100);

/// Allows one test of this file at a time, also when each runs in a process of its own.
fn lock() -> File {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("abusive-clients.lock");
    let file = File::create(path).unwrap();
    file.lock().unwrap();
    file
}

/// Peak memory of a process, KB.
fn peak_memory_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process lives");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|number| number.parse().ok()).unwrap()
}

fn open_descriptors(id: u32) -> usize {
    let listed = fs::read_dir(format!("/proc/{id}/fd")).expect("the process lives");
    listed.count()
}

/// Connections of an abusive client, open until this is dropped.
struct Crowd {
    streams: Vec<(TcpStream, usize)>,
}

impl Crowd {
    /// Opens `count` connections, as far as they are accepted.
    fn open(address: SocketAddr, count: usize) -> Self {
        let connect = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
            socket
                .connect_timeout(&address.into(), Duration::from_secs(5))
                .ok()?;
            Some(TcpStream::from(socket))
        };
        let streams: Vec<_> = (0..count).filter_map(|_| connect()).collect();
        for stream in &streams {
            stream.set_nonblocking(true).unwrap();
        }
        let streams = streams.into_iter().map(|stream| (stream, 0)).collect();
        Self { streams }
    }

    /// Sends `bytes` on each connection, as far as the host takes them, and reads nothing.
    fn send(&mut self, bytes: &[u8]) {
        let mut idle_passes = 0;
        for _ in 0..PASSES {
            let mut has_sent = false;
            for (stream, sent) in &mut self.streams {
                while *sent < bytes.len() {
                    match stream.write(&bytes[*sent..]) {
                        Ok(written) => {
                            *sent += written;
                            has_sent = true;
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                        // The host has closed the connection, which it may.
                        Err(_) => *sent = bytes.len(),
                    }
                }
            }
            idle_passes = if has_sent { 0 } else { idle_passes + 1 };
            if idle_passes == IDLE_PASSES {
                return;
            }
            thread::sleep(PASS_PAUSE);
        }
    }

    /// Sends pipelined copies of a request.
    fn pipeline(&mut self, request: &str) {
        self.send(request.repeat(PIPELINED_REQUESTS).as_bytes());
    }
}

/// A program that runs the host with few descriptors.
fn binary_with_descriptors() -> PathBuf {
    use std::os::unix::fs::PermissionsExt;

    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("few-descriptors.sh");
    let binary = present_binary();
    let script = format!(
        "#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {} \"$@\"\n",
        binary.display()
    );
    let prepared = path.with_extension("new");
    fs::write(&prepared, script).unwrap();
    fs::set_permissions(&prepared, fs::Permissions::from_mode(0o755)).unwrap();
    fs::rename(prepared, &path).unwrap();
    path
}

fn start_with(binary: Option<PathBuf>) -> Platform {
    start_with_limits(binary, "")
}

/// Starts a host with limited memory and further limits.
fn start_with_limits(binary: Option<PathBuf>, limits: &str) -> Platform {
    let mut platform = Platform::new();
    platform.binaries.extend(binary);
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.launch_host_with(&format!("memory_mb = \"{MEMORY_MB}\"\n{limits}"));
    wait_until("the host is ready", || platform.hosts[0].is_ready());
    platform
}

/// Starts a host with limited memory.
fn start() -> Platform {
    start_with(None)
}

/// Whether an ordinary request on a connection of its own gets the server's response.
fn is_served(host: &Host) -> bool {
    let Some(mut connection) = Connection::try_open(host.callers()) else {
        return false;
    };
    connection.try_send(&request("POST /pay/1", "ordinary", "", "x"))
        && connection.read().status == 200
}

fn check_served(host: &Host) {
    wait_until("an ordinary request is answered", || is_served(host));
}

fn check_ready(host: &Host) {
    wait_until("the readiness address answers", || {
        let mut connection = Connection::try_open(host.readiness());
        connection.as_mut().is_some_and(|connection| {
            connection.try_send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                && connection.read().status == 200
        })
    });
}

fn check_memory(what: &str, id: u32) {
    let peak = peak_memory_kb(id);
    println!(
        "{what}: peak {peak} KB, {} descriptors",
        open_descriptors(id)
    );
    assert!(peak < MEMORY_MB * 1_000, "{what}: peak memory {peak} KB");
}

/// Checks a host while the crowd holds its connections.
fn check(what: &str, host: &Host, crowd: &Crowd) {
    check_served(host);
    check_ready(host);
    check_memory(what, host.id());
    assert!(!crowd.streams.is_empty());
}

/// Guards against a host that keeps a read buffer and a task for each connection without a bound.
#[test]
fn connections_that_send_nothing_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let crowd = Crowd::open(host.callers(), 3_000);
    thread::sleep(PASS_PAUSE);
    check("silent", host, &crowd);
}

/// Guards against responses that pile up for callers who send many requests and read nothing.
#[test]
fn pipelined_requests_without_a_route_whose_responses_nobody_reads_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let mut crowd = Crowd::open(host.callers(), PIPELINED);
    crowd.pipeline(UNKNOWN_PATH);
    check("pipelined, no route", host, &crowd);
}

/// Guards against the same at a route, with responses of a server.
#[test]
fn pipelined_requests_at_a_route_whose_responses_nobody_reads_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let mut crowd = Crowd::open(host.callers(), PIPELINED);
    crowd.pipeline(&request("GET /look/1", "many", "", ""));
    check("pipelined, route", host, &crowd);
}

/// Guards against heads that are read far, but never to their end.
#[test]
fn heads_that_stop_before_their_end_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let mut crowd = Crowd::open(host.callers(), 800);
    let field = format!("x-long: {}\r\n", "y".repeat(6_000));
    crowd.send(format!("GET / HTTP/1.1\r\nHost: x\r\n{}", field.repeat(10)).as_bytes());
    check("half heads", host, &crowd);
}

/// Guards against bodies that stop one byte short, at a route and at a path without one, whole and
/// in chunks, and against bodies far over the limit.
#[test]
fn bodies_that_stop_before_their_end_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let body = "x".repeat(60_000);
    let whole = request("POST /pay/1", "short", "", &body);
    let whole = &whole[..whole.len() - 1];
    let chunked = request("POST /pay/1", "chunks", "", "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
        + &"1\r\nx\r\n".repeat(20_000);
    let no_route = whole.replace("/pay/1", "/nowhere");
    let too_large = request("POST /pay/1", "large", "", "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
        + &format!("{:x}\r\n{}", 1 << 24, "x".repeat(1 << 20));
    let mut crowds = Vec::new();
    for bytes in [whole, &chunked, &no_route, &too_large] {
        let mut crowd = Crowd::open(host.callers(), 150);
        crowd.send(bytes.as_bytes());
        crowds.push(crowd);
    }
    check("short bodies", host, &crowds[0]);
}

/// Guards against heads with very many fields.
#[test]
fn heads_with_many_short_fields_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let mut crowd = Crowd::open(host.callers(), 400);
    let fields = "a: b\r\n".repeat(4_000);
    crowd.send(format!("GET /look/1 HTTP/1.1\r\nHost: a.example\r\n{fields}\r\n").as_bytes());
    check("many fields", host, &crowd);
}

/// Guards against the listeners for readiness probes, operators and peers, which had no bound.
#[test]
fn silent_connections_at_the_other_listeners_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let crowds =
        [host.readiness(), host.admin(), host.peers()].map(|address| Crowd::open(address, 1_200));
    thread::sleep(PASS_PAUSE);
    check("silent, other listeners", host, &crowds[0]);
    assert_eq!(get(host.admin(), "/metrics").unwrap().status, 200);
}

/// Guards against responses that pile up at the listeners for readiness probes and operators.
#[test]
fn pipelined_requests_at_the_other_listeners_stay_within_the_memory() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let crowds = [
        (host.readiness(), "/"),
        (host.admin(), "/metrics"),
        (host.peers(), "/nowhere"),
    ]
    .map(|(address, path)| {
        let mut crowd = Crowd::open(address, PIPELINED / 3);
        crowd.pipeline(&UNKNOWN_PATH.replace("/ ", &format!("{path} ")));
        crowd
    });
    check("pipelined, other listeners", host, &crowds[0]);
}

/// Guards against callers that leave a host no descriptor for its servers, peers and store.
#[test]
fn more_connections_than_descriptors_leave_some_for_servers() {
    let _lock = lock();
    let platform = start_with(Some(binary_with_descriptors()));
    let host = &platform.hosts[0];
    let crowd = Crowd::open(host.callers(), 3 * DESCRIPTORS);
    thread::sleep(PASS_PAUSE);
    let open = open_descriptors(host.id());
    println!("descriptors: {open} of {DESCRIPTORS}");
    assert!(open <= DESCRIPTORS - KEPT_DESCRIPTORS, "{open} descriptors");
    check("descriptors", host, &crowd);
}

/// Guards against a crowd at the readiness address that takes all descriptors.
#[test]
fn more_readiness_probes_than_descriptors_leave_some_for_callers() {
    let _lock = lock();
    let platform = start_with(Some(binary_with_descriptors()));
    let host = &platform.hosts[0];
    let crowd = Crowd::open(host.readiness(), 3 * DESCRIPTORS);
    thread::sleep(PASS_PAUSE);
    let open = open_descriptors(host.id());
    println!("descriptors: {open} of {DESCRIPTORS}");
    assert!(open <= DESCRIPTORS - KEPT_DESCRIPTORS, "{open} descriptors");
    check("readiness descriptors", host, &crowd);
}

/// Guards against a probe that is closed for later connections although its request has arrived: a
/// burst of connections was accepted as a whole before any of them was read.
#[test]
fn a_probe_whose_request_has_arrived_is_answered_before_later_connections_close_it() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    host.signal("STOP");
    let mut probe = Connection::open(host.readiness());
    probe.send(UNKNOWN_PATH);
    let crowd = Crowd::open(host.readiness(), 100);
    host.signal("CONT");
    assert_eq!(probe.read().status, 200);
    assert_eq!(crowd.streams.len(), 100);
}

/// Guards against a caller that is cut off in the middle of its request since its last one ended long
/// before, while idle connections are left.
#[test]
fn a_request_that_is_arriving_is_not_closed_before_idle_connections() {
    let _lock = lock();
    let platform = start_with_limits(None, "caller_connections = 16\n");
    let host = &platform.hosts[0];
    let open = || Connection::open(host.callers());
    let (mut caller, mut others) = (open(), [(); 11].map(|()| open()));
    for connection in std::iter::once(&mut caller).chain(&mut others) {
        connection.send(&request("POST /pay/1", "before", "", "x"));
        let answer = connection.read();
        assert_eq!((answer.status, answer.header("connection")), (200, ""));
    }
    let arriving = request("POST /pay/1", "ordinary", "", "xy");
    let (begin, end) = arriving.split_at(arriving.len() - 1);
    caller.send(begin);
    thread::sleep(PASS_PAUSE);
    // Four new connections fit, and four more close known ones.
    let _crowd = Crowd::open(host.callers(), 8);
    thread::sleep(PASS_PAUSE);
    assert!(caller.try_send(end), "the connection is open");
    assert_eq!(caller.read().status, 200);
}

/// Guards against callers that lose their connection after each response once a crowd has left.
#[test]
fn connections_are_kept_again_after_a_crowd_has_left() {
    let _lock = lock();
    let platform = start();
    let host = &platform.hosts[0];
    let is_kept = || {
        let mut connection = Connection::open(host.callers());
        connection.send(&request("POST /pay/1", "ordinary", "", "x"));
        let answer = connection.read();
        answer.status == 200 && answer.header("connection").is_empty()
    };
    assert!(is_kept());
    let crowd = Crowd::open(host.callers(), 400);
    thread::sleep(PASS_PAUSE);
    drop(crowd);
    wait_until("connections are kept", is_kept);
}

fn check_fleet(what: &str, fleet: &Fleet) {
    let host = &fleet.hosts[0];
    let body = chat_body("ordinary", 1, false);
    wait_until("an ordinary chat is answered", || {
        let answer = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            chat(host, "one", &[], &body).status
        }));
        answer.is_ok_and(|status| status == 200)
    });
    wait_until("the host is ready", || host.is_ready());
    check_memory(what, host.process.0.id());
}

/// Guards the product's own interface against silent connections and half heads.
#[test]
fn silent_connections_and_half_heads_at_the_own_interface_stay_within_the_memory() {
    let _lock = lock();
    let fleet = Fleet::serving(&format!("memory_mb = {MEMORY_MB}\n"), 1, &["a"]);
    let host = &fleet.hosts[0];
    let _silent = Crowd::open(host.callers(), 2_000);
    let mut heads = Crowd::open(host.callers(), 400);
    let field = format!("x-long: {}\r\n", "y".repeat(6_000));
    heads.send(format!("GET / HTTP/1.1\r\nHost: x\r\n{}", field.repeat(10)).as_bytes());
    check_fleet("own interface, silent", &fleet);
}

/// Guards the product's own interface against responses that nobody reads.
#[test]
fn pipelined_requests_at_the_own_interface_stay_within_the_memory() {
    let _lock = lock();
    let fleet = Fleet::serving(&format!("memory_mb = {MEMORY_MB}\n"), 1, &["a"]);
    let host = &fleet.hosts[0];
    let mut crowd = Crowd::open(host.callers(), PIPELINED);
    crowd.pipeline(UNKNOWN_PATH);
    check_fleet("own interface, pipelined", &fleet);
}

/// Guards against silent connections that occupy all threads of the listener for readiness probes,
/// metrics and peers.
#[test]
fn silent_connections_at_the_own_admin_and_peer_addresses_leave_it_ready() {
    let _lock = lock();
    let fleet = Fleet::serving(&format!("memory_mb = {MEMORY_MB}\n"), 1, &["a"]);
    let host = &fleet.hosts[0];
    let admin = Crowd::open(host.admin(), 120);
    let _peers = Crowd::open(host.peers(), 1_500);
    check_fleet("own admin", &fleet);
    assert!(!admin.streams.is_empty());
}
