//! A host whose own link or clock holds it up is neither cut off nor are its servers silent.

mod route;

use std::{net::TcpStream, thread, time::Duration};

use clementinearch_standins::link::LinkState;
use route::{Platform, ok, send_request, wait_until};

/// Time in which a link that is up accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections wait for a moment: longer than one sample of them is given.
#[test]
fn a_path_that_is_held_up_for_a_moment_is_not_lost() {
    let mut platform = Platform::new();
    for _ in 0..2 {
        platform.add_backend("orders", "v1", |_, it| ok(it));
    }
    platform.start_linked_hosts(1);
    let host = &platform.hosts[0];
    for round in 0..3 {
        platform.set_links(0, LinkState::Hanging);
        wait_until("the links hold connections", || {
            let links = platform.links(0);
            let mut tries = links
                .iter()
                .map(|link| TcpStream::connect_timeout(&link.address(), CONNECT_TIMEOUT));
            tries.all(|connected| connected.is_err())
        });
        let answer = thread::scope(|scope| {
            let id = format!("id-{round}");
            let call = scope.spawn(move || send_request(host, "POST /pay/1", &id, "", ""));
            wait_until("a server is not reached", || {
                let metrics = host.metrics();
                let mut lines = metrics.lines();
                lines.any(|line| {
                    line.starts_with("clementinearch_servers_left_alone ") && !line.ends_with(" 0")
                })
            });
            platform.set_links(0, LinkState::Up);
            call.join().unwrap()
        });
        assert_eq!(answer.status, 200);
        wait_until("all servers are in reach", || {
            let metrics = host.metrics();
            metrics
                .lines()
                .any(|line| line == "clementinearch_servers_left_alone 0")
        });
    }
    wait_until("the log is written", || {
        host.logged("server_in_reach").len() + host.logged("servers_regained").len() > 0
    });
    assert!(host.logged("servers_lost").is_empty());
}
