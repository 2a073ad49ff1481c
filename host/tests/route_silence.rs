//! Sound servers that fall silent for a second and go on.

mod route;

use std::{sync::Arc, thread, time::Duration};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, signed_response, token_event},
};
use route::{Platform, paced_stream, send_request, wait_until};

/// How long servers are silent.
const SILENCE: Duration = Duration::from_secs(1);

/// Time that a request without a stream takes, and number of events of a stream and their pause.
const WORK: Duration = Duration::from_millis(400);
const EVENTS: u64 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time from sending a request until its server falls silent.
const BEFORE_SILENCE: Duration = Duration::from_millis(150);

fn work(received: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Wait(WORK),
        Step::Send(signed_response(received, "200 OK", "", "done")),
    ]
}

fn start() -> (Platform, Vec<Arc<ScriptedServer>>) {
    let mut platform = Platform::new();
    let mut servers = Vec::new();
    for _ in 0..2 {
        servers.push(platform.add_backend("orders", "v1", |_, it| work(it)).1);
        servers.push(
            platform
                .add_backend("pool", "v1", |_, it| paced_stream(it, EVENTS, EVENT_PAUSE))
                .1,
        );
    }
    platform.start_linked_hosts(2);
    (platform, servers)
}

/// Requests of each kind under way when servers fall silent: those behind `links` of the first host.
fn check_silence(silent: impl Fn(usize) -> bool) {
    let (platform, servers) = start();
    let links = platform.links(0);
    let links: Vec<_> = (0..links.len())
        .filter(|number| silent(*number))
        .map(|number| links[number].clone())
        .collect();
    let host = &platform.hosts[0];
    let answers = thread::scope(|scope| {
        let calls: Vec<_> = ["POST /pay/1", "GET /look/1", "POST /draft/1"]
            .into_iter()
            .flat_map(|line| (0..4).map(move |number| (line, number)))
            .map(|(line, number)| {
                let id = format!("{number} {line}");
                let extra = "Model: small\r\n";
                (
                    line,
                    scope.spawn(move || send_request(host, line, &id, extra, "")),
                )
            })
            .collect();
        thread::sleep(BEFORE_SILENCE);
        links
            .iter()
            .for_each(|link| link.set_state(LinkState::Hanging));
        thread::sleep(SILENCE);
        links.iter().for_each(|link| link.set_state(LinkState::Up));
        let join = |(line, call): (&'static str, thread::ScopedJoinHandle<'_, route::Answer>)| {
            (line, call.join().unwrap())
        };
        calls.into_iter().map(join).collect::<Vec<_>>()
    });
    let events: String = (1..=EVENTS).map(token_event).collect();
    for (line, answer) in answers {
        assert_eq!(answer.status, 200, "{line}");
        assert!(answer.is_whole, "{line}");
        if line.starts_with("POST /draft") {
            assert_eq!(answer.body, events);
        }
    }
    let payments = servers.iter().flat_map(|server| server.requests());
    let payments = payments.filter(|it| it.request_line.starts_with("POST /pay"));
    assert_eq!(payments.count(), 4, "each payment reaches one server once");
    let status = host.status();
    for field in [
        "suspect_contents",
        "blocked_contents",
        "suspect_parts",
        "blocked_parts",
    ] {
        assert_eq!(status[field], 0, "{field}");
    }
    wait_until("the host reaches servers", || {
        host.status()["reaches_servers"] == true
    });
    for number in 0..4 {
        let answer = send_request(host, "POST /pay/1", &format!("after-{number}"), "", "");
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn requests_under_way_outlast_the_silence_of_a_server() {
    check_silence(|number| number < 2);
}

#[test]
fn requests_under_way_outlast_the_silence_of_all_servers() {
    check_silence(|_| true);
}

/// The process stands still: it accepts connections and says nothing.
#[test]
fn a_server_that_stands_still_for_a_second_keeps_its_requests() {
    let mut platform = Platform::new();
    let mut servers = Vec::new();
    for _ in 0..2 {
        let script = |_: usize, received: &ReceivedRequest| {
            let mut steps = vec![Step::Wait(SILENCE)];
            steps.extend(work(received));
            steps
        };
        servers.push(platform.add_backend("orders", "v1", script).1);
    }
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for number in 0..3 {
        let answer = send_request(host, "POST /pay/1", &format!("pay-{number}"), "", "");
        assert_eq!(answer.status, 200);
    }
    let arrived: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert_eq!(arrived, 3);
    assert_eq!(host.status()["suspect_contents"], 0);
}
