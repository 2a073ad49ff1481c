//! Servers that turn a request away and name a time for which they want nothing from that host.

mod route;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clementinearch_standins::scripted_server::{
    LAST_CHUNK, ReceivedRequest, Step, chunk, signed_response, stream_head, token_event,
};
use route::{Answer, Host, Platform, ok, send_request, wait_until};

/// Time after an answer that asks for rest from which requests count.
const NOTICE: Duration = Duration::from_millis(500);

/// Requests that may reach a server from a host within a rest, by the users' rule.
const ALLOWED: usize = 2;

/// Length of a round of requests.
const ROUND: Duration = Duration::from_millis(2_500);

/// A server that asks for rest while it is told to, and what reaches it.
#[derive(Clone, Default)]
struct Rester {
    is_tired: Arc<AtomicBool>,
    /// Times of arrival, and whether the request was turned away.
    arrivals: Arc<Mutex<Vec<(Instant, bool)>>>,
}

impl Rester {
    /// Adds a server whose refusals have `headers`.
    fn add(platform: &mut Platform, service: &str, headers: &'static str) -> Self {
        let rester = Self::default();
        let seen = rester.clone();
        let is_stream = service == "pool";
        platform.add_backend(service, "v1", move |_, received: &ReceivedRequest| {
            let is_tired = seen.is_tired.load(Ordering::Relaxed);
            seen.arrivals
                .lock()
                .unwrap()
                .push((Instant::now(), is_tired));
            if is_tired {
                let refusal = signed_response(received, "503 Service Unavailable", headers, "");
                vec![Step::Send(refusal)]
            } else if is_stream {
                stream(received, 90)
            } else {
                ok(received)
            }
        });
        rester
    }

    fn set_tired(&self, is_tired: bool) {
        self.is_tired.store(is_tired, Ordering::Relaxed);
    }

    /// When the server first turned a request away.
    fn first_refusal(&self) -> Option<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().find(|(_, refused)| *refused).map(|it| it.0)
    }

    /// Requests that reached the server within the rest of `span` after its first refusal.
    fn within_rest(&self, span: Duration) -> usize {
        let Some(asked_at) = self.first_refusal() else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        let is_within =
            |(at, _): &&(Instant, bool)| *at > asked_at + NOTICE && *at < asked_at + span;
        arrivals.iter().filter(is_within).count()
    }
}

