//! Runners send answers that have neither a length nor chunks and end with their channel. One of them
//! crashes: its process is killed while it writes.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::kit::*;

const HOST_NAME: &str = "ficu95.example";
const SLOTS: u32 = 6;
/// Time between the two halves of an answer.
const PAUSE: Duration = Duration::from_millis(60);
const BACK_AFTER_MS: u64 = 3_000;
const CRASHES: usize = 5;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"verkrod\",\"maxAttempts\":3,\"anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"verkrod\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"one\",\"apiKeys\":[\"key-one\"],\"priority\":1}}]}}",
        route("job-status", "/status/", "idempotent"),
        route("master-commit", "/commit/", "non_idempotent")
    )
}

/// The whole answer to a request.
fn whole(id: &str) -> String {
    format!("begin {} end", format!("{id} ").repeat(60))
}

/// The process of a runner: `standins runner ADDRESS ID`. It tells on standard output what it runs.
pub fn runner(address: &str, name: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    println!("up {name}");
    for stream in listener.incoming().flatten() {
        let name = name.to_owned();
        thread::spawn(move || serve_one(&stream, &name));
    }
    0
}

fn serve_one(stream: &TcpStream, name: &str) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_request(&mut reader) {
        let mut out = stream;
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != name {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = out.write_all(head.as_bytes());
            continue;
        }
        let id = request.header("attempt-id");
        println!("run {id} {name}");
        if request.path().starts_with("/review/") {
            write_stream(out, &request, name);
            let _ = stream.shutdown(Shutdown::Both);
            println!("end {id} {name}");
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {name}.{id}\r\nServer-Load: 1,0,{SLOTS}\r\nConnection: close\r\n\r\n"
        );
        let body = whole(id);
        let (first, rest) = body.split_at(body.len() / 2);
        thread::sleep(PAUSE);
        let _ = out
            .write_all(head.as_bytes())
            .and_then(|()| out.write_all(first.as_bytes()));
        thread::sleep(PAUSE);
        let _ = out.write_all(rest.as_bytes());
        let _ = stream.shutdown(Shutdown::Both);
        println!("end {id} {name}");
        return;
    }
}

/// Events of a stream, and the time between them.
pub const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Writes a stream from the event after `Last-Event-Id` on, without chunks.
fn write_stream(mut out: &TcpStream, request: &Request, name: &str) {
    let id = request.header("attempt-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {name}.{id}\r\nContent-Type: text/event-stream\r\nConfidence: 90\r\nServer-Load: 1,0,{SLOTS}\r\nConnection: close\r\n\r\n"
    );
    let mut is_open = out.write_all(head.as_bytes()).is_ok();
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        is_open = is_open && write!(out, "id: {event}\ndata: tokens {event} of {id}\n\n").is_ok();
    }
}

pub struct RunnerProcess {
    child: Child,
    is_alive: Arc<AtomicBool>,
    pub state: Arc<Mutex<&'static str>>,
}

