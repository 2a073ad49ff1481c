//! Soak test: seeded faults of servers and store under a steady load. It checks invariants that
//! hold at any moment, so that the result does not depend on timing.

mod route;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use clementinearch_standins::{
    platform_store::EndpointMode,
    scripted_server::{
        LAST_CHUNK, ReceivedRequest, ScriptedServer, Step, chunk, signed_response, stream_head,
        token_event,
    },
};
use route::{Answer, Platform, send_request, wait_until};
use serde_json::json;

const ROUNDS: u32 = 60;
const REQUESTS_PER_ROUND: u32 = 8;
const SERVERS: usize = 3;

/// What a server does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Failed,
    RefusedWithProof,
    RefusedWithoutProof,
    Reset,
    RespondedTwice,
    CutShort,
    /// Ignores `Last-Event-Id` and streams from the first event. A plain call is served.
    Restarted,
}

impl Outcome {
    /// Draws the outcome of a server's request by its number; most are served.
    fn draw(seed: u64, number: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ (number as u64).wrapping_mul(0x9e37_79b9));
        match rng.u8(..20) {
            0 => Self::Failed,
            1 => Self::RefusedWithProof,
            2 => Self::RefusedWithoutProof,
            3 => Self::Reset,
            4 => Self::RespondedTwice,
            5 | 6 => Self::CutShort,
            7 => Self::Restarted,
            _ => Self::Served,
        }
    }
}

/// Returns the number of events in the complete stream for the request with this id.
fn event_count(id: &str) -> u64 {
    2 + id.bytes().map(u64::from).sum::<u64>() % 5
}

fn call_steps(outcome: Outcome, received: &ReceivedRequest) -> Vec<Step> {
    let body = format!("answer to {}", received.header("attempt-id"));
    let ok = Step::Send(signed_response(received, "200 OK", "", &body));
    let refusal = |proof: &str| {
        let status = "503 Service Unavailable";
        vec![Step::Send(signed_response(received, status, proof, ""))]
    };
    match outcome {
        Outcome::Served | Outcome::Restarted => vec![ok],
        Outcome::Failed => {
            let status = "500 Internal Server Error";
            vec![Step::Send(signed_response(received, status, "", "failed"))]
        }
        Outcome::RefusedWithProof => refusal("Not-Executed: 1\r\n"),
        Outcome::RefusedWithoutProof => refusal(""),
        Outcome::Reset => vec![Step::Reset],
        Outcome::RespondedTwice => vec![ok.clone(), ok],
        Outcome::CutShort => {
            let Step::Send(text) = ok else { unreachable!() };
            vec![Step::Send(text[..text.len() - 3].to_owned()), Step::Close]
        }
    }
}

fn stream_steps(outcome: Outcome, received: &ReceivedRequest) -> Vec<Step> {
    let last = event_count(received.header("attempt-id"));
    let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let after = if outcome == Outcome::Restarted {
        0
    } else {
        after
    };
    match outcome {
        Outcome::RefusedWithProof | Outcome::Failed | Outcome::Reset => {
            return call_steps(outcome, received);
        }
        _ => {}
    }
    let mut steps = vec![Step::Send(stream_head(received, ""))];
    for id in after + 1..=last {
        if outcome == Outcome::CutShort && id == last {
            steps.push(Step::Send(chunk(&token_event(id)[..9])));
            steps.push(Step::Close);
            return steps;
        }
        steps.push(Step::Send(chunk(&token_event(id))));
    }
    steps.push(Step::Send(LAST_CHUNK.to_owned()));
    steps
}

/// Starts servers of both services. Returns those for calls, each with the seed of its outcomes.
fn start_servers(platform: &mut Platform, seed: u64) -> Vec<(u64, Arc<ScriptedServer>)> {
    let mut calls = Vec::new();
    for number in 0..SERVERS {
        let server_seed = seed.wrapping_add(number as u64 * 101);
        let (_, server) = platform.add_backend("orders", "v1", move |number, received| {
            call_steps(Outcome::draw(server_seed, number), received)
        });
        calls.push((server_seed, server));
        platform.add_backend("pool", "v1", move |number, received| {
            stream_steps(Outcome::draw(server_seed + 7, number), received)
        });
    }
    calls
}

