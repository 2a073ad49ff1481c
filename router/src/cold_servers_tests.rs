//! What hosts keep of a cold server while its entry is replaced, removed and written again.

use std::time::Duration;

use clementinearch_policy::time::Millis;

use crate::{
    server::{ServerEntry, ServerState},
    servers::{EntryChange, Servers},
};

const NOW: Millis = Millis(1_000_000);
const INTERVAL: Duration = Duration::from_secs(1);

fn entry(incarnation: u64, slots: u32, cold_remaining: Duration) -> ServerEntry {
    ServerEntry {
        name: "i-1".into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots,
        state: ServerState::Ready,
        cold_remaining,
        sequence: 0,
        incarnation,
    }
}

const WARM: Duration = Duration::ZERO;
const COLD: Duration = Duration::from_secs(30);

/// A request that connects holds the record that it was chosen by.
#[test]
fn a_replaced_record_shares_the_pace_of_the_new_one() {
    for incarnation in [1, 2] {
        let servers = Servers::default();
        servers.update(entry(1, 1, WARM), NOW);
        let chosen = servers.get("i-1").unwrap();
        servers.update(entry(incarnation, 2, COLD), NOW);
        let current = servers.get("i-1").unwrap();
        assert!(chosen.pace.is_cold(NOW), "start {incarnation}");
        assert!(current.pace.try_take(INTERVAL, NOW));
        assert!(!chosen.pace.try_take(INTERVAL, NOW), "one turn for both");
        assert!(current.pace.try_send_cold(1, NOW));
        assert!(!chosen.pace.try_send_cold(1, NOW), "one window for both");
    }
}

/// An entry that cannot be read, or that lapses, drops the server until it is read again.
#[test]
fn a_server_that_is_dropped_and_read_again_keeps_its_pace() {
    let servers = Servers::default();
    servers.update(entry(1, 1, WARM), NOW);
    let known = servers.get("i-1").unwrap();
    assert!(known.pace.presume_cold(NOW.after(COLD), NOW));
    assert!(known.pace.try_take(INTERVAL, NOW));
    servers.remove("i-1", NOW);
    assert_eq!(servers.update(entry(1, 1, WARM), NOW), EntryChange::New);
    let again = servers.get("i-1").unwrap();
    assert!(again.pace.is_cold(NOW));
    assert!(!again.pace.try_take(INTERVAL, NOW));
}

#[test]
fn another_start_is_noticed_although_the_server_was_dropped_between() {
    let servers = Servers::default();
    assert!(!servers.names_other_start(&entry(1, 1, WARM)), "unknown");
    servers.update(entry(1, 1, WARM), NOW);
    assert!(servers.names_other_start(&entry(2, 1, WARM)));
    servers.remove("i-1", NOW);
    assert!(servers.names_other_start(&entry(2, 1, WARM)));
    assert!(!servers.names_other_start(&entry(1, 1, WARM)));
}

/// An entry with an odd time holds until the next one, which peers are told of.
#[test]
fn the_newest_entry_decides_how_long_a_server_is_cold() {
    let servers = Servers::default();
    let year = Duration::from_secs(31_536_000);
    servers.update(entry(1, 1, year), NOW);
    let server = servers.get("i-1").unwrap();
    assert!(server.pace.is_cold(NOW));
    let change = servers.update(entry(1, 1, WARM), NOW);
    assert_eq!(change, EntryChange::ColdTime);
    assert!(!server.pace.is_cold(NOW));
    let change = servers.update(entry(1, 1, COLD), NOW);
    assert_eq!(change, EntryChange::ColdTime);
    let later = NOW.after(Duration::from_secs(1));
    let left = COLD - Duration::from_secs(1);
    let change = servers.update(entry(1, 1, left), later);
    assert_eq!(change, EntryChange::Unchanged, "a heartbeat");
}
