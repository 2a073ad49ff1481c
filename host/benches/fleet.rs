//! Measures the cost of the control plane per entry host for several fleet sizes, without load and
//! with configuration changes: `cargo bench --bench fleet`.

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
const FLEET_SIZES: [usize; 3] = [7, 28, 112];
const SETTLING_TIME: Duration = Duration::from_secs(10);
const MEASURING_TIME: Duration = Duration::from_secs(20);
const EDITS: usize = 10;
const PLANS: usize = 100;

fn main() {
    println!(
        "hosts  cpu_percent  rss_mib  lo_bytes/s  peer_sent_bytes/s  exchanges/s  store_calls/s  in_force_ms(median,max)  bytes_per_change"
    );
    for size in FLEET_SIZES {
        measure_size(size);
    }
}

/// Counters summed over all hosts at one moment.
struct Measurement {
    cpu_s: f64,
    loopback_bytes: f64,
    peer_sent_bytes: f64,
    exchanges: f64,
    store_calls: f64,
}

fn take_measurement(fleet: &Fleet) -> Measurement {
    let sum = |value: &dyn Fn(&fleet::EntryHost) -> f64| fleet.hosts.iter().map(value).sum::<f64>();
    Measurement {
        cpu_s: sum(&|host| cpu_seconds(host.process.0.id())),
        loopback_bytes: loopback_bytes(),
        peer_sent_bytes: sum(&|host| {
            host.counter("clementinearch_peer_bytes_total{direction=\"sent\"}") as f64
        }),
        exchanges: sum(&|host| {
            host.counter("clementinearch_peer_exchanges_total{side=\"asked\"}") as f64
        }),
        store_calls: fleet.store.counts().values().sum::<u64>() as f64,
    }
}

/// Starts `size` hosts and prints one row of measurements.
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
    wait_until("all hosts know each other", || {
        fleet
            .hosts
            .iter()
            .all(|host| host.counter("clementinearch_members") == size as u64)
    });
    thread::sleep(SETTLING_TIME);

    let before = take_measurement(&fleet);
    let began = Instant::now();
    thread::sleep(MEASURING_TIME);
    let after = take_measurement(&fleet);
    let seconds = began.elapsed().as_secs_f64();
    let per_host = |total: f64| total / seconds / size as f64;
    let rss_mib = fleet
        .hosts
        .iter()
        .map(|host| resident_kib(host.process.0.id()))
        .sum::<f64>()
        / size as f64
        / 1024.0;

    let bytes_before = take_measurement(&fleet).peer_sent_bytes;
    let mut times_ms: Vec<u128> = (0..EDITS)
        .map(|number| measure_time_until_in_force_ms(&mut fleet, number))
        .collect();
    times_ms.sort_unstable();
    let bytes_for_changes = take_measurement(&fleet).peer_sent_bytes - bytes_before;
    println!(
        "{size:5}  {:11.3}  {rss_mib:7.1}  {:10.0}  {:17.0}  {:11.2}  {:13.2}  {:>11},{:<11}  {:16.0}",
        per_host(after.cpu_s - before.cpu_s) * 100.0,
        per_host(after.loopback_bytes - before.loopback_bytes),
        per_host(after.peer_sent_bytes - before.peer_sent_bytes),
        per_host(after.exchanges - before.exchanges),
        (after.store_calls - before.store_calls) / seconds,
        times_ms[EDITS / 2],
        times_ms[EDITS - 1],
        bytes_for_changes / EDITS as f64 / size as f64,
    );
}

/// Writes an edit and returns the time until every host reports it as in force, in milliseconds.
fn measure_time_until_in_force_ms(fleet: &mut Fleet, number: usize) -> u128 {
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
