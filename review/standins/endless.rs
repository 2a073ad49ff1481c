//! A faulty runner of one service answers with bytes without end: a failure whose body comes in small
//! chunks, or interim heads. Another service, whose runners are sound, takes calls that may run once.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::*;

const HOST_NAME: &str = "ficu95.example";

/// Memory of a process on the small sites, kB: a process that exceeds it is killed.
const MEMORY_KB: u64 = 110 * 1_000;

/// Rate of a machine's own link, bytes a second.
const LINK_BYTES_PER_S: f64 = 125_000_000.0;

/// Events of a sound stream, and the time between them.
const EVENTS: u64 = 76;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Time that a sound runner of the other service takes for a call.
const COMMIT_WORK: Duration = Duration::from_millis(150);

const STREAM_CLIENTS_PER_HOST: usize = 6;
const COMMIT_CLIENTS_PER_HOST: usize = 4;
/// The runner that turns faulty.
const FAULTY: &str = "i-7f3a903";

/// Time limit of the calls that may run once, by their route, and the time after it by which they
/// need an answer.
const COMMIT_TIMEOUT_MS: u64 = 1_500;
const LATE_MS: u64 = 500;

/// What has no end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// The body of a failure.
    Body,
    /// The head, on hosts whose use of the processor is capped.
    Head,
}

impl Endless {
    fn played(self) -> Duration {
        match self {
            Self::Body => Duration::from_secs(75),
            Self::Head => Duration::from_secs(50),
        }
    }

    /// What begins the answer, and what follows again and again.
    fn bytes(self, runner: &Runner, request: &Request) -> (String, Vec<u8>) {
        match self {
            Self::Body => {
                let head = runner.head(request, "500 Internal Server Error");
                (
                    format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
                    b"1\r\n.\r\n".repeat(4_096),
                )
            }
            Self::Head => (
                String::new(),
                b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_024),
            ),
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"album-review\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/review/\",\"kind\":\"streaming\",\"timeoutMs\":25000,\"targetLatencyMs\":3000,\"priority\":1,\"service\":\"hlustun\",\"maxAttempts\":3,\"anonymous\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":1000}},{{\"name\":\"master-commit\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/commit/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"verkrod\",\"maxAttempts\":3,\"anonymous\":false}}],\"services\":[{{\"name\":\"verkrod\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"hlustun\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":511553,\"kvTokenBytes\":327680,\"linkMbps\":350000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"daka510000\",\"cost\":0.02}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"one\",\"apiKeys\":[\"key-one\"],\"priority\":1}}]}}"
    )
}

/// A sound stream, from the event after `Last-Event-Id` on.
fn stream(runner: &Runner, request: &Request, mut out: &TcpStream) -> bool {
    runner.begin(request);
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = runner.head(request, "200 OK");
    let head = format!(
        "{head}Content-Type: text/event-stream\r\nConfidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_kept = out.write_all(head.as_bytes()).is_ok();
    for id in after + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {id}\ndata: tokens of event {id}\n\n");
        is_kept = is_kept && write!(out, "{:x}\r\n{event}\r\n", event.len()).is_ok();
        if !is_kept {
            break;
        }
    }
    is_kept = is_kept && out.write_all(b"0\r\n\r\n").is_ok();
    runner.end();
    is_kept
}

/// When the faulty runner's link is free again; all its answers go over it.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

fn wait_for_link(bytes: usize) {
    let mut free_at = LINK_FREE_AT.lock().unwrap();
    let now = Instant::now();
    let turn = free_at.map_or(now, |at| at.max(now));
    *free_at = Some(turn + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S));
    drop(free_at);
    thread::sleep(turn - now);
}

/// An answer without end, at the rate of the link.
fn answer_without_end(
    kind: Endless,
    runner: &Runner,
    request: &Request,
    mut out: &TcpStream,
) -> bool {
    runner.begin(request);
    let (head, piece) = kind.bytes(runner, request);
    let mut sent = head.len();
    let began = Instant::now();
    let mut is_open = out.write_all(head.as_bytes()).is_ok();
    while is_open && began.elapsed() < Duration::from_secs(60) {
        wait_for_link(piece.len());
        is_open = out.write_all(&piece).is_ok();
        sent += piece.len();
    }
    let text = format!(
        "runner   {} sent {} kB of {} until the caller closed after {} ms",
        runner.id,
        sent / 1_000,
        request.header("attempt-id"),
        began.elapsed().as_millis()
    );
    runner.record.line(&text);
    runner.end();
    false
}

/// What became of the requests of one kind.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    /// Answered with a failure or refusal.
    failed: AtomicUsize,
    /// The channel ended midway in an answer.
    cut_midway: AtomicUsize,
    /// The channel ended without any answer.
    cut: AtomicUsize,
    /// Of these, on a kept channel and passed on to a sound runner.
    lost: AtomicUsize,
    /// Without an answer at the time limit of `COMMIT_TIMEOUT_MS`, and `LATE_MS` later.
    unanswered: AtomicUsize,
    unanswered_late: AtomicUsize,
}

