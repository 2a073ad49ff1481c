//! Requests that may run in some regions only.

mod route;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, signed_response},
};
use route::{Host, Platform, ok, send_request, wait_until};
use serde_json::json;

/// Regions of the zones `zone-0`, `zone-1` and `zone-2`, in each of which there are a host and a
/// server.
const REGIONS: [&str; 3] = ["eu", "us", "asia"];

/// Calls of each kind to each host.
const CALLS: usize = 8;

fn script(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line.ends_with("/failing") {
        let failure = signed_response(received, "500 Internal Server Error", "", "broken");
        return vec![Step::Send(failure)];
    }
    ok(received)
}

fn start() -> (Platform, Vec<Arc<ScriptedServer>>) {
    let mut platform = Platform::new();
    let route = |name: &str, regions: &[&str]| json!({"name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 2000, "priority": 2, "service": "orders", "maxAttempts": 3, "allowedRegions": regions});
    let config = json!({
        "version": 2,
        "routes": [route("anywhere", &[]), route("eu", &["eu"]), route("eu-us", &["eu", "us"]), route("mars", &["mars"])],
        "services": [{"name": "orders", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "one", "apiKeys": ["key-1"]}, {"name": "two", "apiKeys": ["key-2"], "allowedRegions": ["us"]}],
    });
    platform.store.put("op/config", config.to_string());
    let mut servers = Vec::new();
    for number in 0..REGIONS.len() {
        let (name, server) = platform.add_backend("orders", "v1", |_, it| script(it));
        let entry = json!({"service": "orders", "address": server.address().to_string(), "zone": format!("zone-{number}"), "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": 2, "born": 1});
        platform
            .store
            .put(&format!("servers/{name}"), entry.to_string());
        servers.push(server);
    }
    platform.start_linked_hosts(REGIONS.len());
    let regions = "[regions]\nzone-0 = \"eu\"\n\"zone-1\" = \"us\"\n\"zone-2\" = \"asia\"\n[store]";
    for host in &mut platform.hosts {
        host.change_settings("[store]", regions);
    }
    for host in &platform.hosts {
        wait_until("the host is ready", || {
            host.is_ready() && host.status()["hosts"] == REGIONS.len()
        });
    }
    (platform, servers)
}

/// Sends calls to a path. Returns the statuses.
fn call(host: &Host, path: &str, key: &str) -> Vec<u16> {
    let send = |number| {
        let id = format!("{}-{path}-{key}-{number}", host.ip);
        let line = format!("GET {path}");
        let mut connection = route::Connection::open(host.callers());
        let text = route::request(&line, &id, "", "").replace("key-1", key);
        connection.send(&text);
        connection.read().status
    };
    (0..CALLS).map(send).collect()
}

/// Numbers of requests that the servers got since `before`, which is brought up to date.
fn arrived(servers: &[Arc<ScriptedServer>], before: &mut [usize]) -> Vec<usize> {
    let count = |(server, before): (&Arc<ScriptedServer>, &mut usize)| {
        let now = server.requests().len();
        now - std::mem::replace(before, now)
    };
    servers.iter().zip(before).map(count).collect()
}

/// Guards against first attempts, retries and accounts that leave the allowed regions.
#[test]
fn requests_run_in_the_allowed_regions_only() {
    let (platform, servers) = start();
    let mut before = [0; 3];
    for host in &platform.hosts {
        assert_eq!(call(host, "/eu/1", "key-1"), [200; CALLS]);
        assert_eq!(arrived(&servers, &mut before), [CALLS, 0, 0]);
        let failing = call(host, "/eu/failing", "key-1");
        assert!(failing.iter().all(|it| *it >= 500), "{failing:?}");
        let got = arrived(&servers, &mut before);
        assert!(got[0] >= CALLS && got[1..] == [0, 0], "{got:?}");
        assert_eq!(call(host, "/eu-us/1", "key-2"), [200; CALLS]);
        assert_eq!(arrived(&servers, &mut before), [0, CALLS, 0]);
        assert_eq!(call(host, "/anywhere/1", "key-2"), [200; CALLS]);
        assert_eq!(arrived(&servers, &mut before), [0, CALLS, 0]);
        for (path, key) in [("/eu/1", "key-2"), ("/mars/1", "key-1")] {
            let sent_at = Instant::now();
            assert_eq!(call(host, path, key), [503; CALLS]);
            // A wait for a cold or brittle server would take 500 ms each.
            assert!(sent_at.elapsed() < Duration::from_millis(500 * CALLS as u64));
            assert_eq!(arrived(&servers, &mut before), [0; 3]);
        }
        let reason = "not run: no server in the allowed regions";
        wait_until("the log is written", || {
            host.logged("ended")
                .iter()
                .any(|line| line["why"] == reason)
        });
    }
    assert_eq!(
        call(&platform.hosts[0], "/anywhere/1", "key-1"),
        [200; CALLS]
    );
    // All servers of the allowed regions are evacuated, while others are not.
    platform.store.put("op/evacuate/zone-0", "{}");
    let host = &platform.hosts[1];
    wait_until("the host knows the evacuated zone", || {
        host.status()["evacuated_zones"] == json!(["zone-0"])
    });
    arrived(&servers, &mut before);
    assert_eq!(call(host, "/eu/1", "key-1"), [503; CALLS]);
    assert_eq!(arrived(&servers, &mut before), [0; 3]);
}

/// Guards against a host without a path to servers that sends bodies to hosts of other regions.
#[test]
fn bodies_are_forwarded_to_hosts_of_the_allowed_regions_only() {
    let (platform, servers) = start();
    let host = &platform.hosts[0];
    platform.set_links(0, LinkState::Resetting);
    wait_until("the host knows that it is cut off", || {
        send_request(host, "GET /anywhere/1", "first", "", "");
        host.status()["reaches_servers"] == false
    });
    let received = |number: usize| {
        let metrics = platform.hosts[number].metrics();
        let lines = metrics
            .lines()
            .filter(|line| line.starts_with("clementinearch_forwarded_received_total"));
        let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        counts.sum::<u64>()
    };
    let mut before = [0; 3];
    arrived(&servers, &mut before);
    let forwarded = [received(1), received(2)];
    assert_eq!(call(host, "/eu/1", "key-1"), [503; CALLS]);
    assert_eq!(arrived(&servers, &mut before), [0; 3]);
    assert_eq!([received(1), received(2)], forwarded);
    assert!(host.is_ready(), "other requests are still served");
    assert_eq!(call(host, "/eu-us/1", "key-1"), [200; CALLS]);
    assert!(received(1) >= forwarded[0] + CALLS as u64);
    assert_eq!(received(2), forwarded[1]);
    assert_eq!(arrived(&servers, &mut before)[2], 0);
    assert_eq!(call(host, "/anywhere/1", "key-1"), [200; CALLS]);
}
