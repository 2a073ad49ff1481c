//! Odd items of the hosts' own kinds, items that are no items, and odd keys: the list goes on.

mod odd;
mod route;

use clementinearch_standins::platform_store::{EndpointMode, PlatformStore};
use odd::{Expected, Met, Variant, deep, play_all};
use route::{Platform, ok, send_request, wait_until};
use serde_json::json;

fn own_items() -> Vec<Variant> {
    let host = "clementinearch/hosts/other";
    let hosts = [
        r#"{"address":"127.9.9.9:70000"}"#,
        r#"{"address":"127.9.9.9:0"}"#,
        r#"{"address":"0.0.0.0:7070"}"#,
        r#"{"address":"224.0.0.1:7070"}"#,
        r#"{"address":7}"#,
        r#"{"place":"127.9.9.9:7070"}"#,
        "",
    ];
    let mut variants: Vec<Variant> = hosts
        .map(|value| Variant::new(host, value, Expected::Finding))
        .into();
    variants.push(Variant::new(host, deep(300_000), Expected::Finding));
    let newer = r#"{"address":"127.9.9.9:7070","build":{"number":1e300},"since":-1}"#;
    variants.push(Variant::new(host, newer, Expected::Harmless));
    let blocks = [
        "clementinearch/blocked/",
        "clementinearch/blocked/odd",
        "clementinearch/blocked/-1",
        "clementinearch/blocked/+1",
        "clementinearch/blocked/11112222333344445",
        "clementinearch/blocked-parts/",
        "clementinearch/blocked-parts/odd",
    ];
    variants.extend(blocks.map(|key| Variant::new(key, "", Expected::Finding)));
    let unknown = [
        "clementinearch/new/kind",
        "op/other",
        "somewhere/else",
        "\u{f6}dd",
    ];
    variants.extend(unknown.map(|key| Variant::new(key, deep(300_000), Expected::Harmless)));
    variants
}

fn no_items() -> Vec<Variant> {
    let key = "servers/odd";
    let with_key = [
        r#"{"key":"servers/odd","value":"%%%","revision":7}"#,
        r#"{"key":"servers/odd","value":"e30","revision":7}"#,
        r#"{"key":"servers/odd","value":7,"revision":7}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":-1}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":1.5}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":1e400}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":18446744073709551616}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":18446744073709551615}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":"7"}"#,
        r#"{"key":"servers/odd","value":"e30="}"#,
        r#"{"key":"servers/odd","value":"e30=","value":"e30=","revision":7}"#,
        r#"{"key":"servers/odd","value":"e30=","revision":7,"tombstone":"yes"}"#,
    ];
    let without_key = [
        r#"{"value":"e30=","revision":7}"#,
        r#"{"key":7,"value":"e30=","revision":7}"#,
        "null",
        "7",
        "1e400",
        "\"text\"",
        "[]",
    ];
    let with_key = with_key.map(|json| Variant::replaced(key, json, Expected::Finding));
    let without_key =
        without_key.map(|json| Variant::replaced(key, json, Expected::FindingWithoutKey));
    let mut variants: Vec<Variant> = with_key.into_iter().chain(without_key).collect();
    variants.push(Variant::replaced(
        key,
        &deep(300_000),
        Expected::FindingWithoutKey,
    ));
    let additional = r#"{"key":"servers/odd","value":"e30=","revision":7,"lease":1e400,"more":-1}"#;
    variants.push(Variant::replaced(key, additional, Expected::Finding));
    variants
}

fn all() -> Vec<Variant> {
    [own_items(), no_items()].concat()
}

#[test]
fn an_odd_item_at_the_first_read_leaves_all_others_in_force() {
    play_all(&all(), Met::FirstRead);
}

#[test]
fn an_odd_item_in_a_change_leaves_all_others_in_force() {
    play_all(&all(), Met::Change);
}

#[test]
fn an_odd_item_from_a_peer_leaves_all_others_in_force() {
    play_all(&all(), Met::FromPeer);
}

