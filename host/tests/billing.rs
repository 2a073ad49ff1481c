//! Each request is billed once.

mod fleet;

use std::collections::BTreeMap;

use clementinearch_border::{BillRecord, LedgerPage};
use clementinearch_policy::request_id::RequestId;
use clementinearch_standins::memory_store::Faults;
use fleet::{
    Answer, Fleet, STORE_DOWN, body_lines, chat, chat_body, now, send_streaming, wait_until,
};

fn new_id() -> String {
    RequestId::new(now()).simple()
}

fn ask(fleet: &Fleet, host: usize, id: &str) -> Answer {
    chat(
        &fleet.hosts[host],
        "one",
        &[("x-request-id", id)],
        &chat_body("side A", 3, true),
    )
}

/// The ledger as the store holds it; panics if an id stands twice.
fn ledger(fleet: &Fleet) -> BTreeMap<String, BillRecord> {
    let mut bills = BTreeMap::new();
    for (key, text) in fleet.store.dump("ledger/") {
        let page: LedgerPage = serde_json::from_str(&text).unwrap();
        for record in page.records {
            let id = record.id.clone();
            assert!(
                bills.insert(id.clone(), record).is_none(),
                "{id} is billed twice, again in {key}"
            );
        }
    }
    bills
}

fn wait_billed(fleet: &Fleet, ids: &[String]) {
    wait_until("all requests are billed", || {
        let bills = ledger(fleet);
        ids.iter().all(|id| bills.contains_key(id))
    });
}

#[test]
fn a_request_sent_again_through_another_host_is_billed_once() {
    let fleet = Fleet::serving("", 2, &["a", "a", "b"]);
    let ids: Vec<String> = (0..10).map(|_| new_id()).collect();
    for id in &ids {
        for host in [0, 1, 2, 0] {
            assert!(ask(&fleet, host, id).is_whole());
        }
    }
    wait_billed(&fleet, &ids);
    let bill = &ledger(&fleet)[&ids[0]];
    assert_eq!(
        (bill.account.as_str(), bill.model.as_str()),
        ("one", "review@v1")
    );
    assert_eq!(
        (bill.completion_tokens, bill.prompt_tokens, bill.whole),
        (3, 2, true)
    );
}

#[test]
fn a_bill_outlives_the_host_that_answered() {
    let mut fleet = Fleet::serving("", 2, &["a", "a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..10).map(|_| new_id()).collect();
    for id in &ids {
        assert!(ask(&fleet, 0, id).is_whole());
    }
    fleet.hosts[0].process.kill();
    fleet.store.set_faults(Faults::default());
    wait_billed(&fleet, &ids);
}

#[test]
fn a_host_killed_mid_answer_leaves_one_bill_after_the_caller_sent_again() {
    let mut fleet = Fleet::serving("", 2, &["a", "a", "a"]);
    let id = new_id();
    let headers = [
        ("authorization", "Bearer one"),
        ("x-request-id", id.as_str()),
    ];
    let path = "/v1/chat/completions";
    let response = send_streaming(
        "POST",
        fleet.hosts[0].callers(),
        path,
        &headers,
        &chat_body("side A", 400, true),
    );
    let mut lines = body_lines(response.unwrap());
    assert!(lines.any(|line| line.starts_with("data: ")));
    fleet.hosts[0].process.kill();
    assert!(!lines.any(|line| line == "data: [DONE]"));
    assert!(ask(&fleet, 1, &id).is_whole());
    wait_billed(&fleet, std::slice::from_ref(&id));
    assert!(ledger(&fleet)[&id].whole);
}

#[test]
fn bills_wait_out_an_outage_of_the_store() {
    let fleet = Fleet::serving("", 2, &["a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..30).map(|_| new_id()).collect();
    for (number, id) in ids.iter().enumerate() {
        assert!(ask(&fleet, number % 2, id).is_whole());
    }
    wait_until("writes were tried", || {
        fleet.hosts[0].counter("clementinearch_store_failures_total{purpose=\"ledger\"}") > 3
    });
    fleet.store.set_faults(Faults {
        lose_answers: 5,
        ..Faults::default()
    });
    wait_billed(&fleet, &ids);
    wait_until("nothing is held any more", || {
        fleet
            .hosts
            .iter()
            .all(|host| host.counter("clementinearch_ledger_pages_held") == 0)
    });
    ledger(&fleet);
}

#[test]
fn an_owner_frozen_while_its_heir_writes_adds_nothing_when_it_wakes() {
    let fleet = Fleet::serving("", 2, &["a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..20).map(|_| new_id()).collect();
    for id in &ids {
        assert!(ask(&fleet, 1, id).is_whole());
    }
    // Both hosts hold each bill; one sleeps while the other writes all of them.
    fleet.hosts[0].process.signal("STOP");
    fleet.store.set_faults(Faults::default());
    wait_billed(&fleet, &ids);
    fleet.hosts[0].process.signal("CONT");
    wait_until("the sleeper holds nothing any more", || {
        fleet.hosts[0].counter("clementinearch_ledger_pages_held") == 0
    });
    ledger(&fleet);
}

/// Opens a long stream and reads until its first chunk.
fn begin_long_stream(fleet: &Fleet, id: &str) -> impl Iterator<Item = String> {
    let headers = [("authorization", "Bearer one"), ("x-request-id", id)];
    let path = "/v1/chat/completions";
    let body = chat_body("side A", 100_000, true);
    let response = send_streaming("POST", fleet.hosts[0].callers(), path, &headers, &body);
    let mut lines = body_lines(response.unwrap());
    assert!(lines.any(|line| line.starts_with("data: ")));
    lines
}

#[test]
fn an_answer_whose_caller_left_is_billed_as_far_as_it_came() {
    let fleet = Fleet::serving("", 1, &["a"]);
    let id = new_id();
    drop(begin_long_stream(&fleet, &id));
    wait_billed(&fleet, std::slice::from_ref(&id));
    let bill = &ledger(&fleet)[&id];
    assert!(!bill.whole && bill.completion_tokens > 0, "{bill:?}");
}
