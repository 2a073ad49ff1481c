//! Measures the cost of load on one entry host: processor time per request and token, memory per
//! stream, session and held bill, and latency added to the first token. For several zone sizes it
//! counts the bytes to peers and the store calls of a request: `cargo bench --bench load`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;
mod measure;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use clementinearch_standins::memory_store::Faults;
use fleet::{Fleet, chat_body, model, plan};
use hdrhistogram::Histogram;
use measure::{cpu_seconds, resident_kib};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
    time::{interval, sleep},
};

const ENGINES: usize = 4;

fn main() {
    let runtime = Runtime::new().unwrap();
    type Measurement = (&'static str, fn(&Runtime));
    let measurements: [Measurement; 7] = [
        ("requests", measure_requests),
        ("tokens", measure_tokens),
        ("streams", measure_streams),
        ("first-token", measure_first_token),
        ("state", measure_state),
        ("bills", measure_bills),
        ("store", measure_store_calls),
    ];
    // `cargo bench --bench load -- bills` runs a single measurement.
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    for (name, measure) in measurements {
        if selected.is_empty() || selected.iter().any(|arg| arg == name) {
            measure(&runtime);
        }
    }
}

/// Starts one host and engines that generate a token every `token_ms` milliseconds.
fn start_fleet(token_ms: &str) -> Fleet {
    let mut fleet = Fleet::new().with_default_timings();
    for _ in 0..ENGINES {
        let args = [
            "--version",
            "review@v1",
            "--slots",
            "1000",
            "--token-ms",
            token_ms,
        ];
        fleet.start_backend("engine", "reviewers", "a", &args);
    }
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "one");
    fleet
}

/// Measures the memory of sessions whose callers send no token, then of bills held while the store
/// is down.
fn measure_state(runtime: &Runtime) {
    const REQUESTS_PER_SECOND: u32 = 500;
    let fleet = start_fleet("1");
    let (address, pid) = (fleet.hosts[0].callers(), fleet.hosts[0].process.0.id());
    let send = |from: u64, to: u64, with_session: bool| {
        runtime.block_on(async {
            let mut ticks = interval(Duration::from_secs(1) / REQUESTS_PER_SECOND);
            let mut running = Vec::new();
            for number in from..to {
                ticks.tick().await;
                let mut request = chat_request("p", 1, "review");
                if with_session {
                    request = request.replace(
                        "host: x",
                        &format!("host: x\r\nx-session-id: session-{number}"),
                    );
                }
                running.push(tokio::spawn(run_stream(address, request, Arc::default())));
            }
            for run in running {
                run.await.unwrap();
            }
        });
    };
    println!("sessions  rss_kib");
    let mut sent = 0;
    for sessions in [2_500, 5_000, 10_000] {
        send(sent, sessions, true);
        sent = sessions;
        println!("{sessions:8}  {:.0}", resident_kib(pid));
    }
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    println!("bills held  rss_kib");
    let mut sent = 0;
    for bills in [2_500, 5_000, 10_000] {
        send(sent, bills, false);
        sent = bills;
        println!("{bills:10}  {:.0}", resident_kib(pid));
    }
}

/// Measures the bytes sent to peers per request, for the two copies of its bill, for three zone
/// sizes.
fn measure_bills(runtime: &Runtime) {
    const REQUESTS: u64 = 500;
    println!("hosts  peer_bytes_per_request (all hosts, payload)");
    for hosts in [3, 6, 12] {
        let mut fleet = Fleet::new().with_default_timings();
        fleet.start_engine("a", &["v1"]);
        fleet.edit(&[
            ("model/review", &model(&[("v1", "established")])),
            ("plan/one", &plan("one", &["v1"])),
        ]);
        fleet.start_hosts(&vec!["a"; hosts]);
        fleet.wait_serving(0, "one");
        let sent_bytes = || -> u64 {
            let sent_by_host = |host: &fleet::EntryHost| {
                host.counter("clementinearch_peer_bytes_total{direction=\"sent\"}")
            };
            fleet.hosts.iter().map(sent_by_host).sum()
        };
        let idle_bytes_per_s = {
            let before = sent_bytes();
            std::thread::sleep(Duration::from_secs(5));
            (sent_bytes() - before) as f64 / 5.0
        };
        let (before, began) = (sent_bytes(), Instant::now());
        let address = fleet.hosts[0].callers();
        for number in 0..REQUESTS {
            runtime.block_on(run_stream(
                address,
                chat_request(&format!("p {number}"), 1, "review"),
                Arc::default(),
            ));
        }
        let total =
            (sent_bytes() - before) as f64 - idle_bytes_per_s * began.elapsed().as_secs_f64();
        println!("{hosts:5}  {:.0}", total / REQUESTS as f64);
    }
}