impl Counts {
    fn tell(&self) -> String {
        let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        format!(
            "{} sent, {} answered whole, {} answered with a failure, {} cut midway, {} cut without an answer, of these {} on a kept channel and passed on to a sound runner",
            get(&self.sent),
            get(&self.whole),
            get(&self.failed),
            get(&self.cut_midway),
            get(&self.cut),
            get(&self.lost)
        )
    }
}

struct Client {
    number: usize,
    is_stream: bool,
    front: std::net::SocketAddr,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    counts: Arc<Counts>,
    is_over: Arc<AtomicBool>,
}

impl Client {
    fn request(&self, id: &str, round: usize) -> Vec<u8> {
        let body = format!("request {id}");
        if !self.is_stream {
            return request_bytes(
                "POST",
                HOST_NAME,
                "/commit/a",
                id,
                "key-one",
                1_500,
                "",
                &body,
            );
        }
        let parts = format!(
            "{:x}:800,{:x}:1192",
            0x5c1e_0000 + round % 40,
            self.number * 1_000 + round
        );
        let extra =
            format!("Model: daka510000\r\nToken-Usage: 1992,380\r\nPrompt-Prefix: {parts}\r\n");
        request_bytes(
            "POST",
            HOST_NAME,
            "/review/a",
            id,
            "key-one",
            25_000,
            &extra,
            &body,
        )
    }

    /// Sends request after request on a kept channel, and opens another one when it has ended.
    fn run(&self) {
        let mut round = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            let Ok(mut channel) = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))
            else {
                thread::sleep(Duration::from_millis(300));
                continue;
            };
            let _ = channel.set_nodelay(true);
            let _ = channel.set_read_timeout(Some(Duration::from_secs(26)));
            let Ok(reading) = channel.try_clone() else {
                continue;
            };
            let mut reader = BufReader::new(reading);
            let mut is_kept = true;
            let mut on_channel = 0;
            while is_kept && !self.is_over.load(Ordering::Relaxed) {
                round += 1;
                on_channel += 1;
                let id = format!(
                    "{}{}-{round}",
                    if self.is_stream { "review-" } else { "commit-" },
                    self.number
                );
                self.record.line(&format!("send     {id}"));
                self.counts.sent.fetch_add(1, Ordering::Relaxed);
                let sent_at = Instant::now();
                let answer = if channel.write_all(&self.request(&id, round)).is_ok() {
                    read_answer(&mut reader)
                } else {
                    Answer::default()
                };
                self.note(
                    &id,
                    &answer,
                    on_channel > 1,
                    sent_at.elapsed().as_millis() as u64,
                );
                is_kept = answer.is_whole && answer.header("connection") != "close";
                thread::sleep(Duration::from_millis(20));
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn note(&self, id: &str, answer: &Answer, is_kept_channel: bool, took_ms: u64) {
        let runs = self.runs.lock().unwrap();
        let at: Vec<String> = runs
            .iter()
            .filter(|run| run.id == id)
            .map(|run| run.runner.clone())
            .collect();
        drop(runs);
        let counts = &self.counts;
        let (what, count) = match (answer.is_whole, answer.status) {
            (true, 200) => ("whole", &counts.whole),
            (true, _) => ("failure", &counts.failed),
            (false, 0) => ("cut without an answer", &counts.cut),
            (false, _) => ("cut midway", &counts.cut_midway),
        };
        count.fetch_add(1, Ordering::Relaxed);
        let is_at_sound = at.last().is_some_and(|last| last != FAULTY);
        if !answer.is_whole && answer.status == 0 && is_at_sound && is_kept_channel {
            counts.lost.fetch_add(1, Ordering::Relaxed);
        }
        if took_ms > COMMIT_TIMEOUT_MS {
            counts.unanswered.fetch_add(1, Ordering::Relaxed);
        }
        if took_ms > COMMIT_TIMEOUT_MS + LATE_MS {
            counts.unanswered_late.fetch_add(1, Ordering::Relaxed);
        }
        self.record.line(&format!(
            "answer   {id} {} {what} after {took_ms} ms, run at {}",
            answer.status,
            at.join(" then ")
        ));
    }
}

