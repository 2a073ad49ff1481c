//! Odd entries of other writers in the host list and in the head of the configuration, in front of the
//! product's own interface: all others hold.

mod fleet;

use std::panic::{AssertUnwindSafe, catch_unwind};

use clementinearch_policy::config_head::HEAD_KEY;
use clementinearch_storage::{Purpose, Store};
use fleet::{Fleet, chat, chat_body, model, plan, wait_until};
use serde_json::{Value, json};

/// Entries of the host list.
fn odd_entries() -> Vec<String> {
    let entry = json!({"name": "odd", "role": "backend", "zone": "a", "address": "127.9.9.9:8000", "pool": "engines", "state": "live"});
    let with = |field: &str, value: &str| {
        let mut entry = entry.clone();
        entry[field] = "REPLACED".into();
        entry.to_string().replace("\"REPLACED\"", value)
    };
    let without = |field: &str| {
        let mut entry = entry.clone();
        entry.as_object_mut().unwrap().remove(field);
        entry.to_string()
    };
    vec![
        with("state", "\"odd\""),
        with("state", "7"),
        with("role", "\"odd\""),
        with("role", "null"),
        with("address", "7"),
        with("address", "\"127.9.9.9:70000\""),
        with("address", "\"127.9.9.9:0\""),
        with("address", "\"0.0.0.0:8000\""),
        with("address", "\"\""),
        with("name", "1e400"),
        with(
            "zone",
            &format!("{}{}", "[".repeat(10_000), "]".repeat(10_000)),
        ),
        without("name"),
        without("zone"),
        without("state"),
        with("more", "1e400"),
        "null".to_owned(),
        "7".to_owned(),
        "[]".to_owned(),
    ]
}

/// Sets a host list whose first entry is odd.
fn set_odd_list(fleet: &Fleet, entry: &str) {
    let mut list = serde_json::to_value(fleet.host_list()).unwrap();
    let hosts = list["hosts"].as_array_mut().unwrap();
    hosts.insert(0, Value::from("ODD"));
    let text = list.to_string().replace("\"ODD\"", entry);
    fleet.store.set_hosts_text(text);
}

fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.start_engine("a", &["v1"]);
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet
}

fn is_served(fleet: &Fleet) -> bool {
    let answer = chat(&fleet.hosts[0], "one", &[], &chat_body("x", 1, false));
    answer.status == 200
}

/// Plays variants, and names those that fail.
fn check(variants: &[String], play: impl Fn(&str)) {
    let fails = |variant: &&String| catch_unwind(AssertUnwindSafe(|| play(variant))).is_err();
    let shown = |variant: &String| variant.chars().take(150).collect::<String>();
    let failed: Vec<String> = variants.iter().filter(fails).map(shown).collect();
    let (count, all) = (failed.len(), variants.len());
    assert!(
        failed.is_empty(),
        "{count} of {all} failed:\n{}",
        failed.join("\n")
    );
}

#[test]
fn an_odd_entry_of_the_host_list_at_the_first_read_leaves_all_others() {
    check(&odd_entries(), |entry| {
        let mut fleet = start_fleet();
        fleet.start_host("a-0", "a");
        set_odd_list(&fleet, entry);
        wait_until("the host is ready", || fleet.hosts[0].is_ready());
        wait_until("the host serves", || is_served(&fleet));
    });
}

#[test]
fn an_odd_entry_of_the_host_list_in_a_change_leaves_all_others() {
    check(&odd_entries(), |entry| {
        let mut fleet = start_fleet();
        fleet.start_hosts(&["a"]);
        fleet.wait_serving(0, "one");
        let second = fleet.start_engine("a", &["v1"]);
        set_odd_list(&fleet, entry);
        fleet.kill_backend(0);
        wait_until("the second engine serves", || is_served(&fleet));
        assert!(fleet.started_requests(second) > 0);
    });
}

/// Writes the head as another writer would, from the head in the store.
fn write_head(fleet: &Fleet, change: impl FnOnce(&mut Value) -> String) {
    let found = fleet
        .store
        .get(HEAD_KEY, Purpose::Operator)
        .unwrap()
        .unwrap();
    let mut head: Value = serde_json::from_str(&found.value).unwrap();
    let text = change(&mut head);
    let written = fleet
        .store
        .put(HEAD_KEY, found.version, &text, None, Purpose::Operator);
    written.unwrap();
}

#[test]
fn an_odd_head_leaves_the_configuration_in_force_and_the_next_one_takes_effect() {
    let revisions = [
        "18446744073709551615",
        "9007199254740993",
        "18446744073709551616",
        "-1",
        "1e300",
        "null",
    ];
    let variants = revisions.map(str::to_owned);
    check(&variants, |revision| {
        let mut fleet = start_fleet();
        fleet.start_hosts(&["a"]);
        fleet.wait_serving(0, "one");
        let good = fleet
            .store
            .get(HEAD_KEY, Purpose::Operator)
            .unwrap()
            .unwrap();
        write_head(&fleet, |head| {
            head["revision"] = "REPLACED".into();
            head.to_string().replace("\"REPLACED\"", revision)
        });
        wait_until("the host names a finding", || {
            fleet.hosts[0].status().is_some_and(|status| {
                let mut hosts = status.hosts.iter();
                hosts.any(|host| host.findings.iter().any(|it| it.contains(HEAD_KEY)))
            })
        });
        assert!(is_served(&fleet));
        // The operator writes the last good head again, then an edit.
        write_head(&fleet, |_| good.value.clone());
        let revision = fleet.edit(&[("plan/two", &plan("two", &["v1"]))]);
        fleet.wait_in_force(revision);
        fleet.wait_serving(0, "two");
    });
}
