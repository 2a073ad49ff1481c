//! Load of servers that hosts learn from their peers.

mod route;

use std::{thread, time::Duration};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step, signed_response};
use route::{Host, Platform, send_request, wait_until};

/// Value of a gauge of a host.
fn gauge(host: &Host, name: &str) -> Option<f64> {
    let metrics = host.metrics();
    let mut lines = metrics.lines();
    lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

/// A host that has sent nothing to a server would otherwise take it for idle. An odd fourth figure
/// must not cost the other three.
#[test]
fn a_host_learns_the_load_of_a_server_from_a_peer() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received: &ReceivedRequest| {
        let header = "Server-Load: 5,1,16,odd\r\n";
        vec![Step::Send(signed_response(
            received, "200 OK", header, "done",
        ))]
    });
    platform.start_hosts(2);
    wait_until("the hosts know each other", || {
        let mut all = platform.hosts.iter();
        all.all(|host| host.status()["hosts"] == 2)
    });
    let [asked, other] = &platform.hosts[..] else {
        panic!("two hosts");
    };
    let unknown = "clementinearch_servers_load_unknown ";
    assert_eq!(gauge(other, unknown), Some(1.0));
    let mut number = 0;
    wait_until("the other host knows the load", || {
        number += 1;
        let id = format!("id-{number}");
        assert_eq!(send_request(asked, "GET /look/1", &id, "", "").status, 200);
        gauge(other, unknown) == Some(0.0)
    });
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(gauge(other, unknown), Some(1.0), "the word has ended");
    assert!(other.logged("word_unreadable").is_empty());
}
