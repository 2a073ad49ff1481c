//! Loopback networks for tests that start processes, and waiting for conditions.

#![allow(
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, not the interface of a crate"
)]

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Limit on each wait, so that a hanging test fails. No test depends on its length.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Last octet of the address whose listener reserves a network.
const RESERVATION_IP: u8 = 254;

/// Listeners that reserve the networks of this process until it exits.
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Reserves a network 127.x.y.0/24 in the `blocks` blocks 127.x.0.0/16 from `first_block` on.
/// Returns x and y.
///
/// A listener at `port` holds the reservation, so that no other test in this or another process
/// gets the same network.
pub fn reserve_network(first_block: u8, blocks: u8, port: u16) -> (u8, u8) {
    let networks = u32::from(blocks) * 256;
    let first = std::process::id() * 32;
    for offset in 0..networks {
        let number = (first + offset) % networks;
        let network = (first_block + (number / 256) as u8, (number % 256) as u8);
        let ip = Ipv4Addr::new(127, network.0, network.1, RESERVATION_IP);
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            RESERVATIONS.lock().unwrap().push(listener);
            return network;
        }
    }
    panic!("all loopback networks are in use");
}

/// Waits until `condition` holds. Panics after [`HANG_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < HANG_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
