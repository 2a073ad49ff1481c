//! Deterministic subsetting: assigns each host a part of a pool's servers.
//!
//! A host knows its own requests in flight exactly, and those of other hosts only with a delay. The
//! fewer hosts share a server, the better a host's own count reflects the server's load.

use crate::names::{Name, stable_hash};

/// Number of hosts that share one server.
pub const HOSTS_PER_SERVER: usize = 7;

/// Smallest number of servers in a host's subset, unless the pool has fewer.
pub const MIN_SERVERS: usize = 3;

/// Returns the indices of the servers that the host `local` uses.
///
/// The servers are laid out in [`HOSTS_PER_SERVER`] rounds, each in a different order, and the
/// layout is cut into one slice per host. The lengths of the slices differ by at most one, and so
/// do the numbers of slices that the servers are in. Hosts that know the same names agree on the
/// slices. A host that is not in `hosts` uses all servers.
pub fn subset(servers: &[Name], hosts: &[Name], local: &str) -> Vec<usize> {
    let all = || (0..servers.len()).collect();
    let mut hosts: Vec<&Name> = hosts.iter().collect();
    hosts.sort_unstable();
    let Some(position) = hosts.iter().position(|host| &***host == local) else {
        return all();
    };
    if hosts.len() <= HOSTS_PER_SERVER || servers.len() <= MIN_SERVERS {
        return all();
    }
    let mut layout = Vec::with_capacity(servers.len() * HOSTS_PER_SERVER);
    for round in 0..HOSTS_PER_SERVER {
        let mut order: Vec<usize> = (0..servers.len()).collect();
        order.sort_by_cached_key(|index| stable_hash(&[&round.to_string(), &servers[*index]]));
        layout.extend(order);
    }
    let from = position * layout.len() / hosts.len();
    let to = (position + 1) * layout.len() / hosts.len();
    let mut chosen = Vec::new();
    // A slice that spans two rounds may hold a server twice, and a slice may be too short; both are
    // extended beyond their end.
    for index in layout.iter().cycle().skip(from).take(layout.len()) {
        let is_enough = chosen.len() >= (to - from).max(MIN_SERVERS);
        if is_enough {
            break;
        }
        if !chosen.contains(index) {
            chosen.push(*index);
        }
    }
    chosen
}
