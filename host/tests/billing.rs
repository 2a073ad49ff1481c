//! Each request is billed exactly once, despite retries, crashed or paused hosts and store outages.

mod fleet;

use std::collections::BTreeMap;

use clementinearch_border::{BillRecord, LedgerPage};
use clementinearch_policy::request_id::RequestId;
use clementinearch_standins::memory_store::Faults;
use fleet::{
    Answer, Fleet, STORE_DOWN, body_lines, chat, chat_body, now, send_streaming, wait_until,
};

fn new_request_id() -> String {
    RequestId::new(now()).simple()
}

fn stream_chat(fleet: &Fleet, host: usize, id: &str) -> Answer {
    chat(
        &fleet.hosts[host],
        "one",
        &[("x-request-id", id)],
        &chat_body("side A", 3, true),
    )
}

/// Returns the bills in the store by request id. Panics if a request is billed twice.
fn stored_bills(fleet: &Fleet) -> BTreeMap<String, BillRecord> {
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
        let bills = stored_bills(fleet);
        ids.iter().all(|id| bills.contains_key(id))
    });
}

/// Several hosts then hold a bill with the same request id.
#[test]
fn a_request_retried_through_other_hosts_is_billed_once() {
    let fleet = Fleet::serving("", 2, &["a", "a", "b"]);
    let ids: Vec<String> = (0..10).map(|_| new_request_id()).collect();
    for id in &ids {
        for host in [0, 1, 2, 0] {
            assert!(stream_chat(&fleet, host, id).is_whole());
        }
    }
    wait_billed(&fleet, &ids);
    let bill = &stored_bills(&fleet)[&ids[0]];
    assert_eq!(
        (bill.account.as_str(), bill.model.as_str()),
        ("one", "review@v1")
    );
    assert_eq!(
        (bill.completion_tokens, bill.prompt_tokens, bill.whole),
        (3, 2, true)
    );
}

/// A host that crashes before the store has its bills must not take them with it: a second host
/// holds a copy of each.
#[test]
fn bills_survive_a_crash_of_the_host_that_served_the_requests() {
    let mut fleet = Fleet::serving("", 2, &["a", "a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..10).map(|_| new_request_id()).collect();
    for id in &ids {
        assert!(stream_chat(&fleet, 0, id).is_whole());
    }
    fleet.hosts[0].process.kill();
    fleet.store.set_faults(Faults::default());
    wait_billed(&fleet, &ids);
}

/// A bill of the incomplete stream must neither be added to the bill of the retry nor replace it.
#[test]
fn a_retry_after_a_host_crashed_mid_stream_is_billed_once_as_complete() {
    let mut fleet = Fleet::serving("", 2, &["a", "a", "a"]);
    let id = new_request_id();
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
    assert!(stream_chat(&fleet, 1, &id).is_whole());
    wait_billed(&fleet, std::slice::from_ref(&id));
    assert!(stored_bills(&fleet)[&id].whole);
}

/// The first writes after the outage take effect but lose their responses, so that hosts retry
/// them.
#[test]
fn bills_are_held_during_a_store_outage_and_written_once_after_it() {
    let fleet = Fleet::serving("", 2, &["a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..30).map(|_| new_request_id()).collect();
    for (number, id) in ids.iter().enumerate() {
        assert!(stream_chat(&fleet, number % 2, id).is_whole());
    }
    wait_until("ledger writes have failed", || {
        fleet.hosts[0].counter("clementinearch_store_failures_total{purpose=\"ledger\"}") > 3
    });
    fleet.store.set_faults(Faults {
        lose_answers: 5,
        ..Faults::default()
    });
    wait_billed(&fleet, &ids);
    wait_until("no host holds bills", || {
        fleet
            .hosts
            .iter()
            .all(|host| host.counter("clementinearch_ledger_pages_held") == 0)
    });
    // Panics if a request is billed twice.
    stored_bills(&fleet);
}

/// When it resumes, the host still holds bills that the other one has written meanwhile.
#[test]
fn a_paused_host_that_resumes_does_not_write_bills_again() {
    let fleet = Fleet::serving("", 2, &["a", "a"]);
    fleet.store.set_faults(STORE_DOWN);
    let ids: Vec<String> = (0..20).map(|_| new_request_id()).collect();
    for id in &ids {
        assert!(stream_chat(&fleet, 1, id).is_whole());
    }
    // Both hosts hold a copy of each bill. Host 1 writes them all while host 0 is paused.
    fleet.hosts[0].process.signal("STOP");
    fleet.store.set_faults(Faults::default());
    wait_billed(&fleet, &ids);
    fleet.hosts[0].process.signal("CONT");
    wait_until("the resumed host holds no bills", || {
        fleet.hosts[0].counter("clementinearch_ledger_pages_held") == 0
    });
    // Panics if a request is billed twice.
    stored_bills(&fleet);
}

/// Opens a long stream, reads its first chunk and returns the remaining lines.
fn open_long_stream(fleet: &Fleet, id: &str) -> impl Iterator<Item = String> {
    let headers = [("authorization", "Bearer one"), ("x-request-id", id)];
    let path = "/v1/chat/completions";
    let body = chat_body("side A", 100_000, true);
    let response = send_streaming("POST", fleet.hosts[0].callers(), path, &headers, &body);
    let mut lines = body_lines(response.unwrap());
    assert!(lines.any(|line| line.starts_with("data: ")));
    lines
}

#[test]
fn a_stream_cancelled_by_its_caller_is_billed_as_incomplete() {
    let fleet = Fleet::serving("", 1, &["a"]);
    let id = new_request_id();
    drop(open_long_stream(&fleet, &id));
    wait_billed(&fleet, std::slice::from_ref(&id));
    let bill = &stored_bills(&fleet)[&id];
    assert!(!bill.whole && bill.completion_tokens > 0, "{bill:?}");
}
