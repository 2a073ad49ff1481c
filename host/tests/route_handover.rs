//! A server that falls silent keeps its request until another one has taken it over.

mod route;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{
        LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk, signed_response, stream_head,
        token_event,
    },
};
use route::{Answer, Platform, request, send_request, wait_until};
use serde_json::json;

/// How long the first server is silent: longer than each time limit of the routes below.
const SILENCE: Duration = Duration::from_millis(1_600);

/// How long bytes are held up on links that hang.
const HANG: Duration = Duration::from_millis(1_200);

/// How long servers take before they send what a hanging link then holds up.
const BEFORE_HANG: Duration = Duration::from_millis(300);

/// Number of events of a stream, and of those before a silence in mid-stream.
const EVENTS: u64 = 6;
const EARLY_EVENTS: u64 = 3;

/// Time that a server works on a request before another one would have to be left.
const ENDLESS: Duration = Duration::from_secs(600);

/// When the first server falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silent {
    /// Before the head of an answer that is no stream.
    Plain,
    /// Before the head of a stream.
    BeforeHead,
    /// Between the head and the first event.
    BeforeEvent,
    /// Between two events.
    MidStream,
}

const ALL_SILENT: [Silent; 4] = [
    Silent::Plain,
    Silent::BeforeHead,
    Silent::BeforeEvent,
    Silent::MidStream,
];

impl Silent {
    fn line(self, route: &str) -> String {
        match self {
            Self::Plain => format!("GET /{route}-plain/{self:?}"),
            _ => format!("POST /{route}-stream/{self:?}"),
        }
    }

    fn id(self) -> String {
        format!("id-{self:?}")
    }

    /// What the first server sends.
    fn script(self, received: &ReceivedRequest, silence: Duration) -> Vec<Step> {
        let mut steps = match self {
            Self::Plain => {
                return vec![
                    Step::Wait(silence),
                    Step::Send(signed_response(received, "200 OK", "", "done")),
                ];
            }
            Self::BeforeHead => vec![Step::Wait(silence), Step::Send(stream_head(received, ""))],
            Self::BeforeEvent => vec![Step::Send(stream_head(received, "")), Step::Wait(silence)],
            Self::MidStream => vec![Step::Send(stream_head(received, ""))],
        };
        for id in 1..=EVENTS {
            if self == Self::MidStream && id == EARLY_EVENTS + 1 {
                steps.push(Step::Wait(silence));
            }
            steps.push(Step::Send(chunk(&token_event(id))));
        }
        steps.push(Step::Send(LAST_CHUNK.to_owned()));
        steps
    }

    /// Which one a server's request is.
    fn of(received: &ReceivedRequest) -> Option<Self> {
        let named = |it: &Self| received.request_line.ends_with(&format!("/{it:?}"));
        ALL_SILENT.into_iter().find(named)
    }

    /// Whether the caller has the whole answer of one run.
    fn is_served(self, answer: &Answer) -> bool {
        let whole: String = match self {
            Self::Plain => "done".to_owned(),
            _ => (1..=EVENTS).map(token_event).collect(),
        };
        answer.status == 200 && answer.is_whole && answer.body == whole
    }
}

/// What servers do that get a request after the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Others {
    Refuse,
    Fail,
    /// They answer without their seal.
    Unsigned,
    /// They answer that nothing runs, without a proof.
    Unproved,
    /// They close the connection.
    Close,
    /// They work on it without an answer.
    Work,
    /// They send the rest at once.
    Serve,
}

