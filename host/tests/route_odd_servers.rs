//! Odd entries among those of backend servers: they name no server to use, and all others hold.

mod odd;
mod route;

use odd::{Expected, Met, Variant, deep, play_all, with_field, without_field};
use route::{Platform, check_payments, ok, wait_until};
use serde_json::json;

const KEY: &str = "servers/odd";

/// A proper entry; its server is never reached.
const ENTRY: &str = r#"{"service":"spare","address":"127.9.9.9:8000","zone":"a","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}"#;

fn finding(value: impl Into<Vec<u8>>) -> Variant {
    Variant::new(KEY, value, Expected::Finding)
}

fn field(field: &str, value: &str) -> Variant {
    finding(with_field(ENTRY, field, value))
}

fn numbers() -> Vec<Variant> {
    let slots = [
        "-1",
        "1.5",
        "4294967295",
        "4294967296",
        "1e300",
        "1e400",
        "\"16\"",
        "null",
        "[16]",
    ];
    let born = ["-1", "1.5", "1e300", "1e400", "18446744073709551616"];
    let slots = slots.into_iter().map(|value| field("slots", value));
    slots
        .chain(born.into_iter().map(|value| field("born", value)))
        .collect()
}

fn addresses() -> Vec<Variant> {
    let addresses = [
        "127.9.9.9:70000",
        "127.9.9.9:-1",
        "127.9.9.9:0",
        "127.9.9.9",
        "0.0.0.0:8000",
        "[::]:8000",
        "224.0.0.1:8000",
        "[ff02::1]:8000",
        "255.255.255.255:8000",
        "somewhere.example:8000",
        "",
    ];
    let quoted = addresses.map(|address| field("address", &format!("\"{address}\"")));
    quoted.into()
}

fn forms() -> Vec<Variant> {
    let mut forms = vec![
        finding(""),
        finding("null"),
        finding("7"),
        finding("{}"),
        finding("[]"),
        finding(&ENTRY[..60]),
        finding([&[0xff, 0xfe][..], ENTRY.as_bytes()].concat()),
        finding(deep(127)),
        finding(deep(300_000)),
        field("zone", &deep(200)),
        field("zone", &deep(300_000)),
        finding(ENTRY.replace("{\"service\"", "{\"service\":\"spare\",\"service\"")),
        field("state", "\"odd\""),
        field("state", "7"),
        field("service", "7"),
        finding("x".repeat(1 << 20)),
        Variant::new(
            KEY,
            with_field(ENTRY, "sequence", &deep(300_000)),
            Expected::InForce,
        ),
        Variant::new(
            KEY,
            with_field(ENTRY, "sequence", "1e400"),
            Expected::InForce,
        ),
        Variant::new(
            KEY,
            with_field(ENTRY, "zone", &format!("\"{}\"", "z".repeat(1 << 20))),
            Expected::InForce,
        ),
        Variant::new(KEY, ENTRY, Expected::InForce),
    ];
    let required = ["service", "address", "zone", "version", "slots", "state"];
    forms.extend(required.map(|name| finding(without_field(ENTRY, name))));
    forms
}

fn names() -> Vec<Variant> {
    let odd = [
        "servers/",
        "servers/\u{f6}dd",
        "servers/a\nb",
        "servers/a\u{7f}",
    ];
    let unusual = [
        "servers/a b",
        "servers/a&b=c",
        "servers/a%41",
        "servers/a#b",
        "servers/a+b?",
    ];
    let odd = odd.map(|key| Variant::new(key, ENTRY, Expected::Finding));
    let unusual = unusual.map(|key| Variant::new(key, ENTRY, Expected::InForce));
    odd.into_iter().chain(unusual).collect()
}

fn all() -> Vec<Variant> {
    [numbers(), addresses(), forms(), names()].concat()
}

#[test]
fn an_odd_entry_of_a_server_at_the_first_read_names_no_server() {
    play_all(&all(), Met::FirstRead);
}

#[test]
fn an_odd_entry_of_a_server_in_a_change_names_no_server() {
    play_all(&all(), Met::Change);
}

#[test]
fn an_odd_entry_of_a_server_from_a_peer_names_no_server() {
    play_all(&all(), Met::FromPeer);
}

/// A request to such a server would come back to the host, which would send it again.
#[test]
fn an_entry_with_an_address_of_the_host_itself_names_no_server() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let own = [host.callers(), host.readiness(), host.admin(), host.peers()];
    for (number, address) in own.into_iter().enumerate() {
        platform.write_entry(&format!("own-{number}"), "orders", "v1", address, "ready");
    }
    platform.configure(2, &json!([]));
    wait_until("the change is in force", || {
        host.status()["routing_version"] == 2
    });
    assert_eq!(host.status()["servers"], 1);
    check_payments(host, 4, 200);
    wait_until("each is in a finding", || {
        host.logged("item_unreadable").len() == own.len()
    });
}
