//! Which ends of servers count as crashes under the attempts that they left unfinished.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    routes::{Route, RouteKind},
    time::Millis,
};
use hyper::{HeaderMap, Method, Request, Uri, body::Bytes};

use crate::{
    call::{Call, CallHead, ModelChoice},
    server::{Server, ServerEntry, ServerState},
    unfinished_attempts::{UnfinishedAttempt, UnfinishedAttempts},
};

const NOW: Millis = Millis(1_000_000);

fn server(name: &str, state: ServerState) -> Arc<Server> {
    Arc::new(Server::new(ServerEntry {
        name: name.into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 1,
        state,
        cold_remaining: Duration::ZERO,
        sequence: 0,
        incarnation: 1,
    }))
}

fn call() -> Arc<Call> {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gap_objective: Duration::from_secs(1),
        priority: 0,
        max_attempts: 1,
        is_anonymous: true,
        sizes: Vec::new(),
        allowed_regions: Vec::new(),
        targets: Vec::new(),
    };
    Arc::new(Call {
        head: CallHead {
            id: "id".into(),
            route: Arc::new(route),
            account: None,
            session: None,
            caller_timeout: None,
            prompt: None,
            model: ModelChoice::Caller,
            resume_after: None,
            server_idle_timeout: None,
            buffers_stream: false,
            headers: HeaderMap::new(),
            dialect_data: None,
        },
        method: Method::GET,
        target: Uri::from_static("/"),
        body: Bytes::new(),
        service: "pool".into(),
        arrived: NOW,
        deadline: NOW,
        content_hash: 7,
        received: Arc::new(Request::new(()).into_parts().0),
        forwarded: None,
    })
}

/// Attempts of which one ended without a response on each of `servers`.
fn unfinished_on(servers: &[&Arc<Server>]) -> UnfinishedAttempts {
    let attempts = UnfinishedAttempts::default();
    for server in servers {
        attempts.add(UnfinishedAttempt {
            server: (*server).clone(),
            call: call(),
            is_trial: false,
            is_answering: false,
            ended_at: NOW,
        });
    }
    attempts
}

fn after(seconds: u64) -> Millis {
    NOW.after(Duration::from_secs(seconds))
}

#[test]
fn a_restart_counts_at_once_for_the_attempts_on_that_server() {
    let (one, two) = (
        server("one", ServerState::Ready),
        server("two", ServerState::Ready),
    );
    let attempts = unfinished_on(&[&one, &two]);
    assert_eq!(attempts.on_restart(&one, after(1)).len(), 1);
    assert!(attempts.on_restart(&one, after(1)).is_empty());
    assert!(attempts.on_restart(&two, after(9)).is_empty(), "too late");
}

#[test]
fn a_removal_counts_once_it_has_settled() {
    let one = server("one", ServerState::Ready);
    let attempts = unfinished_on(&[&one]);
    attempts.on_removal(one, after(4));
    assert!(attempts.confirm(after(5), |_| 5).is_empty());
    assert_eq!(attempts.confirm(after(6), |_| 5).len(), 1);
    assert!(attempts.confirm(after(7), |_| 5).is_empty());
}

#[test]
fn a_draining_server_leaves_without_a_crash() {
    let one = server("one", ServerState::Draining);
    let attempts = unfinished_on(&[&one, &one]);
    assert!(attempts.on_restart(&one, after(1)).is_empty());
    attempts.on_removal(one, after(1));
    assert!(attempts.confirm(after(3), |_| 5).is_empty());
}

#[test]
fn servers_of_a_zone_that_is_cut_off_have_not_crashed() {
    let servers: Vec<_> = (0..4)
        .map(|number| server(&number.to_string(), ServerState::Ready))
        .collect();
    let attempts = unfinished_on(&servers.iter().collect::<Vec<_>>());
    for server in servers {
        attempts.on_removal(server, after(3));
    }
    assert!(attempts.confirm(after(5), |_| 1).is_empty());
}

#[test]
fn a_server_that_said_that_it_leaves_ends_without_a_crash() {
    let one = server("one", ServerState::Ready);
    let attempts = unfinished_on(&[&one, &one]);
    one.mark_leaving();
    assert!(attempts.on_restart(&one, after(1)).is_empty());
    attempts.on_removal(one, after(1));
    assert!(attempts.confirm(after(3), |_| 5).is_empty());
}