impl Others {
    fn script(self, received: &ReceivedRequest) -> Vec<Step> {
        let failure =
            |status, extra| vec![Step::Send(signed_response(received, status, extra, ""))];
        match self {
            Self::Refuse => failure("503 Service Unavailable", "Not-Executed: 1\r\n"),
            Self::Fail => failure("500 Internal Server Error", ""),
            Self::Unproved => failure("503 Service Unavailable", ""),
            Self::Unsigned => {
                let head = stream_head(received, "");
                let seal = format!("Server-Seal: seal-{}\r\n", received.header("attempt-id"));
                let text = chunk("id: 9\ndata: spoiled\n\n");
                vec![Step::Send(head.replace(&seal, "") + &text + LAST_CHUNK)]
            }
            Self::Close => vec![Step::Close],
            Self::Work => vec![Step::Wait(ENDLESS)],
            Self::Serve => route::paced_stream(received, EVENTS, Duration::ZERO)
                .into_iter()
                .filter(|_| !received.request_line.contains("-plain/"))
                .chain(plain_answer(received))
                .collect(),
        }
    }
}

fn plain_answer(received: &ReceivedRequest) -> Option<Step> {
    let is_plain = received.request_line.contains("-plain/");
    is_plain.then(|| Step::Send(signed_response(received, "200 OK", "", "done")))
}

/// Routes with `attempts` attempts at most. Another server is looked for after 0.6 x `target_ms`
/// without an answer or first event, and after 3 x `gap_ms` without a further event.
fn routes(name: &str, attempts: u32, target_ms: u64, gap_ms: u64) -> Vec<serde_json::Value> {
    vec![
        json!({"name": format!("{name}-plain"), "host": "a.example", "pathPrefix": format!("/{name}-plain/"), "kind": "idempotent", "timeoutMs": 20000, "targetLatencyMs": target_ms, "priority": 2, "service": "orders", "maxAttempts": attempts}),
        json!({"name": format!("{name}-stream"), "host": "a.example", "pathPrefix": format!("/{name}-stream/"), "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": target_ms, "priority": 1, "service": "pool", "maxAttempts": attempts, "streamResume": true, "gapTargetMs": gap_ms}),
    ]
}

/// Starts `pairs` servers of each service: the first one that gets a request falls silent for
/// `silence`, and the others do as `others` says. Hosts are not started yet.
fn prepare(
    pairs: usize,
    silence: Duration,
    others: Others,
) -> (Platform, Vec<Arc<ScriptedServer>>) {
    let mut platform = Platform::new();
    let taken: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut servers = Vec::new();
    for number in 0..2 * pairs {
        let taken = taken.clone();
        let script = move |_: usize, received: &ReceivedRequest| {
            let id = received.header("attempt-id").to_owned();
            let is_first = taken.lock().unwrap().insert(id);
            match Silent::of(received) {
                Some(silent) if is_first => silent.script(received, silence),
                Some(_) => others.script(received),
                None => route::ok(received),
            }
        };
        let service = ["orders", "pool"][number % 2];
        servers.push(platform.add_backend(service, "v1", script).1);
    }
    let mut more = routes("quick", 4, 300, 300);
    more.extend(routes("once", 1, 300, 300));
    more.extend(routes("calm", 4, 2_000, 400));
    platform.configure(2, &json!(more));
    (platform, servers)
}

fn arrivals(servers: &[Arc<ScriptedServer>]) -> usize {
    let all = servers.iter().flat_map(|server| server.requests());
    all.filter(|it| Silent::of(it).is_some()).count()
}

/// Sends a request of each kind to the first host at once, and runs `disturb` once all are under
/// way at a server.
fn send_all(
    platform: &Platform,
    servers: &[Arc<ScriptedServer>],
    route: &str,
    disturb: impl FnOnce(),
) -> Vec<(Silent, Answer)> {
    let host = &platform.hosts[0];
    thread::scope(|scope| {
        let send = |silent: Silent| {
            let line = silent.line(route);
            let call = scope.spawn(move || send_request(host, &line, &silent.id(), "", ""));
            (silent, call)
        };
        let calls = ALL_SILENT.map(send);
        wait_until("all requests are under way", || {
            arrivals(servers) >= ALL_SILENT.len()
        });
        disturb();
        let join = |(silent, call): (Silent, thread::ScopedJoinHandle<'_, Answer>)| {
            (silent, call.join().unwrap())
        };
        calls.map(join).into()
    })
}

