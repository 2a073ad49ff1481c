//! Requests that a host without a path to any server forwards to another host.

mod route;

use std::{sync::Arc, time::Duration};

use clementinearch_standins::{
    link::LinkState,
    scripted_server::{ReceivedRequest, ScriptedServer, Step, signed_response},
};
use route::{Connection, Host, Platform, ok, request, send_request, wait_until};

/// Time that a slow request takes.
const LONG: Duration = Duration::from_secs(20);

fn script(received: &ReceivedRequest) -> Vec<Step> {
    if received.request_line.ends_with("/slow") {
        vec![Step::Wait(LONG)]
    } else if received.request_line.ends_with("/failing") {
        let failure = signed_response(received, "500 Internal Server Error", "", "broken");
        vec![Step::Send(failure)]
    } else {
        ok(received)
    }
}

/// Starts two hosts before two servers, and cuts hosts off.
fn start(cut: &[usize]) -> (Platform, Vec<Arc<ScriptedServer>>) {
    let mut platform = Platform::new();
    let servers = (0..2)
        .map(|_| platform.add_backend("orders", "v1", |_, it| script(it)).1)
        .collect();
    platform.start_linked_hosts(2);
    for host in cut {
        platform.set_links(*host, LinkState::Resetting);
    }
    for host in cut {
        lose_servers(&platform.hosts[*host]);
    }
    (platform, servers)
}

/// Sends a request, by which a host that is cut off learns of it.
fn lose_servers(host: &Host) {
    wait_until("the host knows that it is cut off", || {
        send_request(host, "GET /look/first", "first", "", "");
        host.status()["reaches_servers"] == false
    });
}

fn received(servers: &[Arc<ScriptedServer>], id: &str) -> Vec<ReceivedRequest> {
    let all = servers.iter().flat_map(|server| server.requests());
    all.filter(|it| it.header("attempt-id") == id).collect()
}

#[test]
fn a_forwarded_request_reaches_one_server_as_it_would_from_its_own_host() {
    let (platform, servers) = start(&[0]);
    let extra = "X-Own: kept\r\nTenant: forged\r\nExpect-Instance: i-x\r\n";
    let host = &platform.hosts[0];
    let answer = send_request(host, "POST /pay/7?a=b%20c", "id-1", extra, "body {}");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(answer.header("server-seal"), "seal-id-1");
    assert_eq!(answer.header("attempt-id"), "id-1");
    assert_eq!(answer.header("clementinearch-forwarded"), "");
    let seen = received(&servers, "id-1");
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "POST /pay/7?a=b%20c");
    assert_eq!(seen[0].body, "body {}");
    for (header, value) in [
        ("host", "a.example"),
        ("tenant", "one"),
        ("request-priority", "3"),
        ("x-own", "kept"),
        ("authorization", ""),
        ("clementinearch-forwarded", ""),
    ] {
        assert_eq!(seen[0].header(header), value, "{header}");
    }
    let left: u64 = seen[0].header("deadline-ms").parse().unwrap();
    assert!(left <= 3_000, "the route's timeout applies: {left} ms left");
    assert!(seen[0].header("expect-instance").starts_with("i-"));
    assert!(host.is_ready());
}

#[test]
fn failures_of_servers_come_back_over_the_hop_unchanged() {
    let (platform, servers) = start(&[0]);
    let host = &platform.hosts[0];
    let answer = send_request(host, "POST /pay/failing", "id-1", "", "");
    assert_eq!((answer.status, answer.body.as_str()), (500, "broken"));
    assert_eq!(answer.header("server-seal"), "seal-id-1");
    assert_eq!(received(&servers, "id-1").len(), 1);
}

#[test]
fn keys_are_checked_at_the_host_that_the_caller_came_to() {
    let (platform, _) = start(&[0]);
    let mut connection = Connection::open(platform.hosts[0].callers());
    let unknown = request("GET /look/1", "id-1", "", "").replace("key-1", "key-2");
    connection.send(&unknown);
    assert_eq!(connection.read().status, 401);
}

/// Nobody reaches a server: neither host sends the request to the other for long.
#[test]
fn a_request_is_refused_at_once_when_no_host_reaches_a_server() {
    let (platform, servers) = start(&[0, 1]);
    for (number, line) in ["POST /pay/1", "GET /look/1"].into_iter().enumerate() {
        let id = format!("id-{number}");
        let answer = send_request(&platform.hosts[0], line, &id, "", "");
        assert_eq!(answer.status, 503);
        let after: f64 = answer.header("retry-after").parse().unwrap();
        assert!(after > 0.0 && after <= 1.0, "{after} s");
        assert!(received(&servers, &id).is_empty());
    }
    // No other host would serve more.
    assert!(platform.hosts.iter().all(Host::is_ready));
    platform.set_links(1, LinkState::Up);
    wait_until("the other host serves for both", || {
        send_request(&platform.hosts[0], "GET /look/1", "again", "", "").status == 200
    });
}

#[test]
fn a_caller_who_leaves_ends_a_forwarded_request_at_its_server() {
    let (platform, servers) = start(&[0]);
    let mut connection = Connection::open(platform.hosts[0].callers());
    connection.send(&request("GET /look/slow", "id-1", "", ""));
    wait_until("the request runs", || {
        !received(&servers, "id-1").is_empty()
    });
    drop(connection);
    wait_until("its server sees the end", || {
        servers.iter().any(|server| server.disconnects() > 0)
    });
}

/// Connections that the cut resets and refuses look like crashed servers.
#[test]
fn a_cut_is_no_crash_of_the_requests_under_way() {
    let (platform, servers) = start(&[]);
    let host = &platform.hosts[0];
    let mut connections: Vec<Connection> = (0..4)
        .map(|number| {
            let mut connection = Connection::open(host.callers());
            let line = ["POST /pay/slow", "GET /look/slow"][number % 2];
            connection.send(&request(line, &format!("id-{number}"), "", "same"));
            connection
        })
        .collect();
    wait_until("all run", || {
        servers.iter().map(|it| it.requests().len()).sum::<usize>() == 4
    });
    platform.set_links(0, LinkState::Resetting);
    lose_servers(host);
    for (number, connection) in connections.iter_mut().enumerate() {
        if number % 2 == 0 {
            assert_eq!(connection.read().status, 502, "it may have run");
        }
    }
    let status = host.status();
    assert_eq!(status["suspect_contents"], 0);
    assert_eq!(status["blocked_contents"], 0);
}