/// Writes items so that `key` is the last one of the first page.
fn fill_first_page(store: &PlatformStore, key: &str) {
    const PAGE_ITEMS: usize = 100;
    store.put(key, "");
    for number in 1..PAGE_ITEMS {
        store.put(&format!(" {number:03}"), "");
    }
}

#[test]
fn a_page_that_ends_with_an_odd_key_is_not_the_last() {
    let keys = [
        "!a b",
        "!a&b",
        "!a&after=zzz",
        "!a%41",
        "!a%",
        "!a#b",
        "!a+b",
        "!a=b",
        "!a?b",
        "!a\"b",
        "!a\\b",
        "!a\nb",
        "!\u{f6}dd",
        "!a\u{7f}",
        "!\u{1f35e}",
        "!a/b",
    ];
    let mut failed = Vec::new();
    for key in keys {
        let mut platform = Platform::new();
        fill_first_page(&platform.store, key);
        platform.add_backend("orders", "v1", |_, received| ok(received));
        platform.launch_host();
        let host = &platform.hosts[0];
        // The endpoint has been asked for the second page twice over, or the host serves.
        wait_until("the host has read", || {
            host.is_ready()
                || platform.store.calls("/v1/kv-range") >= 6
                || !host.logged("store_lost").is_empty()
        });
        if !host.is_ready() {
            failed.push(key);
        }
    }
    assert!(failed.is_empty(), "{} of 16: {failed:?}", failed.len());
}

/// A page may hold nothing that can be read.
#[test]
fn a_page_of_odd_items_is_not_the_last() {
    let mut platform = Platform::new();
    for number in 0..250 {
        let key = format!(" {number:03}");
        let json = json!({"key": key, "value": "%%%", "revision": 1});
        platform.store.put_replaced(&key, &json.to_string());
    }
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let answer = send_request(&platform.hosts[0], "POST /look/1", "id-1", "", "");
    assert_eq!(answer.status, 200);
}

#[test]
fn fifteen_thousand_odd_entries_leave_all_others_in_force() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    for number in 0..15_000 {
        platform
            .store
            .put(&format!("servers/odd-{number:05}"), "{}");
    }
    platform.start_hosts(1);
    for number in 0..15_000 {
        platform
            .store
            .put(&format!("servers/odd-{number:05}"), "[]");
    }
    platform.configure(2, &json!([]));
    let host = &platform.hosts[0];
    wait_until("the change is in force", || {
        host.status()["routing_version"] == 2
    });
    assert_eq!(host.status()["servers"], 1);
}

/// Both are in one answer of the store.
#[test]
fn an_entry_that_is_written_again_after_an_odd_one_is_in_force() {
    let odd = [
        r#"{"key":"servers/i-1","value":"%%%","revision":3}"#,
        r#"{"key":"servers/i-1","value":"e30=","revision":-1}"#,
        r#"{"key":"servers/i-1","value":"%%%"}"#,
    ];
    for json in odd {
        let mut platform = Platform::new();
        platform.add_backend("orders", "v1", |_, received| ok(received));
        platform.start_hosts(2);
        for host in &platform.hosts {
            wait_until("the hosts know each other", || host.status()["hosts"] == 2);
            host.store_endpoint.set_mode(EndpointMode::Refusing);
        }
        platform.store.put_replaced("servers/i-1", json);
        let address = platform.address("i-1");
        platform.write_entry("i-1", "orders", "v2", address, "ready");
        platform.configure(2, &json!([]));
        for host in &platform.hosts {
            host.store_endpoint.set_mode(EndpointMode::Normal);
        }
        for host in &platform.hosts {
            wait_until("the change is in force", || {
                host.status()["routing_version"] == 2
            });
            assert_eq!(host.status()["servers"], 1, "{json}");
        }
        wait_until("the odd one is in a finding", || {
            let mut hosts = platform.hosts.iter();
            hosts.any(|host| !host.logged("item_unreadable").is_empty())
        });
    }
}