/// Checks that all answers are whole.
fn check_whole(mut answers: Vec<(Silent, Answer)>, cell: &str) {
    let sent = answers.len();
    answers.retain(|(silent, answer)| !silent.is_served(answer));
    println!("{cell}: failed {} of {sent}", answers.len());
    assert!(answers.is_empty(), "{cell}: {answers:#?}");
}

fn kept_while_others(others: Others) {
    let (mut platform, servers) = prepare(2, SILENCE, others);
    platform.start_hosts(1);
    let answers = send_all(&platform, &servers, "quick", || {});
    check_whole(answers, &format!("{others:?}"));
}

#[test]
fn a_silent_server_keeps_its_request_while_it_is_the_only_one() {
    let (mut platform, servers) = prepare(1, SILENCE, Others::Refuse);
    platform.start_hosts(1);
    let answers = send_all(&platform, &servers, "quick", || {});
    check_whole(answers, "alone");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
}

#[test]
fn a_silent_server_keeps_its_request_while_others_refuse() {
    kept_while_others(Others::Refuse);
}

#[test]
fn a_silent_server_keeps_its_request_while_others_fail() {
    kept_while_others(Others::Fail);
}

#[test]
fn a_silent_server_keeps_its_request_while_others_answer_without_their_seal() {
    kept_while_others(Others::Unsigned);
}

#[test]
fn a_silent_server_keeps_its_request_while_others_refuse_without_a_proof() {
    kept_while_others(Others::Unproved);
}

#[test]
fn a_silent_server_keeps_its_request_while_others_close_connections() {
    kept_while_others(Others::Close);
}

#[test]
fn a_silent_server_keeps_its_request_when_no_attempt_is_left() {
    let (mut platform, servers) = prepare(2, SILENCE, Others::Serve);
    platform.start_hosts(1);
    let answers = send_all(&platform, &servers, "once", || {});
    check_whole(answers, "one attempt");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
}

#[test]
fn a_silent_server_keeps_its_request_when_the_retry_budget_is_used_up() {
    let (mut platform, servers) = prepare(2, SILENCE, Others::Serve);
    platform.launch_host();
    platform.hosts[0].change_settings(
        "repeat_ratio = \"2.0\"\nrepeat_slack = 1000",
        "repeat_ratio = \"0.01\"\nrepeat_slack = 0",
    );
    wait_until("the host is ready", || platform.hosts[0].is_ready());
    let answers = send_all(&platform, &servers, "quick", || {});
    check_whole(answers, "no budget");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
}

/// Starts two servers of each service behind links, and changes the links of the first of `hosts`
/// hosts while requests are under way.
fn kept_while_links(hosts: usize, state: LinkState, silence: Duration) {
    let (mut platform, servers) = prepare(2, silence, Others::Serve);
    platform.start_linked_hosts(hosts);
    let disturb = || {
        for host in 0..hosts {
            platform.set_links(host, state);
        }
        thread::sleep(HANG);
        for host in 0..hosts {
            platform.set_links(host, LinkState::Up);
        }
    };
    let answers = send_all(&platform, &servers, "quick", disturb);
    check_whole(answers, &format!("{hosts} hosts, links {state:?}"));
}

#[test]
fn a_silent_server_keeps_its_request_while_the_path_to_all_looks_lost() {
    kept_while_links(1, LinkState::RefusingNew, HANG);
}

#[test]
fn a_silent_server_keeps_its_request_while_all_links_hang() {
    kept_while_links(1, LinkState::Hanging, BEFORE_HANG);
}

#[test]
fn a_silent_server_keeps_its_request_while_peers_decline() {
    kept_while_links(2, LinkState::RefusingNew, HANG);
    kept_while_links(2, LinkState::Hanging, BEFORE_HANG);
}

