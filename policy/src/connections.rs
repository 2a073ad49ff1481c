//! Limit on the idle connections of one host to one server. A server accepts a bounded number of
//! connections from all hosts together.

/// Fraction of a server's connections that all hosts together may keep idle; the rest is left for
/// running requests.
const IDLE_FRACTION: f64 = 0.5;

/// Returns the number of idle connections that one of `hosts` hosts may keep to a server that
/// accepts `max_connections` in total.
///
/// The result is at most `upper_bound`, and equal to it if `max_connections` is zero, which means
/// no limit.
pub fn max_idle_connections(max_connections: u32, hosts: usize, upper_bound: usize) -> usize {
    if max_connections == 0 {
        return upper_bound;
    }
    let share = f64::from(max_connections) * IDLE_FRACTION / hosts.max(1) as f64;
    (share as usize).min(upper_bound)
}
