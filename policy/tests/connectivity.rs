//! When a host takes its path to the backend servers for lost.

use std::{collections::BTreeSet, time::Duration};

use clementinearch_policy::{
    connectivity::{Connectivity, FailedCheck, SAMPLE_SIZE, sample},
    names::Name,
    time::Millis,
};

const NOW: Millis = Millis(1_000_000);

fn later(ms: u64) -> Millis {
    NOW.after(Duration::from_millis(ms))
}

/// A check that began at `began_at`, before which bytes last came from a server.
fn failed(began_at: Millis) -> FailedCheck {
    FailedCheck {
        began_at,
        are_all_refused: false,
        last_contact: Millis(began_at.0 - 1),
    }
}

#[test]
fn a_path_is_lost_from_a_failed_check_to_the_next_accepted_connection() {
    let mut path = Connectivity::default();
    assert!(!path.is_lost());
    assert!(path.record_failed_check(failed(NOW), later(100)));
    assert!(path.is_lost());
    assert!(
        !path.record_failed_check(failed(later(200)), later(300)),
        "no news"
    );
    assert_eq!(path.record_connected(later(400)), Some(later(100)));
    assert!(!path.is_lost());
}

#[test]
fn a_connection_accepted_during_a_check_outweighs_its_failure() {
    let mut path = Connectivity::default();
    path.record_connected(later(50));
    assert!(!path.record_failed_check(failed(NOW), later(100)));
    assert!(!path.is_lost());
}

/// Connections wait behind the host's own answers, while servers' bytes come in.
#[test]
fn bytes_from_servers_outweigh_connections_that_wait_for_a_while() {
    let mut path = Connectivity::default();
    for ms in (0..2_000).step_by(100) {
        let check = FailedCheck {
            last_contact: later(ms + 1),
            ..failed(later(ms))
        };
        assert!(!path.record_failed_check(check, later(ms + 99)), "{ms} ms");
    }
    let check = FailedCheck {
        last_contact: later(2_001),
        ..failed(later(2_000))
    };
    assert!(path.record_failed_check(check, later(2_100)));
}

#[test]
fn an_accepted_connection_ends_the_doubt() {
    let mut path = Connectivity::default();
    let check = |ms| FailedCheck {
        last_contact: later(ms + 1),
        ..failed(later(ms))
    };
    assert!(!path.record_failed_check(check(0), later(100)));
    path.record_connected(later(500));
    assert!(!path.record_failed_check(check(2_500), later(2_600)));
}

/// Connections live on while new ones are refused.
#[test]
fn bytes_from_servers_do_not_outweigh_refusals() {
    let mut path = Connectivity::default();
    let check = FailedCheck {
        are_all_refused: true,
        last_contact: later(1),
        ..failed(NOW)
    };
    assert!(path.record_failed_check(check, later(100)));
}

#[test]
fn a_failed_connection_beside_accepted_ones_needs_no_check() {
    let mut path = Connectivity::default();
    assert!(path.needs_check(NOW));
    path.record_connected(later(10));
    assert!(!path.needs_check(NOW), "begun before");
    assert!(path.needs_check(later(20)), "begun after");
    path.record_failed_check(failed(later(20)), later(120));
    assert!(!path.needs_check(later(130)), "lost already");
}

#[test]
fn a_sample_covers_services_and_zones() {
    let server = |service: &str, zone: &str| -> (Name, Name) { (service.into(), zone.into()) };
    let mut servers = vec![server("pool", "a"); 40];
    servers.push(server("pool", "b"));
    servers.push(server("orders", "a"));
    for offset in 0..servers.len() {
        let chosen = sample(&servers, offset);
        let distinct: BTreeSet<usize> = chosen.iter().copied().collect();
        assert_eq!(distinct.len(), SAMPLE_SIZE, "offset {offset}");
        assert!(distinct.contains(&40) && distinct.contains(&41));
    }
    assert_eq!(sample(&servers[..2], 1).len(), 2);
    assert!(sample(&[], 0).is_empty());
}
