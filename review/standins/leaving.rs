//! Runners leave one after the other while they write streams that have neither a length nor chunks.

use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    kit::*,
    unframed::{EVENTS, RunnerProcess},
};

const HOST_NAME: &str = "ficu95.example";
const RUNNERS: usize = 4;
const DRAIN_MS: u64 = 2_000;
/// Time beyond `drainMs` for which a leaving runner goes on.
const A_LITTLE_MS: u64 = 300;
const LEAVERS: usize = 6;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"album-review\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/review/\",\"kind\":\"streaming\",\"timeoutMs\":25000,\"targetLatencyMs\":3000,\"priority\":1,\"service\":\"hlustun\",\"maxAttempts\":3,\"anonymous\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":1000}}],\"services\":[{{\"name\":\"hlustun\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":511553,\"stride\":5,\"models\":[{{\"name\":\"daka510000\",\"cost\":0.02}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"one\",\"apiKeys\":[\"key-one\"],\"priority\":1}}]}}"
    )
}

/// What a client has of a stream.
struct Got {
    /// Whether the answer is complete by its framing.
    is_whole: bool,
    ids: Vec<u64>,
}

fn read_stream(front: std::net::SocketAddr, request: &[u8]) -> Got {
    let mut got = Got {
        is_whole: false,
        ids: Vec::new(),
    };
    let Ok(mut channel) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return got;
    };
    let _ = channel.set_read_timeout(Some(Duration::from_secs(26)));
    if channel.write_all(request).is_err() {
        return got;
    }
    let mut bytes = Vec::new();
    let mut reader = BufReader::new(channel);
    let mut piece = [0; 4_096];
    // The last chunk, or the end of the channel without it.
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match reader.read(&mut piece) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&piece[..length]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    got.is_whole = text.starts_with("HTTP/1.1 200") && text.ends_with("\r\n0\r\n\r\n");
    got.ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
        .collect();
    got
}

pub fn run(folder_of_case: &str) -> i32 {
    let record = Record::new(&format!("{folder_of_case}/record.txt"));
    let trouble = has_trouble();
    record.say(&format!(
        "disruption: {}",
        if trouble { "runners leave" } else { "none" }
    ));
    let (network, listener) = Network::reserve();
    let store_address = network.at(1, 2380);
    let store = Store::start(listener);
    let folder = Folder::new();
    let zones = ["hafnarfjordur", "keflavik", "selfoss"];
    let start = |number: usize, boot: usize| {
        let name = format!("i-7f3a9{number}{boot:02}");
        // Each start has an address of its own.
        let address = network.at((100 + number * 10 + boot) as u8, 8080);
        RunnerProcess::start(&store, &record, "hlustun", name, zones[number % 3], address)
    };
    let mut runners: Vec<RunnerProcess> = (0..RUNNERS).map(|number| start(number, 0)).collect();
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
    let counts: Arc<[AtomicUsize; 4]> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..12usize {
        let front = hosts[number % hosts.len()].front;
        let (record, is_over, counts) = (record.clone(), is_over.clone(), counts.clone());
        clients.push(thread::spawn(move || {
            let mut round = 0;
            while !is_over.load(Ordering::Relaxed) {
                round += 1;
                let id = format!("c{number}-{round}");
                let parts = format!(
                    "{:x}:800,{:x}:1192",
                    0x5c1e_0000 + (number + round) % 40,
                    number * 1_000 + round
                );
                let extra = format!(
                    "Model: daka510000\r\nToken-Usage: 1992,380\r\nPrompt-Prefix: {parts}\r\n"
                );
                let bytes = request_bytes(
                    "POST",
                    HOST_NAME,
                    "/review/a",
                    &id,
                    "key-one",
                    25_000,
                    &extra,
                    &format!("prompt {id}"),
                );
                record.line(&format!("send     {id}"));
                counts[0].fetch_add(1, Ordering::Relaxed);
                let got = read_stream(front, &bytes);
                let is_all = got.ids == (1..=EVENTS).collect::<Vec<u64>>();
                let what = match (got.is_whole, is_all) {
                    (true, true) => (1, "whole"),
                    (true, false) => (2, "ENDS AS COMPLETE BEFORE ITS LAST PIECE"),
                    (false, _) => (3, "visibly broken off"),
                };
                counts[what.0].fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "answer   {id} {} events, last {:?} of {EVENTS}: {}",
                    got.ids.len(),
                    got.ids.last(),
                    what.1
                ));
            }
        }));
        sleep_ms(137);
    }
    sleep_ms(4_000);
    for leaver in 0..LEAVERS {
        let number = leaver % RUNNERS;
        if trouble {
            // The new one starts first, the old one drains.
            let next = start(number, leaver / RUNNERS + 1);
            let mut old = std::mem::replace(&mut runners[number], next);
            sleep_ms(1_000);
            *old.state.lock().unwrap() = "draining";
            record.line(&format!(
                "runner   the runner in place {number} reports that it drains"
            ));
            sleep_ms(DRAIN_MS + A_LITTLE_MS);
            old.kill();
            record.line(&format!(
                "runner   the runner that was in place {number} has exited"
            ));
        } else {
            sleep_ms(1_000 + DRAIN_MS + A_LITTLE_MS);
        }
        sleep_ms(2_000);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let get = |index: usize| counts[index].load(Ordering::Relaxed);
    record.say(&format!(
        "{} sent, {} whole, {} ended as complete before their last piece, {} visibly broken off",
        get(0),
        get(1),
        get(2),
        get(3)
    ));
    let is_broken = get(2) > 0;
    record.say(if is_broken {
        "ORDER is broken"
    } else {
        "ORDER held"
    });
    i32::from(is_broken)
}