/// Injects a fault into the store or its contents.
fn inject_fault(platform: &Platform, rng: &mut fastrand::Rng, version: &mut u64) {
    let modes = [
        EndpointMode::Normal,
        EndpointMode::Refusing,
        EndpointMode::Silent,
        EndpointMode::LosingResponses,
    ];
    let host = &platform.hosts[rng.usize(..platform.hosts.len())];
    match rng.u8(..6) {
        0 | 1 => host
            .store_endpoint
            .set_mode(modes[rng.usize(..modes.len())]),
        2 => {
            *version += 1;
            platform.configure(*version, &json!([]));
        }
        3 => platform.store.compact(),
        4 => {
            let name = format!("i-{}", 1 + rng.usize(..2 * SERVERS));
            let service = if name.trim_start_matches("i-").parse::<usize>().unwrap() % 2 == 1 {
                "orders"
            } else {
                "pool"
            };
            let state = if rng.bool() { "draining" } else { "ready" };
            platform.write_entry(&name, service, "v1", platform.address(&name), state);
        }
        _ => {
            platform.store.put("servers/i-foreign", "{\"service\": 7}");
        }
    }
}

/// Checks the invariants of a single answer.
fn check_answer(line: &str, id: &str, answer: &Answer) {
    if line.starts_with("POST /draft") {
        let all: String = (1..=event_count(id)).map(token_event).collect();
        if answer.status == 200 {
            assert!(all.starts_with(&answer.body), "{id}: {:?}", answer.body);
            assert!(
                !answer.is_whole || answer.body == all,
                "{id}: {:?}",
                answer.body
            );
        }
        return;
    }
    if answer.status == 200 {
        assert_eq!(answer.body, format!("answer to {id}"));
        assert_eq!(answer.header("server-seal"), format!("seal-{id}"));
    }
    assert!(answer.status != 0, "{id}: no answer at all");
}

/// Returns how often each non-idempotent call ran, by its id.
fn runs(servers: &[(u64, Arc<ScriptedServer>)]) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for (seed, server) in servers {
        for (number, received) in server.requests().iter().enumerate() {
            let ran = Outcome::draw(*seed, number) != Outcome::RefusedWithProof;
            if ran && received.request_line.starts_with("POST /pay") {
                *runs
                    .entry(received.header("attempt-id").to_owned())
                    .or_default() += 1;
            }
        }
    }
    runs
}

#[test]
fn invariants_hold_under_random_faults() {
    const SEED: u64 = 20_261_204;
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut platform = Platform::new();
    let servers = start_servers(&mut platform, SEED);
    platform.start_hosts(2);
    let mut version = 1;
    let mut refused = Vec::new();
    for round in 0..ROUNDS {
        inject_fault(&platform, &mut rng, &mut version);
        for number in 0..REQUESTS_PER_ROUND {
            let id = format!("s-{round}-{number}");
            let host = &platform.hosts[rng.usize(..platform.hosts.len())];
            let (line, extra) = match rng.u8(..3) {
                0 => ("POST /pay/1", ""),
                1 => ("GET /look/1", ""),
                _ => ("POST /draft/1", "Model: small\r\n"),
            };
            let answer = send_request(host, line, &id, extra, "");
            check_answer(line, &id, &answer);
            if line.starts_with("POST /pay") && matches!(answer.status, 429 | 503) {
                refused.push(id);
            }
        }
    }
    let runs = runs(&servers);
    for (id, count) in &runs {
        assert_eq!(*count, 1, "{id} ran {count} times");
    }
    for id in &refused {
        assert!(
            !runs.contains_key(id),
            "{id} ran although it was refused as not run"
        );
    }
    // After all faults end, each host serves again with the newest configuration.
    for host in &platform.hosts {
        host.store_endpoint.set_mode(EndpointMode::Normal);
    }
    for number in 1..=2 * SERVERS {
        let service = if number % 2 == 1 { "orders" } else { "pool" };
        let name = format!("i-{number}");
        platform.write_entry(&name, service, "v1", platform.address(&name), "ready");
    }
    version += 1;
    platform.configure(version, &json!([]));
    for host in &platform.hosts {
        wait_until("the newest configuration is in force", || {
            host.status()["routing_version"] == version
        });
        let mut number = 0;
        wait_until("a call is served", || {
            number += 1;
            std::thread::sleep(Duration::from_millis(5));
            send_request(host, "GET /look/1", &format!("h-{number}"), "", "").status == 200
        });
    }
}
