//! Which backend server takes a request: own zone, kept prompt parts, queue and running work.
//!
//! All hosts rank the servers for a prompt part in the same order without a word between them, so
//! that a part is read by few servers. A host leaves the first server of that order only when the
//! wait there costs more than reading the part anew elsewhere.

use std::time::Duration;

use crate::names::Name;

/// Delay that each request running beside adds to a new one's first event, milliseconds.
const RUNNING_COST_MS: f64 = 6.0;

/// Delay that each waiting request adds, milliseconds.
const WAITING_COST_MS: f64 = 60.0;

/// Cost of leaving the own zone, in milliseconds of delay: bytes between zones are dear.
const ZONE_COST_MS: f64 = 15.0;

/// A plain service's cost of one more request on a server, milliseconds.
const PLAIN_RUNNING_COST_MS: f64 = 20.0;

/// Cost of a server that has no free slot, milliseconds.
const FULL_COST_MS: f64 = 1_000.0;

/// Delay, in milliseconds, that is borne for each token that need not be read again: the work that
/// it would cost the engines, and everybody behind it.
const REREAD_COST_MS: f64 = 0.03;

/// How long a kept prompt part counts as still kept after its last use on a server.
pub const PREFIX_CACHE_LIFETIME: Duration = Duration::from_secs(20);

/// A server as the choice sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Its zone.
    pub zone: Name,
    /// Requests that it runs, as far as is known.
    pub running: f64,
    /// Requests that wait there, as far as is known.
    pub waiting: f64,
    /// Requests that it can run at once.
    pub slots: f64,
    /// Time that it still needs for prompts that it was sent, as far as is known, milliseconds.
    pub pending_ms: f64,
    /// Tokens of the request's prompt that it is known or expected to keep.
    pub cached_tokens: f64,
    /// How many times slower than its pool it answers; one if nothing is known.
    pub latency_ratio: f64,
}

/// The request as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Zone of this host.
    pub zone: &'a str,
    /// Tokens of the prompt; zero for plain services.
    pub prompt_tokens: f64,
    /// Time to read one token with the chosen model, milliseconds.
    pub ms_per_token: f64,
}

/// Expected delay of a request on a server, in milliseconds, with the price of its zone.
pub fn placement_cost(server: &ServerView, query: &PlacementQuery<'_>) -> f64 {
    let zone = if *server.zone == *query.zone {
        0.0
    } else {
        ZONE_COST_MS
    };
    let busy = server.running + server.waiting + 1.0;
    let full = if busy > server.slots {
        FULL_COST_MS * (busy - server.slots) / server.slots.max(1.0)
    } else {
        0.0
    };
    if query.prompt_tokens == 0.0 {
        let share = busy / server.slots.max(1.0);
        return (PLAIN_RUNNING_COST_MS * share * server.latency_ratio + zone) + full;
    }
    let unread = (query.prompt_tokens - server.cached_tokens).max(0.0);
    let reading = unread * (query.ms_per_token + REREAD_COST_MS) + server.pending_ms;
    let beside = server.running * RUNNING_COST_MS + server.waiting * WAITING_COST_MS;
    (reading + beside) * server.latency_ratio + zone + full
}

/// Mixes the hash of a prompt part and of a server into the server's rank for the part.
pub fn affinity_rank(part: u64, server: u64) -> u64 {
    // Finaliser of splitmix64: equal on all hosts and cheap for many servers.
    let mut mixed = part ^ server.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Index of the cheapest server.
pub fn choose_server(servers: &[ServerView], query: &PlacementQuery<'_>) -> Option<usize> {
    let costs = servers.iter().map(|server| placement_cost(server, query));
    costs
        .enumerate()
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}
