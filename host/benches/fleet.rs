//! What control costs an entry host, at several sizes of the fleet, without load and with changes
//! of configuration: `cargo bench --bench fleet`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;
mod measure;

use std::{
    thread,
    time::{Duration, Instant},
};

use fleet::{Fleet, model, plan, wait_until};
use measure::{cpu_seconds, loopback_bytes, resident_kib};

const ZONES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const SIZES: [usize; 3] = [7, 28, 112];
const SETTLE: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(20);
const EDITS: usize = 10;
const PLANS: usize = 100;

fn main() {
    println!(
        "hosts  cpu_percent  rss_mib  lo_bytes/s  peer_sent_bytes/s  exchanges/s  store_calls/s  in_force_ms(median,max)  bytes_per_change"
    );
    for size in SIZES {
        measure_size(size);
    }
}

struct Reading {
    cpu: f64,
    loopback: f64,
    peer_sent: f64,
    exchanges: f64,
    store_calls: f64,
}

fn read(fleet: &Fleet) -> Reading {
    let sum = |value: &dyn Fn(&fleet::EntryHost) -> f64| fleet.hosts.iter().map(value).sum::<f64>();
    Reading {
        cpu: sum(&|host| cpu_seconds(host.process.0.id())),
        loopback: loopback_bytes(),
        peer_sent: sum(&|host| {
            host.counter("clementinearch_peer_bytes_total{direction=\"sent\"}") as f64
        }),
        exchanges: sum(&|host| {
            host.counter("clementinearch_peer_exchanges_total{side=\"asked\"}") as f64
        }),
        store_calls: fleet.store.counts().values().sum::<u64>() as f64,
    }
}

fn measure_size(size: usize) {
    let mut fleet = Fleet::new().with_default_timings();
    for _ in 0..8 {
        fleet.start_engine("a", &["v1", "v2"]);
    }
    let states = |first: &str, second: &str| model(&[("v1", first), ("v2", second)]);
    fleet.edit(&[
        ("model/review", &states("established", "established")),
        ("service/queue", "pool = \"queue\"\n"),
    ]);
    for number in 0..PLANS {
        let key = format!("account-{number}");
        fleet.edit(&[(&format!("plan/{key}"), &plan(&key, &["v1", "v2"]))]);
    }
    let zones: Vec<&str> = (0..size)
        .map(|number| ZONES[number % ZONES.len()])
        .collect();
    fleet.start_hosts(&zones);
    wait_until("all know all", || {
        fleet
            .hosts
            .iter()
            .all(|host| host.counter("clementinearch_members") == size as u64)
    });
    thread::sleep(SETTLE);

    let before = read(&fleet);
    let began = Instant::now();
    thread::sleep(WINDOW);
    let after = read(&fleet);
    let seconds = began.elapsed().as_secs_f64();
    let per_host = |total: f64| total / seconds / size as f64;
    let rss = fleet
        .hosts
        .iter()
        .map(|host| resident_kib(host.process.0.id()))
        .sum::<f64>()
        / size as f64
        / 1024.0;

    let sent_before = read(&fleet).peer_sent;
    let mut times: Vec<u128> = (0..EDITS)
        .map(|number| time_to_force(&mut fleet, number))
        .collect();
    times.sort_unstable();
    let sent_by_changes = read(&fleet).peer_sent - sent_before;
    println!(
        "{size:5}  {:11.3}  {rss:7.1}  {:10.0}  {:17.0}  {:11.2}  {:13.2}  {:>11},{:<11}  {:16.0}",
        per_host(after.cpu - before.cpu) * 100.0,
        per_host(after.loopback - before.loopback),
        per_host(after.peer_sent - before.peer_sent),
        per_host(after.exchanges - before.exchanges),
        (after.store_calls - before.store_calls) / seconds,
        times[EDITS / 2],
        times[EDITS - 1],
        sent_by_changes / EDITS as f64 / size as f64,
    );
}

/// Writes one edit and waits until each host has said that it applies it, in milliseconds.
fn time_to_force(fleet: &mut Fleet, number: usize) -> u128 {
    let versions: &[&str] = if number.is_multiple_of(2) {
        &["v1"]
    } else {
        &["v1", "v2"]
    };
    let text = plan("account-0", versions);
    let began = Instant::now();
    let revision = fleet.edit(&[("plan/account-0", &text)]);
    wait_until("the revision is in force", || {
        let status = fleet.hosts[0].status();
        status
            .is_some_and(|status| status.in_force_everywhere && status.newest_revision == revision)
    });
    began.elapsed().as_millis()
}
