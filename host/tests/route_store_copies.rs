//! A store that comes back from an older copy of itself: its revisions go back and are given out again
//! in another era, and what it had acknowledged since the copy is gone.

mod route;

use std::sync::Arc;

use clementinearch_standins::{
    platform_store::{EndpointMode, StoreCopy},
    scripted_server::{ReceivedRequest, ScriptedServer, Step, signed_response},
};
use route::{Platform, send_request, wait_until};
use serde_json::{Value, json};

/// Entry of a server of another service; its changes stand for the heartbeats of a fleet.
const BEATING: &str = "servers/beating";

/// A platform with this many hosts of one zone, of which one reads the store for the others.
fn start(hosts: usize) -> Platform {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", named("v1"));
    platform.store.set_era("1");
    platform.start_hosts(hosts);
    for host in &platform.hosts {
        wait_until("the hosts know each other", || {
            host.status()["hosts"] == hosts
        });
    }
    platform
}

/// Script of a server that answers with its name.
fn named(name: &'static str) -> impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync {
    move |_, received| vec![Step::Send(signed_response(received, "200 OK", "", name))]
}

/// Changes the store's revision `times` times, and waits until all hosts have seen it.
fn beat(platform: &Platform, times: u64) {
    let mut revision = 0;
    for sequence in 0..times {
        let entry = json!({"service": "beating", "address": "127.9.9.9:8000", "zone": "a", "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": 1});
        revision = platform.store.put(BEATING, entry.to_string());
    }
    for host in &platform.hosts {
        wait_until("the host has seen it", || {
            host.status()["store_revision"].as_u64() >= Some(revision)
        });
    }
}

/// The store is away for a moment, and comes back from `copy` in `era`.
fn return_from(platform: &Platform, copy: &StoreCopy, era: u64) {
    let set_mode = |mode| {
        for host in &platform.hosts {
            host.store_endpoint.set_mode(mode);
        }
    };
    set_mode(EndpointMode::Refusing);
    platform.store.restore(copy, era);
    set_mode(EndpointMode::Normal);
}

