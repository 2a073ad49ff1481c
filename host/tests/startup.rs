//! All hosts of a large zone become ready, whether the configuration comes from the store or a peer.

mod fleet;

use fleet::{Fleet, wait_until};

const HOSTS: usize = 12;
const ROUNDS: usize = 3;

/// In a large zone, a host may get the configuration from a peer before its own first read of the
/// store. It must become ready then too.
#[test]
fn hosts_that_get_the_configuration_from_a_peer_first_become_ready() {
    for _ in 0..ROUNDS {
        let fleet = Fleet::serving("", 1, &["a"; HOSTS]);
        for host in &fleet.hosts {
            wait_until("each host knows all others", || {
                host.counter("clementinearch_members") == HOSTS as u64
            });
        }
    }
}