/// The first host reaches no server, and the second one forwards what a server of its own sends.
#[test]
fn a_silent_server_keeps_its_request_over_a_hop() {
    let (mut platform, servers) = prepare(1, SILENCE, Others::Refuse);
    platform.start_linked_hosts(2);
    platform.set_links(0, LinkState::Resetting);
    wait_until("the host knows that it is cut off", || {
        send_request(&platform.hosts[0], "GET /look/first", "first", "", "");
        platform.hosts[0].status()["reaches_servers"] == false
    });
    let answers = send_all(&platform, &servers, "quick", || {});
    check_whole(answers, "over a hop");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
}

/// The peer that serves a host's requests stands still, and there is no other one.
#[test]
fn a_silent_peer_keeps_its_request() {
    let (mut platform, servers) = prepare(1, BEFORE_HANG, Others::Refuse);
    platform.start_linked_hosts(2);
    platform.set_links(0, LinkState::Resetting);
    wait_until("the host knows that it is cut off", || {
        send_request(&platform.hosts[0], "GET /look/first", "first", "", "");
        platform.hosts[0].status()["reaches_servers"] == false
    });
    let answers = send_all(&platform, &servers, "quick", || {
        platform.hosts[1].signal("STOP");
        thread::sleep(HANG);
        platform.hosts[1].signal("CONT");
    });
    check_whole(answers, "silent peer");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
    wait_until("the log tells that another one was looked for", || {
        !platform.hosts[0].logged("server_kept").is_empty()
    });
}

/// Another server has room: it takes over at once, and the first one sees the end of its request.
#[test]
fn another_server_takes_over_when_it_has_room() {
    let (mut platform, servers) = prepare(2, ENDLESS, Others::Serve);
    platform.start_hosts(1);
    let answers = send_all(&platform, &servers, "quick", || {});
    check_whole(answers, "others serve");
    wait_until("the first servers see the end", || {
        servers.iter().map(|it| it.disconnects()).sum::<usize>() == ALL_SILENT.len()
    });
}

/// Both servers work without an answer: the first one is left nevertheless.
#[test]
fn a_server_is_left_for_one_that_has_taken_the_request() {
    let (mut platform, servers) = prepare(2, ENDLESS, Others::Work);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    for silent in ALL_SILENT {
        let before: usize = servers.iter().map(|it| it.disconnects()).sum();
        let mut caller = route::Connection::open(host.callers());
        let line = silent.line("quick");
        caller.send(&request(&line, &silent.id(), "", ""));
        wait_until("the first server sees the end", || {
            servers.iter().map(|it| it.disconnects()).sum::<usize>() > before
        });
        let mine = |it: &ReceivedRequest| it.header("attempt-id") == silent.id();
        let all = servers.iter().flat_map(|server| server.requests());
        assert!(all.filter(mine).count() >= 2, "{silent:?}");
        drop(caller);
        wait_until("the second server sees the end", || {
            servers.iter().map(|it| it.disconnects()).sum::<usize>() >= before + 2
        });
    }
}

/// How long a host stands still, and how long its servers work without sending anything: longer than
/// the limits of the route by the clock, and far shorter in time in which the host ran.
const STANDSTILL: Duration = Duration::from_millis(1_600);
const WORK: Duration = Duration::from_millis(2_000);

/// The host's process is frozen: its servers have not been silent meanwhile.
#[test]
fn a_host_that_stood_still_takes_no_server_for_silent() {
    let (mut platform, servers) = prepare(2, WORK, Others::Serve);
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let answers = send_all(&platform, &servers, "calm", || {
        host.signal("STOP");
        thread::sleep(STANDSTILL);
        host.signal("CONT");
    });
    check_whole(answers, "stood still");
    assert_eq!(arrivals(&servers), ALL_SILENT.len(), "each is sent once");
    let metrics = host.metrics();
    let mut lines = metrics.lines();
    assert!(lines.any(|line| line.starts_with("clementinearch_loop_stall_seconds_sum")));
    wait_until("the log tells of it", || {
        !host.logged("loop_stalled").is_empty()
    });
}
