//! Which servers of a pool one host uses, so that few hosts share a server.
//!
//! A host knows exactly what it has in flight itself, and late what others have. The fewer hosts
//! share a server, the more its own count says about the server's load.

use crate::names::{Name, stable_hash};

/// Hosts that share one server.
pub const HOSTS_PER_SERVER: usize = 7;

/// Servers of a host at least, if the pool has them.
pub const MIN_SERVERS: usize = 3;

/// Indexes of the servers that host `me` uses.
///
/// The servers are laid out [`HOSTS_PER_SERVER`] times, each time in an order of its own, and cut
/// into one slice a host: each server is used by the same number of hosts, give or take one, and
/// each host uses the same number of servers. Hosts that know the same names agree on the slices.
pub fn subset(servers: &[Name], hosts: &[Name], me: &str) -> Vec<usize> {
    let all = || (0..servers.len()).collect();
    let mut hosts: Vec<&Name> = hosts.iter().collect();
    hosts.sort_unstable();
    let Some(position) = hosts.iter().position(|host| &***host == me) else {
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
    // A slice may hold a server twice where two rounds meet, or be too short: it goes on behind its end.
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
