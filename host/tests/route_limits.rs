//! Servers that name the rate of requests which they take from all hosts together.

mod route;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step, signed_response};
use parking_lot::Mutex;
use route::{Answer, Platform, wait_until};

/// Length of the window in which a server counts.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a server first named its limit from which it must be kept.
const GRACE: Duration = Duration::from_secs(3);

/// Arrivals at a server that names a limit while it is in need.
#[derive(Default)]
struct Arrivals {
    times: Mutex<Vec<Instant>>,
    is_in_need: AtomicBool,
}

impl Arrivals {
    /// Largest number of arrivals in a window that begins at `from` or later.
    fn most_in_a_window(&self, from: Instant) -> usize {
        let times = self.times.lock();
        let late: Vec<Instant> = times.iter().copied().filter(|at| *at >= from).collect();
        let in_window = |first: &Instant| {
            late.iter()
                .filter(|at| **at >= *first && **at < *first + WINDOW)
                .count()
        };
        late.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Requests that a server with this limit may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn add_server(platform: &mut Platform, limit: &'static str) -> Arc<Arrivals> {
    let arrivals = Arc::new(Arrivals::default());
    let seen = arrivals.clone();
    platform.add_backend("orders", "v1", move |_, received: &ReceivedRequest| {
        seen.times.lock().push(Instant::now());
        let is_in_need = seen.is_in_need.load(Ordering::Relaxed);
        let header = if is_in_need {
            format!("Server-Limit: {limit}\r\n")
        } else {
            String::new()
        };
        vec![Step::Send(signed_response(
            received, "200 OK", &header, "done",
        ))]
    });
    arrivals
}

/// Lets callers send to all hosts for `span`. Returns the answers.
fn call(platform: &Platform, callers: usize, span: Duration) -> Vec<Answer> {
    platform.call_hosts(callers, Duration::from_millis(40), span)
}

fn start(platform: &mut Platform, hosts: usize) {
    platform.start_hosts(hosts);
    wait_until("the hosts know each other", || {
        let mut all = platform.hosts.iter();
        all.all(|host| host.status()["hosts"] == hosts)
    });
}

#[test]
fn a_server_gets_no_more_requests_than_the_limit_it_named() {
    let mut platform = Platform::new();
    let limited = add_server(&mut platform, "2.0");
    let other = add_server(&mut platform, "2.0");
    start(&mut platform, 5);
    limited.is_in_need.store(true, Ordering::Relaxed);
    let named_at = Instant::now();
    let answers = call(&platform, 10, Duration::from_secs(12));
    let most = limited.most_in_a_window(named_at + GRACE);
    assert!(most <= allowed(2.0), "{most} requests in a window");
    assert!(most > 0, "the limited server takes what it can");
    assert!(
        answers.iter().all(|it| it.status == 200),
        "the other server takes the rest"
    );
    assert!(other.times.lock().len() > limited.times.lock().len());
}

/// What cannot be served is refused without waiting, with a time at which the caller should return.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let mut platform = Platform::new();
    let limited = add_server(&mut platform, "2.0");
    start(&mut platform, 3);
    limited.is_in_need.store(true, Ordering::Relaxed);
    let named_at = Instant::now();
    call(&platform, 6, GRACE);
    let began = Instant::now();
    let answers = call(&platform, 6, Duration::from_secs(8));
    let most = limited.most_in_a_window(named_at + GRACE);
    assert!(most <= allowed(2.0), "{most} requests in a window");
    let served = answers.iter().filter(|it| it.status == 200).count();
    let per_s = served as f64 / began.elapsed().as_secs_f64();
    assert!(per_s >= 1.0, "{per_s} a second of 2.0 served");
    let refused: Vec<&Answer> = answers.iter().filter(|it| it.status == 503).collect();
    assert_eq!(served + refused.len(), answers.len());
    let times: Vec<f64> = refused
        .iter()
        .map(|it| it.header("retry-after").parse().expect("a time to return"))
        .collect();
    assert!(
        times.iter().all(|time| *time > 0.0 && *time <= 60.0),
        "{times:?}"
    );
}

#[test]
fn a_server_that_names_no_limit_any_more_is_used_as_before() {
    let mut platform = Platform::new();
    let limited = add_server(&mut platform, "0.5");
    start(&mut platform, 3);
    limited.is_in_need.store(true, Ordering::Relaxed);
    call(&platform, 6, GRACE);
    limited.is_in_need.store(false, Ordering::Relaxed);
    wait_until("all hosts use the server again", || {
        let answers = call(&platform, 6, Duration::from_millis(300));
        answers.iter().all(|it| it.status == 200)
    });
}

#[test]
fn unreadable_limits_are_ignored() {
    for limit in ["-1", "many", "NaN", ""] {
        let mut platform = Platform::new();
        let limited = add_server(&mut platform, limit);
        limited.is_in_need.store(true, Ordering::Relaxed);
        start(&mut platform, 1);
        let answers = call(&platform, 2, Duration::from_millis(400));
        assert!(answers.iter().all(|it| it.status == 200), "{limit:?}");
    }
}