impl RunnerProcess {
    /// Starts the process and writes its entry for as long as it lives.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        service: &'static str,
        name: String,
        zone: &'static str,
        address: SocketAddr,
    ) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["runner", &address.to_string(), &name])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a runner can be started");
        let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let to = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                to.line(&format!("runner   {line}"));
            }
        });
        let state = Arc::new(Mutex::new("ready"));
        let told = state.clone();
        let is_alive = Arc::new(AtomicBool::new(true));
        let (alive, store, born) = (is_alive.clone(), store.clone(), unix_ms());
        thread::spawn(move || {
            sleep_ms(100);
            let mut sequence = 0;
            while alive.load(Ordering::Relaxed) {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    told.lock().unwrap()
                );
                store.put(&format!("servers/{name}"), &entry);
                sequence += 1;
                // A change of state is written at once.
                let before = *told.lock().unwrap();
                for _ in 0..HEARTBEAT.as_millis() / 20 {
                    if *told.lock().unwrap() != before || !alive.load(Ordering::Relaxed) {
                        break;
                    }
                    sleep_ms(20);
                }
            }
            thread::sleep(HEARTBEAT * 2);
            store.remove(&format!("servers/{name}"));
        });
        Self {
            child,
            is_alive,
            state,
        }
    }

    /// Kills the process, as a crash ends it.
    pub fn kill(&mut self) {
        self.is_alive.store(false, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn run(folder_of_case: &str) -> i32 {
    let record = Record::new(&format!("{folder_of_case}/record.txt"));
    let trouble = has_trouble();
    record.say(&format!(
        "disruption: {}",
        if trouble { "runners crash" } else { "none" }
    ));
    let (network, listener) = Network::reserve();
    let store_address = network.at(1, 2380);
    let store = Store::start(listener);
    let folder = Folder::new();
    let zones = ["hafnarfjordur", "keflavik", "selfoss"];
    let address = |number: usize| network.at(120 + number as u8, 8080);
    let start = |number: usize, boot: usize| {
        let name = format!("i-02d9e{number}{boot:02}");
        RunnerProcess::start(
            &store,
            &record,
            "verkrod",
            name,
            zones[number],
            address(number),
        )
    };
    let mut runners: Vec<RunnerProcess> = (0..3).map(|number| start(number, 0)).collect();
    store.put("op/config", &config());
    let mut hosts: Vec<Host> = Vec::new();
    for number in 0..3u8 {
        let zone = zones[usize::from(number)];
        let mut host = Host::new(
            &folder,
            network,
            number,
            &format!("edge-{zone}-1"),
            zone,
            store_address,
        );
        host.start();
        hosts.push(host);
    }
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        record.say("the hosts did not get ready: the case could not run");
        return 2;
    }
    sleep_ms(2_000);
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, whole_ones, failed, short) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let mut clients = Vec::new();
    for number in 0..9 {
        let front = hosts[number % hosts.len()].front;
        let (record, is_over) = (record.clone(), is_over.clone());
        let (sent, whole_ones, failed, short) = (
            sent.clone(),
            whole_ones.clone(),
            failed.clone(),
            short.clone(),
        );
        clients.push(thread::spawn(move || {
            let mut round = 0;
            while !is_over.load(Ordering::Relaxed) {
                round += 1;
                let id = format!("c{number}-{round}");
                let (method, path, body) = if round % 2 == 0 {
                    ("GET", format!("/status/{id}"), String::new())
                } else {
                    ("POST", "/commit/a".to_owned(), format!("master {id}"))
                };
                let bytes =
                    request_bytes(method, HOST_NAME, &path, &id, "key-one", 1_500, "", &body);
                record.line(&format!("send     {id} {path}"));
                sent.fetch_add(1, Ordering::Relaxed);
                let answer = ask(front, &bytes, Duration::from_secs(3));
                let got = String::from_utf8_lossy(&answer.body).into_owned();
                let is_success = answer.is_whole && answer.status == 200;
                let what = match (is_success, got == whole(&id)) {
                    (true, true) => ("whole", &whole_ones),
                    (true, false) => ("NOT THE WHOLE BODY, as a complete success", &short),
                    _ => ("no success", &failed),
                };
                what.1.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "answer   {id} {} seal {} length {} of {}: {}",
                    answer.status,
                    answer.header("server-seal"),
                    got.len(),
                    whole(&id).len(),
                    what.0
                ));
                sleep_ms(10);
            }
        }));
    }
    sleep_ms(3_000);
    for crash in 0..CRASHES {
        let number = crash % runners.len();
        if trouble {
            runners[number].kill();
            record.line(&format!(
                "runner   the process of runner {number} is killed"
            ));
        }
        sleep_ms(BACK_AFTER_MS);
        if trouble {
            runners[number] = start(number, crash + 1);
        }
        sleep_ms(3_000);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    record.say(&format!(
        "{} sent, {} answered whole, {} without success, {} answered with a part of the body as a complete success",
        get(&sent),
        get(&whole_ones),
        get(&failed),
        get(&short)
    ));
    let is_broken = get(&short) > 0;
    record.say(if is_broken {
        "MIXED is broken"
    } else {
        "MIXED held"
    });
    i32::from(is_broken)
}
