//! An account that causes overload is refused with spread retry delays while another account is
//! served, and a request whose deadline passes in the queue is refused as not run.

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

/// Tokens of a heavy request, which take the engine half a second. On a machine of any speed, the
/// requests of all heavy callers then need more than twice the longest time that one may wait.
const HEAVY_TOKENS: u32 = 100;

/// Refusals to wait for, enough to check how their retry delays are spread.
const MIN_REFUSALS: u64 = 40;

#[test]
fn a_light_account_is_served_while_a_heavy_one_is_refused() {
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
    wait_until("the host knows the slots of the engine", || {
        fleet.hosts[0].counter("clementinearch_pool_limit") == 5
    });

    let stop = Arc::new(AtomicBool::new(false));
    let callers = fleet.hosts[0].callers();
    let spawn_heavy_caller = |number: usize| {
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
    let heavy_callers: Vec<_> = (0..HEAVY_CALLERS).map(spawn_heavy_caller).collect();
    wait_until("the pool is full", || {
        fleet.hosts[0].counter("clementinearch_pool_waiting") > 5
    });
    wait_until("the heavy account is refused", || {
        fleet.hosts[0].counter("clementinearch_refusals_total") > MIN_REFUSALS
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
    let refusals: Vec<_> = heavy_callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    assert!(!refusals.is_empty(), "no request was refused");
    for refusal in &refusals {
        let error = refusal.error();
        assert_eq!(
            (refusal.status, error.code.as_str(), error.run),
            (429, "overloaded", RunState::NotRun)
        );
        assert!(error.retry_after_ms.is_some());
    }
    // Callers must not all retry at the same time. The host spreads the delays over half of the
    // longest one; the refusals have to cover a third, and no millisecond is given to more than a
    // twentieth of the callers.
    let mut counts_by_delay: BTreeMap<u64, usize> = BTreeMap::new();
    for refusal in &refusals {
        *counts_by_delay
            .entry(refusal.error().retry_after_ms.unwrap())
            .or_default() += 1;
    }
    let (shortest, longest) = (
        counts_by_delay.keys().next().unwrap(),
        counts_by_delay.keys().next_back().unwrap(),
    );
    assert!(
        shortest * 3 < longest * 2,
        "retry delays of {shortest} to {longest} ms"
    );
    let most_common = counts_by_delay.values().max().unwrap();
    assert!(
        *most_common <= refusals.len().div_ceil(20),
        "{most_common} of {} callers got the same retry delay",
        refusals.len()
    );
    // No slot stays occupied after the last request.
    wait_until("the pool is empty", || {
        fleet.hosts[0].counter("clementinearch_pool_running") == 0
    });
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_refused_as_not_run() {
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
    wait_until("the host knows the slots of the engine", || {
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
    // The engine has started the warm-up request and the two streams.
    let started = || fleet.started_requests(0);
    wait_until("the pool is full", || started() >= 3);
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
    assert_eq!(started(), 3, "a request refused as not run was run");
    // The streams end when the host is killed.
    drop(fleet);
    running.into_iter().for_each(|stream| drop(stream.join()));
}