fn stream(received: &ReceivedRequest, confidence: u8) -> Vec<Step> {
    let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let head = stream_head(received, &format!("Confidence: {confidence}\r\n"));
    let mut steps = vec![Step::Send(head)];
    steps.extend((after + 1..=3).map(|id| Step::Send(chunk(&token_event(id)))));
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

/// Lets callers send requests of a kind for `span`. Returns the answers and how long each took.
fn call(host: &Host, line: &str, extra: &str, span: Duration) -> Vec<(Answer, Duration)> {
    let until = Instant::now() + span;
    let answers = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..4 {
            let answers = &answers;
            scope.spawn(move || {
                for number in 0.. {
                    let began = Instant::now();
                    if began >= until {
                        return;
                    }
                    let id = format!("{caller}-{number}-{}", line.len());
                    let answer = send_request(host, line, &id, extra, "");
                    let taken = (answer, began.elapsed());
                    answers.lock().unwrap().push(taken);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    answers.into_inner().unwrap()
}

/// A rest of three seconds.
const REST: &str = "Not-Executed: 1\r\nRetry-After: 3\r\n";
const REST_SPAN: Duration = Duration::from_secs(3);

/// Calls of each kind that repeat, sessions included. The other server serves them all.
#[test]
fn a_server_that_asks_for_rest_gets_no_request_until_its_end() {
    for (service, line, extra) in [
        ("orders", "GET /look/1", ""),
        ("orders", "POST /pay/1", ""),
        ("pool", "POST /draft/1", "Model: small\r\nSession: s-1\r\n"),
    ] {
        let mut platform = Platform::new();
        let rester = Rester::add(&mut platform, service, REST);
        Rester::add(&mut platform, service, REST);
        platform.start_hosts(1);
        rester.set_tired(true);
        let host = &platform.hosts[0];
        let answers = call(host, line, extra, ROUND + NOTICE);
        assert!(answers.iter().all(|(it, _)| it.status == 200), "{line}");
        let within = rester.within_rest(REST_SPAN);
        assert!(
            within <= ALLOWED,
            "{line}: {within} requests within the rest"
        );
        assert!(rester.first_refusal().is_some(), "{line}: never asked");
        rester.set_tired(false);
        wait_until("the server is used again", || {
            send_request(host, line, "again", extra, "");
            let arrivals = rester.arrivals.lock().unwrap();
            arrivals.iter().any(|(_, refused)| !refused)
        });
    }
}

/// An answer that is dropped for one of a larger model makes the request forget which servers it
/// has tried.
#[test]
fn a_larger_model_is_not_asked_at_a_server_that_rests() {
    let mut platform = Platform::new();
    let rester = Rester::add(&mut platform, "pool", REST);
    platform.add_backend("pool", "v1", |_, received| {
        let is_small = received.header("model") == "small";
        stream(received, if is_small { 1 } else { 90 })
    });
    platform.start_hosts(1);
    rester.set_tired(true);
    let any_model = "Model: *\r\nToken-Usage: 200,50\r\n";
    let answers = call(&platform.hosts[0], "POST /draft/1", any_model, ROUND);
    assert!(answers.iter().all(|(it, _)| it.status == 200));
    let within = rester.within_rest(REST_SPAN);
    assert!(within <= ALLOWED, "{within} requests within the rest");
}

/// Nothing can be served until the first rest ends: callers learn that at once.
#[test]
fn requests_are_refused_at_once_while_all_servers_rest() {
    let mut platform = Platform::new();
    let short = Rester::add(&mut platform, "orders", REST);
    let long = "Not-Executed: 1\r\nRetry-After: 20\r\n";
    let long = Rester::add(&mut platform, "orders", long);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    short.set_tired(true);
    long.set_tired(true);
    wait_until("both have asked for rest", || {
        send_request(host, "GET /look/1", "first", "", "");
        short.first_refusal().is_some() && long.first_refusal().is_some()
    });
    let asked_at = short.first_refusal().unwrap();
    let answers = call(host, "POST /pay/1", "", Duration::from_millis(1_500));
    short.set_tired(false);
    assert!(short.within_rest(REST_SPAN) <= ALLOWED);
    assert!(long.within_rest(Duration::from_secs(20)) <= ALLOWED);
    for (answer, _) in &answers {
        assert_eq!(answer.status, 503);
        let after: f64 = answer.header("retry-after").parse().unwrap();
        let rests_until = REST_SPAN.saturating_sub(asked_at.elapsed()).as_secs_f64();
        assert!(
            after >= rests_until,
            "{after} s, {rests_until} s of rest left"
        );
        assert!(after < 20.0, "{after} s");
    }
    wait_until("the first server is used after its rest", || {
        send_request(host, "GET /look/1", "again", "", "").status == 200
    });
    assert!(asked_at.elapsed() >= REST_SPAN);
}

/// Only a positive number of seconds asks for rest. One that is far too long is cut down.
#[test]
fn unreadable_times_of_rest_are_ignored() {
    for value in ["0", "-3", "soon", "NaN", "Fri, 04 Dec 2026 17:00:00 GMT"] {
        let headers = format!("Not-Executed: 1\r\nRetry-After: {value}\r\n");
        let mut platform = Platform::new();
        let rester = Rester::add(&mut platform, "orders", headers.leak());
        platform.start_hosts(1);
        rester.set_tired(true);
        let host = &platform.hosts[0];
        wait_until("the server is asked again", || {
            send_request(host, "GET /look/1", "again", "", "");
            rester.arrivals.lock().unwrap().len() > 3
        });
    }
}

/// Rest is asked for by refusals with and without proof that nothing ran, and in fractions.
#[test]
fn a_refusal_without_proof_asks_for_rest_too() {
    let mut platform = Platform::new();
    let rester = Rester::add(&mut platform, "orders", "Retry-After: 2.5\r\n");
    Rester::add(&mut platform, "orders", REST);
    platform.start_hosts(1);
    rester.set_tired(true);
    call(&platform.hosts[0], "GET /look/1", "", ROUND);
    let within = rester.within_rest(Duration::from_millis(2_500));
    assert!(within <= ALLOWED, "{within} requests within the rest");
}
