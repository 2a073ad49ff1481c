//! Slow start of a server that has started again.

mod route;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use clementinearch_standins::scripted_server::{Step, signed_response};
use route::{Platform, send_request, wait_until};

/// Time that a server takes for a request, and while it is slow.
const WORK: Duration = Duration::from_millis(100);
const SLOW_WORK: Duration = Duration::from_millis(1_000);

/// Callers, each of which has one request at a time. Two servers that look alike get half each.
const CALLERS: usize = 24;

/// Requests at once that the slow server may get. The ramp begins with two; answers are counted
/// after the host may have sent the next request, and time raises the limit until the first one.
const BEARABLE: usize = 6;

/// Slow answers after which the server becomes fast.
const SLOW_ANSWERS: usize = 6;

/// Requests that the server must get after its ramp: more than callers that it may have kept.
const FULL_USE: usize = 200;

/// Guards against a restarted server that gets half of all requests at once because it looks idle,
/// and against one that gets few for good.
#[test]
fn a_restarted_server_that_is_slow_at_first_is_not_flooded_and_is_fully_used_later() {
    let mut platform = Platform::new();
    let is_slow = Arc::new(AtomicBool::new(false));
    let running = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    platform.add_backend("orders", "v1", |_, received| {
        let answer = signed_response(received, "200 OK", "", "other");
        vec![Step::Wait(WORK), Step::Send(answer)]
    });
    let (slow, at_once, peak) = (is_slow.clone(), running.clone(), most.clone());
    let (name, server) = platform.add_backend("orders", "v1", move |_, received| {
        let running = at_once.fetch_add(1, Ordering::SeqCst) + 1;
        let is_slow = slow.load(Ordering::SeqCst);
        if is_slow {
            peak.fetch_max(running, Ordering::SeqCst);
        }
        let (work, body) = if is_slow {
            (SLOW_WORK, "slow")
        } else {
            (WORK, "fast")
        };
        let answer = signed_response(received, "200 OK", "", body);
        vec![Step::Wait(work), Step::Send(answer)]
    });
    platform.launch_host_with("ramp_up = true\n");
    let host = &platform.hosts[0];
    wait_until("the host is ready", || host.is_ready());
    wait_until("the host knows both servers", || {
        host.logged("server_ready").len() == 2
    });
    assert!(host.logged("server_ramp_started").is_empty());
    let has_ended = AtomicBool::new(false);
    let slow_answers = AtomicUsize::new(0);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (has_ended, slow_answers, running) = (&has_ended, &slow_answers, &running);
            scope.spawn(move || {
                for number in 0.. {
                    if has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{caller}-{number}");
                    let answer = send_request(host, "POST /pay/1", &id, "", "x");
                    assert_eq!(answer.status, 200);
                    if answer.body != "other" {
                        running.fetch_sub(1, Ordering::SeqCst);
                    }
                    if answer.body == "slow" {
                        slow_answers.fetch_add(1, Ordering::SeqCst);
                    }
                }
            });
        }
        wait_until("both servers are used", || {
            server.requests().len() > CALLERS
        });
        // The old process is drained first, as far as the entry tells.
        let address = platform.address(&name);
        platform.write_entry(&name, "orders", "v1", address, "draining");
        wait_until("the old process has no request", || {
            !host.logged("server_draining").is_empty() && running.load(Ordering::SeqCst) == 0
        });
        is_slow.store(true, Ordering::SeqCst);
        platform.write_entry_of_start(2, &name, "orders", "v1", address, "ready");
        wait_until("the server has answered slowly", || {
            slow_answers.load(Ordering::SeqCst) >= SLOW_ANSWERS
        });
        is_slow.store(false, Ordering::SeqCst);
        wait_until("the ramp has ended", || {
            !host.logged("server_ramp_ended").is_empty()
        });
        let before = server.requests().len();
        wait_until("the server is fully used", || {
            running.load(Ordering::SeqCst) >= CALLERS / 3
                && server.requests().len() >= before + FULL_USE
        });
        has_ended.store(true, Ordering::SeqCst);
    });
    let peak = most.load(Ordering::SeqCst);
    println!("{peak} requests at once while the server was slow");
    assert!(peak <= BEARABLE, "{peak} requests at once");
    assert_eq!(host.logged("server_ramp_started")[0]["why"], "restarted");
    assert_eq!(host.logged("server_ramp_ended")[0]["why"], "grown");
    let metrics = host.metrics();
    assert!(metrics.contains("clementinearch_servers_ramping 0"));
}
