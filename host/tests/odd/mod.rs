//! Odd items of other writers in the store, and what hosts must make of them.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use serde_json::json;

use crate::route::{Connection, Host, Platform, ok, request, wait_until};

/// Variants that are played at a time.
const PARALLEL: usize = 4;

/// When hosts meet an odd item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// At their first read.
    FirstRead,
    /// In a change.
    Change,
    /// In a change, with one host that reads the store for another.
    FromPeer,
}

/// What hosts must make of an odd item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Its key is in a finding, and it has no effect.
    Finding,
    /// Something of it is in a finding, and it has no effect.
    FindingWithoutKey,
    /// It is a proper item.
    InForce,
    /// It has no effect on the others.
    Harmless,
}

/// An odd item.
#[derive(Clone, Debug)]
pub struct Variant {
    pub name: String,
    pub key: String,
    pub value: Vec<u8>,
    /// JSON in place of the whole item in the store's responses.
    pub json: Option<String>,
    pub expected: Expected,
}

impl Variant {
    pub fn new(key: &str, value: impl Into<Vec<u8>>, expected: Expected) -> Self {
        let value = value.into();
        let text = String::from_utf8_lossy(&value);
        let shown: String = text.chars().take(120).collect();
        Self {
            name: format!("{key} = {shown}"),
            key: key.to_owned(),
            value,
            json: None,
            expected,
        }
    }

    pub fn replaced(key: &str, json: &str, expected: Expected) -> Self {
        let shown: String = json.chars().take(120).collect();
        Self {
            name: format!("item {shown}"),
            key: key.to_owned(),
            value: Vec::new(),
            json: Some(json.to_owned()),
            expected,
        }
    }

    fn write(&self, platform: &Platform) {
        match &self.json {
            Some(json) => platform.store.put_replaced(&self.key, json),
            None => platform.store.put(&self.key, self.value.clone()),
        };
    }
}

/// JSON of `depth` lists, one in the other.
pub fn deep(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Replaces the value of a field in the text of an object.
pub fn with_field(object: &str, field: &str, value: &str) -> String {
    let start = object.find(&format!("\"{field}\":")).unwrap() + field.len() + 3;
    let end = start + object[start..].find([',', '}']).unwrap();
    format!("{}{value}{}", &object[..start], &object[end..])
}

/// The text of an object without a field.
pub fn without_field(object: &str, field: &str) -> String {
    let replaced = with_field(object, field, "0");
    let removed = replaced.replace(&format!("\"{field}\":0,"), "");
    removed.replace(&format!(",\"{field}\":0"), "")
}

fn is_served(host: &Host, line: &str) -> bool {
    let Some(mut connection) = Connection::try_open(host.callers()) else {
        return false;
    };
    connection.try_send(&request(line, "id-1", "", "")) && connection.read().status == 200
}

/// Plays an item: what is written after it must take effect, and what was before stays.
fn play(variant: &Variant, met: Met) {
    let mut platform = Platform::new();
    let (_, server) = platform.add_backend("orders", "v1", |_, received| ok(received));
    if met == Met::FirstRead {
        variant.write(&platform);
    }
    let hosts = if met == Met::FromPeer { 2 } else { 1 };
    for _ in 0..hosts {
        platform.launch_host();
    }
    if met != Met::FirstRead {
        for host in &platform.hosts {
            wait_until("the host is ready", || host.is_ready());
            wait_until("the hosts know each other", || {
                host.status()["hosts"] == hosts
            });
        }
        variant.write(&platform);
    } else {
        let host = &platform.hosts[0];
        wait_until("the first read is done", || {
            host.is_ready() || !host.logged("item_unreadable").is_empty()
        });
    }
    platform.add_backend("later", "v1", |_, received| ok(received));
    let route = json!({"name": "later", "host": "a.example", "pathPrefix": "/later/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "later", "maxAttempts": 3});
    platform.configure(20, &json!([route]));
    let servers = if variant.expected == Expected::InForce && variant.key.starts_with("servers/") {
        3
    } else {
        2
    };
    for host in &platform.hosts {
        wait_until("later items are in force", || {
            is_served(host, "POST /later/1")
        });
        wait_until("earlier items are in force", || {
            is_served(host, "POST /look/1")
        });
        if variant.expected != Expected::Harmless {
            assert_eq!(host.status()["servers"], servers, "servers in use");
        }
    }
    assert!(!server.requests().is_empty());
    let is_finding = |line: &serde_json::Value| match variant.expected {
        Expected::Finding => line["server"] == *variant.key,
        _ => true,
    };
    if matches!(
        variant.expected,
        Expected::Finding | Expected::FindingWithoutKey
    ) {
        wait_until("the item is in a finding", || {
            let mut hosts = platform.hosts.iter();
            hosts.any(|host| host.logged("item_unreadable").iter().any(is_finding))
        });
    }
    for host in &mut platform.hosts {
        assert!(!host.has_exited(), "a host has ended");
        assert!(host.is_ready(), "a host is not ready");
        assert_eq!(host.logged("panicked"), Vec::<serde_json::Value>::new());
    }
    if variant.key.starts_with("op/rollout/") {
        assert_eq!(platform.store.get("status/rollout/orders"), None);
    }
}

/// Plays all variants, and names those that fail.
pub fn play_all(variants: &[Variant], met: Met) {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL {
            scope.spawn(|| {
                while let Some(variant) = variants.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = catch_unwind(AssertUnwindSafe(|| play(variant, met)));
                    if played.is_err() {
                        failed.lock().unwrap().push(variant.name.clone());
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    let count = failed.len();
    let all = variants.len();
    assert!(
        failed.is_empty(),
        "{met:?}: {count} of {all} failed:\n{}",
        failed.join("\n")
    );
}
