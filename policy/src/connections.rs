//! How many idle connections one host may keep to one server: a server takes a bounded number from
//! all hosts together.

/// Part of a server's connections that all hosts together may keep idle; the rest is for requests
/// that run.
const IDLE_PART: f64 = 0.5;

/// Idle connections that one of `hosts` hosts keeps to a server that takes `max_connections` from all
/// of them, at most `most`; a server without a bound leaves it at that.
pub fn max_idle_connections(max_connections: u32, hosts: usize, most: usize) -> usize {
    if max_connections == 0 {
        return most;
    }
    let part = f64::from(max_connections) * IDLE_PART / hosts.max(1) as f64;
    (part as usize).min(most)
}
