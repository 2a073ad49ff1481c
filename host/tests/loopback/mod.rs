//! What tests with processes on loopback share: networks of their own, and waits on events.

#![allow(
    unreachable_pub,
    missing_docs,
    reason = "a module of several test files, not a crate's border"
)]

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// A hang guard, not a bound: every wait ends long before.
pub const HANG_GUARD: Duration = Duration::from_secs(60);

/// IP of the listener that claims a network.
const CLAIM_IP: u8 = 254;

/// Claims of this process's networks, kept to its end.
static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// A network of loopback addresses among `blocks` times 256 from `first_block` on, claimed by a
/// listener at `port` so that no other test of this or another process takes it.
pub fn claim_network(first_block: u8, blocks: u8, port: u16) -> (u8, u8) {
    let networks = u32::from(blocks) * 256;
    let first = std::process::id() * 32;
    for offset in 0..networks {
        let number = (first + offset) % networks;
        let network = (first_block + (number / 256) as u8, (number % 256) as u8);
        let ip = Ipv4Addr::new(127, network.0, network.1, CLAIM_IP);
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            CLAIMS.lock().unwrap().push(listener);
            return network;
        }
    }
    panic!("no network is free");
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < HANG_GUARD, "gave up waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
