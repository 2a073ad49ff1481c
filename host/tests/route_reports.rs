//! Reports of a host to many peers.

mod route;

use std::{
    net::{SocketAddr, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use route::{Platform, ok, paced_stream, send_request, wait_until};
use serde_json::json;

/// Rate of the host's link, and the bytes that it takes in a second.
const LINK: &str = "link_mbps = \"0.1\"\n";
const LINK_BYTES_PER_S: f64 = 12_500.0;

/// Peers that the host knows from the store.
const PEERS: usize = 16;

/// Reports that are looked at.
const REPORTS: usize = 40;

/// Peers that listen and never answer.
fn add_peers(platform: &Platform) -> Vec<UdpSocket> {
    let bind = |number| {
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = socket.local_addr().unwrap().to_string();
        platform.store.put(
            &format!("clementinearch/hosts/peer-{number}"),
            json!({ "address": address }).to_string(),
        );
        socket
    };
    (0..PEERS).map(bind).collect()
}

/// Reads datagrams from all sockets until there are enough. Returns when each came, and its size.
fn receive(sockets: Vec<UdpSocket>) -> Vec<(Instant, usize)> {
    let (tx, rx) = std::sync::mpsc::channel();
    for socket in sockets {
        let tx = tx.clone();
        thread::spawn(move || {
            let mut buf = [0; 65_536];
            while let Ok((length, _)) = socket.recv_from(&mut buf) {
                if tx.send((Instant::now(), length)).is_err() {
                    return;
                }
            }
        });
    }
    let wait = Duration::from_secs(60);
    let next = || rx.recv_timeout(wait).expect("a report");
    let mut received: Vec<_> = std::iter::repeat_with(next).take(REPORTS).collect();
    received.sort();
    received
}

#[test]
fn reports_to_many_peers_leave_a_part_of_the_link_free() {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    let sockets = add_peers(&platform);
    platform.launch_host_with(LINK);
    let host = &platform.hosts[0];
    wait_until("the host is ready", || host.is_ready());
    let received = receive(sockets);
    let (first, _) = received[0];
    let (last, length) = received[REPORTS - 1];
    let bytes: usize = received.iter().map(|(_, length)| length).sum();
    let least = (bytes - length) as f64 / LINK_BYTES_PER_S;
    let span = last.duration_since(first);
    assert!(span.as_secs_f64() >= least, "{bytes} bytes in {span:?}");
}

/// Hosts of a large fleet.
const LARGE_FLEET: usize = 294;

/// Streams that are sent one after the other, and the time that each takes.
const STREAMS: usize = 10;
const STREAM_TIME: Duration = Duration::from_millis(60);

/// Prefills are worth telling while they last; in a large fleet they waited for half a second.
#[test]
fn a_host_of_a_large_fleet_tells_of_prefills_at_once() {
    let mut platform = Platform::new();
    platform.add_backend("pool", "v1", |_, it| paced_stream(it, 1, STREAM_TIME));
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let (near, remote) = (bind(), bind());
    let address = remote.local_addr().unwrap().to_string();
    for number in 0..LARGE_FLEET {
        platform.store.put(
            &format!("clementinearch/hosts/peer-{number}"),
            json!({ "address": address }).to_string(),
        );
    }
    platform.start_hosts(1);
    let host = &platform.hosts[0];
    let report = json!({"Word": {"from": "near", "zone": "a", "address": near.local_addr().unwrap(), "store_revision": 1, "rollouts": [], "suspects": []}});
    wait_until("the host knows the peer of its zone", || {
        near.send_to(report.to_string().as_bytes(), host.peers())
            .unwrap();
        host.status()["hosts"] == 2
    });
    for number in 0..STREAMS {
        let extra = "Model: small\r\nToken-Usage: 100,50\r\nPrompt-Prefix: a1:80,b2:20\r\n";
        let answer = send_request(host, "POST /draft/1", &format!("id-{number}"), extra, "");
        assert!(answer.is_whole);
    }
    let (mut datagrams, mut prefills) = (0, 0);
    let mut buf = vec![0; 65_536];
    while prefills < STREAMS {
        let (length, _) = near.recv_from(&mut buf).unwrap();
        let datagram: serde_json::Value = serde_json::from_slice(&buf[..length]).unwrap();
        if let Some(rows) = datagram["Readings"].as_array() {
            datagrams += 1;
            prefills += rows.len();
        }
    }
    assert!(
        datagrams > STREAMS / 2,
        "{prefills} prefills in {datagrams} datagrams"
    );
}