/// Counts the calls to the store by purpose while idle, for chat requests and for claimed calls.
fn measure_store_calls(runtime: &Runtime) {
    const REQUESTS: u64 = 500;
    const CALLS: u64 = 100;
    const MEASURING_TIME: Duration = Duration::from_secs(10);
    println!(
        "hosts  calls by purpose: per second while idle, then for {REQUESTS} chat requests, then for {CALLS} claimed calls"
    );
    for hosts in [3, 6, 12] {
        let mut fleet = Fleet::new()
            .with_default_timings()
            .with_settings("ledger_period_ms = 1000\n");
        fleet.start_engine("a", &["v1"]);
        fleet.start_service("a", &[]);
        fleet.edit(&[
            ("model/review", &model(&[("v1", "established")])),
            ("service/queue", "pool = \"queue\"\n"),
            ("plan/one", &plan("one", &["v1"])),
        ]);
        fleet.start_hosts(&vec!["a"; hosts]);
        fleet.wait_serving(0, "one");
        std::thread::sleep(MEASURING_TIME);
        let counts = || {
            let mut sums = std::collections::BTreeMap::<String, u64>::new();
            for ((_, purpose), count) in fleet.store.counts() {
                *sums.entry(purpose).or_default() += count;
            }
            sums
        };
        let since = |before: &std::collections::BTreeMap<String, u64>| {
            let now = counts();
            let increases = now.iter().map(|(purpose, count)| {
                (purpose.clone(), count - before.get(purpose).unwrap_or(&0))
            });
            increases
                .filter(|(_, count)| *count > 0)
                .collect::<Vec<_>>()
        };
        let before = counts();
        std::thread::sleep(MEASURING_TIME);
        let idle: Vec<_> = since(&before)
            .into_iter()
            .map(|(purpose, n)| (purpose, n as f64 / 10.0))
            .collect();
        let before = counts();
        for number in 0..REQUESTS {
            let host = &fleet.hosts[number as usize % hosts];
            runtime.block_on(run_stream(
                host.callers(),
                chat_request(&format!("p {number}"), 1, "review"),
                Arc::default(),
            ));
        }
        std::thread::sleep(MEASURING_TIME);
        let chats = since(&before);
        let before = counts();
        for number in 0..CALLS {
            let host = &fleet.hosts[number as usize % hosts];
            let id = clementinearch_policy::request_id::RequestId::new(fleet::now()).simple();
            let answer = fleet::call_service(
                host,
                "one",
                "queue/commit",
                &[("idempotency-key", &id)],
                "{}",
            );
            assert_eq!(answer.status, 200);
        }
        std::thread::sleep(MEASURING_TIME);
        println!("{hosts:5}  {idle:?}  {chats:?}  {:?}", since(&before));
    }
}

fn chat_request(prompt: &str, tokens: u32, model: &str) -> String {
    let body = chat_body(prompt, tokens, true).replace("\"review\"", &format!("\"{model}\""));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer one\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Bytes at the end of a response that are searched for the end marker.
const TAIL_BYTES: usize = 64;

/// Sends a request and reads its stream to the end, adding its tokens to `tokens`. Returns the time
/// to the first token and whether the stream was complete.
async fn run_stream(
    address: SocketAddr,
    request: String,
    tokens: Arc<AtomicU64>,
) -> Option<(Duration, bool)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buf = vec![0; 16 << 10];
    let mut tail = Vec::new();
    let mut first = None;
    loop {
        let read = stream.read(&mut buf).await.ok()?;
        if read == 0 {
            break;
        }
        let text = &buf[..read];
        let token_count = text
            .windows(8)
            .filter(|window| window == b"\"delta\":")
            .count();
        if token_count > 0 {
            first.get_or_insert_with(|| began.elapsed());
            tokens.fetch_add(token_count as u64, Ordering::Relaxed);
        }
        // The end marker may be in a read before the last one.
        tail.extend_from_slice(text);
        tail.drain(..tail.len().saturating_sub(TAIL_BYTES));
    }
    let is_whole = String::from_utf8_lossy(&tail).contains("[DONE]");
    Some((first?, is_whole))
}

