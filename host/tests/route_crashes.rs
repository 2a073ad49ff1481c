//! Requests that crash every backend server that runs them, under faults that could hide, lose or
//! undo the count of the crashes.

mod route;

use std::{
    sync::{
        Arc, Barrier,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{ReceivedRequest, ScriptedServer, Step},
};
use route::{Connection, Host, Platform, ok, request, send_request, wait_until};

/// Body of a request that crashes servers.
const CRASHING: &str = "crashing";

/// Crashes from which the hosts refuse a content.
const BLOCKING_CRASHES: usize = 2;

/// Adds servers that run `crash` for a crashing request and serve all others.
fn add_servers(
    platform: &mut Platform,
    count: usize,
    crash: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> Vec<(String, Arc<ScriptedServer>)> {
    let add = |_| {
        let crash = crash.clone();
        platform.add_backend("orders", "v1", move |_, received| {
            if received.body == CRASHING {
                crash(received)
            } else {
                ok(received)
            }
        })
    };
    (0..count).map(add).collect()
}

/// Number of crashing requests that reached a server.
fn crashing_requests(servers: &[(String, Arc<ScriptedServer>)]) -> usize {
    let received = servers.iter().map(|(_, server)| {
        let requests = server.requests();
        requests.iter().filter(|it| it.body == CRASHING).count()
    });
    received.sum()
}

/// Index of the server that got the crashing request with this id.
fn server_of(servers: &[(String, Arc<ScriptedServer>)], id: &str) -> Option<usize> {
    servers.iter().position(|(_, server)| {
        let requests = server.requests();
        requests.iter().any(|it| it.header("attempt-id") == id)
    })
}

fn wait_until_suspect(host: &Host) {
    wait_until("the host suspects the content", || {
        host.status()["suspect_contents"] == 1
    });
}

fn wait_until_blocked(host: &Host) {
    wait_until("the host blocks the content", || {
        host.status()["blocked_contents"] == 1
    });
}

/// Waits until the host blocks the content, and checks that no further server gets it.
fn check_blocked(host: &Host, servers: &[(String, Arc<ScriptedServer>)]) {
    wait_until_blocked(host);
    let answer = send_request(host, "POST /pay/1", "later", "", CRASHING);
    assert_eq!(answer.status, 503);
    assert_eq!(crashing_requests(servers), BLOCKING_CRASHES);
}

fn wait_until_acquainted(platform: &Platform) {
    let count = platform.hosts.len();
    wait_until("the hosts know each other", || {
        let mut hosts = platform.hosts.iter();
        hosts.all(|host| host.status()["hosts"] == count)
    });
}

#[test]
fn a_crash_on_a_reused_connection_is_counted() {
    let mut platform = Platform::new();
    let servers = add_servers(&mut platform, 6, |_| vec![Step::Crash]);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let mut number = 0;
    wait_until("the host keeps a connection to each server", || {
        number += 1;
        send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
        servers
            .iter()
            .all(|(_, server)| !server.requests().is_empty())
    });
    for number in 0..4 {
        send_request(
            host,
            "GET /look/1",
            &format!("crash-{number}"),
            "",
            CRASHING,
        );
    }
    let crashed = crashing_requests(&servers);
    assert!(crashed <= BLOCKING_CRASHES, "{crashed} servers crashed");
}

/// Hosts with the same view choose the same server, so each is kept busy on others first.
#[test]
fn crashes_that_hosts_see_at_the_same_moment_add_up() {
    const HOSTS: usize = 4;
    const HELD: &str = "held";
    let mut platform = Platform::new();
    let is_first_round = Arc::new(AtomicBool::new(true));
    let all_run = Arc::new(Barrier::new(HOSTS));
    let servers: Vec<_> = (0..4 * HOSTS)
        .map(|_| {
            let (is_first_round, all_run) = (is_first_round.clone(), all_run.clone());
            platform.add_backend("orders", "v1", move |_, received| {
                if received.body == CRASHING && is_first_round.load(Ordering::Relaxed) {
                    all_run.wait();
                }
                while received.body.starts_with(HELD) && is_first_round.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
                if received.body == CRASHING {
                    vec![Step::Crash]
                } else {
                    ok(received)
                }
            })
        })
        .collect();
    platform.start_hosts(HOSTS);
    wait_until_acquainted(&platform);
    let send_to_all = |round: usize| {
        thread::scope(|scope| {
            for (number, host) in platform.hosts.iter().enumerate() {
                let id = format!("crash-{round}-{number}");
                scope.spawn(move || send_request(host, "POST /pay/1", &id, "", CRASHING));
            }
        });
    };
    thread::scope(|scope| {
        for (number, host) in platform.hosts.iter().enumerate() {
            for held in 0..number {
                let id = format!("held-{number}-{held}");
                let (held_id, body) = (id.clone(), format!("{HELD} {id}"));
                scope.spawn(move || send_request(host, "POST /pay/1", &held_id, "", &body));
                wait_until("the request runs", || server_of(&servers, &id).is_some());
            }
        }
        send_to_all(0);
        is_first_round.store(false, Ordering::Relaxed);
    });
    let crashed = |(_, server): &&(String, Arc<ScriptedServer>)| {
        server.requests().iter().any(|it| it.body == CRASHING)
    };
    assert_eq!(servers.iter().filter(crashed).count(), HOSTS);
    for host in &platform.hosts {
        wait_until_blocked(host);
    }
    send_to_all(1);
    assert_eq!(crashing_requests(&servers), HOSTS);
}

#[test]
fn a_block_outlives_a_loss_of_power_of_all_hosts() {
    let mut platform = Platform::new();
    let servers = add_servers(&mut platform, 8, |_| vec![Step::Crash]);
    platform.start_hosts(2);
    wait_until_acquainted(&platform);
    for number in 0..BLOCKING_CRASHES {
        let id = format!("crash-{number}");
        send_request(&platform.hosts[0], "POST /pay/1", &id, "", CRASHING);
    }
    for host in &platform.hosts {
        wait_until_blocked(host);
    }
    wait_until("the block is in the store", || {
        !platform.store.keys("clementinearch/blocked/").is_empty()
    });
    for host in &mut platform.hosts {
        host.kill();
    }
    for host in &mut platform.hosts {
        host.restart();
    }
    for (number, host) in platform.hosts.iter().enumerate() {
        wait_until("the host is ready", || host.is_ready());
        let id = format!("later-{number}");
        let answer = send_request(host, "POST /pay/1", &id, "", CRASHING);
        assert_eq!(answer.status, 503);
    }
    assert_eq!(crashing_requests(&servers), BLOCKING_CRASHES);
    // The store does not keep the block for good.
    platform.store.end_leases();
    assert!(platform.store.keys("clementinearch/blocked/").is_empty());
}

#[test]
fn a_block_by_a_host_without_the_store_is_written_by_another() {
    let mut platform = Platform::new();
    add_servers(&mut platform, 8, |_| vec![Step::Crash]);
    platform.start_hosts(2);
    wait_until_acquainted(&platform);
    let (alone, other) = (&platform.hosts[0], &platform.hosts[1]);
    alone.store_endpoint.set_mode(EndpointMode::Refusing);
    for number in 0..BLOCKING_CRASHES {
        let id = format!("crash-{number}");
        send_request(alone, "POST /pay/1", &id, "", CRASHING);
    }
    wait_until_blocked(other);
    wait_until("the block is in the store", || {
        !platform.store.keys("clementinearch/blocked/").is_empty()
    });
}

/// Guards against a block that ends for all hosts because the store came back from an older copy.
#[test]
fn a_block_that_the_store_has_lost_is_written_again() {
    let mut platform = Platform::new();
    let servers = add_servers(&mut platform, 8, |_| vec![Step::Crash]);
    platform.store.set_era("1");
    platform.start_hosts(2);
    wait_until_acquainted(&platform);
    let copy = platform.store.copy();
    for number in 0..BLOCKING_CRASHES {
        let id = format!("crash-{number}");
        send_request(&platform.hosts[0], "POST /pay/1", &id, "", CRASHING);
    }
    let has_block = || !platform.store.keys("clementinearch/blocked/").is_empty();
    wait_until("the block is in the store", has_block);
    for host in &platform.hosts {
        wait_until_blocked(host);
    }
    platform.store.restore(&copy, 2);
    assert!(!has_block());
    wait_until("the block is in the store again", has_block);
    for (number, host) in platform.hosts.iter().enumerate() {
        wait_until("the host knows the era", || host.status()["store_era"] == 2);
        let id = format!("later-{number}");
        let answer = send_request(host, "POST /pay/1", &id, "", CRASHING);
        assert_eq!(answer.status, 503);
    }
    assert_eq!(crashing_requests(&servers), BLOCKING_CRASHES);
}

/// Only the new start time in the server's entry shows that it has crashed.
#[test]
fn a_server_that_listens_again_at_once_counts_as_crashed() {
    let mut platform = Platform::new();
    let servers = add_servers(&mut platform, 6, |_| vec![Step::Reset]);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..BLOCKING_CRASHES {
        let id = format!("crash-{number}");
        assert_eq!(
            send_request(host, "POST /pay/1", &id, "", CRASHING).status,
            502
        );
        let (name, _) = &servers[server_of(&servers, &id).unwrap()];
        let address = platform.address(name);
        let born = 2 + number as u64;
        platform.write_entry_of_start(born, name, "orders", "v1", address, "ready");
        if number == 0 {
            wait_until_suspect(host);
        }
    }
    check_blocked(host, &servers);
}

#[test]
fn a_server_that_falls_silent_counts_as_crashed() {
    let mut platform = Platform::new();
    let servers = add_servers(&mut platform, 8, |_| vec![Step::CrashSilently]);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..2 {
        let id = format!("crash-{number}");
        send_request(host, "GET /look/1", &id, "", CRASHING);
    }
    let crashed = crashing_requests(&servers);
    assert!(crashed <= BLOCKING_CRASHES, "{crashed} servers crashed");
}

/// The host has closed its connection by the time that the server crashes, so that only the removal
/// of the server's entry shows the crash.
#[test]
fn a_caller_that_leaves_does_not_hide_a_crash() {
    let mut platform = Platform::new();
    let (release, released) = mpsc::channel::<()>();
    let released = Arc::new(std::sync::Mutex::new(released));
    let servers = add_servers(&mut platform, 6, move |_| {
        let _ = released.lock().unwrap().recv();
        vec![Step::Crash]
    });
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..BLOCKING_CRASHES {
        let id = format!("crash-{number}");
        let mut connection = Connection::open(host.callers());
        connection.send(&request("POST /pay/1", &id, "", CRASHING));
        wait_until("the request runs", || server_of(&servers, &id).is_some());
        drop(connection);
        wait_until("the host knows that the caller left", || {
            let ended = host.logged("ended");
            ended
                .iter()
                .any(|line| line["id"] == id.as_str() && line["why"] == "caller left")
        });
        release.send(()).unwrap();
        let (name, _) = &servers[server_of(&servers, &id).unwrap()];
        platform.store.remove(&format!("servers/{name}"));
        if number == 0 {
            wait_until_suspect(host);
        }
    }
    check_blocked(host, &servers);
}

/// A content that completes is harmless, however many of its servers crash for another reason.
#[test]
fn a_popular_request_is_not_blocked_by_crashes_that_it_did_not_cause() {
    let mut platform = Platform::new();
    let crashes_left = Arc::new(AtomicUsize::new(0));
    let left = crashes_left.clone();
    for _ in 0..8 {
        let left = left.clone();
        platform.add_backend("orders", "v1", move |_, received| {
            let crashes = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                count.checked_sub(1)
            });
            if crashes.is_ok() {
                vec![Step::Crash]
            } else {
                ok(received)
            }
        });
    }
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let send = |id: &str| send_request(host, "GET /look/popular", id, "", "").status;
    assert_eq!(send("before"), 200);
    for round in 0..2 {
        crashes_left.store(2, Ordering::Relaxed);
        assert_eq!(send(&format!("crash-{round}")), 200);
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(send("after"), 200);
    assert_eq!(host.status()["blocked_contents"], 0);
}
