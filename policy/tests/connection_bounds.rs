//! Bounds on connections, and which are closed first.

use clementinearch_policy::{
    connection_bounds::{
        Activity, ConnectionLimits, Connections, ListenerLimits, open_files_limit,
    },
    time::Millis,
};
use quickcheck::quickcheck;

const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 8,
    head_bytes: 1_000,
};

/// An account that is full of connections 0 to 7, opened in this order.
fn full() -> Connections {
    let mut connections = Connections::new(LIMITS);
    for id in 0..8 {
        assert_eq!(connections.open(id, Millis(id)), None);
    }
    connections
}

/// Guards against bounds that well-behaved callers reach on the smallest host.
#[test]
fn the_smallest_host_holds_several_hundred_connections_and_keeps_descriptors() {
    let limits = ListenerLimits::new(88_000_000, 3_075, None);
    assert!(limits.callers.connections >= 500, "{limits:?}");
    assert!(limits.peers.connections >= 200, "{limits:?}");
    for descriptors in [64, 200, 3_075, 20_000] {
        let limits = ListenerLimits::new(88_000_000, descriptors, Some(1 << 20));
        let all = limits.callers.connections
            + limits.readiness.connections
            + limits.operators.connections
            + limits.peers.connections;
        assert!(all as u64 <= descriptors * 3 / 4, "{limits:?}");
    }
}

#[test]
fn the_limit_of_open_files_is_read() {
    let text = "Limit Soft Limit Hard Limit Units\nMax processes 7 8 processes\nMax open files            3075                 4096                 files\n";
    assert_eq!(open_files_limit(text), Some(3_075));
    assert_eq!(
        open_files_limit("Max open files unlimited unlimited files"),
        None
    );
    assert_eq!(open_files_limit(""), None);
}

#[test]
fn the_longest_waiting_connection_is_closed_for_a_new_one() {
    let mut connections = full();
    connections.set_activity(0, Activity::Waiting, false, Millis(50));
    assert_eq!(connections.open(8, Millis(60)), Some(1));
    assert_eq!(connections.count(), 8);
}

/// Guards against closing a connection whose server is at work.
#[test]
fn a_connection_at_work_is_never_closed_and_an_unread_one_last() {
    let mut connections = full();
    for id in 0..8 {
        connections.set_activity(id, Activity::Working, true, Millis(10));
    }
    assert_eq!(connections.open(8, Millis(20)), Some(8));
    connections.set_activity(3, Activity::Unread, false, Millis(30));
    connections.set_activity(4, Activity::Waiting, false, Millis(40));
    assert_eq!(connections.open(9, Millis(50)), Some(4));
    connections.set_activity(9, Activity::Working, true, Millis(50));
    assert_eq!(connections.open(10, Millis(60)), Some(3));
}

/// Guards ordinary callers' idle connections against a crowd of new ones, and new callers against a
/// crowd of connections that had one request each.
#[test]
fn known_and_new_connections_each_keep_a_share() {
    let mut connections = full();
    for id in 0..4 {
        connections.set_activity(id, Activity::Waiting, true, Millis(10));
    }
    for id in 8..100 {
        let closed = connections.open(id, Millis(20 + id)).unwrap();
        assert!(closed >= 4, "{closed}");
    }
    for id in 92..100 {
        connections.set_activity(id, Activity::Waiting, true, Millis(200));
    }
    assert_eq!(connections.open(100, Millis(300)), Some(0));
}

#[test]
fn long_heads_close_the_longest_waiting_connection_that_has_one() {
    let mut connections = full();
    assert_eq!(connections.set_head_bytes(5, 900), None);
    assert_eq!(connections.set_head_bytes(6, 101), Some(5));
    assert_eq!(connections.head_bytes(), 101);
}

/// Guards against heads that are read while closed connections still hold theirs, which took five times
/// the bound.
#[test]
fn no_head_is_read_until_closed_connections_have_given_theirs_back() {
    let mut connections = full();
    assert_eq!(connections.set_head_bytes(5, 900), None);
    assert!(connections.may_read_heads());
    assert_eq!(connections.set_head_bytes(6, 101), Some(5));
    assert!(!connections.may_read_heads());
    connections.close(5);
    assert!(connections.may_read_heads());
    assert_eq!(connections.head_bytes(), 101);
}

quickcheck! {
    /// Any order of events keeps the bounds and closes no connection at work.
    fn bounds_hold_after_any_events(events: Vec<(u8, u8, u16)>) -> bool {
        let mut connections = Connections::new(LIMITS);
        let mut working = std::collections::HashSet::new();
        let mut held = std::collections::HashSet::new();
        events.iter().enumerate().all(|(at, (kind, id, bytes))| {
            let (id, now) = (u64::from(*id % 16), Millis(at as u64));
            let closed = match kind % 5 {
                0 if !held.contains(&id) => {
                    held.insert(id);
                    connections.open(id, now)
                }
                1 if held.contains(&id) => {
                    working.insert(id);
                    connections.set_activity(id, Activity::Working, true, now);
                    None
                }
                2 => {
                    working.remove(&id);
                    connections.set_activity(id, Activity::Waiting, false, now);
                    None
                }
                3 => connections.set_head_bytes(id, usize::from(*bytes % 600)),
                _ => {
                    working.remove(&id);
                    held.remove(&id);
                    connections.close(id);
                    None
                }
            };
            let is_fine = closed.is_none_or(|closed| held.remove(&closed) && !working.contains(&closed));
            is_fine && connections.count() == held.len() && held.len() <= LIMITS.connections
        })
    }
}