/// Measures processor time and latency per request at up to 50 times a host's share of the peak,
/// which is 3,600 requests per second over 320 hosts.
fn measure_requests(runtime: &Runtime) {
    const DURATION_S: u64 = 10;
    let fleet = start_fleet("1");
    let (address, pid) = (fleet.hosts[0].callers(), fleet.hosts[0].process.0.id());
    println!("requests/s  sent  whole  cpu_us_per_request  first_token_ms(p50,p99)");
    for rate in [140, 280, 560] {
        let cpu_before_s = cpu_seconds(pid);
        let (whole, histogram) = runtime.block_on(async {
            let mut ticks = interval(Duration::from_secs(1) / rate);
            let mut running = Vec::new();
            for number in 0..u64::from(rate) * DURATION_S {
                ticks.tick().await;
                let request = chat_request(&format!("prompt {number}"), 2, "review");
                running.push(tokio::spawn(run_stream(address, request, Arc::default())));
            }
            let mut histogram = Histogram::<u64>::new(3).unwrap();
            let mut whole = 0;
            for run in running {
                if let Some((first, true)) = run.await.unwrap() {
                    whole += 1;
                    histogram.record(first.as_micros() as u64).unwrap();
                }
            }
            (whole, histogram)
        });
        let sent = u64::from(rate) * DURATION_S;
        let cpu_us = (cpu_seconds(pid) - cpu_before_s) * 1e6 / sent as f64;
        let quantile = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{rate:10}  {sent}  {whole}  {cpu_us:18.0}  {:.2},{:.2}",
            quantile(0.5),
            quantile(0.99)
        );
    }
}

/// Measures processor time per token.
fn measure_tokens(runtime: &Runtime) {
    const TOKENS: u32 = 2_000;
    let fleet = start_fleet("5");
    let (address, pid) = (fleet.hosts[0].callers(), fleet.hosts[0].process.0.id());
    println!("streams  tokens/s  cpu_us_per_token");
    for streams in [10, 40, 160] {
        let tokens: Arc<AtomicU64> = Arc::default();
        let cpu_before_s = cpu_seconds(pid);
        let began = Instant::now();
        runtime.block_on(async {
            let run = |number: usize| {
                tokio::spawn(run_stream(
                    address,
                    chat_request(&format!("p {number}"), TOKENS, "review"),
                    tokens.clone(),
                ))
            };
            let running: Vec<_> = (0..streams).map(run).collect();
            for run in running {
                assert!(run.await.unwrap().is_some_and(|(_, whole)| whole));
            }
        });
        let total = tokens.load(Ordering::Relaxed) as f64;
        let cpu_us = (cpu_seconds(pid) - cpu_before_s) * 1e6 / total;
        println!(
            "{streams:7}  {:8.0}  {cpu_us:16.1}",
            total / began.elapsed().as_secs_f64()
        );
    }
}

/// Measures the memory of open streams.
fn measure_streams(runtime: &Runtime) {
    let fleet = start_fleet("1000");
    let (address, pid) = (fleet.hosts[0].callers(), fleet.hosts[0].process.0.id());
    println!("open_streams  rss_kib");
    println!("{:12}  {:.0}", 0, resident_kib(pid));
    let mut open = 0;
    for streams in [250, 500, 1000] {
        runtime.block_on(async {
            for number in open..streams {
                tokio::spawn(run_stream(
                    address,
                    chat_request(&format!("p {number}"), 600, "review"),
                    Arc::default(),
                ));
            }
            sleep(Duration::from_secs(3)).await;
        });
        open = streams;
        println!("{open:12}  {:.0}", resident_kib(pid));
    }
}

/// Measures the time to the first token of the same requests, sent to an engine directly and through
/// the host in turn.
fn measure_first_token(runtime: &Runtime) {
    const REQUESTS: usize = 2_000;
    let fleet = start_fleet("1");
    let engine = fleet.backend_address(0);
    let host = fleet.hosts[0].callers();
    let mut histograms = [
        Histogram::<u64>::new(3).unwrap(),
        Histogram::<u64>::new(3).unwrap(),
    ];
    for number in 0..REQUESTS {
        let prompt = format!("p {}", number % 10);
        for (histogram, (address, model)) in histograms
            .iter_mut()
            .zip([(engine, "review@v1"), (host, "review")])
        {
            let request = chat_request(&prompt, 2, model);
            let first = runtime.block_on(run_stream(address, request, Arc::default()));
            histogram
                .record(first.unwrap().0.as_micros() as u64)
                .unwrap();
        }
    }
    let [direct, routed] =
        histograms.map(|it| (it.value_at_quantile(0.5), it.value_at_quantile(0.99)));
    println!("first token in us (p50, p99): direct {direct:?}, through the host {routed:?}");
}
