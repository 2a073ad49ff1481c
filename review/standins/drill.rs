//! The store comes back from a copy that is some seconds old, and a configuration follows.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::kit::*;

const HOST_NAME: &str = "ficu95.example";

/// Bounds of the small sites.
const CONFIG_APPLY_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;

fn config(
    version: u64,
    status_service: &str,
    has_dropped: bool,
    has_added: bool,
    keys: &str,
) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":3,\"anonymous\":false}}"
        )
    };
    let mut routes = vec![
        route("master-commit", "/commit/", "non_idempotent", "verkrod"),
        route("job-status", "/status/", "idempotent", status_service),
    ];
    if has_dropped {
        routes.push(route("old-reads", "/old/", "idempotent", "verkrod"));
    }
    if has_added {
        routes.push(route("new-reads", "/new/", "idempotent", "verkrod"));
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"one\",\"apiKeys\":[\"key-one\"],\"priority\":1}},{{\"name\":\"two\",\"apiKeys\":[{keys}],\"priority\":1}}]}}",
        routes.join(","),
        service("verkrod"),
        service("verkrod-b")
    )
}

pub fn run(folder_of_case: &str) -> i32 {
    let record = Record::new(&format!("{folder_of_case}/record.txt"));
    let trouble = has_trouble();
    record.say(&format!(
        "disruption: {}",
        if trouble {
            "a drill of the store"
        } else {
            "none"
        }
    ));
    let (network, listener) = Network::reserve();
    let store_address = network.at(1, 2380);
    let store = Store::start(listener);
    let folder = Folder::new();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();

    // As many runners as a small site has: their heartbeats make the store's revisions grow.
    let zones = ["hafnarfjordur", "keflavik", "selfoss"];
    let mut runners = Vec::new();
    for number in 0..15u8 {
        let service = if number < 3 { "verkrod" } else { "verkrod-b" };
        let id = format!("i-7f3a9{number:02}");
        let zone = zones[usize::from(number) % 3];
        let address = network.at(100 + number, 8080);
        let place = (id.as_str(), service, "v1", zone);
        let work = plain_work(Duration::from_millis(20));
        runners.push(Runner::start(
            &store, &record, &runs, place, 6, address, work,
        ));
        sleep_ms(20);
    }
    store.put(
        "op/config",
        &config(7, "verkrod", true, false, "\"key-two\",\"key-gone\""),
    );

    let mut hosts: Vec<Host> = Vec::new();
    for number in 0..4u8 {
        let zone = zones[usize::from(number) % 3];
        let name = format!("edge-{zone}-{}", number / 3 + 1);
        let mut host = Host::new(&folder, network, number, &name, zone, store_address);
        host.start();
        hosts.push(host);
    }
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        record.say("the hosts did not get ready: the case could not run");
        return 2;
    }
    record.line("all hosts are ready");
    sleep_ms(6_000);

    // The copy is taken 5 s before the store goes away for 1 s.
    if trouble {
        store.take_copy();
        record.line(&format!(
            "store    copy taken at revision {}",
            store.revision()
        ));
        sleep_ms(5_000);
        record.line(&format!(
            "store    goes away at revision {}",
            store.revision()
        ));
        store.go_away();
        sleep_ms(1_000);
        store.come_back_from_copy();
        record.line(&format!(
            "store    is back from the copy, era {}, revision {}",
            store.era(),
            store.revision()
        ));
    } else {
        sleep_ms(6_000);
    }
    let back_ms = record.ms();
    // Runners write their entries again with their next heartbeat. The operator's configuration is in
    // the copy; a second later the next one comes.
    sleep_ms(1_000);
    let revision = store.put(
        "op/config",
        &config(12, "verkrod-b", false, true, "\"key-two\""),
    );
    let ack_ms = record.ms();
    record.line(&format!(
        "operator configuration 12 acknowledged at revision {revision:?}"
    ));

    // Requests from the time at which the rule holds again, with a second to spare.
    let check_ms = (ack_ms + CONFIG_APPLY_MS).max(back_ms + STABLE_WINDOW_MS) + 1_000;
    while record.ms() < check_ms {
        sleep_ms(20);
    }
    let mut broken = 0;
    let mut asked = 0;
    for round in 0..30 {
        for host in &hosts {
            let probes = [
                ("new", "GET", "/new/a", "key-one", "a route that was added"),
                (
                    "old",
                    "GET",
                    "/old/a",
                    "key-one",
                    "a route that was dropped",
                ),
                (
                    "key",
                    "GET",
                    "/status/a",
                    "key-gone",
                    "a key that was removed",
                ),
                (
                    "move",
                    "GET",
                    "/status/b",
                    "key-one",
                    "a route that was moved",
                ),
            ];
            for (kind, method, path, key, what) in probes {
                let id = format!("{kind}-{}-{round}", host.name);
                let bytes = request_bytes(method, HOST_NAME, path, &id, key, 1_500, "", "");
                record.line(&format!(
                    "send     {id} {path} with {key} to {} ({what})",
                    host.name
                ));
                let answer = ask(host.front, &bytes, Duration::from_secs(3));
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(&format!("answer   {id} {} {}", answer.status, body.trim()));
                asked += 1;
                let is_old = match kind {
                    "new" => answer.status == 404,
                    "old" | "key" => answer.status == 200,
                    _ => answer.status == 200 && !body.starts_with("verkrod-b "),
                };
                broken += u32::from(is_old);
            }
        }
        sleep_ms(1_000);
    }
    let after_s = (record.ms() - ack_ms) / 1_000;
    for host in &hosts {
        record.line(&format!("status   {}", host.status()));
    }
    record.say(&format!(
        "{broken} of {asked} requests sent from {} ms to {after_s} s after the ack were handled as only the older configuration allows",
        check_ms - ack_ms
    ));
    record.say(if broken > 0 {
        "CONFIG is broken"
    } else {
        "CONFIG held"
    });
    i32::from(broken > 0)
}
