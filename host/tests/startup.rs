//! All hosts of a larger zone become ready, whoever hears of the configuration first.

mod fleet;

use fleet::{Fleet, wait_until};

const HOSTS: usize = 12;
const ROUNDS: usize = 3;

#[test]
fn a_host_that_hears_of_the_configuration_from_a_peer_first_becomes_ready_too() {
    for _ in 0..ROUNDS {
        let fleet = Fleet::serving("", 1, &["a"; HOSTS]);
        for host in &fleet.hosts {
            wait_until("each host knows all", || {
                host.counter("clementinearch_members") == HOSTS as u64
            });
        }
    }
}
