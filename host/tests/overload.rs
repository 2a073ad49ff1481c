//! A large account's overload leaves a small one its service; what is refused is refused at once.

mod fleet;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use clementinearch_border::RunState;
use fleet::{
    Fleet, body_lines, chat, chat_body, model, now, plan, send, send_streaming, wait_until,
};

const HEAVY_CALLERS: usize = 60;
const LIGHT_REQUESTS: usize = 20;

/// Tokens of a heavy answer: half a second, so that all callers together want over twice the longest
/// wait at any speed of the machine.
const HEAVY_TOKENS: u32 = 100;

/// Refusals that are waited for: enough to tell their times apart.
const REFUSALS: u64 = 40;

#[test]
fn a_small_account_is_served_while_a_large_one_is_refused() {
    let mut fleet = Fleet::new();
    fleet.start_backend(
        "engine",
        "reviewers",
        "a",
        &["--version", "review@v1", "--slots", "4"],
    );
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("plan/heavy", &plan("heavy", &["v1"])),
        ("plan/light", &plan("light", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "light");
    wait_until("the slots are known", || {
        fleet.hosts[0].counter("clementinearch_pool_limit") == 5
    });

    let stop = Arc::new(AtomicBool::new(false));
    let callers = fleet.hosts[0].callers();
    let heavy = |number: usize| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let headers = [("authorization", "Bearer heavy")];
            let body = chat_body(&format!("heavy {number}"), HEAVY_TOKENS, false);
            let mut refusals = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let answer =
                    send("POST", callers, "/v1/chat/completions", &headers, &body).unwrap();
                if answer.status != 200 {
                    refusals.push(answer);
                }
            }
            refusals
        })
    };
    let heavy: Vec<_> = (0..HEAVY_CALLERS).map(heavy).collect();
    wait_until("the pool is full", || {
        fleet.hosts[0].counter("clementinearch_pool_waiting") > 5
    });
    wait_until("the large account is refused", || {
        fleet.hosts[0].counter("clementinearch_refusals_total") > REFUSALS
    });
    for number in 0..LIGHT_REQUESTS {
        let answer = chat(
            &fleet.hosts[0],
            "light",
            &[],
            &chat_body(&format!("light {number}"), 20, false),
        );
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    stop.store(true, Ordering::Relaxed);
    let refusals: Vec<_> = heavy
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    assert!(!refusals.is_empty(), "the overload was none");
    for refusal in &refusals {
        let error = refusal.error();
        assert_eq!(
            (refusal.status, error.code.as_str(), error.run),
            (429, "overloaded", RunState::NotRun)
        );
        assert!(error.retry_after_ms.is_some());
    }
    // Callers are not told to come back together: the times spread over half of the longest, and
    // no millisecond is told to more than a twentieth.
    let mut told: BTreeMap<u64, usize> = BTreeMap::new();
    for refusal in &refusals {
        *told
            .entry(refusal.error().retry_after_ms.unwrap())
            .or_default() += 1;
    }
    let (first, last) = (
        told.keys().next().unwrap(),
        told.keys().next_back().unwrap(),
    );
    assert!(
        first * 3 < last * 2,
        "told to come back after {first} to {last} ms"
    );
    let most = told.values().max().unwrap();
    assert!(
        *most <= refusals.len().div_ceil(20),
        "{most} of {} are told the same",
        refusals.len()
    );
    // Nothing is left behind when all have gone.
    wait_until("the gate is empty", || {
        fleet.hosts[0].counter("clementinearch_pool_running") == 0
    });
}

#[test]
fn a_deadline_that_passes_in_the_queue_says_not_run() {
    let mut fleet = Fleet::new();
    fleet.start_backend(
        "engine",
        "reviewers",
        "a",
        &["--version", "review@v1", "--slots", "1"],
    );
    let versions = model(&[("v1", "established")]);
    fleet.edit(&[
        ("model/review", &versions),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "one");
    wait_until("the slots are known", || {
        fleet.hosts[0].counter("clementinearch_pool_limit") == 2
    });
    let headers = [("authorization", "Bearer one")];
    let long = chat_body("long", 100_000, true);
    let running: Vec<_> = (0..2)
        .map(|_| {
            let path = "/v1/chat/completions";
            let callers = fleet.hosts[0].callers();
            let (headers, long) = (headers, long.clone());
            std::thread::spawn(move || {
                send_streaming("POST", callers, path, &headers, &long)
                    .map(|it| body_lines(it).count())
            })
        })
        .collect();
    let starts = || fleet.started_requests(0);
    wait_until("the pool is full", || starts() >= 3);
    let deadline = now().after(Duration::from_millis(900)).0.to_string();
    let refused = chat(
        &fleet.hosts[0],
        "one",
        &[("x-deadline-ms", &deadline)],
        &chat_body("late", 1, false),
    );
    let error = refused.error();
    assert_eq!(
        (refused.status, error.code.as_str(), error.run),
        (504, "deadline_exceeded", RunState::NotRun)
    );
    assert_eq!(starts(), 3, "a request refused as not run was run");
    // The streams end with their host.
    drop(fleet);
    running.into_iter().for_each(|stream| drop(stream.join()));
}
