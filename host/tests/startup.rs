//! All hosts of a large zone become ready, whether the configuration comes from the store or a peer.

mod fleet;

use fleet::{Fleet, wait_until};

const HOSTS: usize = 12;
const ROUNDS: usize = 3;

/// A host is not ready before its first read of the store, which it must not skip if a peer sends it
/// the configuration sooner.
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