/// Writes a configuration with the route `/new/`.
fn add_route(platform: &Platform, version: u64) {
    platform.configure(
        version,
        &json!([{"name": "new", "host": "a.example", "pathPrefix": "/new/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "orders", "maxAttempts": 3}]),
    );
}

fn wait_for_route(platform: &Platform) {
    for host in &platform.hosts {
        wait_until("the configuration is in force", || {
            send_request(host, "GET /new/1", "id", "", "").status == 200
        });
    }
}

fn check_era(platform: &Platform, era: u64) {
    for host in &platform.hosts {
        wait_until("the host knows the era", || {
            host.status()["store_era"] == era
        });
    }
}

/// Guards against hosts that wait for a revision from before the return, and never see a configuration
/// that was acknowledged after it.
#[test]
fn a_configuration_written_after_the_return_is_in_force() {
    let platform = start(3);
    let copy = platform.store.copy();
    beat(&platform, 40);
    return_from(&platform, &copy, 2);
    add_route(&platform, 2);
    wait_for_route(&platform);
    check_era(&platform, 2);
    wait_until("the return is reported", || {
        !platform.hosts[0].logged("store_restored").is_empty()
    });
}

/// The revisions of the second era have passed those of the first by then.
#[test]
fn a_configuration_is_in_force_after_revisions_have_passed_those_before_the_return() {
    let platform = start(2);
    let copy = platform.store.copy();
    beat(&platform, 3);
    for host in &platform.hosts {
        host.store_endpoint.set_mode(EndpointMode::Silent);
    }
    platform.store.restore(&copy, 2);
    // Given out again: the revisions at which the hosts know heartbeats.
    add_route(&platform, 2);
    for number in 0..20 {
        platform.store.put("other", number.to_string());
    }
    for host in &platform.hosts {
        host.store_endpoint.set_mode(EndpointMode::Normal);
    }
    wait_for_route(&platform);
}

#[test]
fn configurations_are_in_force_after_two_returns_in_a_row() {
    let platform = start(3);
    let copy = platform.store.copy();
    beat(&platform, 40);
    return_from(&platform, &copy, 2);
    beat(&platform, 1);
    return_from(&platform, &copy, 3);
    add_route(&platform, 2);
    wait_for_route(&platform);
    check_era(&platform, 3);
}

/// Guards against a host that starts at the return and gets the view of before from its zone's relay.
#[test]
fn hosts_that_start_at_the_return_agree_with_the_others() {
    let mut platform = start(2);
    let copy = platform.store.copy();
    beat(&platform, 40);
    return_from(&platform, &copy, 2);
    platform.hosts[1].kill();
    platform.hosts[1].restart();
    add_route(&platform, 2);
    let host = &platform.hosts[1];
    wait_until("the host is ready", || host.is_ready());
    wait_for_route(&platform);
    check_era(&platform, 2);
}

/// A configuration that was acknowledged in the lost seconds has been in force, and stays so.
#[test]
fn hosts_do_not_go_back_to_the_configuration_of_the_copy() {
    let platform = start(2);
    let copy = platform.store.copy();
    beat(&platform, 10);
    add_route(&platform, 2);
    wait_for_route(&platform);
    return_from(&platform, &copy, 2);
    check_era(&platform, 2);
    for host in &platform.hosts {
        let answer = send_request(host, "GET /new/1", "id", "", "");
        assert_eq!(answer.status, 200);
    }
    platform.configure(3, &json!([]));
    for host in &platform.hosts {
        wait_until("the next one is in force", || {
            send_request(host, "GET /new/1", "id", "", "").status == 404
        });
    }
}

/// Writes the entry of a server with its number.
fn put_numbered(platform: &Platform, name: &str, sequence: u64, state: &str) {
    let address = platform.address(name).to_string();
    let entry = json!({"service": "orders", "address": address, "zone": "a", "version": "v1", "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": 7});
    platform
        .store
        .put(&format!("servers/{name}"), entry.to_string());
}

/// A platform whose server `i-1` answers, beside `i-2`, which is in the copy and has left since as
/// `leave` says.
fn with_left_server(
    leave: impl Fn(&Platform, &str),
) -> (Platform, StoreCopy, Arc<ScriptedServer>, String) {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", named("v1"));
    let (name, server) = platform.add_backend("orders", "v1", named("left"));
    put_numbered(&platform, &name, 5, "ready");
    platform.store.set_era("1");
    platform.start_hosts(2);
    let copy = platform.store.copy();
    put_numbered(&platform, &name, 6, "ready");
    leave(&platform, &name);
    beat(&platform, 5);
    (platform, copy, server, name)
}

/// Checks that a server that the hosts know to leave gets nothing after the store has come back from a
/// copy in which it is ready.
fn check_left(leave: impl Fn(&Platform, &str)) {
    let (platform, copy, server, name) = with_left_server(leave);
    return_from(&platform, &copy, 2);
    check_era(&platform, 2);
    let before = server.requests().len();
    for number in 0..40 {
        for host in &platform.hosts {
            let answer = send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
            assert_eq!((answer.status, answer.body.as_str()), (200, "v1"));
        }
    }
    assert_eq!(server.requests().len(), before);
    // Its own next heartbeat says that it is there.
    put_numbered(&platform, &name, 7, "ready");
    for host in &platform.hosts {
        wait_until("the server is used", || {
            send_request(host, "GET /look/1", "id", "", "").body == "left"
        });
    }
}

#[test]
fn a_draining_server_that_is_ready_in_the_copy_gets_no_request() {
    check_left(|platform, name| put_numbered(platform, name, 6, "draining"));
}

#[test]
fn a_removed_server_that_is_in_the_copy_gets_no_request() {
    check_left(|platform, name| {
        platform.store.remove(&format!("servers/{name}"));
    });
}

/// Servers whose entries are lost stay in use until they have had time to write them again.
#[test]
fn servers_that_the_copy_lacks_stay_in_use() {
    let platform = start(1);
    let empty = Platform::new().store.copy();
    beat(&platform, 5);
    return_from(&platform, &empty, 2);
    check_era(&platform, 2);
    let host = &platform.hosts[0];
    let answer = send_request(host, "POST /pay/1", "id", "", "");
    assert_eq!(answer.status, 200);
}

/// Hosts find each other by their entries, which a copy may lack.
#[test]
fn entries_of_hosts_that_the_store_has_lost_are_written_again() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", named("v1"));
    platform.store.set_era("1");
    let copy = platform.store.copy();
    platform.start_hosts(2);
    let entries = || {
        let keys = platform.store.keys("clementinearch/hosts/");
        keys.len()
    };
    wait_until("both hosts have entries", || entries() == 2);
    beat(&platform, 10);
    return_from(&platform, &copy, 2);
    assert_eq!(entries(), 0);
    wait_until("both hosts have entries again", || entries() == 2);
}

fn order(platform: &Platform) {
    let order = json!({"service": "orders", "target": "v2", "durationS": 6.0});
    platform.store.put("op/rollout/orders", order.to_string());
}

fn rollout_state(platform: &Platform) -> Option<String> {
    let status = platform.store.get("status/rollout/orders")?;
    let status: Value = serde_json::from_slice(&status).unwrap();
    status["state"].as_str().map(str::to_owned)
}

/// Guards against a rollout that goes back to the state of the copy, behind servers that have been
/// stopped since.
#[test]
fn a_rollout_that_has_ended_stays_so_and_its_status_is_written_again() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", named("v1"));
    platform.add_backend("orders", "v2", named("v2"));
    platform.store.set_era("1");
    platform.start_hosts(2);
    order(&platform);
    wait_until("the rollout is in progress", || {
        rollout_state(&platform).as_deref() == Some("in_progress")
    });
    let copy = platform.store.copy();
    let mut number = 0;
    wait_until("the rollout has completed", || {
        number += 1;
        for host in &platform.hosts {
            send_request(host, "GET /look/1", &format!("id-{number}"), "", "");
        }
        rollout_state(&platform).as_deref() == Some("completed")
    });
    beat(&platform, 10);
    return_from(&platform, &copy, 2);
    assert_eq!(rollout_state(&platform).as_deref(), Some("in_progress"));
    check_era(&platform, 2);
    for host in &platform.hosts {
        let answer = send_request(host, "GET /look/1", "after", "", "");
        assert_eq!(answer.body, "v2");
    }
    wait_until("the status is written again", || {
        rollout_state(&platform).as_deref() == Some("completed")
    });
}

/// An era that is no number, or falls, is no answer of the store; hosts go on with what they know.
#[test]
fn odd_eras_are_reported_and_passed_over() {
    let platform = start(1);
    let host = &platform.hosts[0];
    for odd in ["0", "soon", "-1", "1.5", "18446744073709551616"] {
        let lost = || host.logged("store_lost").len();
        let before = lost();
        platform.store.set_era(odd);
        wait_until("the era is reported", || lost() > before);
        let answer = send_request(host, "POST /pay/1", odd, "", "");
        assert_eq!(answer.status, 200);
        platform.store.set_era("1");
        beat(&platform, 1);
    }
    add_route(&platform, 2);
    wait_for_route(&platform);
}