pub fn run(folder_of_case: &str, kind: Endless) -> i32 {
    let record = Record::new(&format!("{folder_of_case}/record.txt"));
    let trouble = has_trouble();
    record.say(&format!(
        "disruption: {}",
        if trouble {
            "an answer without end"
        } else {
            "none"
        }
    ));
    let (network, listener) = Network::reserve();
    let store_address = network.at(1, 2380);
    let store = Store::start(listener);
    let folder = Folder::new();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let zones = ["hafnarfjordur", "keflavik", "selfoss"];
    let is_faulty = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for number in 0..12u8 {
        let id = format!("i-7f3a9{number:02}");
        let place = (id.as_str(), "hlustun", "v1", zones[usize::from(number) % 3]);
        let is_it = id == FAULTY;
        let is_faulty = is_faulty.clone();
        let work = move |runner: &Runner, request: &Request, out: &TcpStream| {
            if is_it && is_faulty.load(Ordering::Relaxed) {
                answer_without_end(kind, runner, request, out)
            } else {
                stream(runner, request, out)
            }
        };
        runners.push(Runner::start(
            &store,
            &record,
            &runs,
            place,
            64,
            network.at(100 + number, 8080),
            work,
        ));
    }
    for number in 0..3u8 {
        let id = format!("i-02d9e{number:02}");
        let place = (id.as_str(), "verkrod", "v1", zones[usize::from(number) % 3]);
        let work = plain_work(COMMIT_WORK);
        runners.push(Runner::start(
            &store,
            &record,
            &runs,
            place,
            6,
            network.at(120 + number, 8080),
            work,
        ));
    }
    store.put("op/config", &config());
    let mut hosts: Vec<Host> = Vec::new();
    for number in 0..2u8 {
        let name = format!("edge-{}-1", zones[usize::from(number)]);
        let mut host = Host::new(
            &folder,
            network,
            number,
            &name,
            zones[usize::from(number)],
            store_address,
        );
        host.start();
        hosts.push(host);
    }
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        record.say("the hosts did not get ready: the case could not run");
        return 2;
    }
    let (streams, commits) = (Arc::new(Counts::default()), Arc::new(Counts::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let per_host = STREAM_CLIENTS_PER_HOST + COMMIT_CLIENTS_PER_HOST;
    for number in 0..per_host * hosts.len() {
        let is_stream = number / hosts.len() < STREAM_CLIENTS_PER_HOST;
        let client = Client {
            number,
            is_stream,
            front: hosts[number % hosts.len()].front,
            record: record.clone(),
            runs: runs.clone(),
            counts: if is_stream {
                streams.clone()
            } else {
                commits.clone()
            },
            is_over: is_over.clone(),
        };
        thread::spawn(move || client.run());
        sleep_ms(50);
    }
    if kind == Endless::Head {
        for host in &hosts {
            cap_processor(host.pid());
        }
    }
    let began = Instant::now();
    let mut ends = vec![0; hosts.len()];
    let mut peak = vec![0; hosts.len()];
    let mut restart_at: Vec<Option<Instant>> = vec![None; hosts.len()];
    while began.elapsed() < kind.played() {
        if trouble
            && began.elapsed() > Duration::from_secs(12)
            && !is_faulty.load(Ordering::Relaxed)
        {
            record.line(&format!("runner   {FAULTY} turns faulty"));
            is_faulty.store(true, Ordering::Relaxed);
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            if let Some(at) = restart_at[index] {
                if Instant::now() >= at {
                    host.start();
                    record.line(&format!("platform {} starts again", host.name));
                    restart_at[index] = None;
                }
                continue;
            }
            let resident = host.resident_kb();
            peak[index] = peak[index].max(resident);
            let ended = host.has_ended();
            if resident > MEMORY_KB || ended.is_some() {
                record.line(&format!(
                    "platform {} has {resident} kB and is killed; ended by itself: {ended:?}",
                    host.name
                ));
                host.kill();
                ends[index] += 1;
                restart_at[index] = Some(Instant::now() + Duration::from_millis(500));
            }
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::Relaxed);
    sleep_ms(500);
    record.say(&format!("album-review: {}", streams.tell()));
    record.say(&format!("master-commit: {}", commits.tell()));
    record.say(&format!(
        "ends of the hosts' processes: {ends:?}; most memory, kB: {peak:?}"
    ));
    let get = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    if kind == Endless::Head {
        let (late, very_late) = (get(&commits.unanswered), get(&commits.unanswered_late));
        record.say(&format!(
            "master-commit: {late} of {} unanswered after {COMMIT_TIMEOUT_MS} ms, {very_late} of these {LATE_MS} ms later",
            get(&commits.sent)
        ));
        let is_broken = late >= 8 && very_late * 2 > late;
        record.say(if is_broken {
            "CONFIG is broken"
        } else {
            "CONFIG held"
        });
        return i32::from(is_broken);
    }
    let lost = get(&streams.lost) + get(&commits.lost);
    let has_faults = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    record.say(&format!(
        "LOST {}; two hosts ended three times: {has_faults}",
        if lost > 3 { "is broken" } else { "held" }
    ));
    i32::from(lost > 3)
}
